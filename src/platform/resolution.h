/*
 * Resolution of a conditional write: decides what to do after each response and
 * which result may be reported. Pure: no I/O and no clock.
 *
 * A write whose response was lost may have taken effect, or may still take
 * effect after a delay in the network. The object is read back before anything
 * else is sent; NOTES.md gives the rules.
 */
#ifndef LOOM_PLATFORM_RESOLUTION_H
#define LOOM_PLATFORM_RESOLUTION_H

#include <stdbool.h>
#include <stdint.h>
#include "answer.h"

enum plat_write_step {
	PLAT_STEP_WRITE,     /* send the write; after a failure, with backoff */
	PLAT_STEP_READ_BACK, /* read the object, with backoff */
	PLAT_STEP_END,	     /* report the result */
};

enum plat_write_result {
	PLAT_WRITE_DONE,
	PLAT_WRITE_CONFLICT,
	PLAT_WRITE_UNKNOWN,
	PLAT_WRITE_FAILED, /* had no effect; outcome gives the reason */
};

struct plat_resolution {
	uint64_t expected_version;
	bool is_delete;
	bool may_have_effect;	/* the response to a try was lost */
	bool is_condition_lost; /* expected_version is of an older era */
	enum plat_write_step step;
	enum plat_write_result result; /* set when step is PLAT_STEP_END */
	enum plat_outcome outcome;     /* outcome of the last try */
	uint64_t version; /* version of the written or current object */
};

/* What reading the object back showed. */
struct plat_read_back {
	bool is_present;
	uint64_t version;
	bool is_own; /* the object holds what this write wrote */
};

/* Initializes the resolution; the first step is PLAT_STEP_WRITE. */
void plat_start_resolution(struct plat_resolution *resolution,
			   uint64_t expected_version, bool is_delete);

/*
 * Handles a new era of the store: versions of the old one cannot be compared
 * with those that answers will show.
 */
void plat_note_new_era(struct plat_resolution *resolution);

/* Handles the outcome of a try of the write; version is from the response. */
void plat_note_write(struct plat_resolution *resolution,
		     enum plat_outcome outcome, uint64_t version);

/* Handles the result of reading the object back. */
void plat_note_read_back(struct plat_resolution *resolution,
			 const struct plat_read_back *read);

/*
 * Handles the end of the time limit. is_write_sent: the write was in flight,
 * which counts as a lost response.
 */
void plat_note_expiry(struct plat_resolution *resolution, bool is_write_sent);

#endif
