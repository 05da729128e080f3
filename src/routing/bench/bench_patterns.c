/*
 * Simulates patterns of load and faults with the routing and admission
 * decisions of the nodes, in virtual time, and compares them with choosers that
 * use less information.
 *
 *   bench_patterns [SECONDS [SEED]]
 *
 * The output depends on the arguments only. The exit code is a failure if the
 * chooser of the nodes serves less of a pattern than a baseline does.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include "model.h"

#define WARM_UP_S 20U
/* Two runs that differ only by chance differ by less than this. */
#define TOLERANCE_PERMILLE 5U

struct pattern {
	const char *name;
	const char *text;
	struct model_case setup;
};

struct chooser {
	const char *name;
	enum rt_policy policy;
	bool has_gate;
	bool ignores_transit;
};

/*
 * The chooser of the nodes first. The others lack one or more of its features.
 */
static const struct chooser choosers[] = {
	{ "chooser of the nodes", RT_POLICY_TWO_CHOICES, true, false },
	{ "no transit time", RT_POLICY_TWO_CHOICES, true, true },
	{ "round robin, gate", RT_POLICY_ROUND_ROBIN, true, true },
	{ "round robin, no gate", RT_POLICY_ROUND_ROBIN, false, true },
	{ "random, no gate", RT_POLICY_RANDOM, false, true },
};

static const struct pattern patterns[] = {
	{ "flash crowd",
	  "load 0.6 of the capacity, 1.5 times the capacity in between",
	  { .announces_slots = true,
	    .target_count = 12,
	    .slots = 12,
	    .domain_count = 3,
	    .distance_us = 1500,
	    .load_permille = 600,
	    .crowd_permille = 1500 } },
	{ "one failure domain failed",
	  "load 0.7 of what the others serve; failed targets answer nothing "
	  "and "
	  "leave the tables after 2 s",
	  { .announces_slots = true,
	    .target_count = 12,
	    .slots = 12,
	    .domain_count = 3,
	    .distance_us = 1500,
	    .fault = MODEL_FAULT_DOMAIN,
	    .load_permille = 700 } },
	{ "full links",
	  "load 0.1 of the capacity, a tenth of the calls with 60 kB, links of "
	  "3 MB/s into each vm",
	  { .announces_slots = true,
	    .target_count = 6,
	    .slots = 12,
	    .domain_count = 3,
	    .distance_us = 1500,
	    .load_permille = 100,
	    .large_body_permille = 100,
	    .link_bytes_per_ms = 3000 } },
	{ "slow fraction, full links",
	  "as before, and one target five times slower, one restarted cold",
	  { .target_count = 6,
	    .slots = 12,
	    .domain_count = 3,
	    .distance_us = 1500,
	    .fault = MODEL_FAULT_RESTART,
	    .load_permille = 120,
	    .large_body_permille = 100,
	    .link_bytes_per_ms = 3000 } },
};

static double get_percent(uint64_t part, uint64_t whole)
{
	return whole ? 100.0 * (double)part / (double)whole : 0;
}

static struct model_result run_chooser(const struct pattern *pattern,
				       const struct chooser *chooser,
				       uint32_t measured_s, uint64_t seed)
{
	struct model_case setup = pattern->setup;

	setup.name = pattern->name;
	setup.policy = chooser->policy;
	setup.has_gate = chooser->has_gate;
	setup.ignores_transit = chooser->ignores_transit;
	setup.warm_up_s = WARM_UP_S;
	setup.measured_s = measured_s;
	setup.seed = seed;
	return model_run(&setup);
}

/* Returns whether the chooser of the nodes serves as much as each baseline. */
static bool run_pattern(const struct pattern *pattern, uint32_t measured_s,
			uint64_t seed)
{
	uint64_t own_permille = 0;
	bool is_best = true;

	printf("%s: %s\n", pattern->name, pattern->text);
	printf("%-21s %7s %7s %7s %9s %7s %8s %7s %8s %9s\n", "chooser",
	       "calls", "good%", "late%", "refused%", "lost%", "wasted%",
	       "p50 ms", "p99 ms", "large ms");
	for (size_t i = 0; i < G_N_ELEMENTS(choosers); i++) {
		struct model_result result =
			run_chooser(pattern, &choosers[i], measured_s, seed);
		uint64_t permille = result.good * 1000 / MAX(result.calls, 1U);

		printf("%-21s %7" PRIu64
		       " %7.2f %7.2f %9.2f %7.2f %8.2f %7.1f %8.1f %9.1f\n",
		       choosers[i].name, result.calls,
		       get_percent(result.good, result.calls),
		       get_percent(result.late, result.calls),
		       get_percent(result.refused, result.calls),
		       get_percent(result.lost, result.calls),
		       get_percent(result.wasted, result.calls),
		       result.p50_us / 1000.0, result.p99_us / 1000.0,
		       result.large_body_p50_us / 1000.0);
		if (i == 0)
			own_permille = permille;
		else if (own_permille + TOLERANCE_PERMILLE < permille)
			is_best = false;
	}
	printf("\n");
	return is_best;
}

int main(int argc, char **argv)
{
	uint32_t measured_s = 30;
	uint64_t seed = 1;
	bool is_best = true;

	if (argc > 1)
		measured_s = (uint32_t)strtoul(argv[1], NULL, 10);
	if (argc > 2)
		seed = strtoull(argv[2], NULL, 10);
	if (measured_s == 0 || seed == 0) {
		fprintf(stderr,
			"usage: bench_patterns [SECONDS [SEED]], both "
			"at least 1\n");
		return EXIT_FAILURE;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(patterns); i++)
		is_best &= run_pattern(&patterns[i], measured_s, seed);
	if (!is_best) {
		fprintf(stderr, "a baseline served more calls, see above\n");
		return EXIT_FAILURE;
	}
	return EXIT_SUCCESS;
}
