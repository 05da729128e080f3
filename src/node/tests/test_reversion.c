/*
 * Test of the decisions on a state of a store that has returned from an older
 * copy.
 *
 *	state MS ERA NAME=LABEL[@CREATED[.REVISION]]...
 *					a state that the store shows; an order
 *					has the revisions 1 if none is given
 *	tell MS				another node learns of the state
 *	confirm ERA			the next state is one of another node
 */
#include <stdlib.h>
#include <string.h>
#include "reversion.h"
#include "script.h"

#define ITEMS_MAX 8

struct fixture {
	struct nd_reversion *reversion;
	struct nd_item items[ITEMS_MAX];
	uint64_t era;
};

static int compare_names(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static void print_items(const struct fixture *fixture, GString *output)
{
	const char **names = nd_list_items(fixture->reversion, NULL);
	size_t count = g_strv_length((char **)names);

	qsort(names, count, sizeof(*names), compare_names);
	g_string_append(output, "in force:");
	for (size_t i = 0; i < count; i++)
		g_string_append_printf(output, " %s", names[i]);
	g_string_append_c(output, '\n');
	talloc_free(names);
}

/* Cuts the word into the texts of the item. */
static struct nd_item read_item(char *word)
{
	char *label = strchr(word, '=');
	char *created = strchr(word, '@');
	char *revision = created ? strchr(created, '.') : NULL;
	struct nd_item item = { .name = word, .label = label + 1 };

	item.created = created ? strtoull(created + 1, NULL, 10) : 1;
	item.revision =
		revision ? strtoull(revision + 1, NULL, 10) : item.created;
	*label = '\0';
	if (created)
		*created = '\0';
	return item;
}

static void merge(struct fixture *fixture, int word_count, char **words,
		  GString *output)
{
	static const char *const names[] = { "take", "again", "reverted" };
	enum nd_verdict verdicts[ITEMS_MAX];
	size_t count = (size_t)word_count - 3;

	for (size_t i = 0; i < count; i++)
		fixture->items[i] = read_item(words[i + 3]);
	fixture->era = strtoull(words[2], NULL, 10);
	nd_merge_items(fixture->reversion, fixture->items, count, fixture->era,
		       strtoull(words[1], NULL, 10), verdicts);
	for (size_t i = 0; i < count; i++)
		g_string_append_printf(output, "%s %s\n",
				       fixture->items[i].name,
				       names[verdicts[i]]);
}

/* Goes on with a node that has started and takes all from the present one. */
static void tell(struct fixture *fixture, uint64_t now_ms)
{
	struct nd_reversion *other = nd_new_reversion(NULL);
	json_t *told = nd_format_reversion(fixture->reversion, now_ms);
	const char **names = nd_list_items(fixture->reversion, other);
	size_t count = g_strv_length((char **)names);
	struct nd_item items[ITEMS_MAX];
	enum nd_verdict verdicts[ITEMS_MAX];

	for (size_t i = 0; i < count; i++)
		nd_find_item(fixture->reversion, names[i], &items[i]);
	nd_merge_items(other, items, count, fixture->era, now_ms, verdicts);
	nd_read_reversion(other, told, now_ms);
	json_decref(told);
	talloc_free(fixture->reversion);
	fixture->reversion = other;
}

static bool run_step(int word_count, char **words, GString *output, void *data)
{
	struct fixture *fixture = data;

	if (strcmp(words[0], "confirm") == 0)
		nd_confirm_items(fixture->reversion,
				 strtoull(words[1], NULL, 10));
	else if (strcmp(words[0], "tell") == 0)
		tell(fixture, strtoull(words[1], NULL, 10));
	else if (strcmp(words[0], "state") == 0)
		merge(fixture, word_count, words, output);
	else
		return false;
	print_items(fixture, output);
	return true;
}

static void run_script(const char *name)
{
	struct fixture fixture = { .reversion = nd_new_reversion(NULL) };

	scr_run(name, run_step, &fixture);
	talloc_free(fixture.reversion);
}

static void test_reversion(void)
{
	run_script("reversion");
}

static void test_told(void)
{
	run_script("reversion_told");
}

/* Guards against: an order of a removed name is ignored for ten minutes when it
 * is given before the nodes list the returned store. */
static void test_order_at_return(void)
{
	run_script("reversion_orders");
	run_script("reversion_orders_told");
}

int main(void)
{
	static const CU_TestInfo tests[] = {
		{ "states of an older copy", test_reversion },
		{ "told to a node that has started", test_told },
		{ "order at the return", test_order_at_return },
		CU_TEST_INFO_NULL,
	};

	return scr_run_suite("reversion", tests);
}
