/*
 * Judge of a new version against the old one.
 *
 * The judge keeps one track of evidence per route and metric, and one per
 * metric over all routes. It takes in each slot of a window once, after the
 * slot has ended and reports have had time to arrive.
 *
 * Threshold: with T tests over B slots, half of the bound on false alarms goes
 * to the sums that may begin at any slot: h = log(2 T B judges / bound). The
 * other half goes to the sums that begin with a step, the i-th of them with the
 * weight 1 / (i (i + 1)): these need less evidence, by log(B / (i (i + 1))).
 * By the bounds in test2x2.c this limits the probability that a good
 * version is ever condemned during its move. What remains without the worst
 * target must pass a threshold that is lower by as much as such targets are
 * rare, which bounds the probability of condemning a version for one of them.
 */
#include "loom/moves.h"

#include <assert.h>
#include <math.h>
#include <string.h>
#include "track.h"
#include "window.h"

#define MV_FALSE_ALARMS 0.005 /* bound per move, over all judges */
#define METRICS 2U
#define MV_ROUTE_PART 0.8	/* of all evidence, to blame one route */
#define MV_OTHER_ROUTE_PART 0.1 /* at most, on any other */
#define MV_ROUTE_MAX 32U
#define MV_TRACK_MAX (METRICS * (MV_ROUTE_MAX + 1U))
#define MV_BAD_TARGETS 0.04    /* part of moves with a target bad by itself */
#define MV_ALONE_NATS 12.0     /* evidence that makes a comparison worth it */
#define MV_GOOD_NATS 4.6       /* evidence for a good version, over all */
#define MV_GOOD_ROUTE_NATS 2.3 /* the same on one route */
#define MV_ALIKE_CALLS_MIN 12U /* before targets can be called alike */
#define MV_ALIKE_RATIO 6.0     /* worst target's part to the mean of others */
#define MV_COMPARE_NATS 8.0    /* evidence in a comparison that decides it */
#define MV_OLD_HIT_NATS 6.0    /* evidence that the old version got worse */
#define MV_LEANING_PART 2.0

struct mv_judge {
	char from[MV_NAME_SIZE];
	char to[MV_NAME_SIZE];
	struct trk_limits limits;
	uint64_t slots; /* of the whole move */
	uint32_t judge_count;
	uint32_t start_count; /* steps begun, as the threshold counts them */
	bool takes_all;
	bool is_comparing;
	uint64_t next_slot;
	uint32_t track_count;
	struct trk_track *tracks[MV_TRACK_MAX];
};

/* The strongest evidence of all tracks, in nats. */
struct summary {
	const struct trk_track *worst;
	double margin; /* by which paired evidence passes its threshold */
	double alone;
	bool is_leaning; /* paired evidence is above a part of its threshold */
};

struct fold {
	struct mv_judge *judge;
	uint64_t slot;
};

static struct trk_track *get_track(struct mv_judge *judge, const char *route,
				   enum mv_metric metric)
{
	struct trk_track *track;

	for (uint32_t i = 0; i < judge->track_count; i++) {
		track = judge->tracks[i];
		if (track->metric == metric && strcmp(track->route, route) == 0)
			return track;
	}
	if (judge->track_count == MV_TRACK_MAX)
		return NULL;
	track = talloc(judge, struct trk_track);
	trk_init_track(track, route, metric);
	judge->tracks[judge->track_count++] = track;
	return track;
}

static void add_to_track(struct fold *fold, const char *route,
			 enum mv_metric metric, const char *address,
			 const struct mv_counts *counts)
{
	struct trk_track *track = get_track(fold->judge, route, metric);

	if (track)
		trk_add_counts(track, &fold->judge->limits, address, counts,
			       fold->slot);
}

static void fold_series(const struct mv_key *key,
			const struct mv_counts *counts, void *data)
{
	struct fold *fold = data;
	const char *address;

	if (counts->calls == 0)
		return;
	if (strcmp(key->version, fold->judge->from) == 0)
		address = NULL;
	else if (strcmp(key->version, fold->judge->to) == 0)
		address = key->target;
	else
		return;
	for (int metric = MV_METRIC_ERRORS; metric <= MV_METRIC_LATENCY;
	     metric++) {
		add_to_track(fold, "", (enum mv_metric)metric, address, counts);
		if (*key->route)
			add_to_track(fold, key->route, (enum mv_metric)metric,
				     address, counts);
	}
}

/*
 * Returns the threshold of a track. The two tracks over all routes have one
 * half of the bound on false alarms, those of single routes the other.
 */
static double get_threshold(const struct mv_judge *judge,
			    const struct trk_track *track)
{
	uint32_t shared =
		track->route[0] ? judge->track_count - METRICS : METRICS;
	double tests = 2.0 * shared * TST_ALTERNATIVES;

	return log(2 * tests * (double)judge->slots * judge->judge_count /
		   MV_FALSE_ALARMS);
}

static void note_missing(const struct trk_track *track, double doubt,
			 struct mv_verdict *verdict)
{
	const struct tst_model *model = &track->model;
	bool is_route = track->route[0] != '\0';
	double wanted = is_route ? MV_GOOD_ROUTE_NATS : MV_GOOD_NATS;
	double per_call;
	uint32_t missing;

	if (track->metric != MV_METRIC_ERRORS || doubt <= -wanted ||
	    (is_route && track->step_old_calls == 0))
		return;
	per_call = model->p_old > 0
			   ? -log((1 - model->p_new[0]) / (1 - model->p_old))
			   : 1;
	missing = (uint32_t)ceil((wanted + doubt) / per_call);
	if (missing <= verdict->missing_calls)
		return;
	verdict->missing_calls = missing;
	g_strlcpy(verdict->missing_route, track->route,
		  sizeof(verdict->missing_route));
}

/* By how much evidence that began with the step needs less than other. */
static double get_step_gain(const struct mv_judge *judge)
{
	double i = judge->start_count > 0 ? judge->start_count : 1;

	return log((double)judge->slots / (i * (i + 1)));
}

static bool is_old_hit(const struct trk_track *track)
{
	for (uint32_t i = 0; i < TST_ALTERNATIVES; i++)
		if (track->old_evidence[i] >= MV_OLD_HIT_NATS)
			return true;
	return false;
}

/* Whether the worst target is bad about as much as the others are. */
static bool are_targets_alike(const struct tst_sums *sums,
			      const struct tst_sums *rest, uint32_t targets)
{
	double worst = tst_get_paired(sums) - tst_get_paired(rest);
	double others = tst_get_paired(rest);

	return targets < 2 || worst * (targets - 1) <= MV_ALIKE_RATIO * others;
}

/*
 * Joins the evidence over all targets with that without the worst one. When
 * the worst target stands out, what remains has to suffice by itself; when all
 * are alike, it may be less by as much as single bad targets are rare.
 */
static double join_evidence(double all, double rest, bool is_alike)
{
	if (is_alike && rest > 0)
		rest -= log(MV_BAD_TARGETS);
	return fmin(all, rest);
}

/* Adds what one track says to the verdict on all of them. */
static void add_track(const struct mv_judge *judge,
		      const struct trk_track *track, struct summary *summary,
		      struct mv_verdict *verdict)
{
	struct tst_sums sums;
	struct tst_sums rest;
	uint32_t targets = trk_get_sums(track, &sums, &rest);
	double found;
	double fresh;
	double threshold;
	bool is_alike;

	if (is_old_hit(track))
		verdict->is_old_hit = true;
	note_missing(track, rest.doubt, verdict);
	if (judge->is_comparing && tst_get_fresh(&sums) >= MV_COMPARE_NATS)
		verdict->is_leaning_bad = true;
	if (targets == 0)
		return;
	is_alike = track->new_calls >= MV_ALIKE_CALLS_MIN &&
		   are_targets_alike(&sums, &rest, targets);
	found = join_evidence(tst_get_paired(&sums), tst_get_paired(&rest),
			      is_alike);
	fresh = join_evidence(tst_get_fresh(&sums), tst_get_fresh(&rest),
			      is_alike);
	if (fresh > 0)
		found = fmax(found, fresh + get_step_gain(judge));
	threshold = get_threshold(judge, track);
	found -= threshold;
	if (!summary->worst || found > fmax(summary->margin, 0) ||
	    (summary->margin < 0 && rest.alone > summary->alone)) {
		summary->worst = track;
		summary->margin = found;
	}
	if (tst_get_paired(&rest) >= threshold / MV_LEANING_PART)
		summary->is_leaning = true;
	summary->alone = fmax(summary->alone, rest.alone);
}

/*
 * Returns the one route that holds nearly all of the evidence over all routes,
 * or else the given track.
 */
static const struct trk_track *narrow_track(const struct mv_judge *judge,
					    const struct trk_track *worst)
{
	double evidence = tst_get_paired(&worst->sums);
	const struct trk_track *only = worst;

	for (uint32_t i = 0; i < judge->track_count; i++) {
		const struct trk_track *track = judge->tracks[i];
		double part = tst_get_paired(&track->sums) / evidence;

		if (!track->route[0] || track->metric != worst->metric)
			continue;
		if (part >= MV_ROUTE_PART)
			only = track;
		else if (part >= MV_OTHER_ROUTE_PART)
			return worst;
	}
	return only;
}

static void set_kind(const struct mv_judge *judge,
		     const struct summary *summary, struct mv_verdict *verdict)
{
	const struct trk_track *worst;

	/* While the new version has all calls, paired evidence stands still. */
	if (judge->takes_all ? summary->alone >= MV_ALONE_NATS / MV_LEANING_PART
			     : summary->is_leaning)
		verdict->is_leaning_bad = true;
	if (summary->worst && summary->margin >= 0)
		verdict->kind = MV_VERDICT_BAD;
	else if (judge->takes_all && summary->alone >= MV_ALONE_NATS)
		verdict->kind = MV_VERDICT_SUSPECT;
	else if (verdict->missing_calls > 0 || verdict->new_calls == 0 ||
		 verdict->is_leaning_bad)
		verdict->kind = MV_VERDICT_SCARCE;
	else
		verdict->kind = MV_VERDICT_GOOD;
	if (!summary->worst)
		return;
	worst = summary->worst;
	if (verdict->kind == MV_VERDICT_BAD && !worst->route[0])
		worst = narrow_track(judge, worst);
	trk_get_finding(worst, &verdict->finding);
}

struct mv_judge *mv_new_judge(TALLOC_CTX *ctx, const struct doc_move *move,
			      uint32_t judge_count)
{
	struct mv_judge *judge = talloc_zero(ctx, struct mv_judge);
	double factor = move->judgement.latency_factor_permille / 1000.0;
	double shift = round(log(factor) / log(1.5));

	assert(judge_count > 0);
	g_strlcpy(judge->from, move->from, sizeof(judge->from));
	g_strlcpy(judge->to, move->to, sizeof(judge->to));
	judge->limits.error_excess = move->judgement.error_permille / 1000.0;
	judge->limits.latency_shift_buckets = shift >= 1 ? (uint32_t)shift : 1;
	judge->slots = (move->finish_by_ms - move->start_ms) / MV_SLOT_MS + 1;
	judge->judge_count = judge_count;
	return judge;
}

void mv_begin_step(struct mv_judge *judge, uint32_t share_permille,
		   uint64_t now_ms)
{
	bool was_alone = judge->takes_all;

	judge->start_count++;
	judge->takes_all = share_permille >= DOC_SHARE_ALL_PERMILLE;
	judge->is_comparing = was_alone && !judge->takes_all;
	for (uint32_t i = 0; i < judge->track_count; i++)
		trk_begin_step(judge->tracks[i], judge->is_comparing);
}

void mv_fold_slots(struct mv_judge *judge, const struct mv_window *window,
		   uint64_t now_ms)
{
	uint64_t end_slot = now_ms < MV_SLOT_LAG_MS
				    ? 0
				    : mv_get_slot(now_ms - MV_SLOT_LAG_MS);
	struct fold fold = { .judge = judge };

	if (judge->next_slot + MV_SLOT_COUNT < end_slot)
		judge->next_slot = end_slot - MV_SLOT_COUNT;
	for (; judge->next_slot < end_slot; judge->next_slot++) {
		fold.slot = judge->next_slot;
		mv_each_series(window, fold.slot, fold_series, &fold);
		for (uint32_t i = 0; i < judge->track_count; i++)
			trk_end_slot(judge->tracks[i], fold.slot,
				     judge->takes_all);
	}
}

void mv_get_verdict(const struct mv_judge *judge, struct mv_verdict *verdict)
{
	struct summary summary = { 0 };

	memset(verdict, 0, sizeof(*verdict));
	for (uint32_t i = 0; i < judge->track_count; i++) {
		const struct trk_track *track = judge->tracks[i];

		if (!track->route[0] && track->metric == MV_METRIC_ERRORS) {
			verdict->new_calls = track->step_new_calls;
			verdict->old_calls = track->step_old_calls;
		}
		add_track(judge, track, &summary, verdict);
	}
	set_kind(judge, &summary, verdict);
}
