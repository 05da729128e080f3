/*
 * Admission at the target's node: the adaptive limit on the one local target,
 * the short queue before it, its phase, and true refusals. Pure functions of
 * state, event and time; no I/O. One gate belongs to one thread.
 */
#ifndef LOOM_ADMISSION_H
#define LOOM_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include "loom/document.h"
#include "loom/routing.h"

struct adm_gate;

enum adm_refusal {
	ADM_REFUSAL_NONE,
	ADM_REFUSAL_NO_TARGET,	  /* no target announced here */
	ADM_REFUSAL_WRONG_TARGET, /* another service or version is here */
	ADM_REFUSAL_LEAVING,
	ADM_REFUSAL_DOMAIN_OUT,
	ADM_REFUSAL_QUEUE_FULL,
	ADM_REFUSAL_DEADLINE, /* would not be served before its deadline */
	ADM_REFUSAL_COLD,     /* the target bears no more while it is cold */
	ADM_REFUSAL_DOWN,     /* not reached; waits for its next heartbeat */
};

/* Returns the machine-readable reason, such as "queue_full". */
const char *adm_get_refusal_name(enum adm_refusal refusal);

enum adm_verdict {
	ADM_VERDICT_RUN,
	ADM_VERDICT_WAIT,
	ADM_VERDICT_REFUSE,
};

/* Returns a new gate without a target, owned by ctx. */
struct adm_gate *adm_new_gate(TALLOC_CTX *ctx);

/* Sets the document's bounds; they apply from the next decision. */
void adm_set_limits(struct adm_gate *gate, const struct doc_limits *limits);

/* A target announced itself anew: the limit starts at the start value. */
void adm_announce_target(struct adm_gate *gate, const char *service,
			 const char *version, uint64_t now_ms);

/*
 * The target told its slots: they are the limit from now on, and the queue
 * follows them. 0: they are not known, and the limit adapts.
 */
void adm_set_known_slots(struct adm_gate *gate, uint32_t slots);

/* The target is cold until then; the service's limits bound its calls. */
void adm_set_cold(struct adm_gate *gate, uint64_t until_ms);

/* The target could not be reached: refuse until adm_note_alive(). */
void adm_note_down(struct adm_gate *gate);

/* The target was heard from. */
void adm_note_alive(struct adm_gate *gate);

/* The target drains or is gone: refuse from now on. */
void adm_drain_target(struct adm_gate *gate);

/* The node's own failure domain was taken out or is in again. */
void adm_set_domain_out(struct adm_gate *gate, bool is_out);

/* Hint of the target's own health or load endpoint; can only lower. */
void adm_note_hint(struct adm_gate *gate, uint32_t bearable_calls,
		   uint64_t now_ms);

/* A call that asks for admission. */
struct adm_call {
	const char *service;
	const char *version;
	void *ticket; /* the caller's handle, see adm_take_ready() */
	uint64_t deadline_ms;
	uint64_t objective_ms; /* an answer by then is worth most; 0: none */
	uint32_t priority;     /* 0 is the highest */
};

/*
 * Asks for admission of a call. On ADM_VERDICT_REFUSE *refusal is set and the
 * call was not run. After ADM_VERDICT_WAIT a call of lower priority may have
 * lost its place: see adm_take_expired().
 */
enum adm_verdict adm_admit(struct adm_gate *gate, const struct adm_call *call,
			   uint64_t now_ms, enum adm_refusal *refusal);

/* Returns the next waiting ticket that may run now, or NULL. */
void *adm_take_ready(struct adm_gate *gate, uint64_t now_ms);

/*
 * Returns the next waiting ticket that is refused now, or NULL: its deadline
 * passed or, under lasting overload, its objective cannot be met any more; or
 * the gate closed, and then every waiting ticket is returned in turn. None of
 * them ran.
 */
void *adm_take_expired(struct adm_gate *gate, uint64_t now_ms);

/* Returns the reason for the tickets that adm_take_expired() gives out. */
enum adm_refusal adm_get_waiting_refusal(const struct adm_gate *gate);

/* A waiting call goes away (its caller hung up). */
void adm_cancel_waiting(struct adm_gate *gate, void *ticket);

enum adm_outcome {
	ADM_OUTCOME_GOOD,
	ADM_OUTCOME_ERROR, /* the target answered with 5xx */
	ADM_OUTCOME_SHED,  /* the target itself said it is overloaded */
	ADM_OUTCOME_TIMEOUT,
	ADM_OUTCOME_BROKEN,    /* connection refused or lost */
	ADM_OUTCOME_CANCELLED, /* no evidence about the target */
};

/*
 * A call that ran since started_ms ended at now_ms; latency_us is the time to
 * the head of its answer.
 */
void adm_finish(struct adm_gate *gate, enum adm_outcome outcome,
		uint64_t started_ms, uint32_t latency_us, uint64_t now_ms);

/* Fills load with limit, in-flight count and phase for the answer header. */
void adm_get_load(const struct adm_gate *gate, struct rt_load *load);

/* Returns how many calls wait. */
uint32_t adm_get_waiting_count(const struct adm_gate *gate);

#endif
