/*
 * Tests of the table, the version split, the choice of a target and retries.
 */
#include <inttypes.h>
#include <pthread.h>
#include <stdlib.h>
#include "fixture.h"
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

/* Chooses count times without starting calls and prints how often each. */
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

static void note_end(struct chooser_state *state, int word_count, char **words)
{
	static const char *const outcomes[] = { "answered", "refused", "failed",
						"cancelled" };
	struct rt_load load = { 0 };
	int outcome = 0;

	while (strcmp(outcomes[outcome], words[2]) != 0)
		outcome++;
	if (word_count == 6) {
		load.limit = parse_number(words[3]);
		load.in_flight = parse_number(words[4]);
		rt_parse_phase(words[5], &load.phase);
	}
	rt_note_end(state->chooser, words[1], (enum rt_outcome)outcome,
		    word_count == 6 ? &load : NULL, state->now_ms);
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
	} else if (strcmp(words[0], "at") == 0) {
		state->now_ms = parse_number(words[1]);
	} else if (strcmp(words[0], "choose") == 0) {
		fill_request(state, word_count, words, &request);
		g_string_append_printf(output, "%s\n", choose(state, &request));
	} else if (strcmp(words[0], "many") == 0) {
		print_choices(state, parse_number(words[1]), output);
	} else if (strcmp(words[0], "start") == 0) {
		rt_note_start(state->chooser, words[1]);
	} else if (strcmp(words[0], "end") == 0) {
		note_end(state, word_count, words);
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

static const CU_TestInfo tests[] = {
	{ "choice follows its script", test_choice },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("routing", tests);
}
