/*
 * Collector of one service on one node.
 *
 * Invariants: the window holds only this node's own calls; slots below
 * next_slot were reported or skipped; limit_permille is the limit last reported
 * to routing. The manifest does not say when its state began, so the time at
 * which this node received it is used instead.
 */
#include "collector.h"

#include <string.h>

/* Longest delay between the end of a slot and its last sample. */
#define SAMPLE_LAG_MS 300U
/* Older slots come too late for the lease holder and are skipped. */
#define REPORT_SLOTS_MAX 3U
#define CUT_OFF_MS 15000U
/* Time after finish_by for the end of the move to reach this node. */
#define END_GRACE_MS 10000U

struct rls_collector {
	char *service;
	struct mv_window *window;
	struct mv_analysis *analysis;
	struct mv_local_limit local_limit;
	struct doc_manifest_service entry; /* last seen; its name is NULL */
	uint64_t entry_since_ms;
	uint64_t contact_ms; /* last contact with a lease holder */
	uint64_t next_slot;
	uint32_t limit_permille;
};

static bool is_cut_off(const struct rls_collector *collector,
		       const struct doc_move *move, uint64_t now_ms)
{
	if (now_ms >= move->finish_by_ms)
		return now_ms >= move->finish_by_ms + END_GRACE_MS;
	return now_ms >= collector->contact_ms + CUT_OFF_MS;
}

static void reset_analysis(struct rls_collector *collector,
			   const struct doc_move *move, size_t node_count,
			   uint64_t now_ms)
{
	talloc_free(collector->analysis);
	collector->analysis =
		mv_new_analysis(collector, move, (uint32_t)MAX(node_count, 1));
	mv_begin_step(collector->analysis, collector->entry.share_permille,
		      now_ms);
}

/* Stores the manifest entry; returns whether it changed. */
static bool update_entry(struct rls_collector *collector,
			 const struct doc_manifest_service *entry,
			 uint64_t now_ms)
{
	struct doc_manifest_service *current = &collector->entry;

	if (current->document_version == entry->document_version &&
	    current->move_state == entry->move_state &&
	    current->share_permille == entry->share_permille &&
	    current->step_index == entry->step_index)
		return false;
	*current = *entry;
	current->name = NULL;
	collector->entry_since_ms = now_ms;
	return true;
}

static void fill_local(const struct rls_collector *collector,
		       const struct doc_snapshot *snapshot,
		       const struct doc_service *service,
		       const struct rls_members *members, uint64_t now_ms,
		       struct mv_local_evidence *local)
{
	*local = (struct mv_local_evidence){
		.document_version = collector->entry.document_version,
		.state_since_ms = collector->entry_since_ms,
		.phase = collector->entry.move_state,
		.share_permille = collector->entry.share_permille,
		.is_cut_off = is_cut_off(collector, service->move, now_ms),
		.has_old_target =
			rls_count_targets(members, snapshot, service->name,
					  service->move->from,
					  RT_PHASE_SERVING) > 0,
	};
	mv_get_verdict(collector->analysis, &local->verdict);
}

static bool set_limit(struct rls_collector *collector, uint32_t limit_permille)
{
	bool is_changed = collector->limit_permille != limit_permille;

	collector->limit_permille = limit_permille;
	return is_changed;
}

struct rls_collector *rls_new_collector(TALLOC_CTX *ctx, const char *service,
					uint64_t now_ms)
{
	struct rls_collector *collector =
		talloc_zero(ctx, struct rls_collector);

	collector->service = talloc_strdup(collector, service);
	collector->window = mv_new_window(collector, service);
	collector->contact_ms = now_ms;
	collector->next_slot = mv_get_slot(now_ms);
	collector->limit_permille = DOC_SHARE_ALL_PERMILLE;
	mv_init_local_limit(&collector->local_limit);
	return collector;
}

void rls_record_calls(struct rls_collector *collector,
		      const struct tr_sample *sample)
{
	struct mv_series_key key = { .version = sample->version,
				     .route = sample->route,
				     .target = sample->target };

	mv_record_counts(collector->window, sample->slot, &key,
			 &sample->counts);
}

void rls_record_contact(struct rls_collector *collector, uint64_t now_ms)
{
	collector->contact_ms = now_ms;
}

bool rls_run_collector(struct rls_collector *collector,
		       const struct doc_snapshot *snapshot,
		       const struct rls_members *members, uint64_t now_ms)
{
	const struct doc_service *service =
		doc_find_service(snapshot, collector->service);
	const struct doc_manifest_service *entry = doc_find_manifest_service(
		doc_get_manifest(snapshot), collector->service);
	uint64_t document_version = collector->entry.document_version;
	struct mv_local_evidence local;
	uint32_t share;

	if (update_entry(collector, entry, now_ms)) {
		if (!collector->analysis ||
		    document_version != entry->document_version)
			reset_analysis(collector, service->move, members->count,
				       now_ms);
		else
			mv_begin_step(collector->analysis,
				      entry->share_permille, now_ms);
	}
	mv_analyze_slots(collector->analysis, collector->window, now_ms);
	fill_local(collector, snapshot, service, members, now_ms, &local);
	if (mv_clear_local_limit(&collector->local_limit, &local)) {
		reset_analysis(collector, service->move, members->count,
			       now_ms);
		mv_get_verdict(collector->analysis, &local.verdict);
	}
	share = mv_apply_local_limit(&collector->local_limit, service->move,
				     &local, now_ms);
	return set_limit(collector, share < entry->share_permille
					    ? share
					    : DOC_SHARE_ALL_PERMILLE);
}

uint32_t rls_get_limit(const struct rls_collector *collector)
{
	return collector->limit_permille;
}

const char *rls_get_collector_service(const struct rls_collector *collector)
{
	return collector->service;
}

json_t *rls_format_next_report(struct rls_collector *collector,
			       const char *node, uint64_t now_ms)
{
	uint64_t open_slot = mv_get_slot(now_ms - SAMPLE_LAG_MS);
	json_t *report;

	if (collector->next_slot + REPORT_SLOTS_MAX < open_slot)
		collector->next_slot = open_slot - REPORT_SLOTS_MAX;
	while (collector->next_slot < open_slot) {
		report = mv_format_report(collector->window, node,
					  collector->next_slot++);
		if (json_array_size(json_object_get(report, "series")) > 0)
			return report;
		json_decref(report);
	}
	return NULL;
}
