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
 * Invariants: evidence[0] counts all routes; evidence of steps after the
 * current one is zero; once reason is set, the ramp stays taken back.
 */
#include <math.h>
#include <string.h>
#include "loom/moves.h"

/*
 * A bad version may get at most a tenth of all calls of the ramp. The probe
 * uses a fifth of that tenth and the first two steps less than a third; the
 * rest bounds how long a version that is bad only under load can stay at the
 * last step.
 */
#define PROBE_SHARE_PERMILLE 50U
/* Part of the time used by the probe, long enough to find late faults. */
#define PROBE_TIME_PERCENT 43U
/* Time for which the new version has all calls before the ramp finishes. */
#define FULL_SHARE_MS 1200U
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
#define BAD_CALLS_MIN 4U
/* Rates below these are acceptable, whatever the rate of the old version. */
#define FAILED_RATE_MIN 0.03
#define SLOW_RATE_MIN 0.05
/* Tolerated excess over the old rate: targets differ by chance. */
#define OLD_RATE_FACTOR 1.5
#define OLD_CALLS_MIN 20U
/* Slow: two buckets (a factor of 2.25) above the 90th percentile of old. */
#define SLOW_SHIFT_BUCKETS 2U
#define SLOW_QUANTILE 0.9
#define ROUTES_MAX 32U

/* Steps after the probe; the load of the last is close to that of all calls. */
static const struct {
	uint32_t share_permille;
	uint32_t duration_ms;
} steps[] = { { 150, 1500 }, { 400, 600 }, { 800, 1300 } };
#define FULL_STEP (1U + G_N_ELEMENTS(steps))

/* Calls of one step. */
struct step_counts {
	struct mv_counts old;
	struct mv_counts new;
};

struct evidence {
	char route[MV_NAME_SIZE]; /* "": all routes */
	struct step_counts steps[FULL_STEP + 1];
};

/* The sums that a test compares. */
struct comparison {
	uint32_t new_calls;
	uint32_t new_bad;
	double expected_bad; /* at the rates of the old version */
	uint32_t old_calls;
	uint32_t old_bad;
};

struct mv_ramp {
	char to[MV_NAME_SIZE];
	uint64_t start_ms;
	uint32_t limit_ms;
	double false_alarm_probability;
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

/*
 * Returns the probability that at least bad of calls are bad at that rate: the
 * upper tail of the binomial distribution.
 */
static double get_tail_probability(uint32_t calls, uint32_t bad, double rate)
{
	double sum = 0;

	for (uint32_t k = bad; k <= calls; k++) {
		double term = exp(lgamma(calls + 1.0) - lgamma(k + 1.0) -
				  lgamma(calls - k + 1.0) + k * log(rate) +
				  (calls - k) * log1p(-rate));

		sum += term;
		if (term < sum * 1e-6)
			break;
	}
	return sum;
}

static double get_old_rate(uint32_t calls, uint32_t bad, double least)
{
	if (calls < OLD_CALLS_MIN)
		return least;
	return fmin(0.9, fmax(least, OLD_RATE_FACTOR * bad / calls));
}

static uint32_t sum_from(const uint32_t *buckets, uint32_t first)
{
	uint32_t sum = 0;

	for (uint32_t i = first; i < MV_LATENCY_BUCKETS; i++)
		sum += buckets[i];
	return sum;
}

/*
 * Returns the first bucket whose calls are slow compared with the old version.
 */
static uint32_t get_slow_bucket(const struct mv_counts *old)
{
	uint32_t good = sum_from(old->latency, 0);
	uint32_t bucket = 0;

	while (bucket < MV_LATENCY_BUCKETS &&
	       sum_from(old->latency, bucket) > good * (1 - SLOW_QUANTILE))
		bucket++;
	return bucket + SLOW_SHIFT_BUCKETS;
}

/*
 * Returns whether the bad calls are less likely than a probability. Each call's
 * chance to be bad differs between the steps; the binomial tail at their mean
 * bounds the tail of the sum from above (Hoeffding 1956).
 */
static bool is_unlikely(const struct comparison *sums, double probability)
{
	return sums->new_bad > sums->expected_bad &&
	       get_tail_probability(sums->new_calls, sums->new_bad,
				    sums->expected_bad / sums->new_calls) <
		       probability;
}

static void set_reason(struct mv_ramp *ramp, const struct evidence *evidence,
		       const char *what, const struct comparison *sums)
{
	g_snprintf(ramp->reason, sizeof(ramp->reason),
		   "%s%s: %u of %u calls %s, %u of %u on the old version",
		   *evidence->route ? "route " : "all routes", evidence->route,
		   sums->new_bad, sums->new_calls, what, sums->old_bad,
		   sums->old_calls);
}

static void add_comparison(struct comparison *sums, uint32_t new_calls,
			   uint32_t new_bad, uint32_t old_calls,
			   uint32_t old_bad, double least_rate)
{
	sums->new_calls += new_calls;
	sums->new_bad += new_bad;
	sums->old_calls += old_calls;
	sums->old_bad += old_bad;
	sums->expected_bad +=
		new_calls * get_old_rate(old_calls, old_bad, least_rate);
}

static void compare_failures(const struct step_counts *counts,
			     struct comparison *sums)
{
	add_comparison(sums, counts->new.calls, counts->new.failed,
		       counts->old.calls, counts->old.failed, FAILED_RATE_MIN);
}

static void compare_latency(const struct step_counts *counts,
			    struct comparison *sums)
{
	uint32_t first = get_slow_bucket(&counts->old);

	if (sum_from(counts->old.latency, 0) < OLD_CALLS_MIN ||
	    first >= MV_LATENCY_BUCKETS)
		return;
	/* A failed call may have missed its deadline, so it counts as slow. */
	add_comparison(
		sums, counts->new.calls,
		sum_from(counts->new.latency, first) + counts->new.failed,
		counts->old.calls,
		sum_from(counts->old.latency, first) + counts->old.failed,
		SLOW_RATE_MIN);
}

/* Sums up the calls of the steps from first to last. */
static void compare_steps(const struct evidence *evidence, uint32_t first,
			  uint32_t last, struct comparison *failures,
			  struct comparison *latency)
{
	*failures = (struct comparison){ 0 };
	*latency = (struct comparison){ 0 };
	for (uint32_t i = first; i <= last; i++) {
		compare_failures(&evidence->steps[i], failures);
		compare_latency(&evidence->steps[i], latency);
	}
	/* The old calls that the full share is compared with were counted. */
	if (last == FULL_STEP) {
		failures->old_calls /= 2;
		failures->old_bad /= 2;
		latency->old_calls /= 2;
		latency->old_bad /= 2;
	}
}

static bool is_significant(const struct mv_ramp *ramp,
			   const struct comparison *sums)
{
	return sums->new_bad >= BAD_CALLS_MIN &&
	       is_unlikely(sums, ramp->false_alarm_probability);
}

/* Tests the calls of the steps from first to last together. */
static void evaluate_steps(struct mv_ramp *ramp,
			   const struct evidence *evidence, uint32_t first,
			   uint32_t last)
{
	struct comparison failures;
	struct comparison latency;

	compare_steps(evidence, first, last, &failures, &latency);
	if (is_significant(ramp, &failures))
		set_reason(ramp, evidence, "failed", &failures);
	else if (is_significant(ramp, &latency))
		set_reason(ramp, evidence, "slow or failed", &latency);
}

/* Tests all calls, with those of the full share, of a suspected series. */
static void evaluate_full_share(struct mv_ramp *ramp, struct evidence *evidence)
{
	struct step_counts *full = &evidence->steps[FULL_STEP];
	struct comparison failures;
	struct comparison latency;

	compare_steps(evidence, 0, FULL_STEP - 1, &failures, &latency);
	if (!is_unlikely(&failures, SUSPICION_PROBABILITY) &&
	    !is_unlikely(&latency, SUSPICION_PROBABILITY))
		return;
	memset(&full->old, 0, sizeof(full->old));
	for (uint32_t i = 0; i < FULL_STEP; i++)
		mv_add_counts(&full->old, &evidence->steps[i].old);
	evaluate_steps(ramp, evidence, 0, FULL_STEP);
}

static uint64_t get_probe_ms(const struct mv_ramp *ramp)
{
	return (uint64_t)ramp->limit_ms * PROBE_TIME_PERCENT / 100;
}

static uint64_t get_full_share_after_ms(const struct mv_ramp *ramp)
{
	uint64_t full_ms = get_probe_ms(ramp);

	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++)
		full_ms += steps[i].duration_ms;
	return full_ms;
}

/* Returns the current step; FULL_STEP when the new version has all calls. */
static uint32_t get_step(const struct mv_ramp *ramp, uint64_t now_ms)
{
	uint64_t elapsed_ms = now_ms - ramp->start_ms;
	uint64_t end_ms = get_probe_ms(ramp);
	uint32_t step = 0;

	while (elapsed_ms >= end_ms && step < FULL_STEP) {
		if (step < G_N_ELEMENTS(steps))
			end_ms += steps[step].duration_ms;
		step++;
	}
	return step;
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
	ramp->start_ms = now_ms;
	ramp->evidence_count = 1;
	return ramp;
}

static void add_counts(struct step_counts *step, bool is_new,
		       const struct mv_counts *counts)
{
	mv_add_counts(is_new ? &step->new : &step->old, counts);
}

void mv_record_ramp_counts(struct mv_ramp *ramp, const char *version,
			   const char *route, const struct mv_counts *counts,
			   uint64_t now_ms)
{
	bool is_new = strcmp(version, ramp->to) == 0;
	uint32_t step = get_step(ramp, now_ms);
	struct evidence *evidence;

	/* Calls of the old version that began before the full share. */
	if (step == FULL_STEP && !is_new)
		return;
	evidence = get_evidence(ramp, route);
	add_counts(&ramp->evidence[0].steps[step], is_new, counts);
	if (evidence)
		add_counts(&evidence->steps[step], is_new, counts);
}

uint32_t mv_get_ramp_share(const struct mv_ramp *ramp, uint64_t now_ms)
{
	uint32_t step = get_step(ramp, now_ms);

	if (*ramp->reason)
		return 0;
	if (step == 0)
		return PROBE_SHARE_PERMILLE;
	return step == FULL_STEP ? DOC_SHARE_ALL_PERMILLE
				 : steps[step - 1].share_permille;
}

static void evaluate(struct mv_ramp *ramp, struct evidence *evidence,
		     uint32_t step)
{
	if (step == FULL_STEP) {
		evaluate_full_share(ramp, evidence);
		return;
	}
	evaluate_steps(ramp, evidence, step, step);
	if (!*ramp->reason && step > 0)
		evaluate_steps(ramp, evidence, 0, step);
}

enum mv_ramp_verdict mv_evaluate_ramp(struct mv_ramp *ramp, uint64_t now_ms)
{
	uint32_t step = get_step(ramp, now_ms);

	for (uint32_t i = 0; i < ramp->evidence_count && !*ramp->reason; i++)
		evaluate(ramp, &ramp->evidence[i], step);
	if (*ramp->reason)
		return MV_RAMP_TAKE_BACK;
	if (now_ms - ramp->start_ms >=
	    get_full_share_after_ms(ramp) + FULL_SHARE_MS)
		return MV_RAMP_FINISH;
	return MV_RAMP_CONTINUE;
}

json_t *mv_format_counts(const struct mv_counts *counts)
{
	json_t *array = json_array();

	json_array_append_new(array, json_integer(counts->calls));
	json_array_append_new(array, json_integer(counts->failed));
	for (uint32_t i = 0; i < MV_LATENCY_BUCKETS; i++)
		json_array_append_new(array, json_integer(counts->latency[i]));
	return array;
}

bool mv_parse_counts(const json_t *value, struct mv_counts *counts)
{
	memset(counts, 0, sizeof(*counts));
	if (json_array_size(value) != 2 + MV_LATENCY_BUCKETS)
		return false;
	for (size_t i = 0; i < json_array_size(value); i++) {
		const json_t *item = json_array_get(value, i);
		json_int_t number = json_integer_value(item);

		if (!json_is_integer(item) || number < 0 || number > UINT32_MAX)
			return false;
		if (i == 0)
			counts->calls = (uint32_t)number;
		else if (i == 1)
			counts->failed = (uint32_t)number;
		else
			counts->latency[i - 2] = (uint32_t)number;
	}
	return counts->failed <= counts->calls;
}

const char *mv_get_ramp_reason(const struct mv_ramp *ramp)
{
	return ramp->reason;
}
