/*
 * Retry budget while all targets of a service shed half of what they get: which
 * calls get the retries. A nested call that fails wastes the work of the call
 * that waits for it, and more of it when it is not the first one.
 */
#include <stdlib.h>
#include <string.h>
#include "loom/routing.h"
#include "script.h"

/* The parts of the budget that src/traffic/classify.c gives. */
#define FRESH_PERMILLE 400U
#define FIRST_NESTED_PERMILLE 700U
#define CALL_GAP_MS 1U

enum kind {
	KIND_FRESH,
	KIND_FIRST_NESTED,
	KIND_LATER_NESTED,
	KIND_COUNT,
};

static const char *const kind_names[KIND_COUNT] = { "fresh", "first nested",
						    "later nested" };
static const uint32_t shares[KIND_COUNT] = { FRESH_PERMILLE,
					     FIRST_NESTED_PERMILLE, 0 };

struct state {
	struct rt_budget *budget;
	uint64_t now_ms;
	uint32_t parts[KIND_COUNT]; /* calls of each kind in a cycle */
	uint32_t shed_permille;
	bool is_run_possible; /* targets may have run what they lose */
};

struct tally {
	uint32_t calls;
	uint32_t failed;
	uint32_t granted;
};

static uint32_t parse_number(const char *text)
{
	return (uint32_t)strtoul(text, NULL, 10);
}

static enum kind get_kind(const struct state *state, uint32_t place)
{
	uint32_t kind = 0;

	while (kind + 1 < KIND_COUNT && place >= state->parts[kind])
		place -= state->parts[kind++];
	return (enum kind)kind;
}

static bool may_retry(const struct state *state, enum kind kind)
{
	struct rt_retry retry = {
		.outcome = state->is_run_possible ? RT_OUTCOME_FAILED
						  : RT_OUTCOME_REFUSED,
		.is_not_run = !state->is_run_possible,
		.is_repeatable = true,
		.is_body_kept = true,
		.attempt_count = 1,
		.sent_max = RT_SENT_MAX,
		.share_permille = shares[kind],
		.depth = kind == KIND_FRESH ? 0 : 1,
		.now_ms = state->now_ms,
		.deadline_ms = UINT64_MAX,
	};

	return rt_decide_retry(state->budget, &retry) == RT_RETRY_YES;
}

/* "run MS": a call each millisecond; prints what the last 10 s brought. */
static void run_calls(struct state *state, uint32_t duration_ms,
		      GString *output)
{
	struct tally tallies[KIND_COUNT] = { 0 };
	uint32_t cycle = 0;
	uint32_t debt = 0;

	for (uint32_t i = 0; i < KIND_COUNT; i++)
		cycle += state->parts[i];
	for (uint32_t i = 0; i < duration_ms; i++) {
		/* A step that is prime to the cycle mixes the kinds. */
		enum kind kind = get_kind(state, i * 7 % cycle);

		state->now_ms += CALL_GAP_MS;
		if (i + 10000 == duration_ms)
			memset(tallies, 0, sizeof(tallies));
		rt_credit_budget(state->budget, kind != KIND_FRESH,
				 state->now_ms);
		tallies[kind].calls++;
		debt += state->shed_permille;
		if (debt < 1000)
			continue;
		debt -= 1000;
		tallies[kind].failed++;
		tallies[kind].granted += may_retry(state, kind);
	}
	for (uint32_t i = 0; i < KIND_COUNT; i++)
		g_string_append_printf(output,
				       "%s: %u calls, %u shed, %u retried\n",
				       kind_names[i], tallies[i].calls,
				       tallies[i].failed, tallies[i].granted);
}

static bool run_step(int count, char **words, GString *output, void *data)
{
	struct state *state = data;

	if (strcmp(words[0], "budget") == 0) {
		talloc_free(state->budget);
		state->budget = rt_new_budget(NULL, parse_number(words[1]));
	} else if (strcmp(words[0], "parts") == 0) {
		for (int i = 0; i < KIND_COUNT; i++)
			state->parts[i] = parse_number(words[i + 1]);
	} else if (strcmp(words[0], "shed") == 0) {
		state->shed_permille = parse_number(words[1]);
		state->is_run_possible = count > 2;
	} else if (strcmp(words[0], "run") == 0) {
		run_calls(state, parse_number(words[1]), output);
	} else {
		return false;
	}
	return true;
}

static void test_shares(void)
{
	struct state state = { .now_ms = 1000 };

	scr_run("retry_shares", run_step, &state);
	talloc_free(state.budget);
}

static const CU_TestInfo tests[] = {
	{ "retries of nested and fresh calls", test_shares },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("retry shares", tests);
}
