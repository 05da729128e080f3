/*
 * The target has 9 slots and runs calls for 120, 180 or 240 ms, so it can run
 * 50 a second. A caller has an objective of 600 ms and a deadline of 2,500 ms,
 * and its route a timeout of 1,200 ms, as the heaviest service of deployment A
 * in docs/design/hard-load.md.
 */
#include "return_model.h"

#include <string.h>

#define SLOTS 9U
#define ROOM_PER_SECOND 50U
#define OBJECTIVE_MS 600U
#define DEADLINE_MS 2500U
#define TIMEOUT_MS 1200U
#define MEAN_RUN_MS 180U
#define KEY 7U
/* Returns of an impatient caller, of any other one. */
#define IMPATIENT_RETURNS 3U
#define PATIENT_RETURNS 1U

struct caller {
	uint32_t number;
	bool is_impatient;
	uint64_t sent_ms; /* its first attempt; its clock is the model's */
	uint32_t returns_left;
	uint64_t arrival_ms; /* of its next attempt at the node; 0: none */
	uint64_t end_ms;     /* of its run; 0: not known */
	struct rt_arrival arrival;
	struct rt_return returned;
};

struct counts {
	uint32_t callers;
	uint32_t on_time;
	uint32_t late;
	uint32_t late_fresh; /* late although never refused */
	uint32_t lost;
	uint32_t promised;
};

struct model {
	struct adm_gate *gate;
	struct rt_returns *returns; /* NULL: callers are not recognized */
	uint64_t now_ms;
	uint64_t credit; /* of arrivals, in 1/100,000 of a call */
	uint32_t caller_count;
	uint32_t impatient_one_of;
	GList *callers; /* of struct caller, owned */
	GQueue waiting; /* in the queue of the target */
	uint32_t running;
	uint32_t answered; /* since the start; bounds the promises */
	uint32_t made;
	uint32_t kept;
	uint32_t broken;
	uint32_t early;
	struct counts counts[2]; /* indexed by is_impatient */
};

struct model *model_new(bool is_recognizing)
{
	struct model *model = g_new0(struct model, 1);

	model->now_ms = 1000;
	model->gate = adm_new_gate(NULL);
	adm_use_classes(model->gate);
	adm_announce_target(model->gate, "orders", "v1", model->now_ms);
	adm_set_known_slots(model->gate, SLOTS);
	if (is_recognizing)
		model->returns = rt_new_returns(NULL);
	return model;
}

void model_free(struct model *model)
{
	g_list_free_full(model->callers, g_free);
	g_queue_clear(&model->waiting);
	talloc_free(model->gate);
	talloc_free(model->returns);
	g_free(model);
}

void model_set_impatient(struct model *model, uint32_t one_of)
{
	model->impatient_one_of = one_of;
}

void model_restart(struct model *model)
{
	talloc_free(model->returns);
	model->returns = rt_new_returns(NULL);
}

/* One message in seven takes 20 ms instead of 8. */
static uint32_t get_network_ms(const struct caller *caller)
{
	return (caller->number + caller->returns_left) % 7 == 0 ? 20 : 8;
}

static uint32_t get_run_ms(const struct caller *caller)
{
	return 120 + caller->number % 3 * 60;
}

static void remove_caller(struct model *model, struct caller *caller)
{
	model->callers = g_list_remove(model->callers, caller);
	g_free(caller);
}

static void refuse_call(struct model *model, struct caller *caller)
{
	struct counts *counts = &model->counts[caller->is_impatient];
	uint64_t deadline_ms = caller->sent_ms + DEADLINE_MS;
	uint64_t heard_ms = model->now_ms + get_network_ms(caller);
	struct rt_advice advice = { .wait_ms = 50 };
	uint64_t wait_ms;

	if (model->returns)
		advice = rt_record_refusal(model->returns, "orders",
					   &caller->arrival, &caller->returned,
					   model->now_ms);
	model->made += advice.is_promise;
	counts->promised += advice.is_promise;
	if (caller->returned.kind == RT_RETURN_PROMISED)
		model->broken++;
	if (caller->returns_left == 0 || heard_ms >= deadline_ms) {
		counts->lost++;
		remove_caller(model, caller);
		return;
	}
	wait_ms = MIN(advice.wait_ms, (deadline_ms - heard_ms) / 3);
	if (caller->is_impatient)
		wait_ms = 0;
	caller->returns_left--;
	caller->arrival_ms = heard_ms + wait_ms + get_network_ms(caller);
}

static void start_call(struct model *model, struct caller *caller)
{
	if (model->running < SLOTS) {
		model->running++;
		caller->end_ms = model->now_ms + get_run_ms(caller);
		return;
	}
	g_queue_push_tail(&model->waiting, caller);
}

static void end_call(struct model *model, struct caller *caller)
{
	struct counts *counts = &model->counts[caller->is_impatient];
	uint64_t took_ms =
		model->now_ms + get_network_ms(caller) - caller->sent_ms;
	uint32_t run_us = get_run_ms(caller) * 1000;
	struct caller *next = g_queue_pop_head(&model->waiting);

	model->running--;
	if (next)
		start_call(model, next);
	adm_record_run(model->gate, "order", run_us, run_us, model->now_ms);
	adm_finish(model->gate, ADM_OUTCOME_GOOD,
		   model->now_ms - get_run_ms(caller), run_us, model->now_ms);
	if (model->returns)
		rt_record_service_answer(model->returns, "orders",
					 model->now_ms);
	model->answered++;
	model->kept += caller->returned.is_promised;
	counts->on_time += took_ms <= OBJECTIVE_MS;
	counts->late += took_ms > OBJECTIVE_MS;
	counts->late_fresh += took_ms > OBJECTIVE_MS &&
			      caller->returned.kind == RT_RETURN_NONE;
	remove_caller(model, caller);
}

static bool has_idle_slot(const struct model *model)
{
	struct rt_load load;

	adm_get_load(model->gate, &load);
	return load.in_flight < load.limit;
}

/* Sets what depends on whether the caller has returned. */
static void set_class(struct model *model, struct caller *caller,
		      struct adm_call *call)
{
	call->class = RT_CLASS_RANK_1;
	call->objective_ms = model->now_ms + OBJECTIVE_MS;
	if (model->returns)
		caller->returned =
			rt_take_return(model->returns, &caller->arrival);
	if (caller->returned.kind == RT_RETURN_NONE)
		return;
	call->objective_ms = caller->returned.due_ms;
	if (caller->returned.kind != RT_RETURN_PROMISED)
		return;
	call->class = RT_CLASS_RETURNED;
	if (caller->returned.is_late)
		call->objective_ms = 0;
}

static void receive_call(struct model *model, struct caller *caller)
{
	uint64_t sent_ms = model->now_ms - get_network_ms(caller);
	enum adm_refusal refusal;
	struct adm_call call = {
		.service = "orders",
		.version = "v1",
		.ticket = caller,
		.kind = "order",
	};

	caller->arrival_ms = 0;
	caller->arrival = (struct rt_arrival){
		.key = KEY,
		.received_ms = model->now_ms,
		.left_ms =
			(uint32_t)(caller->sent_ms + DEADLINE_MS -
				   MIN(sent_ms, caller->sent_ms + DEADLINE_MS)),
		.objective_ms = OBJECTIVE_MS,
		.run_us = MEAN_RUN_MS * 1000,
	};
	call.deadline_ms =
		model->now_ms + MIN(caller->arrival.left_ms, TIMEOUT_MS);
	set_class(model, caller, &call);
	if (rt_needs_idle_target(&caller->returned) && !has_idle_slot(model)) {
		model->early += caller->returned.kind == RT_RETURN_EARLY;
		refuse_call(model, caller);
		return;
	}
	switch (adm_admit(model->gate, &call, model->now_ms, &refusal)) {
	case ADM_VERDICT_RUN:
		start_call(model, caller);
		break;
	case ADM_VERDICT_WAIT:
		break;
	case ADM_VERDICT_REFUSE:
		refuse_call(model, caller);
		break;
	}
}

static void process_waiting(struct model *model)
{
	struct caller *caller;

	while ((caller = adm_take_expired(model->gate, model->now_ms)))
		refuse_call(model, caller);
	while ((caller = adm_take_ready(model->gate, model->now_ms)))
		start_call(model, caller);
}

static void add_fresh_callers(struct model *model, uint32_t percent)
{
	model->credit += (uint64_t)percent * ROOM_PER_SECOND;
	while (model->credit >= 100000) {
		struct caller *caller = g_new0(struct caller, 1);

		model->credit -= 100000;
		caller->number = ++model->caller_count;
		caller->is_impatient =
			model->impatient_one_of > 0 &&
			caller->number % model->impatient_one_of == 0;
		caller->returns_left = caller->is_impatient ? IMPATIENT_RETURNS
							    : PATIENT_RETURNS;
		caller->sent_ms = model->now_ms;
		caller->arrival_ms = model->now_ms + get_network_ms(caller);
		model->counts[caller->is_impatient].callers++;
		model->callers = g_list_append(model->callers, caller);
	}
}

static void run_step(struct model *model, uint32_t percent)
{
	GList *link = model->callers;

	model->now_ms++;
	add_fresh_callers(model, percent);
	while (link) {
		struct caller *caller = link->data;

		link = link->next;
		if (caller->end_ms == model->now_ms)
			end_call(model, caller);
		else if (caller->arrival_ms == model->now_ms)
			receive_call(model, caller);
	}
	process_waiting(model);
}

void model_run(struct model *model, uint32_t percent, uint32_t duration_ms)
{
	for (uint32_t i = 0; i < duration_ms; i++)
		run_step(model, percent);
}

static void print_counts(const struct counts *counts, const char *name,
			 GString *output)
{
	uint32_t worth = counts->on_time * 1000 + counts->late * 500;

	if (counts->callers == 0)
		return;
	g_string_append_printf(
		output,
		"%s: %u callers, %u on time, %u late (%u never refused), "
		"%u lost, %u promised; worth %u of 1000\n",
		name, counts->callers, counts->on_time, counts->late,
		counts->late_fresh, counts->lost, counts->promised,
		worth / counts->callers);
}

void model_print(struct model *model, GString *output)
{
	while (model->callers)
		run_step(model, 0);
	print_counts(&model->counts[false], "patient", output);
	print_counts(&model->counts[true], "impatient", output);
	g_string_append_printf(output,
			       "promises: %u made, %u kept, %u broken for %u "
			       "answers; %u early\n",
			       model->made, model->kept, model->broken,
			       model->answered, model->early);
	model->made = model->kept = model->broken = model->early = 0;
	model->answered = 0;
	memset(model->counts, 0, sizeof(model->counts));
}
