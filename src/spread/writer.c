/*
 * Writer of the manifest.
 *
 * While the lease is held the documents are watched. Each round folds all of
 * them into the manifest in force; when that changes something, copies of the
 * accepted documents are written first, then the manifest by conditional
 * update, then the status of each service. Nothing rests on the lease: two
 * writers at once lose a conditional update and begin anew.
 * Invariant: one round at a time; `round` owns all its calls.
 */
#include "writer.h"

#include <stdlib.h>
#include <string.h>
#include "loom/error.h"
#include "loom/log.h"
#include "loom/spread.h"

struct known_document {
	uint64_t version;
	json_t *value;
};

struct round {
	struct spr_writer *writer;
	struct doc_fold *fold;
	uint32_t copy_count; /* copies of documents not yet written */
	bool is_failed;
};

struct spr_writer {
	struct plat_client *platform;
	struct spr_store *store;
	struct spr_source *source;
	const char *holder;
	struct plat_lease *lease;
	struct plat_watch *watch; /* while the lease is held */
	bool is_listed;
	GHashTable *documents; /* service to struct known_document */
	GHashTable *statuses;  /* service to the text last written */
	struct round *round;
};

struct status_write {
	struct spr_writer *writer;
	const char *key;
	const char *service;
	json_t *value;
};

static void free_known_document(gpointer data)
{
	struct known_document *document = data;

	json_decref(document->value);
	g_free(document);
}

static json_t *make_problems(const struct doc_verdict *verdict)
{
	GString *text = g_string_new(NULL);
	json_t *problems = json_array();
	char **lines;

	if (verdict->problems)
		doc_print_problems(verdict->problems, text);
	lines = g_strsplit(text->str, "\n", -1);
	for (char **line = lines; *line; line++) {
		if (**line)
			json_array_append_new(problems, json_string(*line));
	}
	g_strfreev(lines);
	g_string_free(text, TRUE);
	return problems;
}

/* A document that is in force already was accepted when it entered. */
static const char *get_verdict_name(enum doc_verdict_kind kind)
{
	if (kind == DOC_VERDICT_UNCHANGED)
		kind = DOC_VERDICT_ACCEPTED;
	return doc_get_verdict_name(kind);
}

static json_t *make_status(const struct doc_verdict *verdict,
			   const struct doc_manifest *manifest)
{
	const struct doc_manifest_service *entry =
		doc_find_manifest_service(manifest, verdict->name);

	return json_pack(
		"{s:s,s:I,s:s,s:o,s:I,s:s,s:i}", "service", verdict->name,
		"document_version", (json_int_t)verdict->document_version,
		"verdict", get_verdict_name(verdict->kind), "problems",
		make_problems(verdict), "version_in_force",
		entry ? (json_int_t)entry->document_version : 0, "move",
		doc_get_move_state_name(entry ? entry->move_state
					      : DOC_MOVE_NONE),
		"share_permille", entry ? (int)entry->share_permille : 0);
}

static int destroy_status_write(struct status_write *write)
{
	json_decref(write->value);
	return 0;
}

static void finish_status(const struct plat_result *result, void *data)
{
	struct status_write *write = data;

	if (result->error) {
		g_hash_table_remove(write->writer->statuses, write->service);
		log_write_error(LOG_LEVEL_WARNING, "spread", result->error);
	}
	talloc_free(write);
}

static void put_status(const struct plat_result *result, void *data)
{
	struct status_write *write = data;
	uint64_t version = 0;

	if (!result->error)
		version = result->objects[0].version;
	else if (!g_error_matches(result->error, ERR_DOMAIN, ERR_NOT_FOUND)) {
		finish_status(result, data);
		return;
	}
	json_object_set_new(
		write->value, "write_id",
		json_string(plat_make_write_id(write, write->writer->platform,
					       write->writer->holder)));
	plat_put_object(write, write->writer->platform, write->key,
			write->value, version, finish_status, write);
}

static void write_status(struct spr_writer *writer,
			 const struct doc_verdict *verdict,
			 const struct doc_manifest *manifest)
{
	json_t *status = make_status(verdict, manifest);
	char *text = json_dumps(status, JSON_COMPACT | JSON_SORT_KEYS);
	struct status_write *write;

	if (g_strcmp0(text, g_hash_table_lookup(writer->statuses,
						verdict->name)) == 0) {
		free(text);
		json_decref(status);
		return;
	}
	g_hash_table_replace(writer->statuses, g_strdup(verdict->name),
			     g_strdup(text));
	free(text);
	write = talloc_zero(writer, struct status_write);
	write->writer = writer;
	write->service = talloc_strdup(write, verdict->name);
	write->key =
		talloc_asprintf(write, "%s%s", SPR_KEY_STATUS, verdict->name);
	write->value = status;
	talloc_set_destructor(write, destroy_status_write);
	plat_get_object(write, writer->platform, write->key, put_status, write);
}

static void write_statuses(struct spr_writer *writer,
			   const struct doc_fold *fold)
{
	for (size_t i = 0; i < fold->verdict_count; i++) {
		if (fold->verdicts[i].kind != DOC_VERDICT_REMOVED)
			write_status(writer, &fold->verdicts[i],
				     fold->manifest);
	}
}

static void finish_round(struct spr_writer *writer)
{
	TALLOC_FREE(writer->round);
}

static void finish_manifest(const struct plat_result *result, void *data)
{
	struct round *round = data;
	struct spr_writer *writer = round->writer;

	if (result->error)
		log_write_error(LOG_LEVEL_WARNING, "spread", result->error);
	else
		write_statuses(writer, round->fold);
	/* The watch on the manifest starts the next round. */
	finish_round(writer);
}

static void put_manifest(struct round *round)
{
	struct spr_writer *writer = round->writer;
	struct spr_platform_manifest present;
	json_t *value;
	char *text;

	spr_get_platform_manifest(writer->source, &present);
	round->fold->manifest->write_id =
		plat_make_write_id(round, writer->platform, writer->holder);
	text = doc_format_manifest(round, round->fold->manifest);
	value = json_loads(text, 0, NULL);
	plat_put_object(round, writer->platform, SPR_KEY_MANIFEST, value,
			present.object_version, finish_manifest, round);
	json_decref(value);
}

static void finish_copy(const struct plat_result *result, void *data)
{
	struct round *round = data;

	/* A copy that is there already is the same document. */
	if (result->error &&
	    !g_error_matches(result->error, ERR_DOMAIN, ERR_CONFLICT)) {
		log_write_error(LOG_LEVEL_WARNING, "spread", result->error);
		round->is_failed = true;
	}
	if (--round->copy_count > 0)
		return;
	if (round->is_failed)
		finish_round(round->writer);
	else
		put_manifest(round);
}

static void put_copy(struct round *round, const struct doc_verdict *verdict)
{
	struct spr_writer *writer = round->writer;
	const struct known_document *document =
		g_hash_table_lookup(writer->documents, verdict->name);
	json_t *value = json_pack(
		"{s:s,s:O}", "write_id",
		plat_make_write_id(round, writer->platform, writer->holder),
		"document", document->value);
	char *key = spr_make_accepted_key(
		round, doc_find_manifest_service(round->fold->manifest,
						 verdict->name));

	plat_put_object(round, writer->platform, key, value, 0, finish_copy,
			round);
	json_decref(value);
}

static void put_copies(struct round *round)
{
	const struct doc_fold *fold = round->fold;

	for (size_t i = 0; i < fold->verdict_count; i++) {
		if (fold->verdicts[i].kind == DOC_VERDICT_ACCEPTED)
			round->copy_count++;
	}
	if (round->copy_count == 0) {
		put_manifest(round);
		return;
	}
	for (size_t i = 0; i < fold->verdict_count; i++) {
		if (fold->verdicts[i].kind == DOC_VERDICT_ACCEPTED)
			put_copy(round, &fold->verdicts[i]);
	}
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
	for (size_t i = 0; i < manifest->service_count; i++) {
		const char *in_force = manifest->services[i].name;

		if (g_hash_table_contains(writer->documents, in_force))
			continue;
		proposals[*count].name = in_force;
		proposals[(*count)++].is_removal = true;
	}
	return proposals;
}

static struct doc_fold *fold_documents(struct spr_writer *writer,
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

void spr_run_writer(struct spr_writer *writer)
{
	struct spr_platform_manifest present;
	GError *error = NULL;

	spr_get_platform_manifest(writer->source, &present);
	if (!plat_is_lease_held(writer->lease) || !writer->is_listed ||
	    writer->round || !present.is_known ||
	    present.sequence > spr_get_sequence(writer->store))
		return;
	writer->round = talloc_zero(writer, struct round);
	writer->round->writer = writer;
	writer->round->fold = fold_documents(writer, writer->round, &error);
	if (!writer->round->fold) {
		log_write_error(LOG_LEVEL_ERROR, "spread", error);
		g_clear_error(&error);
		finish_round(writer);
		return;
	}
	if (writer->round->fold->is_changed) {
		put_copies(writer->round);
		return;
	}
	write_statuses(writer, writer->round->fold);
	finish_round(writer);
}

static void take_object(struct spr_writer *writer,
			const struct plat_object *object)
{
	const char *name = object->key + strlen(SPR_KEY_DOCUMENTS);
	struct known_document *document;

	if (object->is_deleted) {
		g_hash_table_remove(writer->documents, name);
		return;
	}
	document = g_new0(struct known_document, 1);
	document->version = object->version;
	document->value =
		json_incref(json_object_get(object->value, "document"));
	g_hash_table_replace(writer->documents, g_strdup(name), document);
}

static void handle_watch(enum plat_watch_kind kind,
			 const struct plat_result *result, void *data)
{
	struct spr_writer *writer = data;

	switch (kind) {
	case PLAT_WATCH_STALE:
	case PLAT_WATCH_FAILED:
		return;
	case PLAT_WATCH_LISTED:
		g_hash_table_remove_all(writer->documents);
		writer->is_listed = true;
		break;
	case PLAT_WATCH_CHANGED:
		break;
	}
	for (size_t i = 0; i < result->object_count; i++)
		take_object(writer, &result->objects[i]);
	spr_run_writer(writer);
}

static void handle_lease(bool is_held, uint64_t fencing_version, void *data)
{
	struct spr_writer *writer = data;

	log_write(LOG_LEVEL_INFO, "spread", "manifest lease", NULL,
		  is_held ? "lease taken" : "lease not held", LOG_END);
	TALLOC_FREE(writer->watch);
	TALLOC_FREE(writer->round);
	writer->is_listed = false;
	if (is_held)
		writer->watch = plat_watch_prefix(writer, writer->platform,
						  SPR_KEY_DOCUMENTS,
						  handle_watch, writer);
}

static int destroy_writer(struct spr_writer *writer)
{
	g_hash_table_destroy(writer->documents);
	g_hash_table_destroy(writer->statuses);
	return 0;
}

struct spr_writer *spr_new_writer(TALLOC_CTX *ctx, struct plat_client *platform,
				  struct spr_store *store,
				  struct spr_source *source, const char *holder,
				  uint32_t lease_duration_ms)
{
	struct spr_writer *writer = talloc_zero(ctx, struct spr_writer);

	writer->platform = platform;
	writer->store = store;
	writer->source = source;
	writer->holder = talloc_strdup(writer, holder);
	writer->documents = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, free_known_document);
	writer->statuses =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	talloc_set_destructor(writer, destroy_writer);
	writer->lease = plat_compete_lease(
		writer, platform, SPR_KEY_WRITER_LEASE, holder,
		lease_duration_ms, handle_lease, writer);
	return writer;
}
