/*
 * Progress of a ramp in JSON, and what evaluators tell other nodes of it.
 */
#ifndef ND_PROGRESS_H
#define ND_PROGRESS_H

#include <jansson.h>
#include "loom/moves.h"

/* Returns new JSON with a field for each member. */
json_t *nd_format_progress(const struct mv_ramp_progress *progress);

/* Fills in progress; returns false when a field is missing or out of range. */
bool nd_read_progress(const json_t *told, struct mv_ramp_progress *progress);

/*
 * The same for all that an evaluator tells: "rank" and "is_stopped" beside the
 * fields of its progress.
 */
json_t *nd_format_told(const struct mv_told *told);
bool nd_read_told(const json_t *value, struct mv_told *told);

#endif
