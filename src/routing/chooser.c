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
#include "grade.h"
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
/* splitmix64: a short generator, uniform enough for load balancing. */
uint64_t rt_draw_random(struct rt_chooser *chooser, uint64_t bound)
{
	uint64_t value = chooser->random += UINT64_C(0x9e3779b97f4a7c15);

	value = (value ^ (value >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	value = (value ^ (value >> 27)) * UINT64_C(0x94d049bb133111eb);
	value ^= value >> 31;
	return value % bound;
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
		chooser->grades[i] = rt_get_grade(rt_find_obstacle(
			chooser, &table->entries[group->first + i],
			get_entry_state(chooser, group, i), request, now_ms));
		best = MAX(best, chooser->grades[i]);
	}
	return best;
}

void rt_clear_candidates(struct rt_candidates *candidates,
			 const struct rt_group *group)
{
	candidates->group = group;
	candidates->count = 0;
	candidates->limit_sum = 0;
}

static void add_candidate(const struct rt_chooser *chooser,
			  struct rt_candidates *candidates, uint32_t index,
			  uint64_t now_ms)
{
	uint32_t limit = rt_estimate_limit(
		get_entry_state(chooser, candidates->group, index), now_ms);

	candidates->indices[candidates->count] = index;
	candidates->limits[candidates->count++] = limit;
	candidates->limit_sum += limit;
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

	for (uint32_t i = 0; i < group->count; i++) {
		if (chooser->grades[i] != grade)
			continue;
		if (tier == UINT32_MAX && is_near)
			tier = table->entries[group->first + i].tier;
		if (table->entries[group->first + i].tier > tier)
			break;
		add_candidate(chooser, &chooser->near, i, now_ms);
	}
}

/* Collects the ready entries of the tiers beyond the given one. */
static void collect_farther(struct rt_chooser *chooser,
			    const struct rt_table *table,
			    const struct rt_group *group, uint32_t tier,
			    uint64_t now_ms)
{
	for (uint32_t i = 0; i < group->count; i++) {
		if (chooser->grades[i] == GRADE_READY &&
		    table->entries[group->first + i].tier > tier)
			add_candidate(chooser, &chooser->far, i, now_ms);
	}
}

/*
 * Draws a candidate at random, weighted by its limit. The candidate at position
 * except is left out.
 */
static uint32_t draw_weighted(struct rt_chooser *chooser,
			      const struct rt_candidates *candidates,
			      uint32_t except)
{
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

static uint32_t pick_two_choices(struct rt_chooser *chooser,
				 const struct rt_candidates *candidates,
				 uint64_t now_ms)
{
	uint32_t places[2];

	if (candidates->count == 1)
		return 0;
	places[0] = draw_weighted(chooser, candidates, UINT32_MAX);
	places[1] = draw_weighted(chooser, candidates, places[0]);
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
	const struct rt_candidates *candidates = &chooser->near;
	uint32_t *cursor;

	assert(candidates->count > 0);
	switch (chooser->policy) {
	case RT_POLICY_TWO_CHOICES:
		return pick_two_choices(chooser, candidates, now_ms);
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
			       const struct rt_group *group,
			       const struct rt_request *request, uint32_t near,
			       uint64_t now_ms)
{
	const struct rt_candidates *candidates = &chooser->far;
	double factor = request->is_bulky ? FAR_BULKY_FACTOR : FAR_FACTOR;
	const struct rt_target_state *near_state =
		get_entry_state(chooser, group, near);
	const struct rt_target_state *far_state;
	uint32_t latency_us;
	uint32_t far;

	if (candidates->count == 0)
		return near;
	far = candidates
		      ->indices[pick_two_choices(chooser, candidates, now_ms)];
	far_state = get_entry_state(chooser, group, far);
	/* A lower latency alone does not justify the distance. */
	latency_us = rt_get_common_latency_us(near_state, far_state, now_ms);
	return rt_get_cost(far_state, latency_us, now_ms) * factor <
			       rt_get_cost(near_state, latency_us, now_ms)
		       ? far
		       : near;
}

/* Collects the candidates of a call that is not placed. */
static void plan_by_load(struct rt_chooser *chooser,
			 const struct rt_table *table,
			 const struct rt_group *group,
			 const struct rt_request *request, enum rt_grade grade,
			 uint64_t now_ms)
{
	const struct rt_candidates *near = &chooser->near;
	bool is_near = grade == GRADE_READY;

	if (request->is_bulky && grade >= GRADE_BUSY) {
		grade = get_nearest_grade(chooser, table, group, grade);
		is_near = true;
	}
	collect_candidates(chooser, table, group, grade, is_near, now_ms);
	if (!is_near || chooser->policy != RT_POLICY_TWO_CHOICES)
		return;
	/* The near candidates are all of one tier. */
	collect_farther(chooser, table, group,
			table->entries[group->first + near->indices[0]].tier,
			now_ms);
}

bool rt_plan_version(struct rt_chooser *chooser, const struct rt_table *table,
		     const struct rt_request *request, const char *version,
		     enum rt_grade min_grade, uint64_t now_ms,
		     enum rt_refusal *refusal)
{
	const struct rt_group *group;
	enum rt_grade grade;

	*refusal = RT_REFUSAL_NO_TARGET;
	group = rt_find_group(table, request->service->name, version);
	if (!group)
		return false;
	rt_clear_candidates(&chooser->near, group);
	rt_clear_candidates(&chooser->far, group);
	grade = grade_group(chooser, table, group, request, now_ms);
	if (grade == GRADE_DOMAIN_OUT)
		*refusal = RT_REFUSAL_DOMAINS_OUT;
	if (grade < min_grade)
		return false;
	*refusal = RT_REFUSAL_NONE;
	if (request->is_placed)
		*refusal = rt_plan_placement(chooser, table, group, request,
					     MIN(grade, GRADE_BUSY), now_ms);
	else
		plan_by_load(chooser, table, group, request, grade, now_ms);
	return *refusal == RT_REFUSAL_NONE;
}

/* Sets chooser->chosen when it returns true. */
static bool choose_in_version(struct rt_chooser *chooser,
			      const struct rt_table *table,
			      const struct rt_request *request,
			      const char *version, enum rt_grade min_grade,
			      uint64_t now_ms, enum rt_refusal *refusal)
{
	const struct rt_candidates *near = &chooser->near;
	const struct rt_group *group;
	int64_t index;

	if (!rt_plan_version(chooser, table, request, version, min_grade,
			     now_ms, refusal))
		return false;
	group = near->group;
	if (request->is_placed) {
		index = rt_place_call(chooser, table, request, now_ms, refusal);
	} else {
		index = near->indices[pick_by_policy(chooser, table, now_ms)];
		index = choose_farther(chooser, group, request, (uint32_t)index,
				       now_ms);
	}
	if (index < 0)
		return false;
	chooser->chosen = &table->entries[group->first + (size_t)index].target;
	return true;
}

static void size_candidates(struct rt_chooser *chooser,
			    struct rt_candidates *candidates, size_t size)
{
	talloc_free(candidates->indices);
	candidates->indices = talloc_array(chooser, uint32_t, size);
	talloc_free(candidates->limits);
	candidates->limits = talloc_array(chooser, uint32_t, size);
}

void rt_size_chooser(struct rt_chooser *chooser, const struct rt_table *table)
{
	size_t largest = 1;

	for (size_t i = 0; i < table->group_count; i++)
		largest = MAX(largest, table->groups[i].count);
	talloc_free(chooser->cursors);
	chooser->cursors =
		talloc_zero_array(chooser, uint32_t, table->group_count);
	talloc_free(chooser->grades);
	chooser->grades = talloc_array(chooser, enum rt_grade, largest);
	size_candidates(chooser, &chooser->near, largest);
	size_candidates(chooser, &chooser->far, largest);
}

static void sync_table(struct rt_chooser *chooser, const struct rt_table *table)
{
	if (rt_sync_state_set(chooser->states, table))
		rt_size_chooser(chooser, table);
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
static bool try_pass(struct rt_chooser *chooser, const struct rt_table *table,
		     const struct rt_request *request, const char *version,
		     enum rt_grade min_grade, rt_try_fn try_version,
		     uint64_t now_ms, enum rt_refusal *refusal)
{
	const struct doc_move *move = request->service->move;
	bool is_in_turns = move && version == move->to && move->turn_count > 1;
	enum rt_refusal first;

	/* A target that failed recently is not tried with its full load. */
	if (try_version(chooser, table, request, version,
			is_in_turns ? GRADE_BUSY : min_grade, now_ms, refusal))
		return true;
	first = *refusal;
	version = rt_get_fallback_version(request->service, version);
	if (version && try_version(chooser, table, request, version, min_grade,
				   now_ms, refusal))
		return true;
	if (first == RT_REFUSAL_NO_ROOM)
		*refusal = first;
	return false;
}

bool rt_try_versions(struct rt_chooser *chooser, const struct rt_table *table,
		     const struct rt_request *request, const char *version,
		     rt_try_fn try_version, uint64_t now_ms,
		     enum rt_refusal *refusal)
{
	if (try_pass(chooser, table, request, version, GRADE_EJECTED,
		     try_version, now_ms, refusal))
		return true;
	if (*refusal == RT_REFUSAL_NO_ROOM)
		return false;
	/*
	 * Only starting targets are left, and their gates queue or refuse the
	 * excess.
	 */
	return try_pass(chooser, table, request, version, GRADE_STARTING_FULL,
			try_version, now_ms, refusal);
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
			    rt_draw_random(chooser, RT_TRIAL_PERIOD) == 0;
	version = choose_version(chooser, table, request);
	if (!rt_try_versions(chooser, table, request, version,
			     choose_in_version, now_ms, refusal))
		return NULL;
	target = chooser->chosen;
	if (request->service->move &&
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
