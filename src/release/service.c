/*
 * Moves on one node: a collector for each service with an active move, and a
 * controller for those services that this node owns.
 *
 * Invariant: after update_components() there is a collector for exactly the
 * services whose manifest entry is waiting, running or soaking, and a
 * controller for those of them that this node owns by rendezvous hashing.
 */
#include "loom/release.h"

#include <stdlib.h>
#include <string.h>
#include "collector.h"
#include "controller.h"
#include "loom/error.h"
#include "loom/log.h"
#include "loom/reader.h"
#include "members.h"
#include "reports.h"

/*
 * Offsets within each second of the wall clock at which reports are sent, and
 * at which the controllers analyze the reports that have arrived.
 */
#define REPORT_OFFSET_MS 350U
#define DECIDE_OFFSET_MS 700U
#define REPORTS_MAX 512U

struct rls_service {
	struct rls_options options;
	char *node;
	struct doc_snapshot *snapshot; /* NULL: none received yet */
	struct rls_members *members;
	struct rls_reports *reports;
	GHashTable *collectors;	 /* service to struct rls_collector */
	GHashTable *controllers; /* service to struct rls_controller */
};

static void free_talloc(gpointer data)
{
	talloc_free(data);
}

static bool has_active_move(const struct rls_service *service, const char *name)
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

static bool is_owned(const struct rls_service *service, const char *name)
{
	const char *owner = rls_find_owner(service->members, name);

	return owner && strcmp(owner, service->node) == 0;
}

static gboolean is_collector_over(gpointer name, gpointer collector,
				  gpointer data)
{
	return !has_active_move(data, name);
}

static gboolean is_controller_over(gpointer name, gpointer controller,
				   gpointer data)
{
	return !has_active_move(data, name) || !is_owned(data, name);
}

static void add_components(struct rls_service *service, const char *name)
{
	struct rls_controller_options options = {
		.timers = service->options.timers,
		.platform = service->options.platform,
		.node = service->node,
		.service = name,
	};
	uint64_t now_ms = tmr_get_wall_ms(service->options.timers);

	if (!g_hash_table_contains(service->collectors, name))
		g_hash_table_insert(service->collectors, g_strdup(name),
				    rls_new_collector(service, name, now_ms));
	if (is_owned(service, name) &&
	    !g_hash_table_contains(service->controllers, name))
		g_hash_table_insert(service->controllers, g_strdup(name),
				    rls_new_controller(service, &options));
}

static void update_components(struct rls_service *service)
{
	const struct doc_manifest *manifest;

	if (!service->snapshot)
		return;
	manifest = doc_get_manifest(service->snapshot);
	g_hash_table_foreach_remove(service->collectors, is_collector_over,
				    service);
	g_hash_table_foreach_remove(service->controllers, is_controller_over,
				    service);
	for (size_t i = 0; i < manifest->service_count; i++) {
		if (has_active_move(service, manifest->services[i].name))
			add_components(service, manifest->services[i].name);
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

static void merge_report(struct rls_service *service,
			 struct rls_controller *controller,
			 const json_t *report)
{
	GError *error = NULL;

	if (!mv_merge_report(rls_get_controller_window(controller), report,
			     tmr_get_wall_ms(service->options.timers),
			     &error)) {
		log_write_error(LOG_LEVEL_WARNING, "release", error);
		rls_count_dropped_report(service->reports);
	}
	g_clear_error(&error);
}

/*
 * Merges a report here or adds it to the batch for the owner of its service.
 * The reference is stolen.
 */
static void route_report(struct rls_service *service, json_t *report)
{
	const char *name =
		json_string_value(json_object_get(report, "service"));
	const char *owner = rls_find_owner(service->members, name);
	struct rls_controller *controller =
		g_hash_table_lookup(service->controllers, name);

	if (controller) {
		merge_report(service, controller, report);
		json_decref(report);
	} else if (owner && strcmp(owner, service->node) != 0) {
		rls_add_report(service->reports, owner, report);
	} else {
		rls_count_dropped_report(service->reports);
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
		while ((report = rls_format_next_report(collector,
							service->node, now_ms)))
			route_report(service, report);
	}
	rls_send_reports(service->reports, false);
}

static void run_controllers(struct rls_service *service)
{
	uint64_t now_ms = tmr_get_wall_ms(service->options.timers);
	struct rls_collector *collector;
	GHashTableIter iter;
	gpointer name;
	gpointer controller;

	g_hash_table_iter_init(&iter, service->controllers);
	while (g_hash_table_iter_next(&iter, &name, &controller)) {
		collector = g_hash_table_lookup(service->collectors, name);
		if (collector && rls_has_lease(controller))
			rls_record_contact(collector, now_ms);
		rls_run_controller(controller, service->snapshot,
				   service->members);
	}
}

static void run_decisions(uint64_t now_ms, void *data);

static void run_reports(uint64_t now_ms, void *data)
{
	struct rls_service *service = data;

	report_slots(service);
	tmr_subscribe_once(service, service->options.timers,
			   DECIDE_OFFSET_MS - REPORT_OFFSET_MS, run_decisions,
			   service);
}

/* Schedules the reports at their offset within the next second. */
static void schedule_reports(struct rls_service *service)
{
	uint64_t wall_ms = tmr_get_wall_ms(service->options.timers);
	uint32_t offset_ms = (uint32_t)(wall_ms % MV_SLOT_MS);

	tmr_subscribe_once(service, service->options.timers,
			   MV_SLOT_MS + REPORT_OFFSET_MS - offset_ms,
			   run_reports, service);
}

static void run_decisions(uint64_t now_ms, void *data)
{
	struct rls_service *service = data;

	if (service->snapshot) {
		run_controllers(service);
		run_collectors(service);
	}
	schedule_reports(service);
}

/* The receiver names the services whose leases it holds. */
static void record_contacts(const json_t *answer, void *data)
{
	struct rls_service *service = data;
	uint64_t now_ms = tmr_get_wall_ms(service->options.timers);
	struct rls_collector *collector;
	const json_t *name;
	size_t i;

	json_array_foreach(json_object_get(answer, "held"), i, name)
	{
		if (!json_is_string(name))
			continue;
		collector = g_hash_table_lookup(service->collectors,
						json_string_value(name));
		if (collector)
			rls_record_contact(collector, now_ms);
	}
}

static int destroy_service(struct rls_service *service)
{
	g_hash_table_destroy(service->controllers);
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
	service->reports = rls_new_reports(service, options, record_contacts,
					   service, error);
	if (!service->reports) {
		talloc_free(service);
		return NULL;
	}
	service->collectors = g_hash_table_new_full(g_str_hash, g_str_equal,
						    g_free, free_talloc);
	service->controllers = g_hash_table_new_full(g_str_hash, g_str_equal,
						     g_free, free_talloc);
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
	update_components(service);
}

void rls_set_members(struct rls_service *service,
		     const struct mem_member *members, size_t count)
{
	talloc_free(service->members);
	service->members = rls_copy_members(service, members, count);
	update_components(service);
}

void rls_record_sample(const struct tr_sample *sample, void *data)
{
	struct rls_service *service = data;
	struct rls_collector *collector =
		g_hash_table_lookup(service->collectors, sample->service);

	if (collector)
		rls_record_calls(collector, sample);
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

/*
 * Handles one report from another node. Appends its service to held when this
 * node has the lease.
 */
static void handle_report(struct rls_service *service, json_t *report,
			  bool is_forwarded, json_t *held)
{
	const char *name =
		json_string_value(json_object_get(report, "service"));
	struct rls_controller *controller;

	if (!name) {
		rls_count_dropped_report(service->reports);
		return;
	}
	controller = g_hash_table_lookup(service->controllers, name);
	if (controller && rls_has_lease(controller))
		json_array_append_new(held, json_string(name));
	/* A forwarded report is not forwarded again. */
	if (controller || !is_forwarded)
		route_report(service, json_incref(report));
	else
		rls_count_dropped_report(service->reports);
}

void rls_handle_report(struct rls_service *service, struct web_request *request)
{
	json_t *held = json_array();
	json_t *reports;
	size_t size;
	const char *body = web_get_body(request, &size);
	json_t *value = rd_load_json(body, size, JSON_REJECT_DUPLICATES, NULL);
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
			handle_report(service, report, is_forwarded, held);
		rls_send_reports(service->reports, true);
		web_reply_json(request, MHD_HTTP_OK,
			       json_pack("{s:o}", "held", held));
	}
	json_decref(value);
}
