/*
 * Tests of the table, the version split, the choice of a target and the retry
 * decisions.
 */
#include <inttypes.h>
#include <pthread.h>
#include <stdlib.h>
#include <xxhash.h>
#include "fixture.h"
#include "target_state.h"
#include "script.h"

struct chooser_state {
	struct fixture *fixture;
	struct rt_chooser *chooser;
	uint64_t now_ms;
	uint64_t hash;
};

static uint32_t parse_number(const char *text)
{
	return (uint32_t)strtoul(text, NULL, 10);
}

static void set_move(struct chooser_state *state, const char *name,
		     uint32_t share_permille)
{
	struct doc_manifest_service *entry;

	entry = doc_find_manifest_service(state->fixture->manifest, "orders");
	for (int i = DOC_MOVE_NONE; i <= DOC_MOVE_TAKEN_BACK; i++) {
		if (strcmp(name, doc_get_move_state_name(
					 (enum doc_move_state)i)) == 0)
			entry->move_state = (enum doc_move_state)i;
	}
	entry->share_permille = share_permille;
}

static void fill_request(const struct chooser_state *state, int word_count,
			 char **words, struct rt_request *request)
{
	request->service = state->fixture->service;
	request->split_hash = state->hash;
	for (int i = 1; i < word_count; i++)
		request->tried[request->tried_count++] = words[i];
}

static const char *choose(struct chooser_state *state,
			  const struct rt_request *request)
{
	const struct rt_target *target;
	enum rt_refusal refusal;

	target = rt_choose_target(state->chooser, state->fixture->table,
				  request, state->now_ms, &refusal);
	return target ? target->address : rt_get_refusal_name(refusal);
}

/*
 * Makes count choices without starting calls, and prints how often each target
 * was chosen.
 */
static void print_choices(struct chooser_state *state, uint32_t count,
			  GString *output)
{
	GTree *counts = g_tree_new((GCompareFunc)strcmp);
	struct rt_request request = { .service = state->fixture->service };
	GTreeNode *node;

	for (uint32_t i = 0; i < count; i++) {
		const char *name;
		uintptr_t seen;

		request.split_hash = (uint64_t)i << 32 << 22;
		name = choose(state, &request);
		seen = (uintptr_t)g_tree_lookup(counts, name);
		g_tree_insert(counts, (gpointer)name, (gpointer)(seen + 1));
	}
	for (node = g_tree_node_first(counts); node;
	     node = g_tree_node_next(node))
		g_string_append_printf(output, "%s %" PRIuPTR "\n",
				       (const char *)g_tree_node_key(node),
				       (uintptr_t)g_tree_node_value(node));
	g_tree_destroy(counts);
}

static void record_end(struct chooser_state *state, int word_count,
		       char **words)
{
	static const char *const outcomes[] = { "answered", "refused", "failed",
						"cancelled" };
	struct rt_load load = { 0 };
	uint32_t transit_us = 0;
	int outcome = 0;

	while (strcmp(outcomes[outcome], words[2]) != 0)
		outcome++;
	if (word_count >= 6) {
		load.limit = parse_number(words[3]);
		load.in_flight = parse_number(words[4]);
		load.is_unreachable = strcmp(words[5], "unreachable") == 0;
		if (load.is_unreachable)
			load.phase = RT_PHASE_SERVING;
		else
			rt_parse_phase(words[5], &load.phase);
		if (word_count >= 7)
			load.failure_permille = parse_number(words[6]);
		if (word_count == 9) {
			load.latency_us = parse_number(words[7]);
			transit_us = parse_number(words[8]);
		}
	} else if (word_count == 4) {
		transit_us = parse_number(words[3]);
	}
	rt_record_end(state->chooser, words[1], (enum rt_outcome)outcome,
		      word_count >= 6 ? &load : NULL, transit_us,
		      state->now_ms);
}

static void change_table(struct chooser_state *state, char **words)
{
	struct rt_target target = { 0 };

	if (strcmp(words[0], "target") == 0) {
		target.address = words[1];
		target.failure_domain = words[2];
		target.version = words[3];
		rt_parse_phase(words[4], &target.phase);
		target.distance_us = parse_number(words[5]);
		drop_target(state->fixture, words[1]);
		add_target(state->fixture, &target);
	} else if (strcmp(words[0], "drop") == 0) {
		drop_target(state->fixture, words[1]);
	} else if (strcmp(words[0], "domain") == 0) {
		doc_add_manifest_domain(state->fixture->manifest, words[1])
			->is_out = strcmp(words[2], "out") == 0;
	} else {
		set_move(state, words[1], parse_number(words[2]));
	}
	build_table(state->fixture);
}

/* Rebuilds the table with a limit on the share. */
static void set_limit(struct chooser_state *state, uint32_t limit_permille)
{
	build_table(state->fixture);
	rt_set_share_limit(state->fixture->table, "orders", limit_permille);
}

static void set_policy(struct chooser_state *state, const char *name)
{
	enum rt_policy policy = RT_POLICY_TWO_CHOICES;

	if (strcmp(name, "round_robin") == 0)
		policy = RT_POLICY_ROUND_ROBIN;
	if (strcmp(name, "random") == 0)
		policy = RT_POLICY_RANDOM;
	talloc_free(state->chooser);
	state->chooser = rt_new_chooser(state->fixture, policy, 1);
}

static bool run_chooser_step(int word_count, char **words, GString *output,
			     void *data)
{
	struct chooser_state *state = data;
	struct rt_request request = { 0 };

	if (strcmp(words[0], "policy") == 0) {
		set_policy(state, words[1]);
	} else if (strcmp(words[0], "limit") == 0) {
		set_limit(state, parse_number(words[1]));
	} else if (strcmp(words[0], "at") == 0) {
		state->now_ms = parse_number(words[1]);
	} else if (strcmp(words[0], "choose") == 0) {
		fill_request(state, word_count, words, &request);
		g_string_append_printf(output, "%s\n", choose(state, &request));
	} else if (strcmp(words[0], "choose-bulky") == 0) {
		fill_request(state, word_count, words, &request);
		request.is_bulky = true;
		g_string_append_printf(output, "%s\n", choose(state, &request));
	} else if (strcmp(words[0], "many") == 0) {
		print_choices(state, parse_number(words[1]), output);
	} else if (strcmp(words[0], "start") == 0) {
		rt_record_start(state->chooser, words[1]);
	} else if (strcmp(words[0], "end") == 0) {
		record_end(state, word_count, words);
	} else {
		change_table(state, words);
	}
	return true;
}

static void run_chooser_script(const char *name)
{
	struct chooser_state state = { 0 };

	state.fixture = new_fixture();
	set_policy(&state, "two_choices");
	scr_run(name, run_chooser_step, &state);
	free_fixture(state.fixture);
}

static void test_choice(void)
{
	run_chooser_script("choice");
}

static void test_health(void)
{
	run_chooser_script("health");
}

static void test_unreachable(void)
{
	run_chooser_script("unreachable");
}

static void test_ejection(void)
{
	run_chooser_script("ejection");
}

static void test_partial_failure(void)
{
	run_chooser_script("partial_failure");
}

static void test_slow_link(void)
{
	run_chooser_script("slow_link");
}

static void test_domains(void)
{
	run_chooser_script("domains");
}

static void test_bulky(void)
{
	run_chooser_script("bulky");
}

/* An answer that does not tell its run time must not shorten the mean. */
static void test_run_times(void)
{
	struct rt_answer_sizes *sizes = rt_new_answer_sizes(NULL);

	CU_ASSERT_EQUAL(rt_get_run_time_us(sizes, "r"), 0);
	rt_record_run_time(sizes, "r", 44000);
	for (int i = 0; i < 100; i++)
		rt_record_run_time(sizes, "r", 0);
	CU_ASSERT_EQUAL(rt_get_run_time_us(sizes, "r"), 44000);
	rt_record_run_time(sizes, "r", 52000);
	CU_ASSERT_EQUAL(rt_get_run_time_us(sizes, "r"), 45000);
	/* The size of its answers is still unknown. */
	rt_record_answer_size(sizes, "r", 700);
	CU_ASSERT_EQUAL(rt_get_answer_size(sizes, "r"), 700);
	talloc_free(sizes);
}

static void test_answer_sizes(void)
{
	struct rt_answer_sizes *sizes = rt_new_answer_sizes(NULL);

	CU_ASSERT_FALSE(rt_is_answer_large(sizes, "r"));
	rt_record_answer_size(sizes, "r", 90000);
	rt_record_answer_size(sizes, "other", 0);
	CU_ASSERT_TRUE(rt_is_answer_large(sizes, "r"));
	CU_ASSERT_FALSE(rt_is_answer_large(sizes, "other"));
	CU_ASSERT_EQUAL(rt_get_answer_size(sizes, "r"), 90000);
	CU_ASSERT_EQUAL(rt_get_answer_size(sizes, "other"), 0);
	CU_ASSERT_EQUAL(rt_get_answer_size(sizes, "unknown"), 0);
	/* One short answer does not outweigh the long ones. */
	rt_record_answer_size(sizes, "r", 100);
	CU_ASSERT_TRUE(rt_is_answer_large(sizes, "r"));
	for (int i = 0; i < 20; i++)
		rt_record_answer_size(sizes, "r", 100);
	CU_ASSERT_FALSE(rt_is_answer_large(sizes, "r"));
	talloc_free(sizes);
}

/* An answer without its run time must not make a route's calls look short. */
static void test_unknown_run_times(void)
{
	struct rt_answer_sizes *sizes = rt_new_answer_sizes(NULL);

	CU_ASSERT_EQUAL(rt_get_run_time_us(sizes, "r"), 0);
	rt_record_run_time(sizes, "r", 0);
	rt_record_run_time(sizes, "r", 180000);
	for (int i = 0; i < 20; i++)
		rt_record_run_time(sizes, "r", 0);
	CU_ASSERT_EQUAL(rt_get_run_time_us(sizes, "r"), 180000);
	rt_record_run_time(sizes, "r", 100000);
	CU_ASSERT_EQUAL(rt_get_run_time_us(sizes, "r"), 170000);
	CU_ASSERT_EQUAL(rt_get_run_time_us(sizes, "other"), 0);
	talloc_free(sizes);
}

static void check_return(const struct rt_load *load, uint32_t least_ms,
			 uint32_t most_ms)
{
	uint32_t lowest = UINT32_MAX;
	uint32_t highest = 0;

	for (uint64_t i = 0; i < 10000; i++) {
		uint32_t wait_ms =
			rt_choose_return_ms(load, XXH3_64bits(&i, sizeof(i)));

		lowest = MIN(lowest, wait_ms);
		highest = MAX(highest, wait_ms);
	}
	CU_ASSERT_EQUAL(lowest, least_ms);
	CU_ASSERT_EQUAL(highest, most_ms - 1);
}

/* Refused callers come back when there may be room, not into the same queue. */
static void test_return_of_refused(void)
{
	struct rt_load load = { .limit = 6, .latency_us = 220000 };

	check_return(NULL, 40, 200);
	check_return(&load, 40, 200);
	/* Six calls run and twelve wait: 660 ms of work. */
	load.in_flight = 18;
	check_return(&load, 330, 990);
	load.latency_us = 20000000;
	check_return(&load, 1000, 3000);
	load.limit = 0;
	check_return(&load, 40, 200);
}

static void test_versions(void)
{
	run_chooser_script("versions");
}

static void test_limits(void)
{
	run_chooser_script("limits");
}

static void test_baselines(void)
{
	run_chooser_script("baselines");
}

static bool run_retry_step(int word_count, char **words, GString *output,
			   void *data)
{
	struct rt_budget *budget = data;
	struct rt_retry retry = {
		.outcome = RT_OUTCOME_FAILED,
		.is_repeatable = true,
		.is_body_kept = true,
		.attempt_count = 1,
		.sent_max = RT_SENT_MAX,
		.deadline_ms = UINT64_MAX,
	};
	uint32_t count = parse_number(words[2]);
	uint32_t granted = 0;
	enum rt_retry_verdict verdict = RT_RETRY_YES;

	retry.now_ms = parse_number(words[1]);
	if (strcmp(words[0], "credit") == 0) {
		for (uint32_t i = 0; i < count; i++)
			rt_credit_budget(budget, false, retry.now_ms);
		return true;
	}
	for (int i = 3; i < word_count; i++) {
		uint32_t value = parse_number(strpbrk(words[i], "0123456789"));

		if (g_str_has_prefix(words[i], "repeatable="))
			retry.is_repeatable = value;
		else if (g_str_has_prefix(words[i], "not_run="))
			retry.is_not_run = value;
		else if (g_str_has_prefix(words[i], "begun="))
			retry.is_answer_begun = value;
		else if (g_str_has_prefix(words[i], "body="))
			retry.is_body_kept = value;
		else if (g_str_has_prefix(words[i], "attempts="))
			retry.attempt_count = value;
		else if (g_str_has_prefix(words[i], "depth="))
			retry.depth = value;
		else if (g_str_has_prefix(words[i], "deadline="))
			retry.deadline_ms = value;
		else if (g_str_has_prefix(words[i], "outcome="))
			retry.outcome = (enum rt_outcome)value;
		else
			return false;
	}
	for (uint32_t i = 0; i < count && verdict == RT_RETRY_YES; i++) {
		verdict = rt_decide_retry(budget, &retry);
		granted += verdict == RT_RETRY_YES;
	}
	g_string_append_printf(output, "granted %u, then %s\n", granted,
			       rt_get_retry_name(verdict));
	return true;
}

static void test_retry(void)
{
	struct rt_budget *budget = rt_new_budget(NULL, 100);

	scr_run("retry", run_retry_step, budget);
	talloc_free(budget);
}

#define SPLIT_REQUESTS 1000000U

/*
 * The split is exact over many hashes, and a request that went to the new
 * version still does when the share grows.
 */
static void test_split(void)
{
	static const uint32_t shares_permille[] = { 0, 1, 50, 250, 500, 1000 };
	struct fixture *fixture = new_fixture();
	struct chooser_state state = { .fixture = fixture };
	uint8_t *is_new = talloc_zero_array(fixture, uint8_t, SPLIT_REQUESTS);

	for (size_t i = 0; i < G_N_ELEMENTS(shares_permille); i++) {
		uint32_t share = shares_permille[i];
		uint32_t new_count = 0;
		uint32_t back_count = 0;

		set_move(&state, "running", share);
		build_table(fixture);
		for (uint32_t id = 0; id < SPLIT_REQUESTS; id++) {
			struct rt_request request = {
				.service = fixture->service,
				.split_hash = XXH64(&id, sizeof(id), 0),
			};
			const char *version =
				rt_choose_version(fixture->table, &request);
			bool is_to = strcmp(version, "v2") == 0;

			back_count += is_new[id] && !is_to;
			is_new[id] = is_to;
			new_count += is_to;
		}
		CU_ASSERT_EQUAL(back_count, 0);
		CU_ASSERT_TRUE(labs((long)new_count -
				    (long)share * SPLIT_REQUESTS / 1000) <
			       SPLIT_REQUESTS / 1000);
	}
	free_fixture(fixture);
}

static void test_state_set_is_bounded(void)
{
	struct fixture *fixture = new_fixture();
	struct rt_state_set *set = rt_new_state_set(fixture);
	struct rt_target target = { .failure_domain = "a", .version = "v1" };
	char address[16];

	for (uint32_t i = 0; i < 1000; i++) {
		g_snprintf(address, sizeof(address), "t%u", i);
		target.address = address;
		add_target(fixture, &target);
		build_table(fixture);
		rt_sync_state_set(set, fixture->table);
		/* One call is still in flight when its target leaves. */
		if (i == 500)
			rt_get_target_state(set, address)->own_in_flight++;
		drop_target(fixture, address);
	}
	CU_ASSERT_EQUAL(g_hash_table_size(set->by_address), 2);
	rt_get_target_state(set, "t500")->own_in_flight--;
	rt_release_target_state(set, rt_get_target_state(set, "t500"));
	CU_ASSERT_EQUAL(g_hash_table_size(set->by_address), 1);
	free_fixture(fixture);
}

static void *use_table(void *data)
{
	struct rt_table *table = data;
	struct rt_chooser *chooser =
		rt_new_chooser(NULL, RT_POLICY_TWO_CHOICES, 1);
	struct rt_request request = { 0 };
	enum rt_refusal refusal;

	request.service = doc_find_service(rt_get_snapshot(table), "orders");
	for (uint64_t now_ms = 0; now_ms < 1000; now_ms++) {
		rt_ref_table(table);
		rt_choose_target(chooser, table, &request, now_ms, &refusal);
		rt_unref_table(table);
	}
	talloc_free(chooser);
	rt_unref_table(table);
	return NULL;
}

static void test_table_is_freed_with_last_reference(void)
{
	struct rt_target target = { .address = "t1",
				    .failure_domain = "a",
				    .version = "v1" };
	struct fixture *fixture = new_fixture();
	pthread_t threads[4];

	add_target(fixture, &target);
	build_table(fixture);
	for (size_t i = 0; i < G_N_ELEMENTS(threads); i++)
		pthread_create(&threads[i], NULL, use_table,
			       rt_ref_table(fixture->table));
	free_fixture(fixture);
	for (size_t i = 0; i < G_N_ELEMENTS(threads); i++)
		pthread_join(threads[i], NULL);
}

static const CU_TestInfo tests[] = {
	{ "choice by load, limit and distance", test_choice },
	{ "phases, failures and refusals", test_health },
	{ "unreachable targets", test_unreachable },
	{ "length of an ejection", test_ejection },
	{ "a target that fails a share of its calls", test_partial_failure },
	{ "a target behind a saturated link", test_slow_link },
	{ "failure domains taken out", test_domains },
	{ "bulky", test_bulky },
	{ "answer sizes", test_answer_sizes },
	{ "run times", test_run_times },
	{ "unknown run times", test_unknown_run_times },
	{ "return of refused callers", test_return_of_refused },
	{ "versions of a move", test_versions },
	{ "a limit on the share", test_limits },
	{ "baseline policies", test_baselines },
	{ "split is exact and monotone", test_split },
	{ "retry decisions", test_retry },
	{ "set of target states is bounded", test_state_set_is_bounded },
	{ "table is freed with its last reference",
	  test_table_is_freed_with_last_reference },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("routing", tests);
}
