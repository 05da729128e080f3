/*
 * Generator of the calls of a service during a move.
 *
 * Badness counts as shown when an observer who knows the true shares of both
 * versions, and sees each call as it ends, has evidence of 1 in 1000: the sum
 * of the logarithms of its likelihood ratios, held at zero from below.
 */
#include "release.h"

#include <math.h>
#include <string.h>

#define NOISE_SIZE 4096U
#define BASE_US 20000.0
#define P_GOOD 0.003 /* share of calls that fail on a good version */
#define OUTAGE_FAILS 0.4
#define OUTAGE_S 15
#define SOAK_ONSET_S 8
#define OUTAGE_PERIOD_S 50
#define COLD_S 20 /* after a target starts */
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

/* Standard normal deviates, drawn once. */
static double normal[NOISE_SIZE];

/* Latency bucket by whether the fault touches the call, and deviate. */
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
	int32_t again = (int32_t)(70 + 10 * target); /* with no announcement */

	if (release->kind->fault != REL_FAULT_COLD || second < 0)
		return false;
	return second < COLD_S || (second >= again && second < again + COLD_S);
}

static bool is_outage(const struct rel_release *release, int32_t second)
{
	int32_t since = second - (int32_t)release->onset_s;

	return release->kind->fault == REL_FAULT_OUTAGE && since >= 0 &&
	       since % OUTAGE_PERIOD_S < OUTAGE_S;
}

/* Returns whether the fault touches calls like this one of the new version. */
static bool is_touched(const struct rel_release *release, uint32_t route,
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

static void note_shown(struct rel_release *release, double nats, double when_s)
{
	release->oracle_nats = fmax(0, release->oracle_nats + nats);
	if (release->is_shown || release->oracle_nats < SHOWN_NATS)
		return;
	release->is_shown = true;
	release->shown_s = when_s;
}

/* Evidence of one touched call to the observer who knows the shares. */
static double get_oracle_nats(const struct rel_kind *kind, bool is_failed,
			      double deviate)
{
	double distance = log(kind->size) / kind->noise;

	if (is_slow_fault(kind))
		return distance * deviate + distance * distance / 2;
	return is_failed ? log(kind->size / P_GOOD)
			 : log((1 - kind->size) / (1 - P_GOOD));
}

/* Fills the buckets of the latencies; kept while the kind is the same. */
static void fill_buckets(const struct rel_kind *kind)
{
	static const struct rel_kind *filled;
	double factor = is_slow_fault(kind) ? kind->size : 1;

	if (filled == kind)
		return;
	filled = kind;
	for (uint32_t i = 0; i < NOISE_SIZE; i++) {
		double latency_us = BASE_US * exp(kind->noise * normal[i]);

		buckets[0][i] = (uint8_t)mv_get_bucket((uint32_t)latency_us);
		buckets[1][i] =
			(uint8_t)mv_get_bucket((uint32_t)(latency_us * factor));
	}
}

static uint32_t pick_route(uint32_t permille)
{
	uint32_t route = 0;

	while (permille >= route_upper_permille[route])
		route++;
	return route;
}

static double get_p_fails(const struct rel_release *release, bool is_hit,
			  int32_t second)
{
	if (is_hit && !is_slow_fault(release->kind))
		return release->kind->size;
	return is_outage(release, second) ? OUTAGE_FAILS : P_GOOD;
}

static void note_exposure(struct rel_release *release, bool is_new,
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
	bool is_hit = is_new && is_touched(release, route, target, second);
	bool is_failed = chance < get_p_fails(release, is_hit, second);
	struct mv_counts *counts = &release->cells[is_new][route][target];

	/* The failures of a cold target come with its phase. */
	if (is_new && is_cold(release, target, second) &&
	    chance > 1 - COLD_FAILS) {
		counts->cold++;
	} else {
		counts->calls++;
		counts->failed += is_failed;
		if (!is_failed)
			counts->latency[buckets[is_hit][noise]]++;
	}
	if (second < 0 || release->is_shown)
		return;
	note_exposure(release, is_new, second);
	if (is_hit && release->kind->is_bad)
		note_shown(release,
			   get_oracle_nats(release->kind, is_failed,
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
	/* Few calls: about half of the seconds have one more or less. */
	calls += (uint32_t)g_rand_int_range(release->random, 0,
					    2 * (gint32)spread + 1);
	calls -= spread;
	for (uint32_t i = 0; i < calls; i++)
		run_call(release, second, second + (i + 1.0) / calls);
}

void rel_note_cells(const struct rel_release *release, struct mv_window *window,
		    uint64_t slot)
{
	for (uint32_t version = 0; version < 2; version++)
		for (uint32_t route = 0; route < REL_ROUTES; route++)
			for (uint32_t i = 0; i < REL_TARGETS; i++) {
				const struct mv_counts *counts =
					&release->cells[version][route][i];
				struct mv_key key = { versions[version],
						      route_names[route],
						      addresses[version][i] };

				if (counts->calls || counts->cold)
					mv_note_counts(window, slot, &key,
						       counts);
			}
}

uint32_t rel_get_bearable(const struct rel_release *release, int32_t second)
{
	uint32_t bearable = 0;

	for (uint32_t i = 0; i < REL_TARGETS; i++)
		bearable += is_cold(release, i, second) ? 30 : 300;
	return bearable < 1000 ? bearable : 1000;
}
