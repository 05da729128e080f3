/*
 * Simulates overload of one or all failure domains, with calls placed by their
 * expected end, in virtual time. Prints who leaves, how many, and what becomes
 * of them.
 *
 *   bench_domains [SECONDS [SEED]]
 *
 * The output depends on the arguments only.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "model.h"

#define WARM_UP_S 5U
#define REPORT_MS 100U
/* Costs of leaving the failure domain: 20 ms for each kB, 1.6 and 90 kB. */
#define SMALL_US 32000U
#define LARGE_US 1800000U
#define NEVER_US 100000000U /* no gain is worth it */

struct pattern {
	const char *name;
	const char *text;
	struct model_case setup;
};

static const struct pattern patterns[] = {
	{ "beside room",
	  "first domain 1.33 of its capacity, the others 0.5",
	  { .first_domain_permille = 1333,
	    .load_permille = 500,
	    .crossing_us = SMALL_US,
	    .report_ms = REPORT_MS } },
	{ "beside room, nobody leaves",
	  "the same",
	  { .first_domain_permille = 1333,
	    .load_permille = 500,
	    .crossing_us = NEVER_US,
	    .report_ms = REPORT_MS } },
	{ "beside little room",
	  "first domain 2.0, the others 0.9: room for a fifth of the excess",
	  { .first_domain_permille = 2000,
	    .load_permille = 900,
	    .crossing_us = SMALL_US,
	    .report_ms = REPORT_MS } },
	{ "all full",
	  "all domains 1.33",
	  { .load_permille = 1333,
	    .crossing_us = SMALL_US,
	    .report_ms = REPORT_MS } },
	{ "all full, nobody leaves",
	  "the same",
	  { .load_permille = 1333,
	    .crossing_us = NEVER_US,
	    .report_ms = REPORT_MS } },
	{ "overload everywhere",
	  "all domains 3.0",
	  { .load_permille = 3000,
	    .crossing_us = SMALL_US,
	    .report_ms = REPORT_MS } },
	{ "large answers",
	  "first domain 1.33, the others 0.5, answers of 90 kB",
	  { .first_domain_permille = 1333,
	    .load_permille = 500,
	    .crossing_us = LARGE_US,
	    .report_ms = REPORT_MS } },
	{ "crowd",
	  "all domains 0.6, 1.5 in the middle third",
	  { .load_permille = 600,
	    .crowd_permille = 1500,
	    .crossing_us = SMALL_US,
	    .report_ms = REPORT_MS } },
	{ "uneven targets",
	  "first domain 1.33, the others 0.5, targets 0.6 to 1.6 times as slow",
	  { .first_domain_permille = 1333,
	    .load_permille = 500,
	    .spread_permille = 1600,
	    .crossing_us = SMALL_US,
	    .report_ms = REPORT_MS } },
	{ "domain failed",
	  "first domain 1.33; the second fails, its callers turn to the third: "
	  "1.0",
	  { .first_domain_permille = 2000,
	    .load_permille = 750,
	    .fault = MODEL_FAULT_DOMAIN,
	    .crossing_us = SMALL_US,
	    .report_ms = REPORT_MS } },
	{ "no reports",
	  "first domain 1.33, the others 0.5, loads on answers",
	  { .first_domain_permille = 1333,
	    .load_permille = 500,
	    .report_ms = 0,
	    .crossing_us = SMALL_US } },
	{ "reports stop",
	  "first domain 1.33, the others 0.5, the first gets no report from 8 "
	  "s on",
	  { .first_domain_permille = 1333,
	    .load_permille = 500,
	    .reports_stop_s = 8,
	    .crossing_us = SMALL_US,
	    .report_ms = REPORT_MS } },
};

/* 24 entry nodes and targets in three domains, as service S of deployment A. */
static void set_common(struct model_case *setup)
{
	setup->policy = RT_POLICY_TWO_CHOICES;
	setup->has_gate = true;
	setup->announces_slots = true;
	setup->is_placed = true;
	setup->is_known_only = setup->report_ms > 0;
	setup->target_count = 24;
	setup->domain_count = 3;
	setup->slots = 9;
	setup->distance_us = 900;
	setup->service_us = 180000;
	setup->timeout_us = 1200000;
	setup->objective_us = 600000;
	setup->warm_up_s = WARM_UP_S;
}

static double get_percent(uint64_t part, uint64_t whole)
{
	return whole ? 100.0 * (double)part / (double)whole : 0;
}

static void print_away(const struct model_result *result, uint32_t seconds)
{
	printf("  attempts that left, by second:");
	for (uint32_t i = 0; i < MIN(seconds, MODEL_SECONDS_MAX); i++)
		printf(" %" PRIu32, result->away_per_s[i]);
	printf("\n");
}

static void run_pattern(const struct pattern *pattern, uint32_t measured_s,
			uint64_t seed)
{
	struct model_case setup = pattern->setup;
	struct model_result result;

	set_common(&setup);
	setup.name = pattern->name;
	setup.measured_s = measured_s;
	setup.seed = seed;
	result = model_run(&setup);
	printf("%s: %s\n", pattern->name, pattern->text);
	printf("  %" PRIu64
	       " calls: %.1f %% in objective, %.1f %% of those of "
	       "the first domain; refused %.1f %%, by the entry %.1f %%, lost "
	       "%.1f %%\n",
	       result.calls, get_percent(result.in_objective, result.calls),
	       get_percent(result.first_domain_in_objective,
			   result.first_domain_calls),
	       get_percent(result.refused, result.calls),
	       get_percent(result.early, result.calls),
	       get_percent(result.lost, result.calls));
	printf("  %.2f attempts a call; %.1f %% left, %.1f %% of those "
	       "refused; answered p50 %.0f ms, p99 %.0f ms\n",
	       result.calls ? (double)result.attempts / (double)result.calls
			    : 0,
	       get_percent(result.away, result.attempts),
	       get_percent(result.away_refused, result.away),
	       result.p50_us / 1000.0, result.p99_us / 1000.0);
	print_away(&result, measured_s);
}

int main(int argc, char **argv)
{
	uint32_t measured_s = 12;
	uint64_t seed = 1;

	if (argc > 1)
		measured_s = (uint32_t)strtoul(argv[1], NULL, 10);
	if (argc > 2)
		seed = strtoull(argv[2], NULL, 10);
	if (measured_s == 0 || seed == 0) {
		fprintf(stderr,
			"usage: bench_domains [SECONDS [SEED]], both "
			"at least 1\n");
		return EXIT_FAILURE;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(patterns); i++)
		run_pattern(&patterns[i], measured_s, seed);
	return EXIT_SUCCESS;
}
