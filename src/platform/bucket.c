/*
 * Token bucket, counted in thousandths of a token so that each millisecond adds
 * a whole number of them. Time that goes backwards adds nothing.
 *
 * Invariant: level_millitokens is at most burst_tokens * 1000.
 */
#include "bucket.h"

#include <assert.h>
#include <glib.h>

#define MILLITOKENS_PER_TOKEN 1000U

static uint64_t get_full_level(const struct plat_bucket *bucket)
{
	return (uint64_t)bucket->burst_tokens * MILLITOKENS_PER_TOKEN;
}

static void fill(struct plat_bucket *bucket, uint64_t now_ms)
{
	uint64_t full = get_full_level(bucket);
	uint64_t passed_ms;

	if (now_ms <= bucket->filled_ms)
		return;
	passed_ms = now_ms - bucket->filled_ms;
	bucket->filled_ms = now_ms;
	/* A long pause would overflow the product below. */
	if (passed_ms > full / bucket->tokens_per_second)
		bucket->level_millitokens = full;
	else
		bucket->level_millitokens = MIN(
			full, bucket->level_millitokens +
				      passed_ms * bucket->tokens_per_second);
}

void plat_start_bucket(struct plat_bucket *bucket, uint32_t tokens_per_second,
		       uint32_t burst_tokens, uint64_t now_ms)
{
	assert(tokens_per_second > 0);
	assert(burst_tokens > 0);
	bucket->tokens_per_second = tokens_per_second;
	bucket->burst_tokens = burst_tokens;
	bucket->level_millitokens = get_full_level(bucket);
	bucket->filled_ms = now_ms;
}

uint32_t plat_take_token(struct plat_bucket *bucket, uint64_t now_ms)
{
	uint64_t missing;

	fill(bucket, now_ms);
	if (bucket->level_millitokens >= MILLITOKENS_PER_TOKEN) {
		bucket->level_millitokens -= MILLITOKENS_PER_TOKEN;
		return 0;
	}
	missing = MILLITOKENS_PER_TOKEN - bucket->level_millitokens;
	return (uint32_t)((missing + bucket->tokens_per_second - 1) /
			  bucket->tokens_per_second);
}
