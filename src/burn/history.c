/*
 * History of call counts: a hash table of series, each with two ring buffers of
 * slots, 360 slots of 1 minute and 432 slots of 10 minutes.
 *
 * Invariants: slot number n is at index n % size. newest is the highest slot
 * number added; numbers at or below newest - size have been overwritten, and
 * skipped slots are zero. There are at most SERIES_MAX series: a new one beyond
 * that replaces the series whose last call is the oldest. The size of a series
 * is fixed, so memory is bounded by SERIES_MAX times that size.
 */
#include "history.h"

#include <string.h>

#define SERIES_MAX 4096U

static const struct burn_ring empty_fine = { .size = FINE_SLOTS,
					     .slot_minutes = 1 };
static const struct burn_ring empty_coarse = { .size = COARSE_SLOTS,
					       .slot_minutes = 10 };

static guint hash_key(gconstpointer data)
{
	const struct burn_key *key = data;

	return g_str_hash(key->service) * 31 + g_str_hash(key->version) * 7 +
	       g_str_hash(key->failure_domain);
}

static gboolean is_same_key(gconstpointer left, gconstpointer right)
{
	const struct burn_key *a = left;
	const struct burn_key *b = right;

	return strcmp(a->service, b->service) == 0 &&
	       strcmp(a->version, b->version) == 0 &&
	       strcmp(a->failure_domain, b->failure_domain) == 0;
}

static int destroy_history(struct burn_history *history)
{
	g_hash_table_destroy(history->series);
	return 0;
}

static void remove_oldest(struct burn_history *history)
{
	struct burn_series *oldest = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, history->series);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct burn_series *series = value;

		if (!oldest || series->fine.newest < oldest->fine.newest)
			oldest = series;
	}
	g_hash_table_remove(history->series, &oldest->key);
	talloc_free(oldest);
}

struct burn_series *burn_get_series(struct burn_history *history,
				    const struct burn_key *key)
{
	struct burn_series *series = g_hash_table_lookup(history->series, key);

	if (series)
		return series;
	if (g_hash_table_size(history->series) >= SERIES_MAX)
		remove_oldest(history);
	series = talloc_zero(history, struct burn_series);
	series->key.service = talloc_strdup(series, key->service);
	series->key.version = talloc_strdup(series, key->version);
	series->key.failure_domain = talloc_strdup(series, key->failure_domain);
	series->fine = empty_fine;
	series->fine.slots = series->fine_slots;
	series->coarse = empty_coarse;
	series->coarse.slots = series->coarse_slots;
	g_hash_table_insert(history->series, &series->key, series);
	return series;
}

uint64_t burn_get_slot_number(const struct burn_ring *ring, uint64_t time_ms)
{
	return time_ms / (ring->slot_minutes * MINUTE_MS);
}

static uint32_t add_saturated(uint32_t value, uint64_t increment)
{
	uint64_t sum = value + increment;

	return sum > UINT32_MAX ? UINT32_MAX : (uint32_t)sum;
}

void burn_add_to_ring(struct burn_ring *ring, uint64_t number,
		      const struct burn_counts *counts)
{
	struct burn_slot *slot = &ring->slots[number % ring->size];

	if (number + ring->size <= ring->newest)
		return;
	if (number >= ring->newest + ring->size)
		memset(ring->slots, 0, ring->size * sizeof(*ring->slots));
	else
		for (uint64_t i = ring->newest + 1; i <= number; i++)
			ring->slots[i % ring->size] = (struct burn_slot){ 0 };
	if (number > ring->newest)
		ring->newest = number;
	slot->calls = add_saturated(slot->calls, counts->calls);
	slot->failed = add_saturated(slot->failed, counts->failed);
	slot->slow = add_saturated(slot->slow, counts->slow);
}

const struct burn_slot *burn_find_slot(const struct burn_ring *ring,
				       uint64_t number)
{
	if (number > ring->newest || number + ring->size <= ring->newest)
		return NULL;
	return &ring->slots[number % ring->size];
}

static void add_ring_sum(const struct burn_ring *ring, uint64_t end_ms,
			 uint32_t minutes, struct burn_counts *sum)
{
	uint64_t last = burn_get_slot_number(ring, end_ms);
	uint64_t count = minutes / ring->slot_minutes;

	for (uint64_t i = 0; i < count && i <= last; i++) {
		const struct burn_slot *slot = burn_find_slot(ring, last - i);

		if (!slot)
			continue;
		sum->calls += slot->calls;
		sum->failed += slot->failed;
		sum->slow += slot->slow;
	}
}

static bool matches_name(const char *wanted, const char *name)
{
	return !wanted || strcmp(wanted, name) == 0;
}

bool burn_matches_filter(const struct burn_key *filter,
			 const struct burn_key *key)
{
	return matches_name(filter->service, key->service) &&
	       matches_name(filter->version, key->version) &&
	       matches_name(filter->failure_domain, key->failure_domain);
}

struct burn_history *burn_new_history(TALLOC_CTX *ctx, uint64_t since_ms)
{
	struct burn_history *history = talloc_zero(ctx, struct burn_history);

	history->since_ms = since_ms;
	history->series = g_hash_table_new(hash_key, is_same_key);
	talloc_set_destructor(history, destroy_history);
	return history;
}

void burn_add_counts(struct burn_history *history, const struct burn_key *key,
		     uint64_t time_ms, const struct burn_counts *counts)
{
	struct burn_series *series = burn_get_series(history, key);

	burn_add_to_ring(&series->fine,
			 burn_get_slot_number(&series->fine, time_ms), counts);
	burn_add_to_ring(&series->coarse,
			 burn_get_slot_number(&series->coarse, time_ms),
			 counts);
}

struct burn_counts burn_sum_counts(const struct burn_history *history,
				   const struct burn_key *filter,
				   uint64_t end_ms, uint32_t minutes)
{
	struct burn_counts sum = { 0 };
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, history->series);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct burn_series *series = value;

		if (!burn_matches_filter(filter, &series->key))
			continue;
		if (minutes <= BURN_FINE_MINUTES)
			add_ring_sum(&series->fine, end_ms, minutes, &sum);
		else
			add_ring_sum(&series->coarse, end_ms, minutes, &sum);
	}
	return sum;
}

uint64_t burn_get_since_ms(const struct burn_history *history)
{
	return history->since_ms;
}

static gint compare_keys(gconstpointer left, gconstpointer right)
{
	const struct burn_key *a = *(const struct burn_key *const *)left;
	const struct burn_key *b = *(const struct burn_key *const *)right;
	int order = strcmp(a->service, b->service);

	if (order == 0)
		order = strcmp(a->failure_domain, b->failure_domain);
	return order ? order : strcmp(a->version, b->version);
}

void burn_for_each_series(const struct burn_history *history, burn_key_fn fn,
			  void *data)
{
	GPtrArray *keys = g_ptr_array_new();
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, history->series);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_ptr_array_add(keys, key);
	g_ptr_array_sort(keys, compare_keys);
	for (guint i = 0; i < keys->len; i++)
		fn(g_ptr_array_index(keys, i), data);
	g_ptr_array_free(keys, TRUE);
}
