/*
 * Election of the watchers, the nodes that follow the store.
 *
 * Within a failure domain the live members are ordered by their capacity,
 * because serving a large configuration to other nodes needs it, and then by a
 * hash of their address; the first few are watchers. Nodes of a failure
 * domain elect the same watchers as long as their member lists are equal. While
 * these differ, there may be a watcher too many or a change of watcher, which
 * does no harm.
 */
#include "watchers.h"

#include <string.h>
#include <glib.h>
#include <xxhash.h>

/*
 * Watchers in all failure domains together. The store may reject all of them at
 * once; they find that out and tell the other nodes, which then follow it.
 */
#define WATCHERS_MIN 4U
/* Keeps the load of the polls that a watcher serves below 1 % of a core. */
#define NODES_PER_WATCHER 64U

static uint64_t hash_address(const char *address)
{
	return XXH3_64bits(address, strlen(address));
}

static bool is_alive_in_domain(const struct mem_member *member,
			       const char *domain)
{
	return member->state == MEM_STATE_ALIVE &&
	       strcmp(member->self.failure_domain, domain) == 0;
}

/*
 * Returns whether the member is the first live one of its failure domain in
 * the list.
 */
static bool is_first_of_domain(const struct mem_member *members, size_t index)
{
	for (size_t i = 0; i < index; i++) {
		if (is_alive_in_domain(&members[i],
				       members[index].self.failure_domain))
			return false;
	}
	return members[index].state == MEM_STATE_ALIVE;
}

static uint32_t get_watcher_quota(const struct mem_member *members,
				  size_t count, const char *domain)
{
	uint32_t domains = 0;
	uint32_t peers = 0;

	for (size_t i = 0; i < count; i++) {
		domains += is_first_of_domain(members, i);
		peers += is_alive_in_domain(&members[i], domain);
	}
	if (domains == 0)
		return WATCHERS_MIN;
	return MAX((WATCHERS_MIN + domains - 1) / domains,
		   (peers + NODES_PER_WATCHER - 1) / NODES_PER_WATCHER);
}

static bool ranks_before(const struct mem_announcement *a,
			 const struct mem_announcement *b)
{
	if (a->capacity != b->capacity)
		return a->capacity > b->capacity;
	return hash_address(a->address) < hash_address(b->address);
}

/* Returns how many live members of its failure domain rank before a member. */
static uint32_t get_rank(const struct mem_member *members, size_t count,
			 const struct mem_announcement *self)
{
	uint32_t rank = 0;

	for (size_t i = 0; i < count; i++)
		rank += is_alive_in_domain(&members[i], self->failure_domain) &&
			ranks_before(&members[i].self, self);
	return rank;
}

static const struct mem_member *find_member(const struct mem_member *members,
					    size_t count, const char *address)
{
	for (size_t i = 0; i < count; i++) {
		if (strcmp(members[i].self.address, address) == 0)
			return &members[i];
	}
	return NULL;
}

static bool is_watcher(const struct mem_member *members, size_t count,
		       const struct mem_member *member)
{
	return member->state == MEM_STATE_ALIVE &&
	       get_rank(members, count, &member->self) <
		       get_watcher_quota(members, count,
					 member->self.failure_domain);
}

/* Returns the preference of a node for a watcher, which differs by node. */
static uint64_t get_preference(const char *address,
			       const struct mem_member *member)
{
	return XXH3_64bits_withSeed(member->self.address,
				    strlen(member->self.address),
				    hash_address(address));
}

uint32_t nd_get_turn(const char *address, uint32_t max_ms)
{
	return (uint32_t)((hash_address(address) >> 32) * max_ms >> 32);
}

bool nd_is_watcher(const struct mem_member *members, size_t count,
		   const char *address)
{
	const struct mem_member *member = find_member(members, count, address);

	return member && is_watcher(members, count, member);
}

const struct mem_member *nd_choose_watcher(const struct mem_member *members,
					   size_t count, const char *address,
					   nd_excluded_fn is_excluded,
					   void *data)
{
	const struct mem_member *own = find_member(members, count, address);
	const struct mem_member *best = NULL;
	bool is_best_same_domain = false;

	for (size_t i = 0; i < count; i++) {
		const struct mem_member *member = &members[i];
		bool is_same_domain =
			own &&
			is_alive_in_domain(member, own->self.failure_domain);

		if (member == own || !is_watcher(members, count, member) ||
		    is_excluded(member, data))
			continue;
		if (best && is_same_domain < is_best_same_domain)
			continue;
		if (best && is_same_domain == is_best_same_domain &&
		    get_preference(address, member) <
			    get_preference(address, best))
			continue;
		best = member;
		is_best_same_domain = is_same_domain;
	}
	return best;
}
