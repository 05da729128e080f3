/*
 * Calls that a target does not answer.
 *
 * A target may never answer a call that it can neither run nor queue, and
 * nothing more on that connection. This module tells such a call from one that
 * runs slowly: its answer is long overdue, while the target has answered calls
 * that were sent later, and the reports of the target show fewer calls than it
 * was sent.
 *
 * Decisions take the time as an argument and do no I/O. One object for the
 * local target, used by one thread.
 */
#ifndef TR_SILENCE_H
#define TR_SILENCE_H

#include <stdbool.h>
#include <stdint.h>
#include "loom/capacity.h"

/* Whether a report counts the call whose answer it comes with. */
enum tr_own_call {
	TR_OWN_CALL_UNKNOWN, /* taken for left out */
	TR_OWN_CALL_COUNTED,
	TR_OWN_CALL_LEFT_OUT,
};

/* What is known of the target; zero-initialized. */
struct tr_silence {
	uint32_t silence_ms; /* 0: off */
	uint32_t in_flight;  /* calls that were sent and wait for an answer */
	uint64_t answered_start_us; /* latest start of a call with an answer */
	uint64_t report_ms;	    /* last report; 0: none */
	/* First of the last reports that all showed too few calls; 0: none. */
	uint64_t missing_ms;
	enum tr_own_call own_call;
};

/* A call whose request was sent whole, and whose answer has not begun. */
struct tr_sent {
	uint64_t started_us;
	uint32_t wait_us; /* expected wait in the target's queue */
	uint32_t run_us;  /* expected run time; 0: not known */
};

/* The target has restarted: what it answered before does not count. */
void tr_clear_silence(struct tr_silence *silence);

/*
 * Records that the head of an answer to a call came, which does not count as in
 * flight any more: the target may have ended it long before its caller has read
 * the answer. started_us is 0 if the target has shed the call.
 */
void tr_record_head(struct tr_silence *silence, uint64_t started_us);

/* Records a report that came with an answer. */
void tr_record_presence(struct tr_silence *silence,
			const struct cap_report *report, uint64_t now_ms);

/*
 * Returns when the answer is so long overdue that tr_is_unanswered() may be
 * true; 0: never.
 */
uint64_t tr_get_overdue_ms(const struct tr_silence *silence,
			   const struct tr_sent *sent);

/* Returns whether the call counts as unanswered. */
bool tr_is_unanswered(const struct tr_silence *silence,
		      const struct tr_sent *sent, uint64_t now_ms);

#endif
