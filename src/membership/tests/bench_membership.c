/*
 * Benchmark of simulated meshes.
 *
 * For meshes of increasing size, prints the bytes and messages that a node
 * sends per second, and the times until an announcement and a death are known
 * to all nodes. Then prints the time until all tables are equal again after one
 * node joins, after half of the nodes restart at once, and after a fifth of the
 * nodes was partitioned for a minute.
 *
 *   bench_membership [LARGEST_SIZE [SMALLEST_SIZE]]
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include "mesh.h"

#define SETTLE_MS 60000U
#define MEASURE_MS 20000U
#define LIMIT_MS 60000U

static uint64_t sum_counts(const struct mesh *mesh, bool is_bytes)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < mesh->count; i++)
		sum += is_bytes ? mesh->nodes[i].bytes_out
				: mesh->nodes[i].messages_out;
	return sum;
}

static double get_cpu_us(void)
{
	return (double)clock() * 1e6 / CLOCKS_PER_SEC;
}

static bool is_leaving_known(struct mesh *mesh, const void *data)
{
	for (uint32_t i = 0; i < mesh->count; i++) {
		const struct mem_member *member = mesh_find_member(mesh, i, 1);

		if (!member || member->self.phase != RT_PHASE_LEAVING)
			return false;
	}
	return true;
}

static bool is_death_known(struct mesh *mesh, const void *data)
{
	for (uint32_t i = 0; i < mesh->count; i++) {
		const struct mem_member *member;

		if (!mesh->nodes[i].machine)
			continue;
		member = mesh_find_member(mesh, i, 2);
		if (member && member->state != MEM_STATE_DEAD)
			return false;
	}
	return true;
}

/*
 * Prints the convergence times after one start, many restarts and a partition.
 */
static void print_recovery(uint32_t count)
{
	struct mesh *mesh = mesh_new(NULL, count, count);
	uint32_t one_ms;
	uint32_t half_ms;
	uint32_t heal_ms;

	mesh_run_until(mesh, mesh_is_converged, NULL, 4 * LIMIT_MS);
	mesh_run(mesh, SETTLE_MS);
	mesh_stop(mesh, count - 1);
	mesh_run(mesh, SETTLE_MS / 4);
	mesh_start(mesh, count - 1);
	one_ms = mesh_run_until(mesh, mesh_is_converged, NULL, LIMIT_MS);
	mesh_run(mesh, SETTLE_MS / 4);
	for (uint32_t i = 0; i < count; i += 2) {
		mesh_stop(mesh, i);
		mesh_start(mesh, i);
	}
	half_ms = mesh_run_until(mesh, mesh_is_converged, NULL, 4 * LIMIT_MS);
	mesh_run(mesh, SETTLE_MS / 4);
	for (uint32_t i = 0; i < count / 5; i++)
		mesh->nodes[i].group = 1;
	mesh_run(mesh, SETTLE_MS);
	for (uint32_t i = 0; i < count; i++)
		mesh->nodes[i].group = 0;
	heal_ms = mesh_run_until(mesh, mesh_is_converged, NULL, 4 * LIMIT_MS);
	printf("%5u %7u %8u %8u\n", count, one_ms, half_ms, heal_ms);
	talloc_free(mesh);
}

static void print_row(uint32_t count, uint32_t loss_permille)
{
	struct mesh *mesh = mesh_new(NULL, count, count);
	double seconds = MEASURE_MS / 1000.0 * count;
	uint64_t bytes;
	uint64_t messages;
	uint32_t join_ms;
	uint32_t reach_ms;
	uint32_t death_ms;
	uint64_t reach_bytes;
	double cpu_us;

	join_ms = mesh_run_until(mesh, mesh_is_converged, NULL, 4 * LIMIT_MS);
	mesh_run(mesh, SETTLE_MS);
	mesh->loss_permille = loss_permille;
	bytes = sum_counts(mesh, true);
	messages = sum_counts(mesh, false);
	cpu_us = get_cpu_us();
	mesh_run(mesh, MEASURE_MS);
	cpu_us = get_cpu_us() - cpu_us;
	bytes = sum_counts(mesh, true) - bytes;
	messages = sum_counts(mesh, false) - messages;
	reach_bytes = sum_counts(mesh, true);
	mesh_execute_step(mesh, 1,
			  mem_step_announce(mesh->nodes[1].machine, "orders",
					    "v1", RT_PHASE_LEAVING,
					    mesh->now_ms));
	reach_ms = mesh_run_until(mesh, is_leaving_known, NULL, LIMIT_MS);
	mesh_run(mesh, 5000);
	reach_bytes = sum_counts(mesh, true) - reach_bytes;
	mesh_stop(mesh, 2);
	death_ms = mesh_run_until(mesh, is_death_known, NULL, LIMIT_MS);
	printf("%5u %5u %8u %10.0f %10.2f %8.2f %9u %11.0f %9u\n", count,
	       loss_permille, join_ms, (double)bytes / seconds,
	       (double)messages / seconds, cpu_us / (double)messages, reach_ms,
	       (double)reach_bytes / count, death_ms);
	talloc_free(mesh);
}

int main(int argc, char **argv)
{
	uint32_t largest =
		argc > 1 ? (uint32_t)strtoul(argv[1], NULL, 10) : 128;
	uint32_t smallest = argc > 2 ? (uint32_t)strtoul(argv[2], NULL, 10) : 4;
	const uint32_t losses_permille[] = { 0, 100, 300 };

	printf("nodes  loss  join_ms  bytes/s/n  msgs/s/n  us/msg  reach_ms "
	       "reach_bytes/n death_ms\n");
	largest = MIN(largest, MESH_NODE_MAX);
	for (uint32_t count = smallest; count <= largest; count *= 2)
		for (size_t i = 0; i < G_N_ELEMENTS(losses_permille); i++)
			print_row(count, losses_permille[i]);
	printf("nodes one_ms  half_ms  heal_ms\n");
	for (uint32_t count = smallest; count <= largest; count *= 2)
		print_recovery(count);
	return EXIT_SUCCESS;
}
