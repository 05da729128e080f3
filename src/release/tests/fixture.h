/*
 * Two nodes with the release module, connected to one fake platform. The clock
 * of the moves is virtual; requests to the platform take real time.
 */
#ifndef RLS_TESTS_FIXTURE_H
#define RLS_TESTS_FIXTURE_H

#include <string.h>
#include "../../platform/tests/wiring.h"
#include "loom/release.h"
#include "loom/spread.h"

#define FIXTURE_START_MS 1796378400000ULL /* 2026-12-04T10:00:00Z */
#define FIXTURE_ROUNDS_MAX 20000
#define FIXTURE_ROUND_MS 100U
#define FIXTURE_PAUSE_MS 1U
#define FIXTURE_NODES 2
#define STATUS_KEY "status/orders"

static const char fixture_text[] =
	"{\"service\":\"orders\",\"versions\":[\"v1\",\"v2\"],"
	"\"current\":\"v1\",\"routes\":[{\"name\":\"all\",\"path\":\"/\","
	"\"timeout_ms\":1000}],\"limits\":{\"slots\":12,\"connections\":120,"
	"\"queue_length\":24,\"request_body_bytes\":1048576,"
	"\"header_bytes\":16384},\"move\":{\"from\":\"v1\",\"to\":\"v2\","
	"\"start\":\"2026-12-04T10:00:00Z\",\"finish_by\":"
	"\"2026-12-04T10:10:00Z\",\"steps_percent\":[4,50,100],"
	"\"judged_on\":{\"error_percent\":1.0,\"latency_factor\":1.5},"
	"\"soak_s\":10},\"objective\":{\"availability_percent\":99.9,"
	"\"latency_ms\":250,\"latency_percent\":99},\"calls\":[]}";

struct fixture;

struct fixture_node {
	struct fixture *fixture;
	struct plat_client *platform;
	struct web_server *server;
	char *name;
	struct rls_service *release; /* NULL: the node was killed */
	uint32_t limit_changes;
};

struct fixture {
	struct wiring *wiring;
	struct store *store;
	struct tmr_service *clock;
	struct fixture_node nodes[FIXTURE_NODES];
	uint64_t document_version;
	uint64_t seen_version; /* of the manifest object */
	bool is_snapshot_held; /* new manifests do not reach the nodes */
	bool has_old_target;
};

static void fixture_note_change(void *data)
{
	struct fixture_node *node = data;

	node->limit_changes++;
}

static void fixture_handle_web(struct web_request *request, void *data)
{
	struct fixture_node *node = data;

	if (node->release)
		rls_handle_report(node->release, request);
	else
		web_abort(request);
}

static void fixture_set_members(struct fixture *fixture, uint32_t node_mask)
{
	struct mem_member members[FIXTURE_NODES] = { 0 };
	size_t count = 0;

	for (size_t i = 0; i < FIXTURE_NODES; i++) {
		struct mem_announcement *self = &members[count].self;

		if (!(node_mask & 1U << i))
			continue;
		self->address = "127.0.0.1";
		self->admin_port = web_get_port(fixture->nodes[i].server);
		self->failure_domain = "a";
		self->service = "orders";
		/* The first node runs v1 unless it is the only one. */
		self->version =
			i == 0 && node_mask != 1U && fixture->has_old_target
				? "v1"
				: "v2";
		self->phase = RT_PHASE_SERVING;
		count++;
	}
	for (size_t i = 0; i < FIXTURE_NODES; i++) {
		if (fixture->nodes[i].release)
			rls_set_members(fixture->nodes[i].release, members,
					count);
	}
}

static const struct store_object *fixture_find(struct fixture *fixture,
					       const char *key)
{
	return store_find_object(fixture->store, key);
}

/* Returns the manifest in the store, owned by ctx. */
static struct doc_manifest *fixture_read_manifest(struct fixture *fixture,
						  TALLOC_CTX *ctx)
{
	char *text = json_dumps(fixture_find(fixture, SPR_KEY_MANIFEST)->value,
				JSON_COMPACT);
	struct doc_manifest *manifest =
		doc_parse_manifest(ctx, text, strlen(text), NULL);

	free(text);
	return manifest;
}

static struct doc_manifest_service fixture_read_entry(struct fixture *fixture)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct doc_manifest_service entry = *doc_find_manifest_service(
		fixture_read_manifest(fixture, ctx), "orders");

	entry.name = NULL;
	talloc_free(ctx);
	return entry;
}

static bool fixture_read_state(struct fixture *fixture, struct mv_state *state)
{
	const struct store_object *object = fixture_find(fixture, STATUS_KEY);

	return object && object->value &&
	       rls_parse_status(object->value, state);
}

static uint64_t fixture_get_status_version(struct fixture *fixture)
{
	const struct store_object *object = fixture_find(fixture, STATUS_KEY);

	return object ? object->version : 0;
}

/* Writes a manifest with a new document version, whose move starts over. */
static void fixture_put_document(struct fixture *fixture, uint64_t version)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	const struct store_object *object =
		fixture_find(fixture, SPR_KEY_MANIFEST);
	struct doc_manifest *manifest =
		object ? fixture_read_manifest(fixture, ctx)
		       : doc_new_manifest(ctx);
	struct doc_manifest_service *entry =
		doc_add_manifest_service(manifest, "orders");
	uint64_t ignored;
	json_t *value;

	manifest->sequence++;
	manifest->write_id = "writer";
	entry->document_version = version;
	entry->move_state = DOC_MOVE_WAITING;
	entry->share_permille = 0;
	entry->step_index = 0;
	fixture->document_version = version;
	value = json_loads(doc_format_manifest(ctx, manifest), 0, NULL);
	store_put_object(fixture->store, SPR_KEY_MANIFEST, value,
			 object ? object->version : 0, &ignored);
	json_decref(value);
	talloc_free(ctx);
}

static void fixture_give_snapshot(struct fixture *fixture,
				  uint64_t document_version)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct doc_manifest *manifest = fixture_read_manifest(fixture, ctx);
	struct doc_service *service;
	struct doc_snapshot *snapshot;

	doc_find_manifest_service(manifest, "orders")->document_version =
		document_version;
	service = doc_parse_service(ctx, "orders", fixture_text,
				    strlen(fixture_text), document_version,
				    doc_new_problem_list(ctx));
	snapshot = doc_build_snapshot(manifest, &service, 1, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(snapshot);
	for (size_t i = 0; i < FIXTURE_NODES; i++) {
		if (fixture->nodes[i].release)
			rls_set_snapshot(fixture->nodes[i].release, snapshot);
	}
	doc_unref_snapshot(snapshot);
	talloc_free(ctx);
}

/* Distributes a new manifest to both nodes. */
static void fixture_spread(struct fixture *fixture)
{
	uint64_t version = fixture_find(fixture, SPR_KEY_MANIFEST)->version;

	if (version == fixture->seen_version || fixture->is_snapshot_held)
		return;
	fixture->seen_version = version;
	fixture_give_snapshot(fixture, fixture->document_version);
}

static void fixture_end_pause(uint64_t now_ms, void *data)
{
	bool *is_over = data;

	*is_over = true;
}

typedef bool (*fixture_test_fn)(struct fixture *fixture);

/*
 * Runs the event loop for FIXTURE_PAUSE_MS without advancing the virtual clock;
 * stops earlier when is_met returns true (NULL: never).
 */
static void fixture_run_loop_until(struct fixture *fixture,
				   fixture_test_fn is_met)
{
	struct tmr_subscription *pause;
	bool is_over = false;

	pause = tmr_subscribe_once(fixture->wiring, fixture->wiring->timers,
				   FIXTURE_PAUSE_MS, fixture_end_pause,
				   &is_over);
	while (!is_over && !(is_met && is_met(fixture)))
		tevent_loop_once(fixture->wiring->events);
	if (!is_over)
		talloc_free(pause);
}

/*
 * Advances the virtual clock and runs the event loop. The clock does not
 * advance while no node has the lease, because acquiring it takes real time.
 */
static void fixture_run_round(struct fixture *fixture)
{
	const struct store_object *lease =
		fixture_find(fixture, RLS_KEY_LEASE "orders");
	const char *holder = lease ? json_string_value(json_object_get(
					     lease->value, "holder"))
				   : NULL;

	fixture_spread(fixture);
	if (holder && *holder)
		tmr_advance(fixture->clock, FIXTURE_ROUND_MS);
	fixture_run_loop_until(fixture, NULL);
}

static void fixture_run_for(struct fixture *fixture, uint32_t duration_ms)
{
	for (uint32_t ms = 0; ms < duration_ms; ms += FIXTURE_ROUND_MS)
		fixture_run_round(fixture);
}

static void fixture_run_until(struct fixture *fixture, fixture_test_fn is_met)
{
	for (int i = 0; i < FIXTURE_ROUNDS_MAX && !is_met(fixture); i++)
		fixture_run_round(fixture);
	CU_ASSERT_TRUE_FATAL(is_met(fixture));
}

static void fixture_start_node(struct fixture *fixture, size_t index)
{
	struct fixture_node *node = &fixture->nodes[index];
	struct rls_options options = {
		.events = fixture->wiring->events,
		.timers = fixture->clock,
		.counters = fixture->wiring->counters,
		.platform = node->platform,
		.node = node->name,
		.on_change = fixture_note_change,
		.data = node,
	};

	node->release = rls_new_service(fixture, &options, NULL);
}

static struct fixture *fixture_open(void)
{
	struct fixture *fixture = talloc_zero(NULL, struct fixture);

	fixture->wiring = wiring_open(WIRING_TIMEOUT_MS);
	fixture->store = api_get_store(fixture->wiring->server);
	fixture->clock = tmr_new_virtual(fixture, FIXTURE_START_MS);
	fixture->has_old_target = true;
	for (size_t i = 0; i < FIXTURE_NODES; i++) {
		struct fixture_node *node = &fixture->nodes[i];
		struct web_options options = { .address = "127.0.0.1",
					       .body_bytes_max = 1U << 20,
					       .fn = fixture_handle_web,
					       .data = node };

		node->fixture = fixture;
		node->platform = wiring_new_client(fixture->wiring, (uint32_t)i,
						   WIRING_TIMEOUT_MS);
		node->server = web_new_server(fixture, fixture->wiring->events,
					      &options, NULL);
		node->name = talloc_asprintf(fixture, "127.0.0.1:%u",
					     web_get_port(node->server));
		fixture_start_node(fixture, i);
	}
	fixture_put_document(fixture, 1);
	return fixture;
}

/* Kills a node without a shutdown and deletes its lease, as if expired. */
static void fixture_kill_node(struct fixture *fixture, size_t index)
{
	const struct store_object *lease;
	uint64_t ignored;

	TALLOC_FREE(fixture->nodes[index].release);
	lease = fixture_find(fixture, RLS_KEY_LEASE "orders");
	if (lease && lease->value)
		store_delete_object(fixture->store, lease->key, lease->version,
				    &ignored);
	api_answer_watches(fixture->wiring->server);
}

static void fixture_close(struct fixture *fixture)
{
	for (size_t i = 0; i < FIXTURE_NODES; i++) {
		TALLOC_FREE(fixture->nodes[i].release);
		TALLOC_FREE(fixture->nodes[i].server);
		TALLOC_FREE(fixture->nodes[i].platform);
	}
	wiring_close(fixture->wiring);
	talloc_free(fixture);
}

#endif
