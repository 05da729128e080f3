/*
 * Admission gate of the one target of this node.
 *
 * The gate combines the limit, the queue and the state of the target. A call
 * runs at once if none is waiting and the limit allows it. It waits if the
 * queue has room, or a call of lower priority can be displaced, and its
 * deadline can be met. Otherwise it is refused.
 *
 * Invariants: in_flight is the number of calls that were given out to run and
 * have not finished, including calls to an earlier instance of the target. The
 * gate is closed while there is no target, the target leaves or is unreachable,
 * or its failure domain is taken out.
 */
#include "loom/admission.h"

#include <assert.h>
#include <string.h>
#include <glib.h>
#include "classes.h"
#include "cold.h"
#include "health.h"
#include "limit.h"
#include "queue.h"

/* Queue places for each slot that a target announced. */
#define QUEUE_PER_SLOT 2U
/* An answer changes the mean latency by 1/8 of the difference. */
#define LATENCY_SHIFT 3

enum order {
	ORDER_PRIORITY, /* queue: by priority, then by arrival */
	ORDER_CLASS,	/* schedule: by class, then by deadline */
};

struct adm_gate {
	char *service; /* NULL: no target yet */
	char *version;
	bool is_leaving;
	bool is_domain_out;
	bool is_down;
	uint32_t known_slots; /* 0: the target announced none */
	struct adm_cold cold;
	uint32_t queue_length;
	uint32_t in_flight;
	uint32_t latency_us; /* moving mean; 0: no answer yet */
	uint64_t now_ms;     /* time of the last event */
	struct adm_health health;
	struct adm_limit limit;
	enum order order;
	union {
		struct adm_queue queue;
		struct adm_classes classes;
	};
};

static void clear_waiting(struct adm_gate *gate)
{
	switch (gate->order) {
	case ORDER_PRIORITY:
		adm_clear_queue(&gate->queue);
		break;
	case ORDER_CLASS:
		adm_clear_schedule(&gate->classes.schedule);
		break;
	}
}

static void expire_waiting(struct adm_gate *gate)
{
	switch (gate->order) {
	case ORDER_PRIORITY:
		adm_expire_queue(&gate->queue);
		break;
	case ORDER_CLASS:
		adm_expire_entries(&gate->classes.schedule);
		break;
	}
}

uint32_t adm_get_waiting_count(const struct adm_gate *gate)
{
	switch (gate->order) {
	case ORDER_PRIORITY:
		return adm_get_queue_length(&gate->queue);
	case ORDER_CLASS:
		return adm_count_entries(&gate->classes.schedule);
	}
	return 0;
}

static int destroy_gate(struct adm_gate *gate)
{
	clear_waiting(gate);
	return 0;
}

static enum adm_refusal get_closed_refusal(const struct adm_gate *gate)
{
	if (!gate->service)
		return ADM_REFUSAL_NO_TARGET;
	if (gate->is_leaving)
		return ADM_REFUSAL_LEAVING;
	if (gate->is_domain_out)
		return ADM_REFUSAL_DOMAIN_OUT;
	if (gate->is_down)
		return ADM_REFUSAL_DOWN;
	return ADM_REFUSAL_NONE;
}

/* Records that a call was given out to run. */
static void start_run(struct adm_gate *gate, uint64_t now_ms)
{
	gate->in_flight++;
	adm_record_warmth_call(&gate->cold.warmth, now_ms);
}

static uint32_t get_service_ms(const struct adm_gate *gate)
{
	return gate->latency_us / 1000;
}

/* Estimates when a call that joins the queue now would be answered. */
static uint64_t estimate_end_ms(const struct adm_gate *gate,
				const struct adm_call *call, uint64_t now_ms)
{
	uint64_t ahead = adm_count_ahead(&gate->queue, call->priority) + 1U;
	uint64_t limit = adm_get_limit(&gate->limit, now_ms);
	uint64_t wait_us = ahead * gate->latency_us / limit;

	return now_ms + (wait_us + gate->latency_us) / 1000;
}

/*
 * During a sustained overload only calls that can meet their objective may
 * wait.
 */
static uint64_t get_latest_end_ms(const struct adm_gate *gate,
				  const struct adm_call *call, uint64_t now_ms)
{
	if (call->objective_ms > 0 && call->objective_ms < call->deadline_ms &&
	    adm_is_overload_sustained(&gate->queue, now_ms))
		return call->objective_ms;
	return call->deadline_ms;
}

static enum adm_refusal check_wait(struct adm_gate *gate,
				   const struct adm_call *call, uint64_t now_ms)
{
	if (estimate_end_ms(gate, call, now_ms) >=
	    get_latest_end_ms(gate, call, now_ms))
		return ADM_REFUSAL_DEADLINE;
	if (adm_get_queue_length(&gate->queue) >= gate->queue_length &&
	    !adm_displace_waiting(&gate->queue, call->priority))
		return ADM_REFUSAL_QUEUE_FULL;
	return ADM_REFUSAL_NONE;
}

static enum adm_refusal check_open(const struct adm_gate *gate,
				   const struct adm_call *call, uint64_t now_ms)
{
	enum adm_refusal refusal = get_closed_refusal(gate);

	if (refusal != ADM_REFUSAL_NONE)
		return refusal;
	if (strcmp(gate->service, call->service) != 0 ||
	    strcmp(gate->version, call->version) != 0)
		return ADM_REFUSAL_WRONG_TARGET;
	if (now_ms >= call->deadline_ms)
		return ADM_REFUSAL_DEADLINE;
	return ADM_REFUSAL_NONE;
}

static struct adm_occupancy get_occupancy(const struct adm_gate *gate,
					  uint64_t now_ms)
{
	return (struct adm_occupancy){
		.in_flight = gate->in_flight,
		.limit = adm_get_limit(&gate->limit, now_ms),
		.queue_length = gate->queue_length,
	};
}

static bool has_room(const struct adm_gate *gate, uint64_t now_ms)
{
	struct adm_occupancy occupancy = get_occupancy(gate, now_ms);

	switch (gate->order) {
	case ORDER_PRIORITY:
		return occupancy.in_flight < occupancy.limit;
	case ORDER_CLASS:
		return adm_has_slot(&gate->classes, &occupancy, now_ms);
	}
	return false;
}

static enum adm_verdict admit_by_class(struct adm_gate *gate,
				       const struct adm_call *call,
				       uint64_t now_ms,
				       enum adm_refusal *refusal)
{
	struct adm_occupancy occupancy = get_occupancy(gate, now_ms);
	enum adm_verdict verdict;

	/* A call that is refused for another reason takes no token. */
	if (!adm_has_cold_token(&gate->cold, now_ms)) {
		*refusal = ADM_REFUSAL_COLD;
		return ADM_VERDICT_REFUSE;
	}
	verdict = adm_decide_by_class(&gate->classes, &occupancy, call, now_ms,
				      refusal);
	if (verdict == ADM_VERDICT_REFUSE)
		return verdict;
	adm_take_cold_token(&gate->cold, now_ms);
	if (verdict == ADM_VERDICT_RUN)
		start_run(gate, now_ms);
	return verdict;
}

static void update_service_time(struct adm_gate *gate, uint32_t latency_us)
{
	int64_t change = (int64_t)latency_us - gate->latency_us;

	if (gate->latency_us == 0)
		gate->latency_us = latency_us;
	else
		gate->latency_us += change / (1 << LATENCY_SHIFT);
}

const char *adm_get_refusal_name(enum adm_refusal refusal)
{
	switch (refusal) {
	case ADM_REFUSAL_NONE:
		return "none";
	case ADM_REFUSAL_NO_TARGET:
		return "no_target";
	case ADM_REFUSAL_WRONG_TARGET:
		return "wrong_target";
	case ADM_REFUSAL_LEAVING:
		return "leaving";
	case ADM_REFUSAL_DOMAIN_OUT:
		return "domain_out";
	case ADM_REFUSAL_QUEUE_FULL:
		return "queue_full";
	case ADM_REFUSAL_DEADLINE:
		return "deadline";
	case ADM_REFUSAL_COLD:
		return "cold";
	case ADM_REFUSAL_DOWN:
		return "down";
	}
	return "unknown";
}

struct adm_gate *adm_new_gate(TALLOC_CTX *ctx)
{
	struct adm_gate *gate = talloc_zero(ctx, struct adm_gate);

	adm_init_queue(&gate->queue);
	talloc_set_destructor(gate, destroy_gate);
	adm_set_limit_slots(&gate->limit, 1);
	adm_start_limit(&gate->limit, 0);
	return gate;
}

void adm_use_classes(struct adm_gate *gate)
{
	assert(adm_get_waiting_count(gate) == 0);
	gate->order = ORDER_CLASS;
	adm_init_classes(gate, &gate->classes);
	cap_set_slots(gate->classes.capacity, gate->known_slots);
}

void adm_set_cold_bound(struct adm_gate *gate,
			const struct adm_cold_bound *bound)
{
	gate->cold.bound = *bound;
}

void adm_set_limits(struct adm_gate *gate, const struct doc_limits *limits)
{
	adm_set_cold_limits(&gate->cold, limits);
	if (gate->known_slots > 0)
		return;
	gate->queue_length = limits->queue_length;
	adm_set_limit_slots(&gate->limit, limits->slots);
}

void adm_set_known_slots(struct adm_gate *gate, uint32_t slots)
{
	gate->known_slots = slots;
	if (gate->order == ORDER_CLASS)
		cap_set_slots(gate->classes.capacity, slots);
	if (slots > 0) {
		gate->queue_length = slots * QUEUE_PER_SLOT;
		adm_set_limit_slots(&gate->limit, slots);
	}
	adm_set_limit_fixed(&gate->limit, slots > 0);
}

void adm_set_cold(struct adm_gate *gate, uint64_t until_ms)
{
	gate->cold.until_ms = MAX(gate->cold.until_ms, until_ms);
}

bool adm_is_check_due(struct adm_gate *gate, uint64_t now_ms)
{
	return get_closed_refusal(gate) == ADM_REFUSAL_NONE &&
	       now_ms >= gate->cold.until_ms &&
	       adm_is_warmth_due(&gate->cold.warmth, now_ms);
}

void adm_confirm_warm(struct adm_gate *gate, uint64_t asked_ms, uint64_t now_ms)
{
	adm_confirm_warmth(&gate->cold.warmth, asked_ms, now_ms);
}

void adm_mark_unreachable(struct adm_gate *gate)
{
	gate->is_down = true;
}

void adm_mark_reachable(struct adm_gate *gate)
{
	gate->is_down = false;
}

void adm_announce_target(struct adm_gate *gate, const char *service,
			 const char *version, uint64_t now_ms)
{
	char *old_service = gate->service;
	char *old_version = gate->version;

	gate->now_ms = now_ms;
	/*
	 * Calls that wait for another service or version must not run on the
	 * new target.
	 */
	if (old_service && (strcmp(old_service, service) != 0 ||
			    strcmp(old_version, version) != 0))
		expire_waiting(gate);
	gate->service = talloc_strdup(gate, service);
	gate->version = talloc_strdup(gate, version);
	gate->is_leaving = false;
	gate->is_down = false;
	gate->latency_us = 0;
	adm_clear_cold(&gate->cold);
	adm_clear_health(&gate->health);
	if (gate->order == ORDER_CLASS)
		cap_clear_target(gate->classes.capacity);
	adm_start_limit(&gate->limit, now_ms);
	talloc_free(old_service);
	talloc_free(old_version);
}

void adm_drain_target(struct adm_gate *gate)
{
	gate->is_leaving = true;
}

void adm_set_domain_out(struct adm_gate *gate, bool is_out)
{
	gate->is_domain_out = is_out;
}

void adm_set_hinted_limit(struct adm_gate *gate, uint32_t hinted_limit,
			  uint64_t now_ms)
{
	gate->now_ms = now_ms;
	adm_set_limit_hint(&gate->limit, hinted_limit, now_ms);
}

enum adm_verdict adm_admit(struct adm_gate *gate, const struct adm_call *call,
			   uint64_t now_ms, enum adm_refusal *refusal)
{
	gate->now_ms = now_ms;
	*refusal = check_open(gate, call, now_ms);
	if (*refusal != ADM_REFUSAL_NONE)
		return ADM_VERDICT_REFUSE;
	if (!adm_has_warmth_room(&gate->cold.warmth,
				 adm_get_waiting_count(gate), now_ms)) {
		*refusal = ADM_REFUSAL_COLD;
		return ADM_VERDICT_REFUSE;
	}
	if (gate->order == ORDER_CLASS)
		return admit_by_class(gate, call, now_ms, refusal);
	if (!adm_take_cold_token(&gate->cold, now_ms)) {
		*refusal = ADM_REFUSAL_COLD;
		return ADM_VERDICT_REFUSE;
	}
	if (adm_get_queue_length(&gate->queue) == 0 && has_room(gate, now_ms)) {
		start_run(gate, now_ms);
		return ADM_VERDICT_RUN;
	}
	*refusal = check_wait(gate, call, now_ms);
	if (*refusal != ADM_REFUSAL_NONE)
		return ADM_VERDICT_REFUSE;
	adm_push_waiting(&gate->queue, call, now_ms);
	return ADM_VERDICT_WAIT;
}

void *adm_take_ready(struct adm_gate *gate, uint64_t now_ms)
{
	void *ticket = NULL;

	gate->now_ms = now_ms;
	if (get_closed_refusal(gate) != ADM_REFUSAL_NONE ||
	    !has_room(gate, now_ms) ||
	    !adm_has_warmth_room(&gate->cold.warmth, 0, now_ms))
		return NULL;
	switch (gate->order) {
	case ORDER_PRIORITY:
		ticket = adm_pop_next(&gate->queue, now_ms,
				      get_service_ms(gate));
		break;
	case ORDER_CLASS:
		ticket = adm_take_next(&gate->classes.schedule, now_ms);
		break;
	}
	if (ticket)
		start_run(gate, now_ms);
	return ticket;
}

void *adm_take_expired(struct adm_gate *gate, uint64_t now_ms)
{
	bool is_closed = get_closed_refusal(gate) != ADM_REFUSAL_NONE;

	gate->now_ms = now_ms;
	switch (gate->order) {
	case ORDER_PRIORITY:
		return is_closed ? adm_pop_first(&gate->queue)
				 : adm_pop_expired(&gate->queue, now_ms,
						   get_service_ms(gate));
	case ORDER_CLASS:
		return is_closed
			       ? adm_take_any(&gate->classes.schedule)
			       : adm_take_late(&gate->classes.schedule, now_ms);
	}
	return NULL;
}

static uint64_t get_class_due_ms(const struct adm_gate *gate, uint64_t now_ms)
{
	const struct cap_target *capacity = gate->classes.capacity;
	uint64_t due_ms = adm_get_late_ms(&gate->classes.schedule);

	if (cap_estimate_foreign(capacity, now_ms) > 0)
		due_ms = MIN(due_ms, cap_get_foreign_end_ms(capacity));
	return due_ms;
}

uint64_t adm_get_due_ms(struct adm_gate *gate, uint64_t now_ms)
{
	uint64_t due_ms = UINT64_MAX;
	uint64_t room_ms;

	if (adm_get_waiting_count(gate) == 0)
		return due_ms;
	if (gate->order == ORDER_CLASS)
		due_ms = get_class_due_ms(gate, now_ms);
	room_ms = adm_get_warmth_room_ms(&gate->cold.warmth, now_ms);
	return room_ms > now_ms ? MIN(due_ms, room_ms) : due_ms;
}

enum adm_refusal adm_get_waiting_refusal(const struct adm_gate *gate)
{
	enum adm_refusal refusal = get_closed_refusal(gate);

	return refusal == ADM_REFUSAL_NONE ? ADM_REFUSAL_DEADLINE : refusal;
}

void adm_cancel_waiting(struct adm_gate *gate, void *ticket)
{
	switch (gate->order) {
	case ORDER_PRIORITY:
		adm_remove_waiting(&gate->queue, ticket);
		break;
	case ORDER_CLASS:
		adm_remove_entry(&gate->classes.schedule, ticket);
		break;
	}
}

void adm_finish(struct adm_gate *gate, enum adm_outcome outcome,
		uint64_t started_ms, uint32_t latency_us, uint64_t now_ms)
{
	struct adm_sample sample = {
		.outcome = outcome,
		.latency_us = latency_us,
		.started_ms = started_ms,
		.now_ms = now_ms,
		.in_flight = gate->in_flight,
	};

	assert(gate->in_flight > 0);
	assert(started_ms <= now_ms);
	gate->now_ms = now_ms;
	gate->in_flight--;
	adm_update_limit(&gate->limit, &sample);
	if (outcome != ADM_OUTCOME_CANCELLED)
		adm_update_health(&gate->health, outcome != ADM_OUTCOME_GOOD,
				  now_ms);
	if (outcome == ADM_OUTCOME_GOOD)
		update_service_time(gate, latency_us);
}

void adm_record_run(struct adm_gate *gate, const char *kind, uint32_t run_us,
		    uint32_t hold_us, uint64_t now_ms)
{
	if (gate->order == ORDER_CLASS)
		cap_record_run(gate->classes.capacity, kind, run_us, hold_us,
			       now_ms);
}

struct adm_expectation adm_expect_run(const struct adm_gate *gate,
				      const char *kind, uint64_t now_ms)
{
	struct adm_expectation expected = { 0 };
	const struct cap_target *capacity;
	uint64_t present;
	uint32_t limit;

	if (gate->order != ORDER_CLASS)
		return expected;
	capacity = gate->classes.capacity;
	present = (uint64_t)gate->in_flight +
		  cap_estimate_foreign(capacity, now_ms);
	limit = adm_get_limit(&gate->limit, now_ms);
	expected.run_us = cap_estimate_run_us(capacity, kind, now_ms);
	if (present > limit)
		expected.wait_us = (uint32_t)MIN(
			(present - limit) *
				cap_estimate_hold_us(capacity, now_ms) / limit,
			UINT32_MAX);
	return expected;
}

bool adm_record_report(struct adm_gate *gate, const struct cap_report *report,
		       uint64_t now_ms)
{
	return gate->order != ORDER_CLASS ||
	       cap_record_report(gate->classes.capacity, report,
				 gate->in_flight, now_ms);
}

void adm_get_load(const struct adm_gate *gate, struct rt_load *load)
{
	struct adm_occupancy occupancy = get_occupancy(gate, gate->now_ms);

	load->has_waits = gate->order == ORDER_CLASS;
	if (load->has_waits)
		adm_set_waits(&gate->classes, &occupancy, gate->now_ms, load);
	load->limit = adm_get_limit(&gate->limit, gate->now_ms);
	load->latency_us = gate->latency_us;
	load->failure_permille =
		adm_get_failure_permille(&gate->health, gate->now_ms);
	load->in_flight = gate->in_flight + adm_get_waiting_count(gate);
	load->is_unreachable = get_closed_refusal(gate) == ADM_REFUSAL_DOWN;
	if (get_closed_refusal(gate) != ADM_REFUSAL_NONE &&
	    !load->is_unreachable)
		load->phase = RT_PHASE_LEAVING;
	else if (adm_is_limit_starting(&gate->limit, gate->now_ms))
		load->phase = RT_PHASE_STARTING;
	else
		load->phase = RT_PHASE_SERVING;
}
