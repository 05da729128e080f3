/*
 * Calls of the last one to two seconds.
 */
#include "recent.h"

#include <string.h>

#define WINDOW_MS 1000U
/* Calls from which failures are told to be frequent. */
#define NOISY_CALLS_MIN 20U
#define NOISY_RATE 0.2

void mv_turn_recent(struct mv_recent *recent, uint64_t now_ms)
{
	while (now_ms >= recent->start_ms + WINDOW_MS) {
		recent->windows[1] = recent->windows[0];
		memset(&recent->windows[0], 0, sizeof(recent->windows[0]));
		recent->start_ms += WINDOW_MS;
	}
}

struct mv_counts mv_sum_recent(const struct mv_recent *recent)
{
	struct mv_counts sum = recent->windows[0];

	mv_add_counts(&sum, &recent->windows[1]);
	return sum;
}

uint64_t mv_get_recent_ms(const struct mv_recent *recent, uint64_t now_ms)
{
	return now_ms - MIN(recent->start_ms, now_ms) + WINDOW_MS;
}

bool mv_is_recent_noisy(const struct mv_recent *recent)
{
	struct mv_counts sum = mv_sum_recent(recent);

	return sum.calls >= NOISY_CALLS_MIN &&
	       sum.failed > sum.calls * NOISY_RATE;
}
