/*
 * Test of the election of the watchers, the nodes that follow the store.
 *
 *	member ADDRESS DOMAIN CAPACITY [STATE]	adds or changes a member
 *	watchers		prints the watchers with their failure domains
 *	choose ADDRESS [EXCLUDED...]	prints the watcher that a node polls
 *	spread COUNT DOMAIN	adds nodes and counts those of each watcher
 */
#include <stdlib.h>
#include <string.h>
#include <glib.h>
#include "script.h"
#include "watchers.h"

#define MEMBERS_MAX 256U

struct state {
	struct mem_member members[MEMBERS_MAX];
	size_t count;
	char **words; /* words of a choose step; from 2: excluded addresses */
	int word_count;
};

static struct mem_member *get_member(struct state *state, const char *address)
{
	for (size_t i = 0; i < state->count; i++) {
		if (strcmp(state->members[i].self.address, address) == 0)
			return &state->members[i];
	}
	g_assert(state->count < MEMBERS_MAX);
	state->members[state->count].self.address = g_strdup(address);
	return &state->members[state->count++];
}

static void set_member(struct state *state, int word_count, char **words)
{
	struct mem_member *member = get_member(state, words[1]);

	g_free((char *)(uintptr_t)member->self.failure_domain);
	member->self.failure_domain = g_strdup(words[2]);
	member->self.capacity = (uint16_t)atoi(words[3]);
	member->state = word_count > 4 && strcmp(words[4], "dead") == 0
				? MEM_STATE_DEAD
				: MEM_STATE_ALIVE;
}

static void print_watchers(const struct state *state, GString *output)
{
	for (size_t i = 0; i < state->count; i++) {
		const struct mem_announcement *self = &state->members[i].self;

		if (nd_is_watcher(state->members, state->count, self->address))
			g_string_append_printf(output, "%s %s\n",
					       self->failure_domain,
					       self->address);
	}
}

static bool is_excluded(const struct mem_member *member, void *data)
{
	const struct state *state = data;

	for (int i = 2; i < state->word_count; i++) {
		if (strcmp(state->words[i], member->self.address) == 0)
			return true;
	}
	return false;
}

static const char *choose(struct state *state, const char *address,
			  int word_count, char **words)
{
	const struct mem_member *watcher;

	state->words = words;
	state->word_count = word_count;
	watcher = nd_choose_watcher(state->members, state->count, address,
				    is_excluded, state);
	return watcher ? watcher->self.address : "none";
}

/* Adds identical members to a failure domain and counts their choices. */
static void print_spread(struct state *state, char **words, GString *output)
{
	GTree *counts = g_tree_new((GCompareFunc)strcmp);
	int count = atoi(words[1]);
	GTreeNode *node;

	for (int i = 0; i < count; i++) {
		char *address = g_strdup_printf("%s%d", words[2], i);
		char *member[] = { "member", address, words[2], "100" };

		set_member(state, 4, member);
		g_free(address);
	}
	for (size_t i = 0; i < state->count; i++) {
		const char *own = state->members[i].self.address;
		const char *name;
		uintptr_t seen;

		if (nd_is_watcher(state->members, state->count, own))
			continue;
		name = choose(state, own, 0, NULL);
		seen = (uintptr_t)g_tree_lookup(counts, name);
		g_tree_insert(counts, (gpointer)name, (gpointer)(seen + 1));
	}
	for (node = g_tree_node_first(counts); node;
	     node = g_tree_node_next(node))
		g_string_append_printf(output, "%s %" G_GUINTPTR_FORMAT "\n",
				       (const char *)g_tree_node_key(node),
				       (uintptr_t)g_tree_node_value(node));
	g_tree_destroy(counts);
}

/*
 * Prints how many members of a failure domain have their turn in each fifth of
 * the time, and whether all of its watchers come before the other members.
 */
static void print_turns(struct state *state, char **words, GString *output)
{
	uint32_t max_ms = (uint32_t)atoi(words[2]);
	uint32_t last_watcher_ms = 0;
	uint32_t first_other_ms = max_ms;
	uint32_t fifths[5] = { 0 };

	for (size_t i = 0; i < state->count; i++) {
		const struct mem_announcement *self = &state->members[i].self;
		uint32_t turn_ms = nd_get_turn(self->address, max_ms);

		if (strcmp(self->failure_domain, words[1]) != 0)
			continue;
		fifths[turn_ms * 5 / max_ms]++;
		if (nd_is_watcher(state->members, state->count, self->address))
			last_watcher_ms = MAX(last_watcher_ms, turn_ms);
		else
			first_other_ms = MIN(first_other_ms, turn_ms);
	}
	g_string_append_printf(
		output, "%u %u %u %u %u, watchers %s\n", fifths[0], fifths[1],
		fifths[2], fifths[3], fifths[4],
		last_watcher_ms < first_other_ms ? "first" : "not first");
}

static bool run_step(int word_count, char **words, GString *output, void *data)
{
	struct state *state = data;

	if (strcmp(words[0], "member") == 0)
		set_member(state, word_count, words);
	else if (strcmp(words[0], "watchers") == 0)
		print_watchers(state, output);
	else if (strcmp(words[0], "choose") == 0)
		g_string_append_printf(
			output, "%s\n",
			choose(state, words[1], word_count, words));
	else if (strcmp(words[0], "spread") == 0)
		print_spread(state, words, output);
	else if (strcmp(words[0], "turns") == 0)
		print_turns(state, words, output);
	else
		return false;
	return true;
}

static void test_watchers(void)
{
	struct state *state = g_new0(struct state, 1);

	scr_run("watchers", run_step, state);
	for (size_t i = 0; i < state->count; i++) {
		g_free((char *)(uintptr_t)state->members[i].self.address);
		g_free((char *)(uintptr_t)state->members[i]
			       .self.failure_domain);
	}
	g_free(state);
}

int main(void)
{
	static const CU_TestInfo tests[] = {
		{ "election and choice of watchers", test_watchers },
		CU_TEST_INFO_NULL,
	};

	return scr_run_suite("watchers", tests);
}
