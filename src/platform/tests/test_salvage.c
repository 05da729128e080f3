/*
 * Fuzzing of the salvage of lists with fixed seeds: lists of which some
 * elements were spoiled.
 */
#include <string.h>
#include <glib.h>
#include "salvage.h"
#include "script.h"

#define SEEDS 2000U
#define ELEMENTS_MAX 6
#define DEEP_LEVELS 5000

static const char *const good[] = {
	"{\"name\":\"a\",\"n\":1}",
	"{\"name\":\"]},{[\",\"t\":\"\\\"\\\\\"}",
	"[[],[{}]]",
	"\"text, with \\\" and ]\"",
	"null",
};

static const char *const bad[] = {
	"{\"n\":1e999}", "{\"n\":123456789012345678901234567890}",
	"{\"name\":}",	 "{\"name\" 1}",
	"nul",		 "\"\xff\"",
};

/* Appends a random element; returns whether it can be parsed. */
static bool add_element(GString *text, GRand *random)
{
	int choice = g_rand_int_range(random, 0, 12);

	if (choice == 0) {
		for (int i = 0; i < DEEP_LEVELS; i++)
			g_string_append_c(text, '[');
		for (int i = 0; i < DEEP_LEVELS; i++)
			g_string_append_c(text, ']');
		return false;
	}
	if (choice < 5) {
		g_string_append(
			text,
			bad[g_rand_int_range(random, 0, G_N_ELEMENTS(bad))]);
		return false;
	}
	g_string_append(text,
			good[g_rand_int_range(random, 0, G_N_ELEMENTS(good))]);
	return true;
}

static bool check_list(uint32_t seed)
{
	GRand *random = g_rand_new_with_seed(seed);
	GString *text = g_string_new("{\"first\":{\"x\":[1,2]},\"items\":[");
	int count = g_rand_int_range(random, 1, ELEMENTS_MAX);
	uint32_t spoiled = 0;
	uint32_t dropped = 0;
	json_t *items;
	json_t *root;
	bool is_right;

	for (int i = 0; i < count; i++) {
		if (i > 0)
			g_string_append_c(text, ',');
		spoiled += !add_element(text, random);
	}
	g_string_append(text, "],\"revision\":7}");
	root = plat_parse_list(text->str, text->len, &dropped);
	items = json_object_get(root, "items");
	is_right = dropped == spoiled &&
		   json_array_size(items) == (size_t)count &&
		   json_integer_value(json_object_get(root, "revision")) == 7;
	json_decref(root);
	g_string_free(text, TRUE);
	g_rand_free(random);
	return is_right;
}

static void test_spoiled_elements(void)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		if (check_list(seed))
			continue;
		printf("seed %u\n", seed);
		CU_FAIL("an element was lost or kept wrongly");
	}
}

/* Cut off or changed anywhere, a list is read or refused, never misread. */
static void test_cut_lists(void)
{
	static const char text[] =
		"{\"items\":[{\"n\":1},{\"n\":\"]\"},[1e999]],\"revision\":7}";
	uint32_t dropped;

	for (size_t size = 0; size < strlen(text); size++) {
		char *copy = g_memdup2(text, size);

		CU_ASSERT_PTR_NULL(plat_parse_list(copy, size, &dropped));
		CU_ASSERT_EQUAL(dropped, 0);
		g_free(copy);
	}
}

int main(void)
{
	static const CU_TestInfo tests[] = {
		{ "spoiled elements", test_spoiled_elements },
		{ "lists that are cut off", test_cut_lists },
		CU_TEST_INFO_NULL,
	};

	return scr_run_suite("salvage", tests);
}
