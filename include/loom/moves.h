/*
 * Moves: canary rollouts that shift the traffic of a service in steps from an
 * old version to a new one. This module counts calls, compares the versions
 * statistically (canary analysis), plans the steps, limits the share on a
 * single node, and encodes the state of a move as it is stored.
 *
 * All functions are pure functions of state, event and time; there is no I/O.
 * Times are wall clock in milliseconds since 1970. Names that are kept in
 * fixed arrays are truncated to MV_NAME_SIZE - 1 bytes.
 */
#ifndef LOOM_MOVES_H
#define LOOM_MOVES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>
#include <jansson.h>
#include <talloc.h>
#include "loom/document.h"

#define MV_SLOT_MS 1000U
/* Time after the end of a slot in which its reports may arrive. */
#define MV_SLOT_LAG_MS 500U
#define MV_LATENCY_BUCKETS 24U
#define MV_NAME_SIZE 64U

/* How a call ended, as evidence about the version that served it. */
enum mv_outcome {
	MV_OUTCOME_GOOD,
	MV_OUTCOME_FAILED,
	MV_OUTCOME_COLD,    /* any response of a target in phase starting */
	MV_OUTCOME_REFUSED, /* shed or refused before it ran */
	MV_OUTCOME_LOST,    /* connection lost because the VM failed */
};

/*
 * Counts of one series in one slot. The analysis uses calls, failed and latency
 * only: cold, refused and lost calls say nothing about the version.
 */
struct mv_counts {
	uint32_t calls; /* calls that were good or failed */
	uint32_t failed;
	uint32_t cold;
	uint32_t refused;
	uint32_t lost;
	uint32_t latency[MV_LATENCY_BUCKETS]; /* latencies of good calls */
};

/* Identifies a series of counts; the strings are borrowed. */
struct mv_series_key {
	const char *version;
	const char *route;
	const char *target; /* address of the target */
};

/*
 * Returns the index of the histogram bucket of a latency. The upper bound of
 * each bucket is 1.5 times that of the bucket before.
 */
uint32_t mv_get_latency_bucket(uint32_t latency_us);

/* Adds one finished call to counts. latency_us is used for good calls only. */
void mv_add_call(struct mv_counts *counts, enum mv_outcome outcome,
		 uint32_t latency_us);

/* Adds the counts of more to counts; each count saturates at UINT32_MAX. */
void mv_add_counts(struct mv_counts *counts, const struct mv_counts *more);

/*
 * A window holds the counts of one service in the latest slots. Each node keeps
 * one for its own calls; the lease holder of the service keeps another, merged
 * from the reports of all nodes. MV_SERIES_MAX in window.c bounds its memory.
 */
struct mv_window;

/* Returns a new, empty window owned by ctx; service is copied. */
struct mv_window *mv_new_window(TALLOC_CTX *ctx, const char *service);

/* Returns the number of the slot that contains now_ms. */
uint64_t mv_get_slot(uint64_t now_ms);

/*
 * Adds counts to a series in a slot. Returns false, and drops the counts, when
 * the slot is older than the window.
 */
bool mv_record_counts(struct mv_window *window, uint64_t slot,
		      const struct mv_series_key *key,
		      const struct mv_counts *counts);

typedef void (*mv_series_fn)(const struct mv_series_key *key,
			     const struct mv_counts *counts, void *data);

/* Calls fn for each series of a slot, in unspecified order. */
void mv_each_series(const struct mv_window *window, uint64_t slot,
		    mv_series_fn fn, void *data);

/*
 * Returns how many calls were counted without their target's address, or
 * dropped, because the slot had too many series.
 */
uint64_t mv_get_overflow_count(const struct mv_window *window);

/*
 * Returns the report of one slot for the lease holder, as a new reference:
 * {"service","node","slot","series":[[version,route,target,calls,failed,cold,
 * refused,lost,[bucket,count,...]],...]}.
 */
json_t *mv_format_report(const struct mv_window *window, const char *node,
			 uint64_t slot);

/*
 * Validates the whole report of another node and then merges it. A report that
 * was merged before, or is older than the window, changes nothing and returns
 * true. Returns false with *error set (ERR_INVALID_MESSAGE) when the report is
 * malformed, is for another service, or is for a slot further ahead of now_ms
 * than the clocks of two nodes may differ.
 */
bool mv_merge_report(struct mv_window *window, const json_t *report,
		     uint64_t now_ms, GError **error);

enum mv_metric {
	MV_METRIC_ERRORS,
	MV_METRIC_LATENCY,
};

/* What the analysis found, with the counts that support it. */
struct mv_finding {
	char route[MV_NAME_SIZE]; /* "": all routes together */
	enum mv_metric metric;
	uint32_t new_calls;
	uint32_t new_bad; /* new calls that failed or were slow */
	uint32_t old_calls;
	uint32_t old_bad;
	char worst_target[MV_NAME_SIZE];
	uint32_t worst_calls;
	uint32_t worst_bad;
};

enum mv_verdict_kind {
	MV_VERDICT_INSUFFICIENT, /* insufficient evidence so far */
	MV_VERDICT_GOOD,
	MV_VERDICT_SUSPECT, /* worse than before; no old calls to compare */
	MV_VERDICT_BAD,
};

struct mv_verdict {
	enum mv_verdict_kind kind;
	struct mv_finding finding; /* for MV_VERDICT_SUSPECT and _BAD */
	uint32_t new_calls; /* calls of this step that count as evidence */
	uint32_t old_calls;
	uint32_t missing_calls; /* for MV_VERDICT_INSUFFICIENT: estimate */
	char missing_route[MV_NAME_SIZE];
	bool is_likely_bad;   /* evidence reaches half of a threshold */
	bool is_old_degraded; /* the old version got worse as well */
};

/* Statistical analysis of one move; analysis.c describes its tests. */
struct mv_analysis;

/*
 * Returns a new analysis owned by ctx; what it needs of move is copied.
 * analysis_count is the number of analyses that share the bound on the
 * false-alarm probability: 1 for the lease holder, or the number of nodes when
 * each node limits its own share.
 */
struct mv_analysis *mv_new_analysis(TALLOC_CTX *ctx,
				    const struct doc_move *move,
				    uint32_t analysis_count);

/*
 * Starts a new step after the share of the new version changed. Evidence that
 * counts per step starts from zero.
 */
void mv_begin_step(struct mv_analysis *analysis, uint32_t share_permille,
		   uint64_t now_ms);

/*
 * Adds all slots of window that have ended to the analysis, in order. Each slot
 * is added once, MV_SLOT_LAG_MS after its end.
 */
void mv_analyze_slots(struct mv_analysis *analysis,
		      const struct mv_window *window, uint64_t now_ms);

/* Fills verdict from the evidence gathered so far. */
void mv_get_verdict(const struct mv_analysis *analysis,
		    struct mv_verdict *verdict);

enum mv_reason {
	MV_REASON_NONE,
	MV_REASON_BAD,	      /* the analysis found the new version bad */
	MV_REASON_OPERATOR,   /* an operator took the move back */
	MV_REASON_LATE,	      /* the move was not finished by finish_by */
	MV_REASON_IMPOSSIBLE, /* finish_by cannot be met; not started */
};

/* State of a move as stored in its status object. */
struct mv_state {
	uint64_t document_version;
	char from[MV_NAME_SIZE];
	char to[MV_NAME_SIZE];
	enum doc_move_state phase;
	uint32_t step_index;
	uint32_t share_permille;   /* share of the new version */
	uint64_t since_ms;	   /* start of this phase and share */
	uint64_t step_since_ms;	   /* step's share was reached; 0: not yet */
	uint64_t compare_since_ms; /* start of a comparison with old; 0: none */
	bool has_common_errors;	   /* the comparison found errors of both */
	uint32_t compare_count;	   /* comparisons that found no fault */
	enum mv_reason reason;
	struct mv_finding finding; /* set for MV_REASON_BAD */
	char by[MV_NAME_SIZE];	   /* set for MV_REASON_OPERATOR */
	uint64_t expected_end_ms;
	uint32_t missing_calls; /* calls that the step still needs */
	char missing_route[MV_NAME_SIZE];
};

/* Input of the planner besides state, move and time. */
struct mv_evidence {
	uint64_t document_version;
	struct mv_verdict verdict;
	/* Share that the targets of the new version have capacity for. */
	uint32_t target_capacity_permille;
	uint32_t targets_warm_up_ms; /* time until they have capacity for all
					calls; 0: now */
};

enum mv_action_kind {
	MV_ACTION_WAIT,
	MV_ACTION_SET_SHARE,
	MV_ACTION_FINISH,
	MV_ACTION_TAKE_BACK,
};

struct mv_action {
	enum mv_action_kind kind;
	struct mv_state state; /* to be stored; changes also with WAIT */
};

/* Initializes state for a move that has not started. */
void mv_init_state(struct mv_state *state, const struct doc_move *move,
		   uint64_t document_version, uint64_t now_ms);

/*
 * Decides the next action. The caller stores action->state by a conditional
 * write and acts on the stored state only. With MV_ACTION_WAIT the write may be
 * omitted, because only the fields shown to operators can differ.
 */
void mv_plan_action(const struct mv_state *state, const struct doc_move *move,
		    const struct mv_evidence *evidence, uint64_t now_ms,
		    struct mv_action *action);

/*
 * Takes the move back on behalf of the operator named by. Returns false with
 * *error set (ERR_CONFLICT) when the move has already ended.
 */
bool mv_take_back(struct mv_state *state, const char *by, uint64_t now_ms,
		  GError **error);

/* Returns the earliest time, in milliseconds, at which the move can end. */
uint64_t mv_get_earliest_end(const struct mv_state *state,
			     const struct doc_move *move,
			     uint32_t targets_warm_up_ms, uint64_t now_ms);

/* Returns the state as a JSON object, as a new reference. */
json_t *mv_format_state(const struct mv_state *state);

/*
 * Fills state from JSON. Returns false with *error set (ERR_INVALID_MESSAGE)
 * when value is not a valid state.
 */
bool mv_parse_state(const json_t *value, struct mv_state *state,
		    GError **error);

/* Appends the state to text as one sentence for operators. */
void mv_describe_state(const struct mv_state *state,
		       const struct doc_move *move, GString *text);

/*
 * A ramp is a move that has to finish within seconds. The share of the new
 * version rises in steps, which the ramp of all nodes' calls decides on; each
 * node also evaluates a ramp of its own calls.
 */
struct mv_ramp;

/* Whose calls a ramp counts. */
enum mv_ramp_scope {
	MV_RAMP_OWN_CALLS, /* those of one node */
	MV_RAMP_ALL_CALLS, /* those of all nodes */
};

enum mv_ramp_verdict {
	MV_RAMP_CONTINUE,
	MV_RAMP_FINISH,	   /* the new version is good, and its time is over */
	MV_RAMP_TAKE_BACK, /* the new version is bad */
};

/*
 * Time of a ramp, and the parts of all calls in that time that it may expose to
 * the new version.
 */
struct mv_ramp_limits {
	uint32_t limit_ms;
	uint32_t bound_permille;   /* before the end of the ramp */
	uint32_t reserve_permille; /* from its end to the limit */
};

/*
 * Returns the limits of a ramp whose version may get exposure_permille of all
 * calls while it is not known to be good.
 */
struct mv_ramp_limits mv_get_ramp_limits(uint32_t limit_ms,
					 uint32_t exposure_permille);

/*
 * Returns a new ramp owned by ctx that starts at now_ms. to is the new version;
 * counts of any other version are those of the old one.
 */
struct mv_ramp *mv_new_ramp(TALLOC_CTX *ctx, const char *to,
			    const struct mv_ramp_limits *limits,
			    enum mv_ramp_scope scope, uint64_t now_ms);

/* Sets the number of targets that the new version has. */
void mv_set_ramp_targets(struct mv_ramp *ramp, uint32_t target_count);

/* Adds finished calls of one version and route. */
void mv_record_ramp_counts(struct mv_ramp *ramp, const char *version,
			   const char *route, const struct mv_counts *counts,
			   uint64_t now_ms);

/*
 * Returns calls, failed and latency of counts as a JSON array for another node,
 * as a new reference.
 */
json_t *mv_format_counts(const struct mv_counts *counts);

/*
 * Most calls of one series in a report; a node sends two reports a second. So
 * no report outweighs those of all other nodes.
 */
#define MV_COUNT_MAX 1000000U

/*
 * Fills counts from such an array; returns false when value is not valid or has
 * a number above MV_COUNT_MAX.
 */
bool mv_parse_counts(const json_t *value, struct mv_counts *counts);

/*
 * Returns the share of the new version in permille; 0 once it has been found
 * bad.
 */
uint32_t mv_get_ramp_share(struct mv_ramp *ramp, uint64_t now_ms);

/*
 * The targets of the new version get their calls in turns: of count turns, the
 * one of that index. With one turn, all targets get calls all the time.
 */
struct mv_turn {
	uint32_t index;
	uint32_t count;
};

struct mv_turn mv_get_ramp_turn(const struct mv_ramp *ramp, uint64_t now_ms);

/* How far a ramp is, as told to other nodes. */
struct mv_ramp_progress {
	uint32_t step; /* 0: the probe */
	uint32_t share_permille;
	uint32_t turn_count; /* see struct mv_turn */
	uint32_t age_ms;
	uint32_t step_age_ms;
	bool is_passed; /* the new version may get all calls for good */
};

/* Fills in the progress of a ramp. */
void mv_get_ramp_progress(struct mv_ramp *ramp, uint64_t now_ms,
			  struct mv_ramp_progress *progress);

/* Calls of all routes in one step of a ramp. */
struct mv_ramp_calls {
	uint32_t new_calls;
	uint32_t new_failed;
	uint32_t old_calls;
	uint32_t old_failed;
};

/* Fills in the calls that a ramp knows of a step; zero for an unknown step. */
void mv_get_ramp_calls(const struct mv_ramp *ramp, uint32_t step,
		       struct mv_ramp_calls *calls);

/*
 * Sets a ramp to the progress that the ramp of all calls has on another node.
 * From then on the ramp takes no step by itself.
 */
void mv_follow_ramp(struct mv_ramp *ramp,
		    const struct mv_ramp_progress *progress, uint64_t now_ms);

/*
 * Continues a ramp of all calls from the progress that another node had told,
 * where that is further than its own. Steps and ages never decrease.
 */
void mv_resume_ramp(struct mv_ramp *ramp,
		    const struct mv_ramp_progress *progress, uint64_t now_ms);

/*
 * Evaluates the calls and the time so far. Once MV_RAMP_TAKE_BACK was returned,
 * it is returned by all later calls.
 */
enum mv_ramp_verdict mv_evaluate_ramp(struct mv_ramp *ramp, uint64_t now_ms);

/*
 * Returns why the ramp was taken back, for operators (borrowed):
 * "route r: 6 of 9 calls failed, ..."; "" when it was not.
 */
const char *mv_get_ramp_reason(const struct mv_ramp *ramp);

/*
 * An evaluation is one node's part in a move that has to finish within seconds.
 * The nodes of the first ranks, the evaluators, get the counts of all nodes and
 * decide on the share; the others follow what an evaluator tells them. Each
 * node also evaluates its own calls. Ranks count from 0.
 */
struct mv_evaluation;

/* Number of evaluators; one may fail meanwhile. */
#define MV_EVALUATORS 2U

/* What an evaluator tells another node. */
struct mv_told {
	uint32_t rank;	 /* of the evaluator */
	bool is_stopped; /* it has found the new version bad */
	struct mv_ramp_progress progress;
};

/* Returns a new evaluation owned by ctx; see mv_new_ramp(). */
struct mv_evaluation *mv_new_evaluation(TALLOC_CTX *ctx, const char *to,
					const struct mv_ramp_limits *limits,
					uint64_t now_ms);

/* Sets the number of targets that the new version has. */
void mv_set_target_count(struct mv_evaluation *evaluation,
			 uint32_t target_count);

/* Adds finished calls of this node. */
void mv_record_own_counts(struct mv_evaluation *evaluation, const char *version,
			  const char *route, const struct mv_counts *counts,
			  uint64_t now_ms);

/* Adds finished calls that another node reports. */
void mv_record_reported_counts(struct mv_evaluation *evaluation,
			       const char *version, const char *route,
			       const struct mv_counts *counts, uint64_t now_ms);

/*
 * Evaluates the calls known to this node, whose rank is own_rank. Only an
 * evaluator goes by the calls of all nodes.
 */
enum mv_ramp_verdict mv_evaluate_calls(struct mv_evaluation *evaluation,
				       uint32_t own_rank, uint64_t now_ms);

/* Returns the share of the new version, in permille, to use on this node. */
uint32_t mv_get_evaluated_share(struct mv_evaluation *evaluation,
				uint64_t now_ms);

/* Returns which targets of the new version get calls on this node. */
struct mv_turn mv_get_evaluated_turn(const struct mv_evaluation *evaluation,
				     uint64_t now_ms);

/*
 * Fills in the progress that this node knows, for its reports to evaluators. An
 * evaluator that has just started learns from it how far the move is.
 */
void mv_get_known_progress(struct mv_evaluation *evaluation, uint64_t now_ms,
			   struct mv_ramp_progress *progress);

/* Adds the progress that the report of another node tells. */
void mv_record_reported_progress(struct mv_evaluation *evaluation,
				 const struct mv_ramp_progress *progress,
				 uint64_t now_ms);

/* Fills in what this evaluator tells other nodes. */
void mv_get_told(struct mv_evaluation *evaluation, uint32_t own_rank,
		 uint64_t now_ms, struct mv_told *told);

/* Handles what an evaluator tells; returns whether it was news of a stop. */
bool mv_handle_told(struct mv_evaluation *evaluation, uint32_t own_rank,
		    const struct mv_told *told, uint64_t now_ms);

/* Returns the ramp by which a node of that rank goes (borrowed). */
struct mv_ramp *mv_get_ramp(struct mv_evaluation *evaluation,
			    uint32_t own_rank);

/* As mv_get_ramp_reason(). */
const char *mv_get_evaluation_reason(const struct mv_evaluation *evaluation);

/*
 * Local limit: an upper bound that one node sets on the share of one move from
 * its own calls. It can lower the share that the node uses, never raise it.
 */
struct mv_local_limit {
	uint64_t document_version; /* when the limit was set */
	uint64_t state_since_ms;   /* since_ms of the state when it was set */
	uint32_t limit_permille;   /* DOC_SHARE_ALL_PERMILLE: no limit */
	struct mv_finding finding;
};

/* Input of the local limit. */
struct mv_local_evidence {
	uint64_t document_version;
	uint64_t state_since_ms; /* since_ms of the newest state received */
	enum doc_move_state phase;
	uint32_t share_permille;   /* share in the newest state received */
	struct mv_verdict verdict; /* from the node's own calls */
	bool is_cut_off;	   /* no contact with a lease holder */
	bool has_old_target;
};

/* Initializes local_limit to no limit. */
void mv_init_local_limit(struct mv_local_limit *local_limit);

/*
 * Removes the limit when a newer document or state was received. Returns
 * whether a limit was removed; the caller then replaces the node's analysis,
 * whose evidence would otherwise set the same limit again.
 */
bool mv_clear_local_limit(struct mv_local_limit *local_limit,
			  const struct mv_local_evidence *local);

/* Updates the limit and returns the share in permille to use on this node. */
uint32_t mv_apply_local_limit(struct mv_local_limit *local_limit,
			      const struct doc_move *move,
			      const struct mv_local_evidence *local,
			      uint64_t now_ms);

#endif
