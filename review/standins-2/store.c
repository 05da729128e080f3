/*
 * Stand-in for the platform's store: platform/tests/fakestore.c, but for one
 * thing: a PUT that changes nothing neither raises the revision nor is an
 * event.
 *
 * POST /faults sets faults from a JSON object; a field that is absent keeps
 * its value:
 *   outage: false, true (answers 503) or "hang" (never answers)
 *   lose_answers: the next N writes are applied but not answered
 *   cut_watches: true closes the connections of the pending watches
 *   forget_history: true drops the history of changes
 *   era: N is sent as the era of the store with each answer; 0 sends none
 *   save: true keeps a copy of the objects and the revision
 *   restore: true returns to the copy and raises the era; the connections of
 *     pending watches are closed
 *   old_answers: the next N reads are answered from the state that was lost at
 *     the last return, with its era
 *
 * GET /stats returns the number of requests received.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <argtable2.h>
#include "loom/error.h"
#include "loom/http.h"
#include "loom/timer.h"
#include "../../platform/names.h"

#define BODY_BYTES_MAX (1024U * 1024)
#define WAIT_MS_MAX 30000U

struct change {
	uint64_t revision;
	char *kind;
	json_t *object;
	bool is_removed;
};

/* State of the objects at a revision. */
struct copy {
	uint64_t revision;
	json_t *kinds;
};

struct store {
	struct tmr_service *timers;
	struct copy saved;
	struct copy lost; /* state before the last return to saved */
	uint64_t era;	  /* 0: not sent */
	uint32_t old_answers;
	uint64_t revision;
	uint64_t forgotten; /* changes up to this revision were dropped */
	json_t *kinds;	    /* maps a kind to a map from name to object */
	GArray *changes;    /* struct change */
	GList *watches;	    /* struct watch */
	GList *hanging;	    /* struct web_request */
	bool is_out;
	bool is_hanging;
	uint32_t lose_answers;
	uint32_t calls;
};

struct watch {
	struct store *store;
	struct web_request *request;
	char *kind;
	uint64_t since;
	struct tmr_subscription *end;
};

static int destroy_watch(struct watch *watch)
{
	watch->store->watches = g_list_remove(watch->store->watches, watch);
	g_free(watch->kind);
	return 0;
}

static void handle_closed(void *data)
{
	talloc_free(data);
}

static json_t *make_events(const struct store *store, const char *kind,
			   uint64_t since)
{
	json_t *events = json_array();

	for (guint i = 0; i < store->changes->len; i++) {
		const struct change *change =
			&g_array_index(store->changes, struct change, i);

		if (change->revision > since && strcmp(change->kind, kind) == 0)
			json_array_append_new(
				events, json_pack("{s:b,s:O}", "removed",
						  (int)change->is_removed,
						  "object", change->object));
	}
	return events;
}

static void reply_events(struct store *store, struct web_request *request,
			 json_t *events)
{
	web_reply_json(request, 200,
		       json_pack("{s:o,s:I}", "events", events,
				 "store_revision",
				 (json_int_t)store->revision));
}

static void end_watch(uint64_t now_ms, void *data)
{
	struct watch *watch = data;
	struct web_request *request = watch->request;
	struct store *store = watch->store;

	web_set_closed_fn(request, NULL, NULL);
	talloc_free(watch);
	reply_events(store, request, json_array());
}

static void notify_watches(struct store *store, const char *kind)
{
	GList *link = store->watches;

	while (link) {
		struct watch *watch = link->data;
		struct web_request *request = watch->request;
		uint64_t since = watch->since;

		link = link->next;
		if (strcmp(watch->kind, kind) != 0)
			continue;
		web_set_closed_fn(request, NULL, NULL);
		talloc_free(watch);
		reply_events(store, request, make_events(store, kind, since));
	}
}

static void cut_watches(struct store *store)
{
	while (store->watches) {
		struct watch *watch = store->watches->data;
		struct web_request *request = watch->request;

		web_set_closed_fn(request, NULL, NULL);
		talloc_free(watch);
		web_abort(request);
	}
}

static void start_watch(struct store *store, struct web_request *request,
			const char *kind)
{
	uint64_t since =
		g_ascii_strtoull(web_get_query(request, "watch"), NULL, 10);
	const char *wait = web_get_query(request, "wait_ms");
	struct watch *watch;
	json_t *events;

	if (since < store->forgotten || since > store->revision) {
		web_reply_error(request, 410,
				"there is no history since this revision");
		return;
	}
	events = make_events(store, kind, since);
	if (json_array_size(events) > 0) {
		reply_events(store, request, events);
		return;
	}
	json_decref(events);
	watch = talloc_zero(store, struct watch);
	watch->store = store;
	watch->request = request;
	watch->kind = g_strdup(kind);
	watch->since = since;
	store->watches = g_list_append(store->watches, watch);
	talloc_set_destructor(watch, destroy_watch);
	web_set_closed_fn(request, handle_closed, watch);
	watch->end = tmr_subscribe_once(
		watch, store->timers,
		wait ? (uint32_t)MIN(g_ascii_strtoull(wait, NULL, 10),
				     WAIT_MS_MAX)
		     : 0,
		end_watch, watch);
}

static json_t *get_kind(struct store *store, const char *kind)
{
	json_t *objects = json_object_get(store->kinds, kind);

	if (objects)
		return objects;
	objects = json_object();
	json_object_set_new(store->kinds, kind, objects);
	return objects;
}

static void list_kind(struct store *store, struct web_request *request,
		      const char *kind)
{
	json_t *items = json_array();
	const char *name;
	json_t *object;

	json_object_foreach(get_kind(store, kind), name, object)
	{
		json_array_append(items, object);
	}
	web_reply_json(request, 200,
		       json_pack("{s:o,s:b,s:I}", "items", items, "has_more", 0,
				 "store_revision",
				 (json_int_t)store->revision));
}

static void record_change(struct store *store, const char *kind, json_t *object,
			  bool is_removed)
{
	struct change change = {
		.revision = store->revision,
		.kind = g_strdup(kind),
		.object = json_deep_copy(object),
		.is_removed = is_removed,
	};

	g_array_append_val(store->changes, change);
	notify_watches(store, kind);
}

static void set_revision(struct store *store, json_t *object)
{
	json_t *metadata = json_object_get(object, "metadata");

	store->revision++;
	json_object_set_new(metadata, "rev",
			    json_integer((json_int_t)store->revision));
	if (!json_object_get(metadata, "created"))
		json_object_set_new(metadata, "created",
				    json_integer((json_int_t)store->revision));
}

static json_int_t get_revision(const json_t *object)
{
	return json_integer_value(
		json_object_get(json_object_get(object, "metadata"), "rev"));
}

/*
 * Answers an applied write, or closes the connection when lose_answers is set.
 */
static void reply_done(struct store *store, struct web_request *request,
		       json_t *object)
{
	if (store->lose_answers > 0) {
		store->lose_answers--;
		web_abort(request);
		return;
	}
	web_reply_json(request, 200, json_deep_copy(object));
}

static void create(struct store *store, struct web_request *request,
		   const char *kind, const json_t *body)
{
	const char *name = json_string_value(
		json_object_get(json_object_get(body, "metadata"), "name"));
	json_t *objects = get_kind(store, kind);
	json_t *object = name ? json_object_get(objects, name) : NULL;

	if (!name) {
		web_reply_error(request, 400, "no name");
		return;
	}
	if (object) {
		web_reply_json(request, 409, json_deep_copy(object));
		return;
	}
	object = json_pack("{s:{s:s},s:O,s:n}", "metadata", "name", name,
			   "spec", json_object_get(body, "spec"), "status");
	set_revision(store, object);
	json_object_set_new(objects, name, object);
	reply_done(store, request, object);
	record_change(store, kind, object, false);
}

static void change_object(struct store *store, struct web_request *request,
			  const char *kind, const char *name, const char *part,
			  const json_t *body)
{
	bool is_removal = strcmp(web_get_method(request), "DELETE") == 0;
	json_t *objects = get_kind(store, kind);
	json_t *object = json_incref(json_object_get(objects, name));
	const char *query = web_get_query(request, "rev");
	json_int_t expected =
		query ? (json_int_t)g_ascii_strtoull(query, NULL, 10)
		      : get_revision(body);

	if (!object) {
		web_reply_error(request, 404, "no such object");
		return;
	}
	if (expected > 0 && expected != get_revision(object)) {
		web_reply_json(request, 409, json_deep_copy(object));
		json_decref(object);
		return;
	}
	if (!is_removal && json_equal(json_object_get(object, part),
				      json_object_get(body, part))) {
		reply_done(store, request, object);
		json_decref(object);
		return;
	}
	if (is_removal)
		json_object_del(objects, name);
	else
		json_object_set(object, part, json_object_get(body, part));
	set_revision(store, object);
	reply_done(store, request, object);
	record_change(store, kind, object, is_removal);
	json_decref(object);
}

static void handle_object(struct store *store, struct web_request *request,
			  char **parts)
{
	const char *method = web_get_method(request);
	const char *kind = parts[0];
	const char *name = parts[1];
	json_t *object;
	size_t size;
	const char *text = web_get_body(request, &size);
	json_t *body = json_loadb(text, size, 0, NULL);

	if (strcmp(method, "GET") != 0 && name) {
		change_object(store, request, kind, name,
			      parts[2] ? "status" : "spec", body);
	} else if (strcmp(method, "POST") == 0) {
		create(store, request, kind, body);
	} else if (name) {
		object = json_object_get(get_kind(store, kind), name);
		if (object)
			web_reply_json(request, 200, json_deep_copy(object));
		else
			web_reply_error(request, 404, "no such object");
	} else if (web_get_query(request, "watch")) {
		start_watch(store, request, kind);
	} else {
		list_kind(store, request, kind);
	}
	json_decref(body);
}

static void take_copy(const struct store *store, struct copy *copy)
{
	json_decref(copy->kinds);
	copy->kinds = json_deep_copy(store->kinds);
	copy->revision = store->revision;
}

/* Returns to the saved copy; its revisions are given out again. */
static void restore_copy(struct store *store)
{
	if (!store->saved.kinds)
		return;
	take_copy(store, &store->lost);
	json_decref(store->kinds);
	store->kinds = json_deep_copy(store->saved.kinds);
	store->revision = store->saved.revision;
	store->era++;
	while (store->changes->len > 0 &&
	       g_array_index(store->changes, struct change,
			     store->changes->len - 1)
			       .revision > store->revision)
		g_array_set_size(store->changes, store->changes->len - 1);
	cut_watches(store);
}

static void set_copy_faults(struct store *store, const json_t *faults)
{
	const json_t *era = json_object_get(faults, "era");
	const json_t *old = json_object_get(faults, "old_answers");

	if (json_is_integer(era))
		store->era = (uint64_t)json_integer_value(era);
	if (json_is_integer(old))
		store->old_answers = (uint32_t)json_integer_value(old);
	if (json_is_true(json_object_get(faults, "save")))
		take_copy(store, &store->saved);
	if (json_is_true(json_object_get(faults, "restore")))
		restore_copy(store);
}

static void set_faults(struct store *store, const json_t *faults)
{
	const json_t *outage = json_object_get(faults, "outage");
	const json_t *lose = json_object_get(faults, "lose_answers");

	if (outage) {
		store->is_out = json_is_true(outage);
		store->is_hanging = json_is_string(outage);
	}
	if (json_is_integer(lose))
		store->lose_answers = (uint32_t)json_integer_value(lose);
	set_copy_faults(store, faults);
	if (json_is_true(json_object_get(faults, "forget_history")))
		store->forgotten = store->revision;
	if (json_is_true(json_object_get(faults, "cut_watches")) ||
	    store->is_out || store->is_hanging)
		cut_watches(store);
}

static void add_era(const struct store *store, struct web_request *request,
		    uint64_t era)
{
	char text[24];

	if (store->era == 0)
		return;
	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, era);
	web_add_header(request, PF_HEADER_STORE_ERA, text);
}

static bool is_read(const struct web_request *request)
{
	return strcmp(web_get_method(request), "GET") == 0 &&
	       !web_get_query(request, "watch");
}

/* Answers a call, a read from the lost state while old_answers is set. */
static void answer_call(struct store *store, struct web_request *request,
			char **parts)
{
	struct store now = *store;

	if (store->old_answers == 0 || !is_read(request) ||
	    !store->lost.kinds) {
		add_era(store, request, store->era);
		handle_object(store, request, parts);
		return;
	}
	store->old_answers--;
	store->kinds = store->lost.kinds;
	store->revision = store->lost.revision;
	add_era(store, request, store->era - 1);
	handle_object(store, request, parts);
	store->kinds = now.kinds;
	store->revision = now.revision;
}

static void handle_request(struct web_request *request, void *data)
{
	struct store *store = data;
	const char *path = web_get_path(request);
	json_t *body;
	char **parts;
	size_t size;
	const char *text = web_get_body(request, &size);

	if (strcmp(path, "/faults") == 0) {
		body = json_loadb(text, size, 0, NULL);
		set_faults(store, body);
		json_decref(body);
		web_reply_json(request, 200, json_object());
		return;
	}
	if (strcmp(path, "/stats") == 0) {
		web_reply_json(request, 200,
			       json_pack("{s:i}", "calls", (int)store->calls));
		return;
	}
	store->calls++;
	if (store->is_hanging)
		return;
	if (store->is_out || !g_str_has_prefix(path, PF_PATH_OBJECTS)) {
		add_era(store, request, store->era);
		web_reply_error(request, store->is_out ? 503 : 404, "no");
		return;
	}
	parts = g_strsplit(path + strlen(PF_PATH_OBJECTS), "/", 3);
	answer_call(store, request, parts);
	g_strfreev(parts);
}

static void handle_signal(struct tevent_context *events,
			  struct tevent_signal *signal, int number, int count,
			  void *info, void *data)
{
	_exit(EXIT_SUCCESS);
}

int main(int argc, char **argv)
{
	struct tevent_context *events = tevent_context_init(NULL);
	struct store *store = talloc_zero(events, struct store);
	struct web_options options = {
		.body_bytes_max = BODY_BYTES_MAX,
		.fn = handle_request,
		.data = store,
	};
	GError *error = NULL;

	if (argc != 3) {
		fputs("usage: store ADDRESS PORT\n", stderr);
		return EXIT_FAILURE;
	}
	signal(SIGPIPE, SIG_IGN);
	options.address = argv[1];
	options.port = (uint16_t)atoi(argv[2]);
	store->timers = tmr_new(store, events);
	store->kinds = json_object();
	store->changes = g_array_new(FALSE, FALSE, sizeof(struct change));
	if (!web_new_server(store, events, &options, &error)) {
		fprintf(stderr, "store: %s\n", error->message);
		return EXIT_FAILURE;
	}
	tevent_add_signal(events, store, SIGTERM, 0, handle_signal, store);
	for (;;)
		tevent_loop_once(events);
}
