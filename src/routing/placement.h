/* Placement of a call by the expected time of its end. */
#ifndef LOOM_ROUTING_PLACEMENT_H
#define LOOM_ROUTING_PLACEMENT_H

#include "chooser_internal.h"

/*
 * Chooses an entry of the group, whose grades are in chooser->grades, none of
 * them below min_grade. Returns its index, or -1 with *refusal set when no
 * usable target is expected to answer in time.
 */
int64_t rt_place_call(struct rt_chooser *chooser, const struct rt_table *table,
		      const struct rt_group *group,
		      const struct rt_request *request, enum rt_grade min_grade,
		      uint64_t now_ms, enum rt_refusal *refusal);

#endif
