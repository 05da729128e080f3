/*
 * Evidence on one route (or over all) by one metric.
 */
#ifndef MOVES_TRACK_H
#define MOVES_TRACK_H

#include "loom/moves.h"
#include "test2x2.h"

#define TRK_TARGET_MAX 64U

/* One target of the new version. */
struct trk_target {
	char address[MV_NAME_SIZE];
	uint32_t pending_calls; /* of the open block */
	uint32_t pending_bad;
	uint32_t calls;	    /* in all */
	uint32_t run_calls; /* since the evidence was last zero */
	uint32_t run_bad;
	struct tst_sums without; /* evidence without this target's calls */
};

struct trk_track {
	char route[MV_NAME_SIZE]; /* "": over all */
	enum mv_metric metric;
	struct tst_sums sums;
	struct trk_target targets[TRK_TARGET_MAX];
	uint32_t target_count;

	/* Old version before the open block; each slot weighs less. */
	double base_calls;
	double base_bad; /* failed */
	double base_latency[MV_LATENCY_BUCKETS];
	double step_p_old; /* share of bad calls when the step began */
	/* Evidence that the old version got worse since. */
	double old_evidence[TST_ALTERNATIVES];

	/* Open block. */
	bool is_open;
	uint64_t open_since_slot;
	struct tst_model model;
	uint32_t slow_above_bucket; /* of MV_METRIC_LATENCY */
	uint32_t pending_old_calls;
	uint32_t pending_old_bad;
	double slot_base_calls; /* to be added when the slot closes */
	double slot_base_bad;
	double slot_latency[MV_LATENCY_BUCKETS];

	uint32_t new_calls; /* in all */
	uint32_t step_new_calls;
	uint32_t step_old_calls;
	uint32_t run_old_calls;
	uint32_t run_old_bad;
};

/* Thresholds of the document, as a track needs them. */
struct trk_limits {
	double error_excess;
	uint32_t latency_shift_buckets;
};

/* Fills track with an empty one. */
void trk_init_track(struct trk_track *track, const char *route,
		    enum mv_metric metric);

/* Counts calls of a slot; address is NULL for the old version. */
void trk_add_counts(struct trk_track *track, const struct trk_limits *limits,
		    const char *address, const struct mv_counts *counts,
		    uint64_t slot);

/*
 * Ends a slot: a block with calls of both versions is tested; while the new
 * version takes all calls, one without old calls too.
 */
void trk_end_slot(struct trk_track *track, uint64_t slot, bool takes_all);

/*
 * The share changed: the open block and the counts of the step begin anew. The
 * evidence does so for a comparison only.
 */
void trk_begin_step(struct trk_track *track, bool is_compare);

/*
 * Fills sums with the evidence over all targets, and rest with that which
 * remains without the target that speaks most against the version. Returns how
 * many targets the evidence rests on; 0 while a single target gave too few
 * calls to speak for the version.
 */
uint32_t trk_get_sums(const struct trk_track *track, struct tst_sums *sums,
		      struct tst_sums *rest);

/* Fills finding with the figures of the present evidence. */
void trk_get_finding(const struct trk_track *track, struct mv_finding *finding);

#endif
