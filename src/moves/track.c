/*
 * Evidence on one route by one metric.
 *
 * Calls gather in an open block until both versions have some; then the block
 * is tested against a model that was fixed when it was opened. Beside the
 * evidence over all targets of the new version the track keeps, for each
 * target, the evidence without it. The least of these counts, so that one
 * target that is bad by itself does not condemn the version, whereas a version
 * that is bad on two targets is.
 *
 * Invariants: a closed block has no pending counts; the model uses calls of
 * slots before the block only, which the test relies on.
 */
#include "track.h"

#include <math.h>
#include <string.h>

#define BASE_KEEP 0.97	     /* weight that a slot keeps per later slot */
#define BASE_CALLS_MIN 20.0  /* old calls before anything is tested */
#define BASE_ERRORS 2.0	     /* standard errors allowed for */
#define P_MIN 0.001	     /* least share of bad calls that is assumed */
#define P_MAX 0.95	     /* largest that is tested for */
#define LATENCY_EXCESS 0.1   /* least excess of slow calls that is bad */
#define LATENCY_UPPER 0.25   /* part of old calls above the quantile used */
#define BLOCK_SLOTS_MAX 60U  /* for which a block stays open */
#define BLOCK_SLOTS_BUSY 5U  /* the same when old calls are many */
#define BLOCK_CALLS_BUSY 10U /* of one version, none of the other */
#define PEER_CALLS_RATIO 10U /* a peer has at least this part of the calls */
#define OLD_NATS_MAX 12.0    /* bound of the evidence on old calls */
#define SOLE_CALLS_MIN 10U   /* that a target needs to speak alone */

static double clamp_share(double p)
{
	return fmin(fmax(p, P_MIN), P_MAX);
}

static double get_base_above(const struct trk_track *track, int32_t bucket)
{
	double above = 0;
	double all = 0;

	for (int32_t i = 0; i < (int32_t)MV_LATENCY_BUCKETS; i++) {
		all += track->base_latency[i];
		if (i > bucket)
			above += track->base_latency[i];
	}
	return (above + 0.5) / (all + 1);
}

/* Chooses the bucket above which a call is slow, from the upper quartile. */
static void set_latency_model(struct trk_track *track,
			      const struct trk_limits *limits)
{
	int32_t bucket = (int32_t)MV_LATENCY_BUCKETS - 2;
	double p_shifted;
	double p_old;

	while (bucket >= 0 && get_base_above(track, bucket) < LATENCY_UPPER)
		bucket--;
	p_shifted = get_base_above(track, bucket);
	bucket += (int32_t)limits->latency_shift_buckets;
	track->slow_above_bucket = (uint32_t)bucket;
	p_old = clamp_share(get_base_above(track, bucket));
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
	double p_old =
		clamp_share((track->base_bad + 0.5) / (track->base_calls + 1));

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
	/* Targets beyond the bound share the last place. */
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
	track->slot_base_calls += calls;
	track->slot_base_bad += bad;
	if (track->metric != MV_METRIC_LATENCY)
		return;
	for (uint32_t i = 0; i < MV_LATENCY_BUCKETS; i++)
		track->slot_latency[i] += counts->latency[i];
}

/* Moves the old calls of the slot into the base. */
static void age_base(struct trk_track *track)
{
	if (track->slot_base_calls == 0)
		return;
	track->base_calls =
		track->base_calls * BASE_KEEP + track->slot_base_calls;
	track->base_bad = track->base_bad * BASE_KEEP + track->slot_base_bad;
	for (uint32_t i = 0;
	     i < MV_LATENCY_BUCKETS && track->metric == MV_METRIC_LATENCY;
	     i++) {
		track->base_latency[i] = track->base_latency[i] * BASE_KEEP +
					 track->slot_latency[i];
		track->slot_latency[i] = 0;
	}
	track->slot_base_calls = 0;
	track->slot_base_bad = 0;
}

/* Tests the old calls of the slot against the share before the step. */
static void note_old_change(struct trk_track *track)
{
	uint32_t calls = (uint32_t)track->slot_base_calls;
	uint32_t bad = (uint32_t)track->slot_base_bad;

	for (uint32_t i = 0; i < TST_ALTERNATIVES; i++) {
		double p_worse = track->model.p_new[i];
		double ratio;

		if (track->step_p_old <= 0 || track->step_p_old >= p_worse)
			continue;
		ratio = tst_get_ratio(track->step_p_old, p_worse, calls, bad);
		/* Bounded, so that the end of an outage is seen soon. */
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

/* Without old calls, allows for the error of the share estimated before. */
static void raise_model(const struct trk_track *track, struct tst_model *model)
{
	double error = BASE_ERRORS * sqrt(model->p_old * (1 - model->p_old) /
					  track->base_calls);

	model->p_old = clamp_share(model->p_old + error);
	for (uint32_t i = 0; i < TST_ALTERNATIVES; i++)
		model->p_new[i] = clamp_share(model->p_new[i] + error);
}

static void add_block(struct trk_track *track, const struct tst_block *block,
		      bool is_alone)
{
	void (*add)(struct tst_sums *, const struct tst_model *,
		    const struct tst_block *) =
		is_alone ? tst_add_alone : tst_add_paired;
	struct tst_model model = track->model;

	if (is_alone)
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
	return tst_get_paired(sums) > 0 || sums->alone > 0;
}

/* A comparison rests on its own calls only. */
static void restart_sums(struct tst_sums *sums, bool is_compare)
{
	if (is_compare)
		memset(sums, 0, sizeof(*sums));
	memset(sums->fresh, 0, sizeof(sums->fresh));
	sums->doubt = 0;
}

/* Figures shown to operators begin where the evidence left zero. */
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
 * Calls of one block should be of about the same time: once one version has
 * many calls while the other has none, the block is given up.
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

static void test_block(struct trk_track *track, uint64_t slot, bool takes_all)
{
	struct tst_block block = get_block(track);
	bool has_base = track->base_calls >= BASE_CALLS_MIN;

	if (block.new_calls > 0 && block.old_calls > 0) {
		if (has_base)
			add_block(track, &block, false);
		close_block(track);
	} else if (block.new_calls > 0 && takes_all) {
		if (has_base)
			add_block(track, &block, true);
		close_block(track);
	} else if (is_block_stale(track, &block, slot)) {
		close_block(track);
	}
	if (has_base)
		note_old_change(track);
	restart_run(track);
}

/* Returns whether another target than that at index gave enough calls. */
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

void trk_end_slot(struct trk_track *track, uint64_t slot, bool takes_all)
{
	if (track->is_open)
		test_block(track, slot, takes_all);
	age_base(track);
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
		tst_take_lower(rest, &track->targets[i].without);
	}
	if (peers == 0)
		return track->new_calls >= SOLE_CALLS_MIN ? 1 : 0;
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
