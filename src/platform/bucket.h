/*
 * Token bucket: gains tokens_per_second and holds at most burst_tokens. The
 * current time is an argument, so that it can be tested without a clock.
 */
#ifndef LOOM_PLATFORM_BUCKET_H
#define LOOM_PLATFORM_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

struct plat_bucket {
	uint32_t tokens_per_second;
	uint32_t burst_tokens;
	uint64_t level_millitokens;
	uint64_t filled_ms; /* time at which the level was last updated */
};

/* Initializes a full bucket. Both amounts are at least 1. */
void plat_start_bucket(struct plat_bucket *bucket, uint32_t tokens_per_second,
		       uint32_t burst_tokens, uint64_t now_ms);

/*
 * Takes one token and returns 0; or, if there is none, takes nothing and
 * returns the time in milliseconds until there will be one.
 */
uint32_t plat_take_token(struct plat_bucket *bucket, uint64_t now_ms);

#endif
