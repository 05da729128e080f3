/*
 * Calls of the last one to two seconds.
 */
#ifndef MV_RECENT_H
#define MV_RECENT_H

#include <stdbool.h>
#include <stdint.h>
#include "loom/moves.h"

struct mv_recent {
	struct mv_counts windows[2]; /* the current one and that before */
	uint64_t start_ms;	     /* of the current window */
};

/* Ends the windows that are over at now_ms. */
void mv_turn_recent(struct mv_recent *recent, uint64_t now_ms);

/* Returns the calls of both windows. */
struct mv_counts mv_sum_recent(const struct mv_recent *recent);

/* Returns the time that both windows cover. */
uint64_t mv_get_recent_ms(const struct mv_recent *recent, uint64_t now_ms);

/* Returns whether they failed too often to be compared with others. */
bool mv_is_recent_noisy(const struct mv_recent *recent);

#endif
