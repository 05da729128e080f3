/*
 * Data structure of the history, shared by its own functions, by its conversion
 * to and from JSON and by the report. history.c gives the invariants.
 */
#ifndef BURN_HISTORY_H
#define BURN_HISTORY_H

#include "loom/burn.h"

#define MINUTE_MS 60000ULL
#define FINE_SLOTS 360U
#define COARSE_SLOTS 432U

/* Counts of one time slot; they stop at UINT32_MAX. */
struct burn_slot {
	uint32_t calls;
	uint32_t failed;
	uint32_t slow;
};

/* Ring buffer of slots. Slot numbers count slots since 1970. */
struct burn_ring {
	uint32_t size; /* number of slots */
	uint32_t slot_minutes;
	uint64_t newest; /* highest slot number added */
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

/* Returns the series of key (borrowed from history), creating it if needed. */
struct burn_series *burn_get_series(struct burn_history *history,
				    const struct burn_key *key);

/* Returns the number of the slot that contains time_ms. */
uint64_t burn_get_slot_number(const struct burn_ring *ring, uint64_t time_ms);

/* Adds counts to a slot; ignores a slot that is too old for the ring. */
void burn_add_to_ring(struct burn_ring *ring, uint64_t number,
		      const struct burn_counts *counts);

/* Returns the slot with this number (borrowed), or NULL if it is not stored. */
const struct burn_slot *burn_find_slot(const struct burn_ring *ring,
				       uint64_t number);

/* Returns whether the fields of filter that are not NULL equal those of key. */
bool burn_matches_filter(const struct burn_key *filter,
			 const struct burn_key *key);

#endif
