/*
 * Timer service: the only source of time of the program. Other modules read the
 * time from it and subscribe to be called when a time is due.
 *
 * A service on a tevent loop follows the monotonic clock. One on a virtual
 * clock advances only when tmr_advance() is called, so that tests need not
 * sleep. A service may be used only on the thread of its event loop.
 */
#ifndef LOOM_TIMER_H
#define LOOM_TIMER_H

#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

struct tmr_service;
struct tmr_subscription;

/*
 * Called on the service's thread. now_ms is the time at which the call was due,
 * which is earlier than the current time when the event loop is late.
 */
typedef void (*tmr_fn)(uint64_t now_ms, void *data);

/* Returns a new service on the monotonic clock owned by ctx; borrows events. */
struct tmr_service *tmr_new(TALLOC_CTX *ctx, struct tevent_context *events);

/* Returns a new service on a virtual clock that starts at now_ms. */
struct tmr_service *tmr_new_virtual(TALLOC_CTX *ctx, uint64_t now_ms);

/* Returns the service's time in milliseconds since an arbitrary start. */
uint64_t tmr_get_now_ms(const struct tmr_service *service);

/*
 * Returns the wall clock in milliseconds since 1970; on a virtual clock, the
 * same as tmr_get_now_ms().
 */
uint64_t tmr_get_wall_ms(const struct tmr_service *service);

/*
 * Calls fn once after delay_ms. Returns a new subscription owned by ctx, which
 * is freed after the call. talloc_free() cancels it.
 */
struct tmr_subscription *tmr_subscribe_once(TALLOC_CTX *ctx,
					    struct tmr_service *service,
					    uint32_t delay_ms, tmr_fn fn,
					    void *data);

/*
 * Calls fn every period_ms, first after one period. Returns a new subscription
 * owned by ctx. talloc_free() cancels it and is allowed within fn.
 */
struct tmr_subscription *tmr_subscribe_every(TALLOC_CTX *ctx,
					     struct tmr_service *service,
					     uint32_t period_ms, tmr_fn fn,
					     void *data);

/* Advances a virtual clock by delta_ms and makes the due calls in due order. */
void tmr_advance(struct tmr_service *service, uint32_t delta_ms);

/*
 * One-shot alarm on the monotonic clock. tevent's own timers run on the wall
 * clock, so a change of that clock would delay or advance them.
 */
struct tmr_alarm;

typedef void (*tmr_alarm_fn)(void *data);

/* Returns a new alarm, not set, owned by ctx. Borrows events and data. */
struct tmr_alarm *tmr_new_alarm(TALLOC_CTX *ctx, struct tevent_context *events,
				tmr_alarm_fn fn, void *data);

/* Calls fn once after wait_ms; replaces an earlier setting. */
void tmr_set_alarm(struct tmr_alarm *alarm, uint64_t wait_ms);

/* Clears the alarm; no effect when it is not set. */
void tmr_clear_alarm(struct tmr_alarm *alarm);

#endif
