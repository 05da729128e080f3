/*
 * Leases over loopback: two competitors for one lease, each with its own
 * client. After every event of the loop at most one of them may hold the lease.
 */
#include <stdlib.h>
#include <string.h>
#include "wiring.h"

#define LEASE_DURATION_MS 600U
#define LEASE_KEY "lease/moves"
#define COMPETITORS 2

struct competitor {
	struct plat_client *client;
	struct plat_lease *lease;
	bool is_reported_held;
	uint64_t fencing;
};

struct fixture {
	struct wiring *wiring;
	struct competitor competitors[COMPETITORS];
	uint64_t fencing_max;
	uint32_t double_holder_count; /* checks at which both held the lease */
	uint32_t regressions;	      /* tenures whose fencing version fell */
};

static void note_change(bool is_held, uint64_t fencing_version, void *data)
{
	struct competitor *competitor = data;

	competitor->is_reported_held = is_held;
	competitor->fencing = fencing_version;
}

static void start_competitor(struct fixture *fixture, int i)
{
	static const char *const names[COMPETITORS] = { "first", "second" };
	struct competitor *competitor = &fixture->competitors[i];

	competitor->lease = plat_compete_for_lease(
		fixture->wiring, competitor->client, LEASE_KEY, names[i],
		LEASE_DURATION_MS, note_change, competitor);
}

static struct fixture *open_fixture(void)
{
	struct fixture *fixture = talloc_zero(NULL, struct fixture);

	fixture->wiring = wiring_open(WIRING_TIMEOUT_MS);
	for (int i = 0; i < COMPETITORS; i++) {
		fixture->competitors[i].client = wiring_new_client(
			fixture->wiring, (uint32_t)i, WIRING_TIMEOUT_MS);
		start_competitor(fixture, i);
	}
	return fixture;
}

static void close_fixture(struct fixture *fixture)
{
	CU_ASSERT_EQUAL(fixture->double_holder_count, 0);
	CU_ASSERT_EQUAL(fixture->regressions, 0);
	for (int i = 0; i < COMPETITORS; i++) {
		talloc_free(fixture->competitors[i].lease);
		talloc_free(fixture->competitors[i].client);
	}
	wiring_close(fixture->wiring);
	talloc_free(fixture);
}

/* Returns the holder, or -1. Counts each check that finds two holders. */
static int find_holder(struct fixture *fixture)
{
	int holder = -1;

	for (int i = 0; i < COMPETITORS; i++) {
		const struct competitor *competitor = &fixture->competitors[i];

		if (!competitor->lease ||
		    !plat_is_lease_held(competitor->lease))
			continue;
		if (holder >= 0)
			fixture->double_holder_count++;
		holder = i;
	}
	return holder;
}

static uint64_t get_version(struct fixture *fixture)
{
	const struct store_object *object = store_find_object(
		api_get_store(fixture->wiring->server), LEASE_KEY);

	return object ? object->version : 0;
}

static const char *get_holder(struct fixture *fixture)
{
	const struct store_object *object = store_find_object(
		api_get_store(fixture->wiring->server), LEASE_KEY);

	return json_string_value(json_object_get(object->value, "holder"));
}

/* Runs until a new tenure begins, and returns its holder. */
static int run_until_tenure(struct fixture *fixture)
{
	struct competitor *competitor;

	for (int i = 0; i < WIRING_TURNS_MAX; i++) {
		int holder = find_holder(fixture);

		competitor = &fixture->competitors[MAX(holder, 0)];
		if (holder >= 0 && competitor->is_reported_held &&
		    competitor->fencing != fixture->fencing_max) {
			if (competitor->fencing < fixture->fencing_max)
				fixture->regressions++;
			fixture->fencing_max = competitor->fencing;
			return holder;
		}
		tevent_loop_once(fixture->wiring->events);
	}
	CU_FAIL("no tenure began");
	return 0;
}

/* Runs until the lease object has been written count more times. */
static void run_until_renewed(struct fixture *fixture, uint64_t count)
{
	uint64_t wanted = get_version(fixture) + count;

	for (int i = 0; i < WIRING_TURNS_MAX && get_version(fixture) < wanted;
	     i++) {
		tevent_loop_once(fixture->wiring->events);
		find_holder(fixture);
	}
	CU_ASSERT_TRUE(get_version(fixture) >= wanted);
}

static void run_until_notified_of_loss(struct fixture *fixture, int holder)
{
	const struct competitor *competitor = &fixture->competitors[holder];

	for (int i = 0; i < WIRING_TURNS_MAX && competitor->is_reported_held;
	     i++) {
		tevent_loop_once(fixture->wiring->events);
		find_holder(fixture);
	}
	CU_ASSERT_FALSE(competitor->is_reported_held);
}

static void test_one_wins_and_renews(void)
{
	struct fixture *fixture = open_fixture();

	run_until_tenure(fixture);
	run_until_renewed(fixture, 3);
	CU_ASSERT_TRUE(find_holder(fixture) >= 0);
	close_fixture(fixture);
}

static void test_released_lease_taken_over(void)
{
	struct fixture *fixture = open_fixture();
	int holder = run_until_tenure(fixture);

	TALLOC_FREE(fixture->competitors[holder].lease);
	run_until_renewed(fixture, 1);
	CU_ASSERT_STRING_EQUAL(get_holder(fixture), "");
	CU_ASSERT_EQUAL(run_until_tenure(fixture), 1 - holder);
	close_fixture(fixture);
}

static void test_cut_off_holder_loses(void)
{
	static const char *const cuts[COMPETITORS] = {
		"{\"only_from\": \"127.0.1.\"}",
		"{\"only_from\": \"127.0.0.\"}"
	};
	struct fixture *fixture = open_fixture();
	int holder = run_until_tenure(fixture);

	wiring_set_faults(fixture->wiring, cuts[holder]);
	CU_ASSERT_EQUAL(run_until_tenure(fixture), 1 - holder);
	wiring_set_faults(fixture->wiring, "{\"only_from\": \"\"}");
	run_until_renewed(fixture, 3);
	close_fixture(fixture);
}

static void test_outage_ends_tenure(const char *outage)
{
	struct fixture *fixture = open_fixture();
	int holder = run_until_tenure(fixture);

	wiring_set_faults(fixture->wiring, outage);
	run_until_notified_of_loss(fixture, holder);
	CU_ASSERT_EQUAL(find_holder(fixture), -1);
	wiring_set_faults(fixture->wiring, "{\"outage\": false}");
	run_until_tenure(fixture);
	close_fixture(fixture);
}

static void test_outage(void)
{
	test_outage_ends_tenure("{\"outage\": true}");
}

static void test_hang(void)
{
	test_outage_ends_tenure("{\"outage\": \"hang\"}");
}

/*
 * The owner must be notified in the same millisecond in which the lease ends,
 * also when the platform does not respond. Runs on virtual time.
 */
static void test_owner_notified_in_time(void)
{
	struct wiring *wiring = wiring_open_virtual(WIRING_TIMEOUT_MS);
	struct competitor competitor = { .client = wiring->client };
	uint32_t mismatches = 0;
	uint32_t held = 0;

	competitor.lease = plat_compete_for_lease(
		wiring, wiring->client, LEASE_KEY, "only", LEASE_DURATION_MS,
		note_change, &competitor);
	for (uint32_t i = 0; i < 4 * LEASE_DURATION_MS; i++) {
		wiring_step(wiring, 1);
		if (plat_is_lease_held(competitor.lease) !=
		    competitor.is_reported_held)
			mismatches++;
		if (competitor.is_reported_held && held++ == LEASE_DURATION_MS)
			wiring_set_faults(wiring, "{\"outage\": \"hang\"}");
	}
	CU_ASSERT_EQUAL(mismatches, 0);
	CU_ASSERT_TRUE(held > LEASE_DURATION_MS);
	CU_ASSERT_FALSE(competitor.is_reported_held);
	talloc_free(competitor.lease);
	wiring_close(wiring);
}

static void test_lost_renewals(void)
{
	struct fixture *fixture = open_fixture();

	run_until_tenure(fixture);
	for (int i = 0; i < 2; i++) {
		wiring_set_faults(fixture->wiring, "{\"lose_answers\": 1}");
		run_until_renewed(fixture, 2);
	}
	close_fixture(fixture);
}

static const CU_TestInfo tests[] = {
	{ "one wins and renews", test_one_wins_and_renews },
	{ "released lease is taken over", test_released_lease_taken_over },
	{ "cut-off holder loses it", test_cut_off_holder_loses },
	{ "outage ends the tenure", test_outage },
	{ "hanging platform ends the tenure", test_hang },
	{ "owner is notified in time", test_owner_notified_in_time },
	{ "lost renewals", test_lost_renewals },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("platform lease", tests);
}
