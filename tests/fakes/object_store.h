/*
 * Object store in memory of the fake platform: objects with versions, a store
 * revision and a bounded history of events. It does no I/O and reads no clock.
 *
 * A deleted object keeps its version, so that the versions of a key never
 * repeat. Only store_restore_state() returns to earlier versions.
 */
#ifndef LOOM_FAKES_OBJECT_STORE_H
#define LOOM_FAKES_OBJECT_STORE_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>
#include <jansson.h>
#include <talloc.h>

struct store;

struct store_object {
	char *key;
	uint64_t version;
	uint64_t revision;
	bool is_deleted;
	json_t *value; /* NULL when it is deleted */
};

enum store_outcome {
	STORE_OK,
	STORE_ABSENT,
	STORE_CONFLICT,
	STORE_GONE, /* the history does not cover the requested revision */
};

/* Returns a new, empty store owned by ctx that keeps history_max events. */
struct store *store_new(TALLOC_CTX *ctx, uint32_t history_max);

/* Returns the current store revision. */
uint64_t store_get_revision(const struct store *store);

/* Returns the object of that key (borrowed until the next write) or NULL. */
const struct store_object *store_find_object(const struct store *store,
					     const char *key);

typedef void (*store_visit_fn)(const struct store_object *object, void *data);

/* Calls fn for each object whose key has the prefix, in order of key. */
void store_visit_objects(const struct store *store, const char *prefix,
			 store_visit_fn fn, void *data);

/*
 * Writes an object whose current version is expected_version (0: absent).
 * Stores in *version the new version or, after STORE_CONFLICT, the current one.
 * The store takes its own reference to value.
 */
enum store_outcome store_put_object(struct store *store, const char *key,
				    json_t *value, uint64_t expected_version,
				    uint64_t *version);

/* Deletes an object whose current version is expected_version. */
enum store_outcome store_delete_object(struct store *store, const char *key,
				       uint64_t expected_version,
				       uint64_t *version);

/*
 * Calls fn for the events of a prefix after revision since, oldest first. Calls
 * it for none and returns STORE_GONE when the history does not hold all events
 * after since, or when since is a revision yet to come.
 */
enum store_outcome store_visit_events(const struct store *store,
				      const char *prefix, uint64_t since,
				      store_visit_fn fn, void *data);

/* Deletes the history up to the current revision. */
void store_forget_history(struct store *store);

/* Saves a copy of the current state under a name. */
void store_save_state(struct store *store, const char *name);

/* Returns to a saved state; false when none has that name. */
bool store_restore_state(struct store *store, const char *name);

/*
 * Returns an object (borrowed) of a saved state, as a replica that lags behind
 * would, or NULL when the state or the object does not exist.
 */
const struct store_object *store_find_saved_object(const struct store *store,
						   const char *name,
						   const char *key);

#endif
