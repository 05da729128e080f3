/*
 * Bound on the calls to a target that may have turned cold unnoticed.
 *
 * A target may turn cold at any moment and says so only when it is asked, or
 * some time later by itself. Calls that were sent after the last moment at
 * which it was known to be warm may have gone to a cold target, so in one
 * second no more of them are sent than a cold target bears. Only a target that
 * gets about that many has to be asked.
 */
#ifndef LOOM_ADMISSION_WARMTH_H
#define LOOM_ADMISSION_WARMTH_H

#include <stdbool.h>
#include <stdint.h>

#define ADM_WARMTH_SLOT_MS 20U
/* One more than a second has: the first one is only partly within it. */
#define ADM_WARMTH_SLOTS 51U

/*
 * Invariant: slot number N is at N % ADM_WARMTH_SLOTS; the slots are those up
 * to number last.
 */
struct adm_warmth {
	uint32_t limit; /* calls in one second; 0: unlimited */
	uint64_t last;
	uint32_t calls[ADM_WARMTH_SLOTS];
	uint32_t unconfirmed[ADM_WARMTH_SLOTS]; /* of these */
};

/* Sets the calls in one second that a cold target bears; 0: unlimited. */
void adm_set_warmth_limit(struct adm_warmth *warmth, uint32_t limit);

/* Forgets all calls, since another target is there. */
void adm_clear_warmth(struct adm_warmth *warmth);

/* Records that a call is sent. */
void adm_record_warmth_call(struct adm_warmth *warmth, uint64_t now_ms);

/* Returns whether more than waiting_count calls may be sent now. */
bool adm_has_warmth_room(struct adm_warmth *warmth, uint32_t waiting_count,
			 uint64_t now_ms);

/* Returns whether there is soon no room, so that the target should be asked. */
bool adm_is_warmth_due(struct adm_warmth *warmth, uint64_t now_ms);

/* Records that the target was warm at asked_ms or later. */
void adm_confirm_warmth(struct adm_warmth *warmth, uint64_t asked_ms,
			uint64_t now_ms);

/*
 * Returns when there is room for a call though the target does not answer: now
 * if there is, else less than a second later.
 */
uint64_t adm_get_warmth_room_ms(struct adm_warmth *warmth, uint64_t now_ms);

#endif
