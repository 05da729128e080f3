/*
 * Tests of the typed JSON reader with objects that resemble settings, and of
 * the list of problems.
 */
#include <string.h>
#include "loom/reader.h"
#include "script.h"

/* Reads an object with a field of each type and prints the values. */
static void read_settings(struct rd_object *object, GString *output)
{
	static const struct rd_range port = { 1, 65535 };
	static const struct rd_range text = { 1, 10 };
	static const struct rd_range items = { 0, 3 };
	static const struct rd_decimal share = { 10, 1, 1000 };
	const char *const *seeds = NULL;
	const char *address = "none";
	uint32_t share_permille = 7;
	uint32_t listen_port = 8080;
	uint64_t since_ms = 0;
	bool is_relay = true;

	rd_read_text(object, "address", RD_REQUIRED, &text, &address);
	rd_read_uint32(object, "port", RD_OPTIONAL, &port, &listen_port);
	rd_read_decimal(object, "share_percent", RD_OPTIONAL, &share,
			&share_permille);
	rd_read_bool(object, "relay", RD_OPTIONAL, &is_relay);
	rd_read_time(object, "since", RD_OPTIONAL, &since_ms);
	rd_read_labels(object, "seeds", RD_OPTIONAL, &items, &seeds);
	g_string_append_printf(output, "%s %u %u %s %u %s\n", address,
			       listen_port, share_permille,
			       is_relay ? "relay" : "member",
			       (unsigned int)(since_ms / 1000),
			       seeds && seeds[0] ? seeds[0] : "alone");
}

static bool run_read_step(int word_count, char **words, GString *output,
			  void *data)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct prob_list *list = prob_new_list(ctx);
	struct rd_object *object = NULL;
	json_t *json;

	json = rd_parse_text("settings", words[0], strlen(words[0]), 200, list);
	if (json)
		object = rd_open_object(ctx, json, "settings", list);
	if (object) {
		read_settings(object, output);
		rd_close_object(object);
	}
	prob_print_list(list, output);
	json_decref(json);
	talloc_free(ctx);
	return word_count == 1;
}

static void test_reader_script(void)
{
	scr_run("reader", run_read_step, NULL);
}

static void test_stored_problems_are_limited(void)
{
	struct prob_list *list = prob_new_list(NULL);
	GString *text = g_string_new(NULL);

	for (size_t i = 0; i < PROB_KEPT_MAX + 5; i++)
		prob_add_problem(list, "file", "", "wrong");
	prob_print_list(list, text);
	CU_ASSERT_EQUAL(list->problems->len, PROB_KEPT_MAX);
	CU_ASSERT_EQUAL(prob_get_count(list), PROB_KEPT_MAX + 5);
	CU_ASSERT_TRUE(
		g_str_has_suffix(text->str, "wrong\nand 5 further problems\n"));
	g_string_free(text, TRUE);
	talloc_free(list);
}

static json_t *load_repeated(const char *value, size_t count)
{
	GString *text = g_string_new("[");
	json_t *json;

	for (size_t i = 0; i < count; i++)
		g_string_append_printf(text, "%s,", value);
	g_string_append(text, "0]");
	json = rd_load_json(text->str, text->len, 0, NULL);
	g_string_free(text, TRUE);
	return json;
}

/* One body of 4 MB made a node allocate 227 MB. */
static void test_texts_of_many_values_are_rejected(void)
{
	json_t *json = load_repeated("1", 500000);

	CU_ASSERT_EQUAL(json_array_size(json), 500001);
	json_decref(json);
	CU_ASSERT_PTR_NULL(load_repeated("1", 600000));
	CU_ASSERT_PTR_NULL(load_repeated("[]", 200000));
	CU_ASSERT_PTR_NULL(load_repeated("{\"a\":{}}", 60000));
	/* What a string holds is no value. */
	json = load_repeated("\"{\\\",,,,,,,,[[[[\"", 200000);
	CU_ASSERT_EQUAL(json_array_size(json), 200001);
	json_decref(json);
}

static const CU_TestInfo tests[] = {
	{ "reader runs its script", test_reader_script },
	{ "stored problems are limited", test_stored_problems_are_limited },
	{ "texts of many values are rejected",
	  test_texts_of_many_values_are_rejected },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("reader", tests);
}
