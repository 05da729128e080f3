/*
 * Simulated entry nodes and targets.
 *
 * A call arrives at an entry, which chooses a target. The call crosses the
 * network to the target's node, is admitted and served, and its answer returns
 * with the load report of the target. A refused call may be retried on another
 * target.
 *
 * A target can run concurrency_max calls in parallel. Each call beyond that
 * counts as an overload, by the target's own count, and takes longer the more
 * calls run. All targets are warm and healthy at first, although their gates
 * start without that information.
 *
 * After the warm-up the cold target can run one call, and one more for each
 * WARM_UP_CALLS_PER_SLOT calls that it served without an overload. Calls that
 * run on it when it restarts end on its old instance. A MODEL_FAULT_GREY target
 * sheds a share of its calls. Bodies queue for the link into a target's vm.
 *
 * The vms of a failed domain, including their entries, answer nothing. The
 * other entries retry calls that did not reach these vms on other targets, and
 * remove the vms from their tables after FAILURE_DETECTION_US.
 */
#include "model.h"

#include <math.h>
#include <stdlib.h>
#include "model_state.h"

#define LOCAL_ONE_WAY_US 100U /* one-way latency within a failure domain */
#define DEADLINE_US 250000U
#define KIND "orders"
#define WARM_UP_CALLS_PER_SLOT 40U
#define GREY_TARGET 0U
#define SHED_US 500U	      /* time that a target takes to shed a call */
#define SMALL_BODY_BYTES 800U /* size including the headers */
#define LARGE_BODY_BYTES 60000U
#define CONNECT_US 200000U /* connect timeout to a vm of the failed domain */

struct model_call {
	struct model *model;
	uint32_t entry;
	uint32_t target;
	uint32_t instance;
	uint64_t started_us;
	uint64_t sent_us;
	uint64_t reached_us;
	uint64_t admitted_us;
	uint64_t answered_us;
	bool has_large_body;
	struct rt_request request;
	struct rt_load load;
	enum rt_outcome outcome;
	uint32_t attempt_count;
};

static void send_attempt(struct model_call *call, uint64_t now_us);

static uint64_t get_deadline_us(const struct model_call *call)
{
	const struct model_case *setup = call->model->setup;

	return call->started_us +
	       (setup->is_placed ? setup->timeout_us : DEADLINE_US);
}

static uint64_t get_one_way_us(const struct model_call *call)
{
	const struct model *model = call->model;

	if (model_get_domain(model, call->entry) ==
	    model_get_domain(model, call->target))
		return LOCAL_ONE_WAY_US;
	return model->setup->distance_us;
}

/* Returns the time that the call and its answer spent between the nodes. */
static uint32_t get_transit_us(const struct model_call *call, uint64_t now_us)
{
	if (call->model->setup->ignores_transit)
		return 0;
	return (uint32_t)(now_us - call->sent_us -
			  (call->answered_us - call->reached_us));
}

/* Fails a call that gets no answer any more and may have run. */
static void fail_call(uint64_t now_us, void *data)
{
	struct model_call *call = data;
	struct model *model = call->model;

	if (!model_has_failed(model, call->entry))
		rt_record_end(model->entries[call->entry].chooser,
			      model->targets[call->target].address,
			      RT_OUTCOME_FAILED, NULL, 0, now_us / 1000);
	model->result.calls++;
	model->result.lost++;
	model->result.wasted++;
	talloc_free(call);
}

static void finish_call(struct model_call *call, uint64_t now_us, bool is_run)
{
	struct model_result *result = &call->model->result;
	uint32_t taken_us = (uint32_t)(now_us - call->started_us);
	bool is_first;

	if (call->started_us < model_get_warm_up_us(call->model))
		goto out;
	result->calls++;
	is_first = model_get_domain(call->model, call->entry) == 0;
	result->first_domain_calls += is_first;
	if (!is_run) {
		result->refused++;
		g_array_append_val(call->model->refusals_us, taken_us);
		goto out;
	}
	if (taken_us <= call->model->setup->objective_us) {
		result->in_objective++;
		result->first_domain_in_objective += is_first;
	}
	if (now_us <= get_deadline_us(call)) {
		result->good++;
	} else {
		result->late++;
		result->wasted++;
	}
	g_array_append_val(call->has_large_body
				   ? call->model->large_body_latencies_us
				   : call->model->latencies_us,
			   taken_us);
out:
	talloc_free(call);
}

static bool may_retry(const struct model_call *call, uint64_t now_us)
{
	struct rt_retry retry = {
		.outcome = call->outcome,
		.is_not_run = true,
		.is_body_kept = true,
		.attempt_count = call->attempt_count,
		.sent_max = RT_SENT_MAX,
		.now_ms = now_us / 1000,
		.deadline_ms = get_deadline_us(call) / 1000,
	};

	return rt_decide_retry(call->model->entries[call->entry].budget,
			       &retry) == RT_RETRY_YES;
}

static bool has_left(const struct model_call *call)
{
	return call->model->setup->is_placed &&
	       model_get_domain(call->model, call->entry) !=
		       model_get_domain(call->model, call->target);
}

static void record_leaving(const struct model_call *call, uint64_t now_us)
{
	struct model *model = call->model;

	if (!has_left(call))
		return;
	rt_record_leaving(model->entries[call->entry].chooser, "orders",
			  call->outcome, now_us / 1000);
	if (call->started_us >= model_get_warm_up_us(model))
		model->result.away_refused +=
			call->outcome == RT_OUTCOME_REFUSED;
}

static void receive_answer(uint64_t now_us, void *data)
{
	struct model_call *call = data;
	struct model *model = call->model;
	const char *address = model->targets[call->target].address;

	record_leaving(call, now_us);
	rt_record_end(model->entries[call->entry].chooser, address,
		      call->outcome, &call->load, get_transit_us(call, now_us),
		      now_us / 1000);
	if (call->outcome == RT_OUTCOME_ANSWERED) {
		finish_call(call, now_us, true);
	} else if (may_retry(call, now_us)) {
		call->request.tried[call->request.tried_count++] = address;
		send_attempt(call, now_us);
	} else {
		finish_call(call, now_us, false);
	}
}

static void send_answer(struct model_call *call, enum rt_outcome outcome,
			uint64_t now_us)
{
	struct model *model = call->model;
	struct model_target *target = &model->targets[call->target];

	call->outcome = outcome;
	call->answered_us = now_us;
	if (model_has_failed(model, call->entry) ||
	    model_has_failed(model, call->target)) {
		event_add(model->events, MAX(now_us, get_deadline_us(call)),
			  fail_call, call);
		return;
	}
	if (model->setup->has_gate) {
		adm_get_load(target->gate, &call->load);
		if (model->setup->hides_failures)
			call->load.failure_permille = 0;
	} else {
		call->load.limit = model->setup->slots;
		call->load.in_flight = target->running;
		call->load.phase = RT_PHASE_SERVING;
	}
	event_add(model->events, now_us + get_one_way_us(call), receive_answer,
		  call);
}

static void warm_up(struct model *model, struct model_target *target)
{
	if (target->running > target->concurrency_max ||
	    target->concurrency_max == model->setup->slots)
		return;
	target->served++;
	target->concurrency_max =
		(uint32_t)MIN(1 + target->served / WARM_UP_CALLS_PER_SLOT,
			      model->setup->slots);
}

static void serve_waiting(struct model *model, struct model_target *target,
			  uint64_t now_us);

static void end_service(uint64_t now_us, void *data)
{
	struct model_call *call = data;
	struct model *model = call->model;
	struct model_target *target = &model->targets[call->target];

	if (call->instance == target->instance) {
		warm_up(model, target);
		target->running--;
	}
	if (model->setup->is_placed)
		adm_record_run(target->gate, KIND,
			       (uint32_t)(now_us - call->admitted_us),
			       (uint32_t)(now_us - call->admitted_us),
			       now_us / 1000);
	if (model->setup->has_gate)
		adm_finish(target->gate, ADM_OUTCOME_GOOD,
			   now_us / 1000 - (now_us - call->admitted_us) / 1000,
			   (uint32_t)(now_us - call->admitted_us),
			   now_us / 1000);
	send_answer(call, RT_OUTCOME_ANSWERED, now_us);
	if (model->setup->has_gate)
		serve_waiting(model, target, now_us);
}

static void end_shed(uint64_t now_us, void *data)
{
	struct model_call *call = data;
	struct model_target *target = &call->model->targets[call->target];

	target->running--;
	call->model->result.shed_calls++;
	adm_finish(target->gate, ADM_OUTCOME_SHED, call->admitted_us / 1000,
		   (uint32_t)(now_us - call->admitted_us), now_us / 1000);
	send_answer(call, RT_OUTCOME_REFUSED, now_us);
	serve_waiting(call->model, target, now_us);
}

/* Returns whether the MODEL_FAULT_GREY target sheds the call. */
static bool should_shed(struct model_call *call, uint64_t now_us)
{
	struct model *model = call->model;

	if (model->setup->fault != MODEL_FAULT_GREY ||
	    call->target != GREY_TARGET || now_us < model_get_warm_up_us(model))
		return false;
	model->result.grey_calls++;
	return g_rand_int_range(model->random, 0, 1000) <
	       MODEL_GREY_SHED_PERMILLE;
}

static void start_service(struct model_call *call, uint64_t now_us)
{
	struct model *model = call->model;
	struct model_target *target = &model->targets[call->target];
	uint32_t mean_us;
	uint64_t service_us;

	call->admitted_us = now_us;
	call->instance = target->instance;
	target->running++;
	if (should_shed(call, now_us)) {
		event_add(model->events, now_us + SHED_US, end_shed, call);
		return;
	}
	mean_us = model->setup->is_placed
			  ? (uint32_t)(model->setup->service_us *
				       target->speed_factor)
			  : MODEL_SERVICE_US;
	service_us =
		(uint64_t)g_rand_int_range(model->random, (gint32)mean_us / 2,
					   (gint32)mean_us * 3 / 2) *
		target->slow_factor;
	if (target->running > target->concurrency_max)
		service_us =
			service_us * target->running / target->concurrency_max;
	if (call->target == MODEL_COLD_TARGET &&
	    now_us >= model_get_warm_up_us(model)) {
		model->result.cold_calls++;
		if (target->running > target->concurrency_max)
			model->result.cold_overloads++;
	}
	event_add(model->events, now_us + service_us, end_service, call);
}

static void serve_waiting(struct model *model, struct model_target *target,
			  uint64_t now_us)
{
	struct model_call *call;

	while ((call = adm_take_expired(target->gate, now_us / 1000)))
		send_answer(call, RT_OUTCOME_REFUSED, now_us);
	while ((call = adm_take_ready(target->gate, now_us / 1000)))
		start_service(call, now_us);
}

/* No byte was sent, so the call may be retried elsewhere. */
static void fail_connect(uint64_t now_us, void *data)
{
	struct model_call *call = data;
	struct model_entry *entry = &call->model->entries[call->entry];
	const char *address = call->model->targets[call->target].address;

	call->outcome = RT_OUTCOME_FAILED;
	record_leaving(call, now_us);
	rt_record_end(entry->chooser, address, call->outcome, NULL,
		      (uint32_t)(now_us - call->sent_us), now_us / 1000);
	if (!may_retry(call, now_us)) {
		finish_call(call, now_us, false);
		return;
	}
	call->request.tried[call->request.tried_count++] = address;
	send_attempt(call, now_us);
}

static void arrive_at_target(uint64_t now_us, void *data)
{
	struct model_call *call = data;
	struct model *model = call->model;
	struct model_target *target = &model->targets[call->target];
	enum adm_refusal refusal;
	struct adm_call asked = {
		.service = "orders",
		.version = "v1",
		.ticket = call,
		.deadline_ms = get_deadline_us(call) / 1000,
	};

	call->reached_us = now_us;
	if (model_has_failed(model, call->target)) {
		event_add(model->events, now_us + CONNECT_US, fail_connect,
			  call);
		return;
	}
	if (!model->setup->has_gate) {
		start_service(call, now_us);
		return;
	}
	target->called_us[call->entry] = now_us;
	if (model->setup->is_placed) {
		asked.objective_ms = call->request.latest_end_ms;
		asked.class = call->request.class;
		asked.kind = KIND;
	}
	switch (adm_admit(target->gate, &asked, now_us / 1000, &refusal)) {
	case ADM_VERDICT_RUN:
		start_service(call, now_us);
		break;
	case ADM_VERDICT_WAIT:
		model->result.waiting_max =
			MAX(model->result.waiting_max,
			    adm_get_waiting_count(target->gate));
		break;
	case ADM_VERDICT_REFUSE:
		send_answer(call, RT_OUTCOME_REFUSED, now_us);
		break;
	}
}

/* Returns when the call arrives at the target's node. */
static uint64_t get_arrival_us(struct model_call *call, uint64_t now_us)
{
	struct model *model = call->model;
	struct model_target *target = &model->targets[call->target];
	uint32_t rate = model->setup->link_bytes_per_ms;
	uint64_t bytes =
		call->has_large_body ? LARGE_BODY_BYTES : SMALL_BODY_BYTES;
	uint64_t start_us;

	if (rate == 0 || call->entry == call->target)
		return now_us + get_one_way_us(call);
	start_us = MAX(now_us + get_one_way_us(call), target->link_free_us);
	target->link_free_us = start_us + bytes * 1000 / rate;
	return target->link_free_us;
}

static void count_attempt(const struct model_call *call, uint64_t now_us)
{
	struct model_result *result = &call->model->result;
	uint64_t warm_up_us = model_get_warm_up_us(call->model);
	uint64_t second;

	if (call->started_us < warm_up_us)
		return;
	result->attempts++;
	second = (now_us - warm_up_us) / G_USEC_PER_SEC;
	if (!has_left(call))
		return;
	result->away++;
	if (second < MODEL_SECONDS_MAX)
		result->away_per_s[second]++;
}

static void send_attempt(struct model_call *call, uint64_t now_us)
{
	struct model *model = call->model;
	struct model_entry *entry = &model->entries[call->entry];
	const struct rt_target *target;
	enum rt_refusal refusal;

	target = rt_choose_target(entry->chooser, entry->table, &call->request,
				  now_us / 1000, &refusal);
	model_send_ask(model, call->entry, rt_take_ask(entry->chooser), now_us);
	if (!target) {
		if (refusal == RT_REFUSAL_NO_ROOM &&
		    call->started_us >= model_get_warm_up_us(model))
			model->result.early++;
		finish_call(call, now_us, false);
		return;
	}
	call->attempt_count++;
	call->target = (uint32_t)strtoul(target->address + 1, NULL, 10);
	call->sent_us = now_us;
	count_attempt(call, now_us);
	rt_record_start(entry->chooser, target->address);
	event_add(model->events, get_arrival_us(call, now_us), arrive_at_target,
		  call);
}

/*
 * Returns the mean time between two calls, shorter in the middle third of a
 * flash crowd.
 */
static double get_gap_us(const struct model *model, uint64_t now_us)
{
	const struct model_case *setup = model->setup;
	uint64_t third_us = (uint64_t)setup->measured_s * G_USEC_PER_SEC / 3;
	uint64_t begin_us = model_get_warm_up_us(model) + third_us;

	if (setup->crowd_permille == 0 || now_us < begin_us ||
	    now_us >= begin_us + third_us)
		return model->arrival_gap_us;
	return model->arrival_gap_us * setup->load_permille /
	       setup->crowd_permille;
}

/* Chooses a random entry; if it has failed, the next one that has not. */
static uint32_t choose_entry(struct model *model)
{
	uint32_t domains = model->setup->domain_count;
	uint32_t entry = (uint32_t)g_rand_int_range(
		model->random, 0, (gint32)model->setup->target_count);
	uint32_t first = model->setup->first_domain_permille;

	if (first > 0) {
		entry -= entry % domains;
		if (g_rand_double(model->random) *
			    (first +
			     (domains - 1) * model->setup->load_permille) >=
		    first)
			entry += 1 +
				 (uint32_t)g_rand_int_range(
					 model->random, 0, (gint32)domains - 1);
	}
	while (model_has_failed(model, entry))
		entry = (entry + 1) % model->setup->target_count;
	return entry;
}

static void receive_call(uint64_t now_us, void *data)
{
	struct model *model = data;
	struct model_call *call = talloc_zero(model, struct model_call);
	double gap_us;

	call->model = model;
	call->started_us = now_us;
	call->entry = choose_entry(model);
	call->request.service = model->service;
	if (model->setup->large_body_permille > 0)
		call->has_large_body =
			(uint32_t)g_rand_int_range(model->random, 0, 1000) <
			model->setup->large_body_permille;
	call->request.is_bulky = call->has_large_body;
	if (model->setup->is_placed) {
		call->request.is_placed = true;
		call->request.class = RT_CLASS_RANK_1;
		call->request.run_us = model->setup->service_us;
		call->request.is_known_only = model->setup->is_known_only;
		call->request.crossing_us = model->setup->crossing_us;
		call->request.latest_end_ms =
			(now_us + model->setup->objective_us) / 1000;
	}
	rt_credit_budget(model->entries[call->entry].budget, false,
			 now_us / 1000);
	send_attempt(call, now_us);
	gap_us = -log(1 - g_rand_double(model->random)) *
		 get_gap_us(model, now_us);
	if (now_us + (uint64_t)gap_us < model->arrival_end_us)
		event_add(model->events, now_us + (uint64_t)gap_us,
			  receive_call, model);
}

void model_begin(struct model *model)
{
	event_add(model->events, 0, receive_call, model);
}
