/*
 * Simulated meshes: leaving, death, restart, pause, partition, datagram loss
 * and the traffic of a mass start.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include "mesh.h"
#include "script.h"

#define SEED_COUNT 5U
#define JOIN_LIMIT_MS 60000U

/* Limit on the time until all tables show that a target is leaving. */
#define LEAVING_LIMIT_MS 5000U

/* Limit on the control traffic of a node. */
#define CONTROL_BUDGET_BYTES_PER_S 15000U

/* Size of the IPv4 and UDP headers of a datagram. */
#define PACKET_HEADER_BYTES 28U

#define MASS_START_NODES 128U
#define MASS_START_SECONDS 20U

struct expectation {
	uint32_t subject;
	enum mem_state state;
	enum rt_phase phase;
};

static struct mesh *join_mesh(uint32_t count, uint32_t seed)
{
	struct mesh *mesh = mesh_new(NULL, count, seed);

	CU_ASSERT_NOT_EQUAL(
		mesh_run_until(mesh, mesh_is_converged, NULL, JOIN_LIMIT_MS),
		MESH_NEVER);
	mesh_run(mesh, 10000);
	return mesh;
}

/*
 * Condition: every running node but the subject has the expected state and
 * phase of the subject.
 */
static bool is_known_by_all(struct mesh *mesh, const void *data)
{
	const struct expectation *expected = data;

	for (uint32_t i = 0; i < mesh->count; i++) {
		const struct mem_member *member;

		if (!mesh->nodes[i].machine || i == expected->subject)
			continue;
		member = mesh_find_member(mesh, i, expected->subject);
		if (!member || member->state != expected->state ||
		    member->self.phase != expected->phase)
			return false;
	}
	return true;
}

static uint64_t sum_deaths(const struct mesh *mesh)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < mesh->count; i++)
		if (mesh->nodes[i].machine)
			sum += mesh->nodes[i].machine->statistics.deaths;
	return sum;
}

static void check_propagation(uint32_t loss_permille, bool is_leave)
{
	for (uint32_t seed = 1; seed <= SEED_COUNT; seed++) {
		struct mesh *mesh = join_mesh(64, seed);
		struct mem_machine *machine = mesh->nodes[5].machine;
		struct expectation expected = {
			.subject = 5,
			.state = is_leave ? MEM_STATE_LEFT : MEM_STATE_ALIVE,
			.phase = RT_PHASE_LEAVING,
		};
		uint32_t reach_ms;

		mesh->loss_permille = loss_permille;
		mesh_run(mesh, 5000);
		mesh_execute_step(
			mesh, 5,
			is_leave ? mem_step_leave(machine, mesh->now_ms)
				 : mem_step_announce(machine, "plans", "v2",
						     RT_PHASE_LEAVING,
						     mesh->now_ms));
		reach_ms = mesh_run_until(mesh, is_known_by_all, &expected,
					  LEAVING_LIMIT_MS);
		printf(" %u", reach_ms);
		CU_ASSERT_NOT_EQUAL(reach_ms, MESH_NEVER);
		talloc_free(mesh);
	}
}

static void test_leaving_is_known(void)
{
	check_propagation(0, false);
	check_propagation(300, false);
	check_propagation(300, true);
}

static void test_death_is_known(void)
{
	const uint32_t losses_permille[] = { 0, 300 };

	for (uint32_t i = 0; i < 2 * SEED_COUNT; i++) {
		struct mesh *mesh = join_mesh(64, i / 2 + 1);
		struct expectation expected = {
			.subject = 5,
			.state = MEM_STATE_DEAD,
			.phase = RT_PHASE_SERVING,
		};
		uint32_t reach_ms;

		mesh->loss_permille = losses_permille[i % 2];
		mesh_stop(mesh, 5);
		reach_ms = mesh_run_until(mesh, is_known_by_all, &expected,
					  LEAVING_LIMIT_MS);
		printf(" %u", reach_ms);
		CU_ASSERT_NOT_EQUAL(reach_ms, MESH_NEVER);
		talloc_free(mesh);
	}
}

/* Condition: a running node other than *data has node 5 as a live member. */
static bool is_left_node_back(struct mesh *mesh, const void *data)
{
	const uint32_t *paused = data;

	for (uint32_t i = 0; i < mesh->count; i++) {
		const struct mem_member *member;

		if (!mesh->nodes[i].machine || i == *paused || i == 5)
			continue;
		member = mesh_find_member(mesh, i, 5);
		if (member && (member->state == MEM_STATE_ALIVE ||
			       member->state == MEM_STATE_SUSPECT))
			return true;
	}
	return false;
}

/*
 * A node that was paused while another one left does not bring it back to the
 * others, nor to one that restarts, however long it was paused.
 */
static void test_left_node_stays_away(void)
{
	const uint32_t pauses_ms[] = { 30000, 11 * 60 * 1000 };
	const uint32_t paused = 9;

	for (uint32_t i = 0; i < 2 * SEED_COUNT; i++) {
		struct mesh *mesh = join_mesh(16, i / 2 + 1);
		struct mem_machine *machine = mesh->nodes[5].machine;

		/* It loses the news, too: its socket's buffer is full. */
		mesh_pause(mesh, paused);
		mesh->nodes[paused].group = 1;
		mesh_execute_step(mesh, 5,
				  mem_step_leave(machine, mesh->now_ms));
		mesh_run(mesh, 1000);
		mesh_stop(mesh, 5);
		mesh_run(mesh, pauses_ms[i % 2]);
		CU_ASSERT_FALSE(is_left_node_back(mesh, &paused));
		mesh_stop(mesh, 7);
		mesh_start(mesh, 7);
		mesh->nodes[paused].group = 0;
		mesh_resume(mesh, paused);
		CU_ASSERT_EQUAL(mesh_run_until(mesh, is_left_node_back, &paused,
					       LEAVING_LIMIT_MS * 4),
				MESH_NEVER);
		talloc_free(mesh);
	}
}

/*
 * A tenth of the datagrams is damaged for a minute. No node ends, and soon
 * after that the tables are right again.
 */
static void test_damaged_datagrams(void)
{
	for (uint32_t seed = 1; seed <= SEED_COUNT; seed++) {
		struct mesh *mesh = join_mesh(16, seed);
		uint32_t heal_ms;

		mesh->damage_permille = 100;
		mesh_run(mesh, 60000);
		mesh->damage_permille = 1;
		mesh_run(mesh, MESH_DELAY_MAX_MS + 1);
		CU_ASSERT_TRUE(mesh->rejected > 0);
		mesh->damage_permille = 0;
		heal_ms = mesh_run_until(mesh, mesh_is_converged, NULL,
					 JOIN_LIMIT_MS);
		printf(" %u", heal_ms);
		CU_ASSERT_NOT_EQUAL(heal_ms, MESH_NEVER);
		talloc_free(mesh);
	}
}

/*
 * Condition: in all tables the restarted node 5 is alive at its own
 * incarnation.
 */
static bool is_restarted_held(struct mesh *mesh, const void *data)
{
	uint64_t own = mesh_find_member(mesh, 5, 5)->incarnation;

	for (uint32_t i = 0; i < mesh->count; i++) {
		const struct mem_member *member = mesh_find_member(mesh, i, 5);

		if (!member || member->state != MEM_STATE_ALIVE ||
		    member->incarnation != own)
			return false;
	}
	return mesh_is_converged(mesh, data);
}

static void check_restart(uint32_t seed, bool is_death_known, bool is_left)
{
	struct mesh *mesh = join_mesh(16, seed);
	uint64_t old;

	for (uint32_t i = 0; i < 7; i++)
		mesh_execute_step(
			mesh, 5,
			mem_step_announce(mesh->nodes[5].machine, "plans", "v2",
					  RT_PHASE_STARTING, mesh->now_ms));
	mesh_run(mesh, 3000);
	if (is_left)
		mesh_execute_step(
			mesh, 5,
			mem_step_leave(mesh->nodes[5].machine, mesh->now_ms));
	mesh_run(mesh, is_left ? 1000 : 1);
	old = mesh_find_member(mesh, 5, 5)->incarnation;
	mesh_stop(mesh, 5);
	mesh_run(mesh, is_death_known ? 15000 : 200);
	mesh_start(mesh, 5);
	CU_ASSERT_NOT_EQUAL(
		mesh_run_until(mesh, is_restarted_held, NULL, 30000),
		MESH_NEVER);
	CU_ASSERT_TRUE(mesh_find_member(mesh, 5, 5)->incarnation > old);
	CU_ASSERT_EQUAL(mesh_find_member(mesh, 9, 5)->self.phase,
			RT_PHASE_SERVING);
	talloc_free(mesh);
}

static void test_restarted_node_rejoins(void)
{
	for (uint32_t seed = 1; seed <= SEED_COUNT; seed++) {
		check_restart(seed, false, false);
		check_restart(seed, true, false);
		check_restart(seed, false, true);
	}
}

static void test_paused_node_refutes(void)
{
	for (uint32_t seed = 1; seed <= SEED_COUNT; seed++) {
		struct mesh *mesh = join_mesh(32, seed);
		struct expectation expected = {
			.subject = 7,
			.state = MEM_STATE_DEAD,
			.phase = RT_PHASE_SERVING,
		};
		const struct mem_statistics *own;

		mesh_pause(mesh, 7);
		mesh_run(mesh, 20000);
		CU_ASSERT_TRUE(is_known_by_all(mesh, &expected));
		mesh_resume(mesh, 7);
		CU_ASSERT_NOT_EQUAL(
			mesh_run_until(mesh, mesh_is_converged, NULL, 15000),
			MESH_NEVER);
		own = &mesh->nodes[7].machine->statistics;
		CU_ASSERT_EQUAL(own->deaths, 0);
		CU_ASSERT_EQUAL(own->suspicions, 0);
		CU_ASSERT_TRUE(own->refutations > 0);
		talloc_free(mesh);
	}
}

/*
 * A node that is paused while it suspects another must not declare it dead when
 * it continues.
 */
static void test_pause_restarts_suspicion(void)
{
	struct mesh *mesh = join_mesh(8, 1);
	struct mem_machine *machine = mesh->nodes[4].machine;
	struct mem_table *table = machine->table;
	struct mem_entry *entry = mem_find_entry(table, "10.0.0.6");

	mem_set_entry(table, entry, &entry->member.self,
		      entry->member.incarnation, MEM_STATE_SUSPECT);
	entry->state_deadline_ms = mesh->now_ms + machine->suspicion_ms;
	mesh_pause(mesh, 4);
	mesh_run(mesh, 3 * machine->suspicion_ms);
	mesh_resume(mesh, 4);
	CU_ASSERT_EQUAL(machine->statistics.deaths, 0);
	CU_ASSERT_NOT_EQUAL(
		mesh_run_until(mesh, mesh_is_converged, NULL, 15000),
		MESH_NEVER);
	CU_ASSERT_EQUAL(machine->statistics.deaths, 0);
	talloc_free(mesh);
}

/* Condition: in each table exactly the nodes of the same half are live. */
static bool is_split(struct mesh *mesh, const void *data)
{
	for (uint32_t i = 0; i < mesh->count; i++)
		if (mesh->nodes[i].machine->table->live_count !=
		    mesh->count / 2)
			return false;
	return true;
}

/*
 * Condition: the mesh has converged after the partition. Adds to *data how
 * often a running member was dead in a table of its own half meanwhile.
 */
static bool is_healed(struct mesh *mesh, const void *data)
{
	uint32_t *same_half_deaths = *(uint32_t *const *)data;
	uint32_t half = mesh->count / 2;

	for (uint32_t i = 0; i < mesh->count; i++) {
		for (uint32_t j = 0; j < mesh->count; j++) {
			const struct mem_member *member;

			if (!mesh->nodes[i].machine ||
			    !mesh->nodes[j].machine || i / half != j / half)
				continue;
			member = mesh_find_member(mesh, i, j);
			if (!member || member->state == MEM_STATE_DEAD)
				(*same_half_deaths)++;
		}
	}
	return mesh_is_converged(mesh, NULL);
}

static void check_partition(uint32_t seed, bool has_seeds)
{
	struct mesh *mesh = join_mesh(32, seed);
	uint64_t deaths;
	uint32_t same_half_deaths = 0;
	uint32_t *watched = &same_half_deaths;
	uint32_t heal_ms;

	/* The seeds 0 to 2 are all in the first half. */
	for (uint32_t i = 0; i < mesh->count; i++)
		mesh->nodes[i].group = i >= mesh->count / 2;
	mesh_run(mesh, 60000);
	CU_ASSERT_TRUE(is_split(mesh, NULL));
	for (uint32_t i = 0; i < 3 && !has_seeds; i++)
		mesh_stop(mesh, i);
	mesh_run(mesh, 10000);
	deaths = sum_deaths(mesh);
	for (uint32_t i = 0; i < mesh->count; i++)
		mesh->nodes[i].group = 0;
	heal_ms = mesh_run_until(mesh, is_healed, &watched, 30000);
	printf(" %u", heal_ms);
	CU_ASSERT_NOT_EQUAL(heal_ms, MESH_NEVER);
	/*
	 * Deaths that one half reported of the other must cause no deaths
	 * there.
	 */
	CU_ASSERT_EQUAL(same_half_deaths, 0);
	CU_ASSERT_EQUAL(sum_deaths(mesh), deaths);
	talloc_free(mesh);
}

static void test_partition_heals(void)
{
	for (uint32_t seed = 1; seed <= SEED_COUNT; seed++) {
		check_partition(seed, true);
		check_partition(seed, false);
	}
}

/*
 * A node that received no push of an update finds the difference by digest and
 * pulls it.
 */
static void test_missed_update_is_pulled(void)
{
	for (uint32_t seed = 1; seed <= SEED_COUNT; seed++) {
		struct mesh *mesh = join_mesh(32, seed);
		struct expectation expected = {
			.subject = 5,
			.state = MEM_STATE_ALIVE,
			.phase = RT_PHASE_LEAVING,
		};
		uint32_t reach_ms;

		mesh->nodes[9].group = 1;
		mesh_execute_step(
			mesh, 5,
			mem_step_announce(mesh->nodes[5].machine, "plans", "v2",
					  RT_PHASE_LEAVING, mesh->now_ms));
		mesh_run(mesh, 900);
		for (uint32_t i = 0; i < mesh->count; i++) {
			struct mem_table *table = mesh->nodes[i].machine->table;

			if (i != 9)
				mem_unqueue_alive(table);
		}
		mesh->nodes[9].group = 0;
		reach_ms = mesh_run_until(mesh, is_known_by_all, &expected,
					  LEAVING_LIMIT_MS);
		printf(" %u", reach_ms);
		CU_ASSERT_NOT_EQUAL(reach_ms, MESH_NEVER);
		talloc_free(mesh);
	}
}

/* Datagram loss alone must not lead to a death. */
static void test_loss_causes_no_death(void)
{
	for (uint32_t seed = 1; seed <= SEED_COUNT; seed++) {
		struct mesh *mesh = join_mesh(64, seed);

		mesh->loss_permille = 300;
		mesh_run(mesh, 30000);
		CU_ASSERT_EQUAL(sum_deaths(mesh), 0);
		talloc_free(mesh);
	}
}

/*
 * The bytes in and out of a node in each second, headers included, stay within
 * the budget while all nodes start at once.
 */
static void test_mass_start_stays_in_budget(void)
{
	struct mesh *mesh = mesh_new(NULL, MASS_START_NODES, 1);
	uint64_t total = 0;
	uint64_t peak = 0;

	for (uint32_t second = 0; second < MASS_START_SECONDS; second++) {
		uint64_t sum = 0;

		mesh_run(mesh, 1000);
		for (uint32_t i = 0; i < mesh->count; i++)
			sum += mesh->nodes[i].bytes_in +
			       mesh->nodes[i].bytes_out +
			       2 * PACKET_HEADER_BYTES *
				       mesh->nodes[i].messages_out;
		peak = MAX(peak, (sum - total) / MASS_START_NODES);
		total = sum;
	}
	printf(" peak %" PRIu64 " B/s mean %" PRIu64 " B/s ", peak,
	       total / MASS_START_NODES / MASS_START_SECONDS);
	CU_ASSERT_TRUE(peak <= CONTROL_BUDGET_BYTES_PER_S);
	CU_ASSERT_TRUE(mesh_is_converged(mesh, NULL));
	talloc_free(mesh);
}

static bool is_sequence_known(struct mesh *mesh, const void *data)
{
	const uint64_t *sequence = data;

	for (uint32_t i = 0; i < mesh->count; i++)
		if (mesh->nodes[i].machine->sequence != *sequence)
			return false;
	return true;
}

static void test_manifest_sequence_spreads(void)
{
	uint64_t sequence = 41;

	for (uint32_t seed = 1; seed <= SEED_COUNT; seed++) {
		struct mesh *mesh = join_mesh(64, seed);
		uint32_t reach_ms;

		mesh->is_fetching = true;
		mesh->loss_permille = 300;
		mesh_execute_step(mesh, 3,
				  mem_step_sequence(mesh->nodes[3].machine,
						    sequence, mesh->now_ms));
		reach_ms = mesh_run_until(mesh, is_sequence_known, &sequence,
					  LEAVING_LIMIT_MS);
		printf(" %u", reach_ms);
		CU_ASSERT_NOT_EQUAL(reach_ms, MESH_NEVER);
		talloc_free(mesh);
	}
}

int main(void)
{
	const CU_TestInfo tests[] = {
		{ "leaving is known in time", test_leaving_is_known },
		{ "death is known in time", test_death_is_known },
		{ "left node stays away", test_left_node_stays_away },
		{ "damaged datagrams end nothing", test_damaged_datagrams },
		{ "restarted node rejoins", test_restarted_node_rejoins },
		{ "paused node refutes its death", test_paused_node_refutes },
		{ "pause restarts suspicions", test_pause_restarts_suspicion },
		{ "partition heals", test_partition_heals },
		{ "manifest sequence spreads", test_manifest_sequence_spreads },
		{ "missed update is pulled", test_missed_update_is_pulled },
		{ "loss causes no death", test_loss_causes_no_death },
		{ "mass start stays in budget",
		  test_mass_start_stays_in_budget },
		CU_TEST_INFO_NULL,
	};

	return scr_run_suite("membership mesh", tests);
}
