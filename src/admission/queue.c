/*
 * Queue of calls that wait for a slot.
 *
 * Calls are ordered by priority, and by arrival within a priority. A queue that
 * has not been empty for SUSTAINED_OVERLOAD_MS indicates a sustained overload.
 * From then on a call also expires when it can no longer be answered within its
 * objective, so that the slots go to calls that can.
 *
 * Invariant: busy_since_ms is valid only while a call waits.
 */
#include "queue.h"

#define SUSTAINED_OVERLOAD_MS 100U

struct adm_waiting {
	void *ticket;
	uint64_t deadline_ms;
	uint64_t objective_ms;
	uint32_t priority;
};

static void *remove_link(struct adm_queue *queue, GList *link)
{
	struct adm_waiting *waiting = link->data;
	void *ticket = waiting->ticket;

	g_queue_delete_link(&queue->waiting, link);
	g_free(waiting);
	return ticket;
}

static bool is_expired(const struct adm_queue *queue,
		       const struct adm_waiting *waiting, uint64_t now_ms,
		       uint32_t service_ms)
{
	if (now_ms >= waiting->deadline_ms)
		return true;
	return adm_is_overload_sustained(queue, now_ms) &&
	       now_ms + service_ms >= waiting->objective_ms;
}

void adm_init_queue(struct adm_queue *queue)
{
	g_queue_init(&queue->waiting);
	queue->busy_since_ms = 0;
}

void adm_clear_queue(struct adm_queue *queue)
{
	while (adm_pop_first(queue))
		;
}

/* Returns the last link of the same or a higher priority, or NULL. */
static GList *find_last(const struct adm_queue *queue, uint32_t priority)
{
	GList *link = queue->waiting.tail;

	while (link &&
	       ((const struct adm_waiting *)link->data)->priority > priority)
		link = link->prev;
	return link;
}

void adm_push_waiting(struct adm_queue *queue, const struct adm_call *call,
		      uint64_t now_ms)
{
	struct adm_waiting *waiting = g_new(struct adm_waiting, 1);
	GList *last = find_last(queue, call->priority);

	waiting->ticket = call->ticket;
	waiting->deadline_ms = call->deadline_ms;
	waiting->objective_ms = call->deadline_ms;
	if (call->objective_ms > 0 && call->objective_ms < call->deadline_ms)
		waiting->objective_ms = call->objective_ms;
	waiting->priority = call->priority;
	if (g_queue_is_empty(&queue->waiting))
		queue->busy_since_ms = now_ms;
	if (last)
		g_queue_insert_after(&queue->waiting, last, waiting);
	else
		g_queue_push_head(&queue->waiting, waiting);
}

uint32_t adm_count_ahead(const struct adm_queue *queue, uint32_t priority)
{
	uint32_t count = 0;

	for (GList *link = find_last(queue, priority); link; link = link->prev)
		count++;
	return count;
}

bool adm_displace_waiting(struct adm_queue *queue, uint32_t priority)
{
	struct adm_waiting *last = g_queue_peek_tail(&queue->waiting);

	if (!last || last->priority <= priority)
		return false;
	last->deadline_ms = 0;
	return true;
}

bool adm_is_overload_sustained(const struct adm_queue *queue, uint64_t now_ms)
{
	return !g_queue_is_empty((GQueue *)&queue->waiting) &&
	       now_ms >= queue->busy_since_ms + SUSTAINED_OVERLOAD_MS;
}

void *adm_pop_next(struct adm_queue *queue, uint64_t now_ms,
		   uint32_t service_ms)
{
	for (GList *link = queue->waiting.head; link; link = link->next) {
		if (!is_expired(queue, link->data, now_ms, service_ms))
			return remove_link(queue, link);
	}
	return NULL;
}

void *adm_pop_expired(struct adm_queue *queue, uint64_t now_ms,
		      uint32_t service_ms)
{
	for (GList *link = queue->waiting.head; link; link = link->next) {
		if (is_expired(queue, link->data, now_ms, service_ms))
			return remove_link(queue, link);
	}
	return NULL;
}

void adm_expire_queue(struct adm_queue *queue)
{
	for (GList *link = queue->waiting.head; link; link = link->next)
		((struct adm_waiting *)link->data)->deadline_ms = 0;
}

void *adm_pop_first(struct adm_queue *queue)
{
	GList *link = queue->waiting.head;

	return link ? remove_link(queue, link) : NULL;
}

bool adm_remove_waiting(struct adm_queue *queue, const void *ticket)
{
	for (GList *link = queue->waiting.head; link; link = link->next) {
		const struct adm_waiting *waiting = link->data;

		if (waiting->ticket != ticket)
			continue;
		remove_link(queue, link);
		return true;
	}
	return false;
}

uint32_t adm_get_queue_length(const struct adm_queue *queue)
{
	return g_queue_get_length((GQueue *)&queue->waiting);
}
