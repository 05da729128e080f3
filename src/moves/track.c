/*
 * Evidence of one metric on one route.
 *
 * Calls accumulate in an open block until both versions have some. The block is
 * then tested with a model that was fixed when the block was opened. Besides
 * the evidence from all targets of the new version, the track keeps for each
 * target the evidence from all others. The minimum of these counts, so that a
 * single bad target does not make the version bad, but two bad targets do.
 *
 * Invariants: a closed block has no pending counts; the model is estimated only
 * from slots before the block, as the test requires.
 */
#include "track.h"

#include <math.h>
#include <string.h>

#define BASELINE_DECAY 0.97	/* factor on a slot's weight per later slot */
#define BASELINE_CALLS_MIN 20.0 /* old calls needed before any test */
#define BASELINE_STANDARD_ERRORS 2.0 /* added to the baseline */
#define P_MIN 0.001		     /* least share of bad calls in a model */
#define P_MAX 0.95		     /* largest share of bad calls in a model */
#define LATENCY_EXCESS 0.1	     /* least excess of slow calls tested for */
#define LATENCY_UPPER 0.25   /* the 75th percentile of old calls is used */
#define BLOCK_SLOTS_MAX 60U  /* after which a block is discarded */
#define BLOCK_SLOTS_BUSY 5U  /* the same with many old calls */
#define BLOCK_CALLS_BUSY 10U /* many calls of one version, none of other */
#define PEER_CALLS_RATIO 10U /* a peer has at least 1/10 of the calls */
#define OLD_NATS_MAX 12.0    /* bound on the evidence about old calls */
#define SINGLE_TARGET_CALLS_MIN 10U /* when only one target has calls */

static double clamp_share(double p)
{
	return fmin(fmax(p, P_MIN), P_MAX);
}

static double get_baseline_above(const struct trk_track *track, int32_t bucket)
{
	double above = 0;
	double all = 0;

	for (int32_t i = 0; i < (int32_t)MV_LATENCY_BUCKETS; i++) {
		all += track->baseline_latency[i];
		if (i > bucket)
			above += track->baseline_latency[i];
	}
	return (above + 0.5) / (all + 1);
}

/*
 * Sets the bucket above which a call is slow: that of the upper quartile of the
 * old calls, shifted by the latency factor of the document.
 */
static void set_latency_model(struct trk_track *track,
			      const struct trk_limits *limits)
{
	int32_t bucket = (int32_t)MV_LATENCY_BUCKETS - 2;
	double p_shifted;
	double p_old;

	while (bucket >= 0 && get_baseline_above(track, bucket) < LATENCY_UPPER)
		bucket--;
	p_shifted = get_baseline_above(track, bucket);
	bucket += (int32_t)limits->latency_shift_buckets;
	track->slow_above_bucket = (uint32_t)bucket;
	p_old = clamp_share(get_baseline_above(track, bucket));
	p_shifted = clamp_share(fmax(p_shifted, p_old + LATENCY_EXCESS));
	track->model.p_old = p_old;
	track->model.p_new[0] = p_shifted;
	track->model.p_new[1] = clamp_share((p_shifted + 1) / 2);
	track->model.p_new[2] = P_MAX;
}

static void set_error_model(struct trk_track *track,
			    const struct trk_limits *limits)
{
	static const double multiples[TST_ALTERNATIVES] = { 1, 5, 25 };
	double p_old = clamp_share((track->baseline_bad + 0.5) /
				   (track->baseline_calls + 1));

	track->model.p_old = p_old;
	for (uint32_t i = 0; i < TST_ALTERNATIVES; i++)
		track->model.p_new[i] = clamp_share(
			p_old + multiples[i] * limits->error_excess);
}

static void set_model(struct trk_track *track, const struct trk_limits *limits)
{
	switch (track->metric) {
	case MV_METRIC_ERRORS:
		set_error_model(track, limits);
		break;
	case MV_METRIC_LATENCY:
		set_latency_model(track, limits);
		break;
	}
}

static void open_block(struct trk_track *track, const struct trk_limits *limits,
		       uint64_t slot)
{
	track->is_open = true;
	track->open_since_slot = slot;
	set_model(track, limits);
}

static void close_block(struct trk_track *track)
{
	track->is_open = false;
	track->pending_old_calls = 0;
	track->pending_old_bad = 0;
	for (uint32_t i = 0; i < track->target_count; i++) {
		track->targets[i].pending_calls = 0;
		track->targets[i].pending_bad = 0;
	}
}

static struct trk_target *get_target(struct trk_track *track,
				     const char *address)
{
	struct trk_target *target;

	for (uint32_t i = 0; i < track->target_count; i++)
		if (strcmp(track->targets[i].address, address) == 0)
			return &track->targets[i];
	/* Targets beyond the bound share the last entry. */
	if (track->target_count == TRK_TARGET_MAX)
		return &track->targets[TRK_TARGET_MAX - 1];
	target = &track->targets[track->target_count++];
	memset(target, 0, sizeof(*target));
	g_strlcpy(target->address, address, sizeof(target->address));
	target->without = track->sums;
	return target;
}

static void get_metric_counts(const struct trk_track *track,
			      const struct mv_counts *counts, uint32_t *calls,
			      uint32_t *bad)
{
	if (track->metric == MV_METRIC_ERRORS) {
		*calls = counts->calls;
		*bad = counts->failed;
		return;
	}
	*calls = counts->calls - counts->failed;
	*bad = 0;
	for (uint32_t i = track->slow_above_bucket + 1; i < MV_LATENCY_BUCKETS;
	     i++)
		*bad += counts->latency[i];
}

static void add_old_counts(struct trk_track *track,
			   const struct mv_counts *counts, uint32_t calls,
			   uint32_t bad)
{
	track->pending_old_calls += calls;
	track->pending_old_bad += bad;
	track->step_old_calls += calls;
	track->slot_old_calls += calls;
	track->slot_old_bad += bad;
	if (track->metric != MV_METRIC_LATENCY)
		return;
	for (uint32_t i = 0; i < MV_LATENCY_BUCKETS; i++)
		track->slot_old_latency[i] += counts->latency[i];
}

/* Adds the old calls of the slot to the baseline. */
static void update_baseline(struct trk_track *track)
{
	if (track->slot_old_calls == 0)
		return;
	track->baseline_calls =
		track->baseline_calls * BASELINE_DECAY + track->slot_old_calls;
	track->baseline_bad =
		track->baseline_bad * BASELINE_DECAY + track->slot_old_bad;
	for (uint32_t i = 0;
	     i < MV_LATENCY_BUCKETS && track->metric == MV_METRIC_LATENCY;
	     i++) {
		track->baseline_latency[i] =
			track->baseline_latency[i] * BASELINE_DECAY +
			track->slot_old_latency[i];
		track->slot_old_latency[i] = 0;
	}
	track->slot_old_calls = 0;
	track->slot_old_bad = 0;
}

/* Tests whether old calls of the slot are worse than before the step. */
static void test_old_change(struct trk_track *track)
{
	uint32_t calls = (uint32_t)track->slot_old_calls;
	uint32_t bad = (uint32_t)track->slot_old_bad;

	for (uint32_t i = 0; i < TST_ALTERNATIVES; i++) {
		double p_worse = track->model.p_new[i];
		double ratio;

		if (track->step_p_old <= 0 || track->step_p_old >= p_worse)
			continue;
		ratio = tst_get_log_ratio(track->step_p_old, p_worse, calls,
					  bad);
		/* Bounded so that the end of an outage is detected soon. */
		track->old_evidence[i] = fmin(
			OLD_NATS_MAX, fmax(0, track->old_evidence[i] + ratio));
	}
}

static struct tst_block get_block(const struct trk_track *track)
{
	struct tst_block block = {
		.old_calls = track->pending_old_calls,
		.old_bad = track->pending_old_bad,
	};

	for (uint32_t i = 0; i < track->target_count; i++) {
		block.new_calls += track->targets[i].pending_calls;
		block.new_bad += track->targets[i].pending_bad;
	}
	return block;
}

/*
 * Raises a model for a block without old calls, to allow for the error of the
 * estimated share of bad old calls.
 */
static void raise_model(const struct trk_track *track, struct tst_model *model)
{
	double error =
		BASELINE_STANDARD_ERRORS *
		sqrt(model->p_old * (1 - model->p_old) / track->baseline_calls);

	model->p_old = clamp_share(model->p_old + error);
	for (uint32_t i = 0; i < TST_ALTERNATIVES; i++)
		model->p_new[i] = clamp_share(model->p_new[i] + error);
}

static void add_block(struct trk_track *track, const struct tst_block *block,
		      bool is_unpaired)
{
	void (*add)(struct tst_sums *, const struct tst_model *,
		    const struct tst_block *) =
		is_unpaired ? tst_add_unpaired : tst_add_paired;
	struct tst_model model = track->model;

	if (is_unpaired)
		raise_model(track, &model);
	add(&track->sums, &model, block);
	for (uint32_t i = 0; i < track->target_count; i++) {
		struct trk_target *target = &track->targets[i];
		struct tst_block rest = *block;

		rest.new_calls -= target->pending_calls;
		rest.new_bad -= target->pending_bad;
		add(&target->without, &model, &rest);
		target->run_calls += target->pending_calls;
		target->run_bad += target->pending_bad;
	}
	track->run_old_calls += block->old_calls;
	track->run_old_bad += block->old_bad;
}

static bool has_evidence(const struct tst_sums *sums)
{
	return tst_get_paired(sums) > 0 || sums->unpaired > 0;
}

/* A comparison uses only calls made during the comparison. */
static void restart_sums(struct tst_sums *sums, bool is_compare)
{
	if (is_compare)
		memset(sums, 0, sizeof(*sums));
	memset(sums->since_step, 0, sizeof(sums->since_step));
	sums->good_llr = 0;
}

/* The counts shown to operators start where the evidence last left zero. */
static void restart_run(struct trk_track *track)
{
	if (has_evidence(&track->sums))
		return;
	track->run_old_calls = 0;
	track->run_old_bad = 0;
	for (uint32_t i = 0; i < track->target_count; i++) {
		track->targets[i].run_calls = 0;
		track->targets[i].run_bad = 0;
	}
}

/*
 * The calls of a block should be from about the same time, so a block in which
 * one version has many calls and the other has none is discarded.
 */
static bool is_block_stale(const struct trk_track *track,
			   const struct tst_block *block, uint64_t slot)
{
	uint64_t age_slots = slot - track->open_since_slot + 1;

	return age_slots >= BLOCK_SLOTS_MAX ||
	       block->new_calls >= BLOCK_CALLS_BUSY ||
	       (block->old_calls >= BLOCK_CALLS_BUSY &&
		age_slots >= BLOCK_SLOTS_BUSY);
}

static void test_block(struct trk_track *track, uint64_t slot,
		       bool has_all_calls)
{
	struct tst_block block = get_block(track);
	bool has_baseline = track->baseline_calls >= BASELINE_CALLS_MIN;

	if (block.new_calls > 0 && block.old_calls > 0) {
		if (has_baseline)
			add_block(track, &block, false);
		close_block(track);
	} else if (block.new_calls > 0 && has_all_calls) {
		if (has_baseline)
			add_block(track, &block, true);
		close_block(track);
	} else if (is_block_stale(track, &block, slot)) {
		close_block(track);
	}
	if (has_baseline)
		test_old_change(track);
	restart_run(track);
}

/* Returns whether a target other than that at index has enough calls. */
static bool has_peer(const struct trk_track *track, uint32_t index)
{
	uint64_t calls = track->targets[index].calls;

	for (uint32_t i = 0; i < track->target_count; i++) {
		uint64_t peer_calls = track->targets[i].calls;

		if (i != index && peer_calls > 0 &&
		    peer_calls * PEER_CALLS_RATIO >= calls)
			return true;
	}
	return false;
}

static const struct trk_target *find_worst(const struct trk_track *track)
{
	const struct trk_target *worst = NULL;

	for (uint32_t i = 0; i < track->target_count; i++) {
		const struct trk_target *target = &track->targets[i];
		uint64_t left;
		uint64_t right;

		if (target->run_calls == 0)
			continue;
		left = worst ? (uint64_t)target->run_bad * worst->run_calls : 1;
		right = worst ? (uint64_t)worst->run_bad * target->run_calls
			      : 0;
		if (left > right ||
		    (left == right &&
		     strcmp(target->address, worst->address) < 0))
			worst = target;
	}
	return worst;
}

void trk_init_track(struct trk_track *track, const char *route,
		    enum mv_metric metric)
{
	memset(track, 0, sizeof(*track));
	g_strlcpy(track->route, route, sizeof(track->route));
	track->metric = metric;
}

void trk_add_counts(struct trk_track *track, const struct trk_limits *limits,
		    const char *address, const struct mv_counts *counts,
		    uint64_t slot)
{
	struct trk_target *target;
	uint32_t calls;
	uint32_t bad;

	if (!track->is_open)
		open_block(track, limits, slot);
	get_metric_counts(track, counts, &calls, &bad);
	if (!address) {
		add_old_counts(track, counts, calls, bad);
		return;
	}
	target = get_target(track, address);
	target->pending_calls += calls;
	target->pending_bad += bad;
	target->calls += calls;
	track->new_calls += calls;
	track->step_new_calls += calls;
}

void trk_end_slot(struct trk_track *track, uint64_t slot, bool has_all_calls)
{
	if (track->is_open)
		test_block(track, slot, has_all_calls);
	update_baseline(track);
}

void trk_begin_step(struct trk_track *track, bool is_compare)
{
	close_block(track);
	track->step_new_calls = 0;
	track->step_old_calls = 0;
	memset(track->old_evidence, 0, sizeof(track->old_evidence));
	track->step_p_old = is_compare ? track->model.p_old : 0;
	restart_sums(&track->sums, is_compare);
	for (uint32_t i = 0; i < track->target_count; i++)
		restart_sums(&track->targets[i].without, is_compare);
	if (is_compare)
		restart_run(track);
}

uint32_t trk_get_sums(const struct trk_track *track, struct tst_sums *sums,
		      struct tst_sums *rest)
{
	uint32_t peers = 0;

	*sums = track->sums;
	*rest = track->sums;
	for (uint32_t i = 0; i < track->target_count; i++) {
		if (!has_peer(track, i))
			continue;
		peers++;
		tst_take_minimum(rest, &track->targets[i].without);
	}
	if (peers == 0)
		return track->new_calls >= SINGLE_TARGET_CALLS_MIN ? 1 : 0;
	return peers;
}

void trk_get_finding(const struct trk_track *track, struct mv_finding *finding)
{
	const struct trk_target *worst = find_worst(track);

	memset(finding, 0, sizeof(*finding));
	g_strlcpy(finding->route, track->route, sizeof(finding->route));
	finding->metric = track->metric;
	finding->old_calls = track->run_old_calls;
	finding->old_bad = track->run_old_bad;
	for (uint32_t i = 0; i < track->target_count; i++) {
		finding->new_calls += track->targets[i].run_calls;
		finding->new_bad += track->targets[i].run_bad;
	}
	if (!worst)
		return;
	g_strlcpy(finding->worst_target, worst->address,
		  sizeof(finding->worst_target));
	finding->worst_calls = worst->run_calls;
	finding->worst_bad = worst->run_bad;
}
