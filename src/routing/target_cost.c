/*
 * Cost of a call to a target: from its reported load, latency and failures.
 */
#include "target_cost.h"

#include <glib.h>

/*
 * A target at its limit costs 1 + LOAD_COST_FACTOR times as much as an idle
 * one.
 */
#define LOAD_COST_FACTOR 3.0
/*
 * Higher failure shares are clamped: the target may be the only one with free
 * capacity.
 */
#define FAILURE_PERMILLE_MAX 900U

/*
 * Factor on the cost of a target that fails a share of its calls: the expected
 * number of attempts until one succeeds, squared because each attempt takes
 * both time and retry budget.
 */
static double get_failure_factor(const struct rt_target_state *state,
				 uint64_t now_ms)
{
	uint32_t permille = rt_estimate_failure_permille(state, now_ms);
	double tries = 1000.0 / (1000 - MIN(permille, FAILURE_PERMILLE_MAX));

	return tries * tries;
}

double rt_get_cost(const struct rt_target_state *state, uint32_t latency_us,
		   uint64_t now_ms)
{
	double utilization = (double)rt_estimate_load(state, now_ms) /
			     rt_estimate_limit(state, now_ms);

	return (latency_us *
			(1 + LOAD_COST_FACTOR * utilization * utilization) +
		rt_estimate_transit_us(state, now_ms)) *
	       get_failure_factor(state, now_ms);
}

uint32_t rt_get_common_latency_us(const struct rt_target_state *a,
				  const struct rt_target_state *b,
				  uint64_t now_ms)
{
	uint32_t latency_us = MAX(rt_estimate_latency_us(a, now_ms),
				  rt_estimate_latency_us(b, now_ms));

	return MAX(latency_us, 1U);
}

bool rt_is_cheaper(const struct rt_target_state *a,
		   const struct rt_target_state *b, uint64_t now_ms)
{
	uint32_t a_latency_us = rt_estimate_latency_us(a, now_ms);
	uint32_t b_latency_us = rt_estimate_latency_us(b, now_ms);

	if (a_latency_us == 0 || b_latency_us == 0)
		a_latency_us = b_latency_us =
			rt_get_common_latency_us(a, b, now_ms);
	return rt_get_cost(b, b_latency_us, now_ms) <
	       rt_get_cost(a, a_latency_us, now_ms);
}
