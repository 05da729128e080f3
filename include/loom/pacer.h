/*
 * Pacer of answers: decides when the bytes of answers may be sent, so that
 * large answers use the link of the vm only as far as short ones leave it free.
 *
 * A token bucket holds what the link carries. Short answers are sent at once
 * and may drive the bucket into debt. Large ones send from a positive bucket
 * only, one after the other: first those that have begun, then by the earliest
 * deadline.
 *
 * The functions do no I/O and take the time in microseconds of any monotonic
 * clock. A pacer may be used only in one thread.
 */
#ifndef LOOM_PACER_H
#define LOOM_PACER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>
#include <talloc.h>

/* A longer answer is large. */
#define PACE_SHORT_BYTES_MAX 16384U

struct pace_pacer;

/*
 * One large answer, zeroed by its owner, who sets data and deadline_us and
 * leaves the rest to the pacer. It must leave the order before it is freed.
 */
struct pace_flow {
	void *data;
	uint64_t deadline_us; /* not changed while it waits; 0: none */
	GList link;	      /* of the order */
	uint64_t left_bytes;  /* known to be sent still */
	uint64_t joined_us;   /* when it first asked to send; 0: not yet */
	bool is_waiting;      /* in the order */
	bool has_begun;	      /* some of it was sent */
};

/*
 * Returns a new pacer owned by ctx for a link of this speed. With the speed 0
 * it lets everything pass.
 */
struct pace_pacer *pace_new_pacer(TALLOC_CTX *ctx, uint64_t link_kbit_s,
				  uint64_t now_us);

/*
 * Adds the flow to the order, if it is not in it, and returns how many bytes it
 * may send now; 0 when it must wait. left_bytes is what is known to be sent
 * still, at least 1.
 */
uint64_t pace_get_allowance(struct pace_pacer *pacer, struct pace_flow *flow,
			    uint64_t left_bytes, uint64_t now_us);

/* Charges bytes of a large answer, whose flow has an allowance. */
void pace_record_large(struct pace_pacer *pacer, struct pace_flow *flow,
		       uint64_t bytes, uint64_t now_us);

/* Charges bytes of a short answer. */
void pace_record_short(struct pace_pacer *pacer, uint64_t bytes,
		       uint64_t now_us);

/*
 * Removes the flow from the order, if it is in it: it is complete or closed,
 * its peer does not read, or its next bytes have not arrived. It may come back.
 */
void pace_remove_flow(struct pace_pacer *pacer, struct pace_flow *flow);

/* Returns the flow that sends next (borrowed), NULL when none waits. */
struct pace_flow *pace_get_next(const struct pace_pacer *pacer);

/* Returns the time until the next flow should try to send; 0: now. */
uint64_t pace_get_wait_us(struct pace_pacer *pacer, uint64_t now_us);

/* Returns the number of large answers in the order, the sending one included.
 */
uint32_t pace_get_waiting_count(const struct pace_pacer *pacer);

/*
 * Returns the time until a large answer of this size with this deadline (0:
 * none) would be sent if it started now: those before it in the order and its
 * own bytes, at the speed that short answers have left free of late. Answers
 * that have not started to be sent are unknown to the pacer.
 */
uint64_t pace_get_backlog_us(struct pace_pacer *pacer, uint64_t deadline_us,
			     uint64_t bytes, uint64_t now_us);

/*
 * Returns the longest time from joining the order to the first byte, of the
 * answers that began in the last 10 to 20 s and of those that wait.
 */
uint64_t pace_get_longest_wait_us(struct pace_pacer *pacer, uint64_t now_us);

/*
 * Returns whether the backlog of all flows has passed a second and a log line
 * is due, at most one each second; sets backlog_us then.
 */
bool pace_take_warning(struct pace_pacer *pacer, uint64_t now_us,
		       uint64_t *backlog_us);

#endif
