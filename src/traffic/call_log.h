/*
 * Log lines about calls: one for each decision that affects a caller adversely.
 */
#ifndef TR_CALL_LOG_H
#define TR_CALL_LOG_H

#include "call.h"

/*
 * Logs a decision about a call: the step, its outcome, and the state on which
 * it was based. The number of lines per second is limited in each thread; a
 * separate line gives the number of suppressed lines.
 */
void tr_log_call(struct tr_call *call, const char *step, const char *outcome);

/* Logs a call whose complete answer came later than its route's objective. */
void tr_log_late_answer(struct tr_call *call);

/*
 * Counts a header of another node that cannot be parsed, and logs it at most
 * once a second in each thread.
 */
void tr_record_malformed_header(struct tr_call *call, const char *name);

/* Starts the timer that logs the number of suppressed lines every second. */
void tr_open_call_log(struct tr_thread *thread);

#endif
