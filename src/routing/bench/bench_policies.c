/*
 * Compares the policies of target choice in a simulation, with and without the
 * admission gate, and measures the behaviour under overload.
 *
 *   bench_policies [SECONDS [SEED [SIZE]]]
 *
 * SIZE restricts the run to the sizes whose name contains that text. The output
 * depends on the arguments only. The exit code is a failure if a restarted
 * target was overloaded behind its gate, or if the goodput under overload was
 * below nine tenths of the capacity.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "model.h"

#define FAULTS_LOAD_PERMILLE 600U
#define OVERLOAD_PERMILLE 2000U
#define WARM_UP_S 20U
#define GOODPUT_MIN_PERMILLE 900U

/* Options of the command line, and whether all bounds were met. */
struct bench {
	uint32_t measured_s;
	uint64_t seed;
	const char *size; /* NULL: every size */
	bool is_within_bounds;
};

static const struct model_case sizes[] = {
	{ .name = "kigali catalogue",
	  .target_count = 8,
	  .slots = 12,
	  .domain_count = 3,
	  .distance_us = 1500 },
	{ .name = "kigali plans",
	  .target_count = 3,
	  .slots = 12,
	  .domain_count = 3,
	  .distance_us = 1500 },
	{ .name = "bogota orders",
	  .target_count = 10,
	  .slots = 9,
	  .domain_count = 4,
	  .distance_us = 500 },
	{ .name = "bogota prescriptions",
	  .target_count = 4,
	  .slots = 9,
	  .domain_count = 4,
	  .distance_us = 500 },
};

static const char *const policy_names[] = { "two choices", "round robin",
					    "random" };

static double get_percent(uint64_t part, uint64_t whole)
{
	return whole ? 100.0 * (double)part / (double)whole : 0;
}

static void print_case(struct bench *bench, const struct model_case *setup)
{
	struct model_result result = model_run(setup);

	printf("%-21s %-11s %-4s %7" PRIu64
	       " %8.2f %8.2f %7.1f %7.1f "
	       "%7" PRIu64 " %9" PRIu64 "\n",
	       setup->name, policy_names[setup->policy],
	       setup->has_gate ? "gate" : "none", result.calls,
	       get_percent(result.refused, result.calls),
	       get_percent(result.late, result.calls), result.p50_us / 1000.0,
	       result.p99_us / 1000.0, result.cold_calls,
	       result.cold_overloads);
	if (setup->has_gate && setup->fault == MODEL_FAULT_RESTART &&
	    result.cold_overloads > 0)
		bench->is_within_bounds = false;
}

static bool is_wanted(const struct bench *bench, const struct model_case *size)
{
	return !bench->size || strstr(size->name, bench->size);
}

static void print_faults(struct bench *bench, enum model_fault fault)
{
	printf("One target slow, one %s, load %u permille of the others' "
	       "capacity\n",
	       fault == MODEL_FAULT_RESTART ? "restarted"
					    : "cold again unannounced",
	       FAULTS_LOAD_PERMILLE);
	printf("%-21s %-11s %-4s %7s %8s %8s %7s %7s %7s %9s\n", "size",
	       "policy", "gate", "calls", "refused%", "late%", "p50 ms",
	       "p99 ms", "cold", "overloads");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		for (int policy = 0; policy < 3 && is_wanted(bench, &sizes[i]);
		     policy++) {
			struct model_case setup = sizes[i];

			setup.policy = (enum rt_policy)policy;
			setup.fault = fault;
			setup.warm_up_s = WARM_UP_S;
			setup.load_permille = FAULTS_LOAD_PERMILLE;
			setup.measured_s = bench->measured_s;
			setup.seed = bench->seed;
			print_case(bench, &setup);
			setup.has_gate = true;
			print_case(bench, &setup);
		}
	}
	printf("\n");
}

static void print_overload(struct bench *bench)
{
	printf("Healthy targets, load %u permille of their capacity, "
	       "two choices, gate\n",
	       OVERLOAD_PERMILLE);
	printf("%-21s %7s %9s %8s %8s %7s %10s %7s\n", "size", "calls",
	       "goodput%", "refused%", "late%", "p99 ms", "refusal ms",
	       "waiting");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct model_case setup = sizes[i];
		struct model_result result;

		if (!is_wanted(bench, &setup))
			continue;
		setup.has_gate = true;
		setup.load_permille = OVERLOAD_PERMILLE;
		setup.warm_up_s = WARM_UP_S;
		setup.measured_s = bench->measured_s;
		setup.seed = bench->seed;
		result = model_run(&setup);
		printf("%-21s %7" PRIu64
		       " %9.1f %8.2f %8.2f %7.1f %10.1f "
		       "%7u\n",
		       setup.name, result.calls,
		       (double)result.capacity_permille / 10,
		       get_percent(result.refused, result.calls),
		       get_percent(result.late, result.calls),
		       result.p99_us / 1000.0, result.refusal_p99_us / 1000.0,
		       result.waiting_max);
		if (result.capacity_permille < GOODPUT_MIN_PERMILLE)
			bench->is_within_bounds = false;
	}
}

/*
 * Prints the case of a target that fails a share of its calls, with and without
 * reports of that share.
 */
static void print_grey(struct bench *bench)
{
	printf("\nOne target sheds 450 permille of its calls at once, load %u "
	       "permille of the capacity, gates with announced slots\n",
	       FAULTS_LOAD_PERMILLE);
	printf("%-21s %-11s %-6s %7s %8s %8s %7s %7s %7s\n", "size", "policy",
	       "report", "calls", "refused%", "late%", "p99 ms", "grey",
	       "shed");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		for (int row = 0; row < 3 && is_wanted(bench, &sizes[i]);
		     row++) {
			struct model_case setup = sizes[i];
			struct model_result result;

			setup.policy = row < 2 ? RT_POLICY_TWO_CHOICES
					       : RT_POLICY_ROUND_ROBIN;
			setup.has_gate = true;
			setup.fault = MODEL_FAULT_GREY;
			setup.hides_failures = row > 0;
			setup.warm_up_s = WARM_UP_S;
			setup.load_permille = FAULTS_LOAD_PERMILLE;
			setup.measured_s = bench->measured_s;
			setup.seed = bench->seed;
			result = model_run(&setup);
			printf("%-21s %-11s %-6s %7" PRIu64
			       " %8.2f %8.2f %7.1f %7" PRIu64 " %7" PRIu64 "\n",
			       setup.name, policy_names[setup.policy],
			       row == 0 ? "yes" : "no", result.calls,
			       get_percent(result.refused, result.calls),
			       get_percent(result.late, result.calls),
			       result.p99_us / 1000.0, result.grey_calls,
			       result.shed_calls);
		}
	}
}

int main(int argc, char **argv)
{
	struct bench bench = {
		.measured_s = 30,
		.seed = 1,
		.is_within_bounds = true,
	};

	if (argc > 1)
		bench.measured_s = (uint32_t)strtoul(argv[1], NULL, 10);
	if (argc > 2)
		bench.seed = strtoull(argv[2], NULL, 10);
	if (argc > 3)
		bench.size = argv[3];
	if (bench.measured_s == 0 || bench.seed == 0) {
		fprintf(stderr,
			"usage: bench_policies [SECONDS [SEED "
			"[SIZE]]], both numbers at least 1\n");
		return EXIT_FAILURE;
	}
	print_faults(&bench, MODEL_FAULT_RESTART);
	print_faults(&bench, MODEL_FAULT_COLD_AGAIN);
	print_overload(&bench);
	print_grey(&bench);
	if (!bench.is_within_bounds) {
		fprintf(stderr, "a bound was not met, see above\n");
		return EXIT_FAILURE;
	}
	return EXIT_SUCCESS;
}
