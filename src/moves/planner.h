/*
 * Steps of a move, including the one that the planner adds.
 */
#ifndef MOVES_PLANNER_H
#define MOVES_PLANNER_H

#include "loom/moves.h"

/* Returns the number of steps, including the first step if it was added. */
uint32_t mv_get_step_count(const struct doc_move *move);

/* Returns the share of a step in permille. */
uint32_t mv_get_step_share(const struct doc_move *move, uint32_t index);

#endif
