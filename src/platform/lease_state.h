/*
 * State of one competitor for a lease. Pure: the time is an argument and the
 * jitter comes from the random numbers that are passed.
 *
 * The lease is an object on the platform; each renewal rises its version. A
 * holder counts its validity from before the renewal was sent, a competitor
 * from when it first saw the version, so that no two clocks are compared.
 */
#ifndef LOOM_PLATFORM_LEASE_STATE_H
#define LOOM_PLATFORM_LEASE_STATE_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>
#include "backoff.h"

enum plat_lease_action {
	PLAT_LEASE_READ,
	PLAT_LEASE_WRITE, /* on the condition of expected_version */
};

struct plat_lease_plan {
	enum plat_lease_action action;
	uint32_t delay_ms;
	uint64_t expected_version;
};

struct plat_lease_state {
	uint32_t duration_ms;
	uint32_t margin_ms;
	uint64_t version;	     /* last known; 0: the object is absent */
	uint64_t seen_ms;	     /* when that version was first seen */
	uint32_t holder_duration_ms; /* as the object says */
	bool is_free;		     /* absent or given up */
	bool is_own;		     /* version is a write of this competitor */
	bool is_read_fresh;	     /* the last event was a read */
	bool is_outcome_unknown;     /* of the last write */
	bool is_beaten;		     /* the last event was a conflict */
	uint64_t sent_ms;	     /* before the last write was sent */
	uint64_t valid_until_ms;     /* 0: never held, or lost */
	uint64_t fencing_version;    /* of the present tenure */
	struct plat_backoff backoff;
};

/* What a read of the lease object showed. */
struct plat_lease_view {
	uint64_t version; /* 0: absent */
	bool is_free;
	bool is_own;
	uint32_t duration_ms; /* that its holder wrote; 0: not known */
};

/* Starts a competitor that knows nothing of the lease. */
void plat_start_lease(struct plat_lease_state *state, uint32_t duration_ms);

/* Notes what a read showed at now_ms, when its answer arrived. */
void plat_note_lease_read(struct plat_lease_state *state,
			  const struct plat_lease_view *view, uint64_t now_ms);

/* Notes that a write will be sent now. */
void plat_note_lease_sent(struct plat_lease_state *state, uint64_t now_ms);

/* Notes that the write took effect as that version. */
void plat_note_lease_written(struct plat_lease_state *state, uint64_t version,
			     uint64_t now_ms);

/* Notes that another competitor's version stands. */
void plat_note_lease_conflict(struct plat_lease_state *state, uint64_t version,
			      uint64_t now_ms);

/* Notes a failed read or write; is_unknown when a write may have effect. */
void plat_note_lease_failure(struct plat_lease_state *state, bool is_unknown);

/* Returns whether the lease is held at now_ms. */
bool plat_is_held_at(const struct plat_lease_state *state, uint64_t now_ms);

/* Returns what to do next, and when. To be asked once after each event. */
struct plat_lease_plan plat_plan_lease(struct plat_lease_state *state,
				       uint64_t now_ms, GRand *random);

#endif
