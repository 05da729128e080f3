/*
 * Merging a state of the store into the orders in force.
 */
#include "merge.h"

#include "loom/log.h"

static void record_reverted(struct nd_node *node, const char *part,
			    const struct nd_item *item)
{
	char *labels = talloc_asprintf(node, "part=\"%s\"", part);
	char *created =
		talloc_asprintf(labels, "%" G_GUINT64_FORMAT, item->created);
	char *revision =
		talloc_asprintf(labels, "%" G_GUINT64_FORMAT, item->revision);

	log_write(LOG_LEVEL_INFO, "node", "merge state", item->name,
		  "order is ignored: the store has lost its removal or "
		  "replacement",
		  "part", part, "created", created, "revision", revision,
		  LOG_END);
	cnt_add(cnt_get_counter(node->counters, CNT_KIND_COUNTER,
				"loom_node_reverted_orders_total", labels,
				"Listed orders that were ignored, because the "
				"store has lost their removal."),
		1);
	talloc_free(labels);
}

void nd_merge_state(struct nd_node *node, const char *part,
		    struct nd_reversion *reversion, const struct nd_item *items,
		    size_t count, const struct nd_state_origin *origin,
		    enum nd_verdict *verdicts)
{
	uint64_t era = plat_get_stamp_era(origin->revision);

	if (nd_is_told(origin))
		nd_confirm_items(reversion, era);
	nd_merge_items(reversion, items, count, era,
		       tmr_get_now_ms(node->timers), verdicts);
	for (size_t i = 0; i < count; i++) {
		if (verdicts[i] == ND_ITEM_REVERTED)
			record_reverted(node, part, &items[i]);
	}
}
