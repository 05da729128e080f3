/*
 * Calls of the two versions by step of a ramp, and the tests of them.
 */
#ifndef MV_EVIDENCE_H
#define MV_EVIDENCE_H

#include <stdbool.h>
#include <stdint.h>
#include "comparison.h"
#include "loom/moves.h"

/* Steps of a ramp. */
enum {
	MV_STEP_PROBE,
	MV_STEP_LOAD, /* some targets of the new version have the full load */
	MV_STEP_COUNT,
};

#define MV_SERIES_ROUTES_MAX 32U

/* Calls of one route. */
struct mv_series {
	char route[MV_NAME_SIZE]; /* "": all routes */
	struct mv_step_counts steps[MV_STEP_COUNT];
};

/* Invariant: series[0] counts all routes. */
struct mv_series_list {
	uint32_t count;
	struct mv_series series[MV_SERIES_ROUTES_MAX + 1];
};

/* Steps whose calls are tested together, and how. */
struct mv_test {
	uint32_t first;
	uint32_t last;
	double probability;   /* bound on that of a false alarm */
	bool has_all_nodes;   /* the calls of all nodes are known */
	bool has_all_targets; /* all targets have got calls of the last step */
};

/* What a test found. */
struct mv_fault {
	const char *what; /* literal */
	struct mv_comparison sums;
};

/* Initializes an empty list. */
void mv_init_series(struct mv_series_list *list);

/* Adds calls that ended in a step; those of a further route only in sum. */
void mv_add_series_counts(struct mv_series_list *list, const char *route,
			  uint32_t step, bool is_new,
			  const struct mv_counts *counts);

/* Returns whether the new version is worse; fills in fault if it is. */
bool mv_find_fault(const struct mv_series *series, const struct mv_test *test,
		   struct mv_fault *fault);

/* Returns whether so many failures in all steps are that unlikely. */
bool mv_is_suspect(const struct mv_series *series, double probability);

/* The same of the failed, or the slow, among calls of the same time. */
bool mv_are_calls_suspect(const struct mv_step_counts *counts,
			  double probability);

/*
 * Returns whether a version that is worse than the old one by a tolerated
 * excess would have so few bad calls in the steps from first to last with less
 * than that probability, both in failures and in slow calls.
 */
bool mv_is_excess_unlikely(const struct mv_series *series, uint32_t first,
			   uint32_t last, double probability);

#endif
