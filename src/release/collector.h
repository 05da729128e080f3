/*
 * Collector: the calls of this node for one service with a move under way, and
 * the local brake on its share.
 */
#ifndef RLS_COLLECTOR_H
#define RLS_COLLECTOR_H

#include "loom/release.h"
#include "members.h"

struct rls_collector;

/* Returns a new collector owned by ctx. */
struct rls_collector *rls_new_collector(TALLOC_CTX *ctx, const char *service,
					uint64_t now_ms);

/* Adds the counts of a sample. */
void rls_note_calls(struct rls_collector *collector,
		    const struct tr_sample *sample);

/* The lease holder answered: the node is not cut off. */
void rls_note_word(struct rls_collector *collector, uint64_t now_ms);

/*
 * Takes in the slots that have ended and applies the brake. Returns whether
 * the limit on this node changed.
 */
bool rls_run_collector(struct rls_collector *collector,
		       const struct doc_snapshot *snapshot,
		       const struct rls_members *members, uint64_t now_ms);

/* Returns the limit of this node; DOC_SHARE_ALL_PERMILLE: not cut. */
uint32_t rls_get_limit(const struct rls_collector *collector);

/* Returns the service (borrowed). */
const char *rls_get_collector_service(const struct rls_collector *collector);

/*
 * Returns the report of the next slot that has ended and was not reported, a
 * new reference; NULL when there is none, or no call in it.
 */
json_t *rls_take_report(struct rls_collector *collector, const char *node,
			uint64_t now_ms);

#endif
