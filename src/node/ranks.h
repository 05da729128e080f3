/*
 * Ranks of the live nodes for a service.
 */
#ifndef ND_RANKS_H
#define ND_RANKS_H

#include "loom/membership.h"

/* Returns how many live members rank before a node for a service. */
uint32_t nd_get_rank(const struct mem_member *members, size_t count,
		     const char *service, const struct mem_announcement *self);

#endif
