/*
 * Grades of targets: which may get a call, and which are preferred.
 */
#include "grade.h"

#include <string.h>

static bool is_tried(const struct rt_request *request, const char *address)
{
	for (uint32_t i = 0; i < request->tried_count; i++) {
		if (strcmp(request->tried[i], address) == 0)
			return true;
	}
	return false;
}

/*
 * The table may be older than a target's report that its failure domain is
 * taken out.
 */
static bool is_domain_out(const struct rt_request *request,
			  const struct rt_entry *entry)
{
	for (uint32_t i = 0; i < request->out_domain_count; i++) {
		if (strcmp(request->out_domains[i],
			   entry->target.failure_domain) == 0)
			return true;
	}
	return entry->is_domain_out;
}

static enum rt_obstacle find_load_obstacle(const struct rt_target_state *state,
					   uint64_t now_ms)
{
	if (now_ms < state->ejected_until_ms)
		return RT_OBSTACLE_EJECTED;
	if (now_ms < state->refused_until_ms)
		return RT_OBSTACLE_REFUSED;
	return rt_estimate_load(state, now_ms) >=
			       rt_estimate_limit(state, now_ms)
		       ? RT_OBSTACLE_FULL
		       : RT_OBSTACLE_NONE;
}

enum rt_obstacle rt_find_obstacle(const struct rt_chooser *chooser,
				  const struct rt_entry *entry,
				  const struct rt_target_state *state,
				  const struct rt_request *request,
				  uint64_t now_ms)
{
	enum rt_phase phase = rt_estimate_phase(state, now_ms);

	if (phase == RT_PHASE_LEAVING)
		return RT_OBSTACLE_LEAVING;
	if (entry->is_out_of_turn)
		return RT_OBSTACLE_OUT_OF_TURN;
	if (is_tried(request, entry->target.address))
		return RT_OBSTACLE_TRIED;
	if (is_domain_out(request, entry))
		return RT_OBSTACLE_DOMAIN_OUT;
	/* The baseline policies ignore the load. */
	if (chooser->policy != RT_POLICY_TWO_CHOICES)
		return RT_OBSTACLE_NONE;
	if (phase == RT_PHASE_STARTING &&
	    state->own_in_flight >= rt_estimate_limit(state, now_ms))
		return RT_OBSTACLE_STARTING;
	return find_load_obstacle(state, now_ms);
}

enum rt_grade rt_get_grade(enum rt_obstacle obstacle)
{
	switch (obstacle) {
	case RT_OBSTACLE_NONE:
		return GRADE_READY;
	case RT_OBSTACLE_FULL:
	case RT_OBSTACLE_REFUSED:
		return GRADE_BUSY;
	case RT_OBSTACLE_EJECTED:
		return GRADE_EJECTED;
	case RT_OBSTACLE_STARTING:
		return GRADE_STARTING_FULL;
	case RT_OBSTACLE_DOMAIN_OUT:
		return GRADE_DOMAIN_OUT;
	case RT_OBSTACLE_LEAVING:
	case RT_OBSTACLE_OUT_OF_TURN:
	case RT_OBSTACLE_TRIED:
	case RT_OBSTACLE_VERSION:
	case RT_OBSTACLE_SILENT:
	case RT_OBSTACLE_CUT_OFF:
	case RT_OBSTACLE_LOAD_UNKNOWN:
	case RT_OBSTACLE_TOO_LATE:
	case RT_OBSTACLE_OTHERS_PREFERRED:
		break;
	}
	return GRADE_UNUSABLE;
}
