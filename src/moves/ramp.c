/*
 * Ramp of a move that has to finish within seconds.
 *
 * For the first part of the time a small share of the calls probes the new
 * version. Then the share rises in a few steps, so that a version that is bad
 * only under load is found before it has all calls. Evidence is kept per route
 * and for all routes together, by step. The new version is bad when its number
 * of failed or slow calls would be very unlikely at the rates of the old
 * version. Two sets of calls are tested: those of the current step, since good
 * calls of earlier steps would hide a fault under load, and those of all steps,
 * since a step alone has too few calls of a rare route. Each call is compared
 * with the old version's rate in the same step, so that a fault of both
 * versions that began with a step does not count against the new one.
 *
 * While the old version fails often, a bad new one cannot be told from it. The
 * share then falls back to that of the probe, and the step begins anew when the
 * failures are over. A move that can no longer finish in time for that is taken
 * back at the end of its time.
 *
 * The ramp of all nodes' calls decides on the steps; ramps of single nodes
 * follow it.
 *
 * Invariants: evidence[0] counts all routes; evidence of steps after the
 * current one is zero; once reason is set, the ramp stays taken back.
 */
#include <math.h>
#include <string.h>
#include "comparison.h"

/*
 * A bad version may get at most a tenth of all calls of the ramp. The probe
 * uses a fifth of that tenth and the first two steps less than a third; the
 * rest bounds how long a version that is bad only under load can stay at the
 * last step.
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
#define FULL_SHARE_MS 1600U
/* Time at the end of the limit in which the end of the move is recorded. */
#define END_MARGIN_MS 700U
/* Steps may take this much less time after an interruption. */
#define SHORTEST_STEP 0.5
/* Calls from which the old version's failures are told to be frequent. */
#define NOISY_CALLS_MIN 20U
/* The old version fails too often to be compared with. */
#define NOISY_RATE 0.2
/* Length of the windows in which that is counted. */
#define NOISE_WINDOW_MS 1000U
/*
 * Bounds on the false-alarm probability of each test. The one for a single
 * node's calls is smaller because some hundred nodes each run many tests.
 */
#define OWN_FALSE_ALARM_PROBABILITY 1e-5
#define ALL_FALSE_ALARM_PROBABILITY 1e-4
/*
 * When the new version has all calls there is no old one to compare with, and a
 * fault of a called service looks like a bad version. Only a series that was
 * already this unlikely before is judged further, by the old version's rates
 * until then.
 */
#define SUSPICION_PROBABILITY 1e-2
#define ROUTES_MAX 32U
/*
 * Calls of the new version, from before the old one failed often or after, that
 * have ended before the larger shares: a slow call ends late, and after a noisy
 * probe hardly any have ended when the steps begin.
 */
#define CALLS_BEFORE_LARGE_STEPS 25U

/* Steps after the probe; the load of the last is close to that of all calls. */
static const struct {
	uint32_t share_permille;
	uint32_t duration_ms;
} steps[] = { { 150, 1500 }, { 400, 600 }, { 800, 1300 } };
#define FULL_STEP (1U + G_N_ELEMENTS(steps))

/* The last step in which the old version has most calls. */
#define MINOR_STEP 2U
/* Calls of the old version from which its latencies are known well enough. */
#define LATENCY_CALLS_MIN 200U
/*
 * The smaller the factor of a test, the more its result depends on the load and
 * on which targets are reached. So all but the first test need calls of all
 * nodes, and only count steps in which the old version has most calls.
 */
static const struct mv_latency_test latency_tests[] = {
	{ .shift_buckets = 2,
	  .last_step = FULL_STEP,
	  .old_calls_min = 20,
	  .rate_min = 0.05,
	  .alarm_factor = 1 },
	{ .shift_buckets = 1,
	  .last_step = MINOR_STEP,
	  .old_calls_min = LATENCY_CALLS_MIN,
	  .rate_min = 0.03,
	  .alarm_factor = 10 },
	{ .shift_buckets = 0,
	  .last_step = MINOR_STEP,
	  .old_calls_min = LATENCY_CALLS_MIN,
	  .rate_min = 0.03,
	  .alarm_factor = 10 },
};
#define LATENCY_TESTS G_N_ELEMENTS(latency_tests)

struct evidence {
	char route[MV_NAME_SIZE]; /* "": all routes */
	struct mv_step_counts steps[FULL_STEP + 1];
};

struct mv_ramp {
	char to[MV_NAME_SIZE];
	uint64_t start_ms;
	uint32_t limit_ms;
	uint32_t step; /* FULL_STEP: the new version has all calls */
	uint64_t step_start_ms;
	bool is_following;	/* steps are decided by another ramp */
	uint32_t told_permille; /* share of that one */
	/* Calls of the old version in this window and the one before. */
	struct mv_counts noise[2];
	uint64_t noise_start_ms;
	uint32_t quiet_calls; /* of the new version, while it was not noisy */
	bool was_noisy;
	double false_alarm_probability;
	uint32_t latency_test_count;
	uint32_t evidence_count;
	struct evidence evidence[ROUTES_MAX + 1];
	char reason[256]; /* "": not taken back */
};

static struct evidence *get_evidence(struct mv_ramp *ramp, const char *route)
{
	struct evidence *evidence;

	for (uint32_t i = 1; i < ramp->evidence_count; i++) {
		if (strcmp(ramp->evidence[i].route, route) == 0)
			return &ramp->evidence[i];
	}
	if (ramp->evidence_count > ROUTES_MAX)
		return NULL;
	evidence = &ramp->evidence[ramp->evidence_count++];
	g_strlcpy(evidence->route, route, sizeof(evidence->route));
	return evidence;
}

static void set_reason(struct mv_ramp *ramp, const struct evidence *evidence,
		       const char *what, const struct mv_comparison *sums)
{
	g_snprintf(ramp->reason, sizeof(ramp->reason),
		   "%s%s: %u of %u calls %s, %u of %u on the old version",
		   *evidence->route ? "route " : "all routes", evidence->route,
		   sums->new_bad, sums->new_calls, what, sums->old_bad,
		   sums->old_calls);
}

/* The old calls that the full share is compared with were counted before. */
static void drop_repeated_calls(uint32_t last, struct mv_comparison *sums)
{
	if (last < FULL_STEP)
		return;
	sums->old_calls /= 2;
	sums->old_bad /= 2;
}

/* Sums up the failures in the steps from first to last. */
static struct mv_comparison sum_failures(const struct evidence *evidence,
					 uint32_t first, uint32_t last)
{
	struct mv_comparison sums = { 0 };
	struct mv_counts all_old = { 0 };

	for (uint32_t i = 0; i < FULL_STEP; i++)
		mv_add_counts(&all_old, &evidence->steps[i].old);
	for (uint32_t i = first; i <= last; i++)
		mv_compare_failures(&evidence->steps[i], &all_old, &sums);
	drop_repeated_calls(last, &sums);
	return sums;
}

/* Sums up the slow calls of a latency test in the steps from first to last. */
static struct mv_comparison sum_slow_calls(const struct evidence *evidence,
					   uint32_t test, uint32_t first,
					   uint32_t last)
{
	struct mv_comparison sums = { 0 };

	last = MIN(last, latency_tests[test].last_step);
	for (uint32_t i = first; i <= last; i++)
		mv_compare_latency(&evidence->steps[i], &latency_tests[test],
				   &sums);
	drop_repeated_calls(last, &sums);
	return sums;
}

/* Tests the calls of the steps from first to last together. */
static void evaluate_steps(struct mv_ramp *ramp,
			   const struct evidence *evidence, uint32_t first,
			   uint32_t last)
{
	struct mv_comparison sums = sum_failures(evidence, first, last);

	if (mv_is_significant(&sums, ramp->false_alarm_probability)) {
		set_reason(ramp, evidence, "failed", &sums);
		return;
	}
	for (uint32_t i = 0; i < ramp->latency_test_count; i++) {
		sums = sum_slow_calls(evidence, i, first, last);
		if (!mv_is_significant(&sums,
				       ramp->false_alarm_probability *
					       latency_tests[i].alarm_factor))
			continue;
		set_reason(ramp, evidence, "slow or failed", &sums);
		return;
	}
}

/* Tests all calls, with those of the full share, of a suspected series. */
static void evaluate_full_share(struct mv_ramp *ramp, struct evidence *evidence)
{
	struct mv_step_counts *full = &evidence->steps[FULL_STEP];
	struct mv_comparison failures =
		sum_failures(evidence, 0, FULL_STEP - 1);
	struct mv_comparison latency =
		sum_slow_calls(evidence, 0, 0, FULL_STEP - 1);

	if (!mv_is_unlikely(&failures, SUSPICION_PROBABILITY) &&
	    !mv_is_unlikely(&latency, SUSPICION_PROBABILITY))
		return;
	memset(&full->old, 0, sizeof(full->old));
	for (uint32_t i = 0; i < FULL_STEP; i++)
		mv_add_counts(&full->old, &evidence->steps[i].old);
	evaluate_steps(ramp, evidence, 0, FULL_STEP);
}

static uint32_t get_probe_ms(const struct mv_ramp *ramp)
{
	return (uint32_t)((uint64_t)ramp->limit_ms * PROBE_TIME_PERCENT / 100);
}

/* Returns the usual duration of a step. */
static uint32_t get_duration_ms(const struct mv_ramp *ramp, uint32_t step)
{
	if (step == 0)
		return get_probe_ms(ramp);
	return step == FULL_STEP ? FULL_SHARE_MS : steps[step - 1].duration_ms;
}

/* Returns the usual time from the beginning of a step to the full share. */
static uint32_t get_remaining_ms(const struct mv_ramp *ramp, uint32_t step)
{
	uint32_t remaining_ms = 0;

	for (uint32_t i = step; i < FULL_STEP; i++)
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
	double shortest_ms = ramp->step == 0
				     ? get_remaining_ms(ramp, 1)
				     : get_remaining_ms(ramp, ramp->step);

	return (double)(now_ms - ramp->start_ms) + SHORTEST_STEP * shortest_ms +
		       FULL_SHARE_MS + END_MARGIN_MS <=
	       ramp->limit_ms;
}

static void turn_noise_window(struct mv_ramp *ramp, uint64_t now_ms)
{
	while (now_ms >= ramp->noise_start_ms + NOISE_WINDOW_MS) {
		ramp->noise[1] = ramp->noise[0];
		memset(&ramp->noise[0], 0, sizeof(ramp->noise[0]));
		ramp->noise_start_ms += NOISE_WINDOW_MS;
	}
}

/* Returns whether the old version failed often in the last two windows. */
static bool is_noisy(const struct mv_ramp *ramp)
{
	uint32_t calls = ramp->noise[0].calls + ramp->noise[1].calls;
	uint32_t failed = ramp->noise[0].failed + ramp->noise[1].failed;

	return calls >= NOISY_CALLS_MIN && failed > calls * NOISY_RATE;
}

static void begin_step(struct mv_ramp *ramp, uint32_t step, uint64_t now_ms)
{
	ramp->step = step;
	ramp->step_start_ms = now_ms;
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

static bool is_step_over(const struct mv_ramp *ramp, uint64_t now_ms)
{
	if ((double)(now_ms - ramp->step_start_ms) < get_step_ms(ramp))
		return false;
	if (ramp->step == 0)
		return can_end_in_time(ramp, now_ms);
	return !has_few_calls(ramp) ||
	       (!ramp->was_noisy && !can_wait(ramp, now_ms));
}

/*
 * Advances by one step at most, so that a node that stood still for a while
 * does not pass over a step.
 */
static void advance_step(struct mv_ramp *ramp, uint64_t now_ms)
{
	turn_noise_window(ramp, now_ms);
	if (ramp->step == FULL_STEP)
		return;
	if (is_noisy(ramp)) {
		ramp->was_noisy = true;
		/* The probe goes on; its time is not lost. */
		if (ramp->step > 0)
			begin_step(ramp, ramp->step, now_ms);
	} else if (is_step_over(ramp, now_ms)) {
		begin_step(ramp, ramp->step + 1, now_ms);
	}
}

/* Sums up the calls of all routes and steps. */
static struct mv_step_counts sum_calls(const struct mv_ramp *ramp)
{
	struct mv_step_counts sums = { 0 };

	for (uint32_t i = 0; i <= FULL_STEP; i++) {
		mv_add_counts(&sums.old, &ramp->evidence[0].steps[i].old);
		mv_add_counts(&sums.new, &ramp->evidence[0].steps[i].new);
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
	struct mv_step_counts sums = sum_calls(ramp);
	uint64_t elapsed_ms = now_ms - ramp->start_ms;
	double calls = (double)sums.old.calls + sums.new.calls;
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

	return get_share_for(ramp, now_ms,
			     PROBE_CALLS - sum_calls(ramp).new.calls, left_ms);
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
	ramp->false_alarm_probability = scope == MV_RAMP_OWN_CALLS
						? OWN_FALSE_ALARM_PROBABILITY
						: ALL_FALSE_ALARM_PROBABILITY;
	ramp->latency_test_count =
		scope == MV_RAMP_OWN_CALLS ? 1 : LATENCY_TESTS;
	ramp->start_ms = now_ms;
	ramp->step_start_ms = now_ms;
	ramp->noise_start_ms = now_ms;
	ramp->evidence_count = 1;
	return ramp;
}

static void add_counts(struct mv_step_counts *step, bool is_new,
		       const struct mv_counts *counts)
{
	mv_add_counts(is_new ? &step->new : &step->old, counts);
}

void mv_record_ramp_counts(struct mv_ramp *ramp, const char *version,
			   const char *route, const struct mv_counts *counts,
			   uint64_t now_ms)
{
	bool is_new = strcmp(version, ramp->to) == 0;
	struct evidence *evidence;

	turn_noise_window(ramp, now_ms);
	if (!ramp->is_following)
		advance_step(ramp, now_ms);
	/* Calls of the old version that began before the full share. */
	if (ramp->step == FULL_STEP && !is_new)
		return;
	if (!is_new)
		mv_add_counts(&ramp->noise[0], counts);
	else if (!is_noisy(ramp))
		ramp->quiet_calls += counts->calls;
	evidence = get_evidence(ramp, route);
	add_counts(&ramp->evidence[0].steps[ramp->step], is_new, counts);
	if (evidence)
		add_counts(&evidence->steps[ramp->step], is_new, counts);
}

static void set_progress(struct mv_ramp *ramp,
			 const struct mv_ramp_progress *progress,
			 uint64_t now_ms)
{
	ramp->start_ms = now_ms - MIN(progress->age_ms, now_ms);
	ramp->quiet_calls = MAX(ramp->quiet_calls, progress->new_calls);
	begin_step(ramp, MIN(progress->step, FULL_STEP),
		   now_ms - MIN(progress->step_age_ms, now_ms));
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
	};
}

void mv_get_ramp_calls(const struct mv_ramp *ramp, uint32_t step,
		       struct mv_ramp_calls *calls)
{
	const struct mv_step_counts *counts;

	memset(calls, 0, sizeof(*calls));
	if (step > FULL_STEP)
		return;
	counts = &ramp->evidence[0].steps[step];
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
	set_progress(ramp, progress, now_ms);
}

void mv_resume_ramp(struct mv_ramp *ramp,
		    const struct mv_ramp_progress *progress, uint64_t now_ms)
{
	if (progress->step > ramp->step ||
	    progress->age_ms > now_ms - ramp->start_ms)
		set_progress(ramp, progress, now_ms);
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
	if (ramp->step == FULL_STEP)
		return DOC_SHARE_ALL_PERMILLE;
	if (is_noisy(ramp))
		return is_exposed(ramp) ? 0 : probe_permille;
	if (ramp->step == 0)
		return get_first_permille(ramp, now_ms);
	return MAX(steps[ramp->step - 1].share_permille, 2 * probe_permille);
}

static void evaluate(struct mv_ramp *ramp, struct evidence *evidence)
{
	if (ramp->step == FULL_STEP) {
		evaluate_full_share(ramp, evidence);
		return;
	}
	evaluate_steps(ramp, evidence, ramp->step, ramp->step);
	if (!*ramp->reason && ramp->step > 0)
		evaluate_steps(ramp, evidence, 0, ramp->step);
}

enum mv_ramp_verdict mv_evaluate_ramp(struct mv_ramp *ramp, uint64_t now_ms)
{
	for (uint32_t i = 0; i < ramp->evidence_count && !*ramp->reason; i++)
		evaluate(ramp, &ramp->evidence[i]);
	if (!ramp->is_following)
		advance_step(ramp, now_ms);
	if (!*ramp->reason && ramp->step < FULL_STEP && !ramp->is_following &&
	    now_ms - ramp->start_ms + END_MARGIN_MS >= ramp->limit_ms)
		g_strlcpy(ramp->reason,
			  "out of time: the old version failed too often to "
			  "compare",
			  sizeof(ramp->reason));
	if (*ramp->reason)
		return MV_RAMP_TAKE_BACK;
	if (ramp->step == FULL_STEP &&
	    now_ms - ramp->step_start_ms >= FULL_SHARE_MS)
		return MV_RAMP_FINISH;
	return MV_RAMP_CONTINUE;
}

const char *mv_get_ramp_reason(const struct mv_ramp *ramp)
{
	return ramp->reason;
}
