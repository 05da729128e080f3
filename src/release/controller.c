/*
 * Controller of the move of one service.
 *
 * The object status/SERVICE is authoritative. Each step is a conditional write
 * of it, by this controller, a later one or an operator. The manifest entry is
 * a projection of the status, written whenever the two differ, so a crash
 * between the two writes is repaired by the next projection.
 *
 * Invariants: at most one chain of platform requests is in progress, owned by
 * `chain`; a projection reads the manifest first, then the status, and writes
 * conditionally on the version of the manifest, so that an older status never
 * replaces a newer one there.
 */
#include "controller.h"

#include <stdlib.h>
#include <string.h>
#include "capacity.h"
#include "loom/error.h"
#include "loom/log.h"
#include "loom/spread.h"

#define LEASE_DURATION_MS 9000U
/* Least time between writes that only update progress shown to operators. */
#define PROGRESS_PERIOD_MS 10000U

struct rls_controller {
	struct tmr_service *timers;
	struct plat_client *platform;
	const char *node;
	const char *service;
	char *status_key;
	struct plat_lease *lease;
	struct plat_watch *watch; /* on the status, while the lease is held */
	struct mv_window *window;
	struct mv_analysis *analysis;
	uint64_t analyzed_document; /* document version of analysis */
	uint64_t analyzed_since_ms;
	bool is_known; /* status_version and status are current */
	uint64_t status_version;
	json_t *status; /* NULL: absent */
	uint64_t written_ms;
	TALLOC_CTX *chain;	       /* requests in progress, or NULL */
	struct doc_manifest *manifest; /* read by the chain, owned by it */
	uint64_t manifest_version;
	json_t *pending_status; /* the status being written, or NULL */
};

static void set_status(struct rls_controller *controller, uint64_t version,
		       json_t *status)
{
	json_incref(status);
	json_decref(controller->status);
	controller->status = status;
	controller->status_version = version;
	controller->is_known = true;
}

static void end_chain(struct rls_controller *controller)
{
	json_decref(controller->pending_status);
	controller->pending_status = NULL;
	controller->manifest = NULL;
	TALLOC_FREE(controller->chain);
}

static void fail_chain(struct rls_controller *controller, const GError *error)
{
	log_write_error(LOG_LEVEL_WARNING, "release", error);
	end_chain(controller);
}

static void set_write_id(struct rls_controller *controller, json_t *value)
{
	json_object_set_new(value, "write_id",
			    json_string(plat_make_write_id(controller->chain,
							   controller->platform,
							   controller->node)));
}

static bool is_projected(const struct doc_manifest_service *entry,
			 const struct mv_state *state)
{
	return entry->move_state == state->phase &&
	       entry->share_permille == state->share_permille &&
	       entry->step_index == state->step_index;
}

static void finish_manifest(const struct plat_result *result, void *data)
{
	struct rls_controller *controller = data;

	/* After a conflict the next run projects the status again. */
	if (result->error)
		fail_chain(controller, result->error);
	else
		end_chain(controller);
}

/* The only function of this module that writes the manifest. */
static void put_manifest(struct rls_controller *controller)
{
	struct doc_manifest *manifest = controller->manifest;
	json_t *value;
	char *text;

	manifest->sequence++;
	manifest->write_id = plat_make_write_id(
		controller->chain, controller->platform, controller->node);
	text = doc_format_manifest(controller->chain, manifest);
	value = json_loads(text, 0, NULL);
	plat_put_object(controller->chain, controller->platform,
			SPR_KEY_MANIFEST, value, controller->manifest_version,
			finish_manifest, controller);
	json_decref(value);
}

static void project_status(const struct plat_result *result, void *data)
{
	struct rls_controller *controller = data;
	struct doc_manifest_service *entry;
	struct mv_state state;

	if (result->error) {
		fail_chain(controller, result->error);
		return;
	}
	set_status(controller, result->objects[0].version,
		   result->objects[0].value);
	entry = doc_find_manifest_service(controller->manifest,
					  controller->service);
	if (!rls_parse_status(controller->status, &state) || !entry ||
	    entry->document_version != state.document_version ||
	    is_projected(entry, &state)) {
		end_chain(controller);
		return;
	}
	entry->move_state = state.phase;
	entry->share_permille = state.share_permille;
	entry->step_index = state.step_index;
	put_manifest(controller);
}

static void handle_manifest(const struct plat_result *result, void *data)
{
	struct rls_controller *controller = data;
	GError *error = NULL;
	char *text;

	if (result->error) {
		fail_chain(controller, result->error);
		return;
	}
	controller->manifest_version = result->objects[0].version;
	text = json_dumps(result->objects[0].value, JSON_COMPACT);
	controller->manifest = doc_parse_manifest(controller->chain, text,
						  strlen(text), &error);
	free(text);
	if (!controller->manifest) {
		fail_chain(controller, error);
		g_clear_error(&error);
		return;
	}
	plat_get_object(controller->chain, controller->platform,
			controller->status_key, project_status, controller);
}

static void begin_projection(struct rls_controller *controller)
{
	if (!controller->chain)
		controller->chain = talloc_new(controller);
	plat_get_object(controller->chain, controller->platform,
			SPR_KEY_MANIFEST, handle_manifest, controller);
}

static void handle_status(const struct plat_result *result, void *data)
{
	struct rls_controller *controller = data;

	if (!result->error)
		set_status(controller, result->objects[0].version,
			   result->objects[0].value);
	else if (g_error_matches(result->error, ERR_DOMAIN, ERR_NOT_FOUND))
		set_status(controller, 0, NULL);
	end_chain(controller);
}

static void read_status(struct rls_controller *controller)
{
	if (!controller->chain)
		controller->chain = talloc_new(controller);
	plat_get_object(controller->chain, controller->platform,
			controller->status_key, handle_status, controller);
}

static void finish_status(const struct plat_result *result, void *data)
{
	struct rls_controller *controller = data;

	if (result->error) {
		/* Another writer was first, or the outcome is unknown. */
		log_write_error(LOG_LEVEL_WARNING, "release", result->error);
		controller->is_known = false;
		read_status(controller);
		return;
	}
	set_status(controller, result->version, controller->pending_status);
	begin_projection(controller);
}

static void put_status(struct rls_controller *controller,
		       const struct mv_state *state,
		       const struct doc_move *move, uint64_t now_ms)
{
	controller->chain = talloc_new(controller);
	controller->written_ms = now_ms;
	controller->pending_status = rls_merge_status(
		controller->status, controller->service, state, move);
	set_write_id(controller, controller->pending_status);
	plat_put_object(controller->chain, controller->platform,
			controller->status_key, controller->pending_status,
			controller->status_version, finish_status, controller);
}

static void update_analysis(struct rls_controller *controller,
			    const struct mv_state *state,
			    const struct doc_service *service, uint64_t now_ms)
{
	if (!controller->analysis ||
	    controller->analyzed_document != service->document_version) {
		talloc_free(controller->analysis);
		controller->analysis =
			mv_new_analysis(controller, service->move, 1);
		controller->analyzed_document = service->document_version;
		controller->analyzed_since_ms = 0;
	}
	if (controller->analyzed_since_ms != state->since_ms)
		mv_begin_step(controller->analysis, state->share_permille,
			      now_ms);
	controller->analyzed_since_ms = state->since_ms;
	mv_analyze_slots(controller->analysis, controller->window, now_ms);
}

static bool is_write_due(const struct rls_controller *controller,
			 const struct mv_state *before,
			 const struct mv_action *action, uint64_t now_ms)
{
	const struct mv_state *after = &action->state;

	if (action->kind != MV_ACTION_WAIT ||
	    before->document_version != after->document_version ||
	    before->phase != after->phase || before->reason != after->reason)
		return true;
	return now_ms >= controller->written_ms + PROGRESS_PERIOD_MS &&
	       (before->missing_calls != after->missing_calls ||
		before->expected_end_ms != after->expected_end_ms ||
		before->has_common_errors != after->has_common_errors);
}

static void decide_step(struct rls_controller *controller,
			const struct doc_service *service,
			const struct doc_snapshot *snapshot,
			const struct rls_members *members)
{
	const struct doc_manifest_service *entry = doc_find_manifest_service(
		doc_get_manifest(snapshot), controller->service);
	uint64_t now_ms = tmr_get_wall_ms(controller->timers);
	struct mv_evidence evidence = { .document_version =
						service->document_version };
	struct mv_action action;
	struct mv_state state;
	bool is_new = !rls_parse_status(controller->status, &state);

	if (is_new)
		mv_init_state(&state, service->move, service->document_version,
			      now_ms);
	/* Another node has a newer document; this snapshot is outdated. */
	if (state.document_version > service->document_version)
		return;
	update_analysis(controller, &state, service, now_ms);
	mv_get_verdict(controller->analysis, &evidence.verdict);
	rls_estimate_capacity(members, snapshot, service, controller->window,
			      now_ms, &evidence);
	mv_plan_action(&state, service->move, &evidence, now_ms, &action);
	if (is_new || is_write_due(controller, &state, &action, now_ms))
		put_status(controller, &action.state, service->move, now_ms);
	else if (!is_projected(entry, &state))
		begin_projection(controller);
}

static void handle_watch(enum plat_watch_kind kind,
			 const struct plat_result *result, void *data)
{
	struct rls_controller *controller = data;

	if (kind == PLAT_WATCH_STALE || kind == PLAT_WATCH_FAILED)
		return;
	if (kind == PLAT_WATCH_LISTED && !controller->chain)
		set_status(controller, 0, NULL);
	for (size_t i = 0; i < result->object_count; i++) {
		const struct plat_object *object = &result->objects[i];

		/* The prefix also matches longer keys. */
		if (strcmp(object->key, controller->status_key) != 0 ||
		    object->version <= controller->status_version)
			continue;
		if (object->is_deleted)
			set_status(controller, 0, NULL);
		else
			set_status(controller, object->version, object->value);
	}
}

static void handle_lease(bool is_held, uint64_t fencing_version, void *data)
{
	struct rls_controller *controller = data;

	log_write(LOG_LEVEL_INFO, "release", "move lease", NULL,
		  is_held ? "lease acquired" : "lease not held", "service",
		  controller->service, LOG_END);
	end_chain(controller);
	TALLOC_FREE(controller->watch);
	TALLOC_FREE(controller->analysis);
	controller->is_known = false;
	if (is_held)
		controller->watch = plat_watch_prefix(
			controller, controller->platform,
			controller->status_key, handle_watch, controller);
}

static int destroy_controller(struct rls_controller *controller)
{
	json_decref(controller->status);
	json_decref(controller->pending_status);
	return 0;
}

struct rls_controller *
rls_new_controller(TALLOC_CTX *ctx,
		   const struct rls_controller_options *options)
{
	struct rls_controller *controller =
		talloc_zero(ctx, struct rls_controller);
	char *key = talloc_asprintf(controller, "%s%s", RLS_KEY_LEASE,
				    options->service);

	controller->timers = options->timers;
	controller->platform = options->platform;
	controller->node = talloc_strdup(controller, options->node);
	controller->service = talloc_strdup(controller, options->service);
	controller->status_key = talloc_asprintf(
		controller, "%s%s", SPR_KEY_STATUS, options->service);
	controller->window = mv_new_window(controller, options->service);
	talloc_set_destructor(controller, destroy_controller);
	controller->lease = plat_compete_lease(
		controller, options->platform, key, controller->node,
		LEASE_DURATION_MS, handle_lease, controller);
	return controller;
}

bool rls_has_lease(const struct rls_controller *controller)
{
	return plat_is_lease_held(controller->lease);
}

struct mv_window *rls_get_controller_window(struct rls_controller *controller)
{
	return controller->window;
}

void rls_run_controller(struct rls_controller *controller,
			const struct doc_snapshot *snapshot,
			const struct rls_members *members)
{
	const struct doc_service *service =
		doc_find_service(snapshot, controller->service);

	if (!service || !service->move || controller->chain ||
	    !rls_has_lease(controller))
		return;
	if (!controller->is_known) {
		read_status(controller);
		return;
	}
	decide_step(controller, service, snapshot, members);
}
