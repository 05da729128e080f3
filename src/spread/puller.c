/*
 * Pull from a peer: its manifest, then in bundles the documents that the store
 * lacks; then the manifest is adopted as a whole.
 *
 * Peers are untrusted: the manifest is parsed with all its bounds checked, a
 * document must have the hash that the manifest gives, and the size of answers
 * is limited.
 * Invariants: at most one pull is active, and `pull` owns all its calls; a
 * failed pull ends at once, and the next one starts after a backoff with
 * jitter.
 */
#include "puller.h"

#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include "loom/error.h"
#include "loom/log.h"
#include "loom/reader.h"

#define REQUEST_TIMEOUT_MS 3000U
#define BACKOFF_BASE_MS 100U
#define BACKOFF_CAP_MS 5000U
#define ANSWER_BYTES_MAX (4U * 1024U * 1024U)

struct pull {
	struct spr_puller *puller;
	char *peer;
	struct doc_manifest *manifest;
	struct hc_request *request; /* active request */
	uint32_t missing_count;	    /* missing documents before this bundle */
};

struct spr_puller {
	const struct spr_options *options;
	struct hc_loop *loop;
	struct spr_store *store;
	struct pull *pull; /* active pull, or NULL */
	struct tmr_subscription *retry;
	uint32_t failure_count; /* failures since the last success */
	GRand *random;
	spr_puller_fn fn;
	void *data;
};

static void handle_retry(uint64_t now_ms, void *data)
{
	struct spr_puller *puller = data;

	puller->retry = NULL;
	spr_pull_any(puller);
}

static void retry_later(struct spr_puller *puller)
{
	uint32_t doublings = MIN(puller->failure_count, 10U);
	uint32_t bound_ms = MIN(BACKOFF_BASE_MS << doublings, BACKOFF_CAP_MS);

	puller->failure_count++;
	TALLOC_FREE(puller->retry);
	puller->retry = tmr_subscribe_once(
		puller, puller->options->timers,
		1 + (uint32_t)g_rand_int_range(puller->random, 0,
					       (gint32)bound_ms),
		handle_retry, puller);
}

static void fail_pull(struct pull *pull, const GError *error)
{
	struct spr_puller *puller = pull->puller;

	log_write_error(LOG_LEVEL_WARNING, "spread", error);
	TALLOC_FREE(puller->pull);
	retry_later(puller);
}

/*
 * Moves the ownership of an answered request to the loop, because the pull may
 * be freed before the request frees itself.
 */
static void release_request(struct pull *pull)
{
	talloc_steal(pull->puller->loop, pull->request);
	pull->request = NULL;
}

/* Checks the status of an answer; returns false with *error set. */
static bool check_answer(const struct pull *pull, const char *step,
			 const struct hc_answer *answer, GError **error)
{
	if (answer->error) {
		err_set(error, ERR_UNAVAILABLE, step, pull->peer, "%s",
			answer->error->message);
		return false;
	}
	if (answer->status != MHD_HTTP_OK) {
		err_set(error, ERR_UNAVAILABLE, step, pull->peer,
			"got status %u, wanted 200", answer->status);
		return false;
	}
	return true;
}

static void send_request(struct pull *pull, const char *method,
			 const char *path, const char *body, hc_answer_fn fn)
{
	struct hc_options options = {
		.method = method,
		.url = talloc_asprintf(pull, "http://%s%s", pull->peer, path),
		.body = body,
		.body_size = body ? strlen(body) : 0,
		.timeout_ms = REQUEST_TIMEOUT_MS,
		.answer_bytes_max = ANSWER_BYTES_MAX,
	};

	pull->request = hc_send(pull, pull->puller->loop, &options, fn, pull);
}

static void finish_pull(struct pull *pull)
{
	struct spr_puller *puller = pull->puller;
	GError *error = NULL;
	bool is_adopted;

	is_adopted = spr_adopt_manifest(puller->store, pull->manifest, &error);
	if (error) {
		fail_pull(pull, error);
		g_clear_error(&error);
		return;
	}
	TALLOC_FREE(puller->pull);
	puller->failure_count = 0;
	if (is_adopted)
		puller->fn(puller->data);
	spr_pull_any(puller);
}

static json_t *list_missing(struct pull *pull)
{
	const struct doc_manifest *manifest = pull->manifest;
	json_t *list = json_array();

	assert(manifest);
	pull->missing_count = 0;
	for (size_t i = 0; i < manifest->service_count; i++) {
		const struct doc_manifest_service *entry =
			&manifest->services[i];
		char hash[17];

		if (spr_find_document(pull->puller->store, entry))
			continue;
		if (++pull->missing_count > SPR_BUNDLE_DOCUMENTS_MAX)
			continue;
		g_snprintf(hash, sizeof(hash), "%016" PRIx64,
			   entry->content_hash);
		json_array_append_new(
			list, json_pack("{s:s,s:I,s:s}", "name", entry->name,
					"version",
					(json_int_t)entry->document_version,
					"hash", hash));
	}
	return list;
}

static void handle_bundle(const struct hc_answer *answer, void *data);

static void request_bundle(struct pull *pull)
{
	json_t *body = json_pack("{s:o}", "documents", list_missing(pull));
	char *text = json_dumps(body, JSON_COMPACT);

	if (pull->missing_count == 0)
		finish_pull(pull);
	else
		send_request(pull, "POST", "/spread/bundle", text,
			     handle_bundle);
	free(text);
	json_decref(body);
}

/*
 * Stores the documents that the manifest names. Returns false with *error set
 * at the first invalid one, or when there is no missing one.
 */
static bool add_documents(struct pull *pull, const json_t *bundle,
			  GError **error)
{
	const json_t *list = json_object_get(bundle, "documents");
	uint32_t added_count = 0;

	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *item = json_array_get(list, i);
		const char *name =
			json_string_value(json_object_get(item, "name"));
		const struct doc_manifest_service *entry =
			name ? doc_find_manifest_service(pull->manifest, name)
			     : NULL;

		if (!entry || spr_find_document(pull->puller->store, entry))
			continue;
		if (!spr_add_document(pull->puller->store, entry,
				      json_object_get(item, "document"), error))
			return false;
		added_count++;
	}
	if (added_count > 0)
		return true;
	err_set(error, ERR_INVALID_MESSAGE, "pull documents", pull->peer,
		"got none of %u missing documents", pull->missing_count);
	return false;
}

static void handle_bundle(const struct hc_answer *answer, void *data)
{
	struct pull *pull = data;
	GError *error = NULL;
	json_t *bundle = NULL;
	bool is_valid;

	release_request(pull);
	is_valid = check_answer(pull, "pull documents", answer, &error);
	if (is_valid) {
		bundle = rd_load_json(answer->body, answer->body_size,
				      JSON_REJECT_DUPLICATES, NULL);
		is_valid = add_documents(pull, bundle, &error);
	}
	json_decref(bundle);
	if (is_valid)
		request_bundle(pull);
	else
		fail_pull(pull, error);
	g_clear_error(&error);
}

static void handle_manifest(const struct hc_answer *answer, void *data)
{
	struct pull *pull = data;
	struct spr_puller *puller = pull->puller;
	GError *error = NULL;

	release_request(pull);
	if (check_answer(pull, "pull manifest", answer, &error))
		pull->manifest = doc_parse_manifest(pull, answer->body,
						    answer->body_size, &error);
	if (pull->manifest &&
	    pull->manifest->sequence <= spr_get_sequence(puller->store))
		err_set(&error, ERR_GONE, "pull manifest", pull->peer,
			"got sequence %" PRIu64 ", wanted one above %" PRIu64,
			pull->manifest->sequence,
			spr_get_sequence(puller->store));
	if (error)
		fail_pull(pull, error);
	else
		request_bundle(pull);
	g_clear_error(&error);
}

static int destroy_puller(struct spr_puller *puller)
{
	g_rand_free(puller->random);
	return 0;
}

struct spr_puller *spr_new_puller(TALLOC_CTX *ctx,
				  const struct spr_options *options,
				  struct hc_loop *loop, struct spr_store *store,
				  spr_puller_fn fn, void *data)
{
	struct spr_puller *puller = talloc_zero(ctx, struct spr_puller);

	puller->options = options;
	puller->loop = loop;
	puller->store = store;
	puller->random = g_rand_new_with_seed((guint32)options->seed);
	puller->fn = fn;
	puller->data = data;
	talloc_set_destructor(puller, destroy_puller);
	return puller;
}

void spr_start_pull(struct spr_puller *puller, const char *peer,
		    uint64_t sequence)
{
	struct pull *pull;

	if (puller->pull || sequence <= spr_get_sequence(puller->store))
		return;
	TALLOC_FREE(puller->retry);
	pull = talloc_zero(puller, struct pull);
	pull->puller = puller;
	pull->peer = talloc_strdup(pull, peer);
	puller->pull = pull;
	send_request(pull, "GET", "/spread/manifest", NULL, handle_manifest);
}

void spr_pull_any(struct spr_puller *puller)
{
	const struct spr_options *options = puller->options;
	const struct spr_peer *chosen = NULL;
	const struct spr_peer *peers;
	uint32_t newer_count = 0;
	size_t count;

	if (puller->pull || puller->retry)
		return;
	count = options->list_peers(&peers, options->data);
	for (size_t i = 0; i < count; i++) {
		if (peers[i].sequence <= spr_get_sequence(puller->store))
			continue;
		newer_count++;
		if (g_rand_int_range(puller->random, 0, (gint32)newer_count) ==
		    0)
			chosen = &peers[i];
	}
	if (chosen)
		spr_start_pull(puller, chosen->address, chosen->sequence);
}
