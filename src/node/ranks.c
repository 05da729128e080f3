/*
 * Ranks of the live nodes for a service; the first ones evaluate its moves.
 *
 * Nodes compute the same ranks as long as their member lists are equal. While
 * these differ there may be an evaluator too many. It takes steps and ends a
 * move by calls that it knows, which need not be all.
 */
#include "ranks.h"

#include <string.h>
#include <glib.h>
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

size_t nd_find_first(const struct mem_member *members, size_t count,
		     const char *service, const struct mem_member **first,
		     size_t max)
{
	size_t found = 0;

	for (size_t i = 0; i < count; i++) {
		size_t at = found;

		if (members[i].state != MEM_STATE_ALIVE)
			continue;
		while (at > 0 && ranks_before(service, &members[i].self,
					      &first[at - 1]->self))
			at--;
		if (at == max)
			continue;
		found = MIN(found + 1, max);
		for (size_t j = found - 1; j > at; j--)
			first[j] = first[j - 1];
		first[at] = &members[i];
	}
	return found;
}

uint32_t nd_get_rank_of(const struct mem_member *members, size_t count,
			const char *service, const char *address)
{
	for (size_t i = 0; i < count; i++) {
		if (strcmp(members[i].self.address, address) == 0)
			return nd_get_rank(members, count, service,
					   &members[i].self);
	}
	return UINT32_MAX;
}

uint32_t nd_count_targets(const struct mem_member *members, size_t count,
			  const char *service, const char *version)
{
	uint32_t targets = 0;

	for (size_t i = 0; i < count; i++) {
		const struct mem_announcement *self = &members[i].self;

		targets += members[i].state == MEM_STATE_ALIVE &&
			   strcmp(self->service, service) == 0 &&
			   strcmp(self->version, version) == 0;
	}
	return targets;
}
