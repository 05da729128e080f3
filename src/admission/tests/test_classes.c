/* Tests of admission by class: single decisions of the gate. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include "loom/admission.h"
#include "script.h"

struct state {
	struct adm_gate *gate;
	uint64_t now_ms;
	uintptr_t last_ticket;
};

static uint32_t parse_number(const char *text)
{
	return (uint32_t)strtoul(text, NULL, 10);
}

/* The names are those of the labels of loom_gate_wait_seconds. */
static enum rt_class parse_class(const char *name)
{
	static const char *const names[RT_CLASS_COUNT] = { "nested", "returned",
							   "rank0", "rank1",
							   "low" };
	int i = 0;

	while (i < RT_CLASS_COUNT && strcmp(names[i], name) != 0)
		i++;
	g_assert(i < RT_CLASS_COUNT);
	return (enum rt_class)i;
}

/* "call CLASS KIND OBJECTIVE_MS DEADLINE_MS [SEND_MS]" */
static void admit(struct state *state, int word_count, char **words,
		  GString *output)
{
	uintptr_t ticket = ++state->last_ticket;
	uint32_t objective_ms = parse_number(words[3]);
	enum adm_refusal refusal;
	struct adm_call call = {
		.service = "orders",
		.version = "v1",
		.ticket = (void *)ticket,
		.class = parse_class(words[1]),
		.kind = words[2],
		.objective_ms = objective_ms ? state->now_ms + objective_ms : 0,
		.deadline_ms = state->now_ms + parse_number(words[4]),
		.send_us = word_count > 5 ? parse_number(words[5]) * 1000 : 0,
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

static void take_tickets(struct state *state, GString *output)
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

/* "ready": takes calls that may start, with no regard to late ones. */
static void take_ready(struct state *state, GString *output)
{
	void *ticket;

	while ((ticket = adm_take_ready(state->gate, state->now_ms)))
		g_string_append_printf(output, "%" PRIuPTR " runs\n",
				       (uintptr_t)ticket);
}

static void end_call(struct state *state, const char *kind, uint32_t run_ms)
{
	adm_record_run(state->gate, kind, run_ms * 1000, run_ms * 1000,
		       state->now_ms);
	adm_finish(state->gate, ADM_OUTCOME_GOOD,
		   state->now_ms - MIN(state->now_ms, run_ms), run_ms * 1000,
		   state->now_ms);
}

/* "learn KIND MS": a mean that no single call changes much. */
static void learn(struct state *state, char **words)
{
	uint32_t run_us = parse_number(words[2]) * 1000;

	for (int i = 0; i < 40; i++)
		adm_record_run(state->gate, words[1], run_us, run_us,
			       state->now_ms);
}

static void handle_header(struct state *state, const char *text,
			  GString *output)
{
	struct cap_report report;

	if (!cap_parse_report(text, &report) ||
	    !adm_record_report(state->gate, &report, state->now_ms))
		g_string_append(output, "ignored\n");
}

static void print_waits(const struct state *state, GString *output)
{
	struct rt_load load;

	adm_get_load(state->gate, &load);
	g_string_append_printf(output, "limit %u calls %u waits", load.limit,
			       load.in_flight);
	for (int i = 0; i < RT_CLASS_COUNT; i++)
		g_string_append_printf(output, " %u", load.wait_us[i] / 1000);
	g_string_append(output, " ms\n");
}

static void print_due(const struct state *state, GString *output)
{
	uint64_t due_ms = adm_get_due_ms(state->gate, state->now_ms);

	if (due_ms == UINT64_MAX)
		g_string_append(output, "never\n");
	else
		g_string_append_printf(output, "in %" PRIu64 " ms\n",
				       due_ms - state->now_ms);
}

static void set_cold(struct state *state, char **words)
{
	struct doc_limits limits = {
		.slots = 1,
		.cold_calls_per_second = parse_number(words[1]),
	};

	adm_set_limits(state->gate, &limits);
	adm_set_cold(state->gate, state->now_ms + parse_number(words[2]));
}

static bool run_target_step(char **words, struct state *state)
{
	if (strcmp(words[0], "announce") == 0)
		adm_announce_target(state->gate, words[1], words[2],
				    state->now_ms);
	else if (strcmp(words[0], "slots") == 0)
		adm_set_known_slots(state->gate, parse_number(words[1]));
	else if (strcmp(words[0], "classes") == 0)
		adm_use_classes(state->gate);
	else if (strcmp(words[0], "cold") == 0)
		set_cold(state, words);
	else if (strcmp(words[0], "drain") == 0)
		adm_drain_target(state->gate);
	else if (strcmp(words[0], "domain") == 0)
		adm_set_domain_out(state->gate, strcmp(words[1], "out") == 0);
	else if (strcmp(words[0], "down") == 0)
		adm_mark_unreachable(state->gate);
	else
		return false;
	return true;
}

static bool run_step(int word_count, char **words, GString *output, void *data)
{
	struct state *state = data;

	if (strcmp(words[0], "call") == 0)
		admit(state, word_count, words, output);
	else if (strcmp(words[0], "end") == 0)
		end_call(state, words[1], parse_number(words[2]));
	else if (strcmp(words[0], "take") == 0)
		take_tickets(state, output);
	else if (strcmp(words[0], "ready") == 0)
		take_ready(state, output);
	else if (strcmp(words[0], "learn") == 0)
		learn(state, words);
	else if (strcmp(words[0], "header") == 0)
		handle_header(state, words[1], output);
	else if (strcmp(words[0], "cancel") == 0)
		adm_cancel_waiting(state->gate,
				   (void *)(uintptr_t)parse_number(words[1]));
	else if (strcmp(words[0], "waits") == 0)
		print_waits(state, output);
	else if (strcmp(words[0], "due") == 0)
		print_due(state, output);
	else if (strcmp(words[0], "after") == 0)
		state->now_ms += parse_number(words[1]);
	else
		return run_target_step(words, state);
	return true;
}

static void run_script(const char *name)
{
	struct state state = { .now_ms = 1000 };

	state.gate = adm_new_gate(NULL);
	scr_run(name, run_step, &state);
	talloc_free(state.gate);
}

/* Calls of a lower class must not start before those of a higher one. */
static void test_order(void)
{
	run_script("class_order");
}

/* A queue full of low calls must not refuse calls of a higher class. */
static void test_full_queue(void)
{
	run_script("class_full_queue");
}

/* A class that always finds others before it must get one start in eight. */
static void test_fairness(void)
{
	run_script("class_fairness");
}

/* A closed gate must return each waiting call once, a cancelled one never. */
static void test_closing(void)
{
	run_script("class_closing");
}

/* A call that is refused for its wait must not use up the rate of others. */
static void test_cold(void)
{
	run_script("class_cold");
}

/* Expected times that exceed 32 bits must not wrap to short ones. */
static void test_range(void)
{
	run_script("class_range");
}

/* A call that waits must not miss its refusal because nothing else happens. */
static void test_due(void)
{
	run_script("class_due");
}

/* Reports that are absurd, old or missing must not close the gate. */
static void test_reports(void)
{
	run_script("class_reports");
	run_script("class_reports_early");
}

static const CU_TestInfo tests[] = {
	{ "order by class, then by deadline", test_order },
	{ "full queue", test_full_queue },
	{ "one start in eight by waiting time", test_fairness },
	{ "closing, cancelling and restart", test_closing },
	{ "tokens of a cold target", test_cold },
	{ "expected times out of range", test_range },
	{ "when a waiting call is due", test_due },
	{ "reports of the target", test_reports },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("admission by class", tests);
}
