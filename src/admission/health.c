/*
 * Share of failures among the recent answers.
 *
 * The counts decay with time, not with the number of calls, so that the history
 * of a busy target is forgotten as fast as that of an idle one. A few assumed
 * successes keep one failure among the first answers from marking the target as
 * failing.
 *
 * Invariant: 0 <= failures <= calls.
 */
#include "health.h"

#include <assert.h>
#include <math.h>

#define HALF_LIFE_MS 1000.0 /* a failure shows after a few tenths of this */
#define ASSUMED_SUCCESSES 4.0

static double get_decay(const struct adm_health *health, uint64_t now_ms)
{
	return exp2(-(double)(now_ms - health->updated_ms) / HALF_LIFE_MS);
}

void adm_clear_health(struct adm_health *health)
{
	*health = (struct adm_health){ 0 };
}

void adm_note_health(struct adm_health *health, bool is_failure,
		     uint64_t now_ms)
{
	double decay = get_decay(health, now_ms);

	health->calls = health->calls * decay + 1;
	health->failures = health->failures * decay + (is_failure ? 1 : 0);
	health->updated_ms = now_ms;
	assert(health->failures <= health->calls);
}

uint32_t adm_get_failure_permille(const struct adm_health *health,
				  uint64_t now_ms)
{
	double decay = get_decay(health, now_ms);

	return (uint32_t)(1000 * health->failures * decay /
			  (health->calls * decay + ASSUMED_SUCCESSES));
}
