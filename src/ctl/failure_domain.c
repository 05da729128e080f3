/*
 * Command failure-domain: takes a failure domain out of service or puts it back
 * in.
 *
 * The command writes the manifest conditionally and then sends it to the relays
 * and to the nodes that the operator names. The change thus reaches the nodes
 * even if the platform becomes unreachable right after the write. For the same
 * reason the list of relays is read before the write.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "ctl.h"
#include "loom/document.h"
#include "loom/error.h"
#include "loom/http.h"
#include "loom/reader.h"
#include "loom/spread.h"

#define WRITE_ATTEMPTS_MAX 5U
#define OFFER_TIMEOUT_MS 2000U
#define OFFER_ANSWER_BYTES_MAX (64U * 1024U)

/* All offers of one manifest; the loop runs until none is pending. */
struct offers {
	uint32_t pending_count;
	uint32_t accepted_count;
};

/* One request that offers the manifest to a node. */
struct offer {
	struct offers *offers;
	const char *node;
};

struct node_list {
	GPtrArray *nodes; /* "ADDRESS:PORT"; borrowed */
	bool is_done;
};

static void add_lease_holders(const struct plat_result *result, void *data)
{
	struct node_list *list = data;

	list->is_done = true;
	for (size_t i = 0; i < result->object_count; i++) {
		const char *holder = json_string_value(
			json_object_get(result->objects[i].value, "holder"));

		if (holder && strchr(holder, ':'))
			g_ptr_array_add(list->nodes, g_strdup(holder));
	}
}

/*
 * Adds the relays to nodes. A relay's lease names as holder the address and the
 * administration port of the relay.
 */
static void list_relays(struct ctl_context *context, GPtrArray *nodes)
{
	struct node_list list = { .nodes = nodes };

	plat_list_objects(context->ctx, context->platform, SPR_KEY_RELAY_LEASE,
			  add_lease_holders, &list);
	while (!list.is_done)
		tevent_loop_once(context->events);
}

static void finish_offer(const struct hc_answer *answer, void *data)
{
	struct offer *offer = data;

	offer->offers->pending_count--;
	/* A node that already has the manifest answers 409 Conflict. */
	if (!answer->error && (answer->status == MHD_HTTP_OK ||
			       answer->status == MHD_HTTP_CONFLICT))
		offer->offers->accepted_count++;
	else
		fprintf(stderr, "loomctl: node %s did not take the manifest\n",
			offer->node);
}

static void send_offer(struct ctl_context *context, struct hc_loop *loop,
		       struct offers *offers, const char *node,
		       const char *manifest)
{
	struct offer *offer = talloc_zero(context->ctx, struct offer);
	struct hc_options options = {
		.method = "POST",
		.url = talloc_asprintf(offer, "http://%s/spread/manifest",
				       node),
		.body = manifest,
		.body_size = strlen(manifest),
		.timeout_ms = OFFER_TIMEOUT_MS,
		.answer_bytes_max = OFFER_ANSWER_BYTES_MAX,
	};

	offer->offers = offers;
	offer->node = talloc_strdup(offer, node);
	offers->pending_count++;
	hc_send(context->ctx, loop, &options, finish_offer, offer);
}

static void offer_manifest(struct ctl_context *context, const char *manifest,
			   const GPtrArray *nodes)
{
	struct offers offers = { 0 };
	GError *error = NULL;
	struct hc_loop *loop =
		hc_new_loop(context->ctx, context->events, &error);

	if (!loop) {
		ctl_print_error(error);
		g_clear_error(&error);
		return;
	}
	for (guint i = 0; i < nodes->len; i++)
		send_offer(context, loop, &offers, nodes->pdata[i], manifest);
	while (offers.pending_count > 0)
		tevent_loop_once(context->events);
	printf("offered to %u nodes, of which %u have it\n", nodes->len,
	       offers.accepted_count);
}

/*
 * Returns the manifest (new, owned by the context) and its object version, or
 * NULL with *error set.
 */
static struct doc_manifest *read_manifest(struct ctl_context *context,
					  uint64_t *version, GError **error)
{
	struct doc_manifest *manifest = NULL;
	struct ctl_object object;
	char *text;

	ctl_read_object(context, SPR_KEY_MANIFEST, &object);
	*version = object.version;
	if (object.error) {
		g_propagate_error(error, g_error_copy(object.error));
	} else {
		text = json_dumps(object.value, JSON_COMPACT);
		manifest = doc_parse_manifest(context->ctx, text, strlen(text),
					      error);
		free(text);
	}
	ctl_clear_object(&object);
	return manifest;
}

/*
 * Writes the manifest if its object still has that version. Returns the text as
 * written, with its write id (new, owned by the context), or NULL with *error
 * set.
 */
static char *write_manifest(struct ctl_context *context,
			    const struct doc_manifest *manifest,
			    uint64_t version, GError **error)
{
	char *text = doc_format_manifest(context->ctx, manifest);
	json_t *value = json_loads(text, 0, NULL);
	struct ctl_object written;
	char *dumped = NULL;

	ctl_write_object(context, SPR_KEY_MANIFEST, value, version, &written);
	if (written.error)
		g_propagate_error(error, g_error_copy(written.error));
	else
		dumped = json_dumps(value, JSON_COMPACT);
	text = talloc_strdup(context->ctx, dumped);
	free(dumped);
	ctl_clear_object(&written);
	json_decref(value);
	return text;
}

/*
 * Makes one attempt to write the change. Returns whether the failure domain has
 * the wanted state; *text is the written manifest, or NULL if nothing had to be
 * written. Returns false with *error set on failure.
 */
static bool try_set_domain(struct ctl_context *context, const char *name,
			   bool is_out, char **text, GError **error)
{
	struct doc_manifest *manifest;
	struct doc_manifest *next;
	uint64_t version;

	*text = NULL;
	manifest = read_manifest(context, &version, error);
	if (!manifest)
		return false;
	next = spr_make_domain_manifest(context->ctx, manifest, name, is_out);
	if (!next)
		return true;
	*text = write_manifest(context, next, version, error);
	return *text != NULL;
}

enum ctl_exit ctl_set_failure_domain(struct ctl_context *context,
				     const char *name, bool is_out,
				     const char *const *nodes, int node_count)
{
	GPtrArray *offered = g_ptr_array_new_with_free_func(g_free);
	enum ctl_exit result = CTL_EXIT_USAGE;
	GError *error = NULL;
	bool is_set = false;
	char *text = NULL;

	if (!rd_is_label(name)) {
		fprintf(stderr,
			"loomctl: got failure domain \"%s\", wanted a name of "
			"lower-case letters, digits and inner hyphens\n",
			name);
		goto out;
	}
	for (int i = 0; i < node_count; i++)
		g_ptr_array_add(offered, g_strdup(nodes[i]));
	list_relays(context, offered);
	for (uint32_t i = 0; i < WRITE_ATTEMPTS_MAX && !is_set; i++) {
		g_clear_error(&error);
		is_set = try_set_domain(context, name, is_out, &text, &error);
		if (!g_error_matches(error, ERR_DOMAIN, ERR_CONFLICT))
			break;
	}
	result = is_set ? CTL_EXIT_OK : ctl_print_error(error);
	if (is_set)
		printf("failure domain %s is %s%s\n", name,
		       is_out ? "out" : "in", text ? "" : " already");
	if (text)
		offer_manifest(context, text, offered);
out:
	g_clear_error(&error);
	g_ptr_array_free(offered, TRUE);
	return result;
}
