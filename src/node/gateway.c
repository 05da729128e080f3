/*
 * Configuration of a node by one gateway document.
 *
 * The snapshot is built anew from the gateway, the moves and the failure domains
 * that are out whenever one of them changes. Each node drives the share of a
 * move by itself; the state of a move is kept elsewhere for all nodes, and the
 * node asks for a change of it by order_fn.
 *
 * Invariant: snapshot is set exactly when gateway is.
 */
#include <string.h>
#include <xxhash.h>
#include "internal.h"
#include "loom/log.h"

#define TICK_MS 200U
/* A node asks this long after the one that is asked to go first. */
#define TURN_MS 700U
/* A request that led to no change of state is repeated. */
#define ASK_AGAIN_MS 1500U

struct nd_move {
	struct nd_order order;
	struct mv_ramp *ramp;
	uint32_t share_permille; /* in the snapshot */
	uint64_t wanted_ms;	 /* since when a change is wanted; 0: none */
	enum doc_move_state wanted;
	uint64_t asked_ms; /* 0: not asked for it yet */
};

static struct nd_node *get_node(struct nd_gateway_state *state)
{
	return (struct nd_node *)((char *)state -
				  offsetof(struct nd_node, gateway));
}

static void fill_move(const struct nd_move *move,
		      struct doc_gateway_move *filled)
{
	filled->service = move->order.service;
	filled->to = move->order.to;
	filled->state = move->order.state;
	filled->share_permille = move->share_permille;
}

static void build_snapshot(struct nd_gateway_state *state)
{
	static const char *const no_domains[] = { NULL };
	struct doc_gateway_move *moves;
	struct doc_snapshot *old = state->snapshot;
	GHashTableIter iter;
	gpointer value;
	size_t count = 0;

	if (!state->gateway)
		return;
	moves = talloc_zero_array(NULL, struct doc_gateway_move,
				  g_hash_table_size(state->moves));
	g_hash_table_iter_init(&iter, state->moves);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		fill_move(value, &moves[count++]);
	state->snapshot = doc_build_gateway_snapshot(
		state->gateway, moves, count,
		state->domains_out ? state->domains_out : no_domains);
	talloc_free(moves);
	doc_unref_snapshot(old);
	nd_update_table(get_node(state));
}

static bool is_known_address(const struct mem_member *member)
{
	return member->state == MEM_STATE_ALIVE;
}

/*
 * Returns how many live nodes go before this one in an order that differs from
 * service to service.
 */
static uint32_t get_turn(struct nd_node *node, const char *service)
{
	const struct mem_member *members;
	size_t count = mem_list_members(node->members, &members);
	uint64_t seed = XXH3_64bits(service, strlen(service));
	const char *own = node->settings->address;
	uint64_t own_hash = XXH3_64bits_withSeed(own, strlen(own), seed);
	uint32_t turn = 0;

	for (size_t i = 0; i < count; i++) {
		const char *address = members[i].self.address;

		if (is_known_address(&members[i]) &&
		    XXH3_64bits_withSeed(address, strlen(address), seed) <
			    own_hash)
			turn++;
	}
	return turn;
}

/* Asks for a state when it is this node's turn and nobody did so yet. */
static void want_state(struct nd_node *node, struct nd_move *move,
		       enum doc_move_state wanted, uint64_t now_ms)
{
	struct nd_order order = move->order;
	uint64_t turn_ms;

	if (move->wanted_ms == 0 || move->wanted != wanted) {
		move->wanted = wanted;
		move->wanted_ms = now_ms;
		move->asked_ms = 0;
	}
	turn_ms = (uint64_t)get_turn(node, order.service) * TURN_MS;
	/* Whoever finds a version bad says so at once. */
	if (wanted == DOC_MOVE_TAKEN_BACK)
		turn_ms = 0;
	if (now_ms < move->wanted_ms + turn_ms ||
	    (move->asked_ms > 0 && now_ms < move->asked_ms + ASK_AGAIN_MS))
		return;
	move->asked_ms = now_ms;
	order.state = wanted;
	if (node->gateway.order_fn)
		node->gateway.order_fn(&order, mv_get_ramp_reason(move->ramp),
				       node->gateway.order_data);
}

/* Returns the share that the move's state and ramp ask for. */
static uint32_t get_share(struct nd_move *move, uint64_t now_ms)
{
	switch (move->order.state) {
	case DOC_MOVE_NONE:
	case DOC_MOVE_WAITING:
	case DOC_MOVE_RUNNING:
	case DOC_MOVE_SOAKING:
		return mv_get_ramp_share(move->ramp, now_ms);
	case DOC_MOVE_DONE:
		return DOC_SHARE_ALL_PERMILLE;
	case DOC_MOVE_TAKEN_BACK:
		return 0;
	}
	return 0;
}

static void drive_move(struct nd_node *node, struct nd_move *move,
		       uint64_t now_ms)
{
	if (move->order.state == DOC_MOVE_DONE ||
	    move->order.state == DOC_MOVE_TAKEN_BACK)
		return;
	switch (mv_judge_ramp(move->ramp, now_ms)) {
	case MV_RAMP_TAKE_BACK:
		want_state(node, move, DOC_MOVE_TAKEN_BACK, now_ms);
		break;
	case MV_RAMP_FINISH:
		want_state(node, move, DOC_MOVE_DONE, now_ms);
		break;
	case MV_RAMP_GO_ON:
		if (move->order.state == DOC_MOVE_NONE)
			want_state(node, move, DOC_MOVE_RUNNING, now_ms);
		break;
	}
}

static bool update_share(struct nd_move *move, uint64_t now_ms)
{
	uint32_t share_permille = get_share(move, now_ms);

	if (share_permille == move->share_permille)
		return false;
	move->share_permille = share_permille;
	return true;
}

static void handle_tick(uint64_t due_ms, void *data)
{
	struct nd_node *node = data;
	uint64_t now_ms = tmr_get_now_ms(node->timers);
	bool is_changed = false;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->gateway.moves);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		drive_move(node, value, now_ms);
		is_changed |= update_share(value, now_ms);
	}
	if (is_changed)
		build_snapshot(&node->gateway);
}

static void free_move(gpointer data)
{
	talloc_free(data);
}

static struct nd_move *new_move(struct nd_node *node,
				const struct nd_order *order)
{
	struct nd_move *move = talloc_zero(node, struct nd_move);

	move->order = *order;
	move->order.service = talloc_strdup(move, order->service);
	move->order.to = talloc_strdup(move, order->to);
	move->ramp = mv_new_ramp(move, order->to, order->limit_ms,
				 tmr_get_now_ms(node->timers));
	return move;
}

static void take_order(struct nd_node *node, const struct nd_order *order)
{
	GHashTable *moves = node->gateway.moves;
	struct nd_move *move = g_hash_table_lookup(moves, order->service);

	if (!move || move->order.id != order->id ||
	    strcmp(move->order.to, order->to) != 0) {
		move = new_move(node, order);
		g_hash_table_replace(moves, (gpointer)move->order.service,
				     move);
	}
	if (move->order.state != order->state)
		move->wanted_ms = 0;
	move->order.state = order->state;
	update_share(move, tmr_get_now_ms(node->timers));
	log_write(LOG_LEVEL_INFO, "node", "take order", NULL, "move of a service",
		  "service", order->service, "to", order->to, "state",
		  doc_get_move_state_name(order->state), LOG_END);
}

static bool is_given(const struct nd_order *orders, size_t count,
		     const char *service)
{
	for (size_t i = 0; i < count; i++) {
		if (strcmp(orders[i].service, service) == 0)
			return true;
	}
	return false;
}

void nd_open_gateway(struct nd_node *node)
{
	node->gateway.moves = g_hash_table_new_full(g_str_hash, g_str_equal,
						    NULL, free_move);
	tmr_subscribe_every(node, node->timers, TICK_MS, handle_tick, node);
}

void nd_close_gateway(struct nd_node *node)
{
	struct nd_gateway_state *state = &node->gateway;

	if (state->moves)
		g_hash_table_destroy(state->moves);
	doc_unref_snapshot(state->snapshot);
	doc_unref_gateway(state->gateway);
	state->moves = NULL;
}

void nd_note_gateway_sample(struct nd_node *node,
			    const struct tr_sample *sample)
{
	struct nd_move *move;

	if (!node->gateway.moves)
		return;
	move = g_hash_table_lookup(node->gateway.moves, sample->service);
	if (move)
		mv_note_ramp_counts(move->ramp, sample->version, sample->route,
				    &sample->counts);
}

const char *nd_get_version_class(const struct nd_node *node,
				 const char *service, const char *version)
{
	const struct nd_move *move;

	if (node->settings->source != ND_SOURCE_GATEWAY)
		return version;
	move = g_hash_table_lookup(node->gateway.moves, service);
	if (move && strcmp(move->order.to, version) == 0)
		return move->order.to;
	return DOC_VERSION_ANY;
}

void nd_set_order_fn(struct nd_node *node, nd_order_fn fn, void *data)
{
	node->gateway.order_fn = fn;
	node->gateway.order_data = data;
}

void nd_set_gateway(struct nd_node *node, struct doc_gateway *gateway)
{
	struct nd_gateway_state *state = &node->gateway;
	uint64_t sequence = doc_get_gateway_sequence(gateway);
	char text[24];

	if (state->gateway &&
	    sequence <= doc_get_gateway_sequence(state->gateway))
		return;
	doc_unref_gateway(state->gateway);
	state->gateway = doc_ref_gateway(gateway);
	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, sequence);
	log_write(LOG_LEVEL_INFO, "node", "adopt gateway", NULL,
		  "gateway in force", "sequence", text, LOG_END);
	build_snapshot(state);
	mem_set_manifest_sequence(node->members, sequence);
	tr_set_caller_limits(node->traffic, doc_get_caller_limits(gateway));
}

void nd_set_domains_out(struct nd_node *node, const char *const *names)
{
	struct nd_gateway_state *state = &node->gateway;
	size_t count = g_strv_length((char **)names);

	talloc_free(state->domains_out);
	state->domains_out = talloc_zero_array(node, const char *, count + 1);
	for (size_t i = 0; i < count; i++)
		state->domains_out[i] =
			talloc_strdup(state->domains_out, names[i]);
	log_write(LOG_LEVEL_INFO, "node", "set failure domains", NULL,
		  "failure domains that are out", "first",
		  count ? names[0] : "none", LOG_END);
	build_snapshot(state);
}

void nd_set_orders(struct nd_node *node, const struct nd_order *orders,
		   size_t count)
{
	struct nd_gateway_state *state = &node->gateway;
	GHashTableIter iter;
	gpointer key;

	for (size_t i = 0; i < count; i++)
		take_order(node, &orders[i]);
	g_hash_table_iter_init(&iter, state->moves);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		if (!is_given(orders, count, key))
			g_hash_table_iter_remove(&iter);
	}
	build_snapshot(state);
}
