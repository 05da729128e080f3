/*
 * Ranks of the live nodes for a service; the first ones evaluate its moves.
 *
 * Nodes compute the same ranks as long as their member lists are equal. While
 * these differ there may be an evaluator too many, which does no harm.
 */
#include "ranks.h"

#include <string.h>
#include <xxhash.h>

static uint64_t hash_node(const char *service, const char *address)
{
	return XXH3_64bits_withSeed(address, strlen(address),
				    XXH3_64bits(service, strlen(service)));
}

/*
 * Returns whether node a ranks before node b for a service: by capacity, since
 * an evaluator gets the reports of all nodes, then by a hash, so that services
 * differ in their evaluators.
 */
static bool ranks_before(const char *service, const struct mem_announcement *a,
			 const struct mem_announcement *b)
{
	if (a->capacity != b->capacity)
		return a->capacity > b->capacity;
	return hash_node(service, a->address) < hash_node(service, b->address);
}

uint32_t nd_get_rank(const struct mem_member *members, size_t count,
		     const char *service, const struct mem_announcement *self)
{
	uint32_t rank = 0;

	for (size_t i = 0; i < count; i++) {
		if (members[i].state == MEM_STATE_ALIVE &&
		    ranks_before(service, &members[i].self, self))
			rank++;
	}
	return rank;
}
