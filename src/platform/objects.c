/*
 * Calls on objects: what a try's answer means for each kind of call.
 */
#include "client.h"

#include <stdlib.h>
#include <string.h>
#include "loom/error.h"

/* Under this key the floors hold the store's own revision. */
#define PLAT_STORE_KEY ""

static const char *get_step(const struct plat_call *call)
{
	switch (call->kind) {
	case PLAT_CALL_GET:
		return "get object";
	case PLAT_CALL_LIST:
		return "list objects";
	case PLAT_CALL_PUT:
		return "put object";
	case PLAT_CALL_DELETE:
		return "delete object";
	case PLAT_CALL_WATCH:
	case PLAT_CALL_KIND_COUNT:
		break;
	}
	return "watch objects";
}

static enum err_code get_code(enum plat_outcome outcome)
{
	switch (outcome) {
	case PLAT_ABSENT:
		return ERR_NOT_FOUND;
	case PLAT_CONFLICT:
		return ERR_CONFLICT;
	case PLAT_HISTORY_GONE:
		return ERR_GONE;
	case PLAT_REJECTED:
		return ERR_INVALID_ARGUMENT;
	case PLAT_REFUSED:
		return ERR_RATE_LIMITED;
	case PLAT_NOT_SENT:
	case PLAT_LOST:
	case PLAT_DONE:
	case PLAT_OUTCOME_COUNT:
		break;
	}
	return ERR_UNAVAILABLE;
}

static void fail_call(struct plat_call *call, enum err_code code,
		      const char *message)
{
	GError *error = NULL;

	err_set(&error, code, get_step(call),
		plat_get_options(call->client)->base_url, "%s: %s", call->key,
		message);
	plat_finish_call(call, error);
}

static void fail_with_outcome(struct plat_call *call, enum plat_outcome outcome)
{
	fail_call(call, get_code(outcome), plat_get_outcome_name(outcome));
}

static void finish_with_answer(struct plat_call *call,
			       struct plat_answer *answer)
{
	call->kept = answer;
	call->result.objects = answer->objects;
	call->result.object_count = answer->object_count;
	call->result.version = answer->version;
	call->result.revision = answer->revision;
	plat_finish_call(call, NULL);
}

/* Notes all versions of an answer; returns whether none was too old. */
static bool note_versions(struct plat_call *call, struct plat_answer *answer)
{
	struct plat_floors *floors = plat_get_floors(call->client);
	bool is_fresh =
		plat_note_version(floors, PLAT_STORE_KEY, answer->revision);

	/* An object's own revision says nothing of the store's present one. */
	if (call->kind != PLAT_CALL_LIST && call->kind != PLAT_CALL_WATCH)
		is_fresh = true;
	for (size_t i = 0; i < answer->object_count; i++) {
		struct plat_object *object = &answer->objects[i];

		if (!plat_note_version(floors, object->key, object->version))
			is_fresh = false;
		object->is_older =
			plat_is_older(floors, object->key, object->version);
		if (object->is_deleted)
			plat_drop_floor(floors, object->key);
	}
	return is_fresh;
}

static void reset_floors(struct plat_call *call,
			 const struct plat_answer *answer)
{
	struct plat_floors *floors = plat_get_floors(call->client);

	plat_reset_floor(floors, PLAT_STORE_KEY);
	for (size_t i = 0; i < answer->object_count; i++)
		plat_reset_floor(floors, answer->objects[i].key);
}

static void retry_stale(struct plat_call *call, struct plat_answer *answer)
{
	cnt_add(plat_get_counter(call->client, CNT_KIND_COUNTER,
				 "stale_reads_total", NULL,
				 "Reads older than one seen before."),
		1);
	talloc_free(call->stale);
	call->stale = answer;
	plat_queue_retry(call, "GET");
}

static void expire_read(struct plat_call *call)
{
	if (!call->stale) {
		fail_call(call, ERR_TIMEOUT, "no answer in time");
		return;
	}
	reset_floors(call, call->stale);
	fail_call(call, ERR_GONE,
		  "the store stays older than what was seen of it");
}

static void handle_read(struct plat_call *call, struct plat_answer *answer)
{
	switch (answer->outcome) {
	case PLAT_DONE:
		if (note_versions(call, answer))
			finish_with_answer(call, answer);
		else
			retry_stale(call, answer);
		return;
	case PLAT_REFUSED:
	case PLAT_NOT_SENT:
	case PLAT_LOST:
		if (call->is_expired)
			expire_read(call);
		else
			plat_queue_retry(call, "GET");
		return;
	default:
		fail_with_outcome(call, answer->outcome);
	}
}

/* A lost connection has a code of its own: the watch may resume at once. */
static void handle_poll(struct plat_call *call, struct plat_answer *answer)
{
	if (answer->outcome == PLAT_DONE) {
		/* Events may trail what other calls have seen. */
		note_versions(call, answer);
		finish_with_answer(call, answer);
	} else if (answer->outcome == PLAT_LOST && !answer->is_overload) {
		fail_call(call, ERR_UNKNOWN_OUTCOME, "connection lost");
	} else {
		fail_with_outcome(call, answer->outcome);
	}
}

static const char *get_method(const struct plat_call *call)
{
	return call->kind == PLAT_CALL_DELETE ? "DELETE" : "PUT";
}

static void count_resolution(struct plat_call *call)
{
	static const char *const names[] = {
		[PLAT_WRITE_DONE] = "result=\"done\"",
		[PLAT_WRITE_CONFLICT] = "result=\"conflict\"",
		[PLAT_WRITE_UNKNOWN] = "result=\"unknown\"",
		[PLAT_WRITE_FAILED] = "result=\"failed\"",
	};

	cnt_add(plat_get_counter(call->client, CNT_KIND_COUNTER,
				 "write_resolutions_total",
				 names[call->resolution.result],
				 "Writes that were resolved by reading back."),
		1);
}

/* A write that took effect is the present state, also of a restored store. */
static void note_written(struct plat_call *call)
{
	struct plat_floors *floors = plat_get_floors(call->client);

	if (call->kind == PLAT_CALL_DELETE) {
		plat_drop_floor(floors, call->key);
		return;
	}
	if (plat_note_version(floors, call->key, call->result.version))
		return;
	plat_reset_floor(floors, call->key);
	plat_note_version(floors, call->key, call->result.version);
}

static void end_write(struct plat_call *call)
{
	const struct plat_resolution *resolution = &call->resolution;

	call->result.version = resolution->version;
	if (resolution->may_have_effect)
		count_resolution(call);
	switch (resolution->result) {
	case PLAT_WRITE_DONE:
		note_written(call);
		plat_finish_call(call, NULL);
		return;
	case PLAT_WRITE_CONFLICT:
		fail_call(call, ERR_CONFLICT, "another version is present");
		return;
	case PLAT_WRITE_UNKNOWN:
		fail_call(call, ERR_UNKNOWN_OUTCOME,
			  "the answer was lost and reading back was no help");
		return;
	case PLAT_WRITE_FAILED:
		fail_with_outcome(call, resolution->outcome);
		return;
	}
}

static void continue_write(struct plat_call *call)
{
	switch (call->resolution.step) {
	case PLAT_STEP_WRITE:
		plat_queue_retry(call, get_method(call));
		return;
	case PLAT_STEP_READ_BACK:
		plat_queue_retry(call, "GET");
		return;
	case PLAT_STEP_END:
		end_write(call);
		return;
	}
}

static bool has_write_id(const struct plat_call *call,
			 const struct plat_object *object)
{
	const char *write_id =
		json_string_value(json_object_get(object->value, "write_id"));

	return write_id && g_strcmp0(write_id, call->write_id) == 0;
}

static void handle_read_back(struct plat_call *call, struct plat_answer *answer)
{
	struct plat_read_back read = { 0 };

	if (answer->outcome == PLAT_DONE) {
		if (!note_versions(call, answer)) {
			retry_stale(call, answer);
			return;
		}
		read.is_present = true;
		read.version = answer->version;
		read.is_own = has_write_id(call, &answer->objects[0]);
	} else if (answer->outcome != PLAT_ABSENT) {
		plat_queue_retry(call, "GET");
		return;
	}
	plat_note_read_back(&call->resolution, &read);
	continue_write(call);
}

static void handle_write(struct plat_call *call, struct plat_answer *answer)
{
	if (call->is_expired) {
		plat_note_expiry(&call->resolution,
				 call->is_cut && call->resolution.step ==
							 PLAT_STEP_WRITE);
		end_write(call);
		return;
	}
	if (call->resolution.step == PLAT_STEP_READ_BACK) {
		handle_read_back(call, answer);
		return;
	}
	call->result.revision = answer->revision;
	plat_note_write(&call->resolution, answer->outcome, answer->version);
	continue_write(call);
}

static char *escape(TALLOC_CTX *ctx, const char *text)
{
	char *escaped = g_uri_escape_string(text, "/", FALSE);
	char *copy = talloc_strdup(ctx, escaped);

	g_free(escaped);
	return copy;
}

static char *make_object_path(struct plat_client *client, const char *key)
{
	char *path = escape(client, key);
	char *whole = talloc_asprintf(client, "/objects/%s", path);

	talloc_free(path);
	return whole;
}

struct plat_call *plat_get_object(TALLOC_CTX *ctx, struct plat_client *client,
				  const char *key, plat_fn fn, void *data)
{
	struct plat_call *call;

	call = plat_new_call(ctx, client, PLAT_CALL_GET, key,
			     make_object_path(client, key), handle_read, fn,
			     data);
	plat_queue_try(call, "GET", 0);
	return call;
}

struct plat_call *plat_list_objects(TALLOC_CTX *ctx, struct plat_client *client,
				    const char *prefix, plat_fn fn, void *data)
{
	char *escaped = escape(client, prefix);
	char *path = talloc_asprintf(client, "/objects?prefix=%s", escaped);
	struct plat_call *call;

	talloc_free(escaped);
	call = plat_new_call(ctx, client, PLAT_CALL_LIST, prefix, path,
			     handle_read, fn, data);
	plat_queue_try(call, "GET", 0);
	return call;
}

static struct plat_call *new_write(TALLOC_CTX *ctx, struct plat_client *client,
				   enum plat_call_kind kind, const char *key,
				   uint64_t expected_version, plat_fn fn,
				   void *data)
{
	struct plat_call *call;

	call = plat_new_call(ctx, client, kind, key,
			     make_object_path(client, key), handle_write, fn,
			     data);
	plat_start_resolution(&call->resolution, expected_version,
			      kind == PLAT_CALL_DELETE);
	call->if_match = talloc_asprintf(call, "If-Match: %" G_GUINT64_FORMAT,
					 expected_version);
	return call;
}

struct plat_call *plat_put_object(TALLOC_CTX *ctx, struct plat_client *client,
				  const char *key, json_t *value,
				  uint64_t expected_version, plat_fn fn,
				  void *data)
{
	struct plat_call *call = new_write(ctx, client, PLAT_CALL_PUT, key,
					   expected_version, fn, data);
	const char *write_id =
		json_string_value(json_object_get(value, "write_id"));
	char *body = json_dumps(value, JSON_COMPACT);

	if (!write_id) {
		fail_call(call, ERR_INVALID_ARGUMENT,
			  "got a value without write_id, wanted a text");
		goto out;
	}
	call->write_id = talloc_strdup(call, write_id);
	call->body = talloc_strdup(call, body);
	plat_queue_try(call, "PUT", 0);
out:
	free(body);
	return call;
}

struct plat_call *plat_delete_object(TALLOC_CTX *ctx,
				     struct plat_client *client,
				     const char *key, uint64_t expected_version,
				     plat_fn fn, void *data)
{
	struct plat_call *call = new_write(ctx, client, PLAT_CALL_DELETE, key,
					   expected_version, fn, data);

	plat_queue_try(call, "DELETE", 0);
	return call;
}

struct plat_call *plat_poll_events(TALLOC_CTX *ctx, struct plat_client *client,
				   const char *prefix, uint64_t revision,
				   uint32_t wait_ms, plat_fn fn, void *data)
{
	char *escaped = escape(client, prefix);
	char *path = talloc_asprintf(client,
				     "/watch?prefix=%s&since=%" G_GUINT64_FORMAT
				     "&wait_ms=%u",
				     escaped, revision, wait_ms);
	struct plat_call *call;

	talloc_free(escaped);
	call = plat_new_call(ctx, client, PLAT_CALL_WATCH, prefix, path,
			     handle_poll, fn, data);
	plat_set_time_limit(call,
			    plat_get_options(client)->timeout_ms + wait_ms);
	call->try_timeout_ms += wait_ms;
	plat_queue_try(call, "GET", 0);
	return call;
}
