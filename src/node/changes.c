/*
 * Encoding and decoding of the changes that one node sends another.
 *
 *	GET /configuration/changes?gateway=S&moves=R&domains=R&wait_ms=N
 *	{"is_fit": true,
 *	 "gateway": delta from sequence S, or the whole gateway,
 *	 "moves": {"revision", "orders": [{"service", "to", "id", "limit_ms",
 *					   "state", "version"}]},
 *	 "domains": {"revision", "out": [...]},
 *	 "domain_orders": [[created, revision], ...],
 *	 "reverted": {"moves": ..., "domains": ...}}
 *
 * Revisions are stamps (loom/era.h), but for those in domain_orders, which
 * belong to the entries of "out". Earlier versions of this program neither send
 * domain_orders nor accept more fields in domains. "reverted" tells, for each
 *part that is present, on which items the store disagrees since it was restored
 * (reversion.h).
 *
 * The answer has the content encoding gzip when the request accepts it and the
 * delta is large. Only the parts that are newer are present. is_fit is true
 * when the answering node follows the store and has its current state.
 *
 * Invariant: the cached text of a delta leads from its base to its sequence.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include "internal.h"
#include "loom/log.h"
#include "loom/reader.h"

#define MOVE_REQUESTS_MAX 5000U
#define DOMAINS_MAX 1000U
#define TEXT_BYTES_MAX 255U
#define CONTENT_TYPE "application/json"
/* Smaller deltas fit into a few packets and are sent as they are. */
#define GZIP_BYTES_MIN 4096U

static const struct rd_range revision_range = { 0, INT64_MAX };
static const struct rd_range move_requests_range = { 0, MOVE_REQUESTS_MAX };
static const struct rd_range domains_range = { 0, DOMAINS_MAX };
static const struct rd_range text_range = { 1, TEXT_BYTES_MAX };
static const struct rd_range limit_range = { 1, UINT32_MAX };

/* Returns the previous gateway with that sequence (borrowed), or NULL. */
static struct doc_gateway *find_past(const struct nd_relay *relay,
				     uint64_t sequence)
{
	for (size_t i = 0; i < ND_HISTORY; i++) {
		if (relay->history[i] &&
		    doc_get_gateway_sequence(relay->history[i]) == sequence)
			return relay->history[i];
	}
	return NULL;
}

/*
 * Returns the delta from that sequence (borrowed until the next call). It is
 * cached, because most nodes that poll a watcher request the same delta.
 */
static struct nd_delta_text *get_delta(struct nd_node *node, uint64_t base)
{
	struct nd_delta_text *cached = &node->relay.delta;
	const struct doc_gateway *gateway = node->gateway.gateway;
	uint64_t sequence = doc_get_gateway_sequence(gateway);
	json_t *delta;

	if (cached->text && cached->base == base &&
	    cached->sequence == sequence)
		return cached;
	free(cached->text);
	TALLOC_FREE(cached->deflated);
	delta = doc_make_gateway_delta(find_past(&node->relay, base), gateway);
	cached->text = json_dumps(delta, JSON_COMPACT);
	cached->base = base;
	cached->sequence = sequence;
	json_decref(delta);
	return cached;
}

static void add_reverted(json_t *changes, const char *part,
			 const struct nd_reversion *reversion, uint64_t now_ms)
{
	json_t *value = nd_format_reversion(reversion, now_ms);
	json_t *reverted;

	if (!value)
		return;
	reverted = json_object_get(changes, "reverted");
	if (!reverted) {
		reverted = json_object();
		json_object_set_new(changes, "reverted", reverted);
	}
	json_object_set_new(reverted, part, value);
}

/*
 * Returns new JSON with is_fit and the parts that are newer, without the
 * gateway.
 */
static json_t *make_changes(const struct nd_node *node,
			    const struct nd_progress *known,
			    const struct nd_progress *own)
{
	uint64_t now_ms = tmr_get_now_ms(node->timers);
	json_t *changes =
		json_pack("{s:b}", "is_fit", (int)nd_is_store_synced(node));

	if (own->moves > known->moves) {
		json_object_set_new(changes, "moves",
				    json_pack("{s:I,s:o}", "revision",
					      (json_int_t)own->moves, "orders",
					      nd_make_move_requests(node)));
		add_reverted(changes, "moves", node->gateway.moves_reversion,
			     now_ms);
	}
	if (own->domains > known->domains) {
		json_object_set_new(changes, "domains",
				    json_pack("{s:I,s:o}", "revision",
					      (json_int_t)own->domains, "out",
					      nd_make_domains_out(node)));
		json_object_set_new(changes, "domain_orders",
				    nd_make_domain_orders(node));
		add_reverted(changes, "domains",
			     node->gateway.domains_reversion, now_ms);
	}
	return changes;
}

static bool read_move_request(TALLOC_CTX *ctx, struct rd_object *item,
			      struct nd_move_request *move_request)
{
	const char *state = "";
	bool is_valid;

	is_valid =
		rd_read_text(item, "service", RD_REQUIRED, &text_range,
			     &move_request->service) &&
		rd_read_text(item, "to", RD_REQUIRED, &text_range,
			     &move_request->to) &&
		rd_read_uint64(item, "id", RD_REQUIRED, &revision_range,
			       &move_request->id) &&
		rd_read_uint32(item, "limit_ms", RD_REQUIRED, &limit_range,
			       &move_request->limit_ms) &&
		rd_read_text(item, "state", RD_REQUIRED, &text_range, &state) &&
		rd_read_uint64(item, "version", RD_REQUIRED, &revision_range,
			       &move_request->version);
	rd_close_object(item);
	return is_valid && doc_parse_move_state(state, &move_request->state);
}

static void apply_moves(struct nd_node *node, struct rd_object *object,
			const json_t *reverted)
{
	struct rd_object *moves = rd_open_field(object, "moves", RD_OPTIONAL);
	struct nd_state_origin origin = { .is_from_peer = true,
					  .reverted = reverted };
	struct nd_move_request *requests;
	size_t count = 0;
	size_t used = 0;

	if (!moves)
		return;
	rd_read_uint64(moves, "revision", RD_REQUIRED, &revision_range,
		       &origin.revision);
	rd_read_array(moves, "orders", RD_REQUIRED, &move_requests_range,
		      &count);
	requests = talloc_zero_array(moves, struct nd_move_request, count);
	for (size_t i = 0; i < count; i++) {
		struct rd_object *item = rd_open_item(moves, "orders", i);

		if (item && read_move_request(moves, item, &requests[used]))
			used++;
	}
	if (used == count)
		nd_apply_move_requests(node, requests, count, &origin);
	rd_close_object(moves);
}

static uint64_t read_revision(const json_t *value)
{
	json_int_t revision = json_integer_value(value);

	return revision > 0 ? (uint64_t)revision : 0;
}

static bool read_domain(struct rd_object *domains, size_t i,
			const json_t *order, struct nd_domain_order *domain)
{
	domain->created = read_revision(json_array_get(order, 0));
	domain->revision = read_revision(json_array_get(order, 1));
	return rd_read_text_item(domains, "out", i, &text_range, &domain->name);
}

static void apply_domains(struct nd_node *node, struct rd_object *object,
			  const json_t *orders, const json_t *reverted)
{
	struct rd_object *domains =
		rd_open_field(object, "domains", RD_OPTIONAL);
	struct nd_state_origin origin = { .is_from_peer = true,
					  .reverted = reverted };
	struct nd_domain_order *list;
	size_t count = 0;
	size_t used = 0;

	if (!domains)
		return;
	rd_read_uint64(domains, "revision", RD_REQUIRED, &revision_range,
		       &origin.revision);
	rd_read_array(domains, "out", RD_REQUIRED, &domains_range, &count);
	list = talloc_zero_array(domains, struct nd_domain_order, count);
	for (size_t i = 0; i < count; i++)
		used += read_domain(domains, i, json_array_get(orders, i),
				    &list[i]);
	if (used == count)
		nd_apply_domains_out(node, list, count, &origin);
	rd_close_object(domains);
}

static bool log_problems(const char *peer, const struct prob_list *list)
{
	GString *text;

	if (prob_get_count(list) == 0)
		return false;
	text = g_string_new(NULL);
	prob_print_list(list, text);
	log_write(LOG_LEVEL_ERROR, "node", "take configuration", peer,
		  "changes are invalid", "problems", text->str, LOG_END);
	g_string_free(text, TRUE);
	return true;
}

/*
 * Applies a delta from base, or a whole gateway. Returns false when it is
 * invalid.
 */
static bool apply_gateway(struct nd_node *node, const char *peer,
			  const json_t *delta, uint64_t base)
{
	struct prob_list *list = prob_new_list(NULL);
	struct doc_gateway *present = node->gateway.gateway;
	struct doc_gateway *gateway;
	bool is_valid = true;

	/* Another request may have delivered the same change meanwhile. */
	if (present && doc_get_gateway_sequence(present) != base)
		goto out;
	gateway = doc_apply_gateway_delta(present, delta, list);
	if (gateway) {
		nd_set_gateway(node, gateway);
		doc_unref_gateway(gateway);
	}
	is_valid = !log_problems(peer, list);
out:
	talloc_free(list);
	return is_valid;
}

bool nd_is_store_synced(const struct nd_node *node)
{
	return node->relay.is_following && node->relay.is_store_reached &&
	       node->phase == ND_PHASE_SERVING;
}

void nd_get_progress(const struct nd_node *node, struct nd_progress *progress)
{
	const struct nd_gateway_state *state = &node->gateway;

	progress->gateway =
		state->gateway ? doc_get_gateway_sequence(state->gateway) : 0;
	progress->moves = state->moves_revision.announced;
	progress->domains = state->domains_revision.announced;
}

/*
 * Replies with a delta between two other texts, compressed. Returns false
 * without a reply when there is no memory for it.
 */
static bool reply_gzip(struct nd_node *node, struct web_request *request,
		       struct nd_delta_text *delta, const char *before,
		       const char *after)
{
	TALLOC_CTX *scratch = talloc_new(node);
	const struct nd_deflated *parts[3];
	GByteArray *body;
	bool is_complete;

	if (!delta->deflated)
		delta->deflated =
			nd_deflate_text(node, delta->text, strlen(delta->text));
	parts[0] = nd_deflate_text(scratch, before, strlen(before));
	parts[1] = delta->deflated;
	parts[2] = nd_deflate_text(scratch, after, strlen(after));
	is_complete = parts[0] && parts[1] && parts[2];
	if (!is_complete)
		goto out;
	body = nd_join_gzip(parts, G_N_ELEMENTS(parts));
	web_add_header(request, MHD_HTTP_HEADER_CONTENT_ENCODING, "gzip");
	web_reply(request, MHD_HTTP_OK, CONTENT_TYPE, (const char *)body->data,
		  body->len);
	g_byte_array_unref(body);
out:
	talloc_free(scratch);
	return is_complete;
}

/* Replies with changes as text (one object with at least one field). */
static void reply_with_delta(struct nd_node *node, struct web_request *request,
			     const char *changes, struct nd_delta_text *delta)
{
	const char *accepted =
		web_get_header(request, MHD_HTTP_HEADER_ACCEPT_ENCODING);
	GString *body = g_string_new(changes);

	g_string_truncate(body, body->len - 1);
	g_string_append(body, ",\"gateway\":");
	if (strlen(delta->text) >= GZIP_BYTES_MIN &&
	    nd_accepts_gzip(accepted) &&
	    reply_gzip(node, request, delta, body->str, "}"))
		goto out;
	g_string_append_printf(body, "%s}", delta->text);
	web_reply(request, MHD_HTTP_OK, CONTENT_TYPE, body->str, body->len);
out:
	g_string_free(body, TRUE);
}

void nd_reply_changes(struct nd_node *node, struct web_request *request,
		      const struct nd_progress *known)
{
	struct nd_progress own;
	json_t *changes;
	char *text;

	nd_get_progress(node, &own);
	changes = make_changes(node, known, &own);
	text = json_dumps(changes, JSON_COMPACT);
	if (own.gateway > known->gateway)
		reply_with_delta(node, request, text,
				 get_delta(node, known->gateway));
	else
		web_reply(request, MHD_HTTP_OK, CONTENT_TYPE, text,
			  strlen(text));
	free(text);
	json_decref(changes);
}

bool nd_apply_changes(struct nd_node *node, const char *peer, uint64_t base,
		      const json_t *changes, bool *is_peer_synced)
{
	TALLOC_CTX *scratch = talloc_new(node);
	struct prob_list *list = prob_new_list(scratch);
	struct rd_object *object =
		rd_open_object(scratch, changes, "changes", list);
	const json_t *delta = json_object_get(changes, "gateway");
	const json_t *reverted = json_object_get(changes, "reverted");
	bool is_valid = false;

	if (!object)
		goto out;
	rd_read_bool(object, "is_fit", RD_REQUIRED, is_peer_synced);
	apply_moves(node, object, json_object_get(reverted, "moves"));
	apply_domains(node, object, json_object_get(changes, "domain_orders"),
		      json_object_get(reverted, "domains"));
	nd_note_peer_era(node,
			 plat_get_stamp_era(node->gateway.moves_revision.seen));
	is_valid = !delta || apply_gateway(node, peer, delta, base);
out:
	is_valid = !log_problems(peer, list) && is_valid;
	talloc_free(scratch);
	return is_valid;
}
