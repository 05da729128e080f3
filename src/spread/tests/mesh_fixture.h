/*
 * Distribution services in one process and one event loop, with a fake platform
 * that can inject faults. Included by one test program.
 *
 * Two invariants are checked at each snapshot of each node: the sequence never
 * decreases, not even over a restart of the node, and every service that a
 * document calls is in the snapshot.
 */
#ifndef SPREAD_MESH_FIXTURE_H
#define SPREAD_MESH_FIXTURE_H

#include <stdlib.h>
#include <string.h>
#include "loom/error.h"
#include "loom/http.h"
#include "loom/spread.h"
#include "object_api.h"
#include "object_store.h"
#include "script.h"

#define NODE_COUNT 6U
#define DOMAIN_COUNT 2U
#define LOOP_TURNS_MAX 4000U
#define BODY_BYTES_MAX (4U * 1024U * 1024U)

/* Each failure domain calls the platform at its own address. */
static const char *const platform_addresses[] = { "127.0.0.1", "127.0.1.1",
						  NULL };
static const char *const domain_names[] = { "a", "b" };

struct mesh;

struct node {
	struct mesh *mesh;
	uint32_t index;
	uint32_t domain;
	char *holder;
	struct plat_client *platform;
	struct spr_service *spread;
	struct web_server *admin;
	uint16_t port;
	bool is_partitioned; /* from the nodes that are not */
	uint64_t sequence;
	uint64_t sequence_before_restart;
	struct spr_peer *peers;
};

struct mesh {
	struct tevent_context *events;
	struct tmr_service *timers;
	struct cnt_registry *counters;
	struct api_server *server;
	struct node nodes[NODE_COUNT];
	const struct spr_peer *extra_peer; /* listed to every node, or NULL */
	uint32_t start_count;
};

static bool can_reach(const struct node *from, const struct node *to)
{
	return from != to && from->spread && to->spread &&
	       from->is_partitioned == to->is_partitioned;
}

static char *make_address(const struct node *node)
{
	return talloc_asprintf(node->mesh, "127.0.2.%u:%u", node->index + 1,
			       node->port);
}

static size_t list_peers(const struct spr_peer **peers, void *data)
{
	struct node *node = data;
	struct mesh *mesh = node->mesh;
	size_t count = 0;

	TALLOC_FREE(node->peers);
	node->peers = talloc_zero_array(mesh, struct spr_peer, NODE_COUNT + 1);
	for (uint32_t i = 0; i < NODE_COUNT; i++) {
		struct node *other = &mesh->nodes[i];

		if (!can_reach(node, other))
			continue;
		node->peers[count++] = (struct spr_peer){
			.address = make_address(other),
			.failure_domain = domain_names[other->domain],
			.sequence = other->sequence,
		};
	}
	if (mesh->extra_peer)
		node->peers[count++] = *mesh->extra_peer;
	*peers = node->peers;
	return count;
}

static void check_snapshot(const struct doc_snapshot *snapshot)
{
	const struct doc_manifest *manifest = doc_get_manifest(snapshot);

	for (size_t i = 0; i < manifest->service_count; i++) {
		const struct doc_service *service =
			doc_find_service(snapshot, manifest->services[i].name);

		CU_ASSERT_PTR_NOT_NULL_FATAL(service);
		if (!service)
			return;
		for (size_t j = 0; service->calls[j]; j++)
			CU_ASSERT_PTR_NOT_NULL(
				doc_find_service(snapshot, service->calls[j]));
	}
}

static void handle_snapshot(struct doc_snapshot *snapshot, void *data)
{
	struct node *node = data;
	uint64_t sequence = doc_get_manifest(snapshot)->sequence;

	CU_ASSERT_TRUE(sequence > node->sequence);
	CU_ASSERT_TRUE(sequence >= node->sequence_before_restart);
	node->sequence = sequence;
	check_snapshot(snapshot);
	for (uint32_t i = 0; i < NODE_COUNT; i++) {
		struct node *other = &node->mesh->nodes[i];

		if (can_reach(node, other))
			spr_handle_newer_manifest(other->spread,
						  make_address(node), sequence);
	}
}

static void handle_request(struct web_request *request, void *data)
{
	struct node *node = data;

	spr_handle_request(node->spread, request);
}

static void start_node(struct mesh *mesh, uint32_t index)
{
	struct node *node = &mesh->nodes[index];
	struct web_options web = { .body_bytes_max = BODY_BYTES_MAX,
				   .fn = handle_request,
				   .data = node };
	struct spr_options options;
	struct plat_options platform;

	node->mesh = mesh;
	node->index = index;
	node->domain = index % DOMAIN_COUNT;
	node->sequence_before_restart = node->sequence;
	node->sequence = 0;
	node->holder =
		talloc_asprintf(mesh, "node-%u-%u", index, mesh->start_count++);
	plat_set_default_options(
		&platform, talloc_asprintf(mesh, "http://%s:%u",
					   platform_addresses[node->domain],
					   api_get_port(mesh->server)));
	platform.timeout_ms = 1000;
	platform.calls_per_second = 1000;
	platform.burst_calls = 1000;
	platform.seed = mesh->start_count;
	node->platform = plat_new_client(mesh, mesh->events, mesh->timers,
					 mesh->counters, &platform, NULL);
	web.address = talloc_asprintf(mesh, "127.0.2.%u", index + 1);
	node->admin = web_new_server(mesh, mesh->events, &web, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(node->admin);
	node->port = web_get_port(node->admin);
	spr_set_default_options(&options);
	options.address = make_address(node);
	options.events = mesh->events;
	options.timers = mesh->timers;
	options.platform = node->platform;
	options.holder = node->holder;
	options.failure_domain = domain_names[node->domain];
	options.lease_duration_ms = 600;
	options.check_period_ms = 50;
	options.poll_period_ms = 1000;
	options.sweep_period_ms = 200;
	options.seed = mesh->start_count;
	options.fn = handle_snapshot;
	options.list_peers = list_peers;
	options.data = node;
	node->spread = spr_new_service(mesh, &options, NULL);
}

static void kill_node(struct mesh *mesh, uint32_t index)
{
	struct node *node = &mesh->nodes[index];

	TALLOC_FREE(node->admin);
	TALLOC_FREE(node->spread);
	TALLOC_FREE(node->platform);
}

static struct mesh *open_mesh(void)
{
	struct mesh *mesh = talloc_zero(NULL, struct mesh);
	struct api_options options;

	api_set_default_options(&options);
	options.addresses = platform_addresses;
	mesh->events = tevent_context_init(mesh);
	mesh->timers = tmr_new(mesh, mesh->events);
	mesh->counters = cnt_new_registry(mesh);
	mesh->server = api_new_server(mesh, mesh->events, mesh->timers,
				      &options, NULL);
	for (uint32_t i = 0; i < NODE_COUNT; i++)
		start_node(mesh, i);
	return mesh;
}

static void close_mesh(struct mesh *mesh)
{
	for (uint32_t i = 0; i < NODE_COUNT; i++)
		kill_node(mesh, i);
	TALLOC_FREE(mesh->server);
	talloc_free(mesh);
}

static void set_faults(struct mesh *mesh, const char *text)
{
	CU_ASSERT_TRUE(api_set_faults(mesh->server, text, NULL));
}

/*
 * Applies a document of a service; different timeouts of its route make the
 * contents differ.
 */
static void apply(struct mesh *mesh, const char *name, const char *calls,
		  uint32_t timeout_ms)
{
	struct store *store = api_get_store(mesh->server);
	char *key = talloc_asprintf(mesh, "%s%s", SPR_KEY_DOCUMENTS, name);
	const struct store_object *present = store_find_object(store, key);
	uint64_t version =
		present && !present->is_deleted ? present->version : 0;
	json_t *value = json_pack(
		"{s:s,s:{s:s,s:[s],s:s,s:[{s:s,s:s,s:i}],s:o}}", "write_id",
		"test", "document", "service", name, "versions", "v1",
		"current", "v1", "routes", "name", "all", "path", "/",
		"timeout_ms", (int)timeout_ms, "calls",
		*calls ? json_pack("[s]", calls) : json_array());

	CU_ASSERT_EQUAL(store_put_object(store, key, value, version, &version),
			STORE_OK);
	json_decref(value);
	api_answer_watches(mesh->server);
}

static void remove_document(struct mesh *mesh, const char *name)
{
	struct store *store = api_get_store(mesh->server);
	char *key = talloc_asprintf(mesh, "%s%s", SPR_KEY_DOCUMENTS, name);
	uint64_t version = store_find_object(store, key)->version;

	CU_ASSERT_EQUAL(store_delete_object(store, key, version, &version),
			STORE_OK);
	api_answer_watches(mesh->server);
}

typedef bool (*condition_fn)(struct mesh *mesh, const void *argument);

static void run_until(struct mesh *mesh, condition_fn condition,
		      const void *argument)
{
	for (uint32_t i = 0; i < LOOP_TURNS_MAX && !condition(mesh, argument);
	     i++)
		tevent_loop_once(mesh->events);
	CU_ASSERT_TRUE_FATAL(condition(mesh, argument));
}

/* Expected state of a service in the snapshot of a node. */
struct expected {
	const char *name;
	uint32_t timeout_ms; /* of its route; 0: the service is absent */
};

static bool has_service(const struct node *node,
			const struct expected *expected)
{
	struct doc_snapshot *snapshot = spr_get_snapshot(node->spread);
	const struct doc_service *service =
		snapshot ? doc_find_service(snapshot, expected->name) : NULL;

	if (!snapshot || !service)
		return snapshot && expected->timeout_ms == 0;
	return service->routes[0].timeout_ms == expected->timeout_ms;
}

static bool is_on_all_nodes(struct mesh *mesh, const void *argument)
{
	for (uint32_t i = 0; i < NODE_COUNT; i++) {
		if (mesh->nodes[i].spread &&
		    !has_service(&mesh->nodes[i], argument))
			return false;
	}
	return true;
}

static bool is_on_any_node(struct mesh *mesh, const void *argument)
{
	for (uint32_t i = 0; i < NODE_COUNT; i++) {
		if (mesh->nodes[i].spread &&
		    has_service(&mesh->nodes[i], argument))
			return true;
	}
	return false;
}

static void wait_all_nodes(struct mesh *mesh, const char *name,
			   uint32_t timeout_ms)
{
	struct expected expected = { name, timeout_ms };

	run_until(mesh, is_on_all_nodes, &expected);
}

static void wait_any_node(struct mesh *mesh, const char *name,
			  uint32_t timeout_ms)
{
	struct expected expected = { name, timeout_ms };

	run_until(mesh, is_on_any_node, &expected);
}

/* Opens a mesh in which "plans", and "stock" that calls it, are in force. */
static struct mesh *open_mesh_with_services(void)
{
	struct mesh *mesh = open_mesh();

	apply(mesh, "plans", "", 100);
	apply(mesh, "stock", "plans", 100);
	wait_all_nodes(mesh, "plans", 100);
	wait_all_nodes(mesh, "stock", 100);
	return mesh;
}

#endif
