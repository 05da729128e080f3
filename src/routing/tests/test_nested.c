/*
 * Amplification of retries in a chain of nested calls.
 *
 * Each level of the chain calls the level below and may then lose its
 * connection. Without a limit the retries of all levels multiply. The test
 * checks that the retry budget keeps the number of calls to the last service
 * below a bound, and prints for comparison what three attempts at each level
 * give.
 *
 * The caller of a lost call may repeat it. Callers above see a complete answer
 * that reports the failure.
 */
#include <stdlib.h>
#include <string.h>
#include "loom/routing.h"
#include "script.h"

#define LEVEL_COUNT 25U
#define NAIVE_ATTEMPTS 3U
#define BUDGET_SHARE_PERMILLE 100U
#define BUDGET_MIN_RETRIES 3U
#define BUDGET_WINDOW_MS 10000U

struct chain {
	bool is_naive;
	struct rt_budget *budgets[LEVEL_COUNT];
	GRand *random;
	uint32_t loss_permille;
	uint64_t now_ms;
	uint64_t leaf_runs;
};

enum chain_result {
	CHAIN_GOOD,
	CHAIN_ERROR, /* a complete answer that reports a failure */
	CHAIN_LOST,
};

static enum chain_result run_call(struct chain *chain, uint32_t depth);

/* Returns whether the call from this depth is retried. */
static bool should_retry(struct chain *chain, uint32_t depth,
			 enum chain_result result, uint32_t attempt_count)
{
	struct rt_retry retry = {
		.outcome = result == CHAIN_LOST ? RT_OUTCOME_FAILED
						: RT_OUTCOME_ANSWERED,
		.is_repeatable = true,
		.is_body_kept = true,
		.attempt_count = attempt_count,
		.sent_max = RT_SENT_MAX,
		.depth = depth,
		.now_ms = chain->now_ms,
		.deadline_ms = UINT64_MAX,
	};

	if (result == CHAIN_GOOD)
		return false;
	if (chain->is_naive)
		return attempt_count < NAIVE_ATTEMPTS;
	return rt_decide_retry(chain->budgets[depth], &retry) == RT_RETRY_YES;
}

/* Calls the service of a depth, with retries. */
static enum chain_result call_service(struct chain *chain, uint32_t depth)
{
	enum chain_result result;
	uint32_t attempt_count = 0;

	rt_credit_budget(chain->budgets[depth], false, chain->now_ms);
	do {
		result = run_call(chain, depth);
		attempt_count++;
	} while (should_retry(chain, depth, result, attempt_count));
	return result;
}

static enum chain_result run_call(struct chain *chain, uint32_t depth)
{
	enum chain_result below = CHAIN_GOOD;

	if (depth + 1 < LEVEL_COUNT)
		below = call_service(chain, depth + 1);
	else
		chain->leaf_runs++;
	if ((uint32_t)g_rand_int_range(chain->random, 0, 1000) <
	    chain->loss_permille)
		return CHAIN_LOST;
	return below == CHAIN_GOOD ? CHAIN_GOOD : CHAIN_ERROR;
}

/* Returns the number of calls to the last service for each call at the edge. */
static double measure(bool is_naive, uint32_t loss_permille,
		      uint32_t call_count, uint32_t duration_ms)
{
	struct chain *chain = talloc_zero(NULL, struct chain);
	double amplification;

	chain->is_naive = is_naive;
	chain->loss_permille = loss_permille;
	chain->random = g_rand_new_with_seed(1);
	for (uint32_t i = 0; i < LEVEL_COUNT; i++)
		chain->budgets[i] = rt_new_budget(chain, 100);
	for (uint32_t i = 0; i < call_count; i++) {
		chain->now_ms = (uint64_t)duration_ms * i / call_count;
		call_service(chain, 0);
	}
	amplification = (double)chain->leaf_runs / call_count;
	g_rand_free(chain->random);
	talloc_free(chain);
	return amplification;
}

/*
 * Returns the product over all levels of one plus the share of calls that the
 * level may repeat. The constant part of a budget counts once for each window
 * that the run touches.
 */
static double get_bound(uint32_t call_count, uint32_t duration_ms)
{
	double windows = (double)duration_ms / BUDGET_WINDOW_MS + 1;
	double min_retry_share = BUDGET_MIN_RETRIES * windows / call_count;
	double bound = 1;

	for (uint32_t depth = 0; depth < LEVEL_COUNT; depth++) {
		uint32_t share_permille = BUDGET_SHARE_PERMILLE / (depth + 1);

		bound *= 1 + min_retry_share + share_permille / 1000.0;
	}
	return bound;
}

static bool run_nested_step(int word_count, char **words, GString *output,
			    void *data)
{
	uint32_t loss_permille = (uint32_t)strtoul(words[1], NULL, 10);
	uint32_t call_count = (uint32_t)strtoul(words[2], NULL, 10);
	uint32_t duration_ms = (uint32_t)strtoul(words[3], NULL, 10);
	double bound = get_bound(call_count, duration_ms);
	double budget = measure(false, loss_permille, call_count, duration_ms);

	g_string_append_printf(output, "budget %.2f bound %.2f", budget, bound);
	CU_ASSERT_TRUE(budget <= bound);
	if (strcmp(words[0], "compare") == 0)
		g_string_append_printf(
			output, " naive %.2f",
			measure(true, loss_permille, call_count, duration_ms));
	g_string_append(output, "\n");
	return true;
}

static void test_nested(void)
{
	scr_run("nested", run_nested_step, NULL);
}

static const CU_TestInfo tests[] = {
	{ "retries of nested calls stay bounded", test_nested },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("nested", tests);
}
