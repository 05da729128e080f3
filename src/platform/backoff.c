/*
 * Exponential backoff with full jitter.
 */
#include "backoff.h"

#define DOUBLINGS_MAX 20U

uint32_t plat_get_backoff_bound_ms(const struct plat_backoff *backoff)
{
	uint32_t doublings = MIN(backoff->failures, DOUBLINGS_MAX);
	uint64_t bound_ms = (uint64_t)backoff->base_ms << doublings;

	return (uint32_t)MIN(bound_ms, backoff->cap_ms);
}

uint32_t plat_choose_backoff_ms(struct plat_backoff *backoff, GRand *random)
{
	uint32_t bound_ms = plat_get_backoff_bound_ms(backoff);

	backoff->failures++;
	return 1 + (uint32_t)(g_rand_double(random) * bound_ms);
}

void plat_reset_backoff(struct plat_backoff *backoff)
{
	backoff->failures = 0;
}
