/*
 * Controller: analyzes the move of one service and writes its steps while it
 * holds the lease of that service.
 */
#ifndef RLS_CONTROLLER_H
#define RLS_CONTROLLER_H

#include "loom/release.h"
#include "members.h"

struct rls_controller;

struct rls_controller_options {
	struct tmr_service *timers;
	struct plat_client *platform;
	const char *node;
	const char *service;
};

/*
 * Returns a new controller owned by ctx, which competes for the lease of the
 * service until it is freed.
 */
struct rls_controller *
rls_new_controller(TALLOC_CTX *ctx,
		   const struct rls_controller_options *options);

/* Returns whether the controller holds the lease now. */
bool rls_has_lease(const struct rls_controller *controller);

/* Returns the window that holds the reports of all nodes (borrowed). */
struct mv_window *rls_get_controller_window(struct rls_controller *controller);

/* Decides on the next step and starts its writes. Called once a second. */
void rls_run_controller(struct rls_controller *controller,
			const struct doc_snapshot *snapshot,
			const struct rls_members *members);

#endif
