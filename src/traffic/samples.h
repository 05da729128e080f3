/*
 * Samples: how attempts ended, counted by series and handed to control.
 */
#ifndef TR_SAMPLES_H
#define TR_SAMPLES_H

#include "thread.h"

/* Opens and closes the queue to the control thread. */
void tr_open_samples(struct tr_service *service, struct tevent_context *events);
void tr_close_samples(struct tr_service *service);

/* Opens the counts of a thread and their hand-over every second. */
void tr_open_thread_samples(struct tr_thread *thread);

/* Counts the end of an attempt of the entry side. */
void tr_note_sample(struct tr_call *call, enum mv_outcome outcome);

#endif
