/*
 * Comparison of a new version's calls with those of the old one.
 */
#include "comparison.h"

#include <math.h>

#define BAD_CALLS_MIN 4U
/* Rates below these are acceptable, whatever the rate of the old version. */
#define FAILED_RATE_MIN 0.03
/* Tolerated excess over the old rate: targets differ by chance. */
#define OLD_RATE_FACTOR 1.5
#define OLD_CALLS_MIN 20U
#define OLD_FAILED_MIN 3U
/* Calls are slow relative to this quantile of the old version's latency. */
#define SLOW_QUANTILE 0.9

/*
 * Returns the probability that at least bad of calls are bad at that rate: the
 * upper tail of the binomial distribution.
 */
static double get_tail_probability(uint32_t calls, uint32_t bad, double rate)
{
	double sum = 0;

	for (uint32_t k = bad; k <= calls; k++) {
		double term = exp(lgamma(calls + 1.0) - lgamma(k + 1.0) -
				  lgamma(calls - k + 1.0) + k * log(rate) +
				  (calls - k) * log1p(-rate));

		sum += term;
		/* Equal when both are zero: too unlikely for a double. */
		if (term <= sum * 1e-6)
			break;
	}
	return sum;
}

/*
 * Returns the probability that at most bad of calls are bad at that rate: the
 * lower tail of the binomial distribution.
 */
static double get_lower_probability(uint32_t calls, uint32_t bad, double rate)
{
	return get_tail_probability(calls, calls - bad, 1 - rate);
}

static double get_old_rate(uint32_t calls, uint32_t bad, double least)
{
	if (bad == 0)
		return least;
	return fmin(0.9, fmax(least, OLD_RATE_FACTOR * bad / calls));
}

static uint32_t sum_from(const uint32_t *buckets, uint32_t first)
{
	uint32_t sum = 0;

	for (uint32_t i = first; i < MV_LATENCY_BUCKETS; i++)
		sum += buckets[i];
	return sum;
}

/* Returns the first bucket above the quantile of the old version. */
static uint32_t get_slow_bucket(const struct mv_counts *old)
{
	uint32_t good = sum_from(old->latency, 0);
	uint32_t bucket = 0;

	while (bucket < MV_LATENCY_BUCKETS &&
	       sum_from(old->latency, bucket) > good * (1 - SLOW_QUANTILE))
		bucket++;
	return bucket;
}

/*
 * Returns whether the bad calls are less likely than a probability. Each call's
 * chance to be bad differs between the steps; the binomial tail at their mean
 * bounds the tail of the sum from above (Hoeffding 1956).
 */
bool mv_is_unlikely(const struct mv_comparison *sums, double probability)
{
	return sums->new_bad > sums->expected_bad &&
	       get_tail_probability(sums->new_calls, sums->new_bad,
				    sums->expected_bad / sums->new_calls) <
		       probability;
}

/*
 * Compares with the old version's calls of the step or, when they are few and
 * show no fault of that version, with those of all steps.
 */
void mv_compare_failures(const struct mv_step_counts *counts,
			 const struct mv_counts *all_old,
			 struct mv_comparison *sums)
{
	const struct mv_counts *old = &counts->old;
	double rate;

	if (old->calls < OLD_CALLS_MIN && old->failed < OLD_FAILED_MIN)
		old = all_old;
	/* A route may fail on each version, also one that was just added. */
	if (old->calls < OLD_FAILED_MIN)
		return;
	rate = get_old_rate(old->calls, old->failed, FAILED_RATE_MIN);
	sums->new_calls += counts->new.calls;
	sums->new_bad += counts->new.failed;
	sums->old_calls += counts->old.calls;
	sums->old_bad += counts->old.failed;
	sums->expected_bad += rate * counts->new.calls;
	sums->usual_bad += (double)old->failed / old->calls * counts->new.calls;
}

void mv_compare_latency(const struct mv_step_counts *counts,
			const struct mv_latency_test *test,
			struct mv_comparison *sums)
{
	uint32_t first = get_slow_bucket(&counts->old) + test->shift_buckets;
	uint32_t new_bad;
	uint32_t old_bad;
	double rate;

	if (sum_from(counts->old.latency, 0) < test->old_calls_min ||
	    first >= MV_LATENCY_BUCKETS)
		return;
	/* A failed call may have missed its deadline, so it counts as slow. */
	new_bad = sum_from(counts->new.latency, first) + counts->new.failed;
	old_bad = sum_from(counts->old.latency, first) + counts->old.failed;
	rate = get_old_rate(counts->old.calls, old_bad, test->rate_min);
	sums->new_calls += counts->new.calls;
	sums->new_bad += new_bad;
	sums->old_calls += counts->old.calls;
	sums->old_bad += old_bad;
	sums->expected_bad += rate * counts->new.calls;
	sums->usual_bad +=
		(double)old_bad / counts->old.calls * counts->new.calls;
}

bool mv_is_significant(const struct mv_comparison *sums, double probability)
{
	return sums->new_bad >= BAD_CALLS_MIN &&
	       mv_is_unlikely(sums, probability);
}

bool mv_is_below_excess(const struct mv_comparison *sums, double excess,
			double probability)
{
	double rate;

	if (sums->new_calls == 0)
		return false;
	rate = sums->usual_bad / sums->new_calls + excess;
	return rate < 1 && sums->new_bad < rate * sums->new_calls &&
	       get_lower_probability(sums->new_calls, sums->new_bad, rate) <
		       probability;
}
