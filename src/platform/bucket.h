/*
 * Token bucket over a time argument: rate tokens a second, up to burst of them.
 */
#ifndef LOOM_PLATFORM_BUCKET_H
#define LOOM_PLATFORM_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

struct plat_bucket {
	uint32_t tokens_per_second;
	uint32_t burst_tokens;
	uint64_t level_millitokens;
	uint64_t filled_ms; /* time up to which the level is counted */
};

/* Starts a full bucket at now_ms. */
void plat_start_bucket(struct plat_bucket *bucket, uint32_t tokens_per_second,
		       uint32_t burst_tokens, uint64_t now_ms);

/*
 * Takes one token. Returns 0 when it was taken; otherwise the time in
 * milliseconds after which to ask again, and takes nothing.
 */
uint32_t plat_take_token(struct plat_bucket *bucket, uint64_t now_ms);

#endif
