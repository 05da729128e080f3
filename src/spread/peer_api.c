/*
 * HTTP API for peers and operators. Requests are untrusted: types and bounds
 * are checked, and an invalid request is rejected as a whole with all its
 * problems.
 */
#include "peer_api.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include "loom/error.h"
#include "loom/reader.h"
#include "puller.h"

#define REQUEST_BYTES_MAX (256U * 1024U)
#define HASH_DIGITS 16U

static const struct rd_range documents_range = { 1, SPR_BUNDLE_DOCUMENTS_MAX };
static const struct rd_range version_range = { 1, INT64_MAX };
static const struct rd_range hash_range = { HASH_DIGITS, HASH_DIGITS };

static void answer_manifest(struct spr_store *store,
			    struct web_request *request)
{
	struct doc_snapshot *snapshot = spr_get_store_snapshot(store);
	char *text;

	if (!snapshot) {
		web_reply_error(request, MHD_HTTP_NOT_FOUND,
				"no manifest is in force on this node yet");
		return;
	}
	text = doc_format_manifest(NULL, doc_get_manifest(snapshot));
	web_reply(request, MHD_HTTP_OK, "application/json", text, strlen(text));
	talloc_free(text);
}

static void add_document(const struct spr_store *store,
			 const struct doc_manifest_service *entry,
			 json_t *documents, size_t *size)
{
	const char *text = spr_find_document(store, entry);

	if (!text || (*size > 0 && *size + strlen(text) > SPR_BUNDLE_BYTES_MAX))
		return;
	*size += strlen(text);
	json_array_append_new(documents,
			      json_pack("{s:s,s:o}", "name", entry->name,
					"document", json_loads(text, 0, NULL)));
}

static json_t *read_bundle(const struct spr_store *store,
			   struct rd_object *object)
{
	json_t *documents = json_array();
	size_t size = 0;
	size_t count;

	if (!rd_read_array(object, "documents", RD_REQUIRED, &documents_range,
			   &count))
		return documents;
	for (size_t i = 0; i < count; i++) {
		struct rd_object *item = rd_open_item(object, "documents", i);
		struct doc_manifest_service entry = { 0 };
		const char *hash = NULL;

		if (!item)
			continue;
		if (rd_read_label(item, "name", RD_REQUIRED, &entry.name) &&
		    rd_read_uint64(item, "version", RD_REQUIRED, &version_range,
				   &entry.document_version) &&
		    rd_read_text(item, "hash", RD_REQUIRED, &hash_range,
				 &hash)) {
			entry.content_hash = g_ascii_strtoull(hash, NULL, 16);
			add_document(store, &entry, documents, &size);
		}
		rd_close_object(item);
	}
	rd_close_object(object);
	return documents;
}

static void answer_bundle(struct spr_store *store, struct web_request *request)
{
	TALLOC_CTX *scratch = talloc_new(NULL);
	struct prob_list *list = prob_new_list(scratch);
	GString *problems = g_string_new(NULL);
	struct rd_object *object = NULL;
	json_t *documents = NULL;
	size_t size;
	const char *body = web_get_body(request, &size);
	json_t *json = rd_parse_text("bundle", body ? body : "", size,
				     REQUEST_BYTES_MAX, list);

	if (json)
		object = rd_open_object(scratch, json, "bundle", list);
	if (object)
		documents = read_bundle(store, object);
	prob_print_list(list, problems);
	if (prob_get_count(list) > 0)
		web_reply_error(request, MHD_HTTP_BAD_REQUEST, problems->str);
	else
		web_reply_json(request, MHD_HTTP_OK,
			       json_pack("{s:O}", "documents", documents));
	json_decref(documents);
	json_decref(json);
	g_string_free(problems, TRUE);
	talloc_free(scratch);
}

static bool handle_offer(struct spr_store *store, struct web_request *request)
{
	TALLOC_CTX *scratch = talloc_new(NULL);
	struct doc_manifest *manifest;
	bool is_adopted = false;
	GError *error = NULL;
	size_t size;
	const char *body = web_get_body(request, &size);

	manifest = doc_parse_manifest(scratch, body ? body : "", size, &error);
	if (manifest && !*manifest->write_id)
		err_set(&error, ERR_INVALID_DOCUMENT, "take manifest", NULL,
			"got no write id, wanted a manifest that was written "
			"to the platform");
	else if (manifest)
		is_adopted = spr_adopt_manifest(store, manifest, &error);
	if (error)
		web_reply_error(request, MHD_HTTP_CONFLICT, error->message);
	else
		web_reply_json(request,
			       is_adopted ? MHD_HTTP_OK : MHD_HTTP_CONFLICT,
			       json_pack("{s:I}", "sequence",
					 (json_int_t)spr_get_sequence(store)));
	g_clear_error(&error);
	talloc_free(scratch);
	return is_adopted;
}

bool spr_answer_request(struct spr_store *store, struct web_request *request)
{
	const char *method = web_get_method(request);
	const char *path = web_get_path(request);
	bool is_post = strcmp(method, "POST") == 0;

	if (strcmp(path, "/spread/manifest") == 0 && is_post)
		return handle_offer(store, request);
	if (strcmp(path, "/spread/manifest") == 0 && strcmp(method, "GET") == 0)
		answer_manifest(store, request);
	else if (strcmp(path, "/spread/bundle") == 0 && is_post)
		answer_bundle(store, request);
	else
		web_reply_error(request, MHD_HTTP_NOT_FOUND, "no such page");
	return false;
}
