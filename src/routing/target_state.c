/*
 * Target states of one traffic thread.
 *
 * A report gives the number of calls that the target had in flight. The calls
 * from this thread are counted exactly, so only the remainder of the report,
 * the calls of others, is stored, and it halves with each half-life of its age.
 * A report older than REPORT_LIFE_MS is ignored, and a target without a report
 * gets START_LIMIT.
 *
 * Invariants: by_entry holds one state for each entry of the last synced table,
 * in the same order. A state whose target is not in that table is freed unless
 * it has calls in flight.
 */
#include "target_state.h"

#include <assert.h>
#include <string.h>

#define START_LIMIT 2U
#define REPORT_LIFE_MS 10000U
/*
 * The node of a target sends a report at least this often while it gets calls
 * from here, so the load does not decay before.
 */
#define SENT_REPORT_HOLD_MS 500U
#define SENT_REPORT_LIFE_MS 2000U /* for calls in flight and the phase */
#define REPORT_HALF_LIFE_MS 250U
/* A wait changes within the time that calls run. */
#define WAITS_LIFE_MS 1000U
/* A node that gets calls reports at least twice a second. */
#define REPORT_GAP_MAX_MS 600U
/* Reports that are late by so many mean gaps have stopped. */
#define SILENT_GAPS 4U
#define SILENT_MIN_MS 250U
/* Then a call finds out. */
#define SILENT_MAX_MS 2000U
#define FAILURE_HALF_LIFE_MS 1000U /* same value as in the admission gate */
#define TRANSIT_HALF_LIFE_MS 1000U /* a queue on a link lasts about as long */
#define TRANSIT_SHIFT 2U	   /* a call has weight 1/4 in the mean */
#define EJECTION_FIRST_MS 200U
#define EJECTION_MAX_MS 5000U
#define EJECTION_DOUBLINGS_MAX 5U
#define REFUSED_MS 50U
/* By then the target has announced that it leaves, or a new one has started. */
#define LEAVING_LIFE_MS 2000U

static int destroy_set(struct rt_state_set *set)
{
	g_hash_table_destroy(set->by_address);
	return 0;
}

static void free_state(gpointer data)
{
	talloc_free(data);
}

static bool is_report_fresh(const struct rt_target_state *state,
			    uint64_t now_ms)
{
	return state->is_reported &&
	       now_ms < state->reported_ms + REPORT_LIFE_MS;
}

/*
 * The node of the target reports at least twice a second while it gets calls.
 * When it has stopped, only the limit, the latency and the failures still
 * count.
 */
static bool is_report_forgotten(const struct rt_target_state *state,
				uint64_t now_ms)
{
	return state->is_sent_report &&
	       now_ms >= state->reported_ms + SENT_REPORT_LIFE_MS;
}

static void clear_failures(struct rt_target_state *state)
{
	state->failure_count = 0;
	state->ejected_until_ms = 0;
}

static void clear_report(struct rt_target_state *state)
{
	state->is_reported = false;
	state->sent_report_ms = 0;
	state->report_gap_ms = 0;
	state->unreported_ms = 0;
	state->refused_until_ms = 0;
	clear_failures(state);
}

static gboolean is_unused(gpointer key, gpointer value, gpointer data)
{
	const struct rt_target_state *state = value;
	const struct rt_state_set *set = data;

	return state->table_serial != set->table_serial &&
	       state->own_in_flight == 0;
}

static uint32_t decay_by_half(uint32_t value, uint64_t age_ms,
			      uint32_t half_life_ms)
{
	uint64_t halvings = age_ms / half_life_ms;

	return halvings >= 32 ? 0 : value >> halvings;
}

static void update_transit(struct rt_target_state *state, uint32_t transit_us,
			   uint64_t now_ms)
{
	int64_t mean_us = rt_estimate_transit_us(state, now_ms);

	if (state->transit_updated_ms > 0)
		mean_us +=
			((int64_t)transit_us - mean_us) / (1 << TRANSIT_SHIFT);
	else
		mean_us = transit_us;
	state->transit_us = (uint32_t)mean_us;
	state->transit_updated_ms = now_ms;
}

/*
 * Without an answer, the transit takes at least as long as the caller waited
 * beyond the latency of the target.
 */
static void raise_transit(struct rt_target_state *state, uint32_t waited_us,
			  uint64_t now_ms)
{
	uint32_t known_us = rt_estimate_transit_us(state, now_ms);

	waited_us -= MIN(waited_us, rt_estimate_latency_us(state, now_ms));
	if (waited_us <= known_us)
		return;
	state->transit_us = waited_us;
	state->transit_updated_ms = now_ms;
}

/*
 * counted: the calls in flight from this thread that the load includes.
 */
static void apply_load_report(struct rt_target_state *state,
			      const struct rt_load *load, uint32_t counted,
			      uint64_t now_ms)
{
	state->is_reported = true;
	state->is_sent_report = false;
	state->limit = load->limit;
	state->latency_us = load->latency_us;
	state->failure_permille = load->failure_permille;
	state->others_in_flight =
		load->in_flight > counted ? load->in_flight - counted : 0;
	state->phase = load->phase;
	state->has_waits = load->has_waits;
	memcpy(state->wait_us, load->wait_us, sizeof(state->wait_us));
	state->reported_ms = now_ms;
}

/*
 * Returns how many calls from this thread a report that arrives now does not
 * include. It left the target's node half a transit ago, and a call needs the
 * other half to get there, so these are the calls started within the transit.
 */
static uint32_t count_on_the_way(const struct rt_target_state *state,
				 uint64_t now_ms)
{
	uint64_t transit_us = rt_estimate_transit_us(state, now_ms);
	uint32_t count = 0;

	for (uint32_t i = 0; i < MIN(state->start_count, RT_STARTS_KEPT); i++) {
		if ((now_ms - state->starts_ms[i]) * 1000 <= transit_us)
			count++;
	}
	return MIN(count, state->own_in_flight);
}

/*
 * Returns whether a report was sent after this load: the load of an answer is
 * as old as the head of the answer, and its body may take long.
 */
static bool is_superseded(const struct rt_target_state *state,
			  const struct rt_load *load)
{
	return load->received_ms > 0 &&
	       load->received_ms < state->sent_report_ms;
}

/* Failures during an ejection are those of calls that began before it. */
static void eject_target(struct rt_target_state *state, uint64_t now_ms)
{
	uint32_t doublings = MIN(state->failure_count, EJECTION_DOUBLINGS_MAX);
	uint32_t ejection_ms =
		MIN(EJECTION_FIRST_MS << doublings, EJECTION_MAX_MS);

	if (now_ms < state->ejected_until_ms)
		return;
	state->failure_count++;
	state->ejected_until_ms = now_ms + ejection_ms;
}

static void apply_announced_phase(struct rt_target_state *state,
				  const struct rt_target *target)
{
	if (target->phase == RT_PHASE_STARTING &&
	    state->announced_phase != RT_PHASE_STARTING)
		clear_report(state);
	state->announced_phase = target->phase;
}

struct rt_state_set *rt_new_state_set(TALLOC_CTX *ctx)
{
	struct rt_state_set *set = talloc_zero(ctx, struct rt_state_set);

	set->domains = rt_new_domain_set(set);
	set->by_address = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						free_state);
	talloc_set_destructor(set, destroy_set);
	return set;
}

bool rt_sync_state_set(struct rt_state_set *set, const struct rt_table *table)
{
	if (set->table_serial == table->serial)
		return false;
	set->table_serial = table->serial;
	talloc_free(set->by_entry);
	set->by_entry =
		talloc_array(set, struct rt_target_state *, table->entry_count);
	for (size_t i = 0; i < table->entry_count; i++) {
		const struct rt_target *target = &table->entries[i].target;
		struct rt_target_state *state =
			rt_get_target_state(set, target->address);

		apply_announced_phase(state, target);
		state->domain = rt_get_domain_state(set->domains,
						    target->failure_domain);
		state->table_serial = table->serial;
		set->by_entry[i] = state;
	}
	g_hash_table_foreach_remove(set->by_address, is_unused, set);
	return true;
}

struct rt_state_set *rt_copy_state_set(TALLOC_CTX *ctx,
				       const struct rt_state_set *set,
				       const struct rt_table *table)
{
	struct rt_state_set *copy = talloc_zero(ctx, struct rt_state_set);

	copy->table_serial = table->serial;
	copy->by_entry = talloc_array(copy, struct rt_target_state *,
				      table->entry_count);
	for (size_t i = 0; i < table->entry_count; i++) {
		const struct rt_target *target = &table->entries[i].target;
		const struct rt_target_state *known =
			rt_find_target_state(set, target->address);
		struct rt_target_state *state =
			talloc_zero(copy->by_entry, struct rt_target_state);

		if (known)
			*state = *known;
		state->address = talloc_strdup(state, target->address);
		state->domain = rt_find_domain_state(set->domains,
						     target->failure_domain);
		apply_announced_phase(state, target);
		copy->by_entry[i] = state;
	}
	return copy;
}

struct rt_target_state *rt_get_target_state(struct rt_state_set *set,
					    const char *address)
{
	struct rt_target_state *state;

	state = g_hash_table_lookup(set->by_address, address);
	if (state)
		return state;
	state = talloc_zero(NULL, struct rt_target_state);
	state->address = talloc_strdup(state, address);
	g_hash_table_insert(set->by_address, state->address, state);
	return state;
}

struct rt_target_state *rt_find_target_state(const struct rt_state_set *set,
					     const char *address)
{
	return g_hash_table_lookup(set->by_address, address);
}

void rt_release_target_state(struct rt_state_set *set,
			     struct rt_target_state *state)
{
	if (is_unused(NULL, state, set))
		g_hash_table_remove(set->by_address, state->address);
}

void rt_record_own_start(struct rt_target_state *state, uint64_t now_ms)
{
	state->own_in_flight++;
	if (state->unreported_ms == 0)
		state->unreported_ms = now_ms;
	if (state->domain)
		rt_record_domain_start(state->domain, now_ms);
	state->starts_ms[state->start_count++ % RT_STARTS_KEPT] = now_ms;
}

/* Long gaps are those in which no report was due. */
static void record_report_gap(struct rt_target_state *state, uint64_t now_ms)
{
	uint64_t gap_ms = now_ms - state->sent_report_ms;

	if (state->sent_report_ms == 0 || gap_ms > REPORT_GAP_MAX_MS)
		return;
	if (state->report_gap_ms == 0)
		state->report_gap_ms = (uint32_t)gap_ms;
	else
		state->report_gap_ms =
			(uint32_t)(state->report_gap_ms * 7 + gap_ms) / 8;
}

void rt_record_sent_report(struct rt_target_state *state,
			   const struct rt_load *load, uint64_t now_ms)
{
	struct rt_load shown = *load;

	/* A target that its node cannot reach must not look idle. */
	if (load->is_unreachable)
		shown.in_flight = MAX(load->in_flight, load->limit);
	apply_load_report(
		state, &shown,
		state->own_in_flight - count_on_the_way(state, now_ms), now_ms);
	record_report_gap(state, now_ms);
	state->is_sent_report = true;
	state->sent_report_ms = now_ms;
	state->unreported_ms = 0;
}

/* A failure that the target's node reported shows that the node is reached. */
static void record_domain(struct rt_target_state *state,
			  enum rt_outcome outcome, const struct rt_load *load,
			  uint64_t now_ms)
{
	if (!state->domain || outcome == RT_OUTCOME_CANCELLED)
		return;
	if (load || outcome != RT_OUTCOME_FAILED)
		rt_record_domain_heard(state->domain);
	else
		rt_record_domain_failure(state->domain, state->address, now_ms);
}

void rt_record_result(struct rt_target_state *state, enum rt_outcome outcome,
		      const struct rt_load *load, uint32_t transit_us,
		      uint64_t now_ms)
{
	if (load) {
		state->unreported_ms = 0;
		if (!is_superseded(state, load))
			apply_load_report(state, load, state->own_in_flight,
					  now_ms);
		if (transit_us != RT_TRANSIT_UNKNOWN)
			update_transit(state, transit_us, now_ms);
	} else if (transit_us != RT_TRANSIT_UNKNOWN) {
		raise_transit(state, transit_us, now_ms);
	}
	record_domain(state, outcome, load, now_ms);
	/* Load reports do not tell it, so it stays until the next answer. */
	if (load) {
		state->link_wait_us = load->link_wait_us;
		state->link_wait_ms = now_ms;
	}
	switch (outcome) {
	case RT_OUTCOME_ANSWERED:
		clear_failures(state);
		break;
	case RT_OUTCOME_REFUSED:
		if (load && load->is_unreachable) {
			eject_target(state, now_ms);
			break;
		}
		clear_failures(state);
		state->refused_until_ms = now_ms + REFUSED_MS;
		break;
	case RT_OUTCOME_FAILED:
		eject_target(state, now_ms);
		break;
	case RT_OUTCOME_CANCELLED:
		break;
	}
}

uint32_t rt_estimate_limit(const struct rt_target_state *state, uint64_t now_ms)
{
	/*
	 * After a failure, one call at a time probes whether the target is
	 * back.
	 */
	if (state->failure_count > 0)
		return 1;
	if (!is_report_fresh(state, now_ms))
		return START_LIMIT;
	return MAX(state->limit, 1U);
}

uint32_t rt_estimate_load(const struct rt_target_state *state, uint64_t now_ms)
{
	uint64_t age_ms = now_ms - state->reported_ms;
	uint64_t load = state->own_in_flight;

	if (!is_report_fresh(state, now_ms) ||
	    is_report_forgotten(state, now_ms))
		return state->own_in_flight;
	if (state->is_sent_report)
		age_ms -= MIN(age_ms, SENT_REPORT_HOLD_MS);
	load += decay_by_half(state->others_in_flight, age_ms,
			      REPORT_HALF_LIFE_MS);
	return (uint32_t)MIN(load, UINT32_MAX);
}

uint32_t rt_estimate_latency_us(const struct rt_target_state *state,
				uint64_t now_ms)
{
	return is_report_fresh(state, now_ms) ? state->latency_us : 0;
}

uint32_t rt_estimate_transit_us(const struct rt_target_state *state,
				uint64_t now_ms)
{
	return decay_by_half(state->transit_us,
			     now_ms - state->transit_updated_ms,
			     TRANSIT_HALF_LIFE_MS);
}

uint32_t rt_estimate_failure_permille(const struct rt_target_state *state,
				      uint64_t now_ms)
{
	if (!is_report_fresh(state, now_ms))
		return 0;
	return decay_by_half(state->failure_permille,
			     now_ms - state->reported_ms, FAILURE_HALF_LIFE_MS);
}

enum rt_phase rt_estimate_phase(const struct rt_target_state *state,
				uint64_t now_ms)
{
	if (state->announced_phase == RT_PHASE_LEAVING)
		return RT_PHASE_LEAVING;
	if (!is_report_fresh(state, now_ms) ||
	    is_report_forgotten(state, now_ms))
		return state->announced_phase;
	if (state->phase == RT_PHASE_LEAVING &&
	    now_ms >= state->reported_ms + LEAVING_LIFE_MS)
		return state->announced_phase;
	return state->phase;
}

bool rt_has_waits(const struct rt_target_state *state, uint64_t now_ms)
{
	return state->is_reported && state->has_waits &&
	       now_ms < state->reported_ms + WAITS_LIFE_MS;
}

uint64_t rt_estimate_wait_us(const struct rt_target_state *state,
			     enum rt_class class, uint64_t now_ms)
{
	uint32_t limit = rt_estimate_limit(state, now_ms);
	uint32_t load = rt_estimate_load(state, now_ms);
	uint64_t latency_us = rt_estimate_latency_us(state, now_ms);
	uint64_t wait_us = 0;

	if (load >= limit)
		wait_us = (load - limit + 1) * latency_us / limit;
	/* So that sums of times that are multiplied stay in range. */
	if (!rt_has_waits(state, now_ms))
		return MIN(wait_us, UINT32_MAX);
	/* Calls of a higher class don't wait behind all that are there. */
	if (load < limit)
		return 0;
	return MAX((uint64_t)state->wait_us[class], latency_us / limit);
}

bool rt_is_target_silent(const struct rt_target_state *state, uint64_t now_ms)
{
	/* A call changes the load, which is reported soon. */
	uint64_t due_ms =
		state->unreported_ms +
		MAX(SILENT_MIN_MS, state->report_gap_ms * SILENT_GAPS);

	return state->report_gap_ms > 0 && state->unreported_ms > 0 &&
	       now_ms > due_ms &&
	       now_ms < state->sent_report_ms + SILENT_MAX_MS;
}

uint64_t rt_estimate_link_wait_us(const struct rt_target_state *state,
				  uint64_t now_ms)
{
	uint64_t age_us = (now_ms - state->link_wait_ms) * 1000;

	return state->link_wait_us - MIN(age_us, state->link_wait_us);
}
