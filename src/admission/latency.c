/*
 * Learned baseline latency.
 *
 * Answers are grouped into windows. The latency of a window is its geometric
 * mean, which a mix of fast and slow routes changes little. The deviation of
 * single answers gives the sampling error of a window's mean, and a window has
 * to exceed the baseline by more than that error to count as slower. Rises are
 * accumulated over windows (CUSUM) until they exceed a limit. A sudden rise is
 * detected within a few answers: each of them is slow, and their mean exceeds
 * the baseline by more than the sampling error.
 *
 * The baseline moves towards a faster window at once, by a part of the
 * difference. It rises by at most a small step per second, so that a lasting
 * change of the latency is learned while a temporary one is not. The steps are
 * larger while the target runs one call at a time, because its latency is then
 * not caused by load.
 *
 * Invariant: window_count < WINDOW_COUNT between calls.
 */
#include "latency.h"

#include <glib.h>
#include <math.h>

#define WINDOW_COUNT 16U
#define JUMP_EACH_LOG2 1.0 /* each answer is at least twice the baseline */
#define JUMP_MEAN_LOG2 1.6 /* their mean is about three times the baseline */
#define JUMP_ERROR_FACTOR 3.0
#define SLACK_LOG2 0.4	     /* tolerance of about 1.3 times the baseline */
#define CUSUM_LIMIT_LOG2 1.2 /* accumulated rise that counts */
#define SAMPLING_ERROR_FACTOR 1.5
#define BASELINE_FALL_WEIGHT 0.25
#define BASELINE_RISE_LOG2 0.05
#define BASELINE_RISE_UNLOADED_LOG2 0.25
#define BASELINE_RISE_PERIOD_MS 1000U
#define DEVIATION_WEIGHT 0.05

/* Returns the expected sampling error of the mean of count answers. */
static double get_sampling_error(const struct adm_latency *latency,
				 uint32_t count)
{
	return SAMPLING_ERROR_FACTOR * latency->deviation / sqrt(count);
}

static void clear_window(struct adm_latency *latency)
{
	latency->window_sum = 0;
	latency->window_deviation_sum = 0;
	latency->window_count = 0;
}

static void update_baseline(struct adm_latency *latency, double above,
			    uint64_t now_ms, bool is_unloaded)
{
	double step =
		is_unloaded ? BASELINE_RISE_UNLOADED_LOG2 : BASELINE_RISE_LOG2;

	if (above < 0) {
		latency->baseline += above * BASELINE_FALL_WEIGHT;
		return;
	}
	if (now_ms < latency->baseline_raised_ms + BASELINE_RISE_PERIOD_MS)
		return;
	latency->baseline += MIN(above, step);
	latency->baseline_raised_ms = now_ms;
}

static void init_baseline(struct adm_latency *latency, double mean,
			  double deviation, uint64_t now_ms)
{
	latency->has_baseline = true;
	latency->baseline = mean;
	latency->deviation = deviation;
	latency->baseline_raised_ms = now_ms;
}

static enum adm_latency_level end_window(struct adm_latency *latency,
					 uint64_t now_ms, bool is_unloaded)
{
	double mean = latency->window_sum / latency->window_count;
	double deviation =
		latency->window_deviation_sum / latency->window_count;
	double above = mean - latency->baseline;

	clear_window(latency);
	if (!latency->has_baseline) {
		init_baseline(latency, mean, deviation, now_ms);
		return ADM_LATENCY_NORMAL;
	}
	latency->cusum +=
		above - SLACK_LOG2 - get_sampling_error(latency, WINDOW_COUNT);
	latency->cusum = MAX(latency->cusum, 0);
	latency->deviation +=
		(deviation - latency->deviation) * DEVIATION_WEIGHT;
	update_baseline(latency, above, now_ms, is_unloaded);
	if (latency->cusum < CUSUM_LIMIT_LOG2)
		return ADM_LATENCY_NORMAL;
	latency->cusum = 0;
	return ADM_LATENCY_RAISED;
}

static bool has_jumped(const struct adm_latency *latency)
{
	double margin = JUMP_ERROR_FACTOR *
			get_sampling_error(latency, ADM_RECENT_COUNT);
	double sum = 0;

	if (!latency->has_baseline || latency->recent_count < ADM_RECENT_COUNT)
		return false;
	for (uint32_t i = 0; i < ADM_RECENT_COUNT; i++) {
		double above = latency->recent[i] - latency->baseline;

		if (above < JUMP_EACH_LOG2)
			return false;
		sum += above;
	}
	return sum / ADM_RECENT_COUNT >= JUMP_MEAN_LOG2 + margin;
}

void adm_clear_latency(struct adm_latency *latency)
{
	*latency = (struct adm_latency){ 0 };
}

void adm_clear_recent(struct adm_latency *latency)
{
	clear_window(latency);
	latency->recent_count = 0;
}

enum adm_latency_level adm_note_latency(struct adm_latency *latency,
					uint32_t latency_us, uint64_t now_ms,
					bool is_unloaded)
{
	double value = log2(MAX(latency_us, 1U));
	double mean;

	latency->recent[latency->recent_count++ % ADM_RECENT_COUNT] = value;
	latency->window_sum += value;
	latency->window_count++;
	mean = latency->window_sum / latency->window_count;
	latency->window_deviation_sum += fabs(value - mean);
	if (has_jumped(latency)) {
		update_baseline(latency, mean - latency->baseline, now_ms,
				is_unloaded);
		adm_clear_recent(latency);
		latency->cusum = 0;
		return ADM_LATENCY_JUMPED;
	}
	if (latency->window_count < WINDOW_COUNT)
		return ADM_LATENCY_NORMAL;
	return end_window(latency, now_ms, is_unloaded);
}
