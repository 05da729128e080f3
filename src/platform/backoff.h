/*
 * Exponential backoff with full jitter: each wait is drawn uniformly from the
 * range up to a bound. The bound is first_ms after the first failure, then
 * base_ms, 2 * base_ms and so on up to cap_ms. A single lost connection thus
 * costs little, while many nodes that fail together are spread over seconds
 * from their second retry on.
 */
#ifndef LOOM_PLATFORM_BACKOFF_H
#define LOOM_PLATFORM_BACKOFF_H

#include <stdint.h>
#include <glib.h>

struct plat_backoff {
	uint32_t first_ms;
	uint32_t base_ms;
	uint32_t cap_ms;
	uint32_t failures; /* consecutive failures so far */
};

#define PLAT_BACKOFF_FIRST_MS 250U
#define PLAT_BACKOFF_BASE_MS 4000U
#define PLAT_BACKOFF_CAP_MS 8000U

/* Initializes the backoff used by calls and watches, with the given cap. */
void plat_start_backoff(struct plat_backoff *backoff, uint32_t cap_ms);

/*
 * Returns a random time below bound_ms. Used before a first or a periodic call,
 * so that processes that start together do not call together.
 */
uint32_t plat_choose_jitter_ms(GRand *random, uint32_t bound_ms);

/* Returns the upper bound of the next wait. */
uint32_t plat_get_backoff_bound_ms(const struct plat_backoff *backoff);

/* Counts a failure and returns the wait before the next try, at least 1 ms. */
uint32_t plat_choose_backoff_ms(struct plat_backoff *backoff, GRand *random);

/*
 * Skips the short first wait: the platform is overloaded or unavailable, so
 * that the failure is not a single accident.
 */
void plat_note_overload(struct plat_backoff *backoff);

/* Resets the backoff after a success: the next bound is first_ms again. */
void plat_reset_backoff(struct plat_backoff *backoff);

#endif
