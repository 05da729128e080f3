/*
 * Spreading over loopback: several services in one process on one loop, with
 * the stand-in of the platform and its faults.
 *
 * At each snapshot of each node two invariants are checked: the sequence never
 * falls, not even over a restart of the node, and every service that a document
 * calls is there.
 */
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
#define TURNS_MAX 4000U
#define BODY_BYTES_MAX (4U * 1024U * 1024U)

#define NEWER_MANIFEST                                                         \
	"{\"sequence\":1000000,\"write_id\":\"x\",\"services\":["              \
	"{\"name\":\"plans\",\"version\":9,\"hash\":\"00000000000000aa\","     \
	"\"move\":\"none\",\"share_permille\":0,\"step\":0}],\"domains\":[]}"

/* Each failure domain calls the platform by an address of its own. */
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
	bool is_cut; /* from the nodes that are not */
	uint64_t sequence;
	uint64_t floor; /* sequence before its last restart */
	struct spr_peer *peers;
};

struct mesh {
	struct tevent_context *events;
	struct tmr_service *timers;
	struct cnt_registry *counters;
	struct api_server *server;
	struct node nodes[NODE_COUNT];
	const struct spr_peer *extra_peer; /* claimed to every node, or NULL */
	uint32_t start_count;
};

static bool can_reach(const struct node *from, const struct node *to)
{
	return from != to && from->spread && to->spread &&
	       from->is_cut == to->is_cut;
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
	CU_ASSERT_TRUE(sequence >= node->floor);
	node->sequence = sequence;
	check_snapshot(snapshot);
	for (uint32_t i = 0; i < NODE_COUNT; i++) {
		struct node *other = &node->mesh->nodes[i];

		if (can_reach(node, other))
			spr_note_newer(other->spread, make_address(node),
				       sequence);
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
	node->floor = node->sequence;
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

/* Applies a document of that service; latency_ms makes its content differ. */
static void apply(struct mesh *mesh, const char *name, const char *calls,
		  uint32_t latency_ms)
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
		"timeout_ms", (int)latency_ms, "calls",
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
	for (uint32_t i = 0; i < TURNS_MAX && !condition(mesh, argument); i++)
		tevent_loop_once(mesh->events);
	CU_ASSERT_TRUE_FATAL(condition(mesh, argument));
}

/* What a service of a node is expected to be. */
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

static bool is_everywhere(struct mesh *mesh, const void *argument)
{
	for (uint32_t i = 0; i < NODE_COUNT; i++) {
		if (mesh->nodes[i].spread &&
		    !has_service(&mesh->nodes[i], argument))
			return false;
	}
	return true;
}

static bool is_somewhere(struct mesh *mesh, const void *argument)
{
	for (uint32_t i = 0; i < NODE_COUNT; i++) {
		if (mesh->nodes[i].spread &&
		    has_service(&mesh->nodes[i], argument))
			return true;
	}
	return false;
}

static void wait_everywhere(struct mesh *mesh, const char *name,
			    uint32_t timeout_ms)
{
	struct expected expected = { name, timeout_ms };

	run_until(mesh, is_everywhere, &expected);
}

static void wait_somewhere(struct mesh *mesh, const char *name,
			   uint32_t timeout_ms)
{
	struct expected expected = { name, timeout_ms };

	run_until(mesh, is_somewhere, &expected);
}

/* Opens a mesh in which "plans", and "stock" that calls it, are in force. */
static struct mesh *open_served_mesh(void)
{
	struct mesh *mesh = open_mesh();

	apply(mesh, "plans", "", 100);
	apply(mesh, "stock", "plans", 100);
	wait_everywhere(mesh, "plans", 100);
	wait_everywhere(mesh, "stock", 100);
	return mesh;
}

static void test_change_reaches_all(void)
{
	struct mesh *mesh = open_served_mesh();

	apply(mesh, "plans", "", 200);
	wait_everywhere(mesh, "plans", 200);
	remove_document(mesh, "stock");
	wait_everywhere(mesh, "stock", 0);
	close_mesh(mesh);
}

static void count_copy(const struct store_object *object, void *data)
{
	(*(uint32_t *)data)++;
}

static bool is_swept(struct mesh *mesh, const void *argument)
{
	uint32_t count = 0;

	store_visit_objects(api_get_store(mesh->server), SPR_KEY_ACCEPTED,
			    count_copy, &count);
	return count == *(const uint32_t *)argument;
}

static void test_superseded_copies_go(void)
{
	struct mesh *mesh = open_served_mesh();
	uint32_t named_count = 2;

	for (uint32_t i = 0; i < 4; i++) {
		apply(mesh, "plans", "", 200 + i);
		wait_everywhere(mesh, "plans", 200 + i);
	}
	run_until(mesh, is_swept, &named_count);
	/* What is named is still there for a node that starts alone. */
	for (uint32_t i = 0; i < NODE_COUNT; i++)
		kill_node(mesh, i);
	start_node(mesh, 0);
	wait_everywhere(mesh, "plans", 203);
	remove_document(mesh, "stock");
	named_count = 1;
	run_until(mesh, is_swept, &named_count);
	close_mesh(mesh);
}

/* Returns whether the node holds a lease whose key begins with prefix. */
struct holder_search {
	const char *holder;
	bool is_found;
};

static void visit_lease(const struct store_object *object, void *data)
{
	struct holder_search *search = data;
	const char *holder =
		json_string_value(json_object_get(object->value, "holder"));

	if (g_strcmp0(holder, search->holder) == 0)
		search->is_found = true;
}

static bool holds_lease(struct mesh *mesh, uint32_t index)
{
	struct holder_search search = { mesh->nodes[index].holder, false };

	store_visit_objects(api_get_store(mesh->server), "system/lease/",
			    visit_lease, &search);
	return search.is_found;
}

static void test_relays_die(void)
{
	struct mesh *mesh = open_served_mesh();
	uint32_t killed_count = 0;

	for (uint32_t i = 0; i < NODE_COUNT; i++) {
		if (!holds_lease(mesh, i))
			continue;
		kill_node(mesh, i);
		killed_count++;
	}
	CU_ASSERT_TRUE(killed_count > 0 && killed_count < NODE_COUNT);
	apply(mesh, "plans", "", 200);
	wait_everywhere(mesh, "plans", 200);
	close_mesh(mesh);
}

static void test_half_restarts(void)
{
	struct mesh *mesh = open_served_mesh();

	for (uint32_t i = 0; i < NODE_COUNT / 2; i++)
		kill_node(mesh, i);
	apply(mesh, "plans", "", 200);
	for (uint32_t i = 0; i < NODE_COUNT / 2; i++)
		start_node(mesh, i);
	wait_everywhere(mesh, "plans", 200);
	close_mesh(mesh);
}

static void test_outage_after_write(void)
{
	struct mesh *mesh = open_served_mesh();

	apply(mesh, "plans", "", 200);
	wait_somewhere(mesh, "plans", 200);
	set_faults(mesh, "{\"outage\":true}");
	wait_everywhere(mesh, "plans", 200);
	/* A fresh node learns it from its peers alone. */
	kill_node(mesh, 0);
	start_node(mesh, 0);
	wait_everywhere(mesh, "plans", 200);
	close_mesh(mesh);
}

static void set_domain_cut(struct mesh *mesh, uint32_t domain, bool is_cut)
{
	for (uint32_t i = 0; i < NODE_COUNT; i++) {
		if (mesh->nodes[i].domain == domain)
			mesh->nodes[i].is_cut = is_cut;
	}
}

static bool is_domain_reached(struct mesh *mesh, const void *argument)
{
	const struct expected expected = { "plans", 200 };
	uint32_t domain = *(const uint32_t *)argument;

	for (uint32_t i = 0; i < NODE_COUNT; i++) {
		if (mesh->nodes[i].domain == domain &&
		    !has_service(&mesh->nodes[i], &expected))
			return false;
	}
	return true;
}

static void test_domain_is_cut_off(void)
{
	struct mesh *mesh = open_served_mesh();
	const struct expected before = { "plans", 100 };
	uint32_t reached = 0;

	set_domain_cut(mesh, 1, true);
	set_faults(mesh, "{\"only_from\":\"127.0.0.\"}");
	apply(mesh, "plans", "", 200);
	run_until(mesh, is_domain_reached, &reached);
	for (uint32_t i = 0; i < NODE_COUNT; i++) {
		if (mesh->nodes[i].domain == 1)
			CU_ASSERT_TRUE(has_service(&mesh->nodes[i], &before));
	}
	/* Only its peers come back; the platform stays out of its reach. */
	set_domain_cut(mesh, 1, false);
	wait_everywhere(mesh, "plans", 200);
	close_mesh(mesh);
}

static void test_answers_are_lost(void)
{
	struct mesh *mesh = open_served_mesh();

	for (uint32_t i = 0; i < 5; i++) {
		set_faults(mesh, "{\"lose_answers\":3}");
		apply(mesh, "plans", "", 200 + i);
		wait_everywhere(mesh, "plans", 200 + i);
	}
	close_mesh(mesh);
}

static uint64_t get_platform_sequence(struct mesh *mesh)
{
	const struct store_object *object = store_find_object(
		api_get_store(mesh->server), SPR_KEY_MANIFEST);

	if (!object || object->is_deleted)
		return 0;
	return (uint64_t)json_integer_value(
		json_object_get(object->value, "sequence"));
}

static bool is_written_back(struct mesh *mesh, const void *argument)
{
	return get_platform_sequence(mesh) > *(const uint64_t *)argument;
}

static void check_restore(struct mesh *mesh)
{
	uint64_t before;

	apply(mesh, "plans", "", 300);
	wait_everywhere(mesh, "plans", 300);
	before = get_platform_sequence(mesh);
	set_faults(mesh, "{\"restore\":\"old\"}");
	CU_ASSERT_TRUE(get_platform_sequence(mesh) < before);
	run_until(mesh, is_written_back, &before);
	wait_everywhere(mesh, "plans", 300);
	wait_everywhere(mesh, "stock", 100);
	/* A further service enters, and nothing else goes. */
	apply(mesh, "later", "stock", 100);
	wait_everywhere(mesh, "later", 100);
	wait_everywhere(mesh, "plans", 300);
	wait_everywhere(mesh, "stock", 100);
	close_mesh(mesh);
}

static void test_older_state_is_restored(void)
{
	struct mesh *mesh = open_served_mesh();

	set_faults(mesh, "{\"save\":\"old\"}");
	check_restore(mesh);
}

static void test_empty_state_is_restored(void)
{
	struct mesh *mesh = open_mesh();

	set_faults(mesh, "{\"save\":\"old\"}");
	apply(mesh, "plans", "", 100);
	apply(mesh, "stock", "plans", 100);
	wait_everywhere(mesh, "stock", 100);
	check_restore(mesh);
}

/* Writes the manifest with a failure domain out, as an operator does. */
static char *take_out(struct mesh *mesh, const char *name)
{
	struct store *store = api_get_store(mesh->server);
	const struct store_object *object =
		store_find_object(store, SPR_KEY_MANIFEST);
	char *text = json_dumps(object->value, 0);
	struct doc_manifest *manifest =
		doc_parse_manifest(mesh, text, strlen(text), NULL);
	struct doc_manifest *next =
		spr_make_domain_manifest(mesh, manifest, name, true);
	uint64_t version = object->version;
	json_t *value;

	free(text);
	CU_ASSERT_PTR_NOT_NULL_FATAL(next);
	CU_ASSERT_PTR_NULL(spr_make_domain_manifest(mesh, next, name, true));
	next->write_id = "operator";
	value = json_loads(doc_format_manifest(mesh, next), 0, NULL);
	CU_ASSERT_EQUAL(store_put_object(store, SPR_KEY_MANIFEST, value,
					 version, &version),
			STORE_OK);
	json_decref(value);
	return doc_format_manifest(mesh, next);
}

static bool is_out_everywhere(struct mesh *mesh, const void *argument)
{
	for (uint32_t i = 0; i < NODE_COUNT; i++) {
		struct doc_snapshot *snapshot =
			spr_get_snapshot(mesh->nodes[i].spread);

		if (!snapshot || !doc_is_domain_out(snapshot, argument))
			return false;
	}
	return true;
}

struct offer {
	uint32_t status;
};

static void note_offer(const struct hc_answer *answer, void *data)
{
	struct offer *offer = data;

	offer->status = answer->error ? 1 : answer->status;
}

static bool is_answered(struct mesh *mesh, const void *argument)
{
	return ((const struct offer *)argument)->status != 0;
}

/* Offers a manifest to a node; returns the status of its answer. */
static uint32_t offer_manifest(struct mesh *mesh, uint32_t index,
			       const char *manifest)
{
	struct hc_loop *loop = hc_new_loop(mesh, mesh->events, NULL);
	struct offer offer = { 0 };
	struct hc_options options = {
		.method = "POST",
		.url = talloc_asprintf(mesh, "http://%s/spread/manifest",
				       make_address(&mesh->nodes[index])),
		.body = manifest,
		.body_size = strlen(manifest),
		.timeout_ms = 5000,
		.answer_bytes_max = BODY_BYTES_MAX,
	};

	hc_send(mesh, loop, &options, note_offer, &offer);
	run_until(mesh, is_answered, &offer);
	return offer.status;
}

/* The platform goes away before any watch has seen the write. */
static void test_domain_goes_out_in_outage(void)
{
	struct mesh *mesh = open_served_mesh();
	char *manifest = take_out(mesh, "a");
	char *unsigned_manifest;
	uint64_t start_ms;

	set_faults(mesh, "{\"outage\":true}");
	start_ms = tmr_get_now_ms(mesh->timers);
	unsigned_manifest = talloc_strdup(
		mesh,
		"{\"sequence\":1000,\"write_id\":\"\",\"services\":[],"
		"\"domains\":[]}");
	CU_ASSERT_EQUAL(offer_manifest(mesh, 1, unsigned_manifest), 409);
	CU_ASSERT_EQUAL(offer_manifest(mesh, 1, "{"), 409);
	CU_ASSERT_EQUAL(offer_manifest(mesh, 1, NEWER_MANIFEST), 409);
	CU_ASSERT_EQUAL(offer_manifest(mesh, 1, manifest), 200);
	CU_ASSERT_EQUAL(offer_manifest(mesh, 1, manifest), 409);
	run_until(mesh, is_out_everywhere, "a");
	printf("\n    out everywhere after %u ms ",
	       (unsigned int)(tmr_get_now_ms(mesh->timers) - start_ms));
	close_mesh(mesh);
}

/* Half of the domain's platform calls fail, and an update crosses. */
static void test_domain_goes_out_while_cut(void)
{
	struct mesh *mesh = open_served_mesh();

	apply(mesh, "plans", "", 200);
	take_out(mesh, "b");
	api_answer_watches(mesh->server);
	set_faults(mesh, "{\"only_from\":\"127.0.0.\"}");
	run_until(mesh, is_out_everywhere, "b");
	wait_everywhere(mesh, "plans", 200);
	run_until(mesh, is_out_everywhere, "b");
	close_mesh(mesh);
}

/* A peer that answers what a test gives it. */
struct bad_peer {
	struct mesh *mesh;
	struct web_server *server;
	struct spr_peer claim;
	char *manifest;
	const char *bundle; /* NULL: the connection breaks */
	uint32_t request_count;
};

static void answer_badly(struct web_request *request, void *data)
{
	struct bad_peer *peer = data;
	const char *text = peer->bundle;

	peer->request_count++;
	if (strcmp(web_get_path(request), "/spread/manifest") == 0)
		text = peer->manifest;
	if (text)
		web_reply(request, 200, "application/json", text, strlen(text));
	else
		web_abort(request);
}

static bool is_asked_again(struct mesh *mesh, const void *argument)
{
	return ((const struct bad_peer *)argument)->request_count >= 6;
}

static void try_bad_peer(const char *format, const char *bundle)
{
	struct mesh *mesh = open_served_mesh();
	uint64_t sequence = get_platform_sequence(mesh);
	struct bad_peer peer = { .mesh = mesh, .bundle = bundle };
	struct web_options web = { .address = "127.0.3.1",
				   .body_bytes_max = BODY_BYTES_MAX,
				   .fn = answer_badly,
				   .data = &peer };

	peer.manifest = talloc_strdup(mesh, format);
	peer.server = web_new_server(mesh, mesh->events, &web, NULL);
	peer.claim.address = talloc_asprintf(mesh, "127.0.3.1:%u",
					     web_get_port(peer.server));
	peer.claim.failure_domain = "a";
	peer.claim.sequence = 1000000;
	mesh->extra_peer = &peer.claim;
	run_until(mesh, is_asked_again, &peer);
	for (uint32_t i = 0; i < NODE_COUNT; i++)
		CU_ASSERT_EQUAL(mesh->nodes[i].sequence, sequence);
	/* The right peers are heard beside it. */
	apply(mesh, "plans", "", 200);
	wait_everywhere(mesh, "plans", 200);
	TALLOC_FREE(peer.server);
	mesh->extra_peer = NULL;
	close_mesh(mesh);
}

static void test_bad_peers(void)
{
	try_bad_peer("{", NULL);
	try_bad_peer(
		"{\"sequence\":1,\"write_id\":\"x\",\"services\":[],"
		"\"domains\":[]}",
		NULL);
	try_bad_peer(NEWER_MANIFEST, NULL);
	try_bad_peer(NEWER_MANIFEST, "{\"documents\":[]}");
	try_bad_peer(NEWER_MANIFEST,
		     "{\"documents\":[{\"name\":\"plans\",\"document\":"
		     "{\"service\":\"plans\",\"versions\":[\"v1\"],"
		     "\"current\":\"v1\",\"routes\":[{\"name\":\"all\","
		     "\"path\":\"/\",\"timeout_ms\":1}]}}]}");
}

static const CU_TestInfo tests[] = {
	{ "a change reaches all", test_change_reaches_all },
	{ "superseded copies go", test_superseded_copies_go },
	{ "relays die", test_relays_die },
	{ "half of the nodes restart", test_half_restarts },
	{ "outage right after a write", test_outage_after_write },
	{ "a failure domain is cut off", test_domain_is_cut_off },
	{ "answers to writes are lost", test_answers_are_lost },
	{ "an older state is restored", test_older_state_is_restored },
	{ "an empty state is restored", test_empty_state_is_restored },
	{ "domain goes out in an outage", test_domain_goes_out_in_outage },
	{ "domain goes out while it is cut off",
	  test_domain_goes_out_while_cut },
	{ "bad peers change nothing", test_bad_peers },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
	return scr_run_suite("spread_mesh", tests);
}
