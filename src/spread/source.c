/*
 * Source: one watch on the manifest, and reads of the accepted documents that
 * the store lacks.
 *
 * Invariant: missing_count reads are under way for the pending manifest; when
 * the last one ends the manifest is adopted or, on a failed read, tried again.
 */
#include "source.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include "loom/log.h"
#include "loom/spread.h"

struct spr_source {
	struct plat_client *platform;
	struct spr_store *store;
	struct plat_watch *watch;
	struct doc_manifest *pending; /* newest one read, or NULL */
	TALLOC_CTX *reads;	      /* calls for the pending manifest */
	uint32_t missing_count;
	bool is_known;
	uint64_t object_version;
	spr_source_fn fn;
	void *data;
};

struct document_read {
	struct spr_source *source;
	const char *name;
	uint64_t document_version;
};

static void adopt_pending(struct spr_source *source)
{
	GError *error = NULL;

	if (spr_adopt_manifest(source->store, source->pending, &error))
		source->fn(source->data);
	if (error)
		log_write_error(LOG_LEVEL_WARNING, "spread", error);
	g_clear_error(&error);
}

static void take_document(const struct plat_result *result, void *data)
{
	struct document_read *read = data;
	struct spr_source *source = read->source;
	GError *error = NULL;

	source->missing_count--;
	if (result->error)
		log_write_error(LOG_LEVEL_WARNING, "spread", result->error);
	else
		spr_add_document(
			source->store, read->name, read->document_version,
			json_object_get(result->objects[0].value, "document"),
			&error);
	if (error)
		log_write_error(LOG_LEVEL_WARNING, "spread", error);
	g_clear_error(&error);
	if (source->missing_count == 0)
		adopt_pending(source);
}

static void read_document(struct spr_source *source, const char *name,
			  uint64_t document_version)
{
	struct document_read *read =
		talloc_zero(source->reads, struct document_read);
	char *key = talloc_asprintf(read, "%s%s/%" PRIu64, SPR_KEY_ACCEPTED,
				    name, document_version);

	read->source = source;
	read->name = talloc_strdup(read, name);
	read->document_version = document_version;
	source->missing_count++;
	plat_get_object(read, source->platform, key, take_document, read);
}

static void read_missing(struct spr_source *source)
{
	const struct doc_manifest *manifest = source->pending;

	TALLOC_FREE(source->reads);
	source->reads = talloc_new(source);
	source->missing_count = 0;
	for (size_t i = 0; i < manifest->service_count; i++) {
		const struct doc_manifest_service *entry =
			&manifest->services[i];

		if (!spr_has_document(source->store, entry->name,
				      entry->document_version))
			read_document(source, entry->name,
				      entry->document_version);
	}
	if (source->missing_count == 0)
		adopt_pending(source);
}

static void take_manifest(struct spr_source *source,
			  const struct plat_object *object)
{
	struct doc_manifest *manifest;
	GError *error = NULL;
	char *text;

	source->object_version = object->version;
	text = json_dumps(object->value, JSON_COMPACT);
	manifest = doc_parse_manifest(source, text, strlen(text), &error);
	free(text);
	if (!manifest) {
		log_write_error(LOG_LEVEL_WARNING, "spread", error);
		g_clear_error(&error);
		return;
	}
	talloc_free(source->pending);
	source->pending = manifest;
	if (manifest->sequence > spr_get_sequence(source->store) ||
	    !spr_get_store_snapshot(source->store))
		read_missing(source);
}

static void handle_watch(enum plat_watch_kind kind,
			 const struct plat_result *result, void *data)
{
	struct spr_source *source = data;

	switch (kind) {
	case PLAT_WATCH_STALE:
	case PLAT_WATCH_FAILED:
		if (result->error)
			log_write_error(LOG_LEVEL_WARNING, "spread",
					result->error);
		return;
	case PLAT_WATCH_LISTED:
	case PLAT_WATCH_CHANGED:
		break;
	}
	source->is_known = true;
	if (kind == PLAT_WATCH_LISTED && result->object_count == 0) {
		source->object_version = 0;
		source->fn(source->data);
	}
	for (size_t i = 0; i < result->object_count; i++) {
		if (!result->objects[i].is_deleted)
			take_manifest(source, &result->objects[i]);
	}
}

struct spr_source *spr_new_source(TALLOC_CTX *ctx, struct plat_client *platform,
				  struct spr_store *store, spr_source_fn fn,
				  void *data)
{
	struct spr_source *source = talloc_zero(ctx, struct spr_source);

	source->platform = platform;
	source->store = store;
	source->fn = fn;
	source->data = data;
	source->watch = plat_watch_prefix(source, platform, SPR_KEY_MANIFEST,
					  handle_watch, source);
	return source;
}

bool spr_get_manifest_version(const struct spr_source *source,
			      uint64_t *object_version)
{
	*object_version = source->object_version;
	return source->is_known;
}
