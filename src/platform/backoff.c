/*
 * Exponential backoff with full jitter. The doublings are limited so that the
 * shift of a 32-bit base cannot overflow 64 bits.
 */
#include "backoff.h"

#define DOUBLINGS_MAX 20U

void plat_start_backoff(struct plat_backoff *backoff, uint32_t cap_ms)
{
	*backoff = (struct plat_backoff){ .first_ms = PLAT_BACKOFF_FIRST_MS,
					  .base_ms = PLAT_BACKOFF_BASE_MS,
					  .cap_ms = cap_ms };
}

uint32_t plat_choose_jitter_ms(GRand *random, uint32_t bound_ms)
{
	return (uint32_t)(g_rand_double(random) * bound_ms);
}

uint32_t plat_get_backoff_bound_ms(const struct plat_backoff *backoff)
{
	uint32_t doublings;
	uint64_t bound_ms;

	if (backoff->failures == 0)
		return MIN(backoff->first_ms, backoff->cap_ms);
	doublings = MIN(backoff->failures - 1, DOUBLINGS_MAX);
	bound_ms = (uint64_t)backoff->base_ms << doublings;
	return (uint32_t)MIN(bound_ms, backoff->cap_ms);
}

uint32_t plat_choose_backoff_ms(struct plat_backoff *backoff, GRand *random)
{
	uint32_t bound_ms = plat_get_backoff_bound_ms(backoff);

	backoff->failures++;
	return 1 + (uint32_t)(g_rand_double(random) * bound_ms);
}

void plat_note_overload(struct plat_backoff *backoff)
{
	backoff->failures = MAX(backoff->failures, 1);
}

void plat_reset_backoff(struct plat_backoff *backoff)
{
	backoff->failures = 0;
}
