/*
 * Timer service on a tevent loop or on a virtual clock.
 *
 * Pending subscriptions are queued by due time; those with equal due times
 * keep the order of subscription. A service on a tevent loop has one alarm, set
 * to the first due time. Invariant: while a callback runs, its subscription is
 * not in the queue and service->running points to it. A callback must not free
 * the service.
 */
#include "loom/timer.h"

#include <assert.h>
#include <time.h>
#include <glib.h>

struct tmr_service {
	struct tevent_context *events; /* NULL for a virtual clock */
	struct tmr_alarm *alarm;       /* NULL for a virtual clock */
	uint64_t virtual_now_ms;
	GQueue pending; /* struct tmr_subscription, by due_ms */
	struct tmr_subscription *running; /* NULL after its callback freed it */
};

struct tmr_subscription {
	struct tmr_service *service;
	uint64_t due_ms;
	uint32_t period_ms; /* 0: called once */
	tmr_fn fn;
	void *data;
};

static uint64_t read_clock_ms(clockid_t clock)
{
	struct timespec now;

	clock_gettime(clock, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

static void set_alarm(struct tmr_service *service);

static gint compare_due(gconstpointer left, gconstpointer right, gpointer data)
{
	const struct tmr_subscription *a = left;
	const struct tmr_subscription *b = right;

	return a->due_ms <= b->due_ms ? -1 : 1;
}

static void insert_pending(struct tmr_subscription *subscription)
{
	struct tmr_service *service = subscription->service;

	g_queue_insert_sorted(&service->pending, subscription, compare_due,
			      NULL);
	if (g_queue_peek_head(&service->pending) == subscription)
		set_alarm(service);
}

static int destroy_subscription(struct tmr_subscription *subscription)
{
	struct tmr_service *service = subscription->service;

	if (!service)
		return 0;
	g_queue_remove(&service->pending, subscription);
	if (service->running == subscription)
		service->running = NULL;
	return 0;
}

static int destroy_service(struct tmr_service *service)
{
	struct tmr_subscription *subscription;

	while ((subscription = g_queue_pop_head(&service->pending)))
		subscription->service = NULL;
	return 0;
}

static void run_subscription(struct tmr_service *service,
			     struct tmr_subscription *subscription)
{
	uint64_t now_ms;

	service->running = subscription;
	subscription->fn(subscription->due_ms, subscription->data);
	if (service->running != subscription)
		return;
	service->running = NULL;
	if (subscription->period_ms == 0) {
		talloc_free(subscription);
		return;
	}
	subscription->due_ms += subscription->period_ms;
	/* When the event loop is late, the missed periods are skipped. */
	now_ms = tmr_get_now_ms(service);
	if (subscription->due_ms < now_ms)
		subscription->due_ms = now_ms + subscription->period_ms;
	insert_pending(subscription);
}

static void run_due(struct tmr_service *service, uint64_t now_ms)
{
	struct tmr_subscription *first;

	while ((first = g_queue_peek_head(&service->pending)) &&
	       first->due_ms <= now_ms) {
		if (!service->events)
			service->virtual_now_ms = first->due_ms;
		g_queue_pop_head(&service->pending);
		run_subscription(service, first);
	}
}

static void handle_alarm(void *data)
{
	struct tmr_service *service = data;

	run_due(service, tmr_get_now_ms(service));
	set_alarm(service);
}

static void set_alarm(struct tmr_service *service)
{
	struct tmr_subscription *first;
	uint64_t now_ms;

	if (!service->events)
		return;
	first = g_queue_peek_head(&service->pending);
	if (!first) {
		tmr_clear_alarm(service->alarm);
		return;
	}
	now_ms = tmr_get_now_ms(service);
	tmr_set_alarm(service->alarm,
		      first->due_ms > now_ms ? first->due_ms - now_ms : 0);
}

static struct tmr_subscription *subscribe(TALLOC_CTX *ctx,
					  struct tmr_service *service,
					  uint32_t delay_ms, uint32_t period_ms,
					  tmr_fn fn, void *data)
{
	struct tmr_subscription *subscription;

	subscription = talloc_zero(ctx, struct tmr_subscription);
	subscription->service = service;
	subscription->due_ms = tmr_get_now_ms(service) + delay_ms;
	subscription->period_ms = period_ms;
	subscription->fn = fn;
	subscription->data = data;
	talloc_set_destructor(subscription, destroy_subscription);
	insert_pending(subscription);
	return subscription;
}

struct tmr_service *tmr_new(TALLOC_CTX *ctx, struct tevent_context *events)
{
	struct tmr_service *service = talloc_zero(ctx, struct tmr_service);

	assert(events);
	service->events = events;
	service->alarm = tmr_new_alarm(service, events, handle_alarm, service);
	g_queue_init(&service->pending);
	talloc_set_destructor(service, destroy_service);
	return service;
}

struct tmr_service *tmr_new_virtual(TALLOC_CTX *ctx, uint64_t now_ms)
{
	struct tmr_service *service = talloc_zero(ctx, struct tmr_service);

	service->virtual_now_ms = now_ms;
	g_queue_init(&service->pending);
	talloc_set_destructor(service, destroy_service);
	return service;
}

uint64_t tmr_get_now_ms(const struct tmr_service *service)
{
	if (!service->events)
		return service->virtual_now_ms;
	return read_clock_ms(CLOCK_MONOTONIC);
}

uint64_t tmr_get_wall_ms(const struct tmr_service *service)
{
	if (!service->events)
		return service->virtual_now_ms;
	return read_clock_ms(CLOCK_REALTIME);
}

struct tmr_subscription *tmr_subscribe_once(TALLOC_CTX *ctx,
					    struct tmr_service *service,
					    uint32_t delay_ms, tmr_fn fn,
					    void *data)
{
	return subscribe(ctx, service, delay_ms, 0, fn, data);
}

struct tmr_subscription *tmr_subscribe_every(TALLOC_CTX *ctx,
					     struct tmr_service *service,
					     uint32_t period_ms, tmr_fn fn,
					     void *data)
{
	assert(period_ms > 0);
	return subscribe(ctx, service, period_ms, period_ms, fn, data);
}

void tmr_advance(struct tmr_service *service, uint32_t delta_ms)
{
	uint64_t end_ms = service->virtual_now_ms + delta_ms;

	assert(!service->events);
	run_due(service, end_ms);
	service->virtual_now_ms = end_ms;
}
