/*
 * Where a request would go: what rt_choose_target() would choose from, and why
 * the other targets are left out. An explanation is a copy: it borrows nothing
 * from tables or choosers and may be passed to another thread.
 */
#ifndef LOOM_EXPLAIN_H
#define LOOM_EXPLAIN_H

#include "loom/routing.h"

/* Why a target gets no call, or not the first. */
enum rt_obstacle {
	RT_OBSTACLE_NONE,
	RT_OBSTACLE_VERSION, /* the call does not go to its version */
	RT_OBSTACLE_LEAVING,
	RT_OBSTACLE_OUT_OF_TURN, /* the new version's targets take turns */
	RT_OBSTACLE_TRIED,
	RT_OBSTACLE_DOMAIN_OUT, /* an operator took its failure domain out */
	RT_OBSTACLE_STARTING,	/* starting, and at its limit from here */
	RT_OBSTACLE_EJECTED,	/* failed recently */
	RT_OBSTACLE_REFUSED,	/* refused a call recently */
	RT_OBSTACLE_FULL,	/* at its limit */
	RT_OBSTACLE_SILENT,	/* its reports have stopped */
	RT_OBSTACLE_CUT_OFF,	/* its failure domain is probably cut off */
	RT_OBSTACLE_LOAD_UNKNOWN,
	RT_OBSTACLE_TOO_LATE, /* not expected to answer in time */
	RT_OBSTACLE_OTHERS_PREFERRED,
};

/* Returns the machine-readable name, such as "cut_off" (static). */
const char *rt_get_obstacle_name(enum rt_obstacle obstacle);

/* Whether a target is one of those from which one is drawn. */
enum rt_part {
	RT_PART_NONE,
	RT_PART_NEAR,
	RT_PART_FAR, /* only if it is better than one drawn near */
};

/* Returns "none", "near" or "far" (static). */
const char *rt_get_part_name(enum rt_part part);

/* How one of the candidates is chosen. */
enum rt_rule {
	RT_RULE_LOWER_COST, /* the cheaper one of two drawn */
	RT_RULE_EARLIER_END,
	RT_RULE_ROUND_ROBIN,
	RT_RULE_RANDOM,
};

/* Returns the machine-readable name, such as "lower_cost" (static). */
const char *rt_get_rule_name(enum rt_rule rule);

struct rt_target_view {
	const char *address;
	const char *failure_domain;
	const char *version;
	enum rt_phase phase;
	bool is_home; /* in the node's own failure domain */
	enum rt_part part;
	enum rt_obstacle obstacle; /* also of a candidate, if it is not ready */
	uint32_t weight;	   /* of the draw; 0: not a candidate */
	uint32_t limit;
	uint32_t load;
	bool has_waits;	  /* the target has told its waits of late */
	uint64_t wait_us; /* expected wait; only for placed calls, as end_us */
	uint64_t
		end_us; /* expected time to the end, with the cost of the way */
};

/* What becomes of the calls that the split gives to one version. */
struct rt_version_view {
	const char *version;
	const char *used;  /* this version or its fallback; NULL: refused */
	uint32_t permille; /* share of the calls, by the split */
	enum rt_refusal refusal; /* RT_REFUSAL_NONE: sent to a candidate */
	/*
	 * One call in trial_period goes to this version all the same, although
	 * its targets are expected to answer too late.
	 */
	bool has_trials;
	struct rt_target_view *targets; /* all of the service */
	size_t target_count;
};

struct rt_explanation {
	const char *service;
	enum rt_rule rule;
	bool is_placed;
	uint32_t crossing_us;	    /* wait preferred to leaving the domain */
	uint32_t crossing_permille; /* share of calls that may leave */
	uint32_t run_us;	    /* expected run time; 0: not known */
	uint64_t due_ms; /* an answer is of use for so long; 0: no limit */
	/* One of so many calls without room is sent all the same. */
	uint32_t trial_period;
	/* The new version has got as many calls as it may have for now. */
	bool is_exposure_spent;
	struct rt_version_view *versions;
	size_t version_count;
};

/*
 * Returns a new explanation (owned by ctx) of what rt_choose_target() would do
 * with the first attempt of a request; split_hash is ignored. Changes neither
 * the chooser nor what it refers to.
 */
struct rt_explanation *rt_explain_route(TALLOC_CTX *ctx,
					const struct rt_chooser *chooser,
					const struct rt_table *table,
					const struct rt_request *request,
					uint64_t now_ms);

#endif
