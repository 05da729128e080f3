/*
 * Moves on the running nodes: the calls that each node counts go to one node
 * for each service, which judges them and writes the steps of the move; every
 * node cuts a share by itself on what it sees.
 *
 * The object status/SERVICE is the truth of a move; the manifest follows it.
 * See src/release/NOTES.md.
 */
#ifndef LOOM_RELEASE_H
#define LOOM_RELEASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>
#include <jansson.h>
#include <talloc.h>
#include <tevent.h>
#include "loom/counter.h"
#include "loom/document.h"
#include "loom/http.h"
#include "loom/membership.h"
#include "loom/moves.h"
#include "loom/platform.h"
#include "loom/timer.h"
#include "loom/traffic.h"

#define RLS_KEY_LEASE "system/lease/move/"

struct rls_service;

/* The share limits of this node changed: routing needs a new table. */
typedef void (*rls_change_fn)(void *data);

struct rls_options {
	struct tevent_context *events;
	struct tmr_service *timers;
	struct cnt_registry *counters;
	struct plat_client *platform;
	const char *node; /* "ADDRESS:ADMIN_PORT" of this node */
	rls_change_fn on_change;
	void *data;
};

/* Returns a new service owned by ctx, or NULL with *error set. */
struct rls_service *rls_new_service(TALLOC_CTX *ctx,
				    const struct rls_options *options,
				    GError **error);

/* A newer snapshot is in force; it is referenced. */
void rls_set_snapshot(struct rls_service *service,
		      struct doc_snapshot *snapshot);

/* The members or their targets changed; they are copied. */
void rls_set_members(struct rls_service *service,
		     const struct mem_member *members, size_t count);

/* Takes counts of calls that ended on this node; a tr_sample_fn. */
void rls_note_sample(const struct tr_sample *sample, void *data);

typedef void (*rls_limit_fn)(const char *service, uint32_t limit_permille,
			     void *data);

/* Calls fn for each service whose share is cut on this node. */
void rls_each_limit(const struct rls_service *service, rls_limit_fn fn,
		    void *data);

/* Answers POST /moves/report of another node. */
void rls_handle_report(struct rls_service *service,
		       struct web_request *request);

/*
 * Returns a copy of a status object (NULL: there is none) with that state and
 * its sentence, a new reference. move may be NULL for a state that an operator
 * took back. All other fields stay.
 */
json_t *rls_merge_status(const json_t *status, const char *service,
			 const struct mv_state *state,
			 const struct doc_move *move);

/* Fills state from a status object; false when it holds none. */
bool rls_parse_status(const json_t *status, struct mv_state *state);

#endif
