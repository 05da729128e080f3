/*
 * Tasks of an event loop that run soon.
 *
 * A task runs after the event that scheduled it, without a system call. A loop
 * runs such tasks before it waits for sockets and timers, so tasks that
 * schedule each other again and again would keep these from being handled.
 * After a number of tasks in a row, further ones wait until the loop has
 * handled the events that are ready.
 */
#ifndef LOOM_TURN_H
#define LOOM_TURN_H

#include <talloc.h>
#include <tevent.h>

struct trn_task;

typedef void (*trn_task_fn)(void *data);

/*
 * Returns a new task owned by ctx, which must not outlive events; a child of
 * events does not. Sets the trace callback of events, which must not be used
 * otherwise.
 */
struct trn_task *trn_new_task(TALLOC_CTX *ctx, struct tevent_context *events,
			      trn_task_fn fn, void *data);

/* Lets the task run once; no effect when it has been scheduled already. */
void trn_schedule_task(struct trn_task *task);

#endif
