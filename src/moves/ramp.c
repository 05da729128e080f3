/*
 * Ramp of a move that has to finish within seconds.
 *
 * For the first part of the time a small share of the calls probes the new
 * version. Then the share rises in a few steps to all calls. Evidence is kept
 * per route and for all routes together, by step. The new version is bad when
 * its number of failed or slow calls would be very unlikely at the rates of the
 * old version. Two sets of calls are tested: those of the current step, since
 * good calls of earlier steps would hide a fault under load, and those of all
 * steps, since a step alone has too few calls of a rare route. Each call is
 * compared with the old version's rate in the same step, so that a fault of
 * both versions that began with a step does not count against the new one.
 *
 * A step ends by evidence: the calls that were counted must show that the share
 * was in force. A ramp whose share the other nodes do not use does not go on.
 *
 * With all calls at the new version there is no old one to compare with, and a
 * fault of a called service looks like a bad version. There the new version is
 * suspected by the old one's rates until then. After a suspicion all calls go
 * to the old version for the check step, whose calls tell whether it fails as
 * well. Then the new version is taken back or gets all calls once more, and a
 * second suspicion takes it back.
 *
 * While the old version fails often, a bad new one cannot be told from it. The
 * share then falls back to that of the probe, and the step begins anew when the
 * failures are over. A move that can no longer finish in time for that is taken
 * back at the end of its time.
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

/*
 * A bad version may get at most a tenth of all calls of the ramp. The probe and
 * the steps use less than half of that tenth; the rest bounds how long a
 * version that is bad only under load can have all calls.
 */
#define PROBE_SHARE_PERMILLE 50U
/*
 * A service of few calls is probed with a larger share, so that this many calls
 * reach the new version.
 */
#define PROBE_CALLS 40.0
#define PROBE_SHARE_MAX_PERMILLE 100U
/*
 * While the old version fails often, the new one gets no calls beyond this part
 * of all calls since the start: the rest may be needed for larger shares.
 */
#define HOLD_EXPOSURE_PERMILLE 60U
/* Time after which the rate of calls is known well enough for that. */
#define RATE_KNOWN_MS 500U
/* Part of the time used by the probe, long enough to find late faults. */
#define PROBE_TIME_PERCENT 43U
/* Time for which the new version has all calls before the ramp finishes. */
#define FULL_SHARE_MS 2000U
/* The least such time, at the end of the limit. */
#define FULL_SHARE_MIN_MS 1000U
/* Time for which the old version has all calls after a suspicion. */
#define CHECK_MS 700U
/* Calls of the new version that must be due to tell whether its share is used.
 */
#define SHARE_CALLS_MIN 20U
/* Calls of the old version that end a check. */
#define CHECK_CALLS_MIN 20U
/* Time at the end of the limit in which the end of the move is recorded. */
#define END_MARGIN_MS 700U
/* Steps may take this much less time after an interruption. */
#define SHORTEST_STEP 0.5
/*
 * Bounds on the false-alarm probability of each test. The one for a single
 * node's calls is smaller because some hundred nodes each run many tests.
 */
#define OWN_FALSE_ALARM_PROBABILITY 1e-5
#define ALL_FALSE_ALARM_PROBABILITY 1e-4
/* With all calls at the new version; the check of a suspicion follows. */
#define CHECK_CAUSE_PROBABILITY 5e-2
#define CHECK_PROBABILITY 1e-2
/*
 * A single node cannot let the others check a suspicion. With all calls at the
 * new version it judges only a series that was this unlikely before.
 */
#define SUSPICION_PROBABILITY 1e-2
/*
 * Calls of the new version, from before the old one failed often or after, that
 * have ended before the larger shares: a slow call ends late, and after a noisy
 * probe hardly any have ended when the steps begin.
 */
#define CALLS_BEFORE_LARGE_STEPS 25U

static const struct {
	uint32_t share_permille;
	uint32_t duration_ms; /* 0: not known beforehand */
} steps[MV_STEP_COUNT] = {
	[MV_STEP_PROBE] = { PROBE_SHARE_PERMILLE, 0 },
	[MV_STEP_FIRST] = { 150, 1200 },
	[MV_STEP_SECOND] = { 300, 500 },
	[MV_STEP_FULL] = { DOC_SHARE_ALL_PERMILLE, FULL_SHARE_MS },
	[MV_STEP_CHECK] = { 0, 0 },
	[MV_STEP_LAST] = { DOC_SHARE_ALL_PERMILLE, FULL_SHARE_MS },
};

struct mv_ramp {
	char to[MV_NAME_SIZE];
	uint64_t start_ms;
	uint32_t limit_ms;
	uint64_t counting_since_ms;  /* later than start_ms if another node told
					of the ramp */
	uint64_t counted_calls;	     /* of both versions, since then */
	uint64_t comparing_since_ms; /* start of calls */
	bool is_comparing;	     /* the new version has had calls */
	uint32_t step;
	uint64_t step_start_ms;
	/* Calls since step_start_ms, also those that tell nothing. */
	uint64_t step_new_calls;
	uint64_t step_old_calls;
	bool is_following;	/* steps are decided by another ramp */
	uint32_t told_permille; /* share of that one */
	bool is_told_passed;	/* whether that one has passed */
	bool is_suspect;	/* this ramp has begun the check step */
	enum mv_ramp_scope scope;
	struct mv_recent recent_old;
	uint32_t quiet_calls; /* of the new version, while it was not noisy */
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

static bool is_full_step(uint32_t step)
{
	return step == MV_STEP_FULL || step == MV_STEP_LAST;
}

/* Returns the bound for each test of the current step. */
static double get_false_alarm_probability(const struct mv_ramp *ramp)
{
	if (ramp->scope == MV_RAMP_OWN_CALLS)
		return OWN_FALSE_ALARM_PROBABILITY;
	if (ramp->step == MV_STEP_FULL)
		return CHECK_CAUSE_PROBABILITY;
	return ramp->step == MV_STEP_LAST ? CHECK_PROBABILITY
					  : ALL_FALSE_ALARM_PROBABILITY;
}

/* Tests the calls of the steps from first to the current one together. */
static void evaluate_steps(struct mv_ramp *ramp, const struct mv_series *series,
			   uint32_t first)
{
	const struct mv_test test = {
		.first = first,
		.last = ramp->step,
		.probability = get_false_alarm_probability(ramp),
		.has_all_nodes = ramp->scope == MV_RAMP_ALL_CALLS,
	};
	struct mv_fault fault;

	if (mv_find_fault(series, &test, &fault))
		set_reason(ramp, series, &fault);
}

static uint32_t get_probe_ms(const struct mv_ramp *ramp)
{
	return (uint32_t)((uint64_t)ramp->limit_ms * PROBE_TIME_PERCENT / 100);
}

/* Returns the usual duration of a step. */
static uint32_t get_duration_ms(const struct mv_ramp *ramp, uint32_t step)
{
	return step == MV_STEP_PROBE ? get_probe_ms(ramp)
				     : steps[step].duration_ms;
}

/* Returns the usual time from the beginning of a step to the full share. */
static uint32_t get_remaining_ms(const struct mv_ramp *ramp, uint32_t step)
{
	uint32_t remaining_ms = 0;

	for (uint32_t i = step; i < MV_STEP_FULL; i++)
		remaining_ms += get_duration_ms(ramp, i);
	return remaining_ms;
}

/* Returns how long the current step lasts so that the ramp ends in time. */
static double get_step_ms(const struct mv_ramp *ramp)
{
	double elapsed_ms = (double)(ramp->step_start_ms - ramp->start_ms);
	double left_ms =
		ramp->limit_ms - elapsed_ms - FULL_SHARE_MS - END_MARGIN_MS;
	double usual_ms = get_remaining_ms(ramp, ramp->step);

	return get_duration_ms(ramp, ramp->step) *
	       fmin(fmax(left_ms / usual_ms, SHORTEST_STEP), 1);
}

static bool can_end_in_time(const struct mv_ramp *ramp, uint64_t now_ms)
{
	double shortest_ms = ramp->step == MV_STEP_PROBE
				     ? get_remaining_ms(ramp, 1)
				     : get_remaining_ms(ramp, ramp->step);

	return (double)(now_ms - ramp->start_ms) + SHORTEST_STEP * shortest_ms +
		       FULL_SHARE_MS + END_MARGIN_MS <=
	       ramp->limit_ms;
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
	ramp->step_new_calls = 0;
	ramp->step_old_calls = 0;
}

static bool has_few_calls(const struct mv_ramp *ramp)
{
	return ramp->quiet_calls < CALLS_BEFORE_LARGE_STEPS;
}

/* Returns whether the step may take longer without delaying the end. */
static bool can_wait(const struct mv_ramp *ramp, uint64_t now_ms)
{
	return (double)(now_ms - ramp->start_ms) +
		       get_remaining_ms(ramp, ramp->step + 1) + FULL_SHARE_MS +
		       END_MARGIN_MS <
	       ramp->limit_ms;
}

/*
 * Returns whether at least half of the new version's calls that are due in the
 * current step were counted. Few calls show nothing, and do not stop the ramp.
 */
static bool has_share(const struct mv_ramp *ramp)
{
	uint64_t due_calls = (ramp->step_new_calls + ramp->step_old_calls) *
			     steps[ramp->step].share_permille / 1000;

	return due_calls < SHARE_CALLS_MIN ||
	       2 * ramp->step_new_calls >= due_calls;
}

static bool is_step_over(const struct mv_ramp *ramp, uint64_t now_ms)
{
	if ((double)(now_ms - ramp->step_start_ms) < get_step_ms(ramp))
		return false;
	if (ramp->step == MV_STEP_PROBE)
		return can_end_in_time(ramp, now_ms);
	if (!has_share(ramp))
		return false;
	return !has_few_calls(ramp) ||
	       (!ramp->was_noisy && !can_wait(ramp, now_ms));
}

/*
 * Advances by one step at most, so that a node that stood still for a while
 * does not pass over a step.
 */
static void advance_step(struct mv_ramp *ramp, uint64_t now_ms)
{
	mv_turn_recent(&ramp->recent_old, now_ms);
	if (ramp->step >= MV_STEP_FULL)
		return;
	if (is_noisy(ramp)) {
		ramp->was_noisy = true;
		/* The probe goes on; its time is not lost. */
		if (ramp->step > MV_STEP_PROBE)
			begin_step(ramp, ramp->step, now_ms);
	} else if (is_step_over(ramp, now_ms)) {
		begin_step(ramp, ramp->step + 1, now_ms);
	}
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
 * Returns the share, in permille, at which wanted calls reach the new version
 * within time_ms.
 */
static uint32_t get_share_for(const struct mv_ramp *ramp, uint64_t now_ms,
			      double wanted, double time_ms)
{
	uint64_t elapsed_ms = now_ms - ramp->counting_since_ms;
	double calls = (double)ramp->counted_calls;
	double permille;

	if (elapsed_ms < RATE_KNOWN_MS || calls == 0)
		return PROBE_SHARE_PERMILLE;
	permille = 1000 * wanted * (double)elapsed_ms / (calls * time_ms);
	return (uint32_t)fmin(fmax(permille, PROBE_SHARE_PERMILLE),
			      PROBE_SHARE_MAX_PERMILLE);
}

/* Returns the share of the probe, in permille, by the rate of calls. */
static uint32_t get_probe_permille(const struct mv_ramp *ramp, uint64_t now_ms)
{
	return get_share_for(ramp, now_ms, PROBE_CALLS, get_probe_ms(ramp));
}

/*
 * Returns the share during the probe. Calls to a cold target tell nothing, so
 * that the rest of the time may have to make up for them.
 */
static uint32_t get_first_permille(const struct mv_ramp *ramp, uint64_t now_ms)
{
	double elapsed_ms = (double)(now_ms - ramp->start_ms);
	double left_ms = fmax(get_probe_ms(ramp) - elapsed_ms, RATE_KNOWN_MS);
	uint32_t known_calls =
		MAX(sum_calls(ramp).new.calls, ramp->quiet_calls);

	return get_share_for(ramp, now_ms, PROBE_CALLS - known_calls, left_ms);
}

/* Returns whether the new version has had its part of the calls for now. */
static bool is_exposed(const struct mv_ramp *ramp)
{
	struct mv_step_counts sums = sum_calls(ramp);
	uint64_t new_calls =
		(uint64_t)sums.new.calls + sums.new.cold + sums.new.lost;
	uint64_t old_calls =
		(uint64_t)sums.old.calls + sums.old.cold + sums.old.lost;

	return new_calls * 1000 >
	       (new_calls + old_calls) * HOLD_EXPOSURE_PERMILLE;
}

struct mv_ramp *mv_new_ramp(TALLOC_CTX *ctx, const char *to, uint32_t limit_ms,
			    enum mv_ramp_scope scope, uint64_t now_ms)
{
	struct mv_ramp *ramp = talloc_zero(ctx, struct mv_ramp);

	g_strlcpy(ramp->to, to, sizeof(ramp->to));
	ramp->limit_ms = limit_ms;
	ramp->scope = scope;
	ramp->counting_since_ms = now_ms;
	ramp->start_ms = now_ms;
	ramp->step_start_ms = now_ms;
	ramp->recent_old.start_ms = now_ms;
	mv_init_series(&ramp->calls);
	return ramp;
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
	uint32_t step;

	mv_turn_recent(&ramp->recent_old, now_ms);
	ramp->counted_calls += counts->calls;
	drop_earlier_calls(ramp, is_new && counts->calls > 0, now_ms);
	if (is_new)
		ramp->step_new_calls += (uint64_t)counts->calls + counts->cold;
	else
		ramp->step_old_calls += (uint64_t)counts->calls + counts->cold;
	if (!is_new)
		mv_add_counts(&ramp->recent_old.windows[0], counts);
	else if (!is_noisy(ramp))
		ramp->quiet_calls += counts->calls;
	/* Calls of the new version that end in the check began before it. */
	step = ramp->step == MV_STEP_CHECK && is_new ? MV_STEP_FULL
						     : ramp->step;
	mv_add_series_counts(&ramp->calls, route, step, is_new, counts);
}

/* Returns whether the new version has had all calls for long enough. */
static bool has_passed(const struct mv_ramp *ramp, uint64_t now_ms)
{
	bool is_last_chance =
		now_ms - ramp->start_ms + END_MARGIN_MS >= ramp->limit_ms;
	uint32_t least_ms = is_last_chance ? FULL_SHARE_MIN_MS : FULL_SHARE_MS;

	return !*ramp->reason && is_full_step(ramp->step) &&
	       now_ms - ramp->step_start_ms >= least_ms && has_share(ramp);
}

void mv_get_ramp_progress(struct mv_ramp *ramp, uint64_t now_ms,
			  struct mv_ramp_progress *progress)
{
	*progress = (struct mv_ramp_progress){
		.share_permille = mv_get_ramp_share(ramp, now_ms),
		.step = ramp->step,
		.age_ms = (uint32_t)(now_ms - ramp->start_ms),
		.step_age_ms = (uint32_t)(now_ms - ramp->step_start_ms),
		.new_calls = ramp->quiet_calls,
		.is_passed = ramp->is_following ? ramp->is_told_passed
						: has_passed(ramp, now_ms),
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
	ramp->told_permille = progress->share_permille;
	ramp->is_told_passed = progress->is_passed;
	ramp->start_ms = now_ms - MIN(progress->age_ms, now_ms);
	ramp->quiet_calls = MAX(ramp->quiet_calls, progress->new_calls);
	begin_step(ramp, MIN(progress->step, MV_STEP_LAST),
		   now_ms - MIN(progress->step_age_ms, now_ms));
}

void mv_resume_ramp(struct mv_ramp *ramp,
		    const struct mv_ramp_progress *progress, uint64_t now_ms)
{
	ramp->start_ms =
		MIN(ramp->start_ms, now_ms - MIN(progress->age_ms, now_ms));
	ramp->quiet_calls = MAX(ramp->quiet_calls, progress->new_calls);
	if (progress->step > ramp->step)
		begin_step(ramp, MIN(progress->step, MV_STEP_LAST),
			   now_ms - MIN(progress->step_age_ms, now_ms));
}

uint32_t mv_get_ramp_share(struct mv_ramp *ramp, uint64_t now_ms)
{
	uint32_t probe_permille;

	if (*ramp->reason)
		return 0;
	if (ramp->is_following)
		return ramp->told_permille;
	advance_step(ramp, now_ms);
	probe_permille = get_probe_permille(ramp, now_ms);
	if (ramp->step >= MV_STEP_FULL)
		return steps[ramp->step].share_permille;
	if (is_noisy(ramp))
		return is_exposed(ramp) ? 0 : probe_permille;
	if (ramp->step == MV_STEP_PROBE)
		return get_first_permille(ramp, now_ms);
	return MAX(steps[ramp->step].share_permille, 2 * probe_permille);
}

static void evaluate_check(struct mv_ramp *ramp, const struct mv_series *series)
{
	struct mv_fault fault;

	if (mv_find_checked_fault(series, CHECK_PROBABILITY, &fault))
		set_reason(ramp, series, &fault);
}

/* Returns whether the old version fails more often than before the check. */
static bool has_outage(const struct mv_ramp *ramp)
{
	struct mv_step_counts counts = {
		.old = mv_sum_old_calls(&ramp->calls.series[0]),
		.new = mv_sum_recent(&ramp->recent_old),
	};
	struct mv_comparison failures = { 0 };

	mv_compare_failures(&counts, &counts.old, &failures);
	return is_noisy(ramp) ||
	       mv_is_significant(&failures, CHECK_PROBABILITY);
}

/*
 * Ends the check when the old version's calls are enough to tell. A ramp that
 * another one made check leaves it the time to decide first.
 */
static void advance_check(struct mv_ramp *ramp, uint64_t now_ms)
{
	uint32_t check_ms = ramp->is_suspect ? CHECK_MS : 2 * CHECK_MS;

	if (now_ms - ramp->step_start_ms < check_ms ||
	    ramp->calls.series[0].steps[MV_STEP_CHECK].old.calls <
		    CHECK_CALLS_MIN)
		return;
	for (uint32_t i = 0; i < ramp->calls.count && !*ramp->reason; i++)
		evaluate_check(ramp, &ramp->calls.series[i]);
	if (!*ramp->reason && !has_outage(ramp))
		begin_step(ramp, MV_STEP_LAST, now_ms);
}

static void evaluate(struct mv_ramp *ramp, const struct mv_series *series)
{
	if (ramp->step == MV_STEP_CHECK)
		return;
	if (is_full_step(ramp->step) && ramp->scope == MV_RAMP_OWN_CALLS) {
		if (mv_is_suspect(series, SUSPICION_PROBABILITY))
			evaluate_steps(ramp, series, MV_STEP_PROBE);
		return;
	}
	evaluate_steps(ramp, series, ramp->step);
	if (!*ramp->reason && ramp->step > MV_STEP_PROBE)
		evaluate_steps(ramp, series,
			       ramp->step == MV_STEP_LAST ? MV_STEP_FULL
							  : MV_STEP_PROBE);
}

/* A suspicion of the full share is no reason yet. */
static void begin_check(struct mv_ramp *ramp, uint64_t now_ms)
{
	ramp->reason[0] = '\0';
	ramp->is_suspect = true;
	begin_step(ramp, MV_STEP_CHECK, now_ms);
}

/* Takes the move back when its time is over and it has not passed. */
static void check_time(struct mv_ramp *ramp, uint64_t now_ms)
{
	const char *what = "the new version did not get the share it was due";

	if (now_ms - ramp->start_ms + END_MARGIN_MS < ramp->limit_ms ||
	    has_passed(ramp, now_ms))
		return;
	if (ramp->was_noisy)
		what = "the old version failed too often to compare";
	else if (ramp->step == MV_STEP_CHECK)
		what = "the old version's calls did not allow a check";
	g_snprintf(ramp->reason, sizeof(ramp->reason), "out of time: %s", what);
}

enum mv_ramp_verdict mv_evaluate_ramp(struct mv_ramp *ramp, uint64_t now_ms)
{
	bool is_deciding = !ramp->is_following;

	for (uint32_t i = 0; i < ramp->calls.count && !*ramp->reason; i++)
		evaluate(ramp, &ramp->calls.series[i]);
	if (is_deciding && *ramp->reason && ramp->step == MV_STEP_FULL &&
	    ramp->scope == MV_RAMP_ALL_CALLS)
		begin_check(ramp, now_ms);
	if (is_deciding && !*ramp->reason) {
		advance_step(ramp, now_ms);
		if (ramp->step == MV_STEP_CHECK)
			advance_check(ramp, now_ms);
		check_time(ramp, now_ms);
	}
	if (*ramp->reason)
		return MV_RAMP_TAKE_BACK;
	if (is_deciding ? has_passed(ramp, now_ms) : ramp->is_told_passed)
		return MV_RAMP_FINISH;
	return MV_RAMP_CONTINUE;
}

const char *mv_get_ramp_reason(const struct mv_ramp *ramp)
{
	return ramp->reason;
}
