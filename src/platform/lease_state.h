/*
 * State of one competitor for a lease. Pure: the time and the source of random
 * numbers are arguments.
 *
 * The lease is an object on the platform; each renewal increases its version.
 * A holder counts the duration from before it sent the renewal, a competitor
 * from when it first read the version, so that no two clocks are compared. A
 * tenure is the time from acquiring the lease to losing it.
 *
 * A store with eras may have lost renewals, and then shows a lease as free or
 * unchanged that somebody holds. A competitor therefore takes a lease only
 * after it has followed the era of the lease for a duration and a margin. Only
 * a holder whose tenure has not run out, and that the object still names, goes
 * on at once.
 */
#ifndef LOOM_PLATFORM_LEASE_STATE_H
#define LOOM_PLATFORM_LEASE_STATE_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>
#include "backoff.h"

enum plat_lease_action {
	PLAT_LEASE_READ,
	PLAT_LEASE_WRITE, /* write if the object is at expected_version */
};

struct plat_lease_plan {
	enum plat_lease_action action;
	uint32_t delay_ms;
	uint64_t expected_version;
};

struct plat_lease_state {
	uint32_t duration_ms;
	uint32_t margin_ms;
	uint64_t version;	     /* last one received; 0: absent */
	uint64_t seen_ms;	     /* when version was first read */
	uint32_t holder_duration_ms; /* read from the object */
	bool is_free;		     /* absent or released */
	bool is_own;		     /* this competitor wrote version */
	bool is_read_last;	     /* the last event was a read */
	bool is_outcome_unknown;     /* last write may have had an effect */
	bool is_conflict_last;	     /* the last event was a conflict */
	uint64_t sent_ms;	     /* when the last write was sent */
	uint64_t valid_until_ms;     /* 0: never held, or lost */
	uint64_t fencing_version;    /* stamp of the tenure; 0: none */
	uint64_t era;		     /* of version */
	uint64_t era_seen_ms;	     /* when a read first showed era; 0: none */
	uint64_t suspended_until_ms; /* end of the tenure when the era rose */
	struct plat_backoff backoff;
};

/* The lease object as it was read. */
struct plat_lease_view {
	uint64_t version;     /* 0: absent */
	bool is_free;	      /* absent or released */
	bool is_own;	      /* holds the last write of this competitor */
	uint32_t duration_ms; /* written by its holder; 0: unknown */
	bool is_holder;	      /* names this competitor as the holder */
	bool has_era;	      /* the store has eras */
	uint64_t era;
};

/* Initializes a competitor that has not yet read the lease. */
void plat_start_lease(struct plat_lease_state *state, uint32_t duration_ms);

/* Handles a read whose response arrived at now_ms. */
void plat_note_lease_read(struct plat_lease_state *state,
			  const struct plat_lease_view *view, uint64_t now_ms);

/*
 * Handles a new era of the store: the tenure is suspended until a read shows
 * that the store still has it.
 */
void plat_note_lease_era(struct plat_lease_state *state, uint64_t now_ms);

/* Must be called immediately before a write is sent: validity starts here. */
void plat_note_lease_sent(struct plat_lease_state *state, uint64_t now_ms);

/* Handles a write that took effect; version is the new version. */
void plat_note_lease_written(struct plat_lease_state *state, uint64_t version,
			     uint64_t now_ms);

/* Handles a write that failed because another competitor wrote version. */
void plat_note_lease_conflict(struct plat_lease_state *state, uint64_t version,
			      uint64_t now_ms);

/*
 * Handles a failed read or write. is_unknown: it is a write that may have taken
 * effect.
 */
void plat_note_lease_failure(struct plat_lease_state *state, bool is_unknown);

/* Returns whether the lease is held at now_ms. */
bool plat_is_held_at(const struct plat_lease_state *state, uint64_t now_ms);

/*
 * Returns what to do next, and when. Call it once after each event: it may
 * advance the backoff.
 */
struct plat_lease_plan plat_plan_lease(struct plat_lease_state *state,
				       uint64_t now_ms, GRand *random);

#endif
