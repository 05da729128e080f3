/* State of a chooser, shared by the files that choose a target. */
#ifndef LOOM_ROUTING_CHOOSER_INTERNAL_H
#define LOOM_ROUTING_CHOOSER_INTERNAL_H

#include "crossing.h"
#include "exposure.h"
#include "target_state.h"

enum rt_grade {
	GRADE_UNUSABLE,
	GRADE_DOMAIN_OUT,    /* unusable only as its domain is taken out */
	GRADE_STARTING_FULL, /* starting, at its limit from this thread */
	GRADE_EJECTED,	     /* failed recently */
	GRADE_BUSY,	     /* at its limit, or refused a call recently */
	GRADE_READY,
};

/* Entries of one grade, from which the policy chooses. */
struct rt_candidates {
	const struct rt_group *group;
	uint32_t *indices; /* relative to the first entry of the group */
	uint32_t *limits;
	uint32_t count;
	uint64_t limit_sum;
};

struct rt_chooser {
	enum rt_policy policy;
	uint64_t random;
	uint64_t chosen_ms; /* time of the last choice */
	const char *asked;  /* by the last choice; borrowed from its state */
	uint64_t asked_ms;  /* time of the last ask; 0: none */
	bool is_trial;	    /* the call is sent even if it looks too late */
	struct rt_state_set *states;
	struct rt_exposures *exposures;
	struct rt_crossings *crossings;
	uint32_t *cursors; /* round robin position of each group */
	struct rt_candidates candidates;
	enum rt_grade *grades; /* grades of the current group's entries */
};

/* Returns a random number below bound. */
uint64_t rt_draw_random(struct rt_chooser *chooser, uint64_t bound);

#endif
