/*
 * Execution of moves by the nodes. Each node reports its call counts to one
 * node per service, the owner of that service, which analyzes them and writes
 * the steps of the move. In addition each node may lower the share that it uses
 * from its own calls.
 *
 * The object status/SERVICE is authoritative for the state of a move; the
 * manifest is derived from it. See src/release/NOTES.md.
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

/* Called when a share limit of this node changed: routing needs a new table. */
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

/*
 * Returns a new service owned by ctx, or NULL with *error set. The members of
 * options are borrowed, except node, which is copied.
 */
struct rls_service *rls_new_service(TALLOC_CTX *ctx,
				    const struct rls_options *options,
				    GError **error);

/* Replaces the snapshot by a newer one; the service takes a reference. */
void rls_set_snapshot(struct rls_service *service,
		      struct doc_snapshot *snapshot);

/* Replaces the list of members and their targets; they are copied. */
void rls_set_members(struct rls_service *service,
		     const struct mem_member *members, size_t count);

/* Adds counts of calls that finished on this node; a tr_sample_fn. */
void rls_record_sample(const struct tr_sample *sample, void *data);

typedef void (*rls_limit_fn)(const char *service, uint32_t limit_permille,
			     void *data);

/* Calls fn for each service whose share is limited on this node. */
void rls_each_limit(const struct rls_service *service, rls_limit_fn fn,
		    void *data);

/* Handles POST /moves/report from another node. */
void rls_handle_report(struct rls_service *service,
		       struct web_request *request);

/*
 * Returns a copy of a status object (NULL: none exists) with state and the
 * sentence that describes it, as a new reference. move may be NULL for a state
 * that an operator took back. All other fields are kept.
 */
json_t *rls_merge_status(const json_t *status, const char *service,
			 const struct mv_state *state,
			 const struct doc_move *move);

/* Fills state from a status object; returns false when it has no valid one. */
bool rls_parse_status(const json_t *status, struct mv_state *state);

#endif
