/*
 * Simulates the calls of a service during a move.
 *
 * A fault counts as shown once an ideal observer, who knows the true shares of
 * bad calls of both versions and sees each call as it ends, has evidence of
 * 1000 to 1: the sum of the log-likelihood ratios, clamped at zero from below,
 * reaches log(1000).
 */
#include "release.h"

#include <math.h>
#include <string.h>

#define NOISE_SIZE 4096U
#define BASE_US 20000.0
#define P_GOOD 0.003 /* probability that a call fails on a good version */
#define OUTAGE_FAILS 0.4
#define OUTAGE_S 15
#define SOAK_ONSET_S 8
#define OUTAGE_PERIOD_S 50
#define COLD_S 20 /* warm-up time of a target */
#define COLD_FAILS 0.3
#define SHOWN_NATS 6.9 /* log(1000) */

static const char *const route_names[REL_ROUTES] = { "catalogue", "stock",
						     "deposit" };
static const uint32_t route_upper_permille[REL_ROUTES] = { 700, 940, 1000 };
static const char *const addresses[2][REL_TARGETS] = {
	{ "127.0.1.1:80", "127.0.1.2:80", "127.0.1.3:80", "127.0.1.4:80" },
	{ "127.0.2.1:80", "127.0.2.2:80", "127.0.2.3:80", "127.0.2.4:80" },
};
static const char *const versions[2] = { "v1", "v2" };

/* Standard normal deviates, drawn once and shared by all runs. */
static double normal[NOISE_SIZE];

/* Latency bucket, indexed by whether the fault affects the call and deviate. */
static uint8_t buckets[2][NOISE_SIZE];

static void fill_normal(void)
{
	GRand *random;

	if (normal[0] != 0)
		return;
	random = g_rand_new_with_seed(1);
	for (uint32_t i = 0; i < NOISE_SIZE; i++)
		normal[i] = sqrt(-2 * log(1 - g_rand_double(random))) *
			    cos(2 * G_PI * g_rand_double(random));
	g_rand_free(random);
}

static bool is_fault_on(const struct rel_release *release, int32_t second)
{
	const struct rel_kind *kind = release->kind;

	if (kind->fault == REL_FAULT_FAILS_IN_SOAK && release->onset_s == 0)
		return false;
	return second >= (int32_t)release->onset_s &&
	       (kind->fault != REL_FAULT_FAILS_UNDER_LOAD ||
		release->share_permille >= kind->load_permille);
}

static bool is_cold(const struct rel_release *release, uint32_t target,
		    int32_t second)
{
	/* The target restarts without announcement. */
	int32_t restart_s = (int32_t)(70 + 10 * target);

	if (release->kind->fault != REL_FAULT_COLD || second < 0)
		return false;
	return second < COLD_S ||
	       (second >= restart_s && second < restart_s + COLD_S);
}

static bool is_outage(const struct rel_release *release, int32_t second)
{
	int32_t since = second - (int32_t)release->onset_s;

	return release->kind->fault == REL_FAULT_OUTAGE && since >= 0 &&
	       since % OUTAGE_PERIOD_S < OUTAGE_S;
}

/* Returns whether the fault affects such a call of the new version. */
static bool is_affected(const struct rel_release *release, uint32_t route,
			uint32_t target, int32_t second)
{
	const struct rel_kind *kind = release->kind;

	if (!is_fault_on(release, second))
		return false;
	switch (kind->fault) {
	case REL_FAULT_FAILS:
	case REL_FAULT_SLOW:
	case REL_FAULT_FAILS_UNDER_LOAD:
	case REL_FAULT_FAILS_IN_SOAK:
		return true;
	case REL_FAULT_FAILS_ON_ROUTE:
		return route == REL_ROUTES - 1;
	case REL_FAULT_BAD_TARGET:
	case REL_FAULT_SLOW_TARGET:
		return target == 0;
	case REL_FAULT_NONE:
	case REL_FAULT_COLD:
	case REL_FAULT_OUTAGE:
		return false;
	}
	return false;
}

static bool is_slow_fault(const struct rel_kind *kind)
{
	return kind->fault == REL_FAULT_SLOW ||
	       kind->fault == REL_FAULT_SLOW_TARGET;
}

static void update_shown(struct rel_release *release, double nats,
			 double when_s)
{
	release->observer_nats = fmax(0, release->observer_nats + nats);
	if (release->is_shown || release->observer_nats < SHOWN_NATS)
		return;
	release->is_shown = true;
	release->shown_s = when_s;
}

/* Returns the log-likelihood ratio of one affected call. */
static double get_observer_nats(const struct rel_kind *kind, bool is_failed,
				double deviate)
{
	double distance = log(kind->size) / kind->noise;

	if (is_slow_fault(kind))
		return distance * deviate + distance * distance / 2;
	return is_failed ? log(kind->size / P_GOOD)
			 : log((1 - kind->size) / (1 - P_GOOD));
}

/* Fills buckets for a kind, unless they were last filled for that kind. */
static void fill_buckets(const struct rel_kind *kind)
{
	static const struct rel_kind *filled;
	double factor = is_slow_fault(kind) ? kind->size : 1;

	if (filled == kind)
		return;
	filled = kind;
	for (uint32_t i = 0; i < NOISE_SIZE; i++) {
		double latency_us = BASE_US * exp(kind->noise * normal[i]);

		buckets[0][i] =
			(uint8_t)mv_get_latency_bucket((uint32_t)latency_us);
		buckets[1][i] = (uint8_t)mv_get_latency_bucket(
			(uint32_t)(latency_us * factor));
	}
}

static uint32_t pick_route(uint32_t permille)
{
	uint32_t route = 0;

	while (permille >= route_upper_permille[route])
		route++;
	return route;
}

static double get_failure_probability(const struct rel_release *release,
				      bool has_fault, int32_t second)
{
	if (has_fault && !is_slow_fault(release->kind))
		return release->kind->size;
	return is_outage(release, second) ? OUTAGE_FAILS : P_GOOD;
}

static void count_exposure(struct rel_release *release, bool is_new,
			   int32_t second)
{
	release->calls++;
	if (!release->kind->is_bad || !is_fault_on(release, second))
		return;
	if (!release->has_onset)
		release->calls_at_onset = release->calls - 1;
	release->has_onset = true;
	release->exposed_calls += is_new;
}

static void run_call(struct rel_release *release, int32_t second, double when_s)
{
	uint32_t bits = g_rand_int(release->random);
	uint32_t more_bits = g_rand_int(release->random);
	uint32_t noise = bits % NOISE_SIZE;
	uint32_t target = (bits >> 12) % REL_TARGETS;
	uint32_t route = pick_route((bits >> 14) % 1000);
	bool is_new = more_bits % 1000 < release->share_permille;
	uint32_t rest_bits = more_bits / 1000;
	double chance = rest_bits / 4294968.0;
	bool has_fault = is_new && is_affected(release, route, target, second);
	bool is_failed =
		chance < get_failure_probability(release, has_fault, second);
	struct mv_counts *counts = &release->cells[is_new][route][target];

	/* Failures of a cold target carry its phase and count as cold. */
	if (is_new && is_cold(release, target, second) &&
	    chance > 1 - COLD_FAILS) {
		counts->cold++;
	} else {
		counts->calls++;
		counts->failed += is_failed;
		if (!is_failed)
			counts->latency[buckets[has_fault][noise]]++;
	}
	if (second < 0 || release->is_shown)
		return;
	count_exposure(release, is_new, second);
	if (has_fault && release->kind->is_bad)
		update_shown(release,
			     get_observer_nats(release->kind, is_failed,
					       normal[noise]),
			     when_s);
}

void rel_begin(struct rel_release *release, const struct rel_kind *kind,
	       uint32_t seed)
{
	fill_normal();
	memset(release, 0, sizeof(*release));
	release->kind = kind;
	release->random = g_rand_new_with_seed(seed);
	release->onset_s = (uint32_t)g_rand_int_range(
		release->random, (gint32)kind->onset_first_s,
		(gint32)kind->onset_last_s + 1);
	fill_buckets(kind);
}

void rel_end(struct rel_release *release)
{
	g_rand_free(release->random);
}

void rel_run_second(struct rel_release *release, int32_t second)
{
	uint32_t spread = release->kind->calls_per_s / 2;
	uint32_t calls = release->kind->calls_per_s;

	memset(release->cells, 0, sizeof(release->cells));
	if (release->kind->fault == REL_FAULT_FAILS_IN_SOAK &&
	    release->onset_s == 0 && release->share_permille == 1000)
		release->onset_s = (uint32_t)second + SOAK_ONSET_S;
	/* The number of calls varies by up to half, at random. */
	calls += (uint32_t)g_rand_int_range(release->random, 0,
					    2 * (gint32)spread + 1);
	calls -= spread;
	for (uint32_t i = 0; i < calls; i++)
		run_call(release, second, second + (i + 1.0) / calls);
}

void rel_record_cells(const struct rel_release *release,
		      struct mv_window *window, uint64_t slot)
{
	for (uint32_t version = 0; version < 2; version++)
		for (uint32_t route = 0; route < REL_ROUTES; route++)
			for (uint32_t i = 0; i < REL_TARGETS; i++) {
				const struct mv_counts *counts =
					&release->cells[version][route][i];
				struct mv_series_key key = {
					versions[version], route_names[route],
					addresses[version][i]
				};

				if (counts->calls || counts->cold)
					mv_record_counts(window, slot, &key,
							 counts);
			}
}

uint32_t rel_get_capacity(const struct rel_release *release, int32_t second)
{
	uint32_t capacity = 0;

	for (uint32_t i = 0; i < REL_TARGETS; i++)
		capacity += is_cold(release, i, second) ? 30 : 300;
	return capacity < 1000 ? capacity : 1000;
}
