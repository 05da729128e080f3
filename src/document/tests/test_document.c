/*
 * Tests of the parsers of documents and manifests, of routes and of the
 * difference of two documents.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "loom/document.h"
#include "script.h"

#define EXAMPLES "../../../examples/"

/* Returns the parsed example, or NULL after a CUnit failure. */
static struct doc_service *parse_example(TALLOC_CTX *ctx, const char *path,
					 uint64_t version)
{
	struct doc_problem_list *list = doc_new_problem_list(ctx);
	char *file = g_strconcat(EXAMPLES, path, NULL);
	struct doc_service *service = NULL;
	GString *problems = g_string_new(NULL);
	char *text = NULL;
	gsize size;

	if (g_file_get_contents(file, &text, &size, NULL))
		service =
			doc_parse_service(ctx, path, text, size, version, list);
	doc_print_problems(list, problems);
	CU_ASSERT_STRING_EQUAL(problems->str, "");
	CU_ASSERT_PTR_NOT_NULL_FATAL(service);
	g_string_free(problems, TRUE);
	g_free(text);
	g_free(file);
	return service;
}

static void test_example_is_read_completely(void)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct doc_service *service;

	service = parse_example(ctx, "kigali/catalogue.json", 7);
	CU_ASSERT_STRING_EQUAL(service->name, "catalogue");
	CU_ASSERT_EQUAL(service->document_version, 7);
	CU_ASSERT_EQUAL(service->route_count, 3);
	CU_ASSERT_EQUAL(service->limits.slots, 12);
	CU_ASSERT_EQUAL(service->move->start_ms, 1906711200000ULL);
	CU_ASSERT_EQUAL(service->move->finish_by_ms, 1906714800000ULL);
	CU_ASSERT_EQUAL(service->move->step_count, 5);
	CU_ASSERT_EQUAL(service->move->step_shares_permille[0], 10);
	CU_ASSERT_EQUAL(service->move->judgement.error_permille, 10);
	CU_ASSERT_EQUAL(service->move->judgement.latency_factor_permille, 1500);
	CU_ASSERT_EQUAL(service->move->judgement.soak_ms, 600000);
	CU_ASSERT_EQUAL(service->objective.availability_ppm, 999000);
	CU_ASSERT_STRING_EQUAL(service->calls[0], "plans");
	talloc_free(ctx);
}

/* State of the scripts: each script line edits a copy of base. */
struct edit_state {
	json_t *base;
};

static const char manifest_text[] =
	"{\"sequence\":4,\"write_id\":\"a\",\"services\":["
	"{\"name\":\"catalogue\",\"version\":3,"
	"\"hash\":\"00000000000000c3\",\"move\":\"running\","
	"\"share_permille\":50,\"step\":1},"
	"{\"name\":\"plans\",\"version\":1,"
	"\"hash\":\"fedcba9876543210\",\"move\":\"none\","
	"\"share_permille\":0,\"step\":0}],"
	"\"domains\":[{\"name\":\"kigali-1\",\"out\":true}]}";

/* Sets a member to value (stolen), or deletes it when value is NULL. */
static void set_member(json_t *container, const char *member, json_t *value)
{
	size_t index = strtoul(member, NULL, 10);

	if (json_is_object(container) && value)
		json_object_set_new(container, member, value);
	else if (json_is_object(container))
		json_object_del(container, member);
	else if (index < json_array_size(container) && value)
		json_array_set_new(container, index, value);
	else if (value)
		json_array_append_new(container, value);
	else
		json_array_remove(container, index);
}

/* Sets the member at a path such as "routes/0/name"; "-" deletes it. */
static void edit_json(json_t *json, const char *path, const char *value)
{
	char **members = g_strsplit(path, "/", -1);
	guint last = g_strv_length(members) - 1;

	for (guint i = 0; i < last; i++)
		json = json_is_array(json)
			       ? json_array_get(json,
						strtoul(members[i], NULL, 10))
			       : json_object_get(json, members[i]);
	set_member(json, members[last],
		   strcmp(value, "-") == 0
			   ? NULL
			   : json_loads(value, JSON_DECODE_ANY, NULL));
	g_strfreev(members);
}

/*
 * Returns a copy (new reference) of base in which the member at each path is
 * set to the value that follows it.
 */
static json_t *copy_edited(const struct edit_state *state, char **pairs)
{
	json_t *json = json_deep_copy(state->base);

	for (; pairs[0] && pairs[1]; pairs += 2)
		edit_json(json, pairs[0], pairs[1]);
	return json;
}

static void print_parse(const char *text, size_t size, GString *output)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct doc_problem_list *list = doc_new_problem_list(ctx);

	if (doc_parse_service(ctx, "catalogue.json", text, size, 1, list))
		g_string_append(output, "valid\n");
	doc_print_problems(list, output);
	talloc_free(ctx);
}

static void print_parse_manifest(const char *text, GString *output)
{
	struct doc_manifest *manifest;
	GError *error = NULL;

	manifest = doc_parse_manifest(NULL, text, strlen(text), &error);
	if (manifest)
		g_string_append(output, "valid\n");
	else
		g_string_append_printf(output, "%s\n", error->message);
	g_clear_error(&error);
	talloc_free(manifest);
}

static void print_parse_filled(const char *count, char fill, GString *output)
{
	size_t size = strtoul(count, NULL, 10);
	char *text = g_strnfill(size, fill);

	print_parse(text, size, output);
	g_free(text);
}

static void print_difference(const struct edit_state *state, json_t *after,
			     GString *output)
{
	char *text = doc_format_difference(NULL, state->base, after);

	g_string_append(output, text);
	talloc_free(text);
}

/* Parses the text made of the given lines. */
static void print_parse_lines(char **lines, GString *output)
{
	char *text = g_strjoinv("\n", lines);

	print_parse(text, strlen(text), output);
	g_free(text);
}

static bool run_edit_step(int word_count, char **words, GString *output,
			  void *data)
{
	struct edit_state *state = data;
	json_t *json = copy_edited(state, words + 1);
	char *text = json_dumps(json, JSON_COMPACT);
	bool is_known = true;

	if (strcmp(words[0], "doc") == 0)
		print_parse(text, strlen(text), output);
	else if (strcmp(words[0], "manifest") == 0)
		print_parse_manifest(text, output);
	else if (strcmp(words[0], "differ") == 0)
		print_difference(state, json, output);
	else if (strcmp(words[0], "text") == 0)
		print_parse_lines(words + 1, output);
	else if (strcmp(words[0], "fill") == 0)
		print_parse_filled(words[1], *words[2], output);
	else
		is_known = false;
	free(text);
	json_decref(json);
	return is_known;
}

static void test_invalid_documents(void)
{
	struct edit_state state;

	state.base = json_load_file(EXAMPLES "kigali/catalogue.json", 0, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(state.base);
	scr_run("bad_documents", run_edit_step, &state);
	scr_run("difference", run_edit_step, &state);
	json_decref(state.base);
}

static void test_invalid_manifests(void)
{
	struct edit_state state;

	state.base = json_loads(manifest_text, 0, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(state.base);
	scr_run("bad_manifests", run_edit_step, &state);
	json_decref(state.base);
}

static bool run_route_step(int word_count, char **words, GString *output,
			   void *data)
{
	const struct doc_route *route = NULL;

	if (word_count == 2)
		route = doc_find_route(data, words[0], words[1]);
	if (!route)
		g_string_append(output, "no route\n");
	else
		g_string_append_printf(output, "%s%s\n", route->name,
				       doc_is_repeatable(route, words[0])
					       ? " repeatable"
					       : "");
	return word_count == 2;
}

static void test_routes_match_on_segments(void)
{
	TALLOC_CTX *ctx = talloc_new(NULL);

	scr_run("routes", run_route_step,
		parse_example(ctx, "bogota/orders.json", 1));
	scr_run("routes_nested", run_route_step,
		parse_example(ctx, "kigali/plans.json", 1));
	talloc_free(ctx);
}

static void test_all_examples_are_valid(void)
{
	TALLOC_CTX *ctx = talloc_new(NULL);

	parse_example(ctx, "kigali/catalogue.json", 1);
	parse_example(ctx, "kigali/plans.json", 1);
	parse_example(ctx, "bogota/orders.json", 1);
	parse_example(ctx, "bogota/prescriptions.json", 1);
	talloc_free(ctx);
}

/*
 * Returns a new manifest of count entries, each with the longest texts. The
 * entries are added in reverse order, to check that they are sorted.
 */
static struct doc_manifest *make_largest_manifest(TALLOC_CTX *ctx, size_t count)
{
	struct doc_manifest *manifest = doc_new_manifest(ctx);

	manifest->sequence = INT64_MAX;
	for (size_t i = count; i-- > 0;) {
		char *name = g_strdup_printf("service-%055zu", i);
		struct doc_manifest_service *entry =
			doc_add_manifest_service(manifest, name);

		entry->document_version = INT64_MAX;
		entry->content_hash = UINT64_MAX;
		entry->move_state = DOC_MOVE_TAKEN_BACK;
		entry->share_permille = DOC_SHARE_ALL_PERMILLE;
		entry->step_index = 31;
		g_free(name);
	}
	return manifest;
}

static void check_manifest_size(size_t count)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct doc_manifest *manifest = make_largest_manifest(ctx, count);
	char *text = doc_format_manifest(ctx, manifest);
	size_t size = strlen(text);

	printf("\n    %zu services: at most %zu bytes of %u ", count, size,
	       DOC_TEXT_BYTES_MAX);
	CU_ASSERT_TRUE(size < DOC_TEXT_BYTES_MAX);
	manifest = doc_parse_manifest(ctx, text, size, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(manifest);
	CU_ASSERT_STRING_EQUAL(doc_format_manifest(ctx, manifest), text);
	talloc_free(ctx);
}

static void test_manifest_stays_below_limit(void)
{
	check_manifest_size(130);
	check_manifest_size(1000);
	check_manifest_size(DOC_SERVICES_MAX);
}

static void test_manifest_copy_is_deep(void)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct doc_manifest *manifest = doc_new_manifest(ctx);
	struct doc_manifest *copy;

	doc_add_manifest_service(manifest, "b")->document_version = 2;
	doc_add_manifest_service(manifest, "a")->document_version = 1;
	doc_add_manifest_domain(manifest, "z");
	CU_ASSERT_PTR_EQUAL(doc_add_manifest_service(manifest, "a"),
			    doc_find_manifest_service(manifest, "a"));
	copy = doc_copy_manifest(ctx, manifest);
	doc_remove_manifest_service(manifest, "a");
	doc_remove_manifest_service(manifest, "a");
	CU_ASSERT_PTR_NULL(doc_find_manifest_service(manifest, "a"));
	CU_ASSERT_EQUAL(manifest->service_count, 1);
	talloc_free(manifest);
	CU_ASSERT_EQUAL(copy->service_count, 2);
	CU_ASSERT_STRING_EQUAL(copy->services[0].name, "a");
	CU_ASSERT_EQUAL(doc_find_manifest_service(copy, "b")->document_version,
			2);
	CU_ASSERT_FALSE(doc_find_manifest_domain(copy, "z")->is_out);
	talloc_free(ctx);
}

static const CU_TestInfo tests[] = {
	{ "example is read completely", test_example_is_read_completely },
	{ "all examples are valid", test_all_examples_are_valid },
	{ "invalid documents give all problems", test_invalid_documents },
	{ "invalid manifests are rejected", test_invalid_manifests },
	{ "routes match on segment borders", test_routes_match_on_segments },
	{ "manifest stays below its limit", test_manifest_stays_below_limit },
	{ "copy of a manifest is deep", test_manifest_copy_is_deep },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("document", tests);
}
