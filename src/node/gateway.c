/*
 * Configuration of a node from one gateway document.
 *
 * The snapshot is rebuilt from the gateway, the moves and the failure domains
 * taken out of service whenever one of them changes.
 *
 * Invariant: snapshot is set only when the gateway, the moves and the failure
 * domains taken out of service are all known. Without one of them, calls could
 * go to a version or failure domain that must not get them.
 */
#include <malloc.h>
#include <string.h>
#include "internal.h"
#include "loom/log.h"
#include "merge.h"
#include "replicas.h"

#define TICK_MS 200U
/* Moves in progress are also evaluated between two ticks. */
#define MOVE_TICK_MS 100U
/* Memory is trimmed after this time: no call uses the previous gateway then. */
#define TRIM_MS 2000U

static struct nd_node *get_node(struct nd_gateway_state *state)
{
	return (struct nd_node *)((char *)state -
				  offsetof(struct nd_node, gateway));
}

void nd_build_snapshot(struct nd_gateway_state *state)
{
	struct doc_gateway_move *moves;
	struct doc_snapshot *old = state->snapshot;
	size_t count;

	if (!state->gateway || !state->domains_out || !state->are_moves_known)
		return;
	count = nd_list_moves(get_node(state), NULL, &moves);
	state->snapshot = doc_build_gateway_snapshot(state->gateway, moves,
						     count, state->domains_out);
	talloc_free(moves);
	doc_unref_snapshot(old);
	nd_update_table(get_node(state));
}

static void update_moves(struct nd_node *node)
{
	if (nd_update_moves(node))
		nd_build_snapshot(&node->gateway);
}

static void handle_move_tick(uint64_t due_ms, void *data)
{
	update_moves(data);
}

static void handle_tick(uint64_t due_ms, void *data)
{
	struct nd_node *node = data;

	update_moves(node);
	if (nd_has_active_move(node))
		tmr_subscribe_once(node, node->timers, MOVE_TICK_MS,
				   handle_move_tick, node);
	nd_update_relay(node);
}

static bool are_names_same(const char *const *a, const char *const *b)
{
	size_t count = g_strv_length((char **)b);

	if (!a || g_strv_length((char **)a) != count)
		return false;
	for (size_t i = 0; i < count; i++) {
		if (!g_strv_contains(a, b[i]))
			return false;
	}
	return true;
}

bool nd_open_gateway(struct nd_node *node, GError **error)
{
	if (!nd_open_moves(node, error))
		return false;
	tmr_subscribe_every(node, node->timers, TICK_MS, handle_tick, node);
	node->gateway.domains_reversion = nd_new_reversion(node);
	node->replicas = nd_open_replicas(node, error);
	if (!node->replicas)
		return false;
	nd_open_departures(node);
	nd_open_restored(node);
	return nd_open_relay(node, error);
}

void nd_close_gateway(struct nd_node *node)
{
	struct nd_gateway_state *state = &node->gateway;

	if (state->moves)
		g_hash_table_destroy(state->moves);
	if (state->withdrawn)
		g_hash_table_destroy(state->withdrawn);
	doc_unref_snapshot(state->snapshot);
	doc_unref_gateway(state->gateway);
	state->moves = NULL;
	nd_close_relay(node);
}

json_t *nd_make_domains_out(const struct nd_node *node)
{
	const char **name = node->gateway.domains_out;
	json_t *out = json_array();

	for (; name && *name; name++)
		json_array_append_new(out, json_string(*name));
	return out;
}

json_t *nd_make_domain_orders(const struct nd_node *node)
{
	const char **name = node->gateway.domains_out;
	json_t *orders = json_array();

	for (; name && *name; name++) {
		struct nd_item item = { .created = 0 };

		nd_find_item(node->gateway.domains_reversion, *name, &item);
		json_array_append_new(
			orders, json_pack("[I,I]", (json_int_t)item.created,
					  (json_int_t)item.revision));
	}
	return orders;
}

/* Returns unused memory to the system; loading a large gateway leaves much. */
static void trim_memory(uint64_t due_ms, void *data)
{
	struct nd_gateway_state *state = data;

	state->trim = NULL;
	malloc_trim(0);
}

void nd_set_gateway(struct nd_node *node, struct doc_gateway *gateway)
{
	struct nd_gateway_state *state = &node->gateway;
	uint64_t sequence = doc_get_gateway_sequence(gateway);
	char text[24];

	if (state->gateway &&
	    sequence <= doc_get_gateway_sequence(state->gateway))
		return;
	if (state->gateway)
		nd_keep_past_gateway(node, state->gateway);
	doc_unref_gateway(state->gateway);
	state->gateway = doc_ref_gateway(gateway);
	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, sequence);
	log_write(LOG_LEVEL_INFO, "node", "adopt gateway", NULL,
		  "gateway in force", "sequence", text, LOG_END);
	nd_build_snapshot(state);
	tr_set_caller_limits(node->traffic, doc_get_caller_limits(gateway));
	nd_announce_progress(node);
	if (!state->trim)
		state->trim = tmr_subscribe_once(node, node->timers, TRIM_MS,
						 trim_memory, state);
}

/* Returns the names in force after a list, as a new array owned by ctx. */
static const char **merge_domains(struct nd_node *node, TALLOC_CTX *ctx,
				  const struct nd_domain_order *orders,
				  size_t count,
				  const struct nd_state_origin *origin)
{
	struct nd_reversion *reversion = node->gateway.domains_reversion;
	struct nd_item *items = talloc_array(ctx, struct nd_item, count);
	enum nd_verdict *verdicts = talloc_array(ctx, enum nd_verdict, count);

	for (size_t i = 0; i < count; i++)
		items[i] = (struct nd_item){
			.name = orders[i].name,
			.label = "",
			.created = orders[i].created,
			.revision = orders[i].revision,
		};
	nd_merge_state(node, "domains", reversion, items, count, origin,
		       verdicts);
	nd_read_reversion(reversion, origin->reverted,
			  tmr_get_now_ms(node->timers));
	return nd_list_items(reversion, ctx);
}

static void set_names(struct nd_node *node, const char *const *names)
{
	struct nd_gateway_state *state = &node->gateway;
	size_t count = g_strv_length((char **)names);

	talloc_free(state->domains_out);
	state->domains_out = talloc_zero_array(node, const char *, count + 1);
	for (size_t i = 0; i < count; i++)
		state->domains_out[i] =
			talloc_strdup(state->domains_out, names[i]);
	log_write(LOG_LEVEL_INFO, "node", "set failure domains", NULL,
		  "failure domains taken out of service", "first",
		  count ? names[0] : "none", LOG_END);
	nd_build_snapshot(state);
}

void nd_apply_domains_out(struct nd_node *node,
			  const struct nd_domain_order *orders, size_t count,
			  const struct nd_state_origin *origin)
{
	struct nd_gateway_state *state = &node->gateway;
	TALLOC_CTX *scratch = talloc_new(node);
	const char **merged;

	if (!nd_accept_state(&state->domains_revision, origin->revision,
			     origin->is_from_peer,
			     tmr_get_now_ms(node->timers)))
		goto out;
	merged = merge_domains(node, scratch, orders, count, origin);
	if (are_names_same(state->domains_out, merged))
		goto out;
	nd_announce_difference(&state->domains_revision);
	set_names(node, merged);
out:
	talloc_free(scratch);
	nd_announce_progress(node);
}

void nd_set_domains_out(struct nd_node *node,
			const struct nd_domain_order *orders, size_t count,
			uint64_t revision)
{
	const struct nd_state_origin origin = { .revision = revision };

	nd_apply_domains_out(node, orders, count, &origin);
}
