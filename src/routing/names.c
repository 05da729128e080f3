/* Names of the routing enumerations, as used in headers, logs and counters. */
#include "loom/explain.h"

#include <string.h>

const char *rt_get_phase_name(enum rt_phase phase)
{
	switch (phase) {
	case RT_PHASE_STARTING:
		return "starting";
	case RT_PHASE_SERVING:
		return "serving";
	case RT_PHASE_LEAVING:
		return "leaving";
	}
	return "unknown";
}

bool rt_parse_phase(const char *name, enum rt_phase *phase)
{
	for (int i = RT_PHASE_STARTING; i <= RT_PHASE_LEAVING; i++) {
		if (strcmp(name, rt_get_phase_name((enum rt_phase)i)) == 0) {
			*phase = (enum rt_phase)i;
			return true;
		}
	}
	return false;
}

enum rt_class rt_get_rank_class(uint32_t priority)
{
	switch (priority) {
	case 0:
		return RT_CLASS_RANK_0;
	case 1:
		return RT_CLASS_RANK_1;
	default:
		return RT_CLASS_RANK_LOW;
	}
}

enum rt_class rt_parse_class(const char *name, uint32_t priority)
{
	if (name && strcmp(name, rt_get_class_name(RT_CLASS_NESTED)) == 0)
		return RT_CLASS_NESTED;
	if (name && strcmp(name, rt_get_class_name(RT_CLASS_RETURNED)) == 0)
		return RT_CLASS_RETURNED;
	return rt_get_rank_class(priority);
}

bool rt_is_class_name(const char *name)
{
	for (uint32_t i = 0; i < RT_CLASS_COUNT; i++) {
		if (strcmp(name, rt_get_class_name((enum rt_class)i)) == 0)
			return true;
	}
	return false;
}

const char *rt_get_class_name(enum rt_class class)
{
	switch (class) {
	case RT_CLASS_NESTED:
		return "nested";
	case RT_CLASS_RETURNED:
		return "returned";
	case RT_CLASS_RANK_0:
	case RT_CLASS_RANK_1:
	case RT_CLASS_RANK_LOW:
	case RT_CLASS_COUNT:
		break;
	}
	return "fresh";
}

const char *rt_get_refusal_name(enum rt_refusal refusal)
{
	switch (refusal) {
	case RT_REFUSAL_NONE:
		return "none";
	case RT_REFUSAL_NO_SERVICE:
		return "no_service";
	case RT_REFUSAL_NO_ROUTE:
		return "no_route";
	case RT_REFUSAL_NO_TARGET:
		return "no_target";
	case RT_REFUSAL_DOMAINS_OUT:
		return "domains_out";
	case RT_REFUSAL_NO_ROOM:
		return "no_room";
	}
	return "unknown";
}

const char *rt_get_retry_name(enum rt_retry_verdict verdict)
{
	switch (verdict) {
	case RT_RETRY_YES:
		return "yes";
	case RT_RETRY_NOT_REPEATABLE:
		return "not_repeatable";
	case RT_RETRY_ANSWER_BEGUN:
		return "answer_begun";
	case RT_RETRY_BODY_LOST:
		return "body_lost";
	case RT_RETRY_TOO_MANY:
		return "too_many";
	case RT_RETRY_DEADLINE:
		return "deadline";
	case RT_RETRY_BUDGET:
		return "budget";
	}
	return "unknown";
}

const char *rt_get_obstacle_name(enum rt_obstacle obstacle)
{
	switch (obstacle) {
	case RT_OBSTACLE_NONE:
		return "none";
	case RT_OBSTACLE_VERSION:
		return "version";
	case RT_OBSTACLE_LEAVING:
		return "leaving";
	case RT_OBSTACLE_OUT_OF_TURN:
		return "out_of_turn";
	case RT_OBSTACLE_TRIED:
		return "tried";
	case RT_OBSTACLE_DOMAIN_OUT:
		return "domain_out";
	case RT_OBSTACLE_STARTING:
		return "starting";
	case RT_OBSTACLE_EJECTED:
		return "ejected";
	case RT_OBSTACLE_REFUSED:
		return "refused";
	case RT_OBSTACLE_FULL:
		return "full";
	case RT_OBSTACLE_SILENT:
		return "silent";
	case RT_OBSTACLE_CUT_OFF:
		return "cut_off";
	case RT_OBSTACLE_LOAD_UNKNOWN:
		return "load_unknown";
	case RT_OBSTACLE_TOO_LATE:
		return "too_late";
	case RT_OBSTACLE_OTHERS_PREFERRED:
		return "others_preferred";
	}
	return "unknown";
}

const char *rt_get_part_name(enum rt_part part)
{
	switch (part) {
	case RT_PART_NONE:
		return "none";
	case RT_PART_NEAR:
		return "near";
	case RT_PART_FAR:
		return "far";
	}
	return "unknown";
}

const char *rt_get_rule_name(enum rt_rule rule)
{
	switch (rule) {
	case RT_RULE_LOWER_COST:
		return "lower_cost";
	case RT_RULE_EARLIER_END:
		return "earlier_end";
	case RT_RULE_ROUND_ROBIN:
		return "round_robin";
	case RT_RULE_RANDOM:
		return "random";
	}
	return "unknown";
}
