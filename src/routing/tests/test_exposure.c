/*
 * The bound on the calls that the new version of a move gets, and the turns of
 * its targets.
 */
#include <math.h>
#include <glib.h>
#include "exposure.h"
#include "fixture.h"
#include "loom/explain.h"
#include "script.h"

#define SERVICE "orders"
#define BOUND_PERMILLE 55U
#define CALLS 10000U
#define SEED 1U
/* Nodes of the target size; few calls each in the time of a move. */
#define NODES 740U
#define CALLS_PER_NODE 8U
/* Standard deviations beyond which a sum is not the one that is due. */
#define DEVIATIONS 4.0

static struct doc_move make_move(uint64_t id)
{
	struct doc_move move = fixture_move;

	move.id = id;
	move.bound_permille = BOUND_PERMILLE;
	return move;
}

/* Gives the new version as many of the calls as it may get. */
static uint32_t send_calls(struct rt_exposures *exposures,
			   const struct doc_service *service, uint32_t calls)
{
	uint32_t new_calls = 0;

	for (uint32_t i = 0; i < calls; i++) {
		bool is_new = rt_is_exposure_left(exposures, service);

		if (is_new)
			rt_spend_exposure(exposures, service);
		rt_credit_exposure(exposures, service);
		new_calls += is_new;
	}
	return new_calls;
}

static void test_bound(void)
{
	struct rt_exposures *exposures = rt_new_exposures(NULL, SEED);
	struct doc_move move = make_move(1);
	struct doc_service service = { .name = SERVICE, .move = &move };
	uint32_t new_calls = 0;

	for (uint32_t i = 1; i <= CALLS; i++) {
		new_calls += send_calls(exposures, &service, 1);
		CU_ASSERT_TRUE(new_calls <=
			       1 + i * BOUND_PERMILLE / DOC_SHARE_ALL_PERMILLE);
	}
	CU_ASSERT_EQUAL(new_calls,
			CALLS * BOUND_PERMILLE / DOC_SHARE_ALL_PERMILLE);
	talloc_free(exposures);
}

/* A bad version got more than its part from nodes that started again. */
static void test_restarts(void)
{
	struct doc_move move = make_move(1);
	struct doc_service service = { .name = SERVICE, .move = &move };
	double due = NODES * CALLS_PER_NODE * BOUND_PERMILLE /
		     (double)DOC_SHARE_ALL_PERMILLE;
	uint32_t new_calls = 0;

	for (uint32_t i = 0; i < NODES; i++) {
		struct rt_exposures *exposures = rt_new_exposures(NULL, i);

		new_calls += send_calls(exposures, &service, CALLS_PER_NODE);
		talloc_free(exposures);
	}
	/* Each node adds a variance of a quarter at most by its rounding. */
	CU_ASSERT_DOUBLE_EQUAL(new_calls, due, DEVIATIONS * sqrt(NODES * 0.25));
}

static void test_other_moves(void)
{
	struct rt_exposures *exposures = rt_new_exposures(NULL, SEED);
	struct doc_move move = make_move(1);
	struct doc_service service = { .name = SERVICE, .move = &move };

	CU_ASSERT_FALSE(rt_is_exposure_left(exposures, &service));
	for (uint32_t i = 0; i < CALLS; i++)
		rt_credit_exposure(exposures, &service);
	CU_ASSERT_TRUE(rt_is_exposure_left(exposures, &service));
	/* What one move has left is not for the next one. */
	move.id++;
	CU_ASSERT_FALSE(rt_is_exposure_left(exposures, &service));
	move.id--;
	CU_ASSERT_FALSE(rt_is_exposure_left(exposures, &service));
	move.to = "v3";
	CU_ASSERT_FALSE(rt_is_exposure_left(exposures, &service));
	move.bound_permille = 0;
	CU_ASSERT_TRUE(rt_is_exposure_left(exposures, &service));
	talloc_free(exposures);
}

/* Returns a fixture whose new version has all calls, but for the bound. */
static struct fixture *new_moving_fixture(const struct doc_move *move)
{
	static const char *const domains[] = { "b", "a", "b", "a" };
	struct fixture *fixture = new_fixture();
	struct doc_manifest_service *entry =
		doc_find_manifest_service(fixture->manifest, SERVICE);
	struct rt_target target = { .phase = RT_PHASE_SERVING };
	char address[8];

	fixture->move = move;
	entry->move_state = DOC_MOVE_RUNNING;
	entry->share_permille = DOC_SHARE_ALL_PERMILLE;
	target.address = address;
	for (uint32_t i = 0; i < 2 * G_N_ELEMENTS(domains); i++) {
		g_snprintf(address, sizeof(address), "t%u", i);
		target.failure_domain = domains[i / 2];
		target.version = i % 2 ? "v2" : "v1";
		add_target(fixture, &target);
	}
	return fixture;
}

/* Chooses targets for calls; returns how many got one of the new version. */
static uint32_t choose_targets(struct fixture *fixture,
			       struct rt_chooser *chooser, uint32_t calls,
			       const char *only_address)
{
	struct rt_request request = { .service = fixture->service };
	uint32_t new_calls = 0;
	enum rt_refusal refusal;

	for (uint32_t i = 0; i < calls; i++) {
		const struct rt_target *target = rt_choose_target(
			chooser, fixture->table, &request, i, &refusal);

		CU_ASSERT_PTR_NOT_NULL_FATAL(target);
		if (!target)
			break;
		rt_record_arrival(chooser, fixture->service);
		if (strcmp(target->version, "v2") != 0)
			continue;
		new_calls++;
		if (only_address)
			CU_ASSERT_STRING_EQUAL(target->address, only_address);
	}
	return new_calls;
}

static void test_choice(void)
{
	struct doc_move move = make_move(1);
	struct fixture *fixture = new_moving_fixture(&move);
	struct rt_chooser *chooser =
		rt_new_chooser(fixture, RT_POLICY_TWO_CHOICES, 1);

	build_table(fixture);
	CU_ASSERT_TRUE(choose_targets(fixture, chooser, CALLS, NULL) <=
		       1 + CALLS * BOUND_PERMILLE / DOC_SHARE_ALL_PERMILLE);
	free_fixture(fixture);
}

/*
 * Guards against an explanation that counts as a call, or that names the new
 * version while the bound keeps calls away from it.
 */
static void test_explained_choice(void)
{
	struct doc_move move = make_move(1);
	struct fixture *fixture = new_moving_fixture(&move);
	struct rt_chooser *plain =
		rt_new_chooser(fixture, RT_POLICY_TWO_CHOICES, 1);
	struct rt_chooser *explained =
		rt_new_chooser(fixture, RT_POLICY_TWO_CHOICES, 1);
	struct rt_request request = { 0 };

	build_table(fixture);
	request.service = fixture->service;
	for (uint32_t i = 0; i < CALLS / 10; i++) {
		struct rt_explanation *explanation = rt_explain_route(
			fixture, explained, fixture->table, &request, i);
		uint32_t new_calls = choose_targets(fixture, plain, 1, NULL);

		CU_ASSERT_EQUAL(choose_targets(fixture, explained, 1, NULL),
				new_calls);
		CU_ASSERT_EQUAL(explanation->is_exposure_spent, new_calls == 0);
		talloc_free(explanation);
	}
	free_fixture(fixture);
}

/* The targets of the new version are t1, t3, t5 and t7, in that order. */
static void test_turns(void)
{
	static const char *const in_turn[] = { "t1", "t3", "t5", "t7" };
	struct doc_move move = make_move(1);
	struct fixture *fixture = new_moving_fixture(&move);
	struct rt_chooser *chooser =
		rt_new_chooser(fixture, RT_POLICY_TWO_CHOICES, 1);

	move.bound_permille = 0;
	move.turn_count = G_N_ELEMENTS(in_turn);
	for (uint32_t i = 0; i < move.turn_count; i++) {
		move.turn_index = i;
		build_table(fixture);
		CU_ASSERT_EQUAL(
			choose_targets(fixture, chooser, 100, in_turn[i]), 100);
	}
	/* Two turns have two targets each. */
	move.turn_count = 2;
	move.turn_index = 1;
	build_table(fixture);
	CU_ASSERT_EQUAL(choose_targets(fixture, chooser, 100, NULL), 100);
	/* Without a target in its turn, calls go to the old version. */
	drop_target(fixture, "t3");
	drop_target(fixture, "t7");
	drop_target(fixture, "t5");
	build_table(fixture);
	CU_ASSERT_EQUAL(choose_targets(fixture, chooser, 100, NULL), 0);
	free_fixture(fixture);
}

int main(void)
{
	static const CU_TestInfo tests[] = {
		{ "the bound of a thread", test_bound },
		{ "nodes that start again, with few calls each",
		  test_restarts },
		{ "other moves", test_other_moves },
		{ "targets within the bound", test_choice },
		{ "explanations within the bound", test_explained_choice },
		{ "turns of the targets", test_turns },
		CU_TEST_INFO_NULL,
	};

	return scr_run_suite("exposure", tests);
}
