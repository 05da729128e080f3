/*
 * Ordering of the heartbeats of the local target.
 *
 * Invariant: instance is the most recently started instance that sent a
 * heartbeat. Heartbeats of an instance that started earlier, and heartbeats
 * that the same instance sent earlier, are ignored. An instance that has
 * announced that it is leaving never returns, also to a process that starts
 * later (departures.c), but an instance that starts later may use the same id.
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

static void set_instance(struct nd_node *node, const char *id,
			 uint64_t started_ms)
{
	struct nd_instance *known = &node->instance;

	if (is_same_instance(known, id, started_ms))
		return;
	talloc_free(known->id);
	*known = (struct nd_instance){
		.id = talloc_strdup(node, id),
		.started_ms = started_ms,
	};
	node->departures.is_stored = false;
}

static void record_departure(struct nd_node *node)
{
	node->instance.is_leaving = true;
	nd_store_departure(node);
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
	if (nd_hold_heartbeat(node, heartbeat))
		return;
	set_instance(node, heartbeat->instance, heartbeat->started_ms);
	node->instance.sequence = heartbeat->sequence;
	if (heartbeat->is_leaving)
		record_departure(node);
	announce(node, heartbeat);
}

bool nd_handle_departure(struct nd_node *node, const char *instance,
			 uint64_t started_ms)
{
	struct nd_instance *known = &node->instance;
	bool is_same_id = known->id && strcmp(known->id, instance) == 0;

	if (started_ms == 0 && !is_same_id)
		return false;
	if (started_ms == 0)
		started_ms = known->started_ms;
	/* An instance that started later runs here, so this one has left. */
	if (known->id && started_ms < known->started_ms)
		return true;
	set_instance(node, instance, started_ms);
	record_departure(node);
	nd_drain_target(node);
	return true;
}
