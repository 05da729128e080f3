/*
 * Store of the documents that the snapshot in force and the next one need.
 *
 * Documents are stored as JSON text by name, version and hash. When a manifest
 * is adopted, documents that it does not name are dropped, except newer
 * versions of its services.
 * Invariants: the sequence in force never decreases; the content of a document
 * has the hash that it is stored under.
 */
#include "store.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include "loom/error.h"
#include "loom/spread.h"

struct stored_document {
	char *name;
	uint64_t document_version;
	uint64_t content_hash;
	char *text;
};

struct spr_store {
	GPtrArray *documents; /* struct stored_document */
	struct doc_snapshot *snapshot;
};

static void free_document(gpointer data)
{
	struct stored_document *document = data;

	g_free(document->name);
	free(document->text);
	g_free(document);
}

static int destroy_store(struct spr_store *store)
{
	g_ptr_array_unref(store->documents);
	if (store->snapshot)
		doc_unref_snapshot(store->snapshot);
	return 0;
}

static const struct stored_document *
find_document(const struct spr_store *store,
	      const struct doc_manifest_service *entry)
{
	for (guint i = 0; i < store->documents->len; i++) {
		const struct stored_document *document =
			store->documents->pdata[i];

		if (document->document_version == entry->document_version &&
		    document->content_hash == entry->content_hash &&
		    strcmp(document->name, entry->name) == 0)
			return document;
	}
	return NULL;
}

static struct doc_service *parse_document(TALLOC_CTX *ctx, const char *name,
					  uint64_t document_version,
					  const char *text, GError **error)
{
	struct doc_problem_list *list = doc_new_problem_list(ctx);
	struct doc_service *service;
	GString *problems;

	service = doc_parse_service(ctx, name, text, strlen(text),
				    document_version, list);
	if (service && strcmp(service->name, name) == 0)
		return service;
	problems = g_string_new(service ? "the document names another service"
					: NULL);
	doc_print_problems(list, problems);
	err_set(error, ERR_INVALID_DOCUMENT, "parse accepted document", name,
		"version %" PRIu64 ": %s", document_version, problems->str);
	g_string_free(problems, TRUE);
	return NULL;
}

struct spr_store *spr_new_store(TALLOC_CTX *ctx)
{
	struct spr_store *store = talloc_zero(ctx, struct spr_store);

	store->documents = g_ptr_array_new_with_free_func(free_document);
	talloc_set_destructor(store, destroy_store);
	return store;
}

/* Checks that a document has the hash of the entry and parses. */
static bool check_document(const struct doc_manifest_service *entry,
			   const char *text, uint64_t content_hash,
			   GError **error)
{
	TALLOC_CTX *scratch;
	bool is_valid;

	if (content_hash != entry->content_hash) {
		err_set(error, ERR_INVALID_DOCUMENT, "check document",
			entry->name,
			"got content of hash %016" PRIx64 ", wanted %016" PRIx64
			" for version %" PRIu64,
			content_hash, entry->content_hash,
			entry->document_version);
		return false;
	}
	scratch = talloc_new(NULL);
	is_valid = parse_document(scratch, entry->name, entry->document_version,
				  text, error) != NULL;
	talloc_free(scratch);
	return is_valid;
}

bool spr_add_document(struct spr_store *store,
		      const struct doc_manifest_service *entry,
		      const json_t *document, GError **error)
{
	struct stored_document *stored;
	char *text;

	if (!json_is_object(document)) {
		err_set(error, ERR_INVALID_DOCUMENT, "check document",
			entry->name, "got no JSON object, wanted a document");
		return false;
	}
	if (find_document(store, entry))
		return true;
	text = json_dumps(document, JSON_COMPACT);
	if (!check_document(entry, text, doc_hash_content(document), error)) {
		free(text);
		return false;
	}
	stored = g_new0(struct stored_document, 1);
	stored->name = g_strdup(entry->name);
	stored->document_version = entry->document_version;
	stored->content_hash = entry->content_hash;
	stored->text = text;
	g_ptr_array_add(store->documents, stored);
	return true;
}

const char *spr_find_document(const struct spr_store *store,
			      const struct doc_manifest_service *entry)
{
	const struct stored_document *document = find_document(store, entry);

	return document ? document->text : NULL;
}

char *spr_make_accepted_key(TALLOC_CTX *ctx,
			    const struct doc_manifest_service *entry)
{
	return talloc_asprintf(ctx, "%s%s/%" PRIu64 "-%016" PRIx64,
			       SPR_KEY_ACCEPTED, entry->name,
			       entry->document_version, entry->content_hash);
}

static struct doc_snapshot *build_snapshot(const struct spr_store *store,
					   const struct doc_manifest *manifest,
					   GError **error)
{
	TALLOC_CTX *scratch = talloc_new(NULL);
	struct doc_service **services;
	struct doc_snapshot *snapshot = NULL;

	services = talloc_zero_array(scratch, struct doc_service *,
				     manifest->service_count + 1);
	for (size_t i = 0; i < manifest->service_count; i++) {
		const struct doc_manifest_service *entry =
			&manifest->services[i];
		const struct stored_document *document =
			find_document(store, entry);

		if (!document) {
			err_set(error, ERR_NOT_FOUND, "build snapshot",
				entry->name,
				"document version %" PRIu64 " is not stored",
				entry->document_version);
			goto out;
		}
		services[i] = parse_document(scratch, entry->name,
					     entry->document_version,
					     document->text, error);
		if (!services[i])
			goto out;
	}
	snapshot = doc_build_snapshot(manifest, services,
				      manifest->service_count, error);
out:
	talloc_free(scratch);
	return snapshot;
}

static void drop_unused(struct spr_store *store)
{
	const struct doc_manifest *manifest = doc_get_manifest(store->snapshot);

	for (guint i = store->documents->len; i > 0; i--) {
		const struct stored_document *document =
			store->documents->pdata[i - 1];
		const struct doc_manifest_service *entry =
			doc_find_manifest_service(manifest, document->name);

		if (!entry ||
		    entry->document_version > document->document_version ||
		    (entry->document_version == document->document_version &&
		     entry->content_hash != document->content_hash))
			g_ptr_array_remove_index_fast(store->documents, i - 1);
	}
}

bool spr_adopt_manifest(struct spr_store *store,
			const struct doc_manifest *manifest, GError **error)
{
	struct doc_snapshot *snapshot;

	if (store->snapshot && manifest->sequence <= spr_get_sequence(store))
		return false;
	snapshot = build_snapshot(store, manifest, error);
	if (!snapshot)
		return false;
	if (store->snapshot)
		doc_unref_snapshot(store->snapshot);
	store->snapshot = snapshot;
	drop_unused(store);
	return true;
}

struct doc_snapshot *spr_get_store_snapshot(const struct spr_store *store)
{
	return store->snapshot;
}

uint64_t spr_get_sequence(const struct spr_store *store)
{
	return store->snapshot ? doc_get_manifest(store->snapshot)->sequence
			       : 0;
}
