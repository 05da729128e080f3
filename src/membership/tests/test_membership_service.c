/*
 * Membership services on loopback sockets, in one process and one event loop.
 */
#include <string.h>
#include <tevent.h>
#include "loom/counter.h"
#include "loom/membership.h"
#include "script.h"

#define NODE_COUNT 5U

/*
 * Limit on the rounds of the event loop in which a condition must become true.
 */
#define ROUND_LIMIT 20000U

struct node {
	struct mem_service *service;
	struct cnt_registry *counters;
	uint32_t changes;
	char newer_peer[64];
	uint64_t newer_sequence;
};

struct mesh {
	struct tevent_context *events;
	struct tmr_service *timers;
	struct node nodes[NODE_COUNT];
};

typedef bool (*condition_fn)(struct mesh *mesh);

static void count_change(void *data)
{
	struct node *node = data;

	node->changes++;
}

static void record_newer_manifest(const char *peer, uint64_t sequence,
				  void *data)
{
	struct node *node = data;

	g_strlcpy(node->newer_peer, peer, sizeof(node->newer_peer));
	node->newer_sequence = sequence;
}

static void start_node(struct mesh *mesh, uint32_t index, const char *seed)
{
	const char *seeds[] = { seed, NULL };
	struct node *node = &mesh->nodes[index];
	char *address = talloc_asprintf(mesh, "127.0.0.%u", index + 10);
	struct mem_options options;

	mem_set_default_options(&options);
	options.self.address = address;
	options.self.hop_port = 8081;
	options.self.admin_port = 8082;
	options.self.failure_domain = "a";
	options.self.service = "";
	options.self.version = "";
	options.probe_period_ms = 50;
	options.probe_timeout_ms = 15;
	options.suspicion_ms = 200;
	options.seeds = seeds;
	options.seed = index;
	options.on_change = count_change;
	options.on_newer_manifest = record_newer_manifest;
	options.data = node;
	node->counters = cnt_new_registry(mesh);
	node->service = mem_new_service(mesh, mesh->events, mesh->timers,
					node->counters, &options, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(node->service);
}

static struct mesh *start_mesh(void)
{
	struct mesh *mesh = talloc_zero(NULL, struct mesh);
	char *seed = NULL;

	mesh->events = tevent_context_init(mesh);
	mesh->timers = tmr_new(mesh, mesh->events);
	for (uint32_t i = 0; i < NODE_COUNT; i++) {
		start_node(mesh, i, seed);
		if (!seed)
			seed = talloc_asprintf(
				mesh, "127.0.0.10:%u",
				mem_get_gossip_port(mesh->nodes[0].service));
	}
	return mesh;
}

static bool run_until(struct mesh *mesh, condition_fn condition)
{
	for (uint32_t i = 0; i < ROUND_LIMIT; i++) {
		if (condition(mesh))
			return true;
		tevent_loop_once(mesh->events);
	}
	return false;
}

/* Counts the members with the given state and service in a node's table. */
static uint32_t count_members(struct node *node, enum mem_state state,
			      const char *service)
{
	const struct mem_member *members;
	size_t count = mem_list_members(node->service, &members);
	uint32_t found = 0;

	for (size_t i = 0; i < count; i++)
		if (members[i].state == state &&
		    strcmp(members[i].self.service, service) == 0)
			found++;
	return found;
}

static bool is_joined(struct mesh *mesh)
{
	for (uint32_t i = 0; i < NODE_COUNT; i++)
		if (count_members(&mesh->nodes[i], MEM_STATE_ALIVE, "") !=
		    NODE_COUNT)
			return false;
	return true;
}

static bool is_announced(struct mesh *mesh)
{
	for (uint32_t i = 0; i < NODE_COUNT; i++)
		if (count_members(&mesh->nodes[i], MEM_STATE_ALIVE, "orders") !=
		    1)
			return false;
	return true;
}

static bool is_newer_known(struct mesh *mesh)
{
	for (uint32_t i = 0; i < NODE_COUNT; i++)
		if (i != 2 && mesh->nodes[i].newer_sequence != 7)
			return false;
	return true;
}

static bool is_left(struct mesh *mesh)
{
	for (uint32_t i = 0; i < NODE_COUNT; i++)
		if (count_members(&mesh->nodes[i], MEM_STATE_LEFT, "orders") !=
		    1)
			return false;
	return true;
}

static bool is_dead_known(struct mesh *mesh)
{
	for (uint32_t i = 0; i < NODE_COUNT - 1; i++)
		if (count_members(&mesh->nodes[i], MEM_STATE_DEAD, "") != 1)
			return false;
	return true;
}

static void test_join_announce_leave_death(void)
{
	struct mesh *mesh = start_mesh();

	CU_ASSERT_TRUE(run_until(mesh, is_joined));
	CU_ASSERT_TRUE(mesh->nodes[0].changes > 0);
	mem_announce_target(mesh->nodes[1].service, "orders", "v1",
			    RT_PHASE_SERVING);
	CU_ASSERT_TRUE(run_until(mesh, is_announced));
	mem_set_manifest_sequence(mesh->nodes[2].service, 7);
	CU_ASSERT_TRUE(run_until(mesh, is_newer_known));
	CU_ASSERT_STRING_EQUAL(mesh->nodes[0].newer_peer, "127.0.0.12:8082");
	mem_leave(mesh->nodes[1].service);
	CU_ASSERT_TRUE(run_until(mesh, is_left));
	talloc_free(mesh->nodes[NODE_COUNT - 1].service);
	CU_ASSERT_TRUE(run_until(mesh, is_dead_known));
	talloc_free(mesh);
}

/* Changes in quick succession are reported together, once per tick. */
static void test_changes_are_batched(void)
{
	struct mesh *mesh = talloc_zero(NULL, struct mesh);
	struct node *node = &mesh->nodes[0];

	mesh->events = tevent_context_init(mesh);
	mesh->timers = tmr_new_virtual(mesh, 1000);
	start_node(mesh, 0, NULL);
	for (uint32_t i = 0; i < 5; i++)
		mem_announce_target(node->service, "orders", "v1",
				    RT_PHASE_STARTING);
	CU_ASSERT_EQUAL(node->changes, 1);
	tmr_advance(mesh->timers, 10);
	CU_ASSERT_EQUAL(node->changes, 2);
	tmr_advance(mesh->timers, 100);
	CU_ASSERT_EQUAL(node->changes, 2);
	talloc_free(mesh);
}

static void test_bad_options_are_refused(void)
{
	char long_name[] =
		"a-name-that-is-longer-than-the-sixty-three-bytes-"
		"that-a-datagram-takes";
	struct mesh *mesh = talloc_zero(NULL, struct mesh);
	struct mem_options options[6];

	mesh->events = tevent_context_init(mesh);
	mesh->timers = tmr_new(mesh, mesh->events);
	for (size_t i = 0; i < G_N_ELEMENTS(options); i++) {
		mem_set_default_options(&options[i]);
		options[i].self.address = "127.0.0.30";
		options[i].self.failure_domain = "a";
		options[i].self.service = "";
		options[i].self.version = "";
	}
	options[0].self.address = "localhost";
	options[1].self.failure_domain = long_name;
	options[2].self.service = NULL;
	options[3].probe_period_ms = 0;
	options[4].probe_timeout_ms = options[4].probe_period_ms;
	options[5].seeds = (const char *const[]){ "nowhere", NULL };
	for (size_t i = 0; i < G_N_ELEMENTS(options); i++) {
		GError *error = NULL;

		CU_ASSERT_PTR_NULL(mem_new_service(
			mesh, mesh->events, mesh->timers,
			cnt_new_registry(mesh), &options[i], &error));
		CU_ASSERT_PTR_NOT_NULL(error);
		g_clear_error(&error);
	}
	talloc_free(mesh);
}

int main(void)
{
	const CU_TestInfo tests[] = {
		{ "join, announce, leave and death",
		  test_join_announce_leave_death },
		{ "changes are batched", test_changes_are_batched },
		{ "bad options are refused", test_bad_options_are_refused },
		CU_TEST_INFO_NULL,
	};

	return scr_run_suite("membership service", tests);
}
