/*
 * Objects are immutable and reference-counted. A state is a tree of objects by
 * key, the revision and the history of events. Saving a state copies the tree
 * and shares the objects.
 *
 * Invariant: the history holds exactly the events after revision history_start,
 * ordered by revision.
 */
#include "object_store.h"

#include <string.h>

struct state {
	GTree *objects;	 /* struct store_object by key, deleted included */
	GQueue *history; /* struct store_object, by revision */
	uint64_t revision;
	uint64_t history_start;
};

struct store {
	struct state state;
	GHashTable *saved; /* struct state by name */
	uint32_t history_max;
};

static void clear_object(gpointer data)
{
	struct store_object *object = data;

	g_free(object->key);
	json_decref(object->value);
}

static void release_object(gpointer object)
{
	g_rc_box_release_full(object, clear_object);
}

static gpointer acquire_object(gconstpointer object, gpointer data)
{
	return g_rc_box_acquire((gpointer)(uintptr_t)object);
}

static gint compare_keys(gconstpointer left, gconstpointer right, gpointer data)
{
	return strcmp(left, right);
}

static void open_state(struct state *state)
{
	*state = (struct state){ 0 };
	state->objects =
		g_tree_new_full(compare_keys, NULL, NULL, release_object);
	state->history = g_queue_new();
}

static void close_state(struct state *state)
{
	g_tree_destroy(state->objects);
	g_queue_free_full(state->history, release_object);
}

static void free_state(gpointer state)
{
	close_state(state);
	g_free(state);
}

static gboolean copy_object(gpointer key, gpointer object, gpointer tree)
{
	g_tree_replace(tree, key, acquire_object(object, NULL));
	return FALSE;
}

static void copy_state(struct state *to, const struct state *from)
{
	open_state(to);
	g_tree_foreach(from->objects, copy_object, to->objects);
	g_queue_free(to->history);
	to->history = g_queue_copy(from->history);
	g_queue_foreach(to->history, (GFunc)(void *)g_rc_box_acquire, NULL);
	to->revision = from->revision;
	to->history_start = from->history_start;
}

static int destroy_store(struct store *store)
{
	close_state(&store->state);
	g_hash_table_destroy(store->saved);
	return 0;
}

static void trim_history(struct store *store)
{
	struct state *state = &store->state;
	struct store_object *event;

	while (g_queue_get_length(state->history) > store->history_max) {
		event = g_queue_pop_head(state->history);
		state->history_start = event->revision;
		release_object(event);
	}
}

static uint64_t write_object(struct store *store, const char *key,
			     json_t *value)
{
	struct store_object *object = g_rc_box_new0(struct store_object);
	const struct store_object *last =
		g_tree_lookup(store->state.objects, key);

	object->key = g_strdup(key);
	object->version = (last ? last->version : 0) + 1;
	object->revision = ++store->state.revision;
	object->is_deleted = !value;
	object->value = json_incref(value);
	g_tree_replace(store->state.objects, object->key, object);
	g_queue_push_tail(store->state.history, acquire_object(object, NULL));
	trim_history(store);
	return object->version;
}

static bool has_prefix(const struct store_object *object, const char *prefix)
{
	return g_str_has_prefix(object->key, prefix);
}

struct store *store_new(TALLOC_CTX *ctx, uint32_t history_max)
{
	struct store *store = talloc_zero(ctx, struct store);

	open_state(&store->state);
	store->saved = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     free_state);
	store->history_max = history_max;
	talloc_set_destructor(store, destroy_store);
	return store;
}

uint64_t store_get_revision(const struct store *store)
{
	return store->state.revision;
}

const struct store_object *store_find_object(const struct store *store,
					     const char *key)
{
	const struct store_object *object =
		g_tree_lookup(store->state.objects, key);

	return object && !object->is_deleted ? object : NULL;
}

void store_visit_objects(const struct store *store, const char *prefix,
			 store_visit_fn fn, void *data)
{
	GTreeNode *node = g_tree_lower_bound(store->state.objects, prefix);

	for (; node; node = g_tree_node_next(node)) {
		const struct store_object *object = g_tree_node_value(node);

		if (!has_prefix(object, prefix))
			return;
		if (!object->is_deleted)
			fn(object, data);
	}
}

enum store_outcome store_put_object(struct store *store, const char *key,
				    json_t *value, uint64_t expected_version,
				    uint64_t *version)
{
	const struct store_object *object = store_find_object(store, key);

	*version = object ? object->version : 0;
	if (*version != expected_version)
		return STORE_CONFLICT;
	*version = write_object(store, key, value);
	return STORE_OK;
}

enum store_outcome store_delete_object(struct store *store, const char *key,
				       uint64_t expected_version,
				       uint64_t *version)
{
	const struct store_object *object = store_find_object(store, key);

	*version = object ? object->version : 0;
	if (!object)
		return STORE_ABSENT;
	if (*version != expected_version)
		return STORE_CONFLICT;
	*version = write_object(store, key, NULL);
	return STORE_OK;
}

enum store_outcome store_visit_events(const struct store *store,
				      const char *prefix, uint64_t since,
				      store_visit_fn fn, void *data)
{
	const struct state *state = &store->state;
	GList *link = state->history->head;

	if (since < state->history_start || since > state->revision)
		return STORE_GONE;
	for (; link; link = link->next) {
		const struct store_object *event = link->data;

		if (event->revision > since && has_prefix(event, prefix))
			fn(event, data);
	}
	return STORE_OK;
}

void store_forget_history(struct store *store)
{
	g_queue_clear_full(store->state.history, release_object);
	store->state.history_start = store->state.revision;
}

void store_save_state(struct store *store, const char *name)
{
	struct state *state = g_new0(struct state, 1);

	copy_state(state, &store->state);
	g_hash_table_replace(store->saved, g_strdup(name), state);
}

bool store_restore_state(struct store *store, const char *name)
{
	const struct state *saved = g_hash_table_lookup(store->saved, name);

	if (!saved)
		return false;
	close_state(&store->state);
	copy_state(&store->state, saved);
	return true;
}

const struct store_object *store_find_saved_object(const struct store *store,
						   const char *name,
						   const char *key)
{
	const struct state *saved = g_hash_table_lookup(store->saved, name);
	const struct store_object *object =
		saved ? g_tree_lookup(saved->objects, key) : NULL;

	return object && !object->is_deleted ? object : NULL;
}
