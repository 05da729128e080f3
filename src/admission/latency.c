/*
 * Learned latency floor.
 *
 * Answers are taken in windows. The latency of a window is its geometric mean,
 * which a mixture of fast and slow routes moves little; the deviation of single
 * answers says how far a window strays by chance, and that much is allowed
 * before a window counts as slower. A rise adds up over windows (a cumulative
 * sum) until it counts. A jump shows within a few answers: all of them are slow
 * and so is their mean, by more than chance gives.
 *
 * The floor follows a faster window in part at once. It rises by small steps a
 * second, so that a lasting change of the latency is learned while a passing
 * one is not; the steps are larger when the target runs one call at a time, as
 * its latency is then not due to load.
 *
 * Invariant: window_count < WINDOW_COUNT between calls.
 */
#include "latency.h"

#include <glib.h>
#include <math.h>

#define WINDOW_COUNT 16U
#define JUMP_EACH_LOG2 1.0 /* each answer at least twice the floor */
#define JUMP_MEAN_LOG2 1.6 /* their mean about three times the floor */
#define JUMP_STRAY_FACTOR 3.0
#define SLACK_LOG2 0.4	/* about 1.3 times the floor */
#define EXCESS_LOG2 1.2 /* sum over windows that counts as slow */
#define STRAY_FACTOR 1.5
#define FLOOR_FALL_SHARE 0.25
#define FLOOR_RISE_LOG2 0.05
#define FLOOR_RISE_ALONE_LOG2 0.25
#define FLOOR_RISE_PERIOD_MS 1000U
#define DEVIATION_SHARE 0.05

/* Returns how far the mean of count answers strays by chance. */
static double get_stray(const struct adm_latency *latency, uint32_t count)
{
	return STRAY_FACTOR * latency->deviation / sqrt(count);
}

static void clear_window(struct adm_latency *latency)
{
	latency->window_sum = 0;
	latency->window_deviation_sum = 0;
	latency->window_count = 0;
}

static void learn_floor(struct adm_latency *latency, double above,
			uint64_t now_ms, bool is_alone)
{
	double step = is_alone ? FLOOR_RISE_ALONE_LOG2 : FLOOR_RISE_LOG2;

	if (above < 0) {
		latency->floor += above * FLOOR_FALL_SHARE;
		return;
	}
	if (now_ms < latency->risen_ms + FLOOR_RISE_PERIOD_MS)
		return;
	latency->floor += MIN(above, step);
	latency->risen_ms = now_ms;
}

static void learn_first(struct adm_latency *latency, double mean,
			double deviation, uint64_t now_ms)
{
	latency->is_known = true;
	latency->floor = mean;
	latency->deviation = deviation;
	latency->risen_ms = now_ms;
}

static enum adm_slowness end_window(struct adm_latency *latency,
				    uint64_t now_ms, bool is_alone)
{
	double mean = latency->window_sum / latency->window_count;
	double deviation =
		latency->window_deviation_sum / latency->window_count;
	double above = mean - latency->floor;

	clear_window(latency);
	if (!latency->is_known) {
		learn_first(latency, mean, deviation, now_ms);
		return ADM_SLOWNESS_NONE;
	}
	latency->excess +=
		above - SLACK_LOG2 - get_stray(latency, WINDOW_COUNT);
	latency->excess = MAX(latency->excess, 0);
	latency->deviation +=
		(deviation - latency->deviation) * DEVIATION_SHARE;
	learn_floor(latency, above, now_ms, is_alone);
	if (latency->excess < EXCESS_LOG2)
		return ADM_SLOWNESS_NONE;
	latency->excess = 0;
	return ADM_SLOWNESS_SLOW;
}

static bool has_jumped(const struct adm_latency *latency)
{
	double chance =
		JUMP_STRAY_FACTOR * get_stray(latency, ADM_RECENT_COUNT);
	double sum = 0;

	if (!latency->is_known || latency->recent_count < ADM_RECENT_COUNT)
		return false;
	for (uint32_t i = 0; i < ADM_RECENT_COUNT; i++) {
		double above = latency->recent[i] - latency->floor;

		if (above < JUMP_EACH_LOG2)
			return false;
		sum += above;
	}
	return sum / ADM_RECENT_COUNT >= JUMP_MEAN_LOG2 + chance;
}

void adm_clear_latency(struct adm_latency *latency)
{
	*latency = (struct adm_latency){ 0 };
}

void adm_clear_latest(struct adm_latency *latency)
{
	clear_window(latency);
	latency->recent_count = 0;
}

enum adm_slowness adm_note_latency(struct adm_latency *latency,
				   uint32_t latency_us, uint64_t now_ms,
				   bool is_alone)
{
	double value = log2(MAX(latency_us, 1U));
	double mean;

	latency->recent[latency->recent_count++ % ADM_RECENT_COUNT] = value;
	latency->window_sum += value;
	latency->window_count++;
	mean = latency->window_sum / latency->window_count;
	latency->window_deviation_sum += fabs(value - mean);
	if (has_jumped(latency)) {
		learn_floor(latency, mean - latency->floor, now_ms, is_alone);
		adm_clear_latest(latency);
		latency->excess = 0;
		return ADM_SLOWNESS_JUMP;
	}
	if (latency->window_count < WINDOW_COUNT)
		return ADM_SLOWNESS_NONE;
	return end_window(latency, now_ms, is_alone);
}
