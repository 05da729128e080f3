/*
 * Moves of one node: a collector for each service with a move under way, and a
 * holder for those of them that this node has the duty for.
 *
 * Invariant: after update_duties() there is a collector for exactly the
 * services whose manifest entry is waiting, running or soaking, and a holder
 * for those of them whose owner by rendezvous hashing is this node.
 */
#include "loom/release.h"

#include <stdlib.h>
#include <string.h>
#include "collector.h"
#include "holder.h"
#include "loom/error.h"
#include "loom/log.h"
#include "members.h"
#include "reports.h"

/* Within each second of the wall clock: when reports go out, and when the
 * holder takes in what has arrived.
 */
#define REPORT_PHASE_MS 350U
#define DECIDE_PHASE_MS 700U
#define REPORTS_MAX 512U

struct rls_service {
	struct rls_options options;
	char *node;
	struct doc_snapshot *snapshot; /* NULL: none yet */
	struct rls_members *members;
	struct rls_reports *reports;
	GHashTable *collectors; /* service to struct rls_collector */
	GHashTable *holders;	/* service to struct rls_holder */
};

static void free_part(gpointer data)
{
	talloc_free(data);
}

static bool is_under_way(const struct rls_service *service, const char *name)
{
	const struct doc_manifest_service *entry;
	const struct doc_service *document;

	if (!service->snapshot)
		return false;
	entry = doc_find_manifest_service(doc_get_manifest(service->snapshot),
					  name);
	document = doc_find_service(service->snapshot, name);
	return entry && document && document->move &&
	       (entry->move_state == DOC_MOVE_WAITING ||
		entry->move_state == DOC_MOVE_RUNNING ||
		entry->move_state == DOC_MOVE_SOAKING);
}

static bool is_own(const struct rls_service *service, const char *name)
{
	const char *owner = rls_find_owner(service->members, name);

	return owner && strcmp(owner, service->node) == 0;
}

static gboolean is_collector_over(gpointer name, gpointer collector,
				  gpointer data)
{
	return !is_under_way(data, name);
}

static gboolean is_holder_over(gpointer name, gpointer holder, gpointer data)
{
	return !is_under_way(data, name) || !is_own(data, name);
}

static void add_duties(struct rls_service *service, const char *name)
{
	struct rls_holder_options options = {
		.timers = service->options.timers,
		.platform = service->options.platform,
		.node = service->node,
		.service = name,
	};
	uint64_t now_ms = tmr_get_wall_ms(service->options.timers);

	if (!g_hash_table_contains(service->collectors, name))
		g_hash_table_insert(service->collectors, g_strdup(name),
				    rls_new_collector(service, name, now_ms));
	if (is_own(service, name) &&
	    !g_hash_table_contains(service->holders, name))
		g_hash_table_insert(service->holders, g_strdup(name),
				    rls_new_holder(service, &options));
}

static void update_duties(struct rls_service *service)
{
	const struct doc_manifest *manifest;

	if (!service->snapshot)
		return;
	manifest = doc_get_manifest(service->snapshot);
	g_hash_table_foreach_remove(service->collectors, is_collector_over,
				    service);
	g_hash_table_foreach_remove(service->holders, is_holder_over, service);
	for (size_t i = 0; i < manifest->service_count; i++) {
		if (is_under_way(service, manifest->services[i].name))
			add_duties(service, manifest->services[i].name);
	}
}

static void run_collectors(struct rls_service *service)
{
	uint64_t now_ms = tmr_get_wall_ms(service->options.timers);
	bool is_changed = false;
	GHashTableIter iter;
	gpointer collector;

	g_hash_table_iter_init(&iter, service->collectors);
	while (g_hash_table_iter_next(&iter, NULL, &collector))
		is_changed |= rls_run_collector(collector, service->snapshot,
						service->members, now_ms);
	if (is_changed)
		service->options.on_change(service->options.data);
}

static void merge_report(struct rls_service *service, struct rls_holder *holder,
			 const json_t *report)
{
	GError *error = NULL;

	if (!mv_merge_report(rls_get_holder_window(holder), report,
			     tmr_get_wall_ms(service->options.timers),
			     &error)) {
		log_write_error(LOG_LEVEL_WARNING, "release", error);
		rls_drop_report(service->reports);
	}
	g_clear_error(&error);
}

/* Takes the reference. */
static void pass_report(struct rls_service *service, json_t *report)
{
	const char *name =
		json_string_value(json_object_get(report, "service"));
	const char *owner = rls_find_owner(service->members, name);
	struct rls_holder *holder = g_hash_table_lookup(service->holders, name);

	if (holder) {
		merge_report(service, holder, report);
		json_decref(report);
	} else if (owner && strcmp(owner, service->node) != 0) {
		rls_add_report(service->reports, owner, report);
	} else {
		rls_drop_report(service->reports);
		json_decref(report);
	}
}

static void report_slots(struct rls_service *service)
{
	uint64_t now_ms = tmr_get_wall_ms(service->options.timers);
	GHashTableIter iter;
	gpointer collector;
	json_t *report;

	g_hash_table_iter_init(&iter, service->collectors);
	while (g_hash_table_iter_next(&iter, NULL, &collector)) {
		while ((report = rls_take_report(collector, service->node,
						 now_ms)))
			pass_report(service, report);
	}
	rls_send_reports(service->reports, false);
}

static void run_holders(struct rls_service *service)
{
	uint64_t now_ms = tmr_get_wall_ms(service->options.timers);
	struct rls_collector *collector;
	GHashTableIter iter;
	gpointer name;
	gpointer holder;

	g_hash_table_iter_init(&iter, service->holders);
	while (g_hash_table_iter_next(&iter, &name, &holder)) {
		collector = g_hash_table_lookup(service->collectors, name);
		if (collector && rls_is_holding(holder))
			rls_note_word(collector, now_ms);
		rls_run_holder(holder, service->snapshot, service->members);
	}
}

static void run_decisions(uint64_t now_ms, void *data);

static void run_reports(uint64_t now_ms, void *data)
{
	struct rls_service *service = data;

	report_slots(service);
	tmr_subscribe_once(service, service->options.timers,
			   DECIDE_PHASE_MS - REPORT_PHASE_MS, run_decisions,
			   service);
}

/* Subscribes the reports for their phase of the next second. */
static void schedule_reports(struct rls_service *service)
{
	uint64_t wall_ms = tmr_get_wall_ms(service->options.timers);
	uint32_t phase_ms = (uint32_t)(wall_ms % MV_SLOT_MS);

	tmr_subscribe_once(service, service->options.timers,
			   MV_SLOT_MS + REPORT_PHASE_MS - phase_ms, run_reports,
			   service);
}

static void run_decisions(uint64_t now_ms, void *data)
{
	struct rls_service *service = data;

	if (service->snapshot) {
		run_holders(service);
		run_collectors(service);
	}
	schedule_reports(service);
}

static void note_word(const char *name, void *data)
{
	struct rls_service *service = data;
	struct rls_collector *collector =
		g_hash_table_lookup(service->collectors, name);

	if (collector)
		rls_note_word(collector,
			      tmr_get_wall_ms(service->options.timers));
}

static int destroy_service(struct rls_service *service)
{
	g_hash_table_destroy(service->holders);
	g_hash_table_destroy(service->collectors);
	if (service->snapshot)
		doc_unref_snapshot(service->snapshot);
	return 0;
}

struct rls_service *rls_new_service(TALLOC_CTX *ctx,
				    const struct rls_options *options,
				    GError **error)
{
	struct rls_service *service = talloc_zero(ctx, struct rls_service);

	service->options = *options;
	service->node = talloc_strdup(service, options->node);
	service->members = rls_copy_members(service, NULL, 0);
	service->reports =
		rls_new_reports(service, options, note_word, service, error);
	if (!service->reports) {
		talloc_free(service);
		return NULL;
	}
	service->collectors = g_hash_table_new_full(g_str_hash, g_str_equal,
						    g_free, free_part);
	service->holders = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, free_part);
	talloc_set_destructor(service, destroy_service);
	schedule_reports(service);
	return service;
}

void rls_set_snapshot(struct rls_service *service,
		      struct doc_snapshot *snapshot)
{
	struct doc_snapshot *before = service->snapshot;

	service->snapshot = doc_ref_snapshot(snapshot);
	if (before)
		doc_unref_snapshot(before);
	update_duties(service);
}

void rls_set_members(struct rls_service *service,
		     const struct mem_member *members, size_t count)
{
	talloc_free(service->members);
	service->members = rls_copy_members(service, members, count);
	update_duties(service);
}

void rls_note_sample(const struct tr_sample *sample, void *data)
{
	struct rls_service *service = data;
	struct rls_collector *collector =
		g_hash_table_lookup(service->collectors, sample->service);

	if (collector)
		rls_note_calls(collector, sample);
}

void rls_each_limit(const struct rls_service *service, rls_limit_fn fn,
		    void *data)
{
	GHashTableIter iter;
	gpointer collector;

	g_hash_table_iter_init(&iter, service->collectors);
	while (g_hash_table_iter_next(&iter, NULL, &collector)) {
		if (rls_get_limit(collector) < DOC_SHARE_ALL_PERMILLE)
			fn(rls_get_collector_service(collector),
			   rls_get_limit(collector), data);
	}
}

/* Takes one report of another node; adds its service when it is held here. */
static void take_report(struct rls_service *service, json_t *report,
			bool is_forwarded, json_t *held)
{
	const char *name =
		json_string_value(json_object_get(report, "service"));
	struct rls_holder *holder;

	if (!name) {
		rls_drop_report(service->reports);
		return;
	}
	holder = g_hash_table_lookup(service->holders, name);
	if (holder && rls_is_holding(holder))
		json_array_append_new(held, json_string(name));
	/* What was forwarded once is not forwarded again. */
	if (holder || !is_forwarded)
		pass_report(service, json_incref(report));
	else
		rls_drop_report(service->reports);
}

void rls_handle_report(struct rls_service *service, struct web_request *request)
{
	json_t *held = json_array();
	json_t *reports;
	size_t size;
	const char *body = web_get_body(request, &size);
	json_t *value = json_loadb(body, size, JSON_REJECT_DUPLICATES, NULL);
	bool is_forwarded = json_is_true(json_object_get(value, "forwarded"));
	size_t index;
	json_t *report;

	reports = json_object_get(value, "reports");
	if (!json_is_array(reports) || json_array_size(reports) > REPORTS_MAX) {
		web_reply_json(
			request, MHD_HTTP_BAD_REQUEST,
			json_pack("{s:s}", "error",
				  "reports: wanted an array of at most 512"));
		json_decref(held);
	} else {
		json_array_foreach(reports, index, report)
			take_report(service, report, is_forwarded, held);
		rls_send_reports(service->reports, true);
		web_reply_json(request, MHD_HTTP_OK,
			       json_pack("{s:o}", "held", held));
	}
	json_decref(value);
}
