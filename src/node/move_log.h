/*
 * Log lines on the steps of a move.
 */
#ifndef ND_MOVE_LOG_H
#define ND_MOVE_LOG_H

#include "loom/moves.h"

/* What a log line tells of a move; the texts are borrowed. */
struct nd_move_event {
	const char *message;
	const char *service;
	uint32_t rank;		 /* of this node among the evaluators */
	uint32_t share_permille; /* in force on this node */
	uint32_t counted_step;	 /* step whose calls are told */
};

/* Writes a line about a move, with the progress and calls of its ramp. */
void nd_log_move(const struct nd_move_event *event, struct mv_ramp *ramp,
		 uint64_t now_ms);

#endif
