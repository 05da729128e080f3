/*
 * Ordering of the heartbeats of the local target.
 *
 * Invariant: instance is the most recently started instance that sent a
 * heartbeat. Heartbeats of an instance that started earlier, and heartbeats
 * that the same instance sent earlier, are ignored. An instance that has
 * announced that it is leaving never returns, but one that starts later may
 * use the same id.
 */
#include <string.h>
#include "internal.h"
#include "loom/log.h"

static bool is_same_instance(const struct nd_instance *known, const char *id,
			     uint64_t started_ms)
{
	return known->id && strcmp(known->id, id) == 0 &&
	       known->started_ms == started_ms;
}

static bool is_stale(const struct nd_instance *known,
		     const struct nd_heartbeat *heartbeat)
{
	if (is_same_instance(known, heartbeat->instance, heartbeat->started_ms))
		return known->is_leaving ||
		       heartbeat->sequence < known->sequence;
	return known->id && heartbeat->started_ms < known->started_ms;
}

static void record_instance(struct nd_node *node,
			    const struct nd_heartbeat *heartbeat)
{
	struct nd_instance *known = &node->instance;

	if (!is_same_instance(known, heartbeat->instance,
			      heartbeat->started_ms)) {
		talloc_free(known->id);
		known->id = talloc_strdup(node, heartbeat->instance);
		known->started_ms = heartbeat->started_ms;
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

	nd_handle_announcement(node, &announcement);
}

void nd_handle_heartbeat(struct nd_node *node,
			 const struct nd_heartbeat *heartbeat)
{
	if (is_stale(&node->instance, heartbeat)) {
		log_write(LOG_LEVEL_DEBUG, "node", "take heartbeat",
			  heartbeat->instance,
			  "ignored: older than the last heartbeat", LOG_END);
		return;
	}
	record_instance(node, heartbeat);
	announce(node, heartbeat);
}

void nd_handle_departure(struct nd_node *node, const char *instance,
			 uint64_t started_ms)
{
	struct nd_instance *known = &node->instance;

	if (!known->id || strcmp(known->id, instance) != 0 ||
	    (started_ms > 0 && started_ms != known->started_ms))
		return;
	known->is_leaving = true;
	nd_drain_target(node);
}
