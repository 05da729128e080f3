/*
 * Functions of a window that only the report codec needs.
 */
#ifndef MOVES_WINDOW_H
#define MOVES_WINDOW_H

#include "loom/moves.h"

#define MV_SLOT_COUNT 16U

/* Returns the service whose calls the window counts (borrowed from it). */
const char *mv_get_window_service(const struct mv_window *window);

/*
 * Records that a node reported a slot. Returns false when the node has reported
 * it before, when the slot is older than the window, or when the slot already
 * has the largest number of reporters.
 */
bool mv_add_reporter(struct mv_window *window, uint64_t slot, const char *node);

#endif
