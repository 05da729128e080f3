/*
 * Exponential backoff with full jitter: the wait before try n is drawn evenly
 * from the range up to base * 2^n, bounded by a cap.
 */
#ifndef LOOM_PLATFORM_BACKOFF_H
#define LOOM_PLATFORM_BACKOFF_H

#include <stdint.h>
#include <glib.h>

struct plat_backoff {
	uint32_t base_ms;
	uint32_t cap_ms;
	uint32_t failures; /* in a row */
};

/* Returns the longest wait after the failures noted so far. */
uint32_t plat_get_backoff_bound_ms(const struct plat_backoff *backoff);

/* Notes a failure and returns the wait before the next try, at least 1 ms. */
uint32_t plat_choose_backoff_ms(struct plat_backoff *backoff, GRand *random);

/* Notes a success: the next wait is drawn from the shortest range again. */
void plat_reset_backoff(struct plat_backoff *backoff);

#endif
