/*
 * Ranks of the live nodes for a service.
 */
#ifndef ND_RANKS_H
#define ND_RANKS_H

#include "loom/membership.h"

/* Returns how many live members rank before a node for a service. */
uint32_t nd_get_rank(const struct mem_member *members, size_t count,
		     const char *service, const struct mem_announcement *self);

/*
 * Fills first with up to max live members (borrowed) of the lowest ranks, in
 * their order, and returns how many there are. One pass over the members.
 */
size_t nd_find_first(const struct mem_member *members, size_t count,
		     const char *service, const struct mem_member **first,
		     size_t max);

/* Returns the rank of the node with that address; UINT32_MAX if unknown. */
uint32_t nd_get_rank_of(const struct mem_member *members, size_t count,
			const char *service, const char *address);

/* Returns how many live members have a target of that version. */
uint32_t nd_count_targets(const struct mem_member *members, size_t count,
			  const char *service, const char *version);

#endif
