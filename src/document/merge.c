/*
 * Merging of proposed documents into the next manifest.
 *
 * Each proposal gets one verdict, in three passes. The first pass checks each
 * proposal by itself. The second rejects accepted documents that call a
 * service which is neither in force nor accepted, and repeats this until a
 * round rejects nothing; services to be removed count as in force in this pass.
 * The third rejects removals of services that are still called, and repeats
 * this in the same way.
 *
 * The next manifest names a document for every called service if the current
 * manifest does: a rejected document is replaced by the one in force, whose
 * calls are all in force, and the third pass only adds services.
 *
 * Invariant: effective maps each service of the next manifest to its document.
 * Services to be removed stay in it during the second pass; before the third
 * they are taken out, and one whose removal is rejected is put back.
 */
#include <assert.h>
#include <inttypes.h>
#include <string.h>
#include "loom/error.h"
#include "parse.h"

#define STEP "fold documents"

struct merge_state {
	const struct doc_manifest *current;
	const struct doc_proposal *proposals;
	struct doc_verdict *verdicts;
	size_t count;
	GHashTable *effective; /* name to doc_service, next manifest */
	GHashTable *in_force;  /* name to doc_service, current manifest */
};

static const char *const verdict_names[] = {
	[DOC_VERDICT_UNCHANGED] = "unchanged",
	[DOC_VERDICT_ACCEPTED] = "accepted",
	[DOC_VERDICT_REMOVED] = "removed",
	[DOC_VERDICT_REJECTED] = "rejected",
};

const char *doc_get_verdict_name(enum doc_verdict_kind kind)
{
	assert((size_t)kind < G_N_ELEMENTS(verdict_names));
	return verdict_names[kind];
}

static void reject(struct doc_verdict *verdict, const char *path,
		   const char *format, ...)
	__attribute__((format(printf, 3, 4)));

static void reject(struct doc_verdict *verdict, const char *path,
		   const char *format, ...)
{
	va_list arguments;

	verdict->kind = DOC_VERDICT_REJECTED;
	va_start(arguments, format);
	prob_add_problem_va(verdict->problems->kept, verdict->name, path,
			    format, arguments);
	va_end(arguments);
}

/* Rejects a document that did not parse, with the problems of the parser. */
static void reject_unparsed(struct doc_verdict *verdict,
			    const struct doc_problem_list *problems)
{
	verdict->kind = DOC_VERDICT_REJECTED;
	for (guint i = 0; problems && i < problems->problems->len; i++) {
		const struct prob_problem *problem =
			problems->problems->pdata[i];

		doc_add_problem(verdict->problems, problem->file, problem->path,
				"%s", problem->message);
	}
}

static bool is_duplicate_proposal(const struct merge_state *state, size_t index)
{
	for (size_t i = 0; i < index; i++) {
		if (strcmp(state->proposals[i].name,
			   state->proposals[index].name) == 0)
			return true;
	}
	return false;
}

static bool is_full(const struct merge_state *state)
{
	return g_hash_table_size(state->effective) >= DOC_SERVICES_MAX;
}

/* Checks one changed document by itself, and accepts or rejects it. */
static void check_document(const struct merge_state *state,
			   const struct doc_proposal *proposal,
			   const struct doc_manifest_service *entry,
			   struct doc_verdict *verdict)
{
	if (entry && proposal->document_version < entry->document_version)
		reject(verdict, "",
		       "got version %" PRIu64
		       ", wanted one above version "
		       "%" PRIu64 " in force",
		       proposal->document_version, entry->document_version);
	else if (!proposal->service)
		reject_unparsed(verdict, proposal->problems);
	else if (strcmp(proposal->service->name, proposal->name) != 0)
		reject(verdict, "service",
		       "got \"%s\", wanted \"%s\", the name of the object",
		       proposal->service->name, proposal->name);
	else if (!entry && is_full(state))
		reject(verdict, "",
		       "got one service more, wanted at most %u in force",
		       DOC_SERVICES_MAX);
	else
		verdict->kind = DOC_VERDICT_ACCEPTED;
}

/*
 * Returns whether the proposal is the document in force. The content hash is
 * compared too, because a store that was restored from a backup can hold other
 * content under the version in force. A document that does not parse has no
 * hash, so its version alone decides.
 */
static bool is_in_force(const struct doc_proposal *proposal,
			const struct doc_manifest_service *entry)
{
	if (!entry || proposal->document_version != entry->document_version)
		return false;
	return !proposal->service ||
	       proposal->service->content_hash == entry->content_hash;
}

static void check_proposal(const struct merge_state *state, size_t index)
{
	const struct doc_proposal *proposal = &state->proposals[index];
	struct doc_verdict *verdict = &state->verdicts[index];
	const struct doc_manifest_service *entry;

	entry = doc_find_manifest_service(state->current, proposal->name);
	if (is_duplicate_proposal(state, index))
		reject(verdict, "", "is proposed twice, wanted once");
	else if (proposal->is_removal)
		verdict->kind =
			entry ? DOC_VERDICT_REMOVED : DOC_VERDICT_UNCHANGED;
	else if (is_in_force(proposal, entry))
		verdict->kind = DOC_VERDICT_UNCHANGED;
	else
		check_document(state, proposal, entry, verdict);
	if (verdict->kind == DOC_VERDICT_ACCEPTED)
		g_hash_table_insert(state->effective, (gpointer)verdict->name,
				    (gpointer)proposal->service);
}

/* Makes the document in force, if there is one, the effective one again. */
static void restore_in_force(const struct merge_state *state, const char *name)
{
	gpointer service = g_hash_table_lookup(state->in_force, name);

	if (service)
		g_hash_table_insert(state->effective, (gpointer)name, service);
	else
		g_hash_table_remove(state->effective, name);
}

/*
 * Rejects an accepted document that calls a service without an effective
 * document. Returns whether it was rejected.
 */
static bool reject_unresolved_calls(const struct merge_state *state,
				    size_t index)
{
	struct doc_verdict *verdict = &state->verdicts[index];
	const char *const *call;

	if (verdict->kind != DOC_VERDICT_ACCEPTED)
		return false;
	for (call = state->proposals[index].service->calls; *call; call++) {
		if (!g_hash_table_contains(state->effective, *call))
			reject(verdict, "calls",
			       "got \"%s\", wanted a service that is in force "
			       "or accepted together with this one",
			       *call);
	}
	if (verdict->kind == DOC_VERDICT_ACCEPTED)
		return false;
	restore_in_force(state, verdict->name);
	return true;
}

static gint compare_texts(gconstpointer left, gconstpointer right)
{
	return strcmp(*(const char *const *)left, *(const char *const *)right);
}

/*
 * Returns the names of the callers of a service, sorted and separated by ", ",
 * or NULL when there is none. A new text, freed by the caller with g_free().
 */
static char *format_callers(const struct merge_state *state, const char *name)
{
	GPtrArray *callers = g_ptr_array_new();
	GHashTableIter iter;
	char *text = NULL;
	gpointer value;

	g_hash_table_iter_init(&iter, state->effective);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct doc_service *service = value;

		if (doc_list_contains(service->calls, name))
			g_ptr_array_add(callers, (gpointer)service->name);
	}
	g_ptr_array_sort(callers, compare_texts);
	g_ptr_array_add(callers, NULL);
	if (callers->len > 1)
		text = g_strjoinv(", ", (char **)callers->pdata);
	g_ptr_array_free(callers, TRUE);
	return text;
}

/* Rejects the removal of a service that is called; returns whether it did. */
static bool reject_called_removal(const struct merge_state *state, size_t index)
{
	struct doc_verdict *verdict = &state->verdicts[index];
	char *callers;

	if (verdict->kind != DOC_VERDICT_REMOVED)
		return false;
	callers = format_callers(state, verdict->name);
	if (!callers)
		return false;
	reject(verdict, "",
	       "got a removal while %s calls it, wanted no caller left",
	       callers);
	g_free(callers);
	restore_in_force(state, verdict->name);
	return true;
}

static void drop_removed_services(const struct merge_state *state)
{
	for (size_t i = 0; i < state->count; i++) {
		if (state->verdicts[i].kind == DOC_VERDICT_REMOVED)
			g_hash_table_remove(state->effective,
					    state->verdicts[i].name);
	}
}

/*
 * Runs check, which returns whether it rejected a verdict, on all verdicts
 * until a whole round rejects none.
 */
static void check_until_stable(const struct merge_state *state,
			       bool (*check)(const struct merge_state *,
					     size_t))
{
	bool is_changed = true;

	while (is_changed) {
		is_changed = false;
		for (size_t i = 0; i < state->count; i++)
			is_changed = check(state, i) || is_changed;
	}
}

/*
 * Fills in_force and effective with the document of each entry of the current
 * manifest, found by version and content. Returns false with *error set when
 * one is missing.
 */
static bool index_in_force(struct merge_state *state,
			   const struct doc_service *const *services,
			   size_t service_count, GError **error)
{
	for (size_t i = 0; i < service_count; i++) {
		const struct doc_service *service = services[i];
		const struct doc_manifest_service *entry;

		entry = doc_find_manifest_service(state->current,
						  service->name);
		if (!entry ||
		    entry->document_version != service->document_version ||
		    entry->content_hash != service->content_hash)
			continue;
		g_hash_table_insert(state->in_force, (gpointer)service->name,
				    (gpointer)service);
		g_hash_table_insert(state->effective, (gpointer)service->name,
				    (gpointer)service);
	}
	for (size_t i = 0; i < state->current->service_count; i++) {
		const struct doc_manifest_service *entry =
			&state->current->services[i];

		if (g_hash_table_contains(state->in_force, entry->name))
			continue;
		err_set(error, ERR_NOT_FOUND, STEP, entry->name,
			"no document of service %s, wanted version %" PRIu64,
			entry->name, entry->document_version);
		return false;
	}
	return true;
}

static bool is_same_move(const struct doc_move *a, const struct doc_move *b)
{
	return a && b && strcmp(a->from, b->from) == 0 &&
	       strcmp(a->to, b->to) == 0 && a->start_ms == b->start_ms &&
	       a->finish_by_ms == b->finish_by_ms &&
	       a->step_count == b->step_count &&
	       memcmp(a->step_shares_permille, b->step_shares_permille,
		      a->step_count * sizeof(*a->step_shares_permille)) == 0;
}

/*
 * Resets the state of the move, unless the new document has the same move as
 * the old one: a reset would send all calls to the old version until the move
 * reached its step again. A move that was taken back restarts with any new
 * document.
 */
static void reset_move(struct doc_manifest_service *entry,
		       const struct doc_service *before,
		       const struct doc_service *after)
{
	if (before && is_same_move(before->move, after->move) &&
	    entry->move_state != DOC_MOVE_TAKEN_BACK)
		return;
	entry->move_state = after->move ? DOC_MOVE_WAITING : DOC_MOVE_NONE;
	entry->share_permille = 0;
	entry->step_index = 0;
}

/* Applies one verdict to the next manifest. */
static void apply_verdict(const struct merge_state *state,
			  struct doc_merge_result *merge_result,
			  const struct doc_verdict *verdict,
			  const struct doc_proposal *proposal)
{
	struct doc_manifest_service *entry;

	switch (verdict->kind) {
	case DOC_VERDICT_UNCHANGED:
	case DOC_VERDICT_REJECTED:
		return;
	case DOC_VERDICT_REMOVED:
		doc_remove_manifest_service(merge_result->manifest,
					    verdict->name);
		break;
	case DOC_VERDICT_ACCEPTED:
		entry = doc_add_manifest_service(merge_result->manifest,
						 verdict->name);
		entry->document_version = verdict->document_version;
		entry->content_hash = proposal->service->content_hash;
		reset_move(entry,
			   g_hash_table_lookup(state->in_force, verdict->name),
			   proposal->service);
		break;
	}
	merge_result->is_changed = true;
}

static struct doc_merge_result *
new_merge_result(TALLOC_CTX *ctx, const struct merge_state *state)
{
	struct doc_merge_result *merge_result =
		talloc_zero(ctx, struct doc_merge_result);

	merge_result->manifest =
		doc_copy_manifest(merge_result, state->current);
	merge_result->verdicts = talloc_zero_array(
		merge_result, struct doc_verdict, state->count);
	merge_result->verdict_count = state->count;
	for (size_t i = 0; i < state->count; i++) {
		const struct doc_proposal *proposal = &state->proposals[i];
		struct doc_verdict *verdict = &merge_result->verdicts[i];

		verdict->name = talloc_strdup(merge_result, proposal->name);
		verdict->document_version =
			proposal->is_removal ? 0 : proposal->document_version;
		verdict->problems = doc_new_problem_list(merge_result);
	}
	return merge_result;
}

struct doc_merge_result *
doc_merge_documents(TALLOC_CTX *ctx, const struct doc_manifest *current,
		    const struct doc_service *const *services,
		    size_t service_count, const struct doc_proposal *proposals,
		    size_t proposal_count, GError **error)
{
	struct merge_state state = {
		.current = current,
		.proposals = proposals,
		.count = proposal_count,
		.effective = g_hash_table_new(g_str_hash, g_str_equal),
		.in_force = g_hash_table_new(g_str_hash, g_str_equal),
	};
	struct doc_merge_result *merge_result = NULL;

	if (!index_in_force(&state, services, service_count, error))
		goto done;
	merge_result = new_merge_result(ctx, &state);
	state.verdicts = merge_result->verdicts;
	for (size_t i = 0; i < proposal_count; i++)
		check_proposal(&state, i);
	check_until_stable(&state, reject_unresolved_calls);
	drop_removed_services(&state);
	check_until_stable(&state, reject_called_removal);
	for (size_t i = 0; i < proposal_count; i++)
		apply_verdict(&state, merge_result, &merge_result->verdicts[i],
			      &proposals[i]);
	if (merge_result->is_changed)
		merge_result->manifest->sequence++;
done:
	g_hash_table_destroy(state.in_force);
	g_hash_table_destroy(state.effective);
	return merge_result;
}
