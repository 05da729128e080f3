/* Grades of targets, and why a target is not ready for a call. */
#ifndef LOOM_ROUTING_GRADE_H
#define LOOM_ROUTING_GRADE_H

#include "chooser_internal.h"
#include "loom/explain.h"

/* Returns why an entry is not ready for a request, or RT_OBSTACLE_NONE. */
enum rt_obstacle rt_find_obstacle(const struct rt_chooser *chooser,
				  const struct rt_entry *entry,
				  const struct rt_target_state *state,
				  const struct rt_request *request,
				  uint64_t now_ms);

/* Returns the grade of an entry that rt_find_obstacle() has judged. */
enum rt_grade rt_get_grade(enum rt_obstacle obstacle);

#endif
