/*
 * Learned latency floor of a target, and the signs that it became slower.
 */
#ifndef LOOM_ADMISSION_LATENCY_H
#define LOOM_ADMISSION_LATENCY_H

#include <stdbool.h>
#include <stdint.h>

#define ADM_RECENT_COUNT 6U

/* What is learned; values are log2 of microseconds. */
struct adm_latency {
	bool is_known;	  /* floor and deviation hold values */
	double floor;	  /* of the mean of a window */
	double deviation; /* mean distance of an answer from the mean */
	double excess;	  /* of the last windows, beyond the slack */
	double window_sum;
	double window_deviation_sum;
	uint32_t window_count;
	double recent[ADM_RECENT_COUNT]; /* ring of the last answers */
	uint32_t recent_count;		 /* answers since it was cleared */
	uint64_t risen_ms;		 /* last rise of the floor */
};

enum adm_slowness {
	ADM_SLOWNESS_NONE,
	ADM_SLOWNESS_SLOW, /* lastingly above the floor */
	ADM_SLOWNESS_JUMP, /* far above it at once */
};

/* Forgets everything. */
void adm_clear_latency(struct adm_latency *latency);

/* Drops the latest answers; what is learned stays. */
void adm_clear_latest(struct adm_latency *latency);

/*
 * Notes an answer. is_alone: the target runs one call at a time, so that what
 * is seen is its latency without load. Returns what the answers so far show.
 */
enum adm_slowness adm_note_latency(struct adm_latency *latency,
				   uint32_t latency_us, uint64_t now_ms,
				   bool is_alone);

#endif
