/* Event queue: a binary heap ordered by due time, then by serial number. */
#include "event_queue.h"

#include <glib.h>
#include <stdbool.h>

struct event {
	uint64_t due_us;
	uint64_t serial;
	event_fn fn;
	void *data;
};

struct event_queue {
	struct event *heap;
	size_t count;
	size_t capacity;
	uint64_t last_serial;
};

static bool is_before(const struct event *a, const struct event *b)
{
	if (a->due_us != b->due_us)
		return a->due_us < b->due_us;
	return a->serial < b->serial;
}

static void swap(struct event_queue *queue, size_t a, size_t b)
{
	struct event kept = queue->heap[a];

	queue->heap[a] = queue->heap[b];
	queue->heap[b] = kept;
}

static void sift_up(struct event_queue *queue, size_t child)
{
	while (child > 0) {
		size_t parent = (child - 1) / 2;

		if (!is_before(&queue->heap[child], &queue->heap[parent]))
			return;
		swap(queue, child, parent);
		child = parent;
	}
}

static void sift_down(struct event_queue *queue)
{
	size_t parent = 0;

	for (;;) {
		size_t child = parent * 2 + 1;

		if (child >= queue->count)
			return;
		if (child + 1 < queue->count &&
		    is_before(&queue->heap[child + 1], &queue->heap[child]))
			child++;
		if (!is_before(&queue->heap[child], &queue->heap[parent]))
			return;
		swap(queue, child, parent);
		parent = child;
	}
}

struct event_queue *event_new_queue(TALLOC_CTX *ctx)
{
	struct event_queue *queue = talloc_zero(ctx, struct event_queue);

	queue->capacity = 1024;
	queue->heap = talloc_array(queue, struct event, queue->capacity);
	return queue;
}

void event_add(struct event_queue *queue, uint64_t due_us, event_fn fn,
	       void *data)
{
	if (queue->count == queue->capacity) {
		queue->capacity *= 2;
		queue->heap = talloc_realloc(queue, queue->heap, struct event,
					     queue->capacity);
	}
	queue->heap[queue->count] = (struct event){
		.due_us = due_us,
		.serial = ++queue->last_serial,
		.fn = fn,
		.data = data,
	};
	sift_up(queue, queue->count++);
}

void event_run(struct event_queue *queue)
{
	while (queue->count > 0) {
		struct event first = queue->heap[0];

		queue->heap[0] = queue->heap[--queue->count];
		sift_down(queue);
		first.fn(first.due_us, first.data);
	}
}
