/*
 * Tests of the steps of a move over loopback: recovery from a crash, a lost
 * response, a pause and a race, and the local limit of each node.
 */
#include "fixture.h"

#define BOTH 3U
#define ONLY_FIRST 1U
#define ONLY_SECOND 2U

static bool is_status_running(struct fixture *fixture)
{
	struct mv_state state;

	return fixture_read_state(fixture, &state) &&
	       state.phase == DOC_MOVE_RUNNING;
}

static bool is_manifest_running(struct fixture *fixture)
{
	struct doc_manifest_service entry = fixture_read_entry(fixture);

	return entry.move_state == DOC_MOVE_RUNNING &&
	       entry.share_permille == 40;
}

static bool is_manifest_taken_back(struct fixture *fixture)
{
	struct doc_manifest_service entry = fixture_read_entry(fixture);

	return entry.move_state == DOC_MOVE_TAKEN_BACK &&
	       entry.share_permille == 0;
}

static bool is_manifest_done(struct fixture *fixture)
{
	return fixture_read_entry(fixture).move_state == DOC_MOVE_DONE;
}

/* Adds one sample of calls of a version on a node. */
static void note_calls(struct fixture *fixture, size_t node,
		       const char *version, uint32_t good, uint32_t failed)
{
	struct tr_sample sample = {
		.service = "orders",
		.route = "all",
		.version = version,
		.target = "127.0.1.1:8081",
		.failure_domain = "a",
		.slot = mv_get_slot(tmr_get_wall_ms(fixture->clock)),
	};

	for (uint32_t i = 0; i < good; i++)
		mv_add_call(&sample.counts, MV_OUTCOME_GOOD, 5000);
	for (uint32_t i = 0; i < failed; i++)
		mv_add_call(&sample.counts, MV_OUTCOME_FAILED, 0);
	rls_record_sample(&sample, fixture->nodes[node].release);
}

static void run_calls(struct fixture *fixture, uint32_t seconds,
		      uint32_t failed)
{
	for (uint32_t i = 0; i < seconds; i++) {
		for (size_t node = 0; node < FIXTURE_NODES; node++) {
			note_calls(fixture, node, "v1", 100, 0);
			note_calls(fixture, node, "v2", 20 - failed, failed);
		}
		fixture_run_for(fixture, 1000);
	}
}

static void test_good_move_ends(void)
{
	struct fixture *fixture = fixture_open();
	struct mv_state state;

	fixture_set_members(fixture, BOTH);
	fixture_run_until(fixture, is_manifest_running);
	for (int i = 0; i < 500 && !is_manifest_done(fixture); i++)
		run_calls(fixture, 1, 0);
	CU_ASSERT_TRUE(is_manifest_done(fixture));
	CU_ASSERT_TRUE(fixture_read_state(fixture, &state));
	CU_ASSERT_EQUAL(state.phase, DOC_MOVE_DONE);
	CU_ASSERT_EQUAL(fixture_read_entry(fixture).share_permille, 1000);
	fixture_close(fixture);
}

/* Each node has few calls; the lease holder analyzes those of both. */
static void test_bad_move_is_taken_back(void)
{
	struct fixture *fixture = fixture_open();
	struct mv_state state;

	fixture_set_members(fixture, BOTH);
	fixture_run_until(fixture, is_manifest_running);
	for (int i = 0; i < 60 && !is_manifest_taken_back(fixture); i++)
		run_calls(fixture, 1, 5);
	CU_ASSERT_TRUE(is_manifest_taken_back(fixture));
	CU_ASSERT_TRUE(fixture_read_state(fixture, &state));
	CU_ASSERT_EQUAL(state.reason, MV_REASON_BAD);
	fixture_close(fixture);
}

/*
 * Only the node without the lease has calls, so the move is taken back only if
 * its reports reach the lease holder.
 */
static void test_reports_reach_lease_holder(void)
{
	struct fixture *fixture = fixture_open();
	const struct store_object *lease;
	size_t other;

	fixture_set_members(fixture, BOTH);
	fixture_run_until(fixture, is_manifest_running);
	lease = fixture_find(fixture, RLS_KEY_LEASE "orders");
	other = strcmp(json_string_value(
			       json_object_get(lease->value, "holder")),
		       fixture->nodes[0].name) == 0
			? 1
			: 0;
	for (int i = 0; i < 60 && !is_manifest_taken_back(fixture); i++) {
		note_calls(fixture, other, "v1", 100, 0);
		note_calls(fixture, other, "v2", 10, 10);
		fixture_run_for(fixture, 1000);
	}
	CU_ASSERT_TRUE(is_manifest_taken_back(fixture));
	fixture_close(fixture);
}

/*
 * The lease holder is killed after it wrote the status and before it wrote the
 * manifest. The next lease holder must write the manifest.
 */
static void test_killed_between_writes(void)
{
	struct fixture *fixture = fixture_open();

	fixture_set_members(fixture, ONLY_FIRST);
	for (int i = 0; i < FIXTURE_ROUNDS_MAX && !is_status_running(fixture);
	     i++) {
		fixture_spread(fixture);
		tmr_advance(fixture->clock, FIXTURE_ROUND_MS);
		fixture_run_loop_until(fixture, is_status_running);
	}
	CU_ASSERT_TRUE(is_status_running(fixture));
	CU_ASSERT_FALSE(is_manifest_running(fixture));
	fixture_kill_node(fixture, 0);
	fixture_set_members(fixture, ONLY_SECOND);
	fixture_run_until(fixture, is_manifest_running);
	fixture_close(fixture);
}

/*
 * The response to the write of the status is lost. The step must not be written
 * twice, and the move must continue.
 */
static void test_lost_response(void)
{
	struct fixture *fixture = fixture_open();
	uint64_t version;

	fixture_set_members(fixture, ONLY_FIRST);
	for (int i = 0;
	     i < FIXTURE_ROUNDS_MAX && !fixture_get_status_version(fixture);
	     i++) {
		const struct store_object *lease =
			fixture_find(fixture, RLS_KEY_LEASE "orders");

		if (lease)
			wiring_set_faults(fixture->wiring,
					  "{\"lose_answers\":1}");
		fixture_run_round(fixture);
	}
	version = fixture_get_status_version(fixture);
	fixture_run_until(fixture, is_manifest_running);
	CU_ASSERT_EQUAL(version, 1);
	CU_ASSERT_EQUAL(fixture_get_status_version(fixture), 1);
	fixture_close(fixture);
}

/* Writes a state as another process would, without answering watches. */
static enum store_outcome put_state(struct fixture *fixture,
				    const struct mv_state *state,
				    uint64_t expected_version)
{
	const struct store_object *object = fixture_find(fixture, STATUS_KEY);
	json_t *value = rls_merge_status(object->value, "orders", state, NULL);
	enum store_outcome outcome;
	uint64_t ignored;

	json_object_set_new(value, "write_id", json_string("other"));
	outcome = store_put_object(fixture->store, STATUS_KEY, value,
				   expected_version, &ignored);
	json_decref(value);
	return outcome;
}

/*
 * The lease holder is paused while an operator takes the move back. When it
 * resumes, its next step is due; it must not overwrite the operator's state.
 */
static void test_paused_lease_holder(void)
{
	struct fixture *fixture = fixture_open();
	struct mv_state state;
	uint64_t version;

	fixture_set_members(fixture, ONLY_FIRST);
	fixture_run_until(fixture, is_manifest_running);
	/* Lets the writes in progress finish before the pause. */
	fixture_run_for(fixture, 1000);
	CU_ASSERT_TRUE(fixture_read_state(fixture, &state));
	version = fixture_get_status_version(fixture);
	CU_ASSERT_TRUE(mv_take_back(&state, "operator",
				    tmr_get_wall_ms(fixture->clock), NULL));
	CU_ASSERT_EQUAL(put_state(fixture, &state, version), STORE_OK);
	/* A second write on the same version is refused. */
	CU_ASSERT_EQUAL(put_state(fixture, &state, version), STORE_CONFLICT);
	/* The step is due at once; watches are not answered. */
	tmr_advance(fixture->clock, 300000);
	fixture_run_until(fixture, is_manifest_taken_back);
	CU_ASSERT_TRUE(fixture_read_state(fixture, &state));
	CU_ASSERT_EQUAL(state.phase, DOC_MOVE_TAKEN_BACK);
	CU_ASSERT_EQUAL(state.reason, MV_REASON_OPERATOR);
	CU_ASSERT_EQUAL(fixture_get_status_version(fixture), version + 1);
	fixture_close(fixture);
}

/* Each node knows only itself as a member, so both compete for the lease. */
static void test_two_competing_nodes(void)
{
	struct fixture *fixture = fixture_open();

	for (size_t i = 0; i < FIXTURE_NODES; i++) {
		struct mem_member self = {
			.self = { .address = "127.0.0.1",
				  .admin_port = web_get_port(
					  fixture->nodes[i].server),
				  .failure_domain = "a",
				  .service = "orders",
				  .version = "v2",
				  .phase = RT_PHASE_SERVING }
		};

		rls_set_members(fixture->nodes[i].release, &self, 1);
	}
	fixture_run_until(fixture, is_manifest_running);
	fixture_run_for(fixture, 5000);
	CU_ASSERT_EQUAL(fixture_get_status_version(fixture), 1);
	CU_ASSERT_TRUE(is_manifest_running(fixture));
	fixture_close(fixture);
}

/* After a change of the document the same move continues at its share. */
static void test_document_changes(void)
{
	struct fixture *fixture = fixture_open();
	struct mv_state state;
	uint64_t version;

	fixture_set_members(fixture, ONLY_FIRST);
	fixture_run_until(fixture, is_manifest_running);
	fixture_put_document(fixture, 2);
	CU_ASSERT_FALSE(is_manifest_running(fixture));
	fixture_run_until(fixture, is_manifest_running);
	CU_ASSERT_EQUAL(fixture_read_entry(fixture).document_version, 2);
	CU_ASSERT_TRUE(fixture_read_state(fixture, &state));
	CU_ASSERT_EQUAL(state.document_version, 2);
	/* A lease holder with an outdated snapshot writes nothing. */
	version = fixture_get_status_version(fixture);
	fixture->is_snapshot_held = true;
	fixture_give_snapshot(fixture, 1);
	fixture_run_for(fixture, 5000);
	CU_ASSERT_EQUAL(fixture_get_status_version(fixture), version);
	fixture_close(fixture);
}

static void store_limit(const char *service, uint32_t limit_permille,
			void *data)
{
	uint32_t *limit = data;

	*limit = limit_permille;
}

static uint32_t get_limit(const struct fixture *fixture, size_t node)
{
	uint32_t limit = DOC_SHARE_ALL_PERMILLE;

	rls_each_limit(fixture->nodes[node].release, store_limit, &limit);
	return limit;
}

/*
 * During an outage of the platform no share rises. After finish_by all calls go
 * to the old version if it still has a target.
 */
static void check_outage(bool has_old_target, uint32_t limit_wanted)
{
	struct fixture *fixture = fixture_open();
	struct doc_manifest_service entry;

	fixture->has_old_target = has_old_target;
	fixture_set_members(fixture, BOTH);
	fixture_run_until(fixture, is_manifest_running);
	fixture_spread(fixture);
	wiring_set_faults(fixture->wiring, "{\"outage\":true}");
	run_calls(fixture, 60, 0);
	entry = fixture_read_entry(fixture);
	CU_ASSERT_EQUAL(entry.share_permille, 40);
	CU_ASSERT_EQUAL(get_limit(fixture, 0), DOC_SHARE_ALL_PERMILLE);
	/* From 10:01 to after 10:10:10, finish_by plus END_GRACE_MS. */
	tmr_advance(fixture->clock, 560000);
	fixture_run_for(fixture, 1000);
	CU_ASSERT_EQUAL(get_limit(fixture, 0), limit_wanted);
	CU_ASSERT_EQUAL(get_limit(fixture, 1), limit_wanted);
	fixture_close(fixture);
}

static void test_platform_outage(void)
{
	check_outage(true, 0);
	check_outage(false, DOC_SHARE_ALL_PERMILLE);
}

/* A node lowers the share from its own calls, without the platform. */
static void test_local_limit(void)
{
	struct fixture *fixture = fixture_open();

	fixture_set_members(fixture, BOTH);
	fixture_run_until(fixture, is_manifest_running);
	fixture_spread(fixture);
	wiring_set_faults(fixture->wiring, "{\"outage\":true}");
	for (int i = 0; i < 10; i++) {
		note_calls(fixture, 1, "v1", 100, 0);
		note_calls(fixture, 1, "v2", 0, 50);
		fixture_run_for(fixture, 1000);
	}
	CU_ASSERT_EQUAL(get_limit(fixture, 1), 0);
	CU_ASSERT_EQUAL(get_limit(fixture, 0), DOC_SHARE_ALL_PERMILLE);
	CU_ASSERT_EQUAL(fixture->nodes[1].limit_changes, 1);
	fixture_close(fixture);
}

static const CU_TestInfo tests[] = {
	{ "a good move finishes", test_good_move_ends },
	{ "a bad move is taken back", test_bad_move_is_taken_back },
	{ "reports reach the lease holder", test_reports_reach_lease_holder },
	{ "lease holder killed between two writes",
	  test_killed_between_writes },
	{ "lost response to a write", test_lost_response },
	{ "operator takes back while lease holder is paused",
	  test_paused_lease_holder },
	{ "two nodes compete for the lease", test_two_competing_nodes },
	{ "document changes during a move", test_document_changes },
	{ "platform outage", test_platform_outage },
	{ "local limit", test_local_limit },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("steps of a move", tests);
}
