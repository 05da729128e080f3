/*
 * Mesh of traffic services for tests.
 */
#include "mesh.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include "loom/document.h"

#define RUN_TIMEOUT_MS 10000U

static const char document[] =
	"{\"service\":\"shop\",\"versions\":[\"v1\",\"v2\"],"
	"\"current\":\"v1\",\"routes\":["
	"{\"name\":\"safe\",\"path\":\"/\",\"timeout_ms\":%u},"
	"{\"name\":\"once\",\"path\":\"/once\",\"timeout_ms\":%u,"
	"\"repeatable\":false},"
	"{\"name\":\"any\",\"path\":\"/any\",\"timeout_ms\":%u,"
	"\"repeatable\":true},"
	"{\"name\":\"early\",\"path\":\"/early/any\",\"timeout_ms\":%u,"
	"\"repeatable\":true},"
	"{\"name\":\"reply\",\"path\":\"/reply/any\",\"timeout_ms\":%u,"
	"\"repeatable\":true},"
	"{\"name\":\"hasty\",\"path\":\"/never\",\"timeout_ms\":200}],"
	"\"limits\":{\"slots\":%u,\"connections\":32,\"queue_length\":%u,"
	"\"request_body_bytes\":8388608}}";

#define ROUTE_TIMEOUT_MS 20000U

static const char gateway_document[] =
	"{\"gateway\":\"main\",\"sequence\":%u,"
	"\"services\":[{\"service\":\"shop\",\"connections\":32}],"
	"\"routes\":["
	"{\"name\":\"any\",\"host\":\"shop\",\"path\":\"/\","
	"\"repeatable\":true,\"timeout_ms\":20000,\"attempts\":3,"
	"\"priority\":1,\"shares\":[{\"service\":\"shop\",\"weight\":1}]},"
	"{\"name\":\"once\",\"host\":\"shop\",\"path\":\"/once/\","
	"\"repeatable\":false,\"timeout_ms\":20000,\"attempts\":3,"
	"\"priority\":1,\"shares\":[{\"service\":\"shop\",\"weight\":1}]}],"
	"\"limits\":{\"header_bytes\":16384,\"request_body_bytes\":8388608,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":60000}}";

/* Calls stay in their failure domain while a target there can take them. */
#define CROSSING_MS_PER_KB 10000U

/* Headers of targets that name the request in each answer. */
static const struct tr_header_names stamped_names = {
	.request_id = "Loom-Request-Id",
	.deadline = "Loom-Deadline-Ms",
	.instance = "Loom-Instance",
	.caller = "Loom-Caller",
	.not_run = "Loom-Not-Run",
	.stamp = "Stamp",
};

struct mesh *mesh_new(void)
{
	struct mesh *mesh = talloc_zero(NULL, struct mesh);

	mesh->events = tevent_context_init(mesh);
	mesh->timers = tmr_new(mesh, mesh->events);
	mesh->client = hc_new_loop(mesh, mesh->events, NULL);
	mesh->slots = 4;
	mesh->queue_length = 2;
	return mesh;
}

void mesh_free(struct mesh *mesh)
{
	for (size_t i = 0; i < mesh->node_count; i++) {
		TALLOC_FREE(mesh->nodes[i].traffic);
		TALLOC_FREE(mesh->nodes[i].target);
	}
	TALLOC_FREE(mesh->client);
	talloc_free(mesh);
}

/* Gives the next node of the mesh a name and an address. */
static struct mesh_node *name_node(struct mesh *mesh, const char *name,
				   const char *failure_domain)
{
	struct mesh_node *node = &mesh->nodes[mesh->node_count++];
	unsigned int pid = (unsigned int)getpid();

	g_strlcpy(node->name, name, sizeof(node->name));
	g_strlcpy(node->failure_domain, failure_domain,
		  sizeof(node->failure_domain));
	g_snprintf(node->address, sizeof(node->address), "127.%u.%u.%zu",
		   100 + pid / 250 % 100, 1 + pid % 250, mesh->node_count);
	g_snprintf(node->hop_address, sizeof(node->hop_address), "%s:%u",
		   node->address, MESH_HOP_PORT);
	node->counters = cnt_new_registry(mesh);
	return node;
}

struct mesh_node *mesh_add_fake_node(struct mesh *mesh, const char *name,
				     const char *failure_domain,
				     const char *version)
{
	struct mesh_node *node = name_node(mesh, name, failure_domain);

	node->target = raw_new_target(mesh, mesh->events, node->address,
				      MESH_HOP_PORT);
	g_strlcpy(node->version, version, sizeof(node->version));
	node->phase = RT_PHASE_SERVING;
	return node;
}

struct mesh_node *mesh_add_node(struct mesh *mesh, const char *name,
				const char *failure_domain)
{
	struct mesh_node *node = name_node(mesh, name, failure_domain);
	struct tr_options options;
	GError *error = NULL;

	tr_set_default_options(&options);
	options.address = node->address;
	options.failure_domain = node->failure_domain;
	options.call_port = MESH_CALL_PORT;
	options.hop_port = MESH_HOP_PORT;
	options.seed = mesh->node_count;
	options.overload.link_kbit_s = mesh->link_kbit_s;
	options.overload.is_enabled = mesh->is_controlled;
	options.overload.silence_ms = mesh->silence_ms;
	options.overload.crossing_ms_per_kb = CROSSING_MS_PER_KB;
	options.overload.memory_mb = mesh->memory_mb;
	if (mesh->has_stamps)
		options.names = &stamped_names;
	if (mesh->has_reports)
		options.overload.load_port = MESH_LOAD_PORT;
	if (mesh->header_timeout_ms)
		options.header_timeout_ms = mesh->header_timeout_ms;
	if (mesh->connections_max)
		options.connections_max = mesh->connections_max;
	node->traffic = tr_new_service(mesh, mesh->events, node->counters,
				       &options, &error);
	if (!node->traffic) {
		fprintf(stderr, "mesh: %s\n", error->message);
		abort();
	}
	return node;
}

struct mesh_node *mesh_get_node(struct mesh *mesh, const char *name)
{
	for (size_t i = 0; i < mesh->node_count; i++) {
		if (strcmp(mesh->nodes[i].name, name) == 0)
			return &mesh->nodes[i];
	}
	fprintf(stderr, "mesh: no node %s\n", name);
	abort();
}

void mesh_add_target(struct mesh *mesh, struct mesh_node *node,
		     const char *version)
{
	TALLOC_FREE(node->target);
	node->target = raw_new_target(mesh, mesh->events, node->address,
				      MESH_TARGET_PORT);
	g_strlcpy(node->version, version, sizeof(node->version));
	node->phase = RT_PHASE_SERVING;
	node->command_count += 2; /* announcing also sends a heartbeat */
	tr_announce_target(node->traffic,
			   &(struct tr_target){ .service = "shop",
						.version = version,
						.instance = "",
						.address = node->address,
						.port = MESH_TARGET_PORT });
}

static struct doc_snapshot *build_gateway_snapshot(struct mesh *mesh)
{
	struct prob_list *problems = prob_new_list(mesh);
	char *text =
		g_strdup_printf(gateway_document, (unsigned)++mesh->sequence);
	json_t *json = json_loads(text, 0, NULL);
	struct doc_gateway *gateway = doc_parse_gateway("main", json, problems);
	struct doc_snapshot *snapshot;

	g_free(text);
	json_decref(json);
	if (!gateway)
		abort();
	snapshot = doc_build_gateway_snapshot(gateway, NULL, 0,
					      (const char *const[]){ NULL });
	doc_unref_gateway(gateway);
	return snapshot;
}

static struct doc_snapshot *build_snapshot(struct mesh *mesh)
{
	struct doc_manifest *manifest = doc_new_manifest(mesh);
	struct doc_problem_list *problems = doc_new_problem_list(mesh);
	char *text = g_strdup_printf(document, ROUTE_TIMEOUT_MS,
				     ROUTE_TIMEOUT_MS, ROUTE_TIMEOUT_MS,
				     ROUTE_TIMEOUT_MS, ROUTE_TIMEOUT_MS,
				     mesh->slots, mesh->queue_length);
	struct doc_service *service;
	struct doc_snapshot *snapshot;

	service = doc_parse_service(mesh, "shop.json", text, strlen(text), 1,
				    problems);
	g_free(text);
	manifest->sequence = ++mesh->sequence;
	doc_add_manifest_service(manifest, "shop")->document_version = 1;
	if (mesh->is_domain_out)
		doc_add_manifest_domain(manifest, "a")->is_out = true;
	snapshot = doc_build_snapshot(manifest, &service, 1, NULL);
	if (!snapshot)
		abort();
	return snapshot;
}

static bool is_published(void *data)
{
	struct mesh *mesh = data;

	for (size_t i = 0; i < mesh->node_count; i++) {
		if (mesh_get_counter(&mesh->nodes[i], "loom_tables_total",
				     NULL) < mesh->nodes[i].table_count)
			return false;
	}
	return true;
}

void mesh_publish(struct mesh *mesh)
{
	struct doc_snapshot *snapshot = mesh->has_gateway
						? build_gateway_snapshot(mesh)
						: build_snapshot(mesh);
	struct rt_target targets[MESH_NODES_MAX];
	size_t count = 0;

	for (size_t i = 0; i < mesh->node_count; i++) {
		const struct mesh_node *node = &mesh->nodes[i];

		if (!*node->version)
			continue;
		targets[count++] = (struct rt_target){
			.address = node->hop_address,
			.failure_domain = node->failure_domain,
			.service = "shop",
			.version = mesh->has_gateway ? DOC_VERSION_ANY
						     : node->version,
			.release = node->version,
			.phase = node->phase,
			.distance_us = 1000,
		};
	}
	for (size_t i = 0; i < mesh->node_count; i++) {
		struct mesh_node *node = &mesh->nodes[i];
		struct rt_table *table;

		if (node == mesh->stale || !node->traffic)
			continue;
		table = rt_new_table(snapshot, targets, count,
				     node->failure_domain);
		node->table_count++;
		tr_set_table(node->traffic, table);
		rt_unref_table(table);
	}
	doc_unref_snapshot(snapshot);
	mesh_run_until(mesh, is_published, mesh);
}

static void set_flag(uint64_t now_ms, void *data)
{
	bool *is_over = data;

	*is_over = true;
}

void mesh_run_until(struct mesh *mesh, mesh_condition_fn condition, void *data)
{
	bool is_over = false;
	struct tmr_subscription *limit = tmr_subscribe_once(
		mesh, mesh->timers, RUN_TIMEOUT_MS, set_flag, &is_over);
	struct tmr_subscription *tick = tmr_subscribe_every(
		mesh, mesh->timers, 5, set_flag, &(bool){ false });

	while (!condition(data)) {
		tevent_loop_once(mesh->events);
		if (!is_over)
			continue;
		fprintf(stderr, "mesh: timeout in step: %s\n", mesh->step);
		abort();
	}
	talloc_free(tick);
	talloc_free(limit);
}

void mesh_run_for(struct mesh *mesh, uint32_t duration_ms)
{
	bool is_over = false;

	tmr_subscribe_once(mesh, mesh->timers, duration_ms, set_flag, &is_over);
	while (!is_over)
		tevent_loop_once(mesh->events);
}

int64_t mesh_get_counter(struct mesh_node *node, const char *name,
			 const char *labels)
{
	return cnt_get_value(cnt_get_counter(node->counters, CNT_KIND_COUNTER,
					     name, labels, ""));
}

int64_t mesh_count_waits(struct mesh_node *node, const char *class)
{
	GString *text = g_string_new(NULL);
	char *name = g_strdup_printf(
		"loom_gate_wait_seconds_count{class=\"%s\"} ", class);
	const char *line;
	int64_t count;

	cnt_print(node->counters, text);
	line = strstr(text->str, name);
	count = line ? g_ascii_strtoll(line + strlen(name), NULL, 10) : -1;
	g_free(name);
	g_string_free(text, TRUE);
	return count;
}

static bool is_command_taken(void *data)
{
	struct mesh_node *node = data;

	return mesh_get_counter(node, "loom_commands_total", NULL) >=
	       node->command_count;
}

void mesh_send_heartbeats(struct mesh *mesh, struct mesh_node *node,
			  uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		tr_handle_heartbeat(node->traffic, 0, 0);
	node->command_count += count;
	mesh_run_until(mesh, is_command_taken, node);
}

void mesh_tell_slots(struct mesh *mesh, struct mesh_node *node, uint32_t slots)
{
	node->command_count++;
	tr_handle_heartbeat(node->traffic, slots, 0);
	mesh_run_until(mesh, is_command_taken, node);
}

void mesh_drain_target(struct mesh *mesh, struct mesh_node *node)
{
	node->command_count++;
	tr_drain_target(node->traffic);
	mesh_run_until(mesh, is_command_taken, node);
}

void mesh_drain_node(struct mesh *mesh, struct mesh_node *node,
		     uint32_t time_ms)
{
	node->command_count++;
	tr_begin_drain(node->traffic, time_ms);
	mesh_run_until(mesh, is_command_taken, node);
}
