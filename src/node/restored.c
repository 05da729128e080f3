/*
 * What a node does when the store has returned from an older copy.
 *
 * The platform client sees the era of the store in its answers. A node that
 * takes its configuration from others seldom asks the store, so it learns the
 * new era from them; it then reads its departure in the store, and acts on the
 * era of that answer only.
 */
#include "internal.h"
#include "loom/log.h"
#include "watchers.h"

/* Spreads the calls of the nodes; lost objects are back soon after it. */
#define CHECK_MS 2000U

static void handle_era(uint64_t era, void *data)
{
	struct nd_node *node = data;

	node->departures.is_lost = node->departures.stored_id != NULL;
	nd_check_departure(node);
}

static void handle_check(uint64_t due_ms, void *data)
{
	struct nd_node *node = data;

	node->era_check = NULL;
	nd_check_departure(node);
}

void nd_open_restored(struct nd_node *node)
{
	plat_subscribe_era(node, node->platform, handle_era, node);
}

void nd_note_peer_era(struct nd_node *node, uint64_t era)
{
	if (era <= plat_get_era(node->platform) || node->era_check)
		return;
	node->era_check = tmr_subscribe_once(node, node->timers,
					     nd_get_delay_ms(node, CHECK_MS),
					     handle_check, node);
}

uint32_t nd_get_delay_ms(const struct nd_node *node, uint32_t max_ms)
{
	return nd_get_turn(node->settings->address, max_ms);
}

void nd_record_rewrite(struct nd_node *node, const char *what,
		       const char *subject)
{
	char *labels = talloc_asprintf(node, "what=\"%s\"", what);

	log_write(LOG_LEVEL_INFO, "node", "write again", subject,
		  "the store has lost this, it is written again", "what", what,
		  LOG_END);
	cnt_add(cnt_get_counter(node->counters, CNT_KIND_COUNTER,
				"loom_node_rewrites_total", labels,
				"Writes of what the store has lost."),
		1);
	talloc_free(labels);
}
