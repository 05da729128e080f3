/* Share of failed calls among the recent calls to a target. */
#ifndef LOOM_ADMISSION_HEALTH_H
#define LOOM_ADMISSION_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/* Counts of answers that decay exponentially with their age. */
struct adm_health {
	double calls;
	double failures;
	uint64_t updated_ms; /* time up to which the decay was applied */
};

/* Resets the counts. */
void adm_clear_health(struct adm_health *health);

/*
 * Records the end of a call. is_failure says that the caller got no usable
 * answer.
 */
void adm_note_health(struct adm_health *health, bool is_failure,
		     uint64_t now_ms);

/*
 * Returns the share of failures in permille, 0 to 1000. It tends to 0 with few
 * calls, and with time while no call ends, so that a target that is avoided
 * gets calls again.
 */
uint32_t adm_get_failure_permille(const struct adm_health *health,
				  uint64_t now_ms);

#endif
