/*
 * How much of the calls the targets of a new version can bear.
 */
#ifndef RLS_BEARING_H
#define RLS_BEARING_H

#include "loom/moves.h"
#include "members.h"

/* Fills bearable_permille and ramp_ms of evidence. */
void rls_estimate_bearing(const struct rls_members *members,
			  const struct doc_snapshot *snapshot,
			  const struct doc_service *service,
			  const struct mv_window *window, uint64_t now_ms,
			  struct mv_evidence *evidence);

#endif
