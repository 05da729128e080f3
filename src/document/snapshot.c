/*
 * Snapshot: a copy of a manifest and the documents that it names.
 *
 * Invariants: services[i] is the document of manifest->services[i], of the
 * exact version; every service that a document calls is in the snapshot. All
 * checks precede the first talloc_steal(), so a failed build changes nothing. A
 * snapshot has no talloc parent, because any thread may release the last
 * reference.
 *
 * The snapshot of a gateway has a manifest and service documents that are made
 * from the gateway document.
 */
#include <assert.h>
#include <inttypes.h>
#include <stdatomic.h>
#include <string.h>
#include "loom/document.h"
#include "gateway.h"
#include "loom/error.h"

#define STEP "build snapshot"

struct doc_snapshot {
	atomic_uint reference_count;
	struct doc_manifest *manifest;
	const struct doc_service **services; /* in manifest order */
	struct doc_gateway *gateway;	     /* NULL: built from a manifest */
};

/* Checks the move state of a manifest entry against the document's move. */
static bool check_move(const struct doc_manifest_service *entry,
		       const struct doc_move *move, GError **error)
{
	if (entry->share_permille > DOC_SHARE_ALL_PERMILLE) {
		err_set(error, ERR_INVALID_ARGUMENT, STEP, entry->name,
			"got share %u of service %s, wanted at most %u",
			entry->share_permille, entry->name,
			DOC_SHARE_ALL_PERMILLE);
		return false;
	}
	if (!move &&
	    (entry->move_state != DOC_MOVE_NONE || entry->share_permille > 0)) {
		err_set(error, ERR_INVALID_ARGUMENT, STEP, entry->name,
			"got move %s at share %u of service %s, whose document "
			"has no move",
			doc_get_move_state_name(entry->move_state),
			entry->share_permille, entry->name);
		return false;
	}
	if (move && entry->step_index >= move->step_count) {
		err_set(error, ERR_INVALID_ARGUMENT, STEP, entry->name,
			"got step %u of service %s, wanted one of its %zu "
			"steps, counted from 0",
			entry->step_index, entry->name, move->step_count);
		return false;
	}
	return true;
}

static bool check_entry(const struct doc_manifest_service *entry,
			const struct doc_service *service, GError **error)
{
	if (!service) {
		err_set(error, ERR_NOT_FOUND, STEP, entry->name,
			"no document of service %s, wanted version %" PRIu64,
			entry->name, entry->document_version);
		return false;
	}
	if (service->document_version != entry->document_version) {
		err_set(error, ERR_CONFLICT, STEP, entry->name,
			"got version %" PRIu64
			" of service %s, wanted version %" PRIu64,
			service->document_version, entry->name,
			entry->document_version);
		return false;
	}
	return check_move(entry, service->move, error);
}

/*
 * Returns a new table of the documents (borrowed) by name. Of several documents
 * of a service, the one of the version in the manifest is chosen.
 */
static GHashTable *index_documents(const struct doc_manifest *manifest,
				   struct doc_service **services,
				   size_t service_count)
{
	GHashTable *by_name = g_hash_table_new(g_str_hash, g_str_equal);

	for (size_t i = 0; i < service_count; i++) {
		struct doc_service *service = services[i];
		const struct doc_manifest_service *entry;

		entry = doc_find_manifest_service(manifest, service->name);
		if ((entry &&
		     entry->document_version == service->document_version) ||
		    !g_hash_table_contains(by_name, service->name))
			g_hash_table_insert(by_name, (gpointer)service->name,
					    service);
	}
	return by_name;
}

/* Fills chosen with the document (borrowed) of each entry, and checks it. */
static bool choose_documents(const struct doc_manifest *manifest,
			     GHashTable *by_name, struct doc_service **chosen,
			     GError **error)
{
	for (size_t i = 0; i < manifest->service_count; i++) {
		const struct doc_manifest_service *entry =
			&manifest->services[i];

		chosen[i] = g_hash_table_lookup(by_name, entry->name);
		if (!check_entry(entry, chosen[i], error))
			return false;
	}
	return true;
}

static bool check_calls(struct doc_service **chosen, size_t count,
			GError **error)
{
	struct doc_problem_list *list = doc_new_problem_list(NULL);
	GString *text = g_string_new(NULL);
	bool is_complete;

	is_complete = doc_check_calls((const struct doc_service *const *)chosen,
				      count, list);
	if (!is_complete) {
		doc_print_problems(list, text);
		g_strchomp(text->str);
		err_set(error, ERR_INVALID_DOCUMENT, STEP, NULL, "%s",
			text->str);
	}
	g_string_free(text, TRUE);
	talloc_free(list);
	return is_complete;
}

struct doc_snapshot *doc_build_snapshot(const struct doc_manifest *manifest,
					struct doc_service **services,
					size_t service_count, GError **error)
{
	struct doc_snapshot *snapshot = talloc_zero(NULL, struct doc_snapshot);
	GHashTable *by_name =
		index_documents(manifest, services, service_count);
	size_t count = manifest->service_count;
	struct doc_service **chosen;

	chosen = talloc_zero_array(snapshot, struct doc_service *, count);
	if (!choose_documents(manifest, by_name, chosen, error) ||
	    !check_calls(chosen, count, error)) {
		TALLOC_FREE(snapshot);
		goto done;
	}
	atomic_init(&snapshot->reference_count, 1);
	snapshot->manifest = doc_copy_manifest(snapshot, manifest);
	for (size_t i = 0; i < count; i++)
		talloc_steal(snapshot, chosen[i]);
	snapshot->services = (const struct doc_service **)chosen;
done:
	g_hash_table_destroy(by_name);
	return snapshot;
}

static const struct doc_gateway_move *
find_move(const struct doc_gateway_move *moves, size_t count,
	  const char *service)
{
	for (size_t i = 0; i < count; i++) {
		if (strcmp(moves[i].service, service) == 0)
			return &moves[i];
	}
	return NULL;
}

/*
 * Adds a move without steps and times: nodes advance the share of a gateway's
 * move outside the snapshot, so only the current state and share are known.
 */
static void add_gateway_move(struct doc_service *service,
			     struct doc_manifest_service *entry,
			     const struct doc_gateway_move *move)
{
	struct doc_move *copy = talloc_zero(service, struct doc_move);

	copy->id = move->id;
	copy->from = DOC_VERSION_ANY;
	copy->to = talloc_strdup(copy, move->to);
	if (move->state != DOC_MOVE_DONE) {
		copy->bound_permille = move->bound_permille;
		copy->turn_index = move->turn_index;
		copy->turn_count = move->turn_count;
	}
	service->move = copy;
	entry->move_state = move->state;
	entry->share_permille = move->share_permille;
}

static struct doc_service *
make_gateway_service(TALLOC_CTX *ctx, const struct doc_gateway *gateway,
		     const struct doc_gateway_service *entry)
{
	static const char *const versions[] = { DOC_VERSION_ANY, NULL };
	static const char *const no_calls[] = { NULL };
	struct doc_service *service = talloc_zero(ctx, struct doc_service);

	service->name = talloc_strdup(service, entry->name);
	service->document_version = gateway->sequence;
	service->versions = versions;
	service->current = DOC_VERSION_ANY;
	service->calls = no_calls;
	/* The target itself announces its slots and its queue length. */
	service->limits = (struct doc_limits){
		.slots = 1,
		.connections = entry->connections,
		.queue_length = 0,
		.request_body_bytes = gateway->limits.request_body_bytes,
		.header_bytes = gateway->limits.header_bytes,
		.cold_calls_per_second = entry->cold_calls_per_second,
		.health_path = entry->health_path,
	};
	return service;
}

struct doc_snapshot *
doc_build_gateway_snapshot(struct doc_gateway *gateway,
			   const struct doc_gateway_move *moves,
			   size_t move_count, const char *const *domains_out)
{
	struct doc_snapshot *snapshot = talloc_zero(NULL, struct doc_snapshot);
	struct doc_manifest *manifest = doc_new_manifest(snapshot);

	atomic_init(&snapshot->reference_count, 1);
	snapshot->gateway = doc_ref_gateway(gateway);
	snapshot->manifest = manifest;
	manifest->sequence = gateway->sequence;
	for (; *domains_out; domains_out++)
		doc_add_manifest_domain(manifest, *domains_out)->is_out = true;
	for (size_t i = 0; i < gateway->service_count; i++)
		doc_add_manifest_service(manifest, gateway->services[i].name)
			->document_version = gateway->sequence;
	snapshot->services = talloc_zero_array(
		snapshot, const struct doc_service *, manifest->service_count);
	for (size_t i = 0; i < manifest->service_count; i++) {
		struct doc_manifest_service *entry = &manifest->services[i];
		const struct doc_gateway_move *move =
			find_move(moves, move_count, entry->name);
		struct doc_service *service = make_gateway_service(
			snapshot, gateway,
			doc_find_gateway_service(gateway, entry->name));

		if (move)
			add_gateway_move(service, entry, move);
		snapshot->services[i] = service;
	}
	return snapshot;
}

const struct doc_gateway *doc_get_gateway(const struct doc_snapshot *snapshot)
{
	return snapshot->gateway;
}

struct doc_snapshot *doc_ref_snapshot(struct doc_snapshot *snapshot)
{
	atomic_fetch_add_explicit(&snapshot->reference_count, 1,
				  memory_order_relaxed);
	return snapshot;
}

void doc_unref_snapshot(struct doc_snapshot *snapshot)
{
	unsigned int before;

	if (!snapshot)
		return;
	before = atomic_fetch_sub_explicit(&snapshot->reference_count, 1,
					   memory_order_acq_rel);
	assert(before > 0);
	if (before > 1)
		return;
	doc_unref_gateway(snapshot->gateway);
	talloc_free(snapshot);
}

const struct doc_manifest *doc_get_manifest(const struct doc_snapshot *snapshot)
{
	return snapshot->manifest;
}

const struct doc_service *doc_find_service(const struct doc_snapshot *snapshot,
					   const char *name)
{
	const struct doc_manifest_service *entry;

	entry = doc_find_manifest_service(snapshot->manifest, name);
	if (!entry)
		return NULL;
	return snapshot->services[entry - snapshot->manifest->services];
}

bool doc_is_domain_out(const struct doc_snapshot *snapshot, const char *name)
{
	const struct doc_manifest_domain *domain;

	domain = doc_find_manifest_domain(snapshot->manifest, name);
	return domain && domain->is_out;
}
