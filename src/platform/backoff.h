/*
 * Exponential backoff with full jitter: each wait is drawn evenly from the
 * range up to a bound, which is short after the first failure, then base, 2 *
 * base and so on up to a cap. One lost connection thus costs little, while a
 * herd that fails together is spread over seconds from its second try on.
 */
#ifndef LOOM_PLATFORM_BACKOFF_H
#define LOOM_PLATFORM_BACKOFF_H

#include <stdint.h>
#include <glib.h>

struct plat_backoff {
	uint32_t first_ms;
	uint32_t base_ms;
	uint32_t cap_ms;
	uint32_t failures; /* in a row */
};

#define PLAT_BACKOFF_FIRST_MS 250U
#define PLAT_BACKOFF_BASE_MS 4000U
#define PLAT_BACKOFF_CAP_MS 8000U

/* Starts the usual backoff of calls and watches, bounded by cap_ms. */
void plat_start_backoff(struct plat_backoff *backoff, uint32_t cap_ms);

/*
 * Returns a wait below bound_ms before a first call, so that processes that
 * start together do not call together.
 */
uint32_t plat_choose_start_ms(GRand *random, uint32_t bound_ms);

/* Returns the longest wait after the failures noted so far. */
uint32_t plat_get_backoff_bound_ms(const struct plat_backoff *backoff);

/* Notes a failure and returns the wait before the next try, at least 1 ms. */
uint32_t plat_choose_backoff_ms(struct plat_backoff *backoff, GRand *random);

/* Notes that the platform is overloaded or out: there is no short wait. */
void plat_note_overload(struct plat_backoff *backoff);

/* Notes a success: the next wait is drawn from the shortest range again. */
void plat_reset_backoff(struct plat_backoff *backoff);

#endif
