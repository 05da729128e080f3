/*
 * The local target: announcements and the detection of missing ones.
 *
 * A target announces itself every second or two. An announcement of the same
 * instance in the same phase is only a heartbeat; another instance is a new
 * start, for which admission control starts over. When the announcements stop,
 * the target is treated as gone.
 */
#include <string.h>
#include "internal.h"
#include "loom/log.h"

/* Announcements come every second or two, so about four may be lost or late. */
#define HEARTBEAT_TIMEOUT_MS 6000U
#define HEARTBEAT_CHECK_MS 500U

static bool is_same(const struct nd_target *target,
		    const struct nd_announcement *announcement)
{
	return target->service && !target->is_lost &&
	       strcmp(target->service, announcement->service) == 0 &&
	       strcmp(target->version, announcement->version) == 0 &&
	       strcmp(target->instance, announcement->instance) == 0 &&
	       target->port == announcement->port &&
	       target->phase == announcement->phase;
}

static void store_target(struct nd_node *node,
			 const struct nd_announcement *announcement)
{
	struct nd_target *target = &node->target;

	talloc_free(target->service);
	talloc_free(target->version);
	talloc_free(target->instance);
	talloc_free(target->address);
	target->service = talloc_strdup(node, announcement->service);
	target->version = talloc_strdup(node, announcement->version);
	target->instance = talloc_strdup(node, announcement->instance);
	target->address = talloc_strdup(
		node, announcement->address ? announcement->address
					    : node->settings->address);
	target->port = announcement->port;
	target->phase = announcement->phase;
	target->is_lost = false;
}

void nd_handle_announcement(struct nd_node *node,
			    const struct nd_announcement *announcement)
{
	struct nd_target *target = &node->target;

	target->last_announcement_ms = tmr_get_now_ms(node->timers);
	/* A node that is shutting down accepts no target. */
	if (node->phase != ND_PHASE_SERVING)
		return;
	if (is_same(target, announcement)) {
		tr_note_heartbeat(node->traffic, announcement->slots,
				  announcement->warm_up_ms);
		return;
	}
	store_target(node, announcement);
	log_write(LOG_LEVEL_INFO, "node", "take announcement", NULL,
		  "target announced", "service", target->service, "version",
		  target->version, "phase", rt_get_phase_name(target->phase),
		  LOG_END);
	if (target->phase == RT_PHASE_LEAVING) {
		nd_drain_target(node);
		return;
	}
	tr_announce_target(node->traffic,
			   &(struct tr_target){
				   .service = target->service,
				   .version = target->version,
				   .instance = target->instance,
				   .address = target->address,
				   .port = target->port,
				   .slots = announcement->slots,
				   .warm_up_ms = announcement->warm_up_ms,
			   });
	mem_announce_target(node->members, target->service, target->version,
			    target->phase);
}

void nd_drain_target(struct nd_node *node)
{
	struct nd_target *target = &node->target;

	if (!target->service)
		return;
	target->phase = RT_PHASE_LEAVING;
	log_write(LOG_LEVEL_INFO, "node", "drain target", target->address,
		  "target leaves", "service", target->service, "instance",
		  target->instance, LOG_END);
	tr_drain_target(node->traffic);
	mem_announce_target(node->members, target->service, target->version,
			    RT_PHASE_LEAVING);
}

static void check_heartbeat(uint64_t now_ms, void *data)
{
	struct nd_node *node = data;
	struct nd_target *target = &node->target;

	if (!target->service || target->is_lost ||
	    now_ms < target->last_announcement_ms + HEARTBEAT_TIMEOUT_MS)
		return;
	target->is_lost = true;
	log_write(LOG_LEVEL_WARNING, "node", "check heartbeat", NULL,
		  "target is gone", "service", target->service, LOG_END);
	tr_drain_target(node->traffic);
	mem_announce_target(node->members, "", "", RT_PHASE_LEAVING);
}

void nd_watch_target(struct nd_node *node)
{
	tmr_subscribe_every(node, node->timers, HEARTBEAT_CHECK_MS,
			    check_heartbeat, node);
}
