/*
 * Times and shares of a ramp, planned from the exposure that it may have.
 */
#ifndef MV_SCHEDULE_H
#define MV_SCHEDULE_H

#include <stdint.h>
#include "loom/moves.h"

/* Returns the time from the earliest end of a ramp to its limit. */
uint32_t mv_get_reserve_ms(const struct mv_ramp_limits *limits);

/* Returns the time before the limit in which a ramp does not finish. */
uint32_t mv_get_end_margin_ms(const struct mv_ramp_limits *limits);

/* Returns in how many turns the targets of the new version get the full load.
 */
uint32_t mv_get_turn_count(uint32_t target_count);

/* Returns the share of the targets of one turn, in permille of all calls. */
uint32_t mv_get_load_permille(uint32_t target_count);

/* Returns the least share of the probe, in permille. */
uint32_t mv_get_probe_permille(const struct mv_ramp_limits *limits);

/*
 * Returns the age at which the load step begins, so that both steps use the
 * planned exposure by the earliest end.
 */
uint64_t mv_get_load_start_ms(const struct mv_ramp_limits *limits,
			      uint32_t target_count);

/* Returns how many of the calls are due to the new version by the plan. */
uint64_t mv_get_due_calls(const struct mv_ramp_limits *limits, uint64_t calls);

#endif
