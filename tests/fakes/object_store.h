/*
 * State of the stand-in for the platform's object store: objects with versions,
 * a store revision and a bounded history of events. No I/O and no clock.
 *
 * A deleted object keeps its version, so that the versions of a key never
 * repeat; only store_restore_state() takes them back.
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
	STORE_GONE, /* the history does not reach back, or not forward, so far
		     */
};

/* Returns a new, empty store owned by ctx that keeps history_max events. */
struct store *store_new(TALLOC_CTX *ctx, uint32_t history_max);

/* Returns the present store revision. */
uint64_t store_get_revision(const struct store *store);

/* Returns the object of that key (borrowed until the next write) or NULL. */
const struct store_object *store_find_object(const struct store *store,
					     const char *key);

typedef void (*store_visit_fn)(const struct store_object *object, void *data);

/* Visits all objects of a prefix, in order of key. */
void store_visit_objects(const struct store *store, const char *prefix,
			 store_visit_fn fn, void *data);

/*
 * Writes an object whose present version is expected_version (0: absent).
 * *version is then the new version, or the present one after a conflict.
 */
enum store_outcome store_put_object(struct store *store, const char *key,
				    json_t *value, uint64_t expected_version,
				    uint64_t *version);

/* Deletes an object whose present version is expected_version. */
enum store_outcome store_delete_object(struct store *store, const char *key,
				       uint64_t expected_version,
				       uint64_t *version);

/*
 * Visits the events of a prefix after revision since, oldest first. Visits none
 * and returns STORE_GONE when the history does not hold all of them.
 */
enum store_outcome store_visit_events(const struct store *store,
				      const char *prefix, uint64_t since,
				      store_visit_fn fn, void *data);

/* Drops the history up to the present revision. */
void store_forget_history(struct store *store);

/* Keeps a copy of the present state under a name. */
void store_save_state(struct store *store, const char *name);

/* Goes back to a kept state. Returns false when there is none of that name. */
bool store_restore_state(struct store *store, const char *name);

/* Finds an object in a kept state, as a replica that lags would. */
const struct store_object *store_find_saved_object(const struct store *store,
						   const char *name,
						   const char *key);

#endif
