/*
 * Steps of a move as the planner sees them.
 */
#ifndef MOVES_PLANNER_H
#define MOVES_PLANNER_H

#include "loom/moves.h"

/* Returns how many steps the move has, an implied first one included. */
uint32_t mv_get_step_count(const struct doc_move *move);

/* Returns the share of a step. */
uint32_t mv_get_step_share(const struct doc_move *move, uint32_t index);

#endif
