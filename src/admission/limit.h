/* Adaptive limit on the number of calls that one target runs in parallel. */
#ifndef LOOM_ADMISSION_LIMIT_H
#define LOOM_ADMISSION_LIMIT_H

#include <stdbool.h>
#include <stdint.h>
#include "latency.h"
#include "loom/admission.h"

/* Sample that one finished call gives about the target. */
struct adm_sample {
	enum adm_outcome outcome;
	uint32_t latency_us;
	uint64_t started_ms;
	uint64_t now_ms;
	uint32_t in_flight; /* calls that ran when it ended, including itself */
};

struct adm_limit {
	uint32_t slots;
	bool is_fixed;	/* the target announced its slots: value equals slots */
	uint32_t value; /* 1 to slots */
	uint32_t slow_growth_start; /* growth is slow from this value on */
	bool is_starting;	    /* has not reached half of slots yet */
	uint64_t starting_until_ms;
	uint32_t good_count;  /* good answers at this value, fully used */
	uint64_t changed_ms;  /* last change of value */
	uint64_t reduced_ms;  /* last reduction; older calls do not count */
	uint8_t shed_history; /* one bit an answer, newest in bit 0 */
	uint32_t hint;
	uint64_t hint_until_ms; /* 0: no hint */
	struct adm_latency latency;
};

/* Resets the limit for a target about which nothing is known. */
void adm_start_limit(struct adm_limit *limit, uint64_t now_ms);

/* Sets the number of slots of the target; 0 counts as 1. */
void adm_set_limit_slots(struct adm_limit *limit, uint32_t slots);

/* Sets whether the limit is fixed at the slots or adapts below them. */
void adm_set_limit_fixed(struct adm_limit *limit, bool is_fixed);

/* Records how many parallel calls the target says it can handle. */
void adm_note_limit_hint(struct adm_limit *limit, uint32_t hinted_limit,
			 uint64_t now_ms);

/* Adapts the limit to a finished call. */
void adm_update_limit(struct adm_limit *limit, const struct adm_sample *sample);

/* Returns the limit at now_ms, at least 1. */
uint32_t adm_get_limit(const struct adm_limit *limit, uint64_t now_ms);

/*
 * Returns whether the target counts as starting. This lasts for a bounded time.
 */
bool adm_is_limit_starting(const struct adm_limit *limit, uint64_t now_ms);

#endif
