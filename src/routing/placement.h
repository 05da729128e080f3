/* Placement of a call by the expected time of its end. */
#ifndef LOOM_ROUTING_PLACEMENT_H
#define LOOM_ROUTING_PLACEMENT_H

#include "chooser_internal.h"
#include "loom/explain.h"

/*
 * Collects in chooser->near and chooser->far the entries of the group that the
 * call may go to in and outside the own failure domain. The grades of the group
 * are in chooser->grades; min_grade is the lowest to use. Returns
 * RT_REFUSAL_NO_ROOM when no usable target is expected to answer in time. Draws
 * whom to ask for a report, but not the target.
 */
enum rt_refusal rt_plan_placement(struct rt_chooser *chooser,
				  const struct rt_table *table,
				  const struct rt_group *group,
				  const struct rt_request *request,
				  enum rt_grade min_grade, uint64_t now_ms);

/*
 * Chooses one of the entries that rt_plan_placement() has collected. Returns
 * its index, or -1 with *refusal set.
 */
int64_t rt_place_call(struct rt_chooser *chooser, const struct rt_table *table,
		      const struct rt_request *request, uint64_t now_ms,
		      enum rt_refusal *refusal);

/* Returns why a usable entry is avoided as long as there are others. */
enum rt_obstacle rt_find_path_obstacle(const struct rt_chooser *chooser,
				       const struct rt_table *table,
				       const struct rt_group *group,
				       uint32_t index, bool is_known_only,
				       uint64_t now_ms);

/*
 * Returns the time in which the call is expected to end at an entry, with the
 * wait that is preferred to leaving the failure domain.
 */
uint64_t rt_estimate_end_us(const struct rt_chooser *chooser,
			    const struct rt_table *table,
			    const struct rt_group *group,
			    const struct rt_request *request, uint32_t index,
			    uint64_t now_ms);

#endif
