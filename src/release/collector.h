/*
 * Collector: counts the calls of this node for one service with an active move,
 * and keeps the node's local limit on the share of the new version.
 */
#ifndef RLS_COLLECTOR_H
#define RLS_COLLECTOR_H

#include "loom/release.h"
#include "members.h"

struct rls_collector;

/* Returns a new collector owned by ctx; service is copied. */
struct rls_collector *rls_new_collector(TALLOC_CTX *ctx, const char *service,
					uint64_t now_ms);

/* Adds the counts of a sample. */
void rls_record_calls(struct rls_collector *collector,
		      const struct tr_sample *sample);

/* Records contact with the lease holder: the node is not cut off. */
void rls_record_contact(struct rls_collector *collector, uint64_t now_ms);

/*
 * Analyzes the slots that have ended and updates the local limit. Returns
 * whether the limit changed.
 */
bool rls_run_collector(struct rls_collector *collector,
		       const struct doc_snapshot *snapshot,
		       const struct rls_members *members, uint64_t now_ms);

/* Returns the local limit in permille; DOC_SHARE_ALL_PERMILLE: none. */
uint32_t rls_get_limit(const struct rls_collector *collector);

/* Returns the name of the service (borrowed). */
const char *rls_get_collector_service(const struct rls_collector *collector);

/*
 * Returns the report of the next slot that has ended, has calls and was not
 * reported, as a new reference; NULL when there is none.
 */
json_t *rls_format_next_report(struct rls_collector *collector,
			       const char *node, uint64_t now_ms);

#endif
