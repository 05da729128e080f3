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

/* Entries of a group from which one is drawn. */
struct rt_candidates {
	const struct rt_group *group;
	uint32_t *indices; /* relative to the first entry of the group */
	uint32_t *limits;  /* weights of the draw */
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
	/* What the last call could go to; far: only if that is worth the way */
	struct rt_candidates near;
	struct rt_candidates far;
	const struct rt_target *chosen; /* borrowed from the table */
	enum rt_grade *grades; /* grades of the current group's entries */
};

/*
 * One of so many calls that have no chance by the reports is sent all the same,
 * so that stale reports are corrected.
 */
#define RT_TRIAL_PERIOD 16U

/* Returns a random number below bound. */
uint64_t rt_draw_random(struct rt_chooser *chooser, uint64_t bound);

/* Allocates what choices in the groups of a table need. */
void rt_size_chooser(struct rt_chooser *chooser, const struct rt_table *table);

/* Makes an empty list for entries of a group. */
void rt_clear_candidates(struct rt_candidates *candidates,
			 const struct rt_group *group);

/*
 * Collects in chooser->near and chooser->far the targets of a version that the
 * request may go to. Returns whether there are any, or sets *refusal. Neither
 * draws a target nor records a choice.
 */
bool rt_plan_version(struct rt_chooser *chooser, const struct rt_table *table,
		     const struct rt_request *request, const char *version,
		     enum rt_grade min_grade, uint64_t now_ms,
		     enum rt_refusal *refusal);

/* Tries the targets of a version whose grade is at least min_grade. */
typedef bool (*rt_try_fn)(struct rt_chooser *chooser,
			  const struct rt_table *table,
			  const struct rt_request *request, const char *version,
			  enum rt_grade min_grade, uint64_t now_ms,
			  enum rt_refusal *refusal);

/*
 * Tries the version of the request and its fallback, first without targets that
 * are starting and full. Returns whether one had success, or sets *refusal.
 */
bool rt_try_versions(struct rt_chooser *chooser, const struct rt_table *table,
		     const struct rt_request *request, const char *version,
		     rt_try_fn try_version, uint64_t now_ms,
		     enum rt_refusal *refusal);

#endif
