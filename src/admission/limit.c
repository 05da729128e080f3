/*
 * Adaptive limit.
 *
 * The limit rises by one after enough good answers that came while all of it
 * was in use, and not before it has stood for a while. It halves when the
 * target sheds, times out or becomes slower than its learned floor, and drops
 * to the start value when it looks cold again: a burst of sheds, or a jump of
 * the latency. Calls that were started before a reduction say nothing about
 * the reduced limit and are passed over.
 *
 * The latency of a window of answers is its geometric mean, which a mixture of
 * fast and slow routes moves little. The floor follows a faster window at once
 * in part, and a slower one by a small step, so that a lasting change of the
 * latency is learned.
 *
 * Invariant: 1 <= value <= slots.
 */
#include "limit.h"

#include <assert.h>
#include <glib.h>
#include <math.h>

#define START_LIMIT 1U
#define RAISE_GOOD_COUNT 20U
#define RAISE_WARM_MS 1000U
#define RAISE_KNOWN_MS 100U
#define SHED_WINDOW_MASK 0xffU
#define SHED_BURST_COUNT 3
#define HINT_LIFE_MS 5000U
#define WINDOW_COUNT 16U
#define SLOW_LOG2 1.3 /* about 2.5 times the floor */
#define COLD_LOG2 2.0 /* 4 times the floor */
#define FLOOR_FALL_SHARE 0.25
#define FLOOR_RISE_LOG2 0.05

static void reduce(struct adm_limit *limit, uint32_t value, uint64_t now_ms)
{
	limit->value = MAX(value, START_LIMIT);
	limit->good_count = 0;
	limit->reduced_ms = now_ms;
	limit->raised_ms = now_ms;
	limit->window_count = 0;
	limit->window_log2_sum = 0;
}

static void halve(struct adm_limit *limit, uint64_t now_ms)
{
	limit->ceiling = limit->value;
	reduce(limit, limit->value / 2, now_ms);
}

static void turn_cold(struct adm_limit *limit, uint64_t now_ms)
{
	limit->ceiling = START_LIMIT;
	limit->is_starting = true;
	limit->shed_history = 0;
	reduce(limit, START_LIMIT, now_ms);
}

static uint32_t get_raise_ms(const struct adm_limit *limit)
{
	return limit->value < limit->ceiling ? RAISE_KNOWN_MS : RAISE_WARM_MS;
}

static void raise_when_due(struct adm_limit *limit, uint64_t now_ms)
{
	if (limit->good_count < RAISE_GOOD_COUNT ||
	    now_ms < limit->raised_ms + get_raise_ms(limit) ||
	    limit->value >= limit->slots)
		return;
	limit->value++;
	limit->good_count = 0;
	limit->raised_ms = now_ms;
	if (limit->value * 2 >= limit->slots)
		limit->is_starting = false;
}

static void learn_floor(struct adm_limit *limit, double latency_log2)
{
	double above = latency_log2 - limit->floor_log2;

	if (!limit->is_floor_known)
		limit->floor_log2 = latency_log2;
	else if (above < 0)
		limit->floor_log2 += above * FLOOR_FALL_SHARE;
	else
		limit->floor_log2 += MIN(above, FLOOR_RISE_LOG2);
	limit->is_floor_known = true;
}

/* Returns whether the window just ended shows a slower target. */
static bool note_latency(struct adm_limit *limit, uint32_t latency_us,
			 uint64_t now_ms)
{
	double latency_log2;
	double above;

	limit->window_log2_sum += log2(MAX(latency_us, 1U));
	if (++limit->window_count < WINDOW_COUNT)
		return false;
	latency_log2 = limit->window_log2_sum / limit->window_count;
	limit->window_count = 0;
	limit->window_log2_sum = 0;
	above = limit->is_floor_known ? latency_log2 - limit->floor_log2 : 0;
	learn_floor(limit, latency_log2);
	if (above < SLOW_LOG2)
		return false;
	if (above >= COLD_LOG2)
		turn_cold(limit, now_ms);
	else
		halve(limit, now_ms);
	return true;
}

static void note_good(struct adm_limit *limit,
		      const struct adm_evidence *evidence)
{
	limit->shed_history <<= 1;
	if (note_latency(limit, evidence->latency_us, evidence->now_ms))
		return;
	if (!evidence->is_limit_used)
		return;
	limit->good_count++;
	raise_when_due(limit, evidence->now_ms);
}

static void note_shed(struct adm_limit *limit, uint64_t now_ms)
{
	limit->shed_history = limit->shed_history << 1 | 1;
	if (__builtin_popcount(limit->shed_history & SHED_WINDOW_MASK) >=
	    SHED_BURST_COUNT)
		turn_cold(limit, now_ms);
	else
		halve(limit, now_ms);
}

void adm_start_limit(struct adm_limit *limit, uint64_t now_ms)
{
	limit->is_floor_known = false;
	limit->hint_until_ms = 0;
	turn_cold(limit, now_ms);
}

void adm_set_limit_slots(struct adm_limit *limit, uint32_t slots)
{
	limit->slots = MAX(slots, 1U);
	limit->value = CLAMP(limit->value, START_LIMIT, limit->slots);
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
	if (evidence->started_ms < limit->reduced_ms)
		return;
	switch (evidence->outcome) {
	case ADM_OUTCOME_GOOD:
		note_good(limit, evidence);
		break;
	case ADM_OUTCOME_SHED:
	case ADM_OUTCOME_TIMEOUT:
	case ADM_OUTCOME_BROKEN:
		note_shed(limit, evidence->now_ms);
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
