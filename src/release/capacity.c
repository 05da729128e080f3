/*
 * Estimate of the share of calls that the targets of a new version can serve.
 *
 * The sum of the latencies of a slot's calls gives the number of concurrent
 * calls; the busiest of the latest slots counts. A serving target has capacity
 * for as many concurrent calls as its service has slots, a starting one for a
 * single call. Only USABLE_PERMILLE of the capacity is used.
 */
#include "capacity.h"

#define SLOTS_USED 5U
#define SLOTS_SKIPPED 2U /* reports of the latest slots may be missing */
#define USABLE_PERMILLE 700U
#define WARM_UP_MS 60000U /* assumed warm-up time of a starting target */
#define BUCKET_FIRST_US 1000U
#define US_PER_SLOT 1000000ULL

struct demand {
	uint64_t busy_us; /* sum of the latencies of all good calls */
};

static void add_series(const struct mv_series_key *key,
		       const struct mv_counts *counts, void *data)
{
	struct demand *demand = data;
	uint64_t upper_us = BUCKET_FIRST_US;

	for (uint32_t i = 0; i < MV_LATENCY_BUCKETS; i++) {
		demand->busy_us += counts->latency[i] * upper_us;
		upper_us += upper_us / 2;
	}
}

static uint64_t get_busy_us(const struct mv_window *window, uint64_t now_ms)
{
	uint64_t last = mv_get_slot(now_ms) - SLOTS_SKIPPED;
	uint64_t highest_us = 0;

	for (uint64_t slot = last - SLOTS_USED; slot < last; slot++) {
		struct demand demand = { 0 };

		mv_each_series(window, slot, add_series, &demand);
		if (demand.busy_us > highest_us)
			highest_us = demand.busy_us;
	}
	return highest_us;
}

void rls_estimate_capacity(const struct rls_members *members,
			   const struct doc_snapshot *snapshot,
			   const struct doc_service *service,
			   const struct mv_window *window, uint64_t now_ms,
			   struct mv_evidence *evidence)
{
	const char *version = service->move->to;
	uint32_t serving = rls_count_targets(members, snapshot, service->name,
					     version, RT_PHASE_SERVING);
	uint32_t starting = rls_count_targets(members, snapshot, service->name,
					      version, RT_PHASE_STARTING);
	uint64_t capacity =
		(uint64_t)serving * service->limits.slots + starting;
	uint64_t capacity_us = capacity * US_PER_SLOT * USABLE_PERMILLE / 1000;
	uint64_t busy_us = get_busy_us(window, now_ms);

	evidence->targets_warm_up_ms = 0;
	evidence->target_capacity_permille =
		capacity ? DOC_SHARE_ALL_PERMILLE : 0;
	if (busy_us <= capacity_us)
		return;
	evidence->target_capacity_permille =
		(uint32_t)(capacity_us * DOC_SHARE_ALL_PERMILLE / busy_us);
	if (starting > 0)
		evidence->targets_warm_up_ms = WARM_UP_MS;
}
