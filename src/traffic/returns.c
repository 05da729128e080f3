/*
 * Refused callers that return, on the entry side: connects calls with the
 * decisions of src/routing/returns.c.
 *
 * Invariant: returned.is_promised of a call is set until the promise counts as
 * kept or broken, or is recorded again.
 */
#include <string.h>
#include <xxhash.h>
#include "call.h"

static uint64_t hash_text(const char *text, uint64_t seed)
{
	/* The final zero separates the texts. */
	return text ? XXH3_64bits_withSeed(text, strlen(text) + 1, seed) : seed;
}

/* A returned caller sends another id, but the same method, host and path. */
static uint64_t get_key(const struct tr_call *call)
{
	uint64_t key = hash_text(hx_get_method(call->exchange), 0);

	key = hash_text(hx_get_header(call->exchange, MHD_HTTP_HEADER_HOST),
			key);
	return hash_text(hx_get_target(call->exchange), key);
}

/*
 * The objective counts from the first attempt. A late answer to a promised
 * caller is of use as well, so an objective that can no longer be met does not
 * count for it.
 */
static void set_returned_class(struct tr_call *call)
{
	const struct rt_return *returned = &call->returned;

	call->objective_ms = returned->due_ms;
	if (returned->kind != RT_RETURN_PROMISED)
		return;
	call->class = RT_CLASS_RETURNED;
	if (returned->is_late)
		call->objective_ms = 0;
}

void tr_recognize_return(struct tr_call *call, uint32_t left_ms)
{
	const struct tr_thread *thread = call->thread;

	/* A target's call has the first place in any case. */
	if (call->class == RT_CLASS_NESTED || left_ms == 0)
		return;
	call->arrival = (struct rt_arrival){
		.key = get_key(call),
		.received_ms = hx_get_received_ms(call->exchange),
		.left_ms = left_ms,
		.objective_ms = call->gateway_route->objective_ms,
		.run_us = rt_get_run_time_us(thread->answer_sizes,
					     call->route->name),
	};
	call->returned = rt_take_return(thread->returns, &call->arrival);
	if (call->returned.kind != RT_RETURN_NONE)
		set_returned_class(call);
}

bool tr_is_returned_in_vain(const struct tr_call *call)
{
	return rt_needs_idle_target(&call->returned) &&
	       !rt_has_idle_target(call->thread->chooser, call->table,
				   &call->request,
				   tmr_get_now_ms(call->thread->timers));
}

void tr_refuse_return(struct tr_call *call)
{
	bool is_early = call->returned.kind == RT_RETURN_EARLY;

	if (is_early)
		cnt_add(call->thread->service->counters.early_returns, 1);
	tr_refuse_call(call, MHD_HTTP_SERVICE_UNAVAILABLE,
		       is_early ? "early_return"
				: rt_get_refusal_name(RT_REFUSAL_NO_ROOM),
		       true);
}

bool tr_is_return_expected(const struct tr_call *call, bool is_not_run)
{
	/* A caller of a node that ends connects to another one. */
	return call->arrival.left_ms > 0 && is_not_run &&
	       call->thread->drain_end_ms == 0;
}

uint32_t tr_record_refusal(struct tr_call *call)
{
	struct tr_counters *counters = &call->thread->service->counters;
	struct rt_advice advice = rt_record_refusal(
		call->thread->returns, call->service->name, &call->arrival,
		&call->returned, tmr_get_now_ms(call->thread->timers));

	cnt_add(counters->promises_made, advice.is_promise);
	cnt_add(counters->promises_broken, advice.is_dropped);
	/* The promise of a caller that was early stays. */
	if (call->returned.kind == RT_RETURN_EARLY)
		call->returned.is_promised = false;
	return advice.wait_ms;
}

void tr_record_returned_answer(struct tr_call *call)
{
	uint64_t now_ms = tmr_get_now_ms(call->thread->timers);

	if (!tr_is_controlled(call))
		return;
	/* Failures are fast, and make no room for others. */
	if (call->answer.status < MHD_HTTP_INTERNAL_SERVER_ERROR)
		rt_record_service_answer(call->thread->returns,
					 call->service->name, now_ms);
	cnt_add(call->thread->service->counters.promises_kept,
		call->returned.is_promised);
	call->returned.is_promised = false;
}

void tr_record_returned_failure(struct tr_call *call)
{
	cnt_add(call->thread->service->counters.promises_broken,
		call->returned.is_promised);
	call->returned.is_promised = false;
}
