/* What a target gets while it is cold, or may be. */
#include "cold.h"

#include <glib.h>

/*
 * A cold target may get the calls of 1/5 second in one burst, so that its calls
 * arrive evenly.
 */
#define BURST_DIVISOR 5U
/*
 * Calls that leave evenly may arrive less so, and the last ones of a second may
 * arrive in the next one.
 */
#define BOUND_USE_PERMILLE 950U

/*
 * Returns how many calls a cold target may get in one second; 0: unlimited, or
 * the target cannot be asked whether it is cold.
 */
static uint32_t get_bound(const struct adm_cold *cold,
			  const struct doc_limits *limits)
{
	const struct adm_cold_bound *bound = &cold->bound;
	uint64_t calls = (uint64_t)limits->cold_calls_per_second *
				 bound->rate_permille / 1000 +
			 bound->slack_calls;

	if (limits->cold_calls_per_second == 0 || bound->rate_permille == 0 ||
	    !limits->health_path)
		return 0;
	return (uint32_t)MAX(calls * BOUND_USE_PERMILLE / 1000, 1);
}

void adm_set_cold_limits(struct adm_cold *cold, const struct doc_limits *limits)
{
	cold->calls_per_second = limits->cold_calls_per_second;
	adm_set_warmth_limit(&cold->warmth, get_bound(cold, limits));
}

void adm_clear_cold(struct adm_cold *cold)
{
	cold->until_ms = 0;
	adm_clear_warmth(&cold->warmth);
}

bool adm_has_cold_token(struct adm_cold *cold, uint64_t now_ms)
{
	uint64_t rate = cold->calls_per_second;
	uint64_t burst = MAX(rate * 1000 / BURST_DIVISOR, 1000);

	if (now_ms >= cold->until_ms || rate == 0)
		return true;
	cold->millitokens += (now_ms - cold->refill_ms) * rate;
	cold->millitokens = MIN(cold->millitokens, burst);
	cold->refill_ms = now_ms;
	return cold->millitokens >= 1000;
}

bool adm_take_cold_token(struct adm_cold *cold, uint64_t now_ms)
{
	if (!adm_has_cold_token(cold, now_ms))
		return false;
	if (now_ms < cold->until_ms && cold->calls_per_second > 0)
		cold->millitokens -= 1000;
	return true;
}
