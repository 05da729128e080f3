/*
 * Election of the watchers, the nodes that follow the store on behalf of the
 * others.
 */
#ifndef ND_WATCHERS_H
#define ND_WATCHERS_H

#include <stdbool.h>
#include <stddef.h>
#include "loom/membership.h"

/*
 * Returns whether the live member with that address is a watcher. All nodes
 * with the same member list get the same result.
 */
bool nd_is_watcher(const struct mem_member *members, size_t count,
		   const char *address);

/*
 * Returns the watcher (borrowed) from which the node with that address takes
 * the configuration, or NULL. Watchers of its own failure domain come first;
 * among several, the choice differs from node to node to spread the load.
 * is_excluded returns whether a member cannot be used at present.
 */
typedef bool (*nd_excluded_fn)(const struct mem_member *member, void *data);
const struct mem_member *nd_choose_watcher(const struct mem_member *members,
					   size_t count, const char *address,
					   nd_excluded_fn is_excluded,
					   void *data);

/*
 * Returns a delay below max_ms after which a node follows the store when many
 * start at once. Among nodes of the same capacity, those that rank first as
 * watchers have the shortest delays.
 */
uint32_t nd_get_turn(const char *address, uint32_t max_ms);

#endif
