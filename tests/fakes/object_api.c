/*
 * HTTP calls of the fake platform's object API.
 *
 * Each call is counted, then checked against the faults and the rate limits,
 * and then executed on the store, at once or after the delay. A call that is
 * not answered yet has a struct pending in the server's list: it is delayed, it
 * hangs, or it is a watch that waits for events.
 *
 * Invariant: a struct pending exists exactly while its request is unanswered.
 */
#include "object_api_state.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include "bucket.h"
#include "loom/error.h"
#include "loom/http.h"
#include "object_store.h"

#define API_VALUE_BYTES_MAX (1024 * 1024)
#define API_WAIT_MS_MAX 60000U
#define API_EVENTS_MAX 256U
#define API_SECOND_MS 1000U
#define API_OBJECTS "/objects"
#define API_OBJECT API_OBJECTS "/"

static int destroy_pending(struct pending *pending)
{
	struct api_server *server = pending->server;

	server->pending = g_list_remove(server->pending, pending);
	if (pending->kind == PENDING_WATCH)
		server->waiting_watches--;
	return 0;
}

static void handle_closed(void *data)
{
	talloc_free(data);
}

static struct pending *add_pending(struct api_server *server,
				   struct web_request *request,
				   enum pending_kind kind)
{
	struct pending *pending = talloc_zero(server, struct pending);

	pending->server = server;
	pending->request = request;
	pending->kind = kind;
	server->pending = g_list_append(server->pending, pending);
	if (kind == PENDING_WATCH)
		server->waiting_watches++;
	talloc_set_destructor(pending, destroy_pending);
	web_set_closed_fn(request, handle_closed, pending);
	return pending;
}

static void add_era(const struct api_server *server,
		    struct web_request *request)
{
	char text[16];

	g_snprintf(text, sizeof(text), "%u", server->faults.era);
	if (server->faults.era > 0)
		web_add_header(request, API_ERA_HEADER, text);
}

struct web_request *api_take_pending(struct pending *pending)
{
	struct web_request *request = pending->request;

	if (pending->kind == PENDING_WATCH)
		add_era(pending->server, request);
	web_set_closed_fn(request, NULL, NULL);
	talloc_free(pending);
	return request;
}

static enum call_kind get_kind(const struct web_request *request)
{
	const char *method = web_get_method(request);
	const char *path = web_get_path(request);
	bool is_object = g_str_has_prefix(path, API_OBJECT);

	if (is_object && strcmp(method, "GET") == 0)
		return CALL_GET;
	if (is_object && strcmp(method, "PUT") == 0)
		return CALL_PUT;
	if (is_object && strcmp(method, "DELETE") == 0)
		return CALL_DELETE;
	if (strcmp(method, "GET") != 0)
		return CALL_UNKNOWN;
	if (strcmp(path, API_OBJECTS) == 0)
		return CALL_LIST;
	if (strcmp(path, "/watch") == 0)
		return CALL_WATCH;
	return CALL_UNKNOWN;
}

static bool is_write(enum call_kind kind)
{
	return kind == CALL_PUT || kind == CALL_DELETE;
}

static json_t *make_object(const struct store_object *object)
{
	return json_pack("{s:s, s:I, s:I, s:O*}", "key", object->key, "version",
			 (json_int_t)object->version, "revision",
			 (json_int_t)object->revision, "value", object->value);
}

static void append_object(const struct store_object *object, void *data)
{
	json_array_append_new(data, make_object(object));
}

static void append_event(const struct store_object *object, void *data)
{
	json_t *event;

	if (json_array_size(data) >= API_EVENTS_MAX)
		return;
	event = make_object(object);
	json_object_set_new(event, "type",
			    json_string(object->is_deleted ? "delete" : "put"));
	json_array_append_new(data, event);
}

static const char *get_prefix(const struct web_request *request)
{
	const char *prefix = web_get_query(request, "prefix");

	return prefix ? prefix : "";
}

static const char *get_key(const struct web_request *request)
{
	return web_get_path(request) + strlen(API_OBJECT);
}

static bool parse_number(const char *text, uint64_t *number)
{
	return text && g_ascii_string_to_unsigned(text, 10, 0, G_MAXINT64,
						  number, NULL);
}

static void get_object(struct api_server *server, struct web_request *request)
{
	const struct store_object *object;

	if (server->faults.stale_reads > 0) {
		server->faults.stale_reads--;
		object = store_find_saved_object(server->store,
						 server->faults.stale_from,
						 get_key(request));
	} else {
		object = store_find_object(server->store, get_key(request));
	}
	if (object)
		web_reply_json(request, 200, make_object(object));
	else
		web_reply_error(request, 404, "no object has this key");
}

static void list_objects(struct api_server *server, struct web_request *request)
{
	json_t *objects = json_array();

	store_visit_objects(server->store, get_prefix(request), append_object,
			    objects);
	web_reply_json(request, 200,
		       json_pack("{s:I, s:o}", "revision",
				 (json_int_t)store_get_revision(server->store),
				 "objects", objects));
}

/*
 * Returns a new answer to a watch, or NULL when there are no events and
 * is_final is not set. is_final requests an answer even without events.
 */
static json_t *make_watch_answer(struct api_server *server,
				 const struct web_request *request,
				 bool is_final, uint32_t *status)
{
	json_t *events = json_array();
	uint64_t revision = store_get_revision(server->store);
	uint64_t since = 0;
	size_t count;

	parse_number(web_get_query(request, "since"), &since);
	*status = 410;
	if (store_visit_events(server->store, get_prefix(request), since,
			       append_event, events) == STORE_GONE &&
	    !server->faults.hides_history_gone) {
		json_decref(events);
		return json_pack("{s:s}", "error",
				 "the history does not cover this revision");
	}
	*status = 200;
	count = json_array_size(events);
	if (count == 0 && !is_final) {
		json_decref(events);
		return NULL;
	}
	if (count == API_EVENTS_MAX)
		revision = (uint64_t)json_integer_value(json_object_get(
			json_array_get(events, count - 1), "revision"));
	return json_pack("{s:I, s:o}", "revision", (json_int_t)revision,
			 "events", events);
}

void api_answer_watches(struct api_server *server)
{
	uint32_t status;
	json_t *answer;
	GList *next;

	for (GList *link = server->pending; link; link = next) {
		struct pending *pending = link->data;

		next = link->next;
		if (pending->kind != PENDING_WATCH)
			continue;
		answer = make_watch_answer(server, pending->request, false,
					   &status);
		if (answer)
			web_reply_json(api_take_pending(pending), status,
				       answer);
	}
}

static void end_watch(uint64_t now_ms, void *data)
{
	struct pending *pending = data;
	struct api_server *server = pending->server;
	uint32_t status;
	json_t *answer =
		make_watch_answer(server, pending->request, true, &status);

	web_reply_json(api_take_pending(pending), status, answer);
}

static void start_watch(struct api_server *server, struct web_request *request)
{
	struct pending *pending;
	uint64_t number = 0;
	uint32_t wait_ms;
	uint32_t status;
	json_t *answer;

	if (!parse_number(web_get_query(request, "since"), &number) ||
	    !parse_number(web_get_query(request, "wait_ms"), &number)) {
		web_reply_error(request, 400, "since and wait_ms are required");
		return;
	}
	wait_ms = (uint32_t)MIN(number, API_WAIT_MS_MAX);
	answer = make_watch_answer(
		server, request,
		wait_ms == 0 || server->faults.answers_watch_at_once, &status);
	if (answer) {
		add_era(server, request);
		web_reply_json(request, status, answer);
		return;
	}
	pending = add_pending(server, request, PENDING_WATCH);
	pending->timer = tmr_subscribe_once(pending, server->timers, wait_ms,
					    end_watch, pending);
}

static void reply_write(struct api_server *server, struct web_request *request,
			enum store_outcome outcome, uint64_t version)
{
	switch (outcome) {
	case STORE_OK:
		web_reply_json(request, 200,
			       json_pack("{s:I, s:I}", "version",
					 (json_int_t)version, "revision",
					 (json_int_t)store_get_revision(
						 server->store)));
		return;
	case STORE_CONFLICT:
		web_reply_json(
			request, 409,
			json_pack("{s:I}", "version", (json_int_t)version));
		return;
	case STORE_ABSENT:
	case STORE_GONE:
		web_reply_error(request, 404, "no object has this key");
		return;
	}
}

static void write_object(struct api_server *server, struct web_request *request,
			 enum call_kind kind)
{
	const char *key = get_key(request);
	enum store_outcome outcome;
	json_t *value = NULL;
	uint64_t expected = 0;
	uint64_t version = 0;
	size_t size;
	const char *body = web_get_body(request, &size);

	if (!parse_number(web_get_header(request, "If-Match"), &expected)) {
		web_reply_error(request, 400,
				"If-Match with a version is required");
		return;
	}
	if (kind == CALL_PUT) {
		value = json_loadb(body, size, 0, NULL);
		if (!value) {
			web_reply_error(request, 400,
					"the body must be a JSON value");
			return;
		}
		outcome = store_put_object(server->store, key, value, expected,
					   &version);
	} else {
		outcome = store_delete_object(server->store, key, expected,
					      &version);
	}
	json_decref(value);
	if (server->faults.lose_answers > 0) {
		server->faults.lose_answers--;
		server->failed_by_fault++;
		web_abort(request);
	} else {
		reply_write(server, request, outcome, version);
	}
	api_answer_watches(server);
}

static void execute_call(struct api_server *server, struct web_request *request)
{
	enum call_kind kind = get_kind(request);

	if (kind != CALL_WATCH)
		add_era(server, request);
	switch (kind) {
	case CALL_GET:
		get_object(server, request);
		return;
	case CALL_LIST:
		list_objects(server, request);
		return;
	case CALL_WATCH:
		start_watch(server, request);
		return;
	case CALL_PUT:
	case CALL_DELETE:
		write_object(server, request, kind);
		return;
	case CALL_UNKNOWN:
	case CALL_KIND_COUNT:
		web_reply_error(request, 404, "unknown method or path");
		return;
	}
}

static void execute_delayed_call(uint64_t now_ms, void *data)
{
	struct pending *pending = data;
	struct api_server *server = pending->server;

	execute_call(server, api_take_pending(pending));
}

/* Counts a call; returns whether the rate limit allows it. */
static bool count_call(struct api_server *server, enum call_kind kind)
{
	struct rate *rate = is_write(kind) ? &server->writes : &server->reads;
	uint64_t now_ms = tmr_get_now_ms(server->timers);
	uint64_t waiting = is_write(kind) ? 0 : server->waiting_watches;

	server->call_counts[kind]++;
	if (rate->second != now_ms / API_SECOND_MS) {
		rate->second = now_ms / API_SECOND_MS;
		rate->calls = 0;
	}
	rate->calls++;
	rate->peak_per_second =
		MAX(rate->peak_per_second, rate->calls + waiting);
	return plat_take_token(&rate->bucket, now_ms) == 0;
}

/* Returns whether the fault only_from blocks the address that was called. */
static bool is_address_blocked(const struct api_server *server,
			       const struct web_request *request)
{
	const char *host = web_get_header(request, "Host");

	return server->faults.only_from &&
	       !(host && g_str_has_prefix(host, server->faults.only_from));
}

/* Uses up one of the remaining faults of a counter; false when none is left. */
static bool consume_count(uint32_t *count)
{
	if (*count == 0)
		return false;
	(*count)--;
	return true;
}

/* Handles the call as the faults demand; returns false when none applies. */
static bool apply_faults(struct api_server *server, struct web_request *request)
{
	struct api_faults *faults = &server->faults;

	if (is_address_blocked(server, request) ||
	    consume_count(&faults->drop_before))
		web_abort(request);
	else if (faults->is_hanging)
		add_pending(server, request, PENDING_HANGING);
	else if (faults->is_unavailable)
		web_reply_error(request, 503, "service unavailable");
	else
		return false;
	server->failed_by_fault++;
	return true;
}

static void handle_call(struct api_server *server, struct web_request *request)
{
	struct pending *pending;
	bool is_allowed = count_call(server, get_kind(request));

	if (apply_faults(server, request))
		return;
	if (!is_allowed || consume_count(&server->faults.refuse_rate)) {
		server->refused++;
		web_reply_error(request, 429, "rate limit exceeded");
		return;
	}
	if (server->faults.delay_ms == 0) {
		execute_call(server, request);
		return;
	}
	pending = add_pending(server, request, PENDING_DELAYED);
	pending->timer = tmr_subscribe_once(pending, server->timers,
					    server->faults.delay_ms,
					    execute_delayed_call, pending);
}

static void handle_request(struct web_request *request, void *data)
{
	struct api_server *server = data;
	const char *path = web_get_path(request);
	GError *error = NULL;

	if (strcmp(path, "/stats") == 0) {
		web_reply_json(request, 200, api_make_stats(server));
	} else if (strcmp(path, "/faults") == 0) {
		if (api_set_faults(server, web_get_body(request, NULL), &error))
			web_reply_json(request, 200, json_object());
		else
			web_reply_error(request, 400, error->message);
		g_clear_error(&error);
	} else {
		handle_call(server, request);
	}
}

static void stop_servers(struct api_server *server)
{
	for (guint i = 0; i < server->web_servers->len; i++)
		talloc_free(g_ptr_array_index(server->web_servers, i));
	g_ptr_array_free(server->web_servers, TRUE);
}

static int destroy_server(struct api_server *server)
{
	/* Unanswered requests refer to a struct pending, so they end first. */
	stop_servers(server);
	return 0;
}

static bool open_servers(struct api_server *server,
			 struct tevent_context *events,
			 const struct api_options *options, GError **error)
{
	struct web_options web = { .port = options->port,
				   .body_bytes_max = API_VALUE_BYTES_MAX,
				   .fn = handle_request,
				   .data = server };
	struct web_server *web_server;

	for (const char *const *address = options->addresses; *address;
	     address++) {
		web.address = *address;
		web_server = web_new_server(server, events, &web, error);
		if (!web_server)
			return false;
		g_ptr_array_add(server->web_servers, web_server);
		web.port = web_get_port(web_server);
	}
	return true;
}

static void start_rate(struct rate *rate, uint32_t per_second, uint64_t now_ms)
{
	plat_start_bucket(&rate->bucket, per_second, per_second, now_ms);
}

void api_set_default_options(struct api_options *options)
{
	static const char *const addresses[] = { "127.0.0.1", NULL };

	*options = (struct api_options){ .addresses = addresses,
					 .writes_per_second = 300,
					 .reads_per_second = 2000,
					 .history_max = 1000 };
}

struct api_server *api_new_server(TALLOC_CTX *ctx,
				  struct tevent_context *events,
				  struct tmr_service *timers,
				  const struct api_options *options,
				  GError **error)
{
	struct api_server *server = talloc_zero(ctx, struct api_server);
	uint64_t now_ms = tmr_get_now_ms(timers);

	server->timers = timers;
	server->store = store_new(server, options->history_max);
	server->web_servers = g_ptr_array_new();
	start_rate(&server->reads, options->reads_per_second, now_ms);
	start_rate(&server->writes, options->writes_per_second, now_ms);
	talloc_set_destructor(server, destroy_server);
	if (!open_servers(server, events, options, error)) {
		talloc_free(server);
		return NULL;
	}
	return server;
}

uint16_t api_get_port(const struct api_server *server)
{
	assert(server->web_servers->len > 0);
	return web_get_port(g_ptr_array_index(server->web_servers, 0));
}

struct store *api_get_store(struct api_server *server)
{
	return server->store;
}
