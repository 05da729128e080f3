/*
 * Timer service: the one source of time, to which other parts subscribe.
 *
 * A real service follows the monotonic clock on a tevent loop. A virtual one
 * moves only when tmr_advance() is called, so that tests need no sleep.
 * A service belongs to the thread of its event loop.
 */
#ifndef LOOM_TIMER_H
#define LOOM_TIMER_H

#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

struct tmr_service;
struct tmr_subscription;

/* Called on the service's thread; now_ms is the time at which it was due. */
typedef void (*tmr_fn)(uint64_t now_ms, void *data);

/* Returns a new service on the monotonic clock, owned by ctx. */
struct tmr_service *tmr_new(TALLOC_CTX *ctx, struct tevent_context *events);

/* Returns a new service on a virtual clock that starts at now_ms. */
struct tmr_service *tmr_new_virtual(TALLOC_CTX *ctx, uint64_t now_ms);

/* Returns the service's time in milliseconds since an arbitrary start. */
uint64_t tmr_get_now_ms(const struct tmr_service *service);

/* Returns the wall clock in milliseconds since 1970 (virtual: the same time).
 */
uint64_t tmr_get_wall_ms(const struct tmr_service *service);

/*
 * Calls fn once after delay_ms. Returns a new subscription owned by ctx;
 * talloc_free() cancels it. The subscription frees itself after the call.
 */
struct tmr_subscription *tmr_subscribe_once(TALLOC_CTX *ctx,
					    struct tmr_service *service,
					    uint32_t delay_ms, tmr_fn fn,
					    void *data);

/*
 * Calls fn every period_ms, first after one period. Returns a new subscription
 * owned by ctx; talloc_free() cancels it, also from within fn.
 */
struct tmr_subscription *tmr_subscribe_every(TALLOC_CTX *ctx,
					     struct tmr_service *service,
					     uint32_t period_ms, tmr_fn fn,
					     void *data);

/* Moves a virtual clock on by delta_ms, calling what is due in due order. */
void tmr_advance(struct tmr_service *service, uint32_t delta_ms);

/*
 * One-shot alarm on the monotonic clock: steps of the wall clock, on which
 * tevent's own timers run, do not move it.
 */
struct tmr_alarm;

typedef void (*tmr_alarm_fn)(void *data);

/* Returns a new alarm owned by ctx, not set. */
struct tmr_alarm *tmr_new_alarm(TALLOC_CTX *ctx, struct tevent_context *events,
				tmr_alarm_fn fn, void *data);

/* Sets the alarm to go off once in wait_ms; replaces an earlier setting. */
void tmr_set_alarm(struct tmr_alarm *alarm, uint64_t wait_ms);

/* Clears the alarm, if it is set. */
void tmr_clear_alarm(struct tmr_alarm *alarm);

#endif
