/*
 * Copy of the live members, and the choice of the node that owns a service.
 */
#ifndef RLS_MEMBERS_H
#define RLS_MEMBERS_H

#include "loom/document.h"
#include "loom/membership.h"

struct rls_member {
	const char *node; /* "ADDRESS:ADMIN_PORT" */
	const char *failure_domain;
	const char *service; /* service of its target; "": no target */
	const char *version;
	enum rt_phase phase;
};

struct rls_members {
	struct rls_member *items;
	size_t count;
};

/* Returns a new copy of the live members (alive or suspect), owned by ctx. */
struct rls_members *rls_copy_members(TALLOC_CTX *ctx,
				     const struct mem_member *members,
				     size_t count);

/*
 * Returns the node that owns a service (borrowed from members), chosen by
 * rendezvous hashing; NULL when there are no members.
 */
const char *rls_find_owner(const struct rls_members *members,
			   const char *service);

/*
 * Returns how many targets of a version are in that phase. Targets in failure
 * domains that were taken out are not counted.
 */
uint32_t rls_count_targets(const struct rls_members *members,
			   const struct doc_snapshot *snapshot,
			   const char *service, const char *version,
			   enum rt_phase phase);

#endif
