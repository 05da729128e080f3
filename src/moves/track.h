/*
 * A track accumulates the evidence of one metric on one route, or on all routes
 * together.
 */
#ifndef MOVES_TRACK_H
#define MOVES_TRACK_H

#include "loom/moves.h"
#include "test2x2.h"

#define TRK_TARGET_MAX 64U

/* One target of the new version. */
struct trk_target {
	char address[MV_NAME_SIZE];
	uint32_t pending_calls; /* in the open block */
	uint32_t pending_bad;
	uint32_t calls;	    /* since the start */
	uint32_t run_calls; /* since the evidence was last zero */
	uint32_t run_bad;
	struct tst_sums without; /* evidence from all other targets */
};

struct trk_track {
	char route[MV_NAME_SIZE]; /* "": all routes */
	enum mv_metric metric;
	struct tst_sums sums;
	struct trk_target targets[TRK_TARGET_MAX];
	uint32_t target_count;

	/* Old version before the open block; older slots weigh less. */
	double baseline_calls;
	double baseline_bad; /* failed */
	double baseline_latency[MV_LATENCY_BUCKETS];
	double step_p_old; /* share of bad old calls when the step began */
	/* Evidence that the old version got worse since then. */
	double old_evidence[TST_ALTERNATIVES];

	/* Open block. */
	bool is_open;
	uint64_t open_since_slot;
	struct tst_model model;
	uint32_t slow_above_bucket; /* for MV_METRIC_LATENCY */
	uint32_t pending_old_calls;
	uint32_t pending_old_bad;
	double slot_old_calls; /* added to the baseline when the slot ends */
	double slot_old_bad;
	double slot_old_latency[MV_LATENCY_BUCKETS];

	uint32_t new_calls; /* since the start */
	uint32_t step_new_calls;
	uint32_t step_old_calls;
	uint32_t run_old_calls;
	uint32_t run_old_bad;
};

/* Thresholds of the service document in the units that a track uses. */
struct trk_limits {
	double error_excess;
	uint32_t latency_shift_buckets;
};

/* Initializes track with no evidence. */
void trk_init_track(struct trk_track *track, const char *route,
		    enum mv_metric metric);

/*
 * Adds the calls of one series in a slot. address is that of a target of the
 * new version, or NULL for the old version.
 */
void trk_add_counts(struct trk_track *track, const struct trk_limits *limits,
		    const char *address, const struct mv_counts *counts,
		    uint64_t slot);

/*
 * Ends a slot and tests the open block if it has calls of both versions. While
 * the new version has all calls, a block without old calls is tested too.
 */
void trk_end_slot(struct trk_track *track, uint64_t slot, bool has_all_calls);

/*
 * Starts a new step: discards the open block and resets the counts and evidence
 * of the step. For a comparison all other evidence is reset too.
 */
void trk_begin_step(struct trk_track *track, bool is_compare);

/*
 * Fills sums with the evidence from all targets, and rest with the evidence
 * that remains without the target that counts most against the version. Returns
 * the number of targets that the evidence is based on; 0 while it comes from a
 * single target with too few calls.
 */
uint32_t trk_get_sums(const struct trk_track *track, struct tst_sums *sums,
		      struct tst_sums *rest);

/* Fills finding with the counts behind the current evidence. */
void trk_get_finding(const struct trk_track *track, struct mv_finding *finding);

#endif
