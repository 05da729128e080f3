/*
 * Admission control on the node of a target: the adaptive concurrency limit of
 * the one local target, the short queue in front of it, its phase, and refusals
 * that guarantee that the call was not run.
 *
 * Every decision is a pure function of state, event and time, without I/O. A
 * gate is used by one thread only.
 */
#ifndef LOOM_ADMISSION_H
#define LOOM_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include "loom/capacity.h"
#include "loom/document.h"
#include "loom/routing.h"

struct adm_gate;

enum adm_refusal {
	ADM_REFUSAL_NONE,
	ADM_REFUSAL_NO_TARGET,	  /* no target is announced on this node */
	ADM_REFUSAL_WRONG_TARGET, /* another service or version runs here */
	ADM_REFUSAL_LEAVING,
	ADM_REFUSAL_DOMAIN_OUT,
	ADM_REFUSAL_QUEUE_FULL,
	ADM_REFUSAL_DEADLINE, /* cannot be answered in time */
	ADM_REFUSAL_COLD,     /* above the call rate of a cold target */
	ADM_REFUSAL_DOWN,     /* unreachable, no heartbeat since */
};

/* Returns the machine-readable reason, such as "queue_full" (static). */
const char *adm_get_refusal_name(enum adm_refusal refusal);

enum adm_verdict {
	ADM_VERDICT_RUN,
	ADM_VERDICT_WAIT,
	ADM_VERDICT_REFUSE,
};

/* Returns a new gate (owned by ctx) that has no target yet. */
struct adm_gate *adm_new_gate(TALLOC_CTX *ctx);

/*
 * From now on calls get the slots by class and the earliest deadline, and wait
 * or are refused by estimates for their kind. Only allowed before the first
 * call.
 */
void adm_use_classes(struct adm_gate *gate);

/*
 * What a cold target bears in one second: its calls per second times
 * rate_permille / 1000, and slack_calls more.
 */
struct adm_cold_bound {
	uint32_t rate_permille; /* 0: unknown, it is not asked whether it is
				   cold */
	uint32_t slack_calls;
};

/* Sets that bound, from the next adm_set_limits() on. */
void adm_set_cold_bound(struct adm_gate *gate,
			const struct adm_cold_bound *bound);

/* Sets the limits of the service document, from the next decision on. */
void adm_set_limits(struct adm_gate *gate, const struct doc_limits *limits);

/*
 * Handles the announcement of a target that has started or restarted. Learned
 * values are discarded and the limit begins at its start value. service and
 * version are copied.
 */
void adm_announce_target(struct adm_gate *gate, const char *service,
			 const char *version, uint64_t now_ms);

/*
 * Sets the number of slots that the target announced. It becomes the limit, and
 * the queue length is derived from it. 0 means that the target announced none,
 * and the limit adapts.
 */
void adm_set_known_slots(struct adm_gate *gate, uint32_t slots);

/*
 * Marks the target as cold until until_ms or a later time that it told before:
 * a heartbeat may be older than that. Until then the service's
 * cold_calls_per_second bounds the rate of calls to it.
 */
void adm_set_cold(struct adm_gate *gate, uint64_t until_ms);

/*
 * Returns whether the target has to be asked whether it is cold: soon it has
 * got as many calls in a second as a cold one bears, all since it was last
 * known to be warm. Calls beyond that are refused or wait.
 */
bool adm_is_check_due(struct adm_gate *gate, uint64_t now_ms);

/* Records that the target was warm when it was asked at asked_ms, or later. */
void adm_confirm_warm(struct adm_gate *gate, uint64_t asked_ms,
		      uint64_t now_ms);

/*
 * Refuses all calls until adm_mark_reachable(), since the target was
 * unreachable.
 */
void adm_mark_unreachable(struct adm_gate *gate);

/* Ends the effect of adm_mark_unreachable() after a heartbeat of the target. */
void adm_mark_reachable(struct adm_gate *gate);

/*
 * Refuses all calls from now on, since the target drains or has gone. Calls
 * that already run are not affected.
 */
void adm_drain_target(struct adm_gate *gate);

/* Sets whether the failure domain of this node is taken out of service. */
void adm_set_domain_out(struct adm_gate *gate, bool is_out);

/*
 * Sets the number of parallel calls that the target can handle according to
 * its own health or load endpoint. The hint can only lower the limit, and it
 * expires.
 */
void adm_set_hinted_limit(struct adm_gate *gate, uint32_t hinted_limit,
			  uint64_t now_ms);

struct adm_call {
	const char *service;
	const char *version;
	void *ticket; /* opaque handle of the caller, see adm_take_ready() */
	uint64_t deadline_ms;
	uint64_t objective_ms; /* time by which an answer is due; 0: none */
	uint32_t priority;     /* 0 is the highest */
	/* Read after adm_use_classes() only. */
	enum rt_class class;
	const char *kind; /* calls of one kind run about equally long */
	uint32_t send_us; /* until the answer has left, after the run */
};

/*
 * Decides whether a call runs, waits or is refused. On ADM_VERDICT_REFUSE
 * *refusal is set and the call was not run. On ADM_VERDICT_WAIT a waiting call
 * of lower priority may have lost its place; adm_take_expired() returns it. The
 * texts of call are not kept.
 */
enum adm_verdict adm_admit(struct adm_gate *gate, const struct adm_call *call,
			   uint64_t now_ms, enum adm_refusal *refusal);

/*
 * Removes and returns the ticket of the next waiting call that may run now, or
 * NULL.
 */
void *adm_take_ready(struct adm_gate *gate, uint64_t now_ms);

/*
 * Removes and returns the ticket of the next waiting call to refuse now, or
 * NULL. A waiting call is refused when its deadline has passed, when it cannot
 * meet its objective during a sustained overload, when a call of higher
 * priority took its place, or when the gate is closed; a closed gate returns
 * every waiting ticket in turn. None of these calls was run.
 */
void *adm_take_expired(struct adm_gate *gate, uint64_t now_ms);

/*
 * Returns when adm_take_expired() or adm_take_ready() may return a ticket
 * though no call starts or ends until then; UINT64_MAX: never.
 */
uint64_t adm_get_due_ms(struct adm_gate *gate, uint64_t now_ms);

/* Returns why the calls that adm_take_expired() returns are refused. */
enum adm_refusal adm_get_waiting_refusal(const struct adm_gate *gate);

/* Removes a waiting call whose caller has disconnected. */
void adm_cancel_waiting(struct adm_gate *gate, void *ticket);

enum adm_outcome {
	ADM_OUTCOME_GOOD,
	ADM_OUTCOME_ERROR, /* the target answered with a 5xx status */
	ADM_OUTCOME_SHED,  /* the target answered that it is overloaded */
	ADM_OUTCOME_TIMEOUT,
	ADM_OUTCOME_CONNECTION_ERROR, /* the connection was refused or lost */
	ADM_OUTCOME_CANCELLED,	      /* no evidence about the target */
};

/*
 * Records that a call that started at started_ms ended at now_ms. latency_us is
 * the time until the head of its answer arrived.
 */
void adm_finish(struct adm_gate *gate, enum adm_outcome outcome,
		uint64_t started_ms, uint32_t latency_us, uint64_t now_ms);

/*
 * Records how long a call of a kind ran, until the head of its answer, and kept
 * its slot. Call it before adm_finish(). No effect before adm_use_classes().
 */
void adm_record_run(struct adm_gate *gate, const char *kind, uint32_t run_us,
		    uint32_t hold_us, uint64_t now_ms);

/* When the answer to a call that is sent now can be expected; 0: not known. */
struct adm_expectation {
	uint32_t wait_us; /* in the queue of the target */
	uint32_t run_us;
};

/*
 * Returns what is expected of a call of a kind that is counted as running since
 * now. All members are 0 before adm_use_classes().
 */
struct adm_expectation adm_expect_run(const struct adm_gate *gate,
				      const char *kind, uint64_t now_ms);

/*
 * Records what the target reports about its load. Returns false when the
 * report cannot be true.
 */
bool adm_record_report(struct adm_gate *gate, const struct cap_report *report,
		       uint64_t now_ms);

/* Fills load with the values that are reported in the headers of an answer. */
void adm_get_load(const struct adm_gate *gate, struct rt_load *load);

/* Returns the number of waiting calls. */
uint32_t adm_get_waiting_count(const struct adm_gate *gate);

#endif
