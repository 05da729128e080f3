/*
 * Writer of the manifest.
 *
 * While the lease is held, the documents are watched. Each round merges all
 * documents into the manifest in force. When that changes the manifest, copies
 * of the accepted documents are written first, then the manifest by a
 * conditional update, then the status of each service. Safety does not depend
 * on the lease: of two writers at once, one fails its conditional update and
 * starts again.
 *
 * A platform that was restored from a backup has an older manifest than the one
 * in force, or another one with the same sequence. Then the manifest in force
 * is written back under a higher sequence, with all its copies and the
 * documents that are absent. A document counts as removed only while the
 * platform has the manifest in force, and only after its deletion was watched
 * or a read confirmed its absence: a list can be older than the manifest.
 * Invariant: at most one round is active, and `round` owns all its calls.
 */
#include "writer.h"

#include <stdlib.h>
#include <string.h>
#include "loom/error.h"
#include "loom/log.h"
#include "loom/spread.h"
#include "status.h"
#include "sweep.h"

struct known_document {
	uint64_t version;
	json_t *value;
};

/* One pass of reading documents and writing the manifest. */
struct round {
	struct spr_writer *writer;
	struct doc_fold *fold;
	uint64_t object_version;      /* of the manifest to replace */
	uint32_t pending_write_count; /* copies and documents */
	bool is_failed;
};

/*
 * A read that confirms the absence of a document, or a write that restores one.
 */
struct document_call {
	struct spr_writer *writer;
	struct round *round; /* of a restoring write, or NULL */
	const char *name;
	json_t *document; /* owned; of a restoring write */
};

struct spr_writer {
	const struct spr_options *options;
	struct plat_client *platform;
	struct spr_store *store;
	struct spr_source *source;
	const char *holder;
	struct plat_lease *lease;
	struct plat_watch *watch; /* while the lease is held */
	struct spr_sweep *sweep;  /* while the lease is held */
	bool has_document_list;
	GHashTable *documents;	   /* service name to struct known_document */
	GHashTable *removed;	   /* known to be absent */
	GHashTable *absence_reads; /* services being read */
	struct spr_status *status;
	struct round *round;
	bool is_retry_needed; /* a round failed or a change came during one */
};

static void free_known_document(gpointer data)
{
	struct known_document *document = data;

	json_decref(document->value);
	g_free(document);
}

static void finish_round(struct spr_writer *writer)
{
	TALLOC_FREE(writer->round);
}

static void fail_round(struct spr_writer *writer)
{
	writer->is_retry_needed = true;
	finish_round(writer);
}

static void finish_manifest(const struct plat_result *result, void *data)
{
	struct round *round = data;
	struct spr_writer *writer = round->writer;

	if (result->error) {
		log_write_error(LOG_LEVEL_WARNING, "spread", result->error);
		writer->is_retry_needed = true;
	} else {
		spr_write_statuses(writer->status, round->fold);
	}
	/* The watch on the manifest starts the next round. */
	finish_round(writer);
}

static void put_manifest(struct round *round)
{
	struct spr_writer *writer = round->writer;
	json_t *value;
	char *text;

	/*
	 * When the process was paused, another writer may have swept the
	 * copies.
	 */
	if (!plat_is_lease_held(writer->lease)) {
		finish_round(writer);
		return;
	}
	round->fold->manifest->write_id =
		plat_make_write_id(round, writer->platform, writer->holder);
	text = doc_format_manifest(round, round->fold->manifest);
	value = json_loads(text, 0, NULL);
	plat_put_object(round, writer->platform, SPR_KEY_MANIFEST, value,
			round->object_version, finish_manifest, round);
	json_decref(value);
}

/* Counts one write as done; after the last one the manifest is written. */
static void finish_write(struct round *round)
{
	if (--round->pending_write_count > 0)
		return;
	if (round->is_failed)
		fail_round(round->writer);
	else
		put_manifest(round);
}

static void finish_copy(const struct plat_result *result, void *data)
{
	struct round *round = data;

	/* A copy that exists already has the same version and hash. */
	if (result->error &&
	    !g_error_matches(result->error, ERR_DOMAIN, ERR_CONFLICT)) {
		log_write_error(LOG_LEVEL_WARNING, "spread", result->error);
		round->is_failed = true;
	}
	finish_write(round);
}

static void put_copy(struct round *round,
		     const struct doc_manifest_service *entry, json_t *document)
{
	struct spr_writer *writer = round->writer;
	json_t *value = json_pack(
		"{s:s,s:O}", "write_id",
		plat_make_write_id(round, writer->platform, writer->holder),
		"document", document);

	plat_put_object(round, writer->platform,
			spr_make_accepted_key(round, entry), value, 0,
			finish_copy, round);
	json_decref(value);
}

static void record_document(struct spr_writer *writer, const char *name,
			    uint64_t version, json_t *value)
{
	struct known_document *document = g_new0(struct known_document, 1);

	document->version = version;
	document->value = json_incref(value);
	g_hash_table_replace(writer->documents, g_strdup(name), document);
	g_hash_table_remove(writer->removed, name);
}

static int destroy_document_call(struct document_call *call)
{
	json_decref(call->document);
	return 0;
}

static struct document_call *
new_document_call(TALLOC_CTX *ctx, struct spr_writer *writer, const char *name)
{
	struct document_call *call = talloc_zero(ctx, struct document_call);

	call->writer = writer;
	call->name = talloc_strdup(call, name);
	talloc_set_destructor(call, destroy_document_call);
	return call;
}

static char *make_document_key(TALLOC_CTX *ctx, const char *name)
{
	return talloc_asprintf(ctx, "%s%s", SPR_KEY_DOCUMENTS, name);
}

static void finish_document(const struct plat_result *result, void *data)
{
	struct document_call *call = data;
	struct round *round = call->round;

	if (result->error) {
		log_write_error(LOG_LEVEL_WARNING, "spread", result->error);
		round->is_failed = true;
	} else {
		record_document(call->writer, call->name, result->version,
				call->document);
	}
	finish_write(round);
}

/* Writes a document that the restored platform does not have. */
static void restore_document(struct round *round, const char *name,
			     json_t *document)
{
	struct spr_writer *writer = round->writer;
	struct document_call *call = new_document_call(round, writer, name);
	json_t *value = json_pack(
		"{s:s,s:O}", "write_id",
		plat_make_write_id(call, writer->platform, writer->holder),
		"document", document);

	call->round = round;
	call->document = json_incref(document);
	round->pending_write_count++;
	plat_put_object(call, writer->platform, make_document_key(call, name),
			value, 0, finish_document, call);
	json_decref(value);
}

static void put_copies(struct round *round)
{
	const struct doc_fold *fold = round->fold;

	round->pending_write_count = 1;
	for (size_t i = 0; i < fold->verdict_count; i++) {
		const struct doc_verdict *verdict = &fold->verdicts[i];
		const struct known_document *document;

		if (verdict->kind != DOC_VERDICT_ACCEPTED)
			continue;
		document = g_hash_table_lookup(round->writer->documents,
					       verdict->name);
		round->pending_write_count++;
		put_copy(round,
			 doc_find_manifest_service(fold->manifest,
						   verdict->name),
			 document->value);
	}
	finish_write(round);
}

/* Writes the manifest in force and all documents that it names. */
static void write_back(struct round *round)
{
	struct spr_writer *writer = round->writer;
	const struct doc_manifest *manifest = round->fold->manifest;

	round->pending_write_count = 1;
	for (size_t i = 0; i < manifest->service_count; i++) {
		const struct doc_manifest_service *entry =
			&manifest->services[i];
		json_t *document = json_loads(
			spr_find_document(writer->store, entry), 0, NULL);

		round->pending_write_count++;
		put_copy(round, entry, document);
		if (!g_hash_table_contains(writer->documents, entry->name))
			restore_document(round, entry->name, document);
		json_decref(document);
	}
	finish_write(round);
}

static void add_proposal(struct doc_proposal *proposal, TALLOC_CTX *ctx,
			 const char *name,
			 const struct known_document *document)
{
	struct doc_problem_list *list = doc_new_problem_list(ctx);
	char *text = json_dumps(document->value, JSON_COMPACT);

	proposal->name = name;
	proposal->document_version = document->version;
	proposal->service = doc_parse_service(ctx, name, text, strlen(text),
					      document->version, list);
	proposal->problems = list;
	free(text);
}

static void handle_absence_read(const struct plat_result *result, void *data)
{
	struct document_call *call = data;
	struct spr_writer *writer = call->writer;

	g_hash_table_remove(writer->absence_reads, call->name);
	if (!result->error)
		record_document(
			writer, call->name, result->objects[0].version,
			json_object_get(result->objects[0].value, "document"));
	else if (g_error_matches(result->error, ERR_DOMAIN, ERR_NOT_FOUND))
		g_hash_table_add(writer->removed, g_strdup(call->name));
	else
		log_write_error(LOG_LEVEL_WARNING, "spread", result->error);
	if (g_hash_table_contains(writer->documents, call->name) ||
	    g_hash_table_contains(writer->removed, call->name))
		spr_run_writer(writer);
	else
		writer->is_retry_needed = true;
	talloc_free(call);
}

static void confirm_absence(struct spr_writer *writer, const char *name)
{
	struct document_call *call;

	if (!g_hash_table_add(writer->absence_reads, g_strdup(name)))
		return;
	call = new_document_call(writer->watch, writer, name);
	plat_get_object(call, writer->platform, make_document_key(call, name),
			handle_absence_read, call);
}

static void add_removals(struct spr_writer *writer,
			 const struct doc_manifest *manifest,
			 struct doc_proposal *proposals, size_t *count)
{
	for (size_t i = 0; i < manifest->service_count; i++) {
		const char *in_force = manifest->services[i].name;

		if (g_hash_table_contains(writer->documents, in_force))
			continue;
		if (!g_hash_table_contains(writer->removed, in_force)) {
			confirm_absence(writer, in_force);
			continue;
		}
		proposals[*count].name = in_force;
		proposals[(*count)++].is_removal = true;
	}
}

/*
 * Returns whether the platform has exactly the manifest in force on this node.
 */
static bool is_platform_current(const struct spr_writer *writer,
				const struct spr_platform_manifest *present)
{
	struct doc_snapshot *snapshot = spr_get_store_snapshot(writer->store);
	const struct doc_manifest *manifest;

	if (!snapshot)
		return present->object_version == 0;
	manifest = doc_get_manifest(snapshot);
	return present->sequence == manifest->sequence &&
	       strcmp(present->write_id, manifest->write_id) == 0;
}

static struct doc_proposal *make_proposals(struct spr_writer *writer,
					   TALLOC_CTX *ctx,
					   const struct doc_manifest *manifest,
					   size_t *count)
{
	size_t count_max =
		g_hash_table_size(writer->documents) + manifest->service_count;
	struct doc_proposal *proposals =
		talloc_zero_array(ctx, struct doc_proposal, count_max + 1);
	GHashTableIter iter;
	gpointer name;
	gpointer document;

	*count = 0;
	g_hash_table_iter_init(&iter, writer->documents);
	while (g_hash_table_iter_next(&iter, &name, &document))
		add_proposal(&proposals[(*count)++], ctx, name, document);
	add_removals(writer, manifest, proposals, count);
	return proposals;
}

static struct doc_fold *merge_documents(struct spr_writer *writer,
					struct round *round, GError **error)
{
	struct doc_snapshot *snapshot = spr_get_store_snapshot(writer->store);
	const struct doc_manifest *current =
		snapshot ? doc_get_manifest(snapshot) : doc_new_manifest(round);
	const struct doc_service **services = talloc_zero_array(
		round, const struct doc_service *, current->service_count + 1);
	struct doc_proposal *proposals;
	size_t count;

	for (size_t i = 0; i < current->service_count; i++)
		services[i] =
			doc_find_service(snapshot, current->services[i].name);
	proposals = make_proposals(writer, round, current, &count);
	return doc_fold_documents(round, current, services,
				  current->service_count, proposals, count,
				  error);
}

/* Returns the manifest in force under the next sequence, without verdicts. */
static struct doc_fold *make_write_back(struct spr_writer *writer,
					struct round *round)
{
	struct doc_fold *fold = talloc_zero(round, struct doc_fold);

	fold->manifest = doc_copy_manifest(
		fold, doc_get_manifest(spr_get_store_snapshot(writer->store)));
	fold->manifest->sequence++;
	return fold;
}

static void write_merged_manifest(struct round *round)
{
	struct spr_writer *writer = round->writer;
	GError *error = NULL;

	round->fold = merge_documents(writer, round, &error);
	if (error) {
		log_write_error(LOG_LEVEL_ERROR, "spread", error);
		g_clear_error(&error);
		finish_round(writer);
	} else if (round->fold->is_changed) {
		put_copies(round);
	} else {
		spr_write_statuses(writer->status, round->fold);
		finish_round(writer);
	}
}

void spr_run_writer(struct spr_writer *writer)
{
	struct spr_platform_manifest present;

	spr_get_platform_manifest(writer->source, &present);
	writer->is_retry_needed = writer->round != NULL;
	if (!plat_is_lease_held(writer->lease) || !writer->has_document_list ||
	    writer->round || !present.is_known ||
	    present.sequence > spr_get_sequence(writer->store))
		return;
	writer->round = talloc_zero(writer, struct round);
	writer->round->writer = writer;
	writer->round->object_version = present.object_version;
	if (is_platform_current(writer, &present)) {
		write_merged_manifest(writer->round);
		return;
	}
	writer->round->fold = make_write_back(writer, writer->round);
	write_back(writer->round);
}

void spr_retry_writer(struct spr_writer *writer)
{
	if (writer->is_retry_needed)
		spr_run_writer(writer);
}

static void handle_object(struct spr_writer *writer,
			  const struct plat_object *object)
{
	const char *name = object->key + strlen(SPR_KEY_DOCUMENTS);

	if (!object->is_deleted) {
		record_document(writer, name, object->version,
				json_object_get(object->value, "document"));
		return;
	}
	g_hash_table_remove(writer->documents, name);
	g_hash_table_add(writer->removed, g_strdup(name));
}

static void handle_watch(enum plat_watch_kind kind,
			 const struct plat_result *result, void *data)
{
	struct spr_writer *writer = data;

	switch (kind) {
	case PLAT_WATCH_STALE:
		writer->has_document_list = false;
		return;
	case PLAT_WATCH_FAILED:
		return;
	case PLAT_WATCH_LISTED:
		g_hash_table_remove_all(writer->documents);
		g_hash_table_remove_all(writer->removed);
		writer->has_document_list = true;
		break;
	case PLAT_WATCH_CHANGED:
		break;
	}
	for (size_t i = 0; i < result->object_count; i++)
		handle_object(writer, &result->objects[i]);
	spr_run_writer(writer);
}

static void handle_lease(bool is_held, uint64_t fencing_version, void *data)
{
	struct spr_writer *writer = data;

	log_write(LOG_LEVEL_INFO, "spread", "manifest lease", NULL,
		  is_held ? "lease taken" : "lease not held", LOG_END);
	TALLOC_FREE(writer->watch);
	TALLOC_FREE(writer->sweep);
	TALLOC_FREE(writer->round);
	g_hash_table_remove_all(writer->absence_reads);
	writer->has_document_list = false;
	if (!is_held)
		return;
	writer->watch =
		plat_watch_prefix(writer, writer->platform, SPR_KEY_DOCUMENTS,
				  handle_watch, writer);
	writer->sweep =
		spr_new_sweep(writer, writer->platform, writer->options->timers,
			      writer->store, writer->documents,
			      writer->options->sweep_period_ms);
}

static int destroy_writer(struct spr_writer *writer)
{
	TALLOC_FREE(writer->sweep);
	g_hash_table_destroy(writer->documents);
	g_hash_table_destroy(writer->removed);
	g_hash_table_destroy(writer->absence_reads);
	return 0;
}

struct spr_writer *spr_new_writer(TALLOC_CTX *ctx,
				  const struct spr_options *options,
				  struct spr_store *store,
				  struct spr_source *source)
{
	struct spr_writer *writer = talloc_zero(ctx, struct spr_writer);

	writer->options = options;
	writer->platform = options->platform;
	writer->store = store;
	writer->source = source;
	writer->holder = options->holder;
	writer->documents = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, free_known_document);
	writer->removed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	writer->absence_reads =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	writer->status =
		spr_new_status(writer, writer->platform, writer->holder);
	talloc_set_destructor(writer, destroy_writer);
	writer->lease = plat_compete_lease(
		writer, writer->platform, SPR_KEY_WRITER_LEASE, writer->holder,
		options->lease_duration_ms, handle_lease, writer);
	return writer;
}
