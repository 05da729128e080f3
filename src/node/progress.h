/*
 * Progress of a ramp in JSON, as evaluators tell it to other nodes.
 */
#ifndef ND_PROGRESS_H
#define ND_PROGRESS_H

#include <jansson.h>
#include "loom/moves.h"

/* Returns new JSON with a field for each member. */
json_t *nd_format_progress(const struct mv_ramp_progress *progress);

/* Fills in progress; returns false when a field is missing or out of range. */
bool nd_read_progress(const json_t *told, struct mv_ramp_progress *progress);

/* Reads a whole number from 0 to INT32_MAX; returns false if there is none. */
bool nd_read_number(const json_t *object, const char *name, uint32_t *number);

#endif
