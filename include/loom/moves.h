/*
 * Moves of traffic from an old version of a service to a new one: statistics
 * of the calls, the judge of new against old, the planner of the steps, the
 * local brake, and the state of a move as it is stored and read back.
 *
 * Pure functions of state, event and time; no I/O. Times are wall clock in
 * milliseconds since 1970. Names that are kept in fixed arrays are cut to
 * MV_NAME_SIZE - 1 bytes.
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
#define MV_SLOT_LAG_MS 500U /* allowed for reports after a slot's end */
#define MV_LATENCY_BUCKETS 24U
#define MV_NAME_SIZE 64U

/* How a call ended, as far as it tells about the version that ran it. */
enum mv_outcome {
	MV_OUTCOME_GOOD,
	MV_OUTCOME_FAILED,
	MV_OUTCOME_COLD,    /* any answer of a target in phase starting */
	MV_OUTCOME_REFUSED, /* shed or refused, "not run" */
	MV_OUTCOME_LOST,    /* connection lost to a VM that died */
};

/* Counts of one series in one slot. Only calls and failed are judged. */
struct mv_counts {
	uint32_t calls; /* good and failed */
	uint32_t failed;
	uint32_t cold;
	uint32_t refused;
	uint32_t lost;
	uint32_t latency[MV_LATENCY_BUCKETS]; /* of good calls */
};

/* What one series counts; the texts are borrowed. */
struct mv_key {
	const char *version;
	const char *route;
	const char *target; /* address */
};

/* Returns the bucket of a latency; each is half as wide again as the last. */
uint32_t mv_get_bucket(uint32_t latency_us);

/* Adds one ended call to counts. latency_us is read for good calls only. */
void mv_add_call(struct mv_counts *counts, enum mv_outcome outcome,
		 uint32_t latency_us);

/* Adds the counts of more to counts; counts stop at their largest value. */
void mv_add_counts(struct mv_counts *counts, const struct mv_counts *more);

/*
 * Window: the counts of one service in the latest slots. A node keeps one of
 * its own calls; the lease holder of the service keeps one merged from the
 * reports of all nodes. Memory is bounded: see MV_SERIES_MAX in window.c.
 */
struct mv_window;

/* Returns a new, empty window owned by ctx. */
struct mv_window *mv_new_window(TALLOC_CTX *ctx, const char *service);

/* Returns the slot that holds now_ms. */
uint64_t mv_get_slot(uint64_t now_ms);

/*
 * Adds counts to a series in a slot. Returns false when the slot is older than
 * the window; the counts are dropped then.
 */
bool mv_note_counts(struct mv_window *window, uint64_t slot,
		    const struct mv_key *key, const struct mv_counts *counts);

typedef void (*mv_series_fn)(const struct mv_key *key,
			     const struct mv_counts *counts, void *data);

/* Calls fn for each series of a slot, in no particular order. */
void mv_each_series(const struct mv_window *window, uint64_t slot,
		    mv_series_fn fn, void *data);

/* Returns how many calls were counted without their target's address. */
uint64_t mv_get_overflow_count(const struct mv_window *window);

/*
 * Returns the report of one slot for the lease holder, a new reference:
 * {"service","node","slot","series":[[version,route,target,calls,failed,cold,
 * refused,lost,[bucket,count,...]],...]}.
 */
json_t *mv_format_report(const struct mv_window *window, const char *node,
			 uint64_t slot);

/*
 * Checks a report of another node whole and then merges it. A report that was
 * merged before, or is older than the window, changes nothing. Returns false
 * with *error set (ERR_INVALID_MESSAGE) when it is malformed, of another
 * service, or of a slot that is ahead of now_ms by more than clocks differ.
 */
bool mv_merge_report(struct mv_window *window, const json_t *report,
		     uint64_t now_ms, GError **error);

enum mv_metric {
	MV_METRIC_ERRORS,
	MV_METRIC_LATENCY,
};

/* What the judge found, with the figures that it found it by. */
struct mv_finding {
	char route[MV_NAME_SIZE]; /* "": over all routes */
	enum mv_metric metric;
	uint32_t new_calls;
	uint32_t new_bad; /* failed or slow */
	uint32_t old_calls;
	uint32_t old_bad;
	char worst_target[MV_NAME_SIZE];
	uint32_t worst_calls;
	uint32_t worst_bad;
};

enum mv_verdict_kind {
	MV_VERDICT_SCARCE, /* not enough evidence yet */
	MV_VERDICT_GOOD,
	MV_VERDICT_SUSPECT, /* worse than before, no old calls to compare */
	MV_VERDICT_BAD,
};

struct mv_verdict {
	enum mv_verdict_kind kind;
	struct mv_finding finding; /* of suspect and bad */
	uint32_t new_calls;	   /* judged calls of the step */
	uint32_t old_calls;
	uint32_t missing_calls; /* of scarce: estimate */
	char missing_route[MV_NAME_SIZE];
	bool is_leaning_bad; /* evidence is above a third of the threshold */
	bool is_old_hit;     /* the old version is worse than before as well */
};

/* Judge of one move; see judge.c for the tests that it keeps. */
struct mv_judge;

/*
 * Returns a new judge owned by ctx; move is copied as far as needed.
 * judge_count is how many judges (nodes with a brake) share the bound on false
 * alarms; 1 for the lease holder.
 */
struct mv_judge *mv_new_judge(TALLOC_CTX *ctx, const struct doc_move *move,
			      uint32_t judge_count);

/* The share of the new version changed: evidence for a step counts anew. */
void mv_begin_step(struct mv_judge *judge, uint32_t share_permille,
		   uint64_t now_ms);

/* Takes in all slots of window that have ended, each once, in order. */
void mv_fold_slots(struct mv_judge *judge, const struct mv_window *window,
		   uint64_t now_ms);

/* Fills verdict with what the evidence says so far. */
void mv_get_verdict(const struct mv_judge *judge, struct mv_verdict *verdict);

enum mv_reason {
	MV_REASON_NONE,
	MV_REASON_BAD,	      /* the judge's finding */
	MV_REASON_OPERATOR,   /* an operator took it back */
	MV_REASON_LATE,	      /* not finished by finish_by */
	MV_REASON_IMPOSSIBLE, /* finish_by cannot be met; not started */
};

/* State of a move: what the status object holds. */
struct mv_state {
	uint64_t document_version;
	char from[MV_NAME_SIZE];
	char to[MV_NAME_SIZE];
	enum doc_move_state phase;
	uint32_t step_index;
	uint32_t share_permille; /* of the new version */
	uint64_t since_ms;	 /* this phase and share */
	uint64_t step_since_ms;	 /* the step's share was reached; 0: not yet */
	uint64_t compare_since_ms; /* share cut to compare with old; 0: not */
	bool is_common;		   /* it found errors of both versions */
	uint32_t compare_count;	   /* comparisons that found nothing */
	enum mv_reason reason;
	struct mv_finding finding; /* of MV_REASON_BAD */
	char by[MV_NAME_SIZE];	   /* of MV_REASON_OPERATOR */
	uint64_t expected_end_ms;
	uint32_t missing_calls; /* what the step waits for */
	char missing_route[MV_NAME_SIZE];
};

/* What the planner decides on besides state, move and time. */
struct mv_evidence {
	uint64_t document_version;
	struct mv_verdict verdict;
	uint32_t bearable_permille; /* by the limits of the new targets */
	uint32_t ramp_ms;	    /* until these bear all calls; 0: now */
};

enum mv_action_kind {
	MV_ACTION_WAIT,
	MV_ACTION_SET_SHARE,
	MV_ACTION_FINISH,
	MV_ACTION_TAKE_BACK,
};

struct mv_action {
	enum mv_action_kind kind;
	struct mv_state state; /* to be stored, also for a changed wait */
};

/* Fills state with that of a move that has not begun. */
void mv_init_state(struct mv_state *state, const struct doc_move *move,
		   uint64_t document_version, uint64_t now_ms);

/*
 * Decides the next action. The caller stores action->state by a conditional
 * write and acts on nothing else; with MV_ACTION_WAIT the write may be left
 * out, since only what the operator reads differs.
 */
void mv_next(const struct mv_state *state, const struct doc_move *move,
	     const struct mv_evidence *evidence, uint64_t now_ms,
	     struct mv_action *action);

/*
 * An operator takes the move back. Returns false with *error set
 * (ERR_CONFLICT) when it has ended already.
 */
bool mv_take_back(struct mv_state *state, const char *by, uint64_t now_ms,
		  GError **error);

/* Returns the earliest time at which the move can end. */
uint64_t mv_get_earliest_end(const struct mv_state *state,
			     const struct doc_move *move, uint32_t ramp_ms,
			     uint64_t now_ms);

/* Returns the state as a JSON object, a new reference. */
json_t *mv_format_state(const struct mv_state *state);

/* Fills state; returns false with *error set (ERR_INVALID_MESSAGE). */
bool mv_parse_state(const json_t *value, struct mv_state *state,
		    GError **error);

/* Appends the state to text as one sentence for operators. */
void mv_describe_state(const struct mv_state *state,
		       const struct doc_move *move, GString *text);

/*
 * Ramp: a move that has to end within seconds. Its share follows the time since
 * it began, and each node judges it by the calls that it sent itself.
 */
struct mv_ramp;

enum mv_ramp_verdict {
	MV_RAMP_GO_ON,
	MV_RAMP_FINISH,	   /* all calls went to the new version for a while */
	MV_RAMP_TAKE_BACK, /* the new version is bad */
};

/*
 * Returns a new ramp owned by ctx, begun at now_ms, that has limit_ms. to is
 * the new version; counts of any other belong to the old one.
 */
struct mv_ramp *mv_new_ramp(TALLOC_CTX *ctx, const char *to, uint32_t limit_ms,
			    uint64_t now_ms);

/*
 * Adds calls that ended, of one version and route. Calls of the time in which
 * the new version has all calls have nothing to be compared with; they do not
 * count.
 */
void mv_note_ramp_counts(struct mv_ramp *ramp, const char *version,
			 const char *route, const struct mv_counts *counts,
			 uint64_t now_ms);

/* Returns counts as a JSON array for another node, a new reference. */
json_t *mv_format_counts(const struct mv_counts *counts);

/* Fills counts; returns false when the value is not of that form. */
bool mv_parse_counts(const json_t *value, struct mv_counts *counts);

/* Returns the share of the new version; 0 once it was found bad. */
uint32_t mv_get_ramp_share(const struct mv_ramp *ramp, uint64_t now_ms);

/* Returns what the calls and the time say; a bad version stays bad. */
enum mv_ramp_verdict mv_judge_ramp(struct mv_ramp *ramp, uint64_t now_ms);

/* Returns why, for operators: "route r: 6 of 9 calls failed, ..." (borrowed).
 */
const char *mv_get_ramp_reason(const struct mv_ramp *ramp);

/*
 * Local brake of one node on one move. It cuts the share that is in force on
 * the node by what the node itself sees, and never raises it.
 */
struct mv_brake {
	uint64_t document_version; /* at which it was pulled */
	uint64_t state_since_ms;   /* since_ms of the state at that time */
	uint32_t limit_permille;   /* DOC_SHARE_ALL_PERMILLE: not pulled */
	struct mv_finding finding;
};

/* What the brake decides on. */
struct mv_local {
	uint64_t document_version;
	uint64_t state_since_ms; /* of the newest state that was received */
	enum doc_move_state phase;
	uint32_t share_permille;   /* of that state */
	struct mv_verdict verdict; /* on the node's own calls */
	bool is_cut_off;	   /* no word from the platform or its peers */
	bool has_old_target;
};

/* Fills brake with one that is not pulled. */
void mv_init_brake(struct mv_brake *brake);

/*
 * Lets a pulled brake go when a newer document or state was received. Returns
 * whether it did; the caller then puts a new judge in place of the node's.
 */
bool mv_release_brake(struct mv_brake *brake, const struct mv_local *local);

/* Updates the brake and returns the share to use on this node. */
uint32_t mv_apply_brake(struct mv_brake *brake, const struct doc_move *move,
			const struct mv_local *local, uint64_t now_ms);

#endif
