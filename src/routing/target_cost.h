/* Cost of a call to a target, for comparing targets of equal grade. */
#ifndef LOOM_ROUTING_TARGET_COST_H
#define LOOM_ROUTING_TARGET_COST_H

#include <stdbool.h>
#include <stdint.h>
#include "target_state.h"

/*
 * Returns the cost of a call: its latency, which grows with the utilization of
 * the target, plus its time in transit. The sum is multiplied by the failure
 * factor.
 */
double rt_get_cost(const struct rt_target_state *state, uint32_t latency_us,
		   uint64_t now_ms);

/*
 * Returns the higher latency of two targets, for comparing them without regard
 * to their latencies.
 */
uint32_t rt_get_common_latency_us(const struct rt_target_state *a,
				  const struct rt_target_state *b,
				  uint64_t now_ms);

/*
 * Returns whether b costs less than a. Their latencies are ignored unless both
 * are known.
 */
bool rt_is_cheaper(const struct rt_target_state *a,
		   const struct rt_target_state *b, uint64_t now_ms);

#endif
