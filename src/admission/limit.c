/*
 * Adaptive concurrency limit.
 *
 * The limit rises by one after enough good answers that came while all of it
 * was in use, but not before it has been stable for a minimum time. It halves
 * when the target sheds a call, times out, loses its connection or becomes
 * slower than its baseline latency. It drops to the start value when the target
 * appears to be cold again: after a burst of sheds, or after a sudden rise of
 * the latency. A reduction halves the number of calls in use, not an unused
 * limit above it, since only the calls that ran were too many.
 *
 * Calls that started before a reduction tell nothing about the reduced limit
 * and are ignored.
 *
 * A fixed limit equals the slots that the target announced.
 *
 * Invariant: 1 <= value <= slots.
 */
#include "limit.h"

#include <assert.h>
#include <glib.h>

#define START_LIMIT 1U
#define RAISE_GOOD_COUNT 50U
#define RAISE_PERIOD_MS 1000U
#define RAISE_FAST_PERIOD_MS 100U /* while below the last limit that held */
#define SHED_BURST_COUNT 3	  /* sheds among the answers in shed_history */
#define HINT_LIFE_MS 5000U
/*
 * Calls to a starting target do not count for its version, so the starting
 * phase has to end even when few calls arrive or the version itself looks cold.
 */
#define STARTING_MAX_MS 10000U
#define STARTING_AGAIN_MS 3000U /* after the target became cold again */

static void reduce(struct adm_limit *limit, uint32_t value, uint64_t now_ms)
{
	limit->value = MAX(value, START_LIMIT);
	limit->good_count = 0;
	limit->reduced_ms = now_ms;
	limit->changed_ms = now_ms;
	adm_clear_recent(&limit->latency);
}

static void halve(struct adm_limit *limit, const struct adm_sample *sample)
{
	uint32_t used = MIN(limit->value, sample->in_flight);

	limit->slow_growth_start = used;
	reduce(limit, used / 2, sample->now_ms);
}

static void begin_starting(struct adm_limit *limit, uint64_t until_ms)
{
	limit->is_starting = true;
	limit->starting_until_ms = until_ms;
}

static void turn_cold(struct adm_limit *limit, uint64_t now_ms)
{
	limit->slow_growth_start = START_LIMIT;
	/* A target still in its first starting phase gets no extension. */
	if (!limit->is_starting)
		begin_starting(limit, now_ms + STARTING_AGAIN_MS);
	limit->shed_history = 0;
	reduce(limit, START_LIMIT, now_ms);
}

static uint32_t get_raise_period_ms(const struct adm_limit *limit)
{
	return limit->value + 1 < limit->slow_growth_start
		       ? RAISE_FAST_PERIOD_MS
		       : RAISE_PERIOD_MS;
}

static void raise_when_due(struct adm_limit *limit, uint64_t now_ms)
{
	if (limit->good_count < RAISE_GOOD_COUNT ||
	    now_ms < limit->changed_ms + get_raise_period_ms(limit) ||
	    limit->value >= limit->slots)
		return;
	limit->value++;
	limit->good_count = 0;
	limit->changed_ms = now_ms;
	if (limit->value * 2 >= limit->slots)
		limit->is_starting = false;
}

static void note_good(struct adm_limit *limit, const struct adm_sample *sample)
{
	limit->shed_history <<= 1;
	switch (adm_note_latency(&limit->latency, sample->latency_us,
				 sample->now_ms, limit->value == START_LIMIT)) {
	case ADM_LATENCY_JUMPED:
		turn_cold(limit, sample->now_ms);
		return;
	case ADM_LATENCY_RAISED:
		halve(limit, sample);
		return;
	case ADM_LATENCY_NORMAL:
		break;
	}
	if (sample->in_flight < adm_get_limit(limit, sample->now_ms))
		return;
	limit->good_count++;
	raise_when_due(limit, sample->now_ms);
}

static void note_shed(struct adm_limit *limit, const struct adm_sample *sample)
{
	limit->shed_history = (uint8_t)(limit->shed_history << 1 | 1);
	if (__builtin_popcount(limit->shed_history) >= SHED_BURST_COUNT)
		turn_cold(limit, sample->now_ms);
	else
		halve(limit, sample);
}

void adm_start_limit(struct adm_limit *limit, uint64_t now_ms)
{
	adm_clear_latency(&limit->latency);
	limit->hint_until_ms = 0;
	begin_starting(limit, now_ms + STARTING_MAX_MS);
	turn_cold(limit, now_ms);
}

void adm_set_limit_slots(struct adm_limit *limit, uint32_t slots)
{
	limit->slots = MAX(slots, 1U);
	limit->value = limit->is_fixed
			       ? limit->slots
			       : CLAMP(limit->value, START_LIMIT, limit->slots);
}

void adm_set_limit_fixed(struct adm_limit *limit, bool is_fixed)
{
	limit->is_fixed = is_fixed;
	if (!is_fixed)
		return;
	limit->is_starting = false;
	limit->value = limit->slots;
}

void adm_note_limit_hint(struct adm_limit *limit, uint32_t hinted_limit,
			 uint64_t now_ms)
{
	limit->hint = hinted_limit;
	limit->hint_until_ms = now_ms + HINT_LIFE_MS;
}

void adm_update_limit(struct adm_limit *limit, const struct adm_sample *sample)
{
	if (limit->is_fixed || sample->started_ms < limit->reduced_ms)
		return;
	switch (sample->outcome) {
	case ADM_OUTCOME_GOOD:
		note_good(limit, sample);
		break;
	case ADM_OUTCOME_SHED:
	case ADM_OUTCOME_TIMEOUT:
	case ADM_OUTCOME_CONNECTION_ERROR:
		note_shed(limit, sample);
		break;
	case ADM_OUTCOME_ERROR:
	case ADM_OUTCOME_CANCELLED:
		break;
	}
	assert(limit->value >= 1 && limit->value <= limit->slots);
}

uint32_t adm_get_limit(const struct adm_limit *limit, uint64_t now_ms)
{
	if (now_ms >= limit->hint_until_ms)
		return limit->value;
	/* A hint may be wrong, so it never blocks the target completely. */
	return MAX(MIN(limit->value, limit->hint), 1U);
}

bool adm_is_limit_starting(const struct adm_limit *limit, uint64_t now_ms)
{
	return limit->is_starting && now_ms < limit->starting_until_ms;
}
