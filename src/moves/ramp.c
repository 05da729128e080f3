/*
 * Ramp of a move that has to finish within seconds.
 *
 * A move that has ended well cannot be taken back, and all calls until its
 * limit count as exposure. So a ramp ends at the limit only, and what it
 * exposes before and after its end is planned from the exposure that the move
 * may have:
 *
 * - The probe gives the new version a small share of the calls.
 * - The load step gives the full load to a part of its targets at a time, so
 *   that a fault under load shows while most calls still go to the old version.
 *   It begins as late as the exposure allows it to last until the end.
 * - The ramp finishes in the last part of the time, whose calls the exposure
 *   has a reserve for.
 *
 * schedule.h has the times. The bound does not depend on the ramp: rt_exposure
 * limits the calls that a thread gives to the new version, whatever the share.
 *
 * Evidence is kept per route and for all routes together, by step. The new
 * version is bad when its number of failed or slow calls would be very unlikely
 * at the rates of the old version. Two sets of calls are tested: those of the
 * current step, since good calls of the probe would hide a fault under load,
 * and those of both steps, since a step alone has too few calls of a rare
 * route. Each call is compared with the old version's rate in the same step, so
 * that a fault of both versions that began with a step does not count against
 * the new one.
 *
 * The new version is good when its calls rule out that it is worse by more than
 * a tolerated excess. Without that, or without enough calls, the ramp does not
 * finish, and the move is taken back when its time is over.
 *
 * While the old version fails often, the share falls back to that of the probe.
 *
 * The ramp of all nodes' calls decides on the steps; ramps of single nodes
 * follow it. Steps never decrease, so that evaluators agree on the latest one.
 *
 * Invariants: calls of steps after the current one are zero; once reason is
 * set, the ramp stays taken back.
 */
#include <math.h>
#include <string.h>
#include "evidence.h"
#include "recent.h"
#include "schedule.h"

/*
 * A service of few calls is probed with a larger share, so that this many calls
 * reach the new version.
 */
#define PROBE_CALLS 40.0
/* Time after which the rate of calls is known well enough for that. */
#define RATE_KNOWN_MS 500U
/* Time after the limit in which another node may yet tell that it finished. */
#define END_NEWS_MS 500U
/* Time from the start of the load step until its first calls were reported. */
#define LOAD_REPORTED_MS 800U
/* Time for which the same targets have the full load. */
#define TURN_MS 450U
/*
 * Bounds on the false-alarm probability of each test. The one for a single
 * node's calls is smaller because some hundred nodes each run many tests.
 */
#define OWN_FALSE_ALARM_PROBABILITY 1e-5
#define ALL_FALSE_ALARM_PROBABILITY 1e-4
/*
 * A version is shown to be good when calls as good as these would be this
 * unlikely of one that is worse by the excess.
 */
#define GOOD_PROBABILITY 0.02
/*
 * Calls of the new version in the whole time that must be due for that; fewer
 * cannot show it. A service with fewer calls exposes few calls.
 */
#define GOOD_CALLS_DUE 40U
/* Part of the calls due in the load step without which it was not in force. */
#define LOAD_CALLS_PERCENT 25U
/*
 * Calls of a service of which the ramp must know this part of the time, where
 * they are too few to show that the new version is good.
 */
#define KNOWN_TIME_PERCENT 80U
/* Probability of failures, or slow calls, below which they leave a doubt. */
#define SUSPICION_PROBABILITY 1e-3
/* Calls after the end of a ramp that are never too many. */
#define RESERVE_CALLS_MIN 10.0
/* Calls of the load step that must be due to tell whether it was in force. */
#define LOAD_CALLS_DUE 20U

struct mv_ramp {
	char to[MV_NAME_SIZE];
	struct mv_ramp_limits limits;
	uint64_t start_ms;
	uint64_t counting_since_ms;  /* later than start_ms if another node told
					of the ramp */
	uint64_t counted_calls;	     /* of both versions, since then */
	uint64_t comparing_since_ms; /* start of calls */
	bool is_comparing;	     /* the new version has had calls */
	uint32_t step;
	uint64_t step_start_ms;
	uint32_t target_count;	      /* of the new version */
	bool is_following;	      /* steps are decided by another ramp */
	struct mv_ramp_progress told; /* by that one */
	bool is_finished;
	enum mv_ramp_scope scope;
	struct mv_recent recent_old;
	struct mv_recent recent_new;
	struct mv_recent recent_all;
	bool was_noisy;
	struct mv_series_list calls;
	char reason[256]; /* "": not taken back */
};

static void set_reason(struct mv_ramp *ramp, const struct mv_series *series,
		       const struct mv_fault *fault)
{
	const struct mv_comparison *sums = &fault->sums;

	g_snprintf(ramp->reason, sizeof(ramp->reason),
		   "%s%s: %u of %u calls %s, %u of %u on the old version",
		   *series->route ? "route " : "all routes", series->route,
		   sums->new_bad, sums->new_calls, fault->what, sums->old_bad,
		   sums->old_calls);
}

static uint64_t get_age_ms(const struct mv_ramp *ramp, uint64_t now_ms)
{
	return now_ms - MIN(ramp->start_ms, now_ms);
}

/* Tests the calls of the steps from first to the current one together. */
static void evaluate_steps(struct mv_ramp *ramp, const struct mv_series *series,
			   uint32_t first, bool has_all_targets)
{
	const struct mv_test test = {
		.first = first,
		.last = ramp->step,
		.probability = ramp->scope == MV_RAMP_OWN_CALLS
				       ? OWN_FALSE_ALARM_PROBABILITY
				       : ALL_FALSE_ALARM_PROBABILITY,
		.has_all_nodes = ramp->scope == MV_RAMP_ALL_CALLS,
		.has_all_targets = has_all_targets,
	};
	struct mv_fault fault;

	if (mv_find_fault(series, &test, &fault))
		set_reason(ramp, series, &fault);
}

static void evaluate(struct mv_ramp *ramp, const struct mv_series *series,
		     uint64_t now_ms)
{
	uint32_t turn_count = ramp->is_following
				      ? ramp->told.turn_count
				      : mv_get_turn_count(ramp->target_count);
	bool has_all_targets =
		ramp->step == MV_STEP_PROBE ||
		now_ms - ramp->step_start_ms >= (uint64_t)turn_count * TURN_MS;

	evaluate_steps(ramp, series, ramp->step, has_all_targets);
	if (!*ramp->reason && ramp->step > MV_STEP_PROBE)
		evaluate_steps(ramp, series, MV_STEP_PROBE, has_all_targets);
}

/* Returns whether the old version fails too often to be compared with. */
static bool is_noisy(const struct mv_ramp *ramp)
{
	return mv_is_recent_noisy(&ramp->recent_old);
}

static void begin_step(struct mv_ramp *ramp, uint32_t step, uint64_t now_ms)
{
	ramp->step = step;
	ramp->step_start_ms = now_ms;
}

static void advance_step(struct mv_ramp *ramp, uint64_t now_ms)
{
	mv_turn_recent(&ramp->recent_old, now_ms);
	mv_turn_recent(&ramp->recent_new, now_ms);
	mv_turn_recent(&ramp->recent_all, now_ms);
	if (is_noisy(ramp))
		ramp->was_noisy = true;
	else if (ramp->step == MV_STEP_PROBE &&
		 get_age_ms(ramp, now_ms) >=
			 mv_get_load_start_ms(&ramp->limits,
					      ramp->target_count))
		begin_step(ramp, MV_STEP_LOAD, now_ms);
}

/* Sums up the calls of all routes and steps. */
static struct mv_step_counts sum_calls(const struct mv_ramp *ramp)
{
	struct mv_step_counts sums = { 0 };

	for (uint32_t i = 0; i < MV_STEP_COUNT; i++) {
		mv_add_counts(&sums.old, &ramp->calls.series[0].steps[i].old);
		mv_add_counts(&sums.new, &ramp->calls.series[0].steps[i].new);
	}
	return sums;
}

/*
 * Returns the share during the probe, in permille, by the rate of calls. Calls
 * to a cold target tell nothing, so that the rest of the time may have to make
 * up for them.
 */
static uint32_t get_probe_permille(const struct mv_ramp *ramp, uint64_t now_ms)
{
	uint64_t counting_ms = now_ms - ramp->counting_since_ms;
	double calls = (double)ramp->counted_calls;
	double left_ms = (double)mv_get_load_start_ms(&ramp->limits,
						      ramp->target_count) -
			 (double)get_age_ms(ramp, now_ms);
	double wanted = PROBE_CALLS - sum_calls(ramp).new.calls;
	double permille;

	if (counting_ms < RATE_KNOWN_MS || calls == 0)
		return mv_get_probe_permille(&ramp->limits);
	permille = 1000 * wanted * (double)counting_ms /
		   (calls * fmax(left_ms, RATE_KNOWN_MS));
	return (uint32_t)fmax(fmin(permille, ramp->limits.bound_permille),
			      mv_get_probe_permille(&ramp->limits));
}

struct mv_ramp *mv_new_ramp(TALLOC_CTX *ctx, const char *to,
			    const struct mv_ramp_limits *limits,
			    enum mv_ramp_scope scope, uint64_t now_ms)
{
	struct mv_ramp *ramp = talloc_zero(ctx, struct mv_ramp);

	g_strlcpy(ramp->to, to, sizeof(ramp->to));
	ramp->limits = *limits;
	ramp->scope = scope;
	ramp->counting_since_ms = now_ms;
	ramp->start_ms = now_ms;
	ramp->step_start_ms = now_ms;
	ramp->target_count = 1;
	ramp->recent_old.start_ms = now_ms;
	ramp->recent_new.start_ms = now_ms;
	ramp->recent_all.start_ms = now_ms;
	mv_init_series(&ramp->calls);
	return ramp;
}

void mv_set_ramp_targets(struct mv_ramp *ramp, uint32_t target_count)
{
	ramp->target_count = MAX(target_count, 1U);
}

/*
 * Drops the old version's calls from before the first ones of the new version.
 * An outage that began between them would count against the new one.
 */
static void drop_earlier_calls(struct mv_ramp *ramp, bool has_new_calls,
			       uint64_t now_ms)
{
	if (ramp->step != MV_STEP_PROBE || ramp->is_comparing)
		return;
	if (ramp->comparing_since_ms != now_ms)
		mv_init_series(&ramp->calls);
	ramp->comparing_since_ms = now_ms;
	ramp->is_comparing = has_new_calls;
}

void mv_record_ramp_counts(struct mv_ramp *ramp, const char *version,
			   const char *route, const struct mv_counts *counts,
			   uint64_t now_ms)
{
	bool is_new = strcmp(version, ramp->to) == 0;

	mv_turn_recent(&ramp->recent_old, now_ms);
	mv_turn_recent(&ramp->recent_new, now_ms);
	mv_turn_recent(&ramp->recent_all, now_ms);
	ramp->counted_calls += counts->calls;
	mv_add_counts(&ramp->recent_all.windows[0], counts);
	drop_earlier_calls(ramp, is_new && counts->calls > 0, now_ms);
	mv_add_counts(is_new ? &ramp->recent_new.windows[0]
			     : &ramp->recent_old.windows[0],
		      counts);
	mv_add_series_counts(&ramp->calls, route, ramp->step, is_new, counts);
}

/* Returns whether enough calls of the new version were counted. */
static bool has_due_calls(const struct mv_ramp *ramp)
{
	const struct mv_step_counts *load =
		&ramp->calls.series[0].steps[MV_STEP_LOAD];
	const struct mv_step_counts sums = sum_calls(ramp);
	uint64_t load_due_calls =
		((uint64_t)load->old.calls + load->new.calls) *
		mv_get_load_permille(ramp->target_count) / 1000;

	if (2ULL * sums.new.calls <
	    mv_get_due_calls(&ramp->limits,
			     (uint64_t)sums.old.calls + sums.new.calls))
		return false;
	return load_due_calls < LOAD_CALLS_DUE ||
	       100ULL * load->new.calls >= LOAD_CALLS_PERCENT *load_due_calls;
}

/* Returns whether a route or the last seconds leave a doubt. */
static bool is_suspect(const struct mv_ramp *ramp)
{
	const struct mv_step_counts recent = {
		.old = mv_sum_recent(&ramp->recent_old),
		.new = mv_sum_recent(&ramp->recent_new),
	};

	for (uint32_t i = 0; i < ramp->calls.count; i++) {
		if (mv_is_suspect(&ramp->calls.series[i],
				  SUSPICION_PROBABILITY))
			return true;
	}
	return mv_are_calls_suspect(&recent, SUSPICION_PROBABILITY);
}

/* Returns the time since which calls are counted. */
static uint64_t get_counting_ms(const struct mv_ramp *ramp, uint64_t now_ms)
{
	return MAX(now_ms - MIN(ramp->counting_since_ms, now_ms), 1U);
}

/* Returns the calls of the whole time at the rate of those that are known. */
static uint64_t estimate_calls(const struct mv_ramp *ramp, uint64_t now_ms)
{
	return (uint64_t)((double)ramp->counted_calls *
			  (double)get_age_ms(ramp, now_ms) /
			  (double)get_counting_ms(ramp, now_ms));
}

/* Returns whether the calls show that the new version is good. */
static bool is_shown_good(const struct mv_ramp *ramp, uint64_t now_ms)
{
	const struct mv_series *all = &ramp->calls.series[0];
	uint64_t due_calls =
		mv_get_due_calls(&ramp->limits, estimate_calls(ramp, now_ms));

	if (!has_due_calls(ramp) || is_suspect(ramp))
		return false;
	if (due_calls < GOOD_CALLS_DUE)
		return 100 * get_counting_ms(ramp, now_ms) >=
		       get_age_ms(ramp, now_ms) * KNOWN_TIME_PERCENT;
	if (!mv_is_excess_unlikely(all, MV_STEP_PROBE, MV_STEP_LOAD,
				   GOOD_PROBABILITY))
		return false;
	return all->steps[MV_STEP_LOAD].new.calls < GOOD_CALLS_DUE ||
	       mv_is_excess_unlikely(all, MV_STEP_LOAD, MV_STEP_LOAD,
				     GOOD_PROBABILITY);
}

/* Returns whether the reserve has room for all calls until the limit. */
static bool is_reserve_enough(const struct mv_ramp *ramp, uint64_t left_ms,
			      uint64_t now_ms)
{
	struct mv_counts recent = mv_sum_recent(&ramp->recent_all);
	double recent_ms = mv_get_recent_ms(&ramp->recent_all, now_ms);
	double counted = (double)estimate_calls(ramp, now_ms);

	return recent.calls / fmax(recent_ms, 1) * (double)left_ms <=
	       fmax(counted * ramp->limits.reserve_permille / 1000,
		    RESERVE_CALLS_MIN);
}

/* Returns whether the ramp may finish at this time. */
static bool is_time_to_finish(const struct mv_ramp *ramp, uint64_t now_ms)
{
	uint64_t age_ms = get_age_ms(ramp, now_ms);
	uint64_t left_ms;

	if (age_ms + mv_get_end_margin_ms(&ramp->limits) >
	    ramp->limits.limit_ms)
		return false;
	left_ms = ramp->limits.limit_ms - age_ms;
	return left_ms <= mv_get_reserve_ms(&ramp->limits) &&
	       ramp->step == MV_STEP_LOAD &&
	       now_ms - ramp->step_start_ms >= LOAD_REPORTED_MS &&
	       is_reserve_enough(ramp, left_ms, now_ms);
}

void mv_get_ramp_progress(struct mv_ramp *ramp, uint64_t now_ms,
			  struct mv_ramp_progress *progress)
{
	*progress = (struct mv_ramp_progress){
		.share_permille = mv_get_ramp_share(ramp, now_ms),
		.turn_count = mv_get_ramp_turn(ramp, now_ms).count,
		.step = ramp->step,
		.age_ms = (uint32_t)get_age_ms(ramp, now_ms),
		.step_age_ms = (uint32_t)(now_ms - ramp->step_start_ms),
		.is_passed = ramp->is_following ? ramp->told.is_passed
						: ramp->is_finished,
	};
}

void mv_get_ramp_calls(const struct mv_ramp *ramp, uint32_t step,
		       struct mv_ramp_calls *calls)
{
	const struct mv_step_counts *counts;

	memset(calls, 0, sizeof(*calls));
	if (step >= MV_STEP_COUNT)
		return;
	counts = &ramp->calls.series[0].steps[step];
	calls->new_calls = counts->new.calls;
	calls->new_failed = counts->new.failed;
	calls->old_calls = counts->old.calls;
	calls->old_failed = counts->old.failed;
}

void mv_follow_ramp(struct mv_ramp *ramp,
		    const struct mv_ramp_progress *progress, uint64_t now_ms)
{
	ramp->is_following = true;
	ramp->told = *progress;
	ramp->start_ms = now_ms - MIN(progress->age_ms, now_ms);
	begin_step(ramp, MIN(progress->step, MV_STEP_LOAD),
		   now_ms - MIN(progress->step_age_ms, now_ms));
}

void mv_resume_ramp(struct mv_ramp *ramp,
		    const struct mv_ramp_progress *progress, uint64_t now_ms)
{
	ramp->start_ms =
		MIN(ramp->start_ms, now_ms - MIN(progress->age_ms, now_ms));
	if (progress->step > ramp->step)
		begin_step(ramp, MIN(progress->step, MV_STEP_LOAD),
			   now_ms - MIN(progress->step_age_ms, now_ms));
}

/* Returns whether the new version gets no calls any more, but for the end. */
static bool is_too_late(const struct mv_ramp *ramp, uint64_t now_ms)
{
	uint64_t age_ms = get_age_ms(ramp, now_ms);

	if (ramp->is_following)
		return age_ms > (uint64_t)ramp->limits.limit_ms + END_NEWS_MS;
	return !ramp->is_finished &&
	       age_ms + mv_get_end_margin_ms(&ramp->limits) >
		       ramp->limits.limit_ms;
}

uint32_t mv_get_ramp_share(struct mv_ramp *ramp, uint64_t now_ms)
{
	if (*ramp->reason || is_too_late(ramp, now_ms))
		return 0;
	if (ramp->is_following)
		return ramp->told.share_permille;
	advance_step(ramp, now_ms);
	if (ramp->step == MV_STEP_LOAD && !is_noisy(ramp))
		return mv_get_load_permille(ramp->target_count);
	return get_probe_permille(ramp, now_ms);
}

struct mv_turn mv_get_ramp_turn(const struct mv_ramp *ramp, uint64_t now_ms)
{
	struct mv_turn turn = { .count = 1 };

	if (ramp->step != MV_STEP_LOAD)
		return turn;
	if (ramp->is_following)
		turn.count = MAX(ramp->told.turn_count, 1U);
	else if (!is_noisy(ramp))
		turn.count = mv_get_turn_count(ramp->target_count);
	turn.index = (uint32_t)((now_ms - MIN(ramp->step_start_ms, now_ms)) /
				TURN_MS % turn.count);
	return turn;
}

/*
 * Takes the move back when its time is over and it has not finished, or its end
 * was not recorded in time.
 */
static void check_time(struct mv_ramp *ramp, uint64_t now_ms)
{
	uint64_t limit_ms = ramp->limits.limit_ms;
	const char *what = "calls do not show that the new version is good";

	if (ramp->is_following || ramp->is_finished)
		limit_ms += END_NEWS_MS;
	else
		limit_ms -= mv_get_end_margin_ms(&ramp->limits);
	if (get_age_ms(ramp, now_ms) < limit_ms)
		return;
	if (ramp->is_finished)
		what = "its end was not recorded";
	else if (ramp->is_following)
		what = "no evaluator has ended the move";
	else if (ramp->was_noisy)
		what = "the old version failed too often to compare";
	else if (!has_due_calls(ramp))
		what = "the new version did not get the share it was due";
	g_snprintf(ramp->reason, sizeof(ramp->reason), "out of time: %s", what);
}

enum mv_ramp_verdict mv_evaluate_ramp(struct mv_ramp *ramp, uint64_t now_ms)
{
	for (uint32_t i = 0; i < ramp->calls.count && !*ramp->reason; i++)
		evaluate(ramp, &ramp->calls.series[i], now_ms);
	if (!ramp->is_following && !*ramp->reason) {
		advance_step(ramp, now_ms);
		if (is_time_to_finish(ramp, now_ms) &&
		    is_shown_good(ramp, now_ms))
			ramp->is_finished = true;
	}
	if (ramp->is_following && ramp->told.is_passed)
		ramp->is_finished = true;
	if (!*ramp->reason)
		check_time(ramp, now_ms);
	if (*ramp->reason)
		return MV_RAMP_TAKE_BACK;
	return ramp->is_finished ? MV_RAMP_FINISH : MV_RAMP_CONTINUE;
}

const char *mv_get_ramp_reason(const struct mv_ramp *ramp)
{
	return ramp->reason;
}
