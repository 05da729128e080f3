/* Tests of the estimates of the capacity of a target. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include "loom/capacity.h"
#include "script.h"

struct state {
	struct cap_target *target;
	uint64_t now_ms;
};

static uint32_t parse_number(const char *text)
{
	return (uint32_t)strtoul(text, NULL, 10);
}

/* "header TEXT OWN_IN_FLIGHT": the load header of an answer. */
static void handle_header(struct state *state, char **words, GString *output)
{
	struct cap_report report;

	if (!cap_parse_report(words[1], &report))
		g_string_append(output, "malformed\n");
	else if (!cap_record_report(state->target, &report,
				    parse_number(words[2]), state->now_ms))
		g_string_append(output, "not plausible\n");
}

/* "run KIND MS [HOLD_MS [COUNT]]": calls that ended well. */
static void record_runs(struct state *state, int word_count, char **words)
{
	uint32_t run_us = parse_number(words[2]) * 1000;
	uint32_t hold_us =
		word_count > 3 ? parse_number(words[3]) * 1000 : run_us;
	uint32_t count = word_count > 4 ? parse_number(words[4]) : 1;

	for (uint32_t i = 0; i < count; i++)
		cap_record_run(state->target, words[1], run_us, hold_us,
			       state->now_ms);
}

/* "kinds FIRST LAST MS": one call of each of the kinds kFIRST to kLAST. */
static void record_kinds(struct state *state, char **words)
{
	char kind[16];

	for (uint32_t i = parse_number(words[1]); i <= parse_number(words[2]);
	     i++) {
		g_snprintf(kind, sizeof(kind), "k%u", i);
		cap_record_run(state->target, kind,
			       parse_number(words[3]) * 1000,
			       parse_number(words[3]) * 1000, state->now_ms);
	}
}

static bool run_step(int word_count, char **words, GString *output, void *data)
{
	struct state *state = data;

	if (strcmp(words[0], "header") == 0)
		handle_header(state, words, output);
	else if (strcmp(words[0], "run") == 0)
		record_runs(state, word_count, words);
	else if (strcmp(words[0], "kinds") == 0)
		record_kinds(state, words);
	else if (strcmp(words[0], "slots") == 0)
		cap_set_slots(state->target, parse_number(words[1]));
	else if (strcmp(words[0], "clear") == 0)
		cap_clear_target(state->target);
	else if (strcmp(words[0], "after") == 0)
		state->now_ms += parse_number(words[1]);
	else if (strcmp(words[0], "estimate") == 0)
		g_string_append_printf(output, "%u us\n",
				       cap_estimate_run_us(state->target,
							   words[1],
							   state->now_ms));
	else if (strcmp(words[0], "hold") == 0)
		g_string_append_printf(
			output, "%u us\n",
			cap_estimate_hold_us(state->target, state->now_ms));
	else if (strcmp(words[0], "foreign") == 0)
		g_string_append_printf(
			output, "%u\n",
			cap_estimate_foreign(state->target, state->now_ms));
	else if (strcmp(words[0], "absurd") == 0)
		g_string_append_printf(output, "%" PRIu64 "\n",
				       cap_get_absurd_count(state->target));
	else
		return false;
	return true;
}

static void run_script(const char *name)
{
	struct state state = { .now_ms = 1000 };

	state.target = cap_new_target(NULL);
	scr_run(name, run_step, &state);
	talloc_free(state.target);
}

/* A load header that cannot be true must not change an estimate. */
static void test_reports(void)
{
	run_script("reports");
}

/* Run times of one speed must not be used unscaled at another. */
static void test_speed(void)
{
	run_script("speed");
}

/* The table of kinds is bounded, and a new kind does not clear the others. */
static void test_kinds(void)
{
	run_script("kinds");
}

/* Estimates that exceed 32 bits must not wrap to short ones. */
static void test_range(void)
{
	run_script("range");
}

static const CU_TestInfo tests[] = {
	{ "load headers that are absurd, stale or stop", test_reports },
	{ "speed of the target", test_speed },
	{ "table of kinds", test_kinds },
	{ "estimates out of range", test_range },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("capacity", tests);
}
