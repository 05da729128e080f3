/*
 * Tests of merging proposed documents into a manifest, and of building a
 * snapshot.
 */
#include <stdlib.h>
#include <string.h>
#include "loom/document.h"
#include "loom/error.h"
#include "script.h"

#define PROPOSALS_MAX 16U
#define THREAD_COUNT 4U
#define USE_COUNT 10000U

struct merge_test {
	struct doc_manifest *manifest;
	GPtrArray *documents; /* struct doc_service, owned by the test */
	GPtrArray *proposed;  /* struct doc_proposal */
	struct doc_snapshot *snapshot;
};

static const char move_text[] =
	",\"move\":{\"from\":\"v1\",\"to\":\"v2\","
	"\"start\":\"2026-12-04T10:00:00Z\","
	"\"finish_by\":\"2026-12-04T11:00:00Z\",\"steps_percent\":[1,100]}";

/* Appends the move of move_text with a later end. */
static void append_other_move(GString *text)
{
	char **parts = g_strsplit(move_text, "T11:", 2);
	char *other = g_strjoinv("T12:", parts);

	g_string_append(text, other);
	g_free(other);
	g_strfreev(parts);
}

/*
 * Returns the text of a document, freed by the caller with g_free(). Options
 * are "calls=a,b", "move", "other-move" and "bad", which adds an unknown field.
 */
static char *make_text(const char *name, char **options)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text,
			"{\"service\":\"%s\",\"versions\":[\"v1\",\"v2\"],"
			"\"current\":\"v1\",\"routes\":[{\"name\":\"all\","
			"\"path\":\"/\",\"timeout_ms\":500}]",
			name);
	for (; *options; options++) {
		if (g_str_has_prefix(*options, "calls=")) {
			char **calls = g_strsplit(*options + 6, ",", -1);
			char *joined = g_strjoinv("\",\"", calls);

			g_string_append_printf(text, ",\"calls\":[\"%s\"]",
					       joined);
			g_free(joined);
			g_strfreev(calls);
		} else if (strcmp(*options, "move") == 0) {
			g_string_append(text, move_text);
		} else if (strcmp(*options, "other-move") == 0) {
			append_other_move(text);
		} else {
			g_string_append(text, ",\"bad\":1");
		}
	}
	g_string_append(text, "}");
	return g_string_free(text, FALSE);
}

static struct doc_service *parse_text(struct merge_test *test, const char *name,
				      const char *version, char **options,
				      struct doc_problem_list *list)
{
	char *text = make_text(name, options);
	struct doc_service *service;

	service = doc_parse_service(test->manifest, name, text, strlen(text),
				    strtoull(version, NULL, 10), list);
	g_free(text);
	if (service) {
		talloc_steal(test, service);
		g_ptr_array_add(test->documents, service);
	}
	return service;
}

static struct doc_proposal *add_proposal(struct merge_test *test,
					 const char *name)
{
	struct doc_proposal *proposal = talloc_zero(test, struct doc_proposal);

	proposal->name = talloc_strdup(proposal, name);
	g_ptr_array_add(test->proposed, proposal);
	return proposal;
}

/* "put KEY VERSION [as=NAME] [OPTION...]"; as=NAME names another service. */
static void put_document(struct merge_test *test, char **words)
{
	struct doc_proposal *proposal = add_proposal(test, words[1]);
	struct doc_problem_list *list = doc_new_problem_list(proposal);
	const char *name = words[1];
	char **options = words + 3;

	if (*options && g_str_has_prefix(*options, "as=")) {
		name = *options + 3;
		options++;
	}
	proposal->document_version = strtoull(words[2], NULL, 10);
	proposal->service = parse_text(test, name, words[2], options, list);
	proposal->problems = list;
}

static void set_entry(struct merge_test *test, char **words)
{
	struct doc_manifest_service *entry;

	entry = doc_add_manifest_service(test->manifest, words[1]);
	entry->document_version = strtoull(words[2], NULL, 10);
	for (guint i = 0; i < test->documents->len; i++) {
		const struct doc_service *service = test->documents->pdata[i];

		if (strcmp(service->name, entry->name) == 0 &&
		    service->document_version == entry->document_version)
			entry->content_hash = service->content_hash;
	}
	if (!words[3])
		return;
	CU_ASSERT_TRUE(doc_parse_move_state(words[3], &entry->move_state));
	entry->share_permille = (uint32_t)strtoul(words[4], NULL, 10);
	entry->step_index =
		words[5] ? (uint32_t)strtoul(words[5], NULL, 10) : 1;
}

static void print_verdicts(const struct doc_merge_result *merge_result,
			   GString *output)
{
	for (size_t i = 0; i < merge_result->verdict_count; i++) {
		const struct doc_verdict *verdict = &merge_result->verdicts[i];

		g_string_append_printf(output, "%s %s\n", verdict->name,
				       doc_get_verdict_name(verdict->kind));
		doc_print_problems(verdict->problems, output);
	}
}

static void print_manifest(const struct doc_manifest *manifest, GString *output)
{
	g_string_append_printf(
		output, "sequence %u:", (unsigned int)manifest->sequence);
	for (size_t i = 0; i < manifest->service_count; i++) {
		const struct doc_manifest_service *entry =
			&manifest->services[i];

		g_string_append_printf(output, " %s@%u", entry->name,
				       (unsigned int)entry->document_version);
		if (entry->move_state != DOC_MOVE_NONE)
			g_string_append_printf(
				output, "(%s %u %u)",
				doc_get_move_state_name(entry->move_state),
				entry->share_permille, entry->step_index);
	}
	g_string_append_c(output, '\n');
}

static struct doc_merge_result *merge_proposals(struct merge_test *test,
						GError **error)
{
	struct doc_proposal proposals[PROPOSALS_MAX];
	guint count = test->proposed->len;

	for (guint i = 0; i < count; i++)
		proposals[i] = *(struct doc_proposal *)test->proposed->pdata[i];
	return doc_merge_documents(
		test, test->manifest,
		(const struct doc_service *const *)test->documents->pdata,
		test->documents->len, proposals, count, error);
}

/* Merges the proposals, prints the verdicts and adopts the next manifest. */
static void run_merge(struct merge_test *test, GString *output)
{
	GError *error = NULL;
	struct doc_merge_result *merge_result;

	merge_result = merge_proposals(test, &error);
	g_ptr_array_set_size(test->proposed, 0);
	if (!merge_result) {
		g_string_append_printf(output, "%s\n", error->message);
		g_error_free(error);
		return;
	}
	print_verdicts(merge_result, output);
	CU_ASSERT_EQUAL(merge_result->is_changed,
			merge_result->manifest->sequence !=
				test->manifest->sequence);
	talloc_free(test->manifest);
	test->manifest = talloc_steal(test, merge_result->manifest);
	print_manifest(test->manifest, output);
	talloc_free(merge_result);
}

/* Builds a snapshot; a failed build must not change the owner of a document. */
static void build_snapshot(struct merge_test *test, GString *output)
{
	struct doc_snapshot *snapshot;
	GError *error = NULL;

	snapshot = doc_build_snapshot(
		test->manifest, (struct doc_service **)test->documents->pdata,
		test->documents->len, &error);
	if (snapshot) {
		doc_unref_snapshot(test->snapshot);
		test->snapshot = snapshot;
		g_ptr_array_set_size(test->documents, 0);
	} else {
		g_string_append_printf(output, "%s\n", error->message);
		g_error_free(error);
	}
	for (guint i = 0; i < test->documents->len; i++)
		CU_ASSERT_PTR_EQUAL(talloc_parent(test->documents->pdata[i]),
				    test);
	g_string_append(output, "in force: ");
	if (test->snapshot)
		print_manifest(doc_get_manifest(test->snapshot), output);
	else
		g_string_append(output, "nothing\n");
}

static void forget_documents(struct merge_test *test, const char *name)
{
	for (guint i = test->documents->len; i-- > 0;) {
		const struct doc_service *service = test->documents->pdata[i];

		if (strcmp(service->name, name) == 0)
			g_ptr_array_remove_index(test->documents, i);
	}
}

static bool run_step(int word_count, char **words, GString *output, void *data)
{
	struct merge_test *test = data;
	const char *step = words[0];

	if (strcmp(step, "put") == 0)
		put_document(test, words);
	else if (strcmp(step, "remove") == 0)
		add_proposal(test, words[1])->is_removal = true;
	else if (strcmp(step, "merge") == 0)
		run_merge(test, output);
	else if (strcmp(step, "document") == 0)
		parse_text(test, words[1], words[2], words + 3,
			   doc_new_problem_list(test));
	else if (strcmp(step, "forget") == 0)
		forget_documents(test, words[1]);
	else if (strcmp(step, "entry") == 0)
		set_entry(test, words);
	else if (strcmp(step, "drop") == 0)
		doc_remove_manifest_service(test->manifest, words[1]);
	else if (strcmp(step, "sequence") == 0)
		test->manifest->sequence = strtoull(words[1], NULL, 10);
	else if (strcmp(step, "build") == 0)
		build_snapshot(test, output);
	else
		return false;
	return true;
}

static void run_merge_script(const char *name)
{
	struct merge_test *test = talloc_zero(NULL, struct merge_test);

	test->manifest = doc_new_manifest(test);
	test->documents = g_ptr_array_new();
	test->proposed = g_ptr_array_new();
	scr_run(name, run_step, test);
	doc_unref_snapshot(test->snapshot);
	g_ptr_array_free(test->documents, TRUE);
	g_ptr_array_free(test->proposed, TRUE);
	talloc_free(test);
}

static gpointer use_snapshot(gpointer data)
{
	struct doc_snapshot *snapshot = data;

	for (guint i = 0; i < USE_COUNT; i++) {
		doc_ref_snapshot(snapshot);
		g_assert(doc_find_service(snapshot, "a"));
		doc_unref_snapshot(snapshot);
	}
	doc_unref_snapshot(snapshot);
	return NULL;
}

/*
 * Releases the first reference while other threads still use the snapshot: only
 * the release of the last reference may free it.
 */
static void test_last_release_frees(void)
{
	struct doc_manifest *manifest = doc_new_manifest(NULL);
	struct doc_service *service = talloc_zero(NULL, struct doc_service);
	struct doc_snapshot *snapshot;
	GThread *threads[THREAD_COUNT];

	service->name = "a";
	service->document_version = 1;
	doc_add_manifest_service(manifest, "a")->document_version = 1;
	snapshot = doc_build_snapshot(manifest, &service, 1, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(snapshot);
	talloc_free(manifest);
	for (guint i = 0; i < THREAD_COUNT; i++)
		threads[i] = g_thread_new("reader", use_snapshot,
					  doc_ref_snapshot(snapshot));
	doc_unref_snapshot(snapshot);
	for (guint i = 0; i < THREAD_COUNT; i++)
		g_thread_join(threads[i]);
}

static void test_merge(void)
{
	run_merge_script("merge");
}

static void test_snapshot(void)
{
	run_merge_script("snapshot");
}

static const CU_TestInfo tests[] = {
	{ "merge keeps a document for every called service", test_merge },
	{ "snapshot is built completely or not at all", test_snapshot },
	{ "release of the last reference frees a snapshot",
	  test_last_release_frees },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("merge", tests);
}
