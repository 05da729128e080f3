/*
 * Times and shares of a ramp, planned from the exposure that it may have.
 */
#include "schedule.h"

#include <math.h>

/*
 * Parts of the exposure before and after the end of a ramp. The rest is left
 * for calls that a node sends before it knows of a change.
 */
#define BOUND_PERCENT 55U
#define RESERVE_PERCENT 40U
/* Part of the bound before the end that the steps are planned to use. */
#define PLANNED_PERCENT 95U
#define PROBE_SHARE_PERMILLE 30U
/* The same as a part of a small bound. */
#define PROBE_BOUND_PERCENT 60U
/* Part of the time that the probe lasts at least. */
#define PROBE_TIME_PERCENT 35U
/*
 * Time that the load step lasts at least before the earliest end. Its first
 * calls have to be reported by then (LOAD_REPORTED_MS in ramp.c).
 */
#define LOAD_MIN_MS 900U
/* Time at the end of the limit in which a ramp does not finish any more. */
#define END_MARGIN_MS 350U
/* The same as a part of a short limit. */
#define END_MARGIN_PART 45U
/* Targets of the new version of which one has the full load at a time. */
#define TARGETS_PER_TURN 8U

struct mv_ramp_limits mv_get_ramp_limits(uint32_t limit_ms,
					 uint32_t exposure_permille)
{
	return (struct mv_ramp_limits){
		.limit_ms = limit_ms,
		.bound_permille = exposure_permille * BOUND_PERCENT / 100,
		.reserve_permille = exposure_permille * RESERVE_PERCENT / 100,
	};
}

uint32_t mv_get_reserve_ms(const struct mv_ramp_limits *limits)
{
	return (uint32_t)((uint64_t)limits->limit_ms *
			  limits->reserve_permille / DOC_SHARE_ALL_PERMILLE);
}

uint32_t mv_get_end_margin_ms(const struct mv_ramp_limits *limits)
{
	return MIN(END_MARGIN_MS, limits->limit_ms / END_MARGIN_PART);
}

uint32_t mv_get_turn_count(uint32_t target_count)
{
	uint32_t per_turn = MAX(target_count / TARGETS_PER_TURN, 1U);

	return MAX((target_count + per_turn - 1) / per_turn, 1U);
}

uint32_t mv_get_load_permille(uint32_t target_count)
{
	return DOC_SHARE_ALL_PERMILLE / mv_get_turn_count(target_count);
}

uint32_t mv_get_probe_permille(const struct mv_ramp_limits *limits)
{
	return MIN(PROBE_SHARE_PERMILLE,
		   limits->bound_permille * PROBE_BOUND_PERCENT / 100);
}

uint64_t mv_get_load_start_ms(const struct mv_ramp_limits *limits,
			      uint32_t target_count)
{
	double limit_ms = limits->limit_ms;
	double end_ms = limit_ms - mv_get_reserve_ms(limits);
	double planned_ms = end_ms * limits->bound_permille /
			    DOC_SHARE_ALL_PERMILLE * PLANNED_PERCENT / 100;
	double probe_share =
		(double)mv_get_probe_permille(limits) / DOC_SHARE_ALL_PERMILLE;
	double load_share = (double)mv_get_load_permille(target_count) /
			    DOC_SHARE_ALL_PERMILLE;
	double start_ms;

	start_ms =
		(load_share * end_ms - planned_ms) / (load_share - probe_share);
	start_ms = fmin(start_ms, end_ms - LOAD_MIN_MS);
	return (uint64_t)fmax(start_ms, limit_ms * PROBE_TIME_PERCENT / 100);
}

uint64_t mv_get_due_calls(const struct mv_ramp_limits *limits, uint64_t calls)
{
	return calls * limits->bound_permille * PLANNED_PERCENT / 100 /
	       DOC_SHARE_ALL_PERMILLE;
}
