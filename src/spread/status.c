/*
 * Status objects of the services: the result of checking each document.
 *
 * A status is written only when its text differs from the last one written. The
 * present status is read before a write, so that a new holder of the writer
 * lease rewrites only what has changed.
 */
#include "status.h"

#include <stdlib.h>
#include <string.h>
#include "loom/error.h"
#include "loom/log.h"
#include "loom/spread.h"

#define WRITE_ID "write_id"

struct spr_status {
	struct plat_client *platform;
	const char *holder;
	GHashTable *texts; /* service name to the text last written */
};

struct status_write {
	struct spr_status *status;
	const char *key;
	const char *service;
	json_t *value;
};

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

/* An unchanged document was accepted when it came into force. */
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

	return json_pack("{s:s,s:I,s:s,s:o,s:I}", "service", verdict->name,
			 "document_version",
			 (json_int_t)verdict->document_version, "verdict",
			 get_verdict_name(verdict->kind), "problems",
			 make_problems(verdict), "version_in_force",
			 entry ? (json_int_t)entry->document_version : 0);
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
		g_hash_table_remove(write->status->texts, write->service);
		log_write_error(LOG_LEVEL_WARNING, "spread", result->error);
	}
	talloc_free(write);
}

/* Returns whether the platform has that status already, under any write id. */
static bool is_written(const struct status_write *write, const json_t *present)
{
	json_t *without_id = json_copy((json_t *)present);
	bool is_same;

	json_object_del(without_id, WRITE_ID);
	is_same = json_equal(without_id, write->value);
	json_decref(without_id);
	return is_same;
}

/*
 * Copies the fields of the move from the present status: the holder of the
 * move's lease writes them (src/release).
 */
static void copy_move_fields(json_t *status, const json_t *present)
{
	static const char *const names[] = { "move", "sentence" };

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		json_t *value = json_object_get(present, names[i]);

		if (value)
			json_object_set(status, names[i], value);
	}
}

static void put_status(const struct plat_result *result, void *data)
{
	struct status_write *write = data;
	struct spr_status *status = write->status;
	uint64_t version = 0;

	if (!result->error) {
		version = result->objects[0].version;
		copy_move_fields(write->value, result->objects[0].value);
		if (is_written(write, result->objects[0].value)) {
			finish_status(result, data);
			return;
		}
	} else if (!g_error_matches(result->error, ERR_DOMAIN, ERR_NOT_FOUND)) {
		finish_status(result, data);
		return;
	}
	json_object_set_new(write->value, WRITE_ID,
			    json_string(plat_make_write_id(
				    write, status->platform, status->holder)));
	plat_put_object(write, status->platform, write->key, write->value,
			version, finish_status, write);
}

static void write_status(struct spr_status *status,
			 const struct doc_verdict *verdict,
			 const struct doc_manifest *manifest)
{
	json_t *value = make_status(verdict, manifest);
	char *text = json_dumps(value, JSON_COMPACT | JSON_SORT_KEYS);
	struct status_write *write;

	if (g_strcmp0(text,
		      g_hash_table_lookup(status->texts, verdict->name)) == 0) {
		free(text);
		json_decref(value);
		return;
	}
	g_hash_table_replace(status->texts, g_strdup(verdict->name),
			     g_strdup(text));
	free(text);
	write = talloc_zero(status, struct status_write);
	write->status = status;
	write->service = talloc_strdup(write, verdict->name);
	write->key =
		talloc_asprintf(write, "%s%s", SPR_KEY_STATUS, verdict->name);
	write->value = value;
	talloc_set_destructor(write, destroy_status_write);
	plat_get_object(write, status->platform, write->key, put_status, write);
}

static int destroy_status(struct spr_status *status)
{
	g_hash_table_destroy(status->texts);
	return 0;
}

struct spr_status *spr_new_status(TALLOC_CTX *ctx, struct plat_client *platform,
				  const char *holder)
{
	struct spr_status *status = talloc_zero(ctx, struct spr_status);

	status->platform = platform;
	status->holder = holder;
	status->texts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	talloc_set_destructor(status, destroy_status);
	return status;
}

void spr_write_statuses(struct spr_status *status, const struct doc_fold *fold)
{
	for (size_t i = 0; i < fold->verdict_count; i++) {
		if (fold->verdicts[i].kind != DOC_VERDICT_REMOVED)
			write_status(status, &fold->verdicts[i],
				     fold->manifest);
	}
}
