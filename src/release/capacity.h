/*
 * Estimate of the share of calls that the targets of a new version can serve.
 */
#ifndef RLS_CAPACITY_H
#define RLS_CAPACITY_H

#include "loom/moves.h"
#include "members.h"

/* Fills target_capacity_permille and targets_warm_up_ms of evidence. */
void rls_estimate_capacity(const struct rls_members *members,
			   const struct doc_snapshot *snapshot,
			   const struct doc_service *service,
			   const struct mv_window *window, uint64_t now_ms,
			   struct mv_evidence *evidence);

#endif
