/*
 * Adaptive limit of the calls that run side by side on one target.
 */
#ifndef LOOM_ADMISSION_LIMIT_H
#define LOOM_ADMISSION_LIMIT_H

#include <stdbool.h>
#include <stdint.h>
#include "latency.h"
#include "loom/admission.h"

/* One finished call, as evidence about the target. */
struct adm_evidence {
	enum adm_outcome outcome;
	uint32_t latency_us;
	uint64_t started_ms;
	uint64_t now_ms;
	uint32_t in_flight; /* calls on the target when it ended, it included */
};

struct adm_limit {
	uint32_t slots;
	bool is_fixed;	  /* the target told its slots: value stays there */
	uint32_t value;	  /* never above slots */
	uint32_t ceiling; /* growth is slow from here on */
	bool is_starting; /* has not reached its serving share yet */
	uint64_t starting_until_ms;
	uint32_t good_count;  /* good answers at this value */
	uint64_t raised_ms;   /* last change of value */
	uint64_t reduced_ms;  /* last reduction: older calls are stale */
	uint8_t shed_history; /* one bit an answer, newest lowest */
	uint32_t hint;
	uint64_t hint_until_ms; /* 0: no hint */
	struct adm_latency latency;
};

/* Starts anew for a target of which nothing is known. */
void adm_start_limit(struct adm_limit *limit, uint64_t now_ms);

/* Sets the slots of the target, at least 1. */
void adm_set_limit_slots(struct adm_limit *limit, uint32_t slots);

/* Sets whether the limit is the slots or adapts below them. */
void adm_set_limit_fixed(struct adm_limit *limit, bool is_fixed);

/* Notes how much the target says it bears. */
void adm_note_limit_hint(struct adm_limit *limit, uint32_t bearable_calls,
			 uint64_t now_ms);

/* Notes a finished call. */
void adm_note_limit(struct adm_limit *limit,
		    const struct adm_evidence *evidence);

/* Returns the limit in force, at least 1. */
uint32_t adm_get_limit(const struct adm_limit *limit, uint64_t now_ms);

/* Returns whether the target counts as starting: for a bounded time only. */
bool adm_is_limit_starting(const struct adm_limit *limit, uint64_t now_ms);

#endif
