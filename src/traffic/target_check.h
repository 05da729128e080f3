/*
 * Questions to the local target whether it is cold.
 */
#ifndef TR_TARGET_CHECK_H
#define TR_TARGET_CHECK_H

#include <stdint.h>

struct hc_loop;
struct hc_request;
struct tr_thread;

struct tr_target_check {
	struct hc_loop *loop;	    /* of its own, so that calls do not use its
				       connection */
	struct hc_request *request; /* NULL: none in progress */
	uint64_t asked_ms;
	uint64_t retry_ms; /* not asked again until then */
};

/*
 * Asks the target for its health if the gate needs to know whether it is cold
 * and no question is in progress. Call it after a call was admitted or refused.
 */
void tr_check_target(struct tr_thread *thread);

/* Drops the question to a target that another one follows. */
void tr_cancel_target_check(struct tr_thread *thread);

#endif
