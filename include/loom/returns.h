/*
 * Refused callers that return.
 *
 * A caller whose call was refused sends it once more, on a new connection and
 * within its first deadline, when Retry-After has passed or a third of the time
 * that it has left, whichever is earlier. The entry node keeps a record of each
 * refusal, recognizes the new attempt by it, and promises a few callers a time
 * at which their call goes before fresh ones. Any other caller gets a place as
 * a fresh one does while its objective, counted from its first attempt, can be
 * met, and after that only on an idle target.
 *
 * Decisions take the time as an argument and do no I/O. All times are
 * monotonic. Used by one thread.
 */
#ifndef LOOM_RETURNS_H
#define LOOM_RETURNS_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

struct rt_returns;

/* An attempt of a caller, as it reaches the entry node. */
struct rt_arrival {
	uint64_t key; /* hash of the method, the host and the path */
	uint64_t received_ms;
	uint32_t left_ms;      /* time until its deadline; 0: not told */
	uint32_t objective_ms; /* wanted time from its first attempt */
	uint32_t run_us;       /* expected run time of its call */
};

enum rt_return_kind {
	RT_RETURN_NONE,	 /* no record: a fresh call */
	RT_RETURN_EARLY, /* before the time at which it was expected */
	RT_RETURN_PROMISED,
	RT_RETURN_UNPROMISED, /* it has no promise, or had a place already */
};

/* Returns a lower-case name for logs, "none" for RT_RETURN_NONE (static). */
const char *rt_get_return_name(enum rt_return_kind kind);

/* What the record of an earlier refusal tells about an attempt. */
struct rt_return {
	enum rt_return_kind kind;
	/* Not set for RT_RETURN_NONE: */
	uint64_t first_ms; /* when the caller's first attempt was received */
	uint64_t told_ms;  /* when it was expected back */
	uint64_t due_ms;   /* end of its objective */
	bool is_late;	   /* an answer by due_ms is not possible any more */
	bool is_promised;
};

/* What a refused caller is told. */
struct rt_advice {
	uint32_t wait_ms;
	bool is_promise; /* a new promise was made */
	bool is_dropped; /* another promise was dropped, as there was no room */
};

/* Returns a new, empty object (owned by ctx). */
struct rt_returns *rt_new_returns(TALLOC_CTX *ctx);

/*
 * Finds the record of the caller's earlier refusal and removes it. Its new
 * attempt ends with rt_record_refusal(), or the record is not needed any more.
 */
struct rt_return rt_take_return(struct rt_returns *returns,
				const struct rt_arrival *arrival);

/* Returns whether the call is only to be sent if a target is idle. */
bool rt_needs_idle_target(const struct rt_return *returned);

/* Records that a target has answered a call of the service. */
void rt_record_service_answer(struct rt_returns *returns, const char *service,
			      uint64_t now_ms);

/*
 * Records that a call of the service was refused and will not run. returned is
 * what rt_take_return() has returned for it.
 */
struct rt_advice rt_record_refusal(struct rt_returns *returns,
				   const char *service,
				   const struct rt_arrival *arrival,
				   const struct rt_return *returned,
				   uint64_t now_ms);

/* Returns the number of records. */
uint32_t rt_count_returns(const struct rt_returns *returns);

#endif
