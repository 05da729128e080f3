/*
 * Placement of a call by the expected time of its end.
 *
 * The time at a target is the wait that its gate expects for the class of the
 * call, the run time there, and the transit. A target of another failure domain
 * counts as slower by what the bytes of the call cost on the way, so that a
 * call leaves only for a gain that is worth them. Of the targets of a domain
 * two are drawn, weighted by their free slots (by their limits when none is
 * free), and the faster one is taken.
 *
 * A call that no usable target is expected to answer in time is refused without
 * asking one, except for a few that find out whether that is still so.
 */
#include "placement.h"
#include "asks.h"

/*
 * Higher failure shares are clamped: the target may be the only one with free
 * capacity.
 */
#define FAILURE_PERMILLE_MAX 900U

/* The part of a group that lies in, or outside, the own failure domain. */
struct side {
	const struct rt_group *group;
	bool is_home;
	enum rt_grade min_grade;
	bool is_known_only; /* targets that have told their waits */
	bool has_cut_off;   /* includes domains that are probably cut off */
};

struct choice {
	int64_t index; /* -1: none */
	uint64_t time_us;
};

static const struct rt_target_state *get_state(const struct rt_chooser *chooser,
					       const struct rt_group *group,
					       uint32_t index)
{
	return chooser->states->by_entry[group->first + index];
}

static uint32_t get_free_slots(const struct rt_target_state *state,
			       uint64_t now_ms)
{
	uint32_t limit = rt_estimate_limit(state, now_ms);
	uint32_t load = rt_estimate_load(state, now_ms);

	return limit > load ? limit - load : 0;
}

/* Expected number of attempts until one succeeds there. */
static double get_failure_factor(const struct rt_target_state *state,
				 uint64_t now_ms)
{
	uint32_t permille = rt_estimate_failure_permille(state, now_ms);

	return 1000.0 / (1000 - MIN(permille, FAILURE_PERMILLE_MAX));
}

static uint64_t estimate_time_us(const struct rt_target_state *state,
				 const struct rt_request *request,
				 uint64_t now_ms)
{
	uint32_t latency_us = rt_estimate_latency_us(state, now_ms);
	uint32_t run_us = request->run_us ? request->run_us : latency_us;
	uint64_t time_us = rt_estimate_wait_us(state, request->class, now_ms) +
			   run_us + rt_estimate_transit_us(state, now_ms);

	if (request->has_large_answer)
		time_us += rt_estimate_link_wait_us(state, now_ms);
	/* Among targets with room, those that run calls faster come first. */
	if (run_us < latency_us)
		time_us += (latency_us - run_us) / 4;
	return (uint64_t)((double)time_us * get_failure_factor(state, now_ms));
}

static bool is_cut_off(const struct rt_chooser *chooser,
		       const struct rt_group *group, uint32_t index,
		       uint64_t now_ms)
{
	const struct rt_target_state *state = get_state(chooser, group, index);

	return state->domain && rt_is_domain_cut_off(state->domain, now_ms);
}

enum rt_obstacle rt_find_path_obstacle(const struct rt_chooser *chooser,
				       const struct rt_table *table,
				       const struct rt_group *group,
				       uint32_t index, bool is_known_only,
				       uint64_t now_ms)
{
	const struct rt_target_state *state = get_state(chooser, group, index);

	if (is_known_only && !rt_has_waits(state, now_ms))
		return RT_OBSTACLE_LOAD_UNKNOWN;
	if (rt_is_target_silent(state, now_ms))
		return RT_OBSTACLE_SILENT;
	if (table->entries[group->first + index].tier > 0 &&
	    is_cut_off(chooser, group, index, now_ms))
		return RT_OBSTACLE_CUT_OFF;
	return RT_OBSTACLE_NONE;
}

static bool is_on_side(const struct rt_chooser *chooser,
		       const struct rt_table *table, const struct side *side,
		       uint32_t index, uint64_t now_ms)
{
	bool is_home = table->entries[side->group->first + index].tier == 0;
	enum rt_obstacle obstacle;

	if (is_home != side->is_home ||
	    chooser->grades[index] < side->min_grade)
		return false;
	obstacle = rt_find_path_obstacle(chooser, table, side->group, index,
					 side->is_known_only, now_ms);
	return obstacle == RT_OBSTACLE_NONE ||
	       (side->has_cut_off && obstacle != RT_OBSTACLE_LOAD_UNKNOWN);
}

/* Collects the entries of a side with their weights; returns whether any. */
static bool collect(const struct rt_chooser *chooser,
		    const struct rt_table *table, const struct side *side,
		    struct rt_candidates *candidates, bool must_be_free,
		    uint64_t now_ms)
{
	rt_clear_candidates(candidates, side->group);
	for (uint32_t i = 0; i < side->group->count; i++) {
		const struct rt_target_state *state =
			get_state(chooser, side->group, i);
		uint32_t weight;

		if (!is_on_side(chooser, table, side, i, now_ms) ||
		    (must_be_free && chooser->grades[i] < GRADE_READY))
			continue;
		weight = must_be_free ? get_free_slots(state, now_ms)
				      : rt_estimate_limit(state, now_ms);
		candidates->indices[candidates->count] = i;
		candidates->limits[candidates->count++] = MAX(weight, 1U);
		candidates->limit_sum += MAX(weight, 1U);
	}
	return candidates->count > 0;
}

/* Collects the entries with a free slot or, if there are none, all. */
static void collect_side(const struct rt_chooser *chooser,
			 const struct rt_table *table, const struct side *side,
			 struct rt_candidates *candidates, uint64_t now_ms)
{
	if (!collect(chooser, table, side, candidates, true, now_ms))
		collect(chooser, table, side, candidates, false, now_ms);
}

static uint32_t draw(struct rt_chooser *chooser,
		     const struct rt_candidates *candidates)
{
	uint64_t value = rt_draw_random(chooser, candidates->limit_sum);
	uint32_t place = 0;

	while (value >= candidates->limits[place])
		value -= candidates->limits[place++];
	return candidates->indices[place];
}

static struct choice choose_candidate(struct rt_chooser *chooser,
				      const struct rt_candidates *candidates,
				      const struct rt_request *request,
				      uint64_t now_ms)
{
	struct choice best = { .index = -1, .time_us = 0 };

	if (candidates->count == 0)
		return best;
	for (uint32_t i = 0; i < 2; i++) {
		uint32_t index = draw(chooser, candidates);
		const struct rt_target_state *state =
			get_state(chooser, candidates->group, index);
		uint64_t time_us = estimate_time_us(state, request, now_ms);

		if (best.index >= 0 && time_us >= best.time_us)
			continue;
		best.index = index;
		best.time_us = time_us;
	}
	return best;
}

uint64_t rt_estimate_end_us(const struct rt_chooser *chooser,
			    const struct rt_table *table,
			    const struct rt_group *group,
			    const struct rt_request *request, uint32_t index,
			    uint64_t now_ms)
{
	bool is_home = table->entries[group->first + index].tier == 0;

	return estimate_time_us(get_state(chooser, group, index), request,
				now_ms) +
	       (is_home ? 0 : request->crossing_us);
}

/*
 * Returns whether a usable target may answer in time. A target at home that has
 * not told its waits may; one elsewhere counts only when it has.
 */
static bool may_end_in_time(const struct rt_chooser *chooser,
			    const struct rt_table *table,
			    const struct rt_group *group,
			    const struct rt_request *request,
			    enum rt_grade min_grade, uint64_t now_ms)
{
	bool is_any_known = false;

	for (uint32_t i = 0; i < group->count; i++) {
		const struct rt_target_state *state =
			get_state(chooser, group, i);
		bool is_home = table->entries[group->first + i].tier == 0;
		uint64_t time_us;

		if (chooser->grades[i] < min_grade ||
		    (!is_home && is_cut_off(chooser, group, i, now_ms)))
			continue;
		if (!rt_has_waits(state, now_ms)) {
			if (is_home)
				return true;
			continue;
		}
		time_us = rt_estimate_end_us(chooser, table, group, request, i,
					     now_ms);
		/* Its gate wants more time, as the one that refused before. */
		if (request->tried_count > 0 &&
		    request->class != RT_CLASS_NESTED &&
		    chooser->grades[i] < GRADE_READY)
			time_us += request->run_us;
		if (now_ms + time_us / 1000 < request->latest_end_ms)
			return true;
		is_any_known = true;
	}
	return !is_any_known;
}

/*
 * Returns whether a call whose targets at home were all tried must not leave:
 * with the cost of the way it counts as too late.
 */
static bool is_crossing_too_dear(const struct rt_table *table,
				 const struct rt_group *group,
				 const struct rt_request *request,
				 const struct choice *far, uint64_t now_ms)
{
	return request->tried_count > 0 && request->latest_end_ms > 0 &&
	       table->entries[group->first].tier == 0 &&
	       now_ms + far->time_us / 1000 >= request->latest_end_ms;
}

enum rt_refusal rt_plan_placement(struct rt_chooser *chooser,
				  const struct rt_table *table,
				  const struct rt_group *group,
				  const struct rt_request *request,
				  enum rt_grade min_grade, uint64_t now_ms)
{
	struct side home = { .group = group,
			     .is_home = true,
			     .min_grade = min_grade };
	struct side away = { .group = group,
			     .min_grade = min_grade,
			     .is_known_only = request->is_known_only };
	struct rt_candidates *near = &chooser->near;
	struct rt_candidates *far = &chooser->far;

	if (request->is_known_only)
		rt_choose_ask(chooser, table, group, now_ms);
	if (request->latest_end_ms > 0 && !chooser->is_trial &&
	    !may_end_in_time(chooser, table, group, request, min_grade, now_ms))
		return RT_REFUSAL_NO_ROOM;
	collect_side(chooser, table, &home, near, now_ms);
	/* Without a target at home the others need not be known. */
	away.is_known_only &= near->count > 0;
	collect_side(chooser, table, &away, far, now_ms);
	if (near->count == 0 && far->count == 0) {
		home.has_cut_off = true;
		away.has_cut_off = true;
		collect_side(chooser, table, &home, near, now_ms);
		collect_side(chooser, table, &away, far, now_ms);
	}
	return RT_REFUSAL_NONE;
}

int64_t rt_place_call(struct rt_chooser *chooser, const struct rt_table *table,
		      const struct rt_request *request, uint64_t now_ms,
		      enum rt_refusal *refusal)
{
	struct choice near =
		choose_candidate(chooser, &chooser->near, request, now_ms);
	struct choice far =
		choose_candidate(chooser, &chooser->far, request, now_ms);

	far.time_us += request->crossing_us;
	if (near.index < 0 && far.index >= 0 &&
	    is_crossing_too_dear(table, chooser->far.group, request, &far,
				 now_ms)) {
		*refusal = RT_REFUSAL_NO_ROOM;
		return -1;
	}
	if (near.index < 0 || far.index < 0)
		return near.index < 0 ? far.index : near.index;
	/*
	 * Also to a target without a free slot: calls of a domain that is
	 * short of room are served about as often as those of the others.
	 */
	if (far.time_us < near.time_us &&
	    rt_may_cross(chooser->crossings, request->service->name,
			 rt_draw_random(chooser, UINT32_MAX), now_ms))
		return far.index;
	return near.index;
}
