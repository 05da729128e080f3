/*
 * Adaptive limit.
 *
 * The limit rises by one after enough good answers that came while all of it
 * was in use, and not before it has stood for a while. It halves when the
 * target sheds, times out, breaks or becomes slower than its learned floor, and
 * drops to the start value when the target looks cold again: a burst of sheds,
 * or a jump of the latency. It halves what was in use, not a limit that stood
 * above it: only the calls that ran were too many.
 *
 * Calls that were started before a reduction say nothing about the reduced
 * limit and are passed over.
 *
 * A fixed limit stands at the slots that the target told.
 *
 * Invariant: 1 <= value <= slots.
 */
#include "limit.h"

#include <assert.h>
#include <glib.h>

#define START_LIMIT 1U
#define RAISE_GOOD_COUNT 50U
#define RAISE_PERIOD_MS 1000U
#define RAISE_KNOWN_PERIOD_MS 100U /* up to where it bore the load before */
#define SHED_BURST_COUNT 3	   /* of the answers in shed_history */
#define HINT_LIFE_MS 5000U
/*
 * The calls of a starting target say nothing about its version, so that the
 * phase must end even when few calls come or the version itself looks cold.
 */
#define STARTING_MAX_MS 10000U
#define STARTING_AGAIN_MS 3000U /* after it turned cold */

static void reduce(struct adm_limit *limit, uint32_t value, uint64_t now_ms)
{
	limit->value = MAX(value, START_LIMIT);
	limit->good_count = 0;
	limit->reduced_ms = now_ms;
	limit->raised_ms = now_ms;
	adm_clear_latest(&limit->latency);
}

static void halve(struct adm_limit *limit, const struct adm_evidence *evidence)
{
	uint32_t used = MIN(limit->value, evidence->in_flight);

	limit->ceiling = used;
	reduce(limit, used / 2, evidence->now_ms);
}

static void begin_starting(struct adm_limit *limit, uint64_t until_ms)
{
	limit->is_starting = true;
	limit->starting_until_ms = until_ms;
}

static void turn_cold(struct adm_limit *limit, uint64_t now_ms)
{
	limit->ceiling = START_LIMIT;
	/* A target that never left the phase gets no second one. */
	if (!limit->is_starting)
		begin_starting(limit, now_ms + STARTING_AGAIN_MS);
	limit->shed_history = 0;
	reduce(limit, START_LIMIT, now_ms);
}

static uint32_t get_raise_period_ms(const struct adm_limit *limit)
{
	return limit->value + 1 < limit->ceiling ? RAISE_KNOWN_PERIOD_MS
						 : RAISE_PERIOD_MS;
}

static void raise_when_due(struct adm_limit *limit, uint64_t now_ms)
{
	if (limit->good_count < RAISE_GOOD_COUNT ||
	    now_ms < limit->raised_ms + get_raise_period_ms(limit) ||
	    limit->value >= limit->slots)
		return;
	limit->value++;
	limit->good_count = 0;
	limit->raised_ms = now_ms;
	if (limit->value * 2 >= limit->slots)
		limit->is_starting = false;
}

static void note_good(struct adm_limit *limit,
		      const struct adm_evidence *evidence)
{
	limit->shed_history <<= 1;
	switch (adm_note_latency(&limit->latency, evidence->latency_us,
				 evidence->now_ms,
				 limit->value == START_LIMIT)) {
	case ADM_SLOWNESS_JUMP:
		turn_cold(limit, evidence->now_ms);
		return;
	case ADM_SLOWNESS_SLOW:
		halve(limit, evidence);
		return;
	case ADM_SLOWNESS_NONE:
		break;
	}
	if (evidence->in_flight < adm_get_limit(limit, evidence->now_ms))
		return;
	limit->good_count++;
	raise_when_due(limit, evidence->now_ms);
}

static void note_shed(struct adm_limit *limit,
		      const struct adm_evidence *evidence)
{
	limit->shed_history = (uint8_t)(limit->shed_history << 1 | 1);
	if (__builtin_popcount(limit->shed_history) >= SHED_BURST_COUNT)
		turn_cold(limit, evidence->now_ms);
	else
		halve(limit, evidence);
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

void adm_note_limit_hint(struct adm_limit *limit, uint32_t bearable_calls,
			 uint64_t now_ms)
{
	limit->hint = bearable_calls;
	limit->hint_until_ms = now_ms + HINT_LIFE_MS;
}

void adm_note_limit(struct adm_limit *limit,
		    const struct adm_evidence *evidence)
{
	if (limit->is_fixed || evidence->started_ms < limit->reduced_ms)
		return;
	switch (evidence->outcome) {
	case ADM_OUTCOME_GOOD:
		note_good(limit, evidence);
		break;
	case ADM_OUTCOME_SHED:
	case ADM_OUTCOME_TIMEOUT:
	case ADM_OUTCOME_BROKEN:
		note_shed(limit, evidence);
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
	/* A hint may mislead, so it never closes the target altogether. */
	return MAX(MIN(limit->value, limit->hint), 1U);
}

bool adm_is_limit_starting(const struct adm_limit *limit, uint64_t now_ms)
{
	return limit->is_starting && now_ms < limit->starting_until_ms;
}
