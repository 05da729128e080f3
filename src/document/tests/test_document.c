/*
 * Tests of documents, manifest and snapshot.
 */
#include <string.h>
#include "loom/document.h"
#include "loom/error.h"
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

static void test_example_is_read_whole(void)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct doc_service *service;

	service = parse_example(ctx, "kigali/catalogue.json", 7);
	CU_ASSERT_STRING_EQUAL(service->name, "catalogue");
	CU_ASSERT_EQUAL(service->document_version, 7);
	CU_ASSERT_EQUAL(service->route_count, 3);
	CU_ASSERT_EQUAL(service->limits.slots, 12);
	CU_ASSERT_EQUAL(service->move->start_ms, 1796378400000ULL);
	CU_ASSERT_EQUAL(service->move->finish_by_ms, 1796382000000ULL);
	CU_ASSERT_EQUAL(service->move->step_count, 5);
	CU_ASSERT_EQUAL(service->move->step_shares_permille[0], 10);
	CU_ASSERT_EQUAL(service->move->judgement.error_permille, 10);
	CU_ASSERT_EQUAL(service->move->judgement.latency_factor_permille, 1500);
	CU_ASSERT_EQUAL(service->move->judgement.soak_ms, 600000);
	CU_ASSERT_EQUAL(service->objective.availability_ppm, 999000);
	CU_ASSERT_STRING_EQUAL(service->calls[0], "plans");
	talloc_free(ctx);
}

static void test_snapshot_is_built(void)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct doc_manifest *manifest = doc_new_manifest(ctx);
	struct doc_snapshot *snapshot;
	struct doc_service *services[2];
	struct doc_manifest *again;
	GError *error = NULL;
	char *text;

	services[0] = parse_example(ctx, "kigali/plans.json", 2);
	services[1] = parse_example(ctx, "kigali/catalogue.json", 1);
	doc_add_manifest_service(manifest, "plans")->document_version = 2;
	doc_add_manifest_service(manifest, "catalogue")->document_version = 1;
	doc_add_manifest_domain(manifest, "kigali-1")->is_out = true;
	text = doc_format_manifest(ctx, manifest);
	again = doc_parse_manifest(ctx, text, strlen(text), &error);
	CU_ASSERT_PTR_NOT_NULL_FATAL(again);
	snapshot = doc_build_snapshot(again, services, 2, &error);
	CU_ASSERT_PTR_NOT_NULL_FATAL(snapshot);
	talloc_free(ctx);
	CU_ASSERT_PTR_EQUAL(doc_find_service(snapshot, "plans"), services[0]);
	CU_ASSERT_TRUE(doc_is_domain_out(snapshot, "kigali-1"));
	doc_unref_snapshot(doc_ref_snapshot(snapshot));
	doc_unref_snapshot(snapshot);
}

static const CU_TestInfo tests[] = {
	{ "example is read whole", test_example_is_read_whole },
	{ "snapshot is built", test_snapshot_is_built },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("document", tests);
}
