/*
 * The orders of moves: what the store or another node shows of them.
 *
 * A store that has returned from an older copy may lack orders and results of
 * moves; reversion.h tells which, and they stay in force.
 *
 * Invariant: the moves are those of the last state applied, less what it shows
 * of before a lost change, and those that the store has lost.
 */
#include <string.h>
#include "internal.h"
#include "loom/log.h"
#include "merge.h"
#include "move.h"
#include "move_request.h"
#include "withdrawn.h"

/*
 * Returns whether the store shows a move that has ended as one in progress: it
 * has lost the result, which is then written again. A store without eras keeps
 * what it has acknowledged.
 */
static bool is_result_lost(const struct nd_move *move,
			   const struct nd_move_request *request)
{
	return nd_has_move_ended(move) && !nd_has_state_ended(request->state) &&
	       plat_get_stamp_era(request->version) > 0;
}

/* Keeps the state of a move whose result the store has lost. */
static bool keep_result(struct nd_move *move,
			const struct nd_move_request *request)
{
	bool is_changed = move->request.version != request->version;

	move->request.version = request->version;
	move->stored_state = request->state;
	return is_changed;
}

/*
 * Returns whether the request differs from the known one. is_again: the order
 * may have been lost and written again; it then has another id, but is the
 * same.
 */
static bool apply_move_request(struct nd_node *node,
			       const struct nd_move_request *request,
			       bool is_again)
{
	GHashTable *moves = node->gateway.moves;
	struct nd_move *move = g_hash_table_lookup(moves, request->service);

	if (move && is_again)
		move->request.id = request->id;
	if (move && nd_is_same_request(&move->request, request))
		return false;
	if (!move || move->request.id != request->id ||
	    strcmp(move->request.to, request->to) != 0) {
		move = nd_new_move(node, request);
		g_hash_table_replace(moves, (gpointer)move->request.service,
				     move);
	}
	if (is_result_lost(move, request))
		return keep_result(move, request);
	move->stored_state = request->state;
	if (move->request.state != request->state)
		move->wanted_since_ms = 0;
	move->request.state = request->state;
	move->request.version = request->version;
	if (nd_has_move_ended(move))
		nd_record_end(node->gateway.withdrawn, request);
	nd_update_share(move, tmr_get_now_ms(node->timers));
	log_write(LOG_LEVEL_INFO, "node", "take order", NULL,
		  "move request applied", "service", request->service, "to",
		  request->to, "state", doc_get_move_state_name(request->state),
		  LOG_END);
	return true;
}

/* Applies the requests of a state; returns whether a move has changed. */
static bool merge_requests(struct nd_node *node,
			   const struct nd_move_request *requests, size_t count,
			   const struct nd_state_origin *origin)
{
	struct nd_reversion *reversion = node->gateway.moves_reversion;
	struct nd_item *items = talloc_array(node, struct nd_item, count);
	enum nd_verdict *verdicts = talloc_array(items, enum nd_verdict, count);
	bool is_changed = false;
	GHashTableIter iter;
	gpointer key;

	for (size_t i = 0; i < count; i++)
		items[i] = (struct nd_item){
			.name = requests[i].service,
			.label = requests[i].to,
			.created = requests[i].id,
			.revision =
				plat_get_stamp_revision(requests[i].version),
		};
	nd_merge_state(node, "moves", reversion, items, count, origin,
		       verdicts);
	for (size_t i = 0; i < count; i++) {
		if (verdicts[i] != ND_ITEM_REVERTED)
			is_changed |= apply_move_request(node, &requests[i],
							 verdicts[i] ==
								 ND_ITEM_AGAIN);
	}
	talloc_free(items);
	g_hash_table_iter_init(&iter, node->gateway.moves);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		if (nd_is_item_present(reversion, key))
			continue;
		g_hash_table_iter_remove(&iter);
		is_changed = true;
	}
	return is_changed;
}

void nd_set_move_state_fn(struct nd_node *node, nd_move_state_fn fn, void *data)
{
	node->gateway.move_state_fn = fn;
	node->gateway.move_state_data = data;
}

json_t *nd_make_move_requests(const struct nd_node *node)
{
	json_t *requests = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->gateway.moves);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct nd_move *move = value;

		json_array_append_new(requests,
				      nd_format_request(&move->request));
	}
	return requests;
}

void nd_apply_move_requests(struct nd_node *node,
			    const struct nd_move_request *requests,
			    size_t count, const struct nd_state_origin *origin)
{
	struct nd_gateway_state *state = &node->gateway;
	bool is_changed = !state->are_moves_known;

	if (!nd_accept_state(&state->moves_revision, origin->revision,
			     origin->is_from_peer,
			     tmr_get_now_ms(node->timers)))
		goto out;
	is_changed |= merge_requests(node, requests, count, origin);
	nd_read_reversion(state->moves_reversion, origin->reverted,
			  tmr_get_now_ms(node->timers));
	state->are_moves_known = true;
	if (!is_changed)
		goto out;
	nd_announce_difference(&state->moves_revision);
	nd_build_snapshot(state);
out:
	nd_announce_progress(node);
}

void nd_set_move_requests(struct nd_node *node,
			  const struct nd_move_request *requests, size_t count,
			  uint64_t revision)
{
	const struct nd_state_origin origin = { .revision = revision };

	nd_apply_move_requests(node, requests, count, &origin);
}
