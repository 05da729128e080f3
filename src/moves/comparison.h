/*
 * Comparison of a new version's calls with those of the old one.
 *
 * A comparison sums up the calls of one or more steps of a ramp. Each call of
 * the new version counts against the old version's rate in the same step.
 */
#ifndef MV_COMPARISON_H
#define MV_COMPARISON_H

#include <stdint.h>
#include "loom/moves.h"

/* Calls of one step. */
struct mv_step_counts {
	struct mv_counts old;
	struct mv_counts new;
};

/* The sums that a test compares. */
struct mv_comparison {
	uint32_t new_calls;
	uint32_t new_bad;
	double expected_bad; /* at the highest rates that are acceptable */
	double usual_bad;    /* at the rates of the old version */
	uint32_t old_calls;
	uint32_t old_bad;
};

/*
 * A test of the latency. A call is slow in a bucket that is shift_buckets (a
 * factor of 1.5 each) above that of a quantile of the old version.
 */
struct mv_latency_test {
	uint32_t shift_buckets; /* 0: all calls above the quantile are slow */
	uint32_t old_calls_min; /* for a step to count */
	double rate_min; /* acceptable, whatever the rate of the old version */
	bool needs_all_nodes;
	uint32_t last_step;  /* the last one whose calls count */
	double alarm_factor; /* of the false-alarm probability */
};

/*
 * Add the failures, or the slow calls, of a step to sums. A step of which too
 * few calls of the old version are known adds nothing. all_old has the old
 * version's calls of all steps.
 */
void mv_compare_failures(const struct mv_step_counts *counts,
			 const struct mv_counts *all_old,
			 struct mv_comparison *sums);
void mv_compare_latency(const struct mv_step_counts *counts,
			const struct mv_latency_test *test,
			struct mv_comparison *sums);

/* Returns whether the bad calls are less likely than a probability. */
bool mv_is_unlikely(const struct mv_comparison *sums, double probability);

/* As mv_is_unlikely(), but a few bad calls never suffice. */
bool mv_is_significant(const struct mv_comparison *sums, double probability);

/*
 * Returns whether so few bad calls are less likely than a probability if the
 * new version's rate exceeds the old one's by excess; false without calls.
 */
bool mv_is_below_excess(const struct mv_comparison *sums, double excess,
			double probability);

#endif
