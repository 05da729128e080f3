/*
 * Window of call counts: a ring of slots, each a hash table of series.
 *
 * Invariants: slot number n is stored at index n % MV_SLOT_COUNT; newest is the
 * highest slot number seen, and slots up to newest - MV_SLOT_COUNT have been
 * overwritten. A slot has at most MV_SERIES_MAX series with a target address.
 * Calls beyond these are counted in the series of the same version and route
 * whose address is ""; when a slot has 2 * MV_SERIES_MAX series, calls that
 * need another one are dropped. Each slot records the nodes that reported it,
 * so that no report is merged twice.
 */
#include "window.h"

#include <assert.h>
#include <string.h>

#define MV_SERIES_MAX 512U
#define MV_REPORTER_MAX 4096U
#define MV_BUCKET_FIRST_US 1000U

struct mv_series {
	struct mv_series_key key;
	struct mv_counts counts;
};

struct mv_slot {
	uint64_t number;
	GHashTable *series;    /* set of struct mv_series */
	GHashTable *reporters; /* set of node names */
};

struct mv_window {
	const char *service;
	bool is_used;
	uint64_t newest;
	uint64_t overflow_count;
	struct mv_slot slots[MV_SLOT_COUNT];
};

static guint hash_series(gconstpointer data)
{
	const struct mv_series *series = data;

	return g_str_hash(series->key.version) ^
	       g_str_hash(series->key.route) * 31U ^
	       g_str_hash(series->key.target) * 131U;
}

static gboolean are_series_equal(gconstpointer left, gconstpointer right)
{
	const struct mv_series *a = left;
	const struct mv_series *b = right;

	return strcmp(a->key.target, b->key.target) == 0 &&
	       strcmp(a->key.route, b->key.route) == 0 &&
	       strcmp(a->key.version, b->key.version) == 0;
}

static void free_series(gpointer data)
{
	talloc_free(data);
}

static int destroy_window(struct mv_window *window)
{
	for (uint32_t i = 0; i < MV_SLOT_COUNT; i++) {
		g_hash_table_destroy(window->slots[i].series);
		g_hash_table_destroy(window->slots[i].reporters);
	}
	return 0;
}

static void clear_slot(struct mv_slot *slot, uint64_t number)
{
	g_hash_table_remove_all(slot->series);
	g_hash_table_remove_all(slot->reporters);
	slot->number = number;
}

static void advance_window(struct mv_window *window, uint64_t slot)
{
	uint64_t first = window->newest + 1;

	if (!window->is_used || slot >= first + MV_SLOT_COUNT)
		first = slot >= MV_SLOT_COUNT ? slot - MV_SLOT_COUNT + 1 : 0;
	for (uint64_t n = first; n <= slot; n++)
		clear_slot(&window->slots[n % MV_SLOT_COUNT], n);
	window->newest = slot;
	window->is_used = true;
}

static const struct mv_slot *find_slot(const struct mv_window *window,
				       uint64_t number)
{
	const struct mv_slot *slot = &window->slots[number % MV_SLOT_COUNT];

	if (!window->is_used || slot->number != number)
		return NULL;
	return slot;
}

static struct mv_series *add_series(struct mv_window *window,
				    struct mv_slot *slot,
				    const struct mv_series_key *key)
{
	struct mv_series *series = talloc_zero(window, struct mv_series);

	series->key.version = talloc_strdup(series, key->version);
	series->key.route = talloc_strdup(series, key->route);
	series->key.target = talloc_strdup(series, key->target);
	g_hash_table_add(slot->series, series);
	return series;
}

static struct mv_series *find_series(struct mv_window *window,
				     struct mv_slot *slot,
				     const struct mv_series_key *key,
				     uint32_t calls)
{
	struct mv_series lookup = { .key = *key };
	struct mv_series *series = g_hash_table_lookup(slot->series, &lookup);

	if (series)
		return series;
	if (g_hash_table_size(slot->series) < MV_SERIES_MAX)
		return add_series(window, slot, key);
	window->overflow_count += calls;
	lookup.key.target = "";
	series = g_hash_table_lookup(slot->series, &lookup);
	if (!series && g_hash_table_size(slot->series) < 2 * MV_SERIES_MAX)
		series = add_series(window, slot, &lookup.key);
	return series;
}

static void add_count(uint32_t *count, uint32_t more)
{
	*count = *count > UINT32_MAX - more ? UINT32_MAX : *count + more;
}

uint32_t mv_get_latency_bucket(uint32_t latency_us)
{
	uint64_t upper_us = MV_BUCKET_FIRST_US;
	uint32_t bucket = 0;

	while (bucket + 1 < MV_LATENCY_BUCKETS && latency_us >= upper_us) {
		upper_us += upper_us / 2;
		bucket++;
	}
	return bucket;
}

void mv_add_call(struct mv_counts *counts, enum mv_outcome outcome,
		 uint32_t latency_us)
{
	switch (outcome) {
	case MV_OUTCOME_GOOD:
		add_count(&counts->calls, 1);
		add_count(&counts->latency[mv_get_latency_bucket(latency_us)],
			  1);
		break;
	case MV_OUTCOME_FAILED:
		add_count(&counts->calls, 1);
		add_count(&counts->failed, 1);
		break;
	case MV_OUTCOME_COLD:
		add_count(&counts->cold, 1);
		break;
	case MV_OUTCOME_REFUSED:
		add_count(&counts->refused, 1);
		break;
	case MV_OUTCOME_LOST:
		add_count(&counts->lost, 1);
		break;
	}
}

void mv_add_counts(struct mv_counts *counts, const struct mv_counts *more)
{
	add_count(&counts->calls, more->calls);
	add_count(&counts->failed, more->failed);
	add_count(&counts->cold, more->cold);
	add_count(&counts->refused, more->refused);
	add_count(&counts->lost, more->lost);
	for (uint32_t i = 0; i < MV_LATENCY_BUCKETS; i++)
		add_count(&counts->latency[i], more->latency[i]);
}

struct mv_window *mv_new_window(TALLOC_CTX *ctx, const char *service)
{
	struct mv_window *window = talloc_zero(ctx, struct mv_window);

	assert(service);
	window->service = talloc_strdup(window, service);
	for (uint32_t i = 0; i < MV_SLOT_COUNT; i++) {
		window->slots[i].series = g_hash_table_new_full(
			hash_series, are_series_equal, free_series, NULL);
		window->slots[i].reporters = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, NULL);
	}
	talloc_set_destructor(window, destroy_window);
	return window;
}

uint64_t mv_get_slot(uint64_t now_ms)
{
	return now_ms / MV_SLOT_MS;
}

bool mv_record_counts(struct mv_window *window, uint64_t slot,
		      const struct mv_series_key *key,
		      const struct mv_counts *counts)
{
	struct mv_slot *stored = &window->slots[slot % MV_SLOT_COUNT];
	struct mv_series *series;

	if (!window->is_used || slot > window->newest)
		advance_window(window, slot);
	if (stored->number != slot)
		return false;
	series = find_series(window, stored, key, counts->calls);
	if (series)
		mv_add_counts(&series->counts, counts);
	return true;
}

void mv_each_series(const struct mv_window *window, uint64_t slot,
		    mv_series_fn fn, void *data)
{
	const struct mv_slot *stored = find_slot(window, slot);
	GHashTableIter iter;
	gpointer key;

	if (!stored)
		return;
	g_hash_table_iter_init(&iter, stored->series);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct mv_series *series = key;

		fn(&series->key, &series->counts, data);
	}
}

uint64_t mv_get_overflow_count(const struct mv_window *window)
{
	return window->overflow_count;
}

const char *mv_get_window_service(const struct mv_window *window)
{
	return window->service;
}

bool mv_add_reporter(struct mv_window *window, uint64_t slot, const char *node)
{
	struct mv_slot *stored = &window->slots[slot % MV_SLOT_COUNT];

	if (!window->is_used || slot > window->newest)
		advance_window(window, slot);
	if (stored->number != slot ||
	    g_hash_table_size(stored->reporters) >= MV_REPORTER_MAX)
		return false;
	return g_hash_table_add(stored->reporters, g_strdup(node));
}
