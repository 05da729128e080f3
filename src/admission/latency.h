/* Learned baseline latency of a target, and detection of higher latencies. */
#ifndef LOOM_ADMISSION_LATENCY_H
#define LOOM_ADMISSION_LATENCY_H

#include <stdbool.h>
#include <stdint.h>

#define ADM_RECENT_COUNT 6U

/* Learned values, as log2 of microseconds. */
struct adm_latency {
	bool has_baseline; /* baseline and deviation are valid */
	double baseline;   /* expected mean of a window */
	double deviation;  /* mean distance of answers from a mean */
	double cusum; /* cumulative sum of the rises beyond the tolerance */
	double window_sum;
	double window_deviation_sum;
	uint32_t window_count;
	double recent[ADM_RECENT_COUNT]; /* ring buffer of the last answers */
	uint32_t recent_count;	     /* answers since the ring was cleared */
	uint64_t baseline_raised_ms; /* when the baseline last rose */
};

enum adm_latency_level {
	ADM_LATENCY_NORMAL,
	ADM_LATENCY_RAISED, /* above the baseline for several windows */
	ADM_LATENCY_JUMPED, /* far above the baseline within a few answers */
};

/* Resets all values. */
void adm_clear_latency(struct adm_latency *latency);

/* Discards the recent answers but keeps the learned values. */
void adm_clear_recent(struct adm_latency *latency);

/*
 * Records an answer. is_unloaded says that the target runs one call at a time,
 * so that its latency is not caused by load. Returns what the answers so far
 * show.
 */
enum adm_latency_level adm_note_latency(struct adm_latency *latency,
					uint32_t latency_us, uint64_t now_ms,
					bool is_unloaded);

#endif
