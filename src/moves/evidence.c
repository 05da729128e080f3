/*
 * Calls of the two versions by step of a ramp, and the tests of them.
 *
 * Each call is compared with the old version's rate in the same step, so that a
 * fault of both versions that began with a step does not count against the new
 * one. With all calls at the new version, it is compared with the old one's
 * rates of the steps before.
 */
#include "evidence.h"

#include <string.h>

/* Calls of the old version that a check needs to tell anything. */
#define CHECK_CALLS_MIN 20U
/* The last step in which the old version has most calls. */
#define MINOR_STEP MV_STEP_SECOND
/* Calls of the old version from which its latencies are known well enough. */
#define LATENCY_CALLS_MIN 200U
/*
 * The smaller the factor of a test, the more its result depends on the load and
 * on which targets are reached. So all but the first test need calls of all
 * nodes, and only count steps in which the old version has most calls.
 */
static const struct mv_latency_test latency_tests[] = {
	{ .shift_buckets = 2,
	  .last_step = MV_STEP_LAST,
	  .old_calls_min = 20,
	  .rate_min = 0.05,
	  .alarm_factor = 1 },
	{ .shift_buckets = 1,
	  .last_step = MINOR_STEP,
	  .old_calls_min = LATENCY_CALLS_MIN,
	  .rate_min = 0.03,
	  .needs_all_nodes = true,
	  .alarm_factor = 10 },
	{ .shift_buckets = 0,
	  .last_step = MINOR_STEP,
	  .old_calls_min = LATENCY_CALLS_MIN,
	  .rate_min = 0.03,
	  .needs_all_nodes = true,
	  .alarm_factor = 10 },
};
#define LATENCY_TESTS G_N_ELEMENTS(latency_tests)

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

/*
 * Returns a step's calls with those of the old version to compare them with.
 * After a check, the calls that were suspected are compared with its calls.
 */
static struct mv_step_counts get_compared(const struct mv_series *series,
					  uint32_t step, uint32_t last)
{
	struct mv_step_counts counts = series->steps[step];

	if (step == MV_STEP_FULL && last == MV_STEP_LAST)
		counts.old = series->steps[MV_STEP_CHECK].old;
	else if (step == MV_STEP_FULL || step == MV_STEP_LAST)
		counts.old = mv_sum_old_calls(series);
	return counts;
}

/* Sums up the failures in the steps from first to last. */
static struct mv_comparison sum_failures(const struct mv_series *series,
					 uint32_t first, uint32_t last)
{
	struct mv_counts all_old = mv_sum_old_calls(series);
	struct mv_comparison sums = { 0 };

	for (uint32_t i = first; i <= last; i++) {
		struct mv_step_counts counts = get_compared(series, i, last);

		mv_compare_failures(&counts, &all_old, &sums);
	}
	return sums;
}

/* Sums up the slow calls in the steps from first to last. */
static struct mv_comparison sum_slow_calls(const struct mv_series *series,
					   const struct mv_latency_test *test,
					   uint32_t first, uint32_t last)
{
	struct mv_comparison sums = { 0 };

	for (uint32_t i = first; i <= last; i++) {
		struct mv_step_counts counts = get_compared(series, i, last);

		mv_compare_latency(&counts, test, &sums);
	}
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

struct mv_counts mv_sum_old_calls(const struct mv_series *series)
{
	struct mv_counts sum = { 0 };

	for (uint32_t i = 0; i < MV_STEP_FULL; i++)
		mv_add_counts(&sum, &series->steps[i].old);
	return sum;
}

static bool is_slow(const struct mv_series *series, const struct mv_test *test,
		    const struct mv_latency_test *latency_test,
		    struct mv_fault *fault)
{
	if (test->last > latency_test->last_step ||
	    (latency_test->needs_all_nodes && !test->has_all_nodes))
		return false;
	fault->sums =
		sum_slow_calls(series, latency_test, test->first, test->last);
	fault->what = "slow or failed";
	return mv_is_significant(
		&fault->sums, test->probability * latency_test->alarm_factor);
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

bool mv_find_checked_fault(const struct mv_series *series, double probability,
			   struct mv_fault *fault)
{
	const struct mv_step_counts counts = {
		.old = series->steps[MV_STEP_CHECK].old,
		.new = series->steps[MV_STEP_FULL].new,
	};

	if (counts.old.calls < CHECK_CALLS_MIN)
		return false;
	memset(&fault->sums, 0, sizeof(fault->sums));
	mv_compare_failures(&counts, &counts.old, &fault->sums);
	fault->what = "failed with all calls";
	if (mv_is_significant(&fault->sums, probability))
		return true;
	memset(&fault->sums, 0, sizeof(fault->sums));
	mv_compare_latency(&counts, &latency_tests[0], &fault->sums);
	fault->what = "slow or failed with all calls";
	return mv_is_significant(&fault->sums, probability);
}

bool mv_is_suspect(const struct mv_series *series, double probability)
{
	struct mv_comparison failures =
		sum_failures(series, MV_STEP_PROBE, MV_STEP_FULL - 1);
	struct mv_comparison slow = sum_slow_calls(
		series, &latency_tests[0], MV_STEP_PROBE, MV_STEP_FULL - 1);

	return mv_is_unlikely(&failures, probability) ||
	       mv_is_unlikely(&slow, probability);
}
