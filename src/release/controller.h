/*
 * Holder: the node that judges the move of one service and writes its steps.
 */
#ifndef RLS_HOLDER_H
#define RLS_HOLDER_H

#include "loom/release.h"
#include "members.h"

struct rls_holder;

struct rls_holder_options {
	struct tmr_service *timers;
	struct plat_client *platform;
	const char *node;
	const char *service;
};

/* Competes for the lease. Returns a new holder owned by ctx. */
struct rls_holder *rls_new_holder(TALLOC_CTX *ctx,
				  const struct rls_holder_options *options);

/* Returns whether the lease is held at this moment. */
bool rls_is_holding(const struct rls_holder *holder);

/* Returns the window for the reports of all nodes (borrowed). */
struct mv_window *rls_get_holder_window(struct rls_holder *holder);

/* Decides on the next step and starts its writes; once a second. */
void rls_run_holder(struct rls_holder *holder,
		    const struct doc_snapshot *snapshot,
		    const struct rls_members *members);

#endif
