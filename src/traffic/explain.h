/*
 * Internal declarations of src/traffic: explanations of where a request would
 * go.
 */
#ifndef TR_EXPLAIN_H
#define TR_EXPLAIN_H

#include "thread.h"

/* Creates and ends the inquiries of a service, on the control thread. */
bool tr_open_inquiries(struct tr_service *service,
		       struct tevent_context *events, GError **error);
void tr_close_inquiries(struct tr_service *service);

/*
 * Answers a question on the traffic thread. Changes nothing that calls depend
 * on.
 */
void tr_answer_question(const struct tr_thread *thread, uint64_t inquiry,
			const struct tr_question *question);

/* Returns a copy of a question, which tr_free_question() frees. */
struct tr_question *tr_copy_question(const struct tr_question *question);
void tr_free_question(struct tr_question *question);

#endif
