/*
 * Calls on objects: what a try's answer means for each kind of call.
 */
#include "client.h"

#include <stdlib.h>
#include <string.h>
#include "loom/error.h"

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
			       const struct plat_answer *answer)
{
	call->result.objects = answer->objects;
	call->result.object_count = answer->object_count;
	call->result.version = answer->version;
	call->result.revision = answer->revision;
	plat_finish_call(call, NULL);
}

static void handle_read(struct plat_call *call, struct plat_answer *answer)
{
	switch (answer->outcome) {
	case PLAT_DONE:
		finish_with_answer(call, answer);
		return;
	case PLAT_REFUSED:
	case PLAT_NOT_SENT:
	case PLAT_LOST:
		if (call->is_expired)
			fail_call(call, ERR_TIMEOUT, "no answer in time");
		else
			plat_queue_retry(call, "GET");
		return;
	default:
		fail_with_outcome(call, answer->outcome);
	}
}

static void handle_poll(struct plat_call *call, struct plat_answer *answer)
{
	if (answer->outcome == PLAT_DONE)
		finish_with_answer(call, answer);
	else
		fail_with_outcome(call, answer->outcome);
}

static void handle_write(struct plat_call *call, struct plat_answer *answer)
{
	call->result.version = answer->version;
	call->result.revision = answer->revision;
	if (answer->outcome == PLAT_DONE)
		plat_finish_call(call, NULL);
	else
		fail_with_outcome(call, answer->outcome);
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
	char *body = json_dumps(value, JSON_COMPACT);

	call->value = json_incref(value);
	call->body = talloc_strdup(call, body);
	free(body);
	plat_queue_try(call, "PUT", 0);
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
	plat_extend_call(call, wait_ms);
	plat_queue_try(call, "GET", 0);
	return call;
}
