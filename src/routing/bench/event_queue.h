/* Queue of events in virtual time, for the benchmarks. */
#ifndef LOOM_ROUTING_EVENT_QUEUE_H
#define LOOM_ROUTING_EVENT_QUEUE_H

#include <stdint.h>
#include <talloc.h>

struct event_queue;

typedef void (*event_fn)(uint64_t now_us, void *data);

/* Returns a new, empty queue (owned by ctx). */
struct event_queue *event_new_queue(TALLOC_CTX *ctx);

/*
 * Schedules a call of fn with data (borrowed) at due_us. Events with equal
 * times run in order of insertion.
 */
void event_add(struct event_queue *queue, uint64_t due_us, event_fn fn,
	       void *data);

/* Runs all events, including those added meanwhile. */
void event_run(struct event_queue *queue);

#endif
