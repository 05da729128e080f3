/*
 * Calls of the two versions by step of a ramp, and the tests of them.
 *
 * Each call is compared with the old version's rate in the same step, so that a
 * fault of both versions that began with a step does not count against the new
 * one.
 */
#include "evidence.h"

#include <math.h>
#include <string.h>

/*
 * A version whose rates exceed those of the old one by less is not told from a
 * good one. With few calls only a larger excess can be ruled out: a spread of
 * this, by the square root of the calls, and some calls. Latencies differ more
 * between good versions than failures do.
 */
#define EXCESS_CALLS 8.0
#define FAILED_EXCESS 0.06
#define FAILED_SPREAD 0.8
#define SLOW_EXCESS 0.12
#define SLOW_SPREAD 1.6
/* Calls of the old version from which its latencies are known well enough. */
#define LATENCY_CALLS_MIN 200U
/*
 * The smaller the factor of a test, the more its result depends on the load and
 * on which targets are reached. So all but the first test need calls of all
 * nodes, and only count the probe: in the load step a slow target gets as many
 * calls as a fast one.
 */
static const struct mv_latency_test latency_tests[] = {
	{ .shift_buckets = 2,
	  .old_calls_min = 20,
	  .rate_min = 0.05,
	  .last_step = MV_STEP_LOAD,
	  .alarm_factor = 1 },
	{ .shift_buckets = 1,
	  .old_calls_min = LATENCY_CALLS_MIN,
	  .rate_min = 0.03,
	  .needs_all_nodes = true,
	  .last_step = MV_STEP_PROBE,
	  .alarm_factor = 2 },
	{ .shift_buckets = 0,
	  .old_calls_min = LATENCY_CALLS_MIN,
	  .rate_min = 0.03,
	  .needs_all_nodes = true,
	  .last_step = MV_STEP_PROBE,
	  .alarm_factor = 2 },
};
/*
 * Factor of the false-alarm probability while only some targets have had the
 * full load: one of them may be slow by itself.
 */
#define SOME_TARGETS_FACTOR 1e-4
#define LATENCY_TESTS G_N_ELEMENTS(latency_tests)
/* The test that counts most calls as slow. */
#define WIDEST_LATENCY_TEST (LATENCY_TESTS - 1)

static struct mv_series *get_series(struct mv_series_list *list,
				    const char *route)
{
	struct mv_series *series;

	for (uint32_t i = 1; i < list->count; i++) {
		if (strcmp(list->series[i].route, route) == 0)
			return &list->series[i];
	}
	if (list->count > MV_SERIES_ROUTES_MAX)
		return NULL;
	series = &list->series[list->count++];
	g_strlcpy(series->route, route, sizeof(series->route));
	return series;
}

/* Returns the old version's calls in all steps. */
static struct mv_counts sum_old_calls(const struct mv_series *series)
{
	struct mv_counts sum = { 0 };

	for (uint32_t i = 0; i < MV_STEP_COUNT; i++)
		mv_add_counts(&sum, &series->steps[i].old);
	return sum;
}

/* Sums up the failures in the steps from first to last. */
static struct mv_comparison sum_failures(const struct mv_series *series,
					 uint32_t first, uint32_t last)
{
	struct mv_counts all_old = sum_old_calls(series);
	struct mv_comparison sums = { 0 };

	for (uint32_t i = first; i <= last; i++)
		mv_compare_failures(&series->steps[i], &all_old, &sums);
	return sums;
}

/* Sums up the slow calls in the steps from first to last. */
static struct mv_comparison sum_slow_calls(const struct mv_series *series,
					   const struct mv_latency_test *test,
					   uint32_t first, uint32_t last)
{
	struct mv_comparison sums = { 0 };

	for (uint32_t i = first; i <= last; i++)
		mv_compare_latency(&series->steps[i], test, &sums);
	return sums;
}

void mv_init_series(struct mv_series_list *list)
{
	memset(list, 0, sizeof(*list));
	list->count = 1;
}

static void add_counts(struct mv_series *series, uint32_t step, bool is_new,
		       const struct mv_counts *counts)
{
	struct mv_step_counts *sums = &series->steps[step];

	mv_add_counts(is_new ? &sums->new : &sums->old, counts);
}

void mv_add_series_counts(struct mv_series_list *list, const char *route,
			  uint32_t step, bool is_new,
			  const struct mv_counts *counts)
{
	struct mv_series *series = get_series(list, route);

	add_counts(&list->series[0], step, is_new, counts);
	if (series)
		add_counts(series, step, is_new, counts);
}

static bool is_slow(const struct mv_series *series, const struct mv_test *test,
		    const struct mv_latency_test *latency_test,
		    struct mv_fault *fault)
{
	uint32_t last = MIN(test->last, latency_test->last_step);
	double probability = test->probability * latency_test->alarm_factor;

	if ((latency_test->needs_all_nodes && !test->has_all_nodes) ||
	    last < test->first)
		return false;
	if (last > MV_STEP_PROBE && !test->has_all_targets)
		probability *= SOME_TARGETS_FACTOR;
	fault->sums = sum_slow_calls(series, latency_test, test->first, last);
	fault->what = "slow or failed";
	return mv_is_significant(&fault->sums, probability);
}

bool mv_find_fault(const struct mv_series *series, const struct mv_test *test,
		   struct mv_fault *fault)
{
	fault->sums = sum_failures(series, test->first, test->last);
	fault->what = "failed";
	if (mv_is_significant(&fault->sums, test->probability))
		return true;
	for (size_t i = 0; i < LATENCY_TESTS; i++) {
		if (is_slow(series, test, &latency_tests[i], fault))
			return true;
	}
	return false;
}

static double get_excess(const struct mv_comparison *sums, double least,
			 double spread)
{
	double calls = MAX(sums->new_calls, 1U);

	return fmax(fmax(least, spread / sqrt(calls)), EXCESS_CALLS / calls);
}

bool mv_is_suspect(const struct mv_series *series, double probability)
{
	struct mv_comparison failures =
		sum_failures(series, MV_STEP_PROBE, MV_STEP_LOAD);

	return mv_is_unlikely(&failures, probability);
}

bool mv_are_calls_suspect(const struct mv_step_counts *counts,
			  double probability)
{
	struct mv_comparison failures = { 0 };
	struct mv_comparison slow = { 0 };

	mv_compare_failures(counts, &counts->old, &failures);
	mv_compare_latency(counts, &latency_tests[0], &slow);
	return mv_is_unlikely(&failures, probability) ||
	       mv_is_unlikely(&slow, probability);
}

bool mv_is_excess_unlikely(const struct mv_series *series, uint32_t first,
			   uint32_t last, double probability)
{
	const struct mv_latency_test *test =
		&latency_tests[WIDEST_LATENCY_TEST];
	struct mv_comparison failures = sum_failures(series, first, last);
	struct mv_comparison slow =
		sum_slow_calls(series, test, first, MIN(last, test->last_step));

	if (!mv_is_below_excess(
		    &failures,
		    get_excess(&failures, FAILED_EXCESS, FAILED_SPREAD),
		    probability))
		return false;
	/* Too few calls of the old version tell what is slow. */
	return slow.new_calls == 0 ||
	       mv_is_below_excess(&slow,
				  get_excess(&slow, SLOW_EXCESS, SLOW_SPREAD),
				  probability);
}
