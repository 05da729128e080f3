/*
 * Copies of departures on other nodes.
 *
 * While the store does not take the departure of a target, a few other nodes
 * keep a copy of it in memory. A node that has started asks the nodes that may
 * have one. A copy outlives the process that sent it, but not its own, so the
 * departure is still written to the store as soon as that is possible.
 */
#ifndef ND_REPLICAS_H
#define ND_REPLICAS_H

#include "internal.h"

/* Nodes that get a copy. */
#define ND_REPLICAS 3U
/* Copies that suffice, if there are as many other nodes. */
#define ND_REPLICAS_ENOUGH 2U
/*
 * Nodes that are asked for a copy: the members may have changed since the
 * copies were sent.
 */
#define ND_REPLICAS_ASKED 6U

/*
 * Fills chosen with up to max live members (borrowed) other than self, in the
 * order in which they get copies, and returns how many there are. The first
 * ones are in different failure domains other than that of self, as far as
 * there are any. A smaller max gives a prefix of the same list.
 */
size_t nd_choose_replicas(const struct mem_member *members, size_t count,
			  const struct mem_announcement *self,
			  const struct mem_member **chosen, size_t max);

/*
 * Starts to ask other nodes for a departure of the local target, and to answer
 * them. Returns a new object owned by the node, or NULL with *error set.
 */
struct nd_replicas *nd_open_replicas(struct nd_node *node, GError **error);

/*
 * Sends the departure of the instance in nd_node to the nodes that do not have
 * it yet. nd_handle_replica() is called for each node that keeps it.
 */
void nd_replicate_departure(struct nd_replicas *replicas);

/* Returns how many other nodes keep the departure of the present instance. */
uint32_t nd_count_replicas(const struct nd_replicas *replicas);

/* Returns whether enough of them do. */
bool nd_is_replicated(const struct nd_replicas *replicas);

/*
 * POST /departures {"address", "instance", "started_ms"}: keeps a copy for the
 * node with that address. GET /departures?address=A: {"instance",
 * "started_ms"}, or {} without a copy.
 */
void nd_handle_replica_put(struct nd_node *node, struct web_request *request);
void nd_handle_replica_get(struct nd_node *node, struct web_request *request);

#endif
