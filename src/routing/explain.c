/*
 * Where a request would go.
 *
 * The candidates come from the functions that collect them for calls. These
 * run on a copy of the chooser with copies of the states of its targets, so
 * that an ask that they record does not count. What is left out of the copy,
 * the exposures and the shares of calls that leave, is only read.
 */
#include "loom/explain.h"

#include <string.h>
#include "grade.h"
#include "placement.h"
#include "version_split.h"

/* A call and a copy of the chooser for it. */
struct evaluation {
	struct rt_chooser *chooser;
	const struct rt_table *table;
	const struct rt_request *request;
	uint64_t now_ms;
	const char *version; /* borrowed from the service, as used */
	const char *used;    /* version of the candidates; NULL: refused */
	enum rt_refusal refusal;
	enum rt_refusal own_refusal; /* of version, without its fallback */
};

static struct rt_chooser *copy_chooser(TALLOC_CTX *ctx,
				       const struct rt_chooser *chooser,
				       const struct rt_table *table)
{
	struct rt_chooser *copy = talloc_zero(ctx, struct rt_chooser);

	copy->policy = chooser->policy;
	copy->random = chooser->random;
	copy->asked_ms = chooser->asked_ms;
	copy->states = rt_copy_state_set(copy, chooser->states, table);
	rt_size_chooser(copy, table);
	return copy;
}

static enum rt_rule get_rule(const struct rt_chooser *chooser,
			     const struct rt_request *request)
{
	if (request->is_placed)
		return RT_RULE_EARLIER_END;
	switch (chooser->policy) {
	case RT_POLICY_TWO_CHOICES:
		return RT_RULE_LOWER_COST;
	case RT_POLICY_ROUND_ROBIN:
		return RT_RULE_ROUND_ROBIN;
	case RT_POLICY_RANDOM:
		return RT_RULE_RANDOM;
	}
	return RT_RULE_LOWER_COST;
}

/* Returns the weight of an entry in the draw, 0 if it is no candidate. */
static uint32_t find_weight(const struct rt_candidates *candidates,
			    size_t entry)
{
	for (uint32_t i = 0; i < candidates->count; i++) {
		if (candidates->group->first + candidates->indices[i] == entry)
			return candidates->limits[i];
	}
	return 0;
}

/* Returns whether the call may go to a version, or could not. */
static bool is_version_tried(const struct evaluation *evaluation,
			     const char *version)
{
	const char *fallback = rt_get_fallback_version(
		evaluation->request->service, evaluation->version);

	if (strcmp(version, evaluation->version) == 0)
		return true;
	/* The fallback is tried only when the version itself has no target. */
	return fallback && strcmp(version, fallback) == 0 &&
	       evaluation->used != evaluation->version;
}

/* Returns why a target is not a candidate, or not a ready one. */
static enum rt_obstacle find_reason(const struct evaluation *evaluation,
				    const struct rt_group *group,
				    uint32_t index, bool is_candidate)
{
	const struct rt_chooser *chooser = evaluation->chooser;
	const struct rt_table *table = evaluation->table;
	const struct rt_request *request = evaluation->request;
	const struct rt_entry *entry = &table->entries[group->first + index];
	enum rt_obstacle path = RT_OBSTACLE_NONE;
	enum rt_obstacle obstacle;

	if (!is_version_tried(evaluation, group->version))
		return RT_OBSTACLE_VERSION;
	obstacle = rt_find_obstacle(
		chooser, entry, chooser->states->by_entry[group->first + index],
		request, evaluation->now_ms);
	if (rt_get_grade(obstacle) < GRADE_BUSY)
		return obstacle;
	if (request->is_placed)
		path = rt_find_path_obstacle(chooser, table, group, index,
					     request->is_known_only &&
						     entry->tier > 0,
					     evaluation->now_ms);
	if (path != RT_OBSTACLE_NONE)
		return path;
	if (evaluation->refusal == RT_REFUSAL_NO_ROOM ||
	    (evaluation->own_refusal == RT_REFUSAL_NO_ROOM &&
	     strcmp(group->version, evaluation->version) == 0))
		return RT_OBSTACLE_TOO_LATE;
	return obstacle == RT_OBSTACLE_NONE && !is_candidate
		       ? RT_OBSTACLE_OTHERS_PREFERRED
		       : obstacle;
}

static void view_part(const struct evaluation *evaluation, size_t entry,
		      struct rt_target_view *view)
{
	const struct rt_chooser *chooser = evaluation->chooser;

	if (!evaluation->used)
		return;
	view->part = RT_PART_NEAR;
	view->weight = find_weight(&chooser->near, entry);
	if (view->weight > 0)
		return;
	view->weight = find_weight(&chooser->far, entry);
	view->part = view->weight > 0 ? RT_PART_FAR : RT_PART_NONE;
}

static void view_target(TALLOC_CTX *ctx, const struct evaluation *evaluation,
			const struct rt_group *group, uint32_t index,
			struct rt_target_view *view)
{
	const struct rt_table *table = evaluation->table;
	const struct rt_entry *entry = &table->entries[group->first + index];
	const struct rt_target_state *state =
		evaluation->chooser->states->by_entry[group->first + index];
	uint64_t now_ms = evaluation->now_ms;

	view->address = talloc_strdup(ctx, entry->target.address);
	view->failure_domain = talloc_strdup(ctx, entry->target.failure_domain);
	view->version = talloc_strdup(ctx, entry->target.version);
	view->phase = rt_estimate_phase(state, now_ms);
	view->is_home = entry->tier == 0;
	view->limit = rt_estimate_limit(state, now_ms);
	view->load = rt_estimate_load(state, now_ms);
	view->has_waits = rt_has_waits(state, now_ms);
	view_part(evaluation, group->first + index, view);
	view->obstacle = find_reason(evaluation, group, index,
				     view->part != RT_PART_NONE);
	if (!evaluation->request->is_placed)
		return;
	view->wait_us =
		rt_estimate_wait_us(state, evaluation->request->class, now_ms);
	view->end_us = rt_estimate_end_us(evaluation->chooser, table, group,
					  evaluation->request, index, now_ms);
}

static bool is_group_of(const struct rt_group *group,
			const struct doc_service *service)
{
	return strcmp(group->service, service->name) == 0;
}

/* Views all targets of the service, whatever their version. */
static void view_targets(TALLOC_CTX *ctx, const struct evaluation *evaluation,
			 struct rt_version_view *view)
{
	const struct rt_table *table = evaluation->table;
	const struct doc_service *service = evaluation->request->service;
	size_t count = 0;

	for (size_t i = 0; i < table->group_count; i++) {
		if (is_group_of(&table->groups[i], service))
			count += table->groups[i].count;
	}
	view->targets = talloc_zero_array(ctx, struct rt_target_view, count);
	for (size_t i = 0; i < table->group_count; i++) {
		const struct rt_group *group = &table->groups[i];

		if (!is_group_of(group, service))
			continue;
		for (uint32_t j = 0; j < group->count; j++)
			view_target(view->targets, evaluation, group, j,
				    &view->targets[view->target_count++]);
	}
}

static void explain_version(TALLOC_CTX *ctx, struct evaluation *evaluation,
			    const char *version, uint32_t permille,
			    struct rt_version_view *view)
{
	struct rt_chooser *chooser = evaluation->chooser;

	evaluation->version = version;
	evaluation->used = NULL;
	rt_plan_version(chooser, evaluation->table, evaluation->request,
			version, GRADE_EJECTED, evaluation->now_ms,
			&evaluation->own_refusal);
	if (rt_try_versions(chooser, evaluation->table, evaluation->request,
			    version, rt_plan_version, evaluation->now_ms,
			    &evaluation->refusal))
		evaluation->used =
			strcmp(chooser->near.group->version, version) == 0
				? version
				: chooser->near.group->version;
	view->version = talloc_strdup(ctx, version);
	if (evaluation->used)
		view->used = talloc_strdup(ctx, evaluation->used);
	view->permille = permille;
	view->refusal = evaluation->refusal;
	view->has_trials = evaluation->refusal == RT_REFUSAL_NO_ROOM ||
			   evaluation->own_refusal == RT_REFUSAL_NO_ROOM;
	view_targets(ctx, evaluation, view);
}

static void explain_versions(struct rt_explanation *explanation,
			     struct evaluation *evaluation,
			     const struct rt_exposures *exposures)
{
	const struct doc_service *service = evaluation->request->service;
	const struct doc_move *move = service->move;
	uint32_t permille = 0;

	/* A move divides the calls between two versions. */
	explanation->versions =
		talloc_zero_array(explanation, struct rt_version_view, 2);
	if (!move) {
		explain_version(explanation, evaluation, service->current,
				DOC_SHARE_ALL_PERMILLE,
				&explanation->versions[0]);
		explanation->version_count = 1;
		return;
	}
	permille = rt_get_move_permille(evaluation->table, service);
	explanation->is_exposure_spent =
		!rt_has_exposure_left(exposures, service);
	if (permille < DOC_SHARE_ALL_PERMILLE || explanation->is_exposure_spent)
		explain_version(
			explanation, evaluation, move->from,
			DOC_SHARE_ALL_PERMILLE - permille,
			&explanation->versions[explanation->version_count++]);
	if (permille > 0)
		explain_version(
			explanation, evaluation, move->to, permille,
			&explanation->versions[explanation->version_count++]);
}

struct rt_explanation *rt_explain_route(TALLOC_CTX *ctx,
					const struct rt_chooser *chooser,
					const struct rt_table *table,
					const struct rt_request *request,
					uint64_t now_ms)
{
	struct rt_explanation *explanation =
		talloc_zero(ctx, struct rt_explanation);
	struct rt_chooser *copy = copy_chooser(NULL, chooser, table);
	struct evaluation evaluation = {
		.chooser = copy,
		.table = table,
		.request = request,
		.now_ms = now_ms,
	};

	explanation->service =
		talloc_strdup(explanation, request->service->name);
	explanation->rule = get_rule(chooser, request);
	explanation->is_placed = request->is_placed;
	explanation->crossing_us = request->crossing_us;
	explanation->crossing_permille = rt_get_crossing_permille(
		chooser->crossings, request->service->name, now_ms);
	explanation->run_us = request->run_us;
	if (request->latest_end_ms > now_ms)
		explanation->due_ms = request->latest_end_ms - now_ms;
	explanation->trial_period = RT_TRIAL_PERIOD;
	explain_versions(explanation, &evaluation, chooser->exposures);
	talloc_free(copy);
	return explanation;
}
