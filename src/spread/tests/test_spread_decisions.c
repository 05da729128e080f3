/*
 * Tests of the decisions of the distribution service: readiness by script, the
 * rank of a node among its peers, and which copies are superseded.
 *
 * "ready WAITED_MS SEQUENCE CLAIMED PLATFORM": SEQUENCE is in force on the
 * node; CLAIMED is the highest sequence that a peer announces, "none" when no
 * peer of the failure domain is known; PLATFORM is the sequence that the
 * platform answered, "out" when it has not answered.
 */
#include <stdlib.h>
#include <string.h>
#include "ready.h"
#include "relay.h"
#include "script.h"
#include "sweep.h"

#define START_MS 1000U

static bool step_ready(int word_count, char **words, GString *output,
		       void *data)
{
	struct spr_ready_state state = { .start_ms = START_MS };
	uint64_t now_ms;

	if (word_count != 5 || strcmp(words[0], "ready") != 0)
		return false;
	now_ms = START_MS + strtoull(words[1], NULL, 10);
	state.sequence = strtoull(words[2], NULL, 10);
	state.has_domain_peer = strcmp(words[3], "none") != 0;
	state.claimed_sequence = strtoull(words[3], NULL, 10);
	state.has_platform_answer = strcmp(words[4], "out") != 0;
	state.platform_sequence = strtoull(words[4], NULL, 10);
	g_string_append(output,
			spr_is_caught_up(&state, now_ms) ? "yes\n" : "no\n");
	return true;
}

static void test_ready(void)
{
	scr_run("ready", step_ready, NULL);
}

#define RANKED_COUNT 8U

/* Each rank belongs to one node; peers of other failure domains don't count. */
static void test_ranks_differ(void)
{
	struct spr_peer nodes[RANKED_COUNT + 1];
	uint32_t seen_ranks = 0;

	for (uint32_t i = 0; i <= RANKED_COUNT; i++) {
		nodes[i].address = g_strdup_printf("127.0.1.%u:8082", i + 1);
		nodes[i].failure_domain = i < RANKED_COUNT ? "a" : "b";
	}
	for (uint32_t i = 0; i < RANKED_COUNT; i++)
		seen_ranks |= 1U << spr_rank_node(nodes[i].address, "a", nodes,
						  RANKED_COUNT + 1);
	CU_ASSERT_EQUAL(seen_ranks, (1U << RANKED_COUNT) - 1);
	CU_ASSERT_EQUAL(spr_rank_node(nodes[RANKED_COUNT].address, "b", nodes,
				      RANKED_COUNT + 1),
			0);
	for (uint32_t i = 0; i <= RANKED_COUNT; i++)
		g_free((gpointer)nodes[i].address);
}

/* "plans" is in force at version 5; "stock" only has a document. */
static void test_superseded_copies(void)
{
	static const struct {
		const char *key;
		bool is_superseded;
	} cases[] = {
		{ "system/accepted/plans/4-00000000000000aa", true },
		{ "system/accepted/plans/5-00000000000000aa", false },
		{ "system/accepted/plans/6-00000000000000aa", false },
		{ "system/accepted/stock/1-00000000000000aa", false },
		{ "system/accepted/gone/1-00000000000000aa", true },
		{ "system/accepted/plans", false },
		{ "system/manifest", false },
	};
	GHashTable *documents = g_hash_table_new(g_str_hash, g_str_equal);
	struct doc_manifest *manifest = doc_new_manifest(NULL);

	doc_add_manifest_service(manifest, "plans")->document_version = 5;
	g_hash_table_add(documents, (gpointer) "stock");
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		CU_ASSERT_EQUAL(
			spr_is_superseded(manifest, documents, cases[i].key),
			cases[i].is_superseded);
	talloc_free(manifest);
	g_hash_table_destroy(documents);
}

static const CU_TestInfo tests[] = {
	{ "a node is ready when it has caught up", test_ready },
	{ "ranks of nodes differ", test_ranks_differ },
	{ "superseded copies are recognised", test_superseded_copies },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("spread_decisions", tests);
}
