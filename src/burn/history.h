/*
 * Internals of the history, shared with its JSON form.
 */
#ifndef BURN_HISTORY_H
#define BURN_HISTORY_H

#include "loom/burn.h"

#define MINUTE_MS 60000ULL
#define FINE_SLOTS 360U
#define COARSE_SLOTS 432U

struct burn_slot {
	uint32_t calls;
	uint32_t failed;
	uint32_t slow;
};

struct burn_ring {
	uint32_t size;
	uint32_t slot_minutes;
	uint64_t newest;
	struct burn_slot *slots;
};

struct burn_series {
	struct burn_key key;
	struct burn_ring fine;
	struct burn_ring coarse;
	struct burn_slot fine_slots[FINE_SLOTS];
	struct burn_slot coarse_slots[COARSE_SLOTS];
};

struct burn_history {
	uint64_t since_ms;
	GHashTable *series; /* struct burn_key to struct burn_series */
};

/* Returns the series of a key, made when it is new (borrowed from history). */
struct burn_series *burn_get_series(struct burn_history *history,
				    const struct burn_key *key);

/* Returns the number of the slot that holds a time. */
uint64_t burn_get_slot_number(const struct burn_ring *ring, uint64_t time_ms);

/* Adds counts to a slot; one that is too old is passed over. */
void burn_add_to_ring(struct burn_ring *ring, uint64_t number,
		      const struct burn_counts *counts);

/* Returns the slot of a number (borrowed), or NULL when it is not kept. */
const struct burn_slot *burn_find_slot(const struct burn_ring *ring,
				       uint64_t number);

/* Returns whether a series is one that the filter names. */
bool burn_is_matched(const struct burn_key *filter, const struct burn_key *key);

#endif
