/*
 * Samples: counts of ended attempts by series, passed to the control thread.
 */
#ifndef TR_SAMPLES_H
#define TR_SAMPLES_H

#include "thread.h"

/* Create and destroy the mailbox of the control thread, which runs events. */
bool tr_open_samples(struct tr_service *service, struct tevent_context *events,
		     GError **error);
void tr_close_samples(struct tr_service *service);

/* Starts counting in a thread and the periodic transfer of its counts. */
void tr_open_thread_samples(struct tr_thread *thread);

/* Counts an ended attempt of the entry side. */
void tr_count_sample(struct tr_call *call, enum mv_outcome outcome);

#endif
