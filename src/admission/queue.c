/*
 * Queue of calls that wait for a slot.
 *
 * It is first in, first out. When it has not been empty for a while the
 * overload is lasting: then calls that cannot be answered before their
 * deadline any more are passed over, so that the slots go to calls that can.
 *
 * Invariant: busy_since_ms is valid only while a call waits.
 */
#include "queue.h"

#define LASTING_OVERLOAD_MS 100U

struct adm_waiting {
	void *ticket;
	uint64_t deadline_ms;
};

static void *remove_link(struct adm_queue *queue, GList *link)
{
	struct adm_waiting *waiting = link->data;
	void *ticket = waiting->ticket;

	g_queue_delete_link(&queue->waiting, link);
	g_free(waiting);
	return ticket;
}

static bool is_hopeless(const struct adm_queue *queue,
			const struct adm_waiting *waiting, uint64_t now_ms,
			uint32_t service_ms)
{
	if (now_ms >= waiting->deadline_ms)
		return true;
	if (now_ms < queue->busy_since_ms + LASTING_OVERLOAD_MS)
		return false;
	return now_ms + service_ms >= waiting->deadline_ms;
}

void adm_init_queue(struct adm_queue *queue)
{
	g_queue_init(&queue->waiting);
	queue->busy_since_ms = 0;
}

void adm_clear_queue(struct adm_queue *queue)
{
	while (adm_take_oldest(queue))
		;
}

void adm_push_waiting(struct adm_queue *queue, void *ticket, uint64_t now_ms,
		      uint64_t deadline_ms)
{
	struct adm_waiting *waiting = g_new(struct adm_waiting, 1);

	waiting->ticket = ticket;
	waiting->deadline_ms = deadline_ms;
	if (g_queue_is_empty(&queue->waiting))
		queue->busy_since_ms = now_ms;
	g_queue_push_tail(&queue->waiting, waiting);
}

void *adm_take_waiting(struct adm_queue *queue, uint64_t now_ms,
		       uint32_t service_ms)
{
	for (GList *link = queue->waiting.head; link; link = link->next) {
		if (!is_hopeless(queue, link->data, now_ms, service_ms))
			return remove_link(queue, link);
	}
	return NULL;
}

void *adm_take_hopeless(struct adm_queue *queue, uint64_t now_ms,
			uint32_t service_ms)
{
	for (GList *link = queue->waiting.head; link; link = link->next) {
		if (is_hopeless(queue, link->data, now_ms, service_ms))
			return remove_link(queue, link);
	}
	return NULL;
}

void adm_expire_queue(struct adm_queue *queue)
{
	for (GList *link = queue->waiting.head; link; link = link->next)
		((struct adm_waiting *)link->data)->deadline_ms = 0;
}

void *adm_take_oldest(struct adm_queue *queue)
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
