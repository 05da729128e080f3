/*
 * Admission by class.
 *
 * A call starts at once when there is a slot and no other waits. It waits when
 * it is expected to end while its answer is still of use: within its objective,
 * or, for a call that a target made, within its deadline, since its failure
 * would waste the work of the call that waits for it.
 *
 * All functions are pure but for the schedule that adm_decide_by_class()
 * changes.
 */
#include "classes.h"

/*
 * Calls beyond the slots that a target may hold in its own queue, so that a
 * slot is not idle while an answer is on its way to this node.
 */
#define SPARE_CALLS 1U
/* A refusal has to reach the entry node before the call's deadline. */
#define REFUSAL_MARGIN_MS 20U
/*
 * Calls of one kind run for different times, so a call that waits needs more
 * than the mean by this. Without it most of the calls that waited longest were
 * answered just after their objective.
 */
#define RUN_MARGIN_PERCENT 100U
/*
 * A queue of this part of the slots keeps them from being idle between two
 * calls, so it is filled without the margin.
 */
#define SHORT_QUEUE_DIVISOR 8U

void adm_init_classes(TALLOC_CTX *ctx, struct adm_classes *classes)
{
	adm_init_schedule(&classes->schedule);
	classes->capacity = cap_new_target(ctx);
}

bool adm_has_slot(const struct adm_classes *classes,
		  const struct adm_occupancy *occupancy, uint64_t now_ms)
{
	return occupancy->in_flight +
		       cap_estimate_foreign(classes->capacity, now_ms) <
	       occupancy->limit + SPARE_CALLS;
}

/*
 * Returns how long a call of a class would wait for a slot behind those with an
 * earlier deadline.
 */
static uint64_t estimate_wait_us(const struct adm_classes *classes,
				 const struct adm_occupancy *occupancy,
				 enum rt_class class, uint64_t deadline_ms,
				 uint64_t now_ms)
{
	uint64_t work_us;

	if (adm_count_entries(&classes->schedule) == 0 &&
	    adm_has_slot(classes, occupancy, now_ms))
		return 0;
	work_us = cap_estimate_hold_us(classes->capacity, now_ms) +
		  adm_sum_work_ahead_us(&classes->schedule, class, deadline_ms);
	return work_us / occupancy->limit;
}

/* Returns when the answer has to be there for the call to be worth its slot. */
static uint64_t get_useful_end_ms(const struct adm_call *call)
{
	uint64_t end_ms =
		call->deadline_ms - MIN(call->deadline_ms, REFUSAL_MARGIN_MS);

	if (call->class == RT_CLASS_NESTED || call->objective_ms == 0)
		return end_ms;
	return MIN(end_ms, call->objective_ms);
}

static uint32_t add_margin(uint32_t run_us)
{
	uint64_t expected_us =
		run_us + (uint64_t)run_us * RUN_MARGIN_PERCENT / 100;

	return (uint32_t)MIN(expected_us, UINT32_MAX);
}

static bool is_queue_short(const struct adm_classes *classes,
			   const struct adm_occupancy *occupancy)
{
	return adm_count_entries(&classes->schedule) <
	       MAX(occupancy->limit / SHORT_QUEUE_DIVISOR, 1U);
}

static enum adm_refusal add_call(struct adm_classes *classes,
				 const struct adm_occupancy *occupancy,
				 const struct adm_call *call, uint64_t now_ms)
{
	struct adm_entry entry = {
		.ticket = call->ticket,
		.class = call->class,
		.deadline_ms = call->deadline_ms,
		.latest_end_ms = get_useful_end_ms(call),
		.arrived_ms = now_ms,
		.run_us = cap_estimate_run_us(classes->capacity, call->kind,
					      now_ms),
	};
	uint64_t wait_us = estimate_wait_us(classes, occupancy, call->class,
					    call->deadline_ms, now_ms);

	entry.need_us = entry.run_us;
	if (call->class != RT_CLASS_NESTED &&
	    !is_queue_short(classes, occupancy))
		entry.need_us = add_margin(entry.run_us);
	if (now_ms + (wait_us + entry.need_us + call->send_us) / 1000 >=
	    entry.latest_end_ms)
		return ADM_REFUSAL_DEADLINE;
	if (adm_count_entries(&classes->schedule) >= occupancy->queue_length &&
	    !adm_displace_entry(&classes->schedule, call->class))
		return ADM_REFUSAL_QUEUE_FULL;
	adm_add_entry(&classes->schedule, &entry);
	return ADM_REFUSAL_NONE;
}

/* Returns whether the answer would leave too late although there is a slot. */
static bool is_link_too_busy(const struct adm_classes *classes,
			     const struct adm_call *call, uint64_t now_ms)
{
	uint64_t run_us;

	if (call->send_us == 0)
		return false;
	run_us = cap_estimate_run_us(classes->capacity, call->kind, now_ms);
	return now_ms + (run_us + call->send_us) / 1000 >=
	       get_useful_end_ms(call);
}

enum adm_verdict adm_decide_by_class(struct adm_classes *classes,
				     const struct adm_occupancy *occupancy,
				     const struct adm_call *call,
				     uint64_t now_ms, enum adm_refusal *refusal)
{
	*refusal = ADM_REFUSAL_NONE;
	if (adm_count_entries(&classes->schedule) == 0 &&
	    adm_has_slot(classes, occupancy, now_ms)) {
		if (!is_link_too_busy(classes, call, now_ms))
			return ADM_VERDICT_RUN;
		*refusal = ADM_REFUSAL_DEADLINE;
		return ADM_VERDICT_REFUSE;
	}
	*refusal = add_call(classes, occupancy, call, now_ms);
	return *refusal == ADM_REFUSAL_NONE ? ADM_VERDICT_WAIT
					    : ADM_VERDICT_REFUSE;
}

void adm_set_waits(const struct adm_classes *classes,
		   const struct adm_occupancy *occupancy, uint64_t now_ms,
		   struct rt_load *load)
{
	uint64_t wait_us;

	load->has_waits = true;
	for (int i = 0; i < RT_CLASS_COUNT; i++) {
		wait_us = estimate_wait_us(classes, occupancy, (enum rt_class)i,
					   UINT64_MAX, now_ms);
		load->wait_us[i] = (uint32_t)MIN(wait_us, UINT32_MAX);
	}
}
