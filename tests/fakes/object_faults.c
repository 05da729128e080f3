/*
 * Faults and statistics of the fake platform's object API. The faults are
 * members of struct api_server; object_api.c applies them to calls.
 */
#include "object_api_state.h"

#include <string.h>
#include "loom/error.h"

static const char *const call_names[CALL_KIND_COUNT] = {
	"get", "list", "put", "delete", "watch", "unknown",
};

static void abort_pending(struct api_server *server, enum pending_kind kind)
{
	GList *next;

	for (GList *link = server->pending; link; link = next) {
		struct pending *pending = link->data;

		next = link->next;
		if (pending->kind == kind)
			web_abort(api_take_pending(pending));
	}
}

static void set_count(const json_t *faults, const char *name, uint32_t *count)
{
	const json_t *value = json_object_get(faults, name);

	if (json_is_integer(value))
		*count = (uint32_t)json_integer_value(value);
}

static void set_flag(const json_t *faults, const char *name, bool *flag)
{
	const json_t *value = json_object_get(faults, name);

	if (json_is_boolean(value))
		*flag = json_is_true(value);
}

static void set_text(struct api_server *server, const json_t *faults,
		     const char *name, char **text)
{
	const char *value = json_string_value(json_object_get(faults, name));

	if (!value)
		return;
	TALLOC_FREE(*text);
	if (*value)
		*text = talloc_strdup(server, value);
}

static void set_outage(struct api_server *server, const json_t *outage)
{
	if (!outage)
		return;
	server->faults.is_unavailable = json_is_true(outage);
	server->faults.is_hanging =
		g_strcmp0(json_string_value(outage), "hang") == 0;
	if (!server->faults.is_hanging)
		abort_pending(server, PENDING_HANGING);
	if (server->faults.is_unavailable || server->faults.is_hanging)
		abort_pending(server, PENDING_WATCH);
}

static bool set_state(struct api_server *server, const json_t *faults,
		      GError **error)
{
	const char *save = json_string_value(json_object_get(faults, "save"));
	const char *restore =
		json_string_value(json_object_get(faults, "restore"));

	if (save)
		store_save_state(server->store, save);
	if (restore && !store_restore_state(server->store, restore)) {
		err_set(error, ERR_NOT_FOUND, "set faults", NULL,
			"no saved state is named \"%s\"", restore);
		return false;
	}
	if (restore)
		api_answer_watches(server);
	return true;
}

static void add_count(json_t *stats, const char *name, uint64_t count)
{
	json_object_set_new(stats, name, json_integer((json_int_t)count));
}

bool api_set_faults(struct api_server *server, const char *text, GError **error)
{
	json_t *faults = json_loads(text, 0, NULL);
	bool is_set;

	if (!json_is_object(faults)) {
		err_set(error, ERR_INVALID_ARGUMENT, "set faults", NULL,
			"got \"%s\", expected a JSON object", text);
		json_decref(faults);
		return false;
	}
	set_count(faults, "delay_ms", &server->faults.delay_ms);
	set_count(faults, "lose_answers", &server->faults.lose_answers);
	set_count(faults, "drop_before", &server->faults.drop_before);
	set_count(faults, "refuse_rate", &server->faults.refuse_rate);
	set_count(faults, "era", &server->faults.era);
	set_count(faults, "stale_reads", &server->faults.stale_reads);
	set_text(server, faults, "stale_from", &server->faults.stale_from);
	set_text(server, faults, "only_from", &server->faults.only_from);
	set_flag(faults, "hasty_watches",
		 &server->faults.answers_watch_at_once);
	set_flag(faults, "never_gone", &server->faults.hides_history_gone);
	set_outage(server, json_object_get(faults, "outage"));
	if (json_is_true(json_object_get(faults, "cut_watches")))
		abort_pending(server, PENDING_WATCH);
	if (json_is_true(json_object_get(faults, "forget_history")))
		store_forget_history(server->store);
	is_set = set_state(server, faults, error);
	json_decref(faults);
	return is_set;
}

json_t *api_make_stats(const struct api_server *server)
{
	json_t *stats = json_object();
	json_t *calls = json_object();

	for (int kind = 0; kind < CALL_KIND_COUNT; kind++)
		add_count(calls, call_names[kind], server->call_counts[kind]);
	json_object_set_new(stats, "calls", calls);
	add_count(stats, "waiting_watches", server->waiting_watches);
	add_count(stats, "refused", server->refused);
	add_count(stats, "failed_by_fault", server->failed_by_fault);
	add_count(stats, "peak_reads_per_second",
		  server->reads.peak_per_second);
	add_count(stats, "peak_writes_per_second",
		  server->writes.peak_per_second);
	add_count(stats, "revision", store_get_revision(server->store));
	return stats;
}
