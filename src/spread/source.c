/*
 * Source of manifests: reads the manifest from the platform, by a watch or by
 * single reads, and the accepted documents that the store lacks.
 *
 * Invariant: missing_count reads of documents for the pending manifest are
 * active. When the last one ends, the manifest is adopted; if that fails, the
 * reads are repeated after RETRY_MS.
 */
#include "source.h"

#include <stdlib.h>
#include <string.h>
#include "loom/error.h"
#include "loom/log.h"
#include "loom/spread.h"

/* Delay before documents that could not be read are read again. */
#define RETRY_MS 500U

struct spr_source {
	struct plat_client *platform;
	struct tmr_service *timers;
	struct spr_store *store;
	struct plat_watch *watch; /* NULL: not watched */
	struct plat_call *call;	  /* active single read, or NULL */
	struct tmr_subscription *retry;
	struct doc_manifest *pending; /* newest manifest read, or NULL */
	TALLOC_CTX *reads; /* owns the calls for the pending manifest */
	uint32_t missing_count;
	struct spr_platform_manifest present;
	spr_source_fn fn;
	void *data;
};

struct document_read {
	struct spr_source *source;
	struct doc_manifest_service entry;
};

static void read_missing(struct spr_source *source);

static void handle_retry(uint64_t now_ms, void *data)
{
	struct spr_source *source = data;

	source->retry = NULL;
	if (source->pending->sequence > spr_get_sequence(source->store))
		read_missing(source);
}

static void adopt_pending(struct spr_source *source)
{
	GError *error = NULL;

	if (spr_adopt_manifest(source->store, source->pending, &error))
		source->fn(source->data);
	if (error) {
		log_write_error(LOG_LEVEL_WARNING, "spread", error);
		source->retry = tmr_subscribe_once(
			source, source->timers, RETRY_MS, handle_retry, source);
	}
	g_clear_error(&error);
}

static void handle_document(const struct plat_result *result, void *data)
{
	struct document_read *read = data;
	struct spr_source *source = read->source;
	GError *error = NULL;

	source->missing_count--;
	if (result->error)
		log_write_error(LOG_LEVEL_WARNING, "spread", result->error);
	else
		spr_add_document(
			source->store, &read->entry,
			json_object_get(result->objects[0].value, "document"),
			&error);
	if (error)
		log_write_error(LOG_LEVEL_WARNING, "spread", error);
	g_clear_error(&error);
	if (source->missing_count == 0)
		adopt_pending(source);
}

static void read_document(struct spr_source *source,
			  const struct doc_manifest_service *entry)
{
	struct document_read *read =
		talloc_zero(source->reads, struct document_read);

	read->source = source;
	read->entry = *entry;
	read->entry.name = talloc_strdup(read, entry->name);
	source->missing_count++;
	plat_get_object(read, source->platform,
			spr_make_accepted_key(read, entry), handle_document,
			read);
}

static void read_missing(struct spr_source *source)
{
	const struct doc_manifest *manifest = source->pending;

	TALLOC_FREE(source->retry);
	TALLOC_FREE(source->reads);
	source->reads = talloc_new(source);
	source->missing_count = 0;
	for (size_t i = 0; i < manifest->service_count; i++) {
		const struct doc_manifest_service *entry =
			&manifest->services[i];

		if (!spr_find_document(source->store, entry))
			read_document(source, entry);
	}
	if (source->missing_count == 0)
		adopt_pending(source);
}

static void set_manifest_absent(struct spr_source *source)
{
	source->present = (struct spr_platform_manifest){
		.is_known = true,
		.write_id = "",
	};
}

static void handle_manifest(struct spr_source *source,
			    const struct plat_object *object)
{
	struct doc_manifest *manifest;
	GError *error = NULL;
	char *text;

	text = json_dumps(object->value, JSON_COMPACT);
	manifest = doc_parse_manifest(source, text, strlen(text), &error);
	free(text);
	if (!manifest) {
		log_write_error(LOG_LEVEL_WARNING, "spread", error);
		g_clear_error(&error);
		return;
	}
	TALLOC_FREE(source->reads);
	TALLOC_FREE(source->retry);
	talloc_free(source->pending);
	source->pending = manifest;
	source->present = (struct spr_platform_manifest){
		.is_known = true,
		.object_version = object->version,
		.sequence = manifest->sequence,
		.write_id = manifest->write_id,
	};
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
		if (result->object_count == 0)
			set_manifest_absent(source);
		break;
	case PLAT_WATCH_CHANGED:
		break;
	}
	for (size_t i = 0; i < result->object_count; i++) {
		if (result->objects[i].is_deleted)
			set_manifest_absent(source);
		else
			handle_manifest(source, &result->objects[i]);
	}
	source->fn(source->data);
}

static void handle_read(const struct plat_result *result, void *data)
{
	struct spr_source *source = data;

	source->call = NULL;
	if (!result->error)
		handle_manifest(source, &result->objects[0]);
	else if (g_error_matches(result->error, ERR_DOMAIN, ERR_NOT_FOUND))
		set_manifest_absent(source);
	else
		return;
	source->fn(source->data);
}

struct spr_source *spr_new_source(TALLOC_CTX *ctx, struct plat_client *platform,
				  struct tmr_service *timers,
				  struct spr_store *store, spr_source_fn fn,
				  void *data)
{
	struct spr_source *source = talloc_zero(ctx, struct spr_source);

	source->platform = platform;
	source->timers = timers;
	source->store = store;
	source->fn = fn;
	source->data = data;
	source->present.write_id = "";
	return source;
}

void spr_watch_manifest(struct spr_source *source, bool is_watched)
{
	if (!is_watched)
		TALLOC_FREE(source->watch);
	else if (!source->watch)
		source->watch = plat_watch_prefix(source, source->platform,
						  SPR_KEY_MANIFEST,
						  handle_watch, source);
}

void spr_read_manifest(struct spr_source *source)
{
	if (source->watch || source->call)
		return;
	source->call = plat_get_object(source, source->platform,
				       SPR_KEY_MANIFEST, handle_read, source);
}

void spr_get_platform_manifest(const struct spr_source *source,
			       struct spr_platform_manifest *present)
{
	*present = source->present;
}
