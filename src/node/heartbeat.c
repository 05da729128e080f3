/*
 * Heartbeats of the local target, in order.
 *
 * Invariant: instance is the youngest one that was heard of. What an older
 * instance says, or the same one said earlier, is passed over; an instance that
 * leaves never comes back, but a younger one may have its name.
 */
#include <string.h>
#include "internal.h"
#include "loom/log.h"

static bool is_same_instance(const struct nd_instance *known, const char *id,
			     uint64_t born_ms)
{
	return known->id && strcmp(known->id, id) == 0 &&
	       known->born_ms == born_ms;
}

static bool is_stale(const struct nd_instance *known,
		     const struct nd_heartbeat *heartbeat)
{
	if (is_same_instance(known, heartbeat->instance, heartbeat->born_ms))
		return known->is_leaving ||
		       heartbeat->sequence < known->sequence;
	return known->id && heartbeat->born_ms < known->born_ms;
}

static void note_instance(struct nd_node *node,
			  const struct nd_heartbeat *heartbeat)
{
	struct nd_instance *known = &node->instance;

	if (!is_same_instance(known, heartbeat->instance, heartbeat->born_ms)) {
		talloc_free(known->id);
		known->id = talloc_strdup(node, heartbeat->instance);
		known->born_ms = heartbeat->born_ms;
	}
	known->sequence = heartbeat->sequence;
	known->is_leaving = heartbeat->is_leaving;
}

static void announce(struct nd_node *node, const struct nd_heartbeat *heartbeat)
{
	struct nd_announcement announcement = {
		.service = heartbeat->service,
		.version = heartbeat->version,
		.instance = heartbeat->instance,
		.address = heartbeat->address,
		.port = heartbeat->port,
		.phase = heartbeat->is_leaving ? RT_PHASE_LEAVING
					       : RT_PHASE_SERVING,
		.slots = heartbeat->slots,
		.warm_up_ms = heartbeat->warm_up_ms,
	};

	nd_take_announcement(node, &announcement);
}

void nd_take_heartbeat(struct nd_node *node,
		       const struct nd_heartbeat *heartbeat)
{
	if (is_stale(&node->instance, heartbeat)) {
		log_write(LOG_LEVEL_DEBUG, "node", "take heartbeat",
			  heartbeat->instance, "older than what is known",
			  LOG_END);
		return;
	}
	note_instance(node, heartbeat);
	announce(node, heartbeat);
}

void nd_take_departure(struct nd_node *node, const char *instance,
		       uint64_t born_ms)
{
	struct nd_instance *known = &node->instance;

	if (!known->id || strcmp(known->id, instance) != 0 ||
	    (born_ms > 0 && born_ms != known->born_ms))
		return;
	known->is_leaving = true;
	nd_drain_target(node);
}
