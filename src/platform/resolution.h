/*
 * Resolution of a conditional write: what to do after each answer, and what may
 * be reported. Pure: no I/O and no clock.
 *
 * A write whose answer was lost may have taken effect, now or after a delay in
 * the network. It is read back before anything else; NOTES.md gives the rules.
 */
#ifndef LOOM_PLATFORM_RESOLUTION_H
#define LOOM_PLATFORM_RESOLUTION_H

#include <stdbool.h>
#include <stdint.h>
#include "answer.h"

enum plat_write_step {
	PLAT_STEP_WRITE,     /* send the write, again after a backoff */
	PLAT_STEP_READ_BACK, /* read the object */
	PLAT_STEP_END,	     /* report the result */
};

enum plat_write_result {
	PLAT_WRITE_DONE,
	PLAT_WRITE_CONFLICT,
	PLAT_WRITE_UNKNOWN,
	PLAT_WRITE_FAILED, /* certainly without effect; outcome says why */
};

struct plat_resolution {
	uint64_t expected_version;
	bool is_delete;
	bool may_have_effect; /* a try was sent and its answer is not known */
	enum plat_write_step step;
	enum plat_write_result result; /* when step is PLAT_STEP_END */
	enum plat_outcome outcome;     /* of the last try */
	uint64_t version; /* of the written or of the present object */
};

/* What reading back showed. */
struct plat_read_back {
	bool is_present;
	uint64_t version;
	bool is_own; /* it holds the write id of this write */
};

/* Starts with PLAT_STEP_WRITE. */
void plat_start_resolution(struct plat_resolution *resolution,
			   uint64_t expected_version, bool is_delete);

/* Notes the answer to a try of the write; version as the answer gave it. */
void plat_note_write(struct plat_resolution *resolution,
		     enum plat_outcome outcome, uint64_t version);

/* Notes what the read showed. */
void plat_note_read_back(struct plat_resolution *resolution,
			 const struct plat_read_back *read);

/* Notes that the time limit is over; a try in progress counts as lost. */
void plat_note_expiry(struct plat_resolution *resolution, bool is_write_sent);

#endif
