/*
 * What the report codec needs of a window besides the public functions.
 */
#ifndef MOVES_WINDOW_H
#define MOVES_WINDOW_H

#include "loom/moves.h"

#define MV_SLOT_COUNT 16U

/* Returns the service that the window counts (borrowed from it). */
const char *mv_get_window_service(const struct mv_window *window);

/*
 * Remembers that a node reported a slot. Returns false when it did before or
 * when the slot is older than the window.
 */
bool mv_add_reporter(struct mv_window *window, uint64_t slot, const char *node);

#endif
