/*
 * Sweep of superseded copies.
 *
 * A copy is deleted when two sweeps in a row find it superseded, so that nodes
 * that have just read the manifest which named it have one period to fetch it.
 * A version below the one in force is never accepted again; hence no writer is
 * about to name a copy that is deleted.
 * Invariant: candidates contains the keys that the last sweep found superseded.
 */
#include "sweep.h"

#include <string.h>
#include "loom/error.h"
#include "loom/log.h"
#include "loom/spread.h"

struct spr_sweep {
	struct plat_client *platform;
	const struct spr_store *store;
	GHashTable *documents;
	GHashTable *candidates;
	struct plat_call *list; /* active call, or NULL */
};

bool spr_is_superseded(const struct doc_manifest *manifest,
		       GHashTable *documents, const char *key)
{
	const struct doc_manifest_service *entry;
	const char *slash;
	const char *name;
	uint64_t version;
	char *service;
	bool is_superseded;

	if (!g_str_has_prefix(key, SPR_KEY_ACCEPTED))
		return false;
	name = key + strlen(SPR_KEY_ACCEPTED);
	slash = strchr(name, '/');
	if (!slash)
		return false;
	service = g_strndup(name, (gsize)(slash - name));
	version = g_ascii_strtoull(slash + 1, NULL, 10);
	entry = doc_find_manifest_service(manifest, service);
	is_superseded = entry ? version < entry->document_version
			      : !g_hash_table_contains(documents, service);
	g_free(service);
	return is_superseded;
}

static void finish_delete(const struct plat_result *result, void *data)
{
	if (result->error)
		log_write_error(LOG_LEVEL_WARNING, "spread", result->error);
}

static void handle_list(const struct plat_result *result, void *data)
{
	struct spr_sweep *sweep = data;
	struct doc_snapshot *snapshot = spr_get_store_snapshot(sweep->store);
	GHashTable *found =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	sweep->list = NULL;
	for (size_t i = 0; snapshot && i < result->object_count; i++) {
		const struct plat_object *object = &result->objects[i];

		if (!spr_is_superseded(doc_get_manifest(snapshot),
				       sweep->documents, object->key))
			continue;
		if (g_hash_table_contains(sweep->candidates, object->key))
			plat_delete_object(sweep, sweep->platform, object->key,
					   object->version, finish_delete,
					   NULL);
		else
			g_hash_table_add(found, g_strdup(object->key));
	}
	g_hash_table_destroy(sweep->candidates);
	sweep->candidates = found;
}

static void handle_sweep(uint64_t now_ms, void *data)
{
	struct spr_sweep *sweep = data;

	if (!sweep->list)
		sweep->list =
			plat_list_objects(sweep, sweep->platform,
					  SPR_KEY_ACCEPTED, handle_list, sweep);
}

static int destroy_sweep(struct spr_sweep *sweep)
{
	g_hash_table_destroy(sweep->candidates);
	return 0;
}

struct spr_sweep *spr_new_sweep(TALLOC_CTX *ctx, struct plat_client *platform,
				struct tmr_service *timers,
				const struct spr_store *store,
				GHashTable *documents, uint32_t period_ms)
{
	struct spr_sweep *sweep = talloc_zero(ctx, struct spr_sweep);

	sweep->platform = platform;
	sweep->store = store;
	sweep->documents = documents;
	sweep->candidates =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	talloc_set_destructor(sweep, destroy_sweep);
	tmr_subscribe_every(sweep, timers, period_ms, handle_sweep, sweep);
	return sweep;
}
