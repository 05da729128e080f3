/*
 * Statistical comparison of a new version with the old one.
 *
 * An analysis keeps one track of evidence per route and metric, and one per
 * metric for all routes together. Each slot of a window is added once, after
 * the slot has ended and its reports have had time to arrive.
 *
 * Threshold: with T tests over B slots, half of the bound on the false-alarm
 * probability goes to the sums that may start at any slot, so that
 * h = log(2 T B analyses / bound). The other half goes to the sums that start
 * with a step. The i-th step gets the weight 1 / (i (i + 1)), so these sums
 * need less evidence, by log(B / (i (i + 1))). By the bounds in test2x2.c this
 * limits the probability that a good version is found bad at any time during
 * its move.
 *
 * A single bad target does not make the version bad. The evidence that remains
 * without the worst target must therefore reach a threshold too. That threshold
 * is lower by -log(MV_BAD_TARGETS), the rarity of such targets, which bounds
 * the probability that a version is found bad because of one of them.
 */
#include "loom/moves.h"

#include <assert.h>
#include <math.h>
#include <string.h>
#include "track.h"
#include "window.h"

/* Bound per move, for all analyses together. */
#define MV_FALSE_ALARM_PROBABILITY 0.005
#define METRIC_COUNT 2U
/* A single route is reported when it has at least this part of the evidence. */
#define MV_ROUTE_PART_MIN 0.8
#define MV_OTHER_ROUTE_PART_MAX 0.1 /* and every other route less than this */
#define MV_ROUTE_MAX 32U
#define MV_TRACK_MAX (METRIC_COUNT * (MV_ROUTE_MAX + 1U))
#define MV_BAD_TARGETS 0.04    /* fraction of moves with a single bad target */
#define MV_UNPAIRED_NATS 12.0  /* evidence that starts a comparison */
#define MV_GOOD_NATS 4.6       /* evidence for a good version, all routes */
#define MV_GOOD_ROUTE_NATS 2.3 /* the same for one route */
#define MV_SIMILAR_CALLS_MIN 12U /* least new calls to call targets similar */
/* Largest ratio of the worst target's evidence to the mean of the others. */
#define MV_SIMILAR_RATIO_MAX 6.0
#define MV_COMPARE_NATS 8.0	 /* evidence of a bad version in a comparison */
#define MV_OLD_DEGRADED_NATS 6.0 /* evidence that the old version got worse */
/* Evidence of a threshold divided by this makes a version likely bad. */
#define MV_LIKELY_BAD_DIVISOR 2.0

struct mv_analysis {
	char from[MV_NAME_SIZE];
	char to[MV_NAME_SIZE];
	struct trk_limits limits;
	uint64_t slots; /* from start to finish_by */
	uint32_t analysis_count;
	uint32_t step_start_count; /* steps started, the i of the threshold */
	bool has_all_calls;
	bool is_comparing;
	uint64_t next_slot;
	uint32_t track_count;
	struct trk_track *tracks[MV_TRACK_MAX];
};

/* The strongest evidence among all tracks, in nats. */
struct summary {
	const struct trk_track *worst;
	double margin; /* paired evidence above its threshold */
	double unpaired;
	bool is_near_threshold; /* paired evidence is at least half of it */
};

struct slot_pass {
	struct mv_analysis *analysis;
	uint64_t slot;
};

static struct trk_track *get_track(struct mv_analysis *analysis,
				   const char *route, enum mv_metric metric)
{
	struct trk_track *track;

	for (uint32_t i = 0; i < analysis->track_count; i++) {
		track = analysis->tracks[i];
		if (track->metric == metric && strcmp(track->route, route) == 0)
			return track;
	}
	if (analysis->track_count == MV_TRACK_MAX)
		return NULL;
	track = talloc(analysis, struct trk_track);
	trk_init_track(track, route, metric);
	analysis->tracks[analysis->track_count++] = track;
	return track;
}

static void add_to_track(struct slot_pass *slot_pass, const char *route,
			 enum mv_metric metric, const char *address,
			 const struct mv_counts *counts)
{
	struct trk_track *track = get_track(slot_pass->analysis, route, metric);

	if (track)
		trk_add_counts(track, &slot_pass->analysis->limits, address,
			       counts, slot_pass->slot);
}

static void analyze_series(const struct mv_series_key *key,
			   const struct mv_counts *counts, void *data)
{
	struct slot_pass *slot_pass = data;
	const char *address;

	if (counts->calls == 0)
		return;
	if (strcmp(key->version, slot_pass->analysis->from) == 0)
		address = NULL;
	else if (strcmp(key->version, slot_pass->analysis->to) == 0)
		address = key->target;
	else
		return;
	for (int metric = MV_METRIC_ERRORS; metric <= MV_METRIC_LATENCY;
	     metric++) {
		add_to_track(slot_pass, "", (enum mv_metric)metric, address,
			     counts);
		if (*key->route)
			add_to_track(slot_pass, key->route,
				     (enum mv_metric)metric, address, counts);
	}
}

/*
 * Returns the threshold of a track in nats. The two tracks for all routes share
 * one half of the bound on false alarms, those of single routes the other.
 */
static double get_threshold(const struct mv_analysis *analysis,
			    const struct trk_track *track)
{
	uint32_t shared = track->route[0] ? analysis->track_count - METRIC_COUNT
					  : METRIC_COUNT;
	double tests = 2.0 * shared * TST_ALTERNATIVES;

	return log(2 * tests * (double)analysis->slots *
		   analysis->analysis_count / MV_FALSE_ALARM_PROBABILITY);
}

static void record_missing_calls(const struct trk_track *track, double good_llr,
				 struct mv_verdict *verdict)
{
	const struct tst_model *model = &track->model;
	bool is_route = track->route[0] != '\0';
	double needed_nats = is_route ? MV_GOOD_ROUTE_NATS : MV_GOOD_NATS;
	double per_call;
	uint32_t missing;

	if (track->metric != MV_METRIC_ERRORS || good_llr <= -needed_nats ||
	    (is_route && track->step_old_calls == 0))
		return;
	per_call = model->p_old > 0
			   ? -log((1 - model->p_new[0]) / (1 - model->p_old))
			   : 1;
	missing = (uint32_t)ceil((needed_nats + good_llr) / per_call);
	if (missing <= verdict->missing_calls)
		return;
	verdict->missing_calls = missing;
	g_strlcpy(verdict->missing_route, track->route,
		  sizeof(verdict->missing_route));
}

/*
 * Returns by how many nats the threshold is lower for evidence that started
 * with the current step; see the top of this file.
 */
static double get_step_gain(const struct mv_analysis *analysis)
{
	double i =
		analysis->step_start_count > 0 ? analysis->step_start_count : 1;

	return log((double)analysis->slots / (i * (i + 1)));
}

static bool is_old_degraded(const struct trk_track *track)
{
	for (uint32_t i = 0; i < TST_ALTERNATIVES; i++)
		if (track->old_evidence[i] >= MV_OLD_DEGRADED_NATS)
			return true;
	return false;
}

/* Returns whether the worst target is about as bad as the others. */
static bool are_targets_similar(const struct tst_sums *sums,
				const struct tst_sums *rest, uint32_t targets)
{
	double worst = tst_get_paired(sums) - tst_get_paired(rest);
	double others = tst_get_paired(rest);

	return targets < 2 ||
	       worst * (targets - 1) <= MV_SIMILAR_RATIO_MAX * others;
}

/*
 * Combines the evidence from all targets with that without the worst one. When
 * the worst target stands out, the rest must reach the threshold by itself.
 * When all targets are similar, the rest may be lower by -log(MV_BAD_TARGETS).
 */
static double combine_evidence(double all, double rest, bool is_similar)
{
	if (is_similar && rest > 0)
		rest -= log(MV_BAD_TARGETS);
	return fmin(all, rest);
}

/* Adds the evidence of one track to the summary and the verdict. */
static void evaluate_track(const struct mv_analysis *analysis,
			   const struct trk_track *track,
			   struct summary *summary, struct mv_verdict *verdict)
{
	struct tst_sums sums;
	struct tst_sums rest;
	uint32_t targets = trk_get_sums(track, &sums, &rest);
	double excess;
	double since_step;
	double threshold;
	bool is_similar;

	if (is_old_degraded(track))
		verdict->is_old_degraded = true;
	record_missing_calls(track, rest.good_llr, verdict);
	if (analysis->is_comparing &&
	    tst_get_since_step(&sums) >= MV_COMPARE_NATS)
		verdict->is_likely_bad = true;
	if (targets == 0)
		return;
	is_similar = track->new_calls >= MV_SIMILAR_CALLS_MIN &&
		     are_targets_similar(&sums, &rest, targets);
	excess = combine_evidence(tst_get_paired(&sums), tst_get_paired(&rest),
				  is_similar);
	since_step = combine_evidence(tst_get_since_step(&sums),
				      tst_get_since_step(&rest), is_similar);
	if (since_step > 0)
		excess = fmax(excess, since_step + get_step_gain(analysis));
	threshold = get_threshold(analysis, track);
	excess -= threshold;
	if (!summary->worst || excess > fmax(summary->margin, 0) ||
	    (summary->margin < 0 && rest.unpaired > summary->unpaired)) {
		summary->worst = track;
		summary->margin = excess;
	}
	if (tst_get_paired(&rest) >= threshold / MV_LIKELY_BAD_DIVISOR)
		summary->is_near_threshold = true;
	summary->unpaired = fmax(summary->unpaired, rest.unpaired);
}

/*
 * Returns the track of the route that has nearly all of the evidence of worst,
 * a track for all routes; returns worst when no single route has.
 */
static const struct trk_track *narrow_track(const struct mv_analysis *analysis,
					    const struct trk_track *worst)
{
	double evidence = tst_get_paired(&worst->sums);
	const struct trk_track *only = worst;

	for (uint32_t i = 0; i < analysis->track_count; i++) {
		const struct trk_track *track = analysis->tracks[i];
		double part = tst_get_paired(&track->sums) / evidence;

		if (!track->route[0] || track->metric != worst->metric)
			continue;
		if (part >= MV_ROUTE_PART_MIN)
			only = track;
		else if (part >= MV_OTHER_ROUTE_PART_MAX)
			return worst;
	}
	return only;
}

static void set_kind(const struct mv_analysis *analysis,
		     const struct summary *summary, struct mv_verdict *verdict)
{
	const struct trk_track *worst;

	/* Paired evidence does not change while the new version has all calls.
	 */
	if (analysis->has_all_calls
		    ? summary->unpaired >=
			      MV_UNPAIRED_NATS / MV_LIKELY_BAD_DIVISOR
		    : summary->is_near_threshold)
		verdict->is_likely_bad = true;
	if (summary->worst && summary->margin >= 0)
		verdict->kind = MV_VERDICT_BAD;
	else if (analysis->has_all_calls &&
		 summary->unpaired >= MV_UNPAIRED_NATS)
		verdict->kind = MV_VERDICT_SUSPECT;
	else if (verdict->missing_calls > 0 || verdict->new_calls == 0 ||
		 verdict->is_likely_bad)
		verdict->kind = MV_VERDICT_INSUFFICIENT;
	else
		verdict->kind = MV_VERDICT_GOOD;
	if (!summary->worst)
		return;
	worst = summary->worst;
	if (verdict->kind == MV_VERDICT_BAD && !worst->route[0])
		worst = narrow_track(analysis, worst);
	trk_get_finding(worst, &verdict->finding);
}

struct mv_analysis *mv_new_analysis(TALLOC_CTX *ctx,
				    const struct doc_move *move,
				    uint32_t analysis_count)
{
	struct mv_analysis *analysis = talloc_zero(ctx, struct mv_analysis);
	double factor = move->judgement.latency_factor_permille / 1000.0;
	double shift = round(log(factor) / log(1.5));

	assert(analysis_count > 0);
	g_strlcpy(analysis->from, move->from, sizeof(analysis->from));
	g_strlcpy(analysis->to, move->to, sizeof(analysis->to));
	analysis->limits.error_excess = move->judgement.error_permille / 1000.0;
	analysis->limits.latency_shift_buckets =
		shift >= 1 ? (uint32_t)shift : 1;
	analysis->slots =
		(move->finish_by_ms - move->start_ms) / MV_SLOT_MS + 1;
	analysis->analysis_count = analysis_count;
	return analysis;
}

void mv_begin_step(struct mv_analysis *analysis, uint32_t share_permille,
		   uint64_t now_ms)
{
	bool had_all_calls = analysis->has_all_calls;

	analysis->step_start_count++;
	analysis->has_all_calls = share_permille >= DOC_SHARE_ALL_PERMILLE;
	analysis->is_comparing = had_all_calls && !analysis->has_all_calls;
	for (uint32_t i = 0; i < analysis->track_count; i++)
		trk_begin_step(analysis->tracks[i], analysis->is_comparing);
}

void mv_analyze_slots(struct mv_analysis *analysis,
		      const struct mv_window *window, uint64_t now_ms)
{
	uint64_t end_slot = now_ms < MV_SLOT_LAG_MS
				    ? 0
				    : mv_get_slot(now_ms - MV_SLOT_LAG_MS);
	struct slot_pass slot_pass = { .analysis = analysis };

	if (analysis->next_slot + MV_SLOT_COUNT < end_slot)
		analysis->next_slot = end_slot - MV_SLOT_COUNT;
	for (; analysis->next_slot < end_slot; analysis->next_slot++) {
		slot_pass.slot = analysis->next_slot;
		mv_each_series(window, slot_pass.slot, analyze_series,
			       &slot_pass);
		for (uint32_t i = 0; i < analysis->track_count; i++)
			trk_end_slot(analysis->tracks[i], slot_pass.slot,
				     analysis->has_all_calls);
	}
}

void mv_get_verdict(const struct mv_analysis *analysis,
		    struct mv_verdict *verdict)
{
	struct summary summary = { 0 };

	memset(verdict, 0, sizeof(*verdict));
	for (uint32_t i = 0; i < analysis->track_count; i++) {
		const struct trk_track *track = analysis->tracks[i];

		if (!track->route[0] && track->metric == MV_METRIC_ERRORS) {
			verdict->new_calls = track->step_new_calls;
			verdict->old_calls = track->step_old_calls;
		}
		evaluate_track(analysis, track, &summary, verdict);
	}
	set_kind(analysis, &summary, verdict);
}
