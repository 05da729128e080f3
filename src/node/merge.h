/*
 * Merging a state of the store into the orders in force.
 */
#ifndef ND_MERGE_H
#define ND_MERGE_H

#include "internal.h"

/*
 * Decides on the items of a state as nd_merge_items() does, at the present
 * time, and logs and counts those that are ignored. part names the items in the
 * log and in a label of the counter.
 */
void nd_merge_state(struct nd_node *node, const char *part,
		    struct nd_reversion *reversion, const struct nd_item *items,
		    size_t count, const struct nd_state_origin *origin,
		    enum nd_verdict *verdicts);

#endif
