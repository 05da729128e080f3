/* Tests of the admission gate, its limit and its queue. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include "loom/admission.h"
#include "script.h"

struct gate_state {
	struct adm_gate *gate;
	uint64_t now_ms;
	uint32_t deadline_ms; /* relative to the arrival of a call */
	uintptr_t last_ticket;
	uint64_t objective_ms; /* relative to the arrival of a call; 0: none */
	uint32_t priority;
};

static uint32_t parse_number(const char *text)
{
	return (uint32_t)strtoul(text, NULL, 10);
}

static enum adm_outcome parse_outcome(const char *name)
{
	static const char *const names[] = { "good",	"error",  "shed",
					     "timeout", "broken", "cancelled" };
	int i = 0;

	while (strcmp(names[i], name) != 0)
		i++;
	return (enum adm_outcome)i;
}

static void print_load(const struct gate_state *state, GString *output)
{
	struct rt_load load;

	adm_get_load(state->gate, &load);
	g_string_append_printf(output, "limit %u in_flight %u waiting %u %s\n",
			       load.limit, load.in_flight,
			       adm_get_waiting_count(state->gate),
			       rt_get_phase_name(load.phase));
}

static void print_failures(const struct gate_state *state, GString *output)
{
	struct rt_load load;

	adm_get_load(state->gate, &load);
	g_string_append_printf(output, "%u of 1000 fail\n",
			       load.failure_permille);
}

static void admit(struct gate_state *state, const char *version,
		  GString *output)
{
	uintptr_t ticket = ++state->last_ticket;
	enum adm_refusal refusal;
	struct adm_call call = {
		.service = "orders",
		.version = version,
		.ticket = (void *)ticket,
		.deadline_ms = state->now_ms + state->deadline_ms,
		.objective_ms = state->objective_ms
					? state->now_ms + state->objective_ms
					: 0,
		.priority = state->priority,
	};

	switch (adm_admit(state->gate, &call, state->now_ms, &refusal)) {
	case ADM_VERDICT_RUN:
		g_string_append_printf(output, "%" PRIuPTR " runs\n", ticket);
		break;
	case ADM_VERDICT_WAIT:
		g_string_append_printf(output, "%" PRIuPTR " waits\n", ticket);
		break;
	case ADM_VERDICT_REFUSE:
		g_string_append_printf(output, "%" PRIuPTR " refused %s\n",
				       ticket, adm_get_refusal_name(refusal));
		break;
	}
}

static void print_tickets(struct gate_state *state, GString *output)
{
	void *ticket;

	while ((ticket = adm_take_expired(state->gate, state->now_ms)))
		g_string_append_printf(
			output, "%" PRIuPTR " refused %s\n", (uintptr_t)ticket,
			adm_get_refusal_name(
				adm_get_waiting_refusal(state->gate)));
	while ((ticket = adm_take_ready(state->gate, state->now_ms)))
		g_string_append_printf(output, "%" PRIuPTR " runs\n",
				       (uintptr_t)ticket);
}

static void end_call(struct gate_state *state, enum adm_outcome outcome,
		     uint32_t latency_ms)
{
	adm_finish(state->gate, outcome,
		   state->now_ms - MIN(state->now_ms, latency_ms),
		   latency_ms * 1000, state->now_ms);
}

/*
 * Admits calls until wanted ones or the limit are in flight, then finishes one
 * after latency_ms.
 */
static void run_one_call(struct gate_state *state, enum adm_outcome outcome,
			 uint32_t wanted, uint32_t latency_ms)
{
	enum adm_refusal refusal;
	struct adm_call call = { .service = "orders",
				 .version = "v1",
				 .deadline_ms = UINT64_MAX };
	struct rt_load load;

	adm_get_load(state->gate, &load);
	for (uint32_t i = load.in_flight; i < MIN(load.limit, wanted); i++)
		adm_admit(state->gate, &call, state->now_ms, &refusal);
	state->now_ms += latency_ms;
	end_call(state, outcome, latency_ms);
}

/*
 * "use OUTCOME COUNT MS": COUNT calls end, and the limit is fully used each
 * time.
 * "idle OUTCOME COUNT MS": the same with at most two calls in flight.
 * "mix COUNT MS1 MS2 PERCENT": PERCENT of the calls take MS2, the others MS1.
 */
static void run_calls(struct gate_state *state, char **words, GString *output)
{
	bool is_mix = strcmp(words[0], "mix") == 0;
	bool is_idle = strcmp(words[0], "idle") == 0;
	uint32_t count = parse_number(words[is_mix ? 1 : 2]);
	GRand *random = g_rand_new_with_seed(1);

	for (uint32_t i = 0; i < count; i++) {
		uint32_t percent = (uint32_t)g_rand_int_range(random, 0, 100);

		if (is_mix)
			run_one_call(
				state, ADM_OUTCOME_GOOD, UINT32_MAX,
				parse_number(percent < parse_number(words[4])
						     ? words[3]
						     : words[2]));
		else
			run_one_call(state, parse_outcome(words[1]),
				     is_idle ? 2 : UINT32_MAX,
				     parse_number(words[3]));
	}
	g_rand_free(random);
	print_load(state, output);
}

static bool run_traffic_step(int word_count, char **words, GString *output,
			     struct gate_state *state)
{
	if (strcmp(words[0], "admit") == 0) {
		admit(state, word_count > 1 ? words[1] : "v1", output);
	} else if (strcmp(words[0], "finish") == 0) {
		end_call(state, parse_outcome(words[1]),
			 parse_number(words[2]));
	} else if (strcmp(words[0], "use") == 0 ||
		   strcmp(words[0], "idle") == 0 ||
		   strcmp(words[0], "mix") == 0) {
		run_calls(state, words, output);
	} else if (strcmp(words[0], "take") == 0) {
		print_tickets(state, output);
	} else if (strcmp(words[0], "cancel") == 0) {
		adm_cancel_waiting(state->gate,
				   (void *)(uintptr_t)parse_number(words[1]));
	} else if (strcmp(words[0], "load") == 0) {
		print_load(state, output);
	} else if (strcmp(words[0], "failures") == 0) {
		print_failures(state, output);
	} else {
		return false;
	}
	return true;
}

static bool run_gate_step(int word_count, char **words, GString *output,
			  void *data)
{
	struct gate_state *state = data;
	struct doc_limits limits = { 0 };

	if (strcmp(words[0], "limits") == 0) {
		limits.slots = parse_number(words[1]);
		limits.queue_length = parse_number(words[2]);
		adm_set_limits(state->gate, &limits);
	} else if (strcmp(words[0], "announce") == 0) {
		adm_announce_target(state->gate, words[1], words[2],
				    state->now_ms);
	} else if (strcmp(words[0], "slots") == 0) {
		adm_set_known_slots(state->gate, parse_number(words[1]));
	} else if (strcmp(words[0], "cold") == 0) {
		limits.slots = 1;
		limits.cold_calls_per_second = parse_number(words[1]);
		adm_set_limits(state->gate, &limits);
		adm_set_cold(state->gate,
			     state->now_ms + parse_number(words[2]));
	} else if (strcmp(words[0], "down") == 0) {
		adm_mark_unreachable(state->gate);
	} else if (strcmp(words[0], "alive") == 0) {
		adm_mark_reachable(state->gate);
	} else if (strcmp(words[0], "drain") == 0) {
		adm_drain_target(state->gate);
	} else if (strcmp(words[0], "domain") == 0) {
		adm_set_domain_out(state->gate, strcmp(words[1], "out") == 0);
	} else if (strcmp(words[0], "hint") == 0) {
		adm_set_hinted_limit(state->gate, parse_number(words[1]),
				     state->now_ms);
	} else if (strcmp(words[0], "at") == 0) {
		state->now_ms = parse_number(words[1]);
	} else if (strcmp(words[0], "after") == 0) {
		state->now_ms += parse_number(words[1]);
	} else if (strcmp(words[0], "objective") == 0) {
		state->objective_ms = parse_number(words[1]);
	} else if (strcmp(words[0], "priority") == 0) {
		state->priority = parse_number(words[1]);
	} else if (strcmp(words[0], "deadline") == 0) {
		state->deadline_ms = parse_number(words[1]);
	} else {
		return run_traffic_step(word_count, words, output, state);
	}
	return true;
}

static void run_gate_script(const char *name)
{
	struct gate_state state = { .deadline_ms = 1000 };

	state.gate = adm_new_gate(NULL);
	scr_run(name, run_gate_step, &state);
	talloc_free(state.gate);
}

static void test_gate(void)
{
	run_gate_script("gate");
}

static void test_limit(void)
{
	run_gate_script("limit");
}

static void test_cold(void)
{
	run_gate_script("cold");
}

static void test_baseline(void)
{
	run_gate_script("baseline");
}

static void test_hint(void)
{
	run_gate_script("hint");
}

static void test_queue(void)
{
	run_gate_script("queue");
}

static void test_priority(void)
{
	run_gate_script("priority");
}

static void test_known_slots(void)
{
	run_gate_script("known_slots");
}

static void test_failures(void)
{
	run_gate_script("failures");
}

static void test_overload(void)
{
	run_gate_script("overload");
}

/* Shows that a call refused for its wait takes a token in the old order. */
static void test_cold_tokens(void)
{
	run_gate_script("cold_tokens");
}

static const CU_TestInfo tests[] = {
	{ "gate admits, queues and refuses", test_gate },
	{ "limit rises with use and halves", test_limit },
	{ "target that becomes cold again", test_cold },
	{ "baseline latency is learned again", test_baseline },
	{ "hints only lower and expire", test_hint },
	{ "queue is bounded by deadlines", test_queue },
	{ "priority and objective", test_priority },
	{ "slots and cold time that the target announces", test_known_slots },
	{ "share of calls that fail on the target", test_failures },
	{ "sustained overload serves calls that are in time", test_overload },
	{ "tokens of calls that are refused for their wait", test_cold_tokens },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("admission", tests);
}
