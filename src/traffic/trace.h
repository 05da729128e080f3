/*
 * Log lines about calls: one for each decision that a caller may complain of.
 */
#ifndef TR_TRACE_H
#define TR_TRACE_H

#include "call.h"

/*
 * Writes a line about a call: the step of the node that decided, what came of
 * it, and what it was decided on. Bounded a second in each thread; what is left
 * out is counted in a line of its own.
 */
void tr_trace_call(struct tr_call *call, const char *step, const char *outcome);

/* Writes a line when the whole answer came later than its route's objective. */
void tr_trace_late_answer(struct tr_call *call);

/* Says how many lines were left out, once a second. */
void tr_open_traces(struct tr_thread *thread);

#endif
