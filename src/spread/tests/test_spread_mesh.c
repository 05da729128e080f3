/*
 * Distribution services over loopback: relays, pulls, outages, partitions,
 * restored platforms and misbehaving peers.
 */
#include "mesh_fixture.h"

#define NEWER_MANIFEST                                                         \
	"{\"sequence\":1000000,\"write_id\":\"x\",\"services\":["              \
	"{\"name\":\"plans\",\"version\":9,\"hash\":\"00000000000000aa\","     \
	"\"move\":\"none\",\"share_permille\":0,\"step\":0}],\"domains\":[]}"

static void test_change_reaches_all_nodes(void)
{
	struct mesh *mesh = open_mesh_with_services();

	apply(mesh, "plans", "", 200);
	wait_all_nodes(mesh, "plans", 200);
	remove_document(mesh, "stock");
	wait_all_nodes(mesh, "stock", 0);
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

static void test_superseded_copies_are_deleted(void)
{
	struct mesh *mesh = open_mesh_with_services();
	uint32_t named_count = 2;

	for (uint32_t i = 0; i < 4; i++) {
		apply(mesh, "plans", "", 200 + i);
		wait_all_nodes(mesh, "plans", 200 + i);
	}
	run_until(mesh, is_swept, &named_count);
	/*
	 * The copies that the manifest names still exist for a node that starts
	 * without peers.
	 */
	for (uint32_t i = 0; i < NODE_COUNT; i++)
		kill_node(mesh, i);
	start_node(mesh, 0);
	wait_all_nodes(mesh, "plans", 203);
	remove_document(mesh, "stock");
	named_count = 1;
	run_until(mesh, is_swept, &named_count);
	close_mesh(mesh);
}

/* Search for a lease with that holder. */
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

static void test_relay_deaths(void)
{
	struct mesh *mesh = open_mesh_with_services();
	uint32_t killed_count = 0;

	for (uint32_t i = 0; i < NODE_COUNT; i++) {
		if (!holds_lease(mesh, i))
			continue;
		kill_node(mesh, i);
		killed_count++;
	}
	CU_ASSERT_TRUE(killed_count > 0 && killed_count < NODE_COUNT);
	apply(mesh, "plans", "", 200);
	wait_all_nodes(mesh, "plans", 200);
	close_mesh(mesh);
}

static void test_half_restarts(void)
{
	struct mesh *mesh = open_mesh_with_services();

	for (uint32_t i = 0; i < NODE_COUNT / 2; i++)
		kill_node(mesh, i);
	apply(mesh, "plans", "", 200);
	for (uint32_t i = 0; i < NODE_COUNT / 2; i++)
		start_node(mesh, i);
	wait_all_nodes(mesh, "plans", 200);
	close_mesh(mesh);
}

static void test_outage_after_write(void)
{
	struct mesh *mesh = open_mesh_with_services();

	apply(mesh, "plans", "", 200);
	wait_any_node(mesh, "plans", 200);
	set_faults(mesh, "{\"outage\":true}");
	wait_all_nodes(mesh, "plans", 200);
	/* A restarted node gets the manifest from its peers alone. */
	kill_node(mesh, 0);
	start_node(mesh, 0);
	wait_all_nodes(mesh, "plans", 200);
	close_mesh(mesh);
}

static void set_domain_partitioned(struct mesh *mesh, uint32_t domain,
				   bool is_partitioned)
{
	for (uint32_t i = 0; i < NODE_COUNT; i++) {
		if (mesh->nodes[i].domain == domain)
			mesh->nodes[i].is_partitioned = is_partitioned;
	}
}

static bool has_domain_update(struct mesh *mesh, const void *argument)
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

static void test_domain_is_partitioned(void)
{
	struct mesh *mesh = open_mesh_with_services();
	const struct expected before = { "plans", 100 };
	uint32_t reached = 0;

	set_domain_partitioned(mesh, 1, true);
	set_faults(mesh, "{\"only_from\":\"127.0.0.\"}");
	apply(mesh, "plans", "", 200);
	run_until(mesh, has_domain_update, &reached);
	for (uint32_t i = 0; i < NODE_COUNT; i++) {
		if (mesh->nodes[i].domain == 1)
			CU_ASSERT_TRUE(has_service(&mesh->nodes[i], &before));
	}
	/* Only the peers are reachable again, the platform is not. */
	set_domain_partitioned(mesh, 1, false);
	wait_all_nodes(mesh, "plans", 200);
	close_mesh(mesh);
}

static void test_answers_are_lost(void)
{
	struct mesh *mesh = open_mesh_with_services();

	for (uint32_t i = 0; i < 5; i++) {
		set_faults(mesh, "{\"lose_answers\":3}");
		apply(mesh, "plans", "", 200 + i);
		wait_all_nodes(mesh, "plans", 200 + i);
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

static void check_recovery_after_restore(struct mesh *mesh)
{
	uint64_t before;

	apply(mesh, "plans", "", 300);
	wait_all_nodes(mesh, "plans", 300);
	before = get_platform_sequence(mesh);
	set_faults(mesh, "{\"restore\":\"old\"}");
	CU_ASSERT_TRUE(get_platform_sequence(mesh) < before);
	run_until(mesh, is_written_back, &before);
	wait_all_nodes(mesh, "plans", 300);
	wait_all_nodes(mesh, "stock", 100);
	/* A new service comes into force, and no other one is removed. */
	apply(mesh, "later", "stock", 100);
	wait_all_nodes(mesh, "later", 100);
	wait_all_nodes(mesh, "plans", 300);
	wait_all_nodes(mesh, "stock", 100);
	close_mesh(mesh);
}

static void test_older_state_is_restored(void)
{
	struct mesh *mesh = open_mesh_with_services();

	set_faults(mesh, "{\"save\":\"old\"}");
	check_recovery_after_restore(mesh);
}

static void test_empty_state_is_restored(void)
{
	struct mesh *mesh = open_mesh();

	set_faults(mesh, "{\"save\":\"old\"}");
	apply(mesh, "plans", "", 100);
	apply(mesh, "stock", "plans", 100);
	wait_all_nodes(mesh, "stock", 100);
	check_recovery_after_restore(mesh);
}

/* Writes the manifest with a failure domain out, as an operator does. */
static char *take_domain_out(struct mesh *mesh, const char *name)
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

static bool is_out_on_all_nodes(struct mesh *mesh, const void *argument)
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

static void handle_offer_answer(const struct hc_answer *answer, void *data)
{
	struct offer *offer = data;

	offer->status = answer->error ? 1 : answer->status;
}

static bool is_answered(struct mesh *mesh, const void *argument)
{
	return ((const struct offer *)argument)->status != 0;
}

/* Offers a manifest to a node; returns the status of the answer. */
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

	hc_send(mesh, loop, &options, handle_offer_answer, &offer);
	run_until(mesh, is_answered, &offer);
	return offer.status;
}

/* The platform fails before a watch has reported the write. */
static void test_domain_goes_out_in_outage(void)
{
	struct mesh *mesh = open_mesh_with_services();
	char *manifest = take_domain_out(mesh, "a");
	char *manifest_without_id;
	uint64_t start_ms;

	set_faults(mesh, "{\"outage\":true}");
	start_ms = tmr_get_now_ms(mesh->timers);
	manifest_without_id = talloc_strdup(
		mesh,
		"{\"sequence\":1000,\"write_id\":\"\",\"services\":[],"
		"\"domains\":[]}");
	CU_ASSERT_EQUAL(offer_manifest(mesh, 1, manifest_without_id), 409);
	CU_ASSERT_EQUAL(offer_manifest(mesh, 1, "{"), 409);
	CU_ASSERT_EQUAL(offer_manifest(mesh, 1, NEWER_MANIFEST), 409);
	CU_ASSERT_EQUAL(offer_manifest(mesh, 1, manifest), 200);
	CU_ASSERT_EQUAL(offer_manifest(mesh, 1, manifest), 409);
	run_until(mesh, is_out_on_all_nodes, "a");
	printf("\n    out on all nodes after %u ms ",
	       (unsigned int)(tmr_get_now_ms(mesh->timers) - start_ms));
	close_mesh(mesh);
}

/*
 * The failure domain cannot reach the platform, and a document changes at the
 * same time.
 */
static void test_domain_goes_out_without_platform(void)
{
	struct mesh *mesh = open_mesh_with_services();

	apply(mesh, "plans", "", 200);
	take_domain_out(mesh, "b");
	api_answer_watches(mesh->server);
	set_faults(mesh, "{\"only_from\":\"127.0.0.\"}");
	run_until(mesh, is_out_on_all_nodes, "b");
	wait_all_nodes(mesh, "plans", 200);
	run_until(mesh, is_out_on_all_nodes, "b");
	close_mesh(mesh);
}

/* A peer that answers with content given by a test. */
struct bad_peer {
	struct mesh *mesh;
	struct web_server *server;
	struct spr_peer claim;
	char *manifest;
	const char *bundle; /* NULL: closes the connection */
	uint32_t request_count;
};

static void answer_bad_content(struct web_request *request, void *data)
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

static bool has_repeated_requests(struct mesh *mesh, const void *argument)
{
	return ((const struct bad_peer *)argument)->request_count >= 6;
}

static void check_bad_peer(const char *manifest, const char *bundle)
{
	struct mesh *mesh = open_mesh_with_services();
	uint64_t sequence = get_platform_sequence(mesh);
	struct bad_peer peer = { .mesh = mesh, .bundle = bundle };
	struct web_options web = { .address = "127.0.3.1",
				   .body_bytes_max = BODY_BYTES_MAX,
				   .fn = answer_bad_content,
				   .data = &peer };

	peer.manifest = talloc_strdup(mesh, manifest);
	peer.server = web_new_server(mesh, mesh->events, &web, NULL);
	peer.claim.address = talloc_asprintf(mesh, "127.0.3.1:%u",
					     web_get_port(peer.server));
	peer.claim.failure_domain = "a";
	peer.claim.sequence = 1000000;
	mesh->extra_peer = &peer.claim;
	run_until(mesh, has_repeated_requests, &peer);
	for (uint32_t i = 0; i < NODE_COUNT; i++)
		CU_ASSERT_EQUAL(mesh->nodes[i].sequence, sequence);
	/* Nodes still pull from the other peers. */
	apply(mesh, "plans", "", 200);
	wait_all_nodes(mesh, "plans", 200);
	TALLOC_FREE(peer.server);
	mesh->extra_peer = NULL;
	close_mesh(mesh);
}

static void test_bad_peers(void)
{
	check_bad_peer("{", NULL);
	check_bad_peer(
		"{\"sequence\":1,\"write_id\":\"x\",\"services\":[],"
		"\"domains\":[]}",
		NULL);
	check_bad_peer(NEWER_MANIFEST, NULL);
	check_bad_peer(NEWER_MANIFEST, "{\"documents\":[]}");
	check_bad_peer(NEWER_MANIFEST,
		       "{\"documents\":[{\"name\":\"plans\",\"document\":"
		       "{\"service\":\"plans\",\"versions\":[\"v1\"],"
		       "\"current\":\"v1\",\"routes\":[{\"name\":\"all\","
		       "\"path\":\"/\",\"timeout_ms\":1}]}}]}");
}

static const CU_TestInfo tests[] = {
	{ "a change reaches all nodes", test_change_reaches_all_nodes },
	{ "superseded copies are deleted", test_superseded_copies_are_deleted },
	{ "the relays die", test_relay_deaths },
	{ "half of the nodes restart", test_half_restarts },
	{ "outage right after a write", test_outage_after_write },
	{ "a failure domain is partitioned", test_domain_is_partitioned },
	{ "answers to writes are lost", test_answers_are_lost },
	{ "an older state is restored", test_older_state_is_restored },
	{ "an empty state is restored", test_empty_state_is_restored },
	{ "a failure domain is taken out in an outage",
	  test_domain_goes_out_in_outage },
	{ "a failure domain without platform is taken out",
	  test_domain_goes_out_without_platform },
	{ "invalid peers change nothing", test_bad_peers },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
	return scr_run_suite("spread_mesh", tests);
}
