/*
 * Holder of the move of one service.
 *
 * The object status/SERVICE is the truth: each step is a conditional write of
 * it, by this holder, a later one or an operator. The manifest entry is only
 * ever a projection of it, written whenever the two differ, so that a crash
 * between the two writes leaves nothing but a projection to be made up for.
 * Invariants: one chain of writes at a time, owned by `chain`; a projection
 * reads the manifest first, then the status, and writes by the version of the
 * manifest, so that an older status never replaces a newer one there.
 */
#include "holder.h"

#include <stdlib.h>
#include <string.h>
#include "bearing.h"
#include "loom/error.h"
#include "loom/log.h"
#include "loom/spread.h"

#define LEASE_DURATION_MS 9000U
/* Between writes that only bring up to date what operators read. */
#define NOTE_PERIOD_MS 10000U

struct rls_holder {
	struct tmr_service *timers;
	struct plat_client *platform;
	const char *node;
	const char *service;
	char *status_key;
	struct plat_lease *lease;
	struct plat_watch *watch; /* of the status, while the lease is held */
	struct mv_window *window;
	struct mv_judge *judge;
	uint64_t judged_document; /* what the judge counts for */
	uint64_t judged_since_ms;
	bool is_known; /* status_version and status are up to date */
	uint64_t status_version;
	json_t *status; /* NULL: absent */
	uint64_t written_ms;
	TALLOC_CTX *chain;	       /* calls under way, or NULL */
	struct doc_manifest *manifest; /* read by the chain, owned by it */
	uint64_t manifest_version;
	json_t *writing; /* the status under way */
};

static void set_status(struct rls_holder *holder, uint64_t version,
		       json_t *status)
{
	json_incref(status);
	json_decref(holder->status);
	holder->status = status;
	holder->status_version = version;
	holder->is_known = true;
}

static void end_chain(struct rls_holder *holder)
{
	json_decref(holder->writing);
	holder->writing = NULL;
	holder->manifest = NULL;
	TALLOC_FREE(holder->chain);
}

static void fail_chain(struct rls_holder *holder, const GError *error)
{
	log_write_error(LOG_LEVEL_WARNING, "release", error);
	end_chain(holder);
}

static void stamp(struct rls_holder *holder, json_t *value)
{
	json_object_set_new(
		value, "write_id",
		json_string(plat_make_write_id(holder->chain, holder->platform,
					       holder->node)));
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
	struct rls_holder *holder = data;

	/* After a conflict the next round projects the status anew. */
	if (result->error)
		fail_chain(holder, result->error);
	else
		end_chain(holder);
}

/* The one place that writes the manifest here. */
static void put_manifest(struct rls_holder *holder)
{
	struct doc_manifest *manifest = holder->manifest;
	json_t *value;
	char *text;

	manifest->sequence++;
	manifest->write_id = plat_make_write_id(holder->chain, holder->platform,
						holder->node);
	text = doc_format_manifest(holder->chain, manifest);
	value = json_loads(text, 0, NULL);
	plat_put_object(holder->chain, holder->platform, SPR_KEY_MANIFEST,
			value, holder->manifest_version, finish_manifest,
			holder);
	json_decref(value);
}

static void project_status(const struct plat_result *result, void *data)
{
	struct rls_holder *holder = data;
	struct doc_manifest_service *entry;
	struct mv_state state;

	if (result->error) {
		fail_chain(holder, result->error);
		return;
	}
	set_status(holder, result->objects[0].version,
		   result->objects[0].value);
	entry = doc_find_manifest_service(holder->manifest, holder->service);
	if (!rls_parse_status(holder->status, &state) || !entry ||
	    entry->document_version != state.document_version ||
	    is_projected(entry, &state)) {
		end_chain(holder);
		return;
	}
	entry->move_state = state.phase;
	entry->share_permille = state.share_permille;
	entry->step_index = state.step_index;
	put_manifest(holder);
}

static void take_manifest(const struct plat_result *result, void *data)
{
	struct rls_holder *holder = data;
	GError *error = NULL;
	char *text;

	if (result->error) {
		fail_chain(holder, result->error);
		return;
	}
	holder->manifest_version = result->objects[0].version;
	text = json_dumps(result->objects[0].value, JSON_COMPACT);
	holder->manifest =
		doc_parse_manifest(holder->chain, text, strlen(text), &error);
	free(text);
	if (!holder->manifest) {
		fail_chain(holder, error);
		g_clear_error(&error);
		return;
	}
	plat_get_object(holder->chain, holder->platform, holder->status_key,
			project_status, holder);
}

static void begin_projection(struct rls_holder *holder)
{
	if (!holder->chain)
		holder->chain = talloc_new(holder);
	plat_get_object(holder->chain, holder->platform, SPR_KEY_MANIFEST,
			take_manifest, holder);
}

static void take_status(const struct plat_result *result, void *data)
{
	struct rls_holder *holder = data;

	if (!result->error)
		set_status(holder, result->objects[0].version,
			   result->objects[0].value);
	else if (g_error_matches(result->error, ERR_DOMAIN, ERR_NOT_FOUND))
		set_status(holder, 0, NULL);
	end_chain(holder);
}

static void read_status(struct rls_holder *holder)
{
	if (!holder->chain)
		holder->chain = talloc_new(holder);
	plat_get_object(holder->chain, holder->platform, holder->status_key,
			take_status, holder);
}

static void finish_status(const struct plat_result *result, void *data)
{
	struct rls_holder *holder = data;

	if (result->error) {
		/* Someone else took a step, or it is not known: read again. */
		log_write_error(LOG_LEVEL_WARNING, "release", result->error);
		holder->is_known = false;
		read_status(holder);
		return;
	}
	set_status(holder, result->version, holder->writing);
	begin_projection(holder);
}

static void put_status(struct rls_holder *holder, const struct mv_state *state,
		       const struct doc_move *move, uint64_t now_ms)
{
	holder->chain = talloc_new(holder);
	holder->written_ms = now_ms;
	holder->writing =
		rls_merge_status(holder->status, holder->service, state, move);
	stamp(holder, holder->writing);
	plat_put_object(holder->chain, holder->platform, holder->status_key,
			holder->writing, holder->status_version, finish_status,
			holder);
}

static void follow_state(struct rls_holder *holder,
			 const struct mv_state *state,
			 const struct doc_service *service, uint64_t now_ms)
{
	if (!holder->judge ||
	    holder->judged_document != service->document_version) {
		talloc_free(holder->judge);
		holder->judge = mv_new_judge(holder, service->move, 1);
		holder->judged_document = service->document_version;
		holder->judged_since_ms = 0;
	}
	if (holder->judged_since_ms != state->since_ms)
		mv_begin_step(holder->judge, state->share_permille, now_ms);
	holder->judged_since_ms = state->since_ms;
	mv_fold_slots(holder->judge, holder->window, now_ms);
}

static bool is_write_due(const struct rls_holder *holder,
			 const struct mv_state *before,
			 const struct mv_action *action, uint64_t now_ms)
{
	const struct mv_state *after = &action->state;

	if (action->kind != MV_ACTION_WAIT ||
	    before->document_version != after->document_version ||
	    before->phase != after->phase || before->reason != after->reason)
		return true;
	return now_ms >= holder->written_ms + NOTE_PERIOD_MS &&
	       (before->missing_calls != after->missing_calls ||
		before->expected_end_ms != after->expected_end_ms ||
		before->is_common != after->is_common);
}

static void decide_step(struct rls_holder *holder,
			const struct doc_service *service,
			const struct doc_snapshot *snapshot,
			const struct rls_members *members)
{
	const struct doc_manifest_service *entry = doc_find_manifest_service(
		doc_get_manifest(snapshot), holder->service);
	uint64_t now_ms = tmr_get_wall_ms(holder->timers);
	struct mv_evidence evidence = { .document_version =
						service->document_version };
	struct mv_action action;
	struct mv_state state;
	bool is_new = !rls_parse_status(holder->status, &state);

	if (is_new)
		mv_init_state(&state, service->move, service->document_version,
			      now_ms);
	/* This node's snapshot is behind: others know a newer document. */
	if (state.document_version > service->document_version)
		return;
	follow_state(holder, &state, service, now_ms);
	mv_get_verdict(holder->judge, &evidence.verdict);
	rls_estimate_bearing(members, snapshot, service, holder->window, now_ms,
			     &evidence);
	mv_next(&state, service->move, &evidence, now_ms, &action);
	if (is_new || is_write_due(holder, &state, &action, now_ms))
		put_status(holder, &action.state, service->move, now_ms);
	else if (!is_projected(entry, &state))
		begin_projection(holder);
}

static void handle_watch(enum plat_watch_kind kind,
			 const struct plat_result *result, void *data)
{
	struct rls_holder *holder = data;

	if (kind == PLAT_WATCH_STALE || kind == PLAT_WATCH_FAILED)
		return;
	if (kind == PLAT_WATCH_LISTED && !holder->chain)
		set_status(holder, 0, NULL);
	for (size_t i = 0; i < result->object_count; i++) {
		const struct plat_object *object = &result->objects[i];

		/* The prefix holds longer names as well. */
		if (strcmp(object->key, holder->status_key) != 0 ||
		    object->version <= holder->status_version)
			continue;
		if (object->is_deleted)
			set_status(holder, 0, NULL);
		else
			set_status(holder, object->version, object->value);
	}
}

static void handle_lease(bool is_held, uint64_t fencing_version, void *data)
{
	struct rls_holder *holder = data;

	log_write(LOG_LEVEL_INFO, "release", "move lease", NULL,
		  is_held ? "lease taken" : "lease not held", "service",
		  holder->service, LOG_END);
	end_chain(holder);
	TALLOC_FREE(holder->watch);
	TALLOC_FREE(holder->judge);
	holder->is_known = false;
	if (is_held)
		holder->watch = plat_watch_prefix(holder, holder->platform,
						  holder->status_key,
						  handle_watch, holder);
}

static int destroy_holder(struct rls_holder *holder)
{
	json_decref(holder->status);
	json_decref(holder->writing);
	return 0;
}

struct rls_holder *rls_new_holder(TALLOC_CTX *ctx,
				  const struct rls_holder_options *options)
{
	struct rls_holder *holder = talloc_zero(ctx, struct rls_holder);
	char *key = talloc_asprintf(holder, "%s%s", RLS_KEY_LEASE,
				    options->service);

	holder->timers = options->timers;
	holder->platform = options->platform;
	holder->node = talloc_strdup(holder, options->node);
	holder->service = talloc_strdup(holder, options->service);
	holder->status_key = talloc_asprintf(holder, "%s%s", SPR_KEY_STATUS,
					     options->service);
	holder->window = mv_new_window(holder, options->service);
	talloc_set_destructor(holder, destroy_holder);
	holder->lease =
		plat_compete_lease(holder, options->platform, key, holder->node,
				   LEASE_DURATION_MS, handle_lease, holder);
	return holder;
}

bool rls_is_holding(const struct rls_holder *holder)
{
	return plat_is_lease_held(holder->lease);
}

struct mv_window *rls_get_holder_window(struct rls_holder *holder)
{
	return holder->window;
}

void rls_run_holder(struct rls_holder *holder,
		    const struct doc_snapshot *snapshot,
		    const struct rls_members *members)
{
	const struct doc_service *service =
		doc_find_service(snapshot, holder->service);

	if (!service || !service->move || holder->chain ||
	    !rls_is_holding(holder))
		return;
	if (!holder->is_known) {
		read_status(holder);
		return;
	}
	decide_step(holder, service, snapshot, members);
}
