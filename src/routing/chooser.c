/*
 * Choice of a target.
 *
 * Each entry in the group of the chosen version gets a grade. Unusable entries
 * are never chosen. Ready ones are chosen from the nearest tier that has any,
 * busy ones if no tier has a ready one, and entries ejected after a failure
 * only if nothing else is left. The policy decides between candidates of equal
 * grade. A ready entry of a farther tier is chosen if its cost is lower by a
 * factor that makes up for the distance. Without this the targets of a failure
 * domain with much traffic would be full while those of neighbouring domains
 * are idle. A bulky call rather waits at the nearest tier: its bytes would fill
 * the links between failure domains.
 *
 * Invariant: cursors has one element for each group of the last synced table.
 */
#include "loom/routing.h"

#include <assert.h>
#include <string.h>
#include "chooser_internal.h"
#include "placement.h"
#include "target_cost.h"
#include "version_split.h"

/*
 * Factor by which a farther target must be cheaper. The cost grows with the
 * square of the utilization, so with these values the nearest targets fill to
 * about two thirds before the first call goes to a farther tier. A bulky call
 * goes there when half as many calls wait at the nearest target as run there.
 */
#define FAR_FACTOR 3.0
#define FAR_BULKY_FACTOR 8.0
/*
 * One of so many calls that have no chance by the reports is sent all the same,
 * so that stale reports are corrected.
 */
#define TRIAL_PERIOD 16U

/* splitmix64: a short generator, uniform enough for load balancing. */
uint64_t rt_draw_random(struct rt_chooser *chooser, uint64_t bound)
{
	uint64_t value = chooser->random += UINT64_C(0x9e3779b97f4a7c15);

	value = (value ^ (value >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	value = (value ^ (value >> 27)) * UINT64_C(0x94d049bb133111eb);
	value ^= value >> 31;
	return value % bound;
}

static bool is_tried(const struct rt_request *request, const char *address)
{
	for (uint32_t i = 0; i < request->tried_count; i++) {
		if (strcmp(request->tried[i], address) == 0)
			return true;
	}
	return false;
}

/*
 * The table may be older than a target's report that its failure domain is
 * taken out.
 */
static bool is_domain_out(const struct rt_request *request,
			  const struct rt_entry *entry)
{
	for (uint32_t i = 0; i < request->out_domain_count; i++) {
		if (strcmp(request->out_domains[i],
			   entry->target.failure_domain) == 0)
			return true;
	}
	return entry->is_domain_out;
}

static enum rt_grade grade_by_load(const struct rt_target_state *state,
				   uint64_t now_ms)
{
	uint32_t limit = rt_estimate_limit(state, now_ms);

	if (now_ms < state->ejected_until_ms)
		return GRADE_EJECTED;
	if (now_ms < state->refused_until_ms)
		return GRADE_BUSY;
	return rt_estimate_load(state, now_ms) >= limit ? GRADE_BUSY
							: GRADE_READY;
}

static enum rt_grade grade_entry(const struct rt_chooser *chooser,
				 const struct rt_entry *entry,
				 const struct rt_target_state *state,
				 const struct rt_request *request,
				 uint64_t now_ms)
{
	enum rt_phase phase = rt_estimate_phase(state, now_ms);

	if (phase == RT_PHASE_LEAVING || entry->is_out_of_turn ||
	    is_tried(request, entry->target.address))
		return GRADE_UNUSABLE;
	if (is_domain_out(request, entry))
		return GRADE_DOMAIN_OUT;
	/* The baseline policies ignore the load. */
	if (chooser->policy != RT_POLICY_TWO_CHOICES)
		return GRADE_READY;
	if (phase == RT_PHASE_STARTING &&
	    state->own_in_flight >= rt_estimate_limit(state, now_ms))
		return GRADE_STARTING_FULL;
	return grade_by_load(state, now_ms);
}

static const struct rt_target_state *
get_entry_state(const struct rt_chooser *chooser, const struct rt_group *group,
		uint32_t index)
{
	return chooser->states->by_entry[group->first + index];
}

static enum rt_grade grade_group(struct rt_chooser *chooser,
				 const struct rt_table *table,
				 const struct rt_group *group,
				 const struct rt_request *request,
				 uint64_t now_ms)
{
	enum rt_grade best = GRADE_UNUSABLE;

	for (uint32_t i = 0; i < group->count; i++) {
		chooser->grades[i] = grade_entry(
			chooser, &table->entries[group->first + i],
			get_entry_state(chooser, group, i), request, now_ms);
		best = MAX(best, chooser->grades[i]);
	}
	return best;
}

static void add_candidate(struct rt_chooser *chooser, uint32_t index,
			  uint64_t now_ms)
{
	struct rt_candidates *candidates = &chooser->candidates;
	uint32_t limit = rt_estimate_limit(
		get_entry_state(chooser, candidates->group, index), now_ms);

	candidates->indices[candidates->count] = index;
	candidates->limits[candidates->count++] = limit;
	candidates->limit_sum += limit;
}

static void clear_candidates(struct rt_chooser *chooser,
			     const struct rt_group *group)
{
	chooser->candidates.group = group;
	chooser->candidates.count = 0;
	chooser->candidates.limit_sum = 0;
}

/*
 * Returns the best grade of the nearest tier that has a ready or busy entry, or
 * best when there is no such tier.
 */
static enum rt_grade get_nearest_grade(const struct rt_chooser *chooser,
				       const struct rt_table *table,
				       const struct rt_group *group,
				       enum rt_grade best)
{
	enum rt_grade nearest = GRADE_UNUSABLE;
	uint32_t tier = 0;

	for (uint32_t i = 0; i < group->count; i++) {
		uint32_t entry_tier = table->entries[group->first + i].tier;

		if (chooser->grades[i] < GRADE_BUSY)
			continue;
		if (nearest != GRADE_UNUSABLE && entry_tier > tier)
			break;
		tier = entry_tier;
		nearest = MAX(nearest, chooser->grades[i]);
	}
	return nearest == GRADE_UNUSABLE ? best : nearest;
}

/*
 * Collects the entries of a grade: those of the nearest tier that has any when
 * is_near is set, otherwise those of all tiers.
 */
static void collect_candidates(struct rt_chooser *chooser,
			       const struct rt_table *table,
			       const struct rt_group *group,
			       enum rt_grade grade, bool is_near,
			       uint64_t now_ms)
{
	uint32_t tier = UINT32_MAX;

	clear_candidates(chooser, group);
	for (uint32_t i = 0; i < group->count; i++) {
		if (chooser->grades[i] != grade)
			continue;
		if (tier == UINT32_MAX && is_near)
			tier = table->entries[group->first + i].tier;
		if (table->entries[group->first + i].tier > tier)
			break;
		add_candidate(chooser, i, now_ms);
	}
}

/* Collects the ready entries of the tiers beyond the given one. */
static void collect_farther(struct rt_chooser *chooser,
			    const struct rt_table *table,
			    const struct rt_group *group, uint32_t tier,
			    uint64_t now_ms)
{
	clear_candidates(chooser, group);
	for (uint32_t i = 0; i < group->count; i++) {
		if (chooser->grades[i] == GRADE_READY &&
		    table->entries[group->first + i].tier > tier)
			add_candidate(chooser, i, now_ms);
	}
}

/*
 * Draws a candidate at random, weighted by its limit. The candidate at position
 * except is left out.
 */
static uint32_t draw_weighted(struct rt_chooser *chooser, uint32_t except)
{
	const struct rt_candidates *candidates = &chooser->candidates;
	uint64_t sum = candidates->limit_sum;
	uint64_t value;
	uint32_t place = 0;

	if (except < candidates->count)
		sum -= candidates->limits[except];
	value = rt_draw_random(chooser, sum);
	for (;; place++) {
		assert(place < candidates->count);
		if (place == except)
			continue;
		if (value < candidates->limits[place])
			return place;
		value -= candidates->limits[place];
	}
}

static uint32_t pick_two_choices(struct rt_chooser *chooser, uint64_t now_ms)
{
	const struct rt_candidates *candidates = &chooser->candidates;
	uint32_t places[2];

	if (candidates->count == 1)
		return 0;
	places[0] = draw_weighted(chooser, UINT32_MAX);
	places[1] = draw_weighted(chooser, places[0]);
	if (rt_is_cheaper(get_entry_state(chooser, candidates->group,
					  candidates->indices[places[0]]),
			  get_entry_state(chooser, candidates->group,
					  candidates->indices[places[1]]),
			  now_ms))
		return places[1];
	return places[0];
}

static uint32_t pick_by_policy(struct rt_chooser *chooser,
			       const struct rt_table *table, uint64_t now_ms)
{
	const struct rt_candidates *candidates = &chooser->candidates;
	uint32_t *cursor;

	assert(candidates->count > 0);
	switch (chooser->policy) {
	case RT_POLICY_TWO_CHOICES:
		return pick_two_choices(chooser, now_ms);
	case RT_POLICY_ROUND_ROBIN:
		cursor = &chooser->cursors[candidates->group - table->groups];
		return (*cursor)++ % candidates->count;
	case RT_POLICY_RANDOM:
		return (uint32_t)rt_draw_random(chooser, candidates->count);
	}
	return 0;
}

/*
 * Returns the index of a farther entry if it is worth the distance, otherwise
 * near.
 */
static uint32_t choose_farther(struct rt_chooser *chooser,
			       const struct rt_table *table,
			       const struct rt_group *group,
			       const struct rt_request *request, uint32_t near,
			       uint64_t now_ms)
{
	const struct rt_candidates *candidates = &chooser->candidates;
	double factor = request->is_bulky ? FAR_BULKY_FACTOR : FAR_FACTOR;
	const struct rt_target_state *near_state =
		get_entry_state(chooser, group, near);
	const struct rt_target_state *far_state;
	uint32_t latency_us;
	uint32_t far;

	collect_farther(chooser, table, group,
			table->entries[group->first + near].tier, now_ms);
	if (candidates->count == 0)
		return near;
	far = candidates->indices[pick_two_choices(chooser, now_ms)];
	far_state = get_entry_state(chooser, group, far);
	/* A lower latency alone does not justify the distance. */
	latency_us = rt_get_common_latency_us(near_state, far_state, now_ms);
	return rt_get_cost(far_state, latency_us, now_ms) * factor <
			       rt_get_cost(near_state, latency_us, now_ms)
		       ? far
		       : near;
}

static const struct rt_target *
choose_in_version(struct rt_chooser *chooser, const struct rt_table *table,
		  const struct rt_request *request, const char *version,
		  enum rt_grade min_grade, uint64_t now_ms,
		  enum rt_refusal *refusal)
{
	const struct rt_candidates *candidates = &chooser->candidates;
	const struct rt_group *group;
	enum rt_grade grade;
	bool is_near;
	uint32_t index;
	int64_t placed;

	*refusal = RT_REFUSAL_NO_TARGET;
	group = rt_find_group(table, request->service->name, version);
	if (!group)
		return NULL;
	grade = grade_group(chooser, table, group, request, now_ms);
	if (grade == GRADE_DOMAIN_OUT)
		*refusal = RT_REFUSAL_DOMAINS_OUT;
	if (grade < min_grade)
		return NULL;
	if (request->is_placed) {
		placed = rt_place_call(chooser, table, group, request,
				       MIN(grade, GRADE_BUSY), now_ms, refusal);
		return placed < 0
			       ? NULL
			       : &table->entries[group->first + (size_t)placed]
					  .target;
	}
	is_near = grade == GRADE_READY;
	if (request->is_bulky && grade >= GRADE_BUSY) {
		grade = get_nearest_grade(chooser, table, group, grade);
		is_near = true;
	}
	collect_candidates(chooser, table, group, grade, is_near, now_ms);
	index = candidates->indices[pick_by_policy(chooser, table, now_ms)];
	if (is_near && chooser->policy == RT_POLICY_TWO_CHOICES)
		index = choose_farther(chooser, table, group, request, index,
				       now_ms);
	*refusal = RT_REFUSAL_NONE;
	return &table->entries[group->first + index].target;
}

static void sync_table(struct rt_chooser *chooser, const struct rt_table *table)
{
	struct rt_candidates *candidates = &chooser->candidates;
	size_t largest = 1;

	if (!rt_sync_state_set(chooser->states, table))
		return;
	for (size_t i = 0; i < table->group_count; i++)
		largest = MAX(largest, table->groups[i].count);
	talloc_free(chooser->cursors);
	chooser->cursors =
		talloc_zero_array(chooser, uint32_t, table->group_count);
	talloc_free(chooser->grades);
	chooser->grades = talloc_array(chooser, enum rt_grade, largest);
	talloc_free(candidates->indices);
	candidates->indices = talloc_array(chooser, uint32_t, largest);
	talloc_free(candidates->limits);
	candidates->limits = talloc_array(chooser, uint32_t, largest);
}

struct rt_chooser *rt_new_chooser(TALLOC_CTX *ctx, enum rt_policy policy,
				  uint64_t seed)
{
	struct rt_chooser *chooser = talloc_zero(ctx, struct rt_chooser);

	chooser->policy = policy;
	chooser->random = seed;
	chooser->states = rt_new_state_set(chooser);
	chooser->exposures = rt_new_exposures(chooser, seed);
	chooser->crossings = rt_new_crossings(chooser);
	return chooser;
}

/* Returns the version of the request within the bound on the new version. */
static const char *choose_version(struct rt_chooser *chooser,
				  const struct rt_table *table,
				  const struct rt_request *request)
{
	const struct doc_service *service = request->service;
	const char *version = rt_choose_version(table, request);

	if (!service->move)
		return version;
	if (!rt_is_exposure_left(chooser->exposures, service))
		return service->move->from;
	return version;
}

/* Tries the version of the request, then the fallback version of the move. */
static const struct rt_target *
choose_in_versions(struct rt_chooser *chooser, const struct rt_table *table,
		   const struct rt_request *request, const char *version,
		   enum rt_grade min_grade, uint64_t now_ms,
		   enum rt_refusal *refusal)
{
	const struct doc_move *move = request->service->move;
	bool is_in_turns = move && version == move->to && move->turn_count > 1;
	const struct rt_target *target;
	enum rt_refusal first;

	/* A target that failed recently is not tried with its full load. */
	target = choose_in_version(chooser, table, request, version,
				   is_in_turns ? GRADE_BUSY : min_grade, now_ms,
				   refusal);
	first = *refusal;
	version = rt_get_fallback_version(request->service, version);
	if (!target && version)
		target = choose_in_version(chooser, table, request, version,
					   min_grade, now_ms, refusal);
	if (!target && first == RT_REFUSAL_NO_ROOM)
		*refusal = first;
	return target;
}

const struct rt_target *rt_choose_target(struct rt_chooser *chooser,
					 const struct rt_table *table,
					 const struct rt_request *request,
					 uint64_t now_ms,
					 enum rt_refusal *refusal)
{
	const struct rt_target *target;
	const char *version;

	assert(request->tried_count <= RT_TRIED_MAX);
	assert(request->out_domain_count <= RT_TRIED_MAX);
	if (!request->service) {
		*refusal = RT_REFUSAL_NO_SERVICE;
		return NULL;
	}
	sync_table(chooser, table);
	chooser->chosen_ms = now_ms;
	chooser->asked = NULL;
	/* Drawn once, also when the call may go to either version of a move. */
	chooser->is_trial = request->is_placed &&
			    rt_draw_random(chooser, TRIAL_PERIOD) == 0;
	version = choose_version(chooser, table, request);
	target = choose_in_versions(chooser, table, request, version,
				    GRADE_EJECTED, now_ms, refusal);
	/*
	 * Only starting targets are left, and their gates queue or refuse the
	 * excess.
	 */
	if (!target && *refusal != RT_REFUSAL_NO_ROOM)
		target = choose_in_versions(chooser, table, request, version,
					    GRADE_STARTING_FULL, now_ms,
					    refusal);
	if (target && request->service->move &&
	    strcmp(target->version, request->service->move->to) == 0)
		rt_spend_exposure(chooser->exposures, request->service);
	return target;
}

bool rt_has_idle_target(struct rt_chooser *chooser,
			const struct rt_table *table,
			const struct rt_request *request, uint64_t now_ms)
{
	const struct rt_group *group;

	sync_table(chooser, table);
	group = rt_find_group(table, request->service->name,
			      choose_version(chooser, table, request));
	return group && grade_group(chooser, table, group, request, now_ms) ==
				GRADE_READY;
}

const char *rt_take_ask(struct rt_chooser *chooser)
{
	const char *asked = chooser->asked;

	chooser->asked = NULL;
	return asked;
}

void rt_record_arrival(struct rt_chooser *chooser,
		       const struct doc_service *service)
{
	rt_credit_exposure(chooser->exposures, service);
}

void rt_record_leaving(struct rt_chooser *chooser, const char *service,
		       enum rt_outcome outcome, uint64_t now_ms)
{
	/* A call that failed or was cancelled tells nothing about room. */
	if (outcome == RT_OUTCOME_ANSWERED || outcome == RT_OUTCOME_REFUSED)
		rt_record_crossing(chooser->crossings, service,
				   outcome == RT_OUTCOME_ANSWERED, now_ms);
}

void rt_record_start(struct rt_chooser *chooser, const char *address)
{
	/* A call starts when its target has been chosen. */
	rt_record_own_start(rt_get_target_state(chooser->states, address),
			    chooser->chosen_ms);
}

bool rt_record_report(struct rt_chooser *chooser, const char *address,
		      const struct rt_load *load, uint64_t now_ms)
{
	struct rt_target_state *state =
		rt_find_target_state(chooser->states, address);

	if (!state)
		return false;
	rt_record_sent_report(state, load, now_ms);
	return true;
}

void rt_record_end(struct rt_chooser *chooser, const char *address,
		   enum rt_outcome outcome, const struct rt_load *load,
		   uint32_t transit_us, uint64_t now_ms)
{
	struct rt_target_state *state =
		rt_get_target_state(chooser->states, address);

	assert(state->own_in_flight > 0);
	state->own_in_flight--;
	rt_record_result(state, outcome, load, transit_us, now_ms);
	rt_release_target_state(chooser->states, state);
}
