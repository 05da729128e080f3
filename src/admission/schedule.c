/*
 * Schedule of waiting calls: by class, and within a class the earliest deadline
 * first.
 *
 * One start in FAIR_START_PERIOD goes to the call that has waited longest, so
 * that a class whose calls always find others before them still gets some.
 * Invariant: the entries are in the order in which they would start.
 */
#include "schedule.h"

#define FAIR_START_PERIOD 8U

static void *remove_link(struct adm_schedule *schedule, GList *link)
{
	struct adm_entry *entry = link->data;
	void *ticket = entry->ticket;

	g_queue_delete_link(&schedule->waiting, link);
	g_free(entry);
	return ticket;
}

/* Returns the latest time at which the call would have to start. */
static uint64_t get_late_ms(const struct adm_entry *entry)
{
	return entry->latest_end_ms -
	       MIN(entry->latest_end_ms, entry->need_us / 1000);
}

static bool is_late(const struct adm_entry *entry, uint64_t now_ms)
{
	return now_ms >= get_late_ms(entry);
}

static bool is_before(enum rt_class class, uint64_t deadline_ms,
		      const struct adm_entry *entry)
{
	if (class != entry->class)
		return class < entry->class;
	return deadline_ms < entry->deadline_ms;
}

void adm_init_schedule(struct adm_schedule *schedule)
{
	g_queue_init(&schedule->waiting);
	schedule->start_count = 0;
}

void adm_clear_schedule(struct adm_schedule *schedule)
{
	while (adm_take_any(schedule))
		;
}

void adm_add_entry(struct adm_schedule *schedule, const struct adm_entry *entry)
{
	GList *link = schedule->waiting.tail;

	while (link && is_before(entry->class, entry->deadline_ms, link->data))
		link = link->prev;
	if (link)
		g_queue_insert_after(&schedule->waiting, link,
				     g_memdup2(entry, sizeof(*entry)));
	else
		g_queue_push_head(&schedule->waiting,
				  g_memdup2(entry, sizeof(*entry)));
}

uint64_t adm_sum_work_ahead_us(const struct adm_schedule *schedule,
			       enum rt_class class, uint64_t deadline_ms)
{
	uint64_t sum_us = 0;

	for (GList *link = schedule->waiting.head; link; link = link->next) {
		const struct adm_entry *entry = link->data;

		if (is_before(class, deadline_ms, entry))
			break;
		sum_us += entry->run_us;
	}
	return sum_us;
}

static GList *find_longest_waiting(const struct adm_schedule *schedule,
				   uint64_t now_ms)
{
	GList *oldest = NULL;

	for (GList *link = schedule->waiting.head; link; link = link->next) {
		const struct adm_entry *entry = link->data;

		if (is_late(entry, now_ms))
			continue;
		if (!oldest ||
		    entry->arrived_ms <
			    ((struct adm_entry *)oldest->data)->arrived_ms)
			oldest = link;
	}
	return oldest;
}

static GList *find_first(const struct adm_schedule *schedule, uint64_t now_ms)
{
	GList *link = schedule->waiting.head;

	while (link && is_late(link->data, now_ms))
		link = link->next;
	return link;
}

void *adm_take_next(struct adm_schedule *schedule, uint64_t now_ms)
{
	bool is_fair = schedule->start_count + 1 >= FAIR_START_PERIOD;
	GList *link = is_fair ? find_longest_waiting(schedule, now_ms)
			      : find_first(schedule, now_ms);

	if (!link)
		return NULL;
	schedule->start_count = is_fair ? 0 : schedule->start_count + 1;
	return remove_link(schedule, link);
}

uint64_t adm_get_late_ms(const struct adm_schedule *schedule)
{
	uint64_t late_ms = UINT64_MAX;

	for (GList *link = schedule->waiting.head; link; link = link->next)
		late_ms = MIN(late_ms, get_late_ms(link->data));
	return late_ms;
}

void *adm_take_late(struct adm_schedule *schedule, uint64_t now_ms)
{
	for (GList *link = schedule->waiting.head; link; link = link->next) {
		if (is_late(link->data, now_ms))
			return remove_link(schedule, link);
	}
	return NULL;
}

void *adm_take_any(struct adm_schedule *schedule)
{
	GList *link = schedule->waiting.head;

	return link ? remove_link(schedule, link) : NULL;
}

bool adm_displace_entry(struct adm_schedule *schedule, enum rt_class class)
{
	for (GList *link = schedule->waiting.tail; link; link = link->prev) {
		struct adm_entry *entry = link->data;

		if (entry->class <= class)
			break;
		/* It has already lost its place when it is late for good. */
		if (entry->latest_end_ms == 0)
			continue;
		entry->latest_end_ms = 0;
		return true;
	}
	return false;
}

bool adm_remove_entry(struct adm_schedule *schedule, const void *ticket)
{
	for (GList *link = schedule->waiting.head; link; link = link->next) {
		const struct adm_entry *entry = link->data;

		if (entry->ticket != ticket)
			continue;
		remove_link(schedule, link);
		return true;
	}
	return false;
}

void adm_expire_entries(struct adm_schedule *schedule)
{
	for (GList *link = schedule->waiting.head; link; link = link->next)
		((struct adm_entry *)link->data)->latest_end_ms = 0;
}

uint32_t adm_count_entries(const struct adm_schedule *schedule)
{
	return g_queue_get_length((GQueue *)&schedule->waiting);
}
