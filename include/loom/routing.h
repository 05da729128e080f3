/*
 * Routing decisions on the entry side of a call: which version, which target,
 * and whether to retry. Every decision is a pure function of state, event and
 * time, without I/O.
 */
#ifndef LOOM_ROUTING_H
#define LOOM_ROUTING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>
#include "loom/document.h"

/* Phase of a target as announced by the node beside it. */
enum rt_phase {
	RT_PHASE_STARTING,
	RT_PHASE_SERVING,
	RT_PHASE_LEAVING,
};

/* Returns the lower-case name used in messages and headers (static). */
const char *rt_get_phase_name(enum rt_phase phase);

/* Parses a phase name. Returns false if it is unknown. */
bool rt_parse_phase(const char *name, enum rt_phase *phase);

/* Classes of calls in the order in which they get a slot of a target. */
enum rt_class {
	RT_CLASS_NESTED,   /* made by a target while it runs a call */
	RT_CLASS_RETURNED, /* refused before, and back when it was told */
	RT_CLASS_RANK_0,   /* by the priority of the route */
	RT_CLASS_RANK_1,
	RT_CLASS_RANK_LOW,
	RT_CLASS_COUNT,
};

/* Returns the class of a call that no target made, by its priority. */
enum rt_class rt_get_rank_class(uint32_t priority);

/*
 * Returns the class named in a header (NULL: none), or that of the priority for
 * any name but "nested" and "returned".
 */
enum rt_class rt_parse_class(const char *name, uint32_t priority);

/* Returns whether nodes send this name of a class. */
bool rt_is_class_name(const char *name);

/* Returns the name of a class: "nested", "returned" or "fresh" (static). */
const char *rt_get_class_name(enum rt_class class);

/* One target as reported by the membership protocol. */
struct rt_target {
	const char *address; /* "127.0.1.2:8081": its node's admission port */
	const char *failure_domain;
	const char *service;
	const char *version; /* version used to split calls */
	const char *release; /* announced release; NULL: same as version */
	enum rt_phase phase;
	uint32_t distance_us; /* configured round trip to its failure domain */
};

/*
 * Immutable routing table, built by the control thread for the traffic threads.
 * It combines a snapshot of the documents with the targets known at that time.
 */
struct rt_table;

/*
 * Builds a table. It takes a reference to the snapshot and copies the targets.
 * Returns a new table with one reference.
 */
struct rt_table *rt_new_table(struct doc_snapshot *snapshot,
			      const struct rt_target *targets,
			      size_t target_count, const char *own_domain);

/*
 * Limits the share of the new version of a service in this table, as decided by
 * this node alone. Only allowed before the table is shared with other threads.
 * service is copied.
 */
void rt_set_share_limit(struct rt_table *table, const char *service,
			uint32_t limit_permille);

/*
 * Takes or drops a reference. The counter is atomic, and dropping the last
 * reference frees the table on any thread.
 */
struct rt_table *rt_ref_table(struct rt_table *table);
void rt_unref_table(struct rt_table *table);

/* Returns the snapshot of a table (borrowed). */
struct doc_snapshot *rt_get_snapshot(const struct rt_table *table);

enum rt_policy {
	RT_POLICY_TWO_CHOICES,
	RT_POLICY_ROUND_ROBIN,
	RT_POLICY_RANDOM,
};

/* Load of a target as reported with an answer or by its node. */
struct rt_load {
	uint32_t limit;
	uint32_t in_flight;
	uint32_t latency_us; /* mean latency of its answers; 0: no answer yet */
	uint32_t failure_permille; /* share of its recent calls that failed */
	enum rt_phase phase;
	bool is_unreachable; /* its node cannot connect to it for now */
	bool has_waits;
	uint32_t wait_us[RT_CLASS_COUNT]; /* expected waits, by class */
	/* Wait of a further large answer for the link of its node. */
	uint32_t link_wait_us;
	/* When the head of its answer arrived here; 0: just now. */
	uint64_t received_ms;
};

/*
 * Chooser: the state of one traffic thread from which it chooses targets. It
 * holds the reported load of each target, the calls in flight from this thread
 * and the targets that failed recently. Not shared between threads.
 */
struct rt_chooser;

/* Returns a new chooser (owned by ctx). Equal seeds give equal choices. */
struct rt_chooser *rt_new_chooser(TALLOC_CTX *ctx, enum rt_policy policy,
				  uint64_t seed);

#define RT_TRIED_MAX 3U
/*
 * Default for the number of targets that one call may be sent to, used where
 * the service document sets none.
 */
#define RT_SENT_MAX 3U

/* A body longer than this is costly to send to another failure domain. */
#define RT_BULKY_BYTES 16384U

/* Input of a choice. */
struct rt_request {
	const struct doc_service *service;
	uint64_t split_hash; /* selects one of the two versions of a move */
	bool is_bulky;	     /* its body or its answer exceeds RT_BULKY_BYTES */
	/*
	 * The target is chosen by the expected end of the call; the members up
	 * to is_known_only are read only then.
	 */
	bool is_placed;
	enum rt_class class;
	uint32_t run_us;	/* expected run time; 0: not known */
	bool has_large_answer;	/* waits for the link of the target's node */
	uint64_t latest_end_ms; /* no use of an answer after that; 0: none */
	uint32_t crossing_us;	/* wait preferred to leaving the own domain */
	/*
	 * While there is a target at home, the call leaves only for targets
	 * that have told their waits, and rt_take_ask() says whom to ask.
	 */
	bool is_known_only;
	const char *tried[RT_TRIED_MAX]; /* addresses to exclude */
	uint32_t tried_count;
	/* Failure domains that a tried target reported as taken out. */
	const char *out_domains[RT_TRIED_MAX];
	uint32_t out_domain_count;
};

enum rt_refusal {
	RT_REFUSAL_NONE,
	RT_REFUSAL_NO_SERVICE,
	RT_REFUSAL_NO_ROUTE,
	RT_REFUSAL_NO_TARGET,
	RT_REFUSAL_DOMAINS_OUT, /* all targets are in domains taken out */
	RT_REFUSAL_NO_ROOM,	/* no target is expected to answer in time */
};

/* Returns the machine-readable reason, such as "no_target" (static). */
const char *rt_get_refusal_name(enum rt_refusal refusal);

/*
 * Chooses the version for a request by its hash and the share of the move.
 * Returns a string borrowed from the service.
 */
const char *rt_choose_version(const struct rt_table *table,
			      const struct rt_request *request);

/*
 * Chooses a target. Returns it (borrowed from table), or NULL with *refusal
 * set. Targets in the local failure domain are preferred; more distant ones
 * are used when the nearer ones are saturated, missing or taken out.
 */
const struct rt_target *rt_choose_target(struct rt_chooser *chooser,
					 const struct rt_table *table,
					 const struct rt_request *request,
					 uint64_t now_ms,
					 enum rt_refusal *refusal);

/*
 * Returns whether a target that the request may go to is likely to start it at
 * once. Changes no state that choices depend on.
 */
bool rt_has_idle_target(struct rt_chooser *chooser,
			const struct rt_table *table,
			const struct rt_request *request, uint64_t now_ms);

/*
 * Returns the address of a target whose node is to be asked for a load report
 * (borrowed until the next choice), or NULL. Call it after a choice.
 */
const char *rt_take_ask(struct rt_chooser *chooser);

enum rt_outcome {
	RT_OUTCOME_ANSWERED, /* complete answer of the target, any status */
	RT_OUTCOME_REFUSED,  /* refused by the node of the target, "not run" */
	RT_OUTCOME_FAILED,   /* connection lost or timed out */
	RT_OUTCOME_CANCELLED,
};

/* Mean answer size of each route, as seen by one thread. */
struct rt_answer_sizes;

/* Returns a new object (owned by ctx) that knows no route. */
struct rt_answer_sizes *rt_new_answer_sizes(TALLOC_CTX *ctx);

/* Records the size of the body of a whole answer. */
void rt_record_answer_size(struct rt_answer_sizes *sizes, const char *route,
			   uint64_t bytes);

/* Records how long a target ran a call of the route; 0 (unknown) is ignored. */
void rt_record_run_time(struct rt_answer_sizes *sizes, const char *route,
			uint32_t run_us);

/* Returns the mean run time of the route's calls; 0: not known. */
uint32_t rt_get_run_time_us(const struct rt_answer_sizes *sizes,
			    const char *route);

/*
 * Returns whether the answers of the route exceed RT_BULKY_BYTES in the mean;
 * false for a route without an answer yet.
 */
bool rt_is_answer_large(const struct rt_answer_sizes *sizes, const char *route);

/* Returns the mean size in bytes, 0 for a route without an answer yet. */
uint64_t rt_get_answer_size(const struct rt_answer_sizes *sizes,
			    const char *route);

/*
 * Records that a call has reached a target of the service, by any version. The
 * new version of a move gets a part of such calls only.
 */
void rt_record_arrival(struct rt_chooser *chooser,
		       const struct doc_service *service);

/*
 * Records what became of a call of the service that was sent to another failure
 * domain.
 */
void rt_record_leaving(struct rt_chooser *chooser, const char *service,
		       enum rt_outcome outcome, uint64_t now_ms);

/* The transit time of a call is not known. */
#define RT_TRANSIT_UNKNOWN UINT32_MAX

/* Records the start of a call to address. */
void rt_record_start(struct rt_chooser *chooser, const char *address);

/*
 * Records the end of a call to address. load is NULL if the answer carried no
 * load report. transit_us is the time that the call and its answer spent in
 * transit between the nodes or, without an answer, how long the caller waited;
 * RT_TRANSIT_UNKNOWN leaves what is known of it.
 */
void rt_record_end(struct rt_chooser *chooser, const char *address,
		   enum rt_outcome outcome, const struct rt_load *load,
		   uint32_t transit_us, uint64_t now_ms);

/*
 * Records a load that the node of a target has sent without a call. Failure
 * counters, ejections and the transit time stay as they are. Returns false if
 * the target is unknown.
 */
bool rt_record_report(struct rt_chooser *chooser, const char *address,
		      const struct rt_load *load, uint64_t now_ms);

/*
 * Retry budget of one service in one thread: a share of the recent first
 * attempts. Calls of every nesting depth share it, because only the level that
 * received the refusal or failure spends from it.
 */
struct rt_budget;

/*
 * Returns a new budget (owned by ctx) of so many retries for each thousand
 * first attempts.
 */
struct rt_budget *rt_new_budget(TALLOC_CTX *ctx, uint32_t share_permille);

/* Adds one first attempt to the budget. */
void rt_credit_budget(struct rt_budget *budget, bool is_nested,
		      uint64_t now_ms);

/* Input of the decision whether to retry a failed attempt. */
struct rt_retry {
	enum rt_outcome outcome;
	bool is_repeatable; /* the route and the method allow a repeat */
	bool is_not_run;    /* refused before any byte reached a target */
	bool is_unsent;	    /* sent to no target: costs no budget */
	/*
	 * The share of the budget, in thousandths, that the call may spend
	 * while nested calls use the same one; 0: all. A call that fails wastes
	 * the work of those that wait for it.
	 */
	uint32_t share_permille;
	bool is_answer_begun;	/* the caller received a part of it */
	bool is_body_kept;	/* the request body can be sent again */
	uint32_t attempt_count; /* attempts made so far */
	uint32_t sent_count;	/* attempts that a target may have received */
	uint32_t sent_max;	/* limit on sent_count */
	uint32_t depth;		/* nesting level of the call, 0 at the edge */
	uint64_t now_ms;
	uint64_t deadline_ms;
};

enum rt_retry_verdict {
	RT_RETRY_YES,
	RT_RETRY_NOT_REPEATABLE,
	RT_RETRY_ANSWER_BEGUN,
	RT_RETRY_BODY_LOST,
	RT_RETRY_TOO_MANY,
	RT_RETRY_DEADLINE,
	RT_RETRY_BUDGET,
};

/*
 * Decides whether to retry. A verdict of RT_RETRY_YES is charged to the budget,
 * unless is_unsent.
 */
enum rt_retry_verdict rt_decide_retry(struct rt_budget *budget,
				      const struct rt_retry *retry);

/*
 * Returns after how many milliseconds a refused caller may come back: about
 * when the target that refused it last, with that load (NULL: unknown), has
 * worked off what it has. Differs with random, so that callers do not all come
 * back at once.
 */
uint32_t rt_choose_return_ms(const struct rt_load *load, uint64_t random);

/* Returns the machine-readable name of a verdict, such as "budget" (static). */
const char *rt_get_retry_name(enum rt_retry_verdict verdict);

#endif
