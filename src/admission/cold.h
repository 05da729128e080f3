/*
 * What a target gets while it is cold, or may be.
 *
 * A target that is known to be cold gets calls at the rate of its service's
 * document, by a token bucket. Whether it is known or not, the calls of one
 * second stay within what a cold one bears (warmth.h).
 */
#ifndef LOOM_ADMISSION_COLD_H
#define LOOM_ADMISSION_COLD_H

#include <stdbool.h>
#include <stdint.h>
#include "loom/admission.h"
#include "warmth.h"

struct adm_cold {
	uint64_t until_ms;	   /* when it is warm, as it told */
	uint32_t calls_per_second; /* while it is cold; 0: unlimited */
	uint64_t millitokens;	   /* token bucket, in 1/1000 of a call */
	uint64_t refill_ms;	   /* when the bucket was last refilled */
	struct adm_cold_bound bound;
	struct adm_warmth warmth;
};

/* Takes over the limits of the service's document. */
void adm_set_cold_limits(struct adm_cold *cold,
			 const struct doc_limits *limits);

/* Forgets what is known of the target, since another one is there. */
void adm_clear_cold(struct adm_cold *cold);

/* Returns whether the target is warm or there is a token for one call. */
bool adm_has_cold_token(struct adm_cold *cold, uint64_t now_ms);

/*
 * Takes a token for one call. Returns false if the target is cold and its token
 * bucket is empty.
 */
bool adm_take_cold_token(struct adm_cold *cold, uint64_t now_ms);

#endif
