/*
 * Distribution of the configuration from node to node.
 *
 * A few nodes, the watchers, follow the store (watchers.c). Every other node
 * holds a long poll at one of them, which is answered as soon as something is
 * newer than what the node has, and after POLL_WAIT_MS at the latest. A node
 * whose watcher fails polls another one at once, and follows the store itself
 * when there is none. A node that has just started reads the store once, a
 * state that may be old, and has it confirmed by another node, so that a start
 * costs the store next to nothing. In addition, the membership protocol
 * announces the progress of each node, and a node that is behind fetches the
 * changes from a node that is ahead.
 *
 * Invariants: at most one request to a watcher and one to a node that is ahead
 * are pending. Each waiter has a timer that answers it. history holds the last
 * gateways, newest first.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include "internal.h"
#include "loom/error.h"
#include "loom/log.h"
#include "loom/reader.h"
#include "relay_poll.h"
#include "watchers.h"

/*
 * A watcher that stops answering is detected after this time and
 * ND_POLL_GRACE_MS. Until then its changes come from a node that is ahead.
 */
#define POLL_WAIT_MS 2000U
/* A peer that failed gets no further request for this time. */
#define PEER_BACKOFF_MS 2000U
/* The same after the start of this node, when others may have started, too. */
#define START_BACKOFF_MS 300U
#define START_MS 4000U
/*
 * Delay before a request to a node that is ahead, to give its own watcher time.
 * During a burst of changes a watcher that lists objects may be behind other
 * watchers by the interval between its list requests.
 */
#define FETCH_DELAY_MS 700U
/*
 * It is put off while an answer of the watcher arrives, but no longer than
 * until this time after the notice, for the change to be in force within 2 s.
 * By their size, 17 compressed answers with 1,720 routes need 0.7 s of 10
 * Mbit/s.
 */
#define FETCH_LATEST_MS 1200U
#define FETCH_RECHECK_MS 100U
/* Wait for a first configuration, once seeds are known. */
#define SETTLE_MS 400U
/* The same when no seeds could be read. */
#define DISCOVERY_MS_MAX 3000U
/*
 * Until then the members known to a node that has started may be few, and it
 * would wrongly take itself for a watcher. Short enough for a change that all
 * nodes missed because they were started anew.
 */
#define MEMBERS_KNOWN_MS 1500U
/*
 * Nodes that start at the same time without a configuration follow the store in
 * turn, within this time; the first ones then have it for the others.
 */
#define TURNS_MS 1500U
#define WAIT_MS_MAX 10000U

/* A long poll of another node that waits for a newer state. */
struct waiter {
	struct nd_node *node;
	struct web_request *request;
	struct nd_progress known; /* versions that the polling node has */
	struct tmr_subscription *timer;
	GList link;
};

static uint64_t get_now_ms(const struct nd_node *node)
{
	return tmr_get_now_ms(node->timers);
}

/*
 * Sum of the versions, which grows when any of them does; the membership
 * protocol announces it.
 */
static uint64_t sum_progress(const struct nd_progress *progress)
{
	return progress->gateway + progress->moves + progress->domains;
}

static bool has_newer_state(const struct nd_node *node,
			    const struct nd_progress *known)
{
	struct nd_progress own;

	nd_get_progress(node, &own);
	return own.gateway > known->gateway || own.moves > known->moves ||
	       own.domains > known->domains;
}

static int destroy_waiter(struct waiter *waiter)
{
	g_queue_unlink(&waiter->node->relay.waiters, &waiter->link);
	return 0;
}

static void answer_waiter(struct waiter *waiter)
{
	nd_reply_changes(waiter->node, waiter->request, &waiter->known);
	talloc_free(waiter);
}

static void handle_wait_timeout(uint64_t due_ms, void *data)
{
	struct waiter *waiter = data;

	waiter->timer = NULL;
	answer_waiter(waiter);
}

static void answer_waiters(struct nd_node *node)
{
	GList *link = node->relay.waiters.head;

	while (link) {
		struct waiter *waiter = link->data;

		link = link->next;
		if (!nd_is_store_synced(node) ||
		    has_newer_state(node, &waiter->known))
			answer_waiter(waiter);
	}
}

static void add_waiter(struct nd_node *node, struct web_request *request,
		       const struct nd_progress *known, uint32_t wait_ms)
{
	struct waiter *waiter = talloc_zero(node, struct waiter);

	waiter->node = node;
	waiter->request = request;
	waiter->known = *known;
	waiter->link.data = waiter;
	g_queue_push_tail_link(&node->relay.waiters, &waiter->link);
	talloc_set_destructor(waiter, destroy_waiter);
	waiter->timer = tmr_subscribe_once(waiter, node->timers, wait_ms,
					   handle_wait_timeout, waiter);
}

static bool read_query(struct web_request *request, const char *name,
		       uint64_t max, uint64_t *value)
{
	const char *text = web_get_query(request, name);

	return text &&
	       g_ascii_string_to_unsigned(text, 10, 0, max, value, NULL);
}

static void follow_store(struct nd_node *node, bool is_following)
{
	struct nd_relay *relay = &node->relay;

	if (relay->is_following == is_following)
		return;
	relay->is_following = is_following;
	relay->is_store_reached = false;
	log_write(LOG_LEVEL_INFO, "node", "follow store", NULL,
		  is_following ? "follows the store"
			       : "takes the configuration from a watcher",
		  "watcher", relay->poll ? relay->poll->peer : "none", LOG_END);
	if (relay->follow_fn)
		relay->follow_fn(is_following, relay->follow_data);
	answer_waiters(node);
}

static bool has_configuration(const struct nd_node *node)
{
	return node->gateway.snapshot != NULL;
}

static void start_backoff(struct nd_node *node, const char *peer)
{
	uint64_t *until_ms = g_new(uint64_t, 1);

	*until_ms = get_now_ms(node) +
		    (get_now_ms(node) < node->relay.start_ms + START_MS
			     ? START_BACKOFF_MS
			     : PEER_BACKOFF_MS);
	g_hash_table_replace(node->relay.backoff_until, g_strdup(peer),
			     until_ms);
}

static char *format_peer(TALLOC_CTX *ctx, const struct mem_member *member)
{
	return talloc_asprintf(ctx, "%s:%u", member->self.address,
			       member->self.admin_port);
}

static bool is_peer_in_backoff(const struct nd_node *node, const char *peer)
{
	const uint64_t *until_ms =
		g_hash_table_lookup(node->relay.backoff_until, peer);

	return until_ms && get_now_ms(node) < *until_ms;
}

static bool is_excluded(const struct mem_member *member, void *data)
{
	struct nd_node *node = data;
	char *peer = format_peer(node, member);
	bool is_in_backoff = is_peer_in_backoff(node, peer);

	talloc_free(peer);
	return is_in_backoff;
}

static bool is_own_watcher(struct nd_node *node)
{
	const struct mem_member *members;
	size_t count = mem_list_members(node->members, &members);

	return nd_is_watcher(members, count, node->settings->address);
}

static void poll_or_follow(struct nd_node *node);
static void fetch_from_ahead(struct nd_node *node);

/*
 * Handles the end of a poll. is_usable is false when the watcher failed or does
 * not have the store's current state.
 */
static void end_poll(struct nd_node *node, const char *peer, bool is_usable)
{
	if (!is_usable)
		start_backoff(node, peer);
	else if (!is_own_watcher(node))
		follow_store(node, false);
}

/* Applies the answer to a poll. Returns false when there is no valid one. */
static bool apply_answer(struct nd_poll *poll, const struct hc_answer *answer,
			 bool *is_peer_synced)
{
	json_t *changes = NULL;
	bool is_valid = false;

	if (answer->error)
		log_write_error(LOG_LEVEL_WARNING, "node", answer->error);
	else if (answer->status == MHD_HTTP_OK)
		changes =
			rd_load_json(answer->body, answer->body_size, 0, NULL);
	if (changes)
		is_valid = nd_apply_changes(poll->node, poll->peer, poll->base,
					    changes, is_peer_synced);
	json_decref(changes);
	return is_valid;
}

/* Cancels the request to a node that is ahead when its changes are known. */
static void cancel_fetch(struct nd_node *node)
{
	struct nd_progress own;

	nd_get_progress(node, &own);
	if (sum_progress(&own) >= node->relay.ahead_sum)
		TALLOC_FREE(node->relay.fetch);
}

static void handle_poll(struct nd_poll *poll, const struct hc_answer *answer)
{
	struct nd_node *node = poll->node;
	bool is_peer_synced = false;
	bool is_valid = apply_answer(poll, answer, &is_peer_synced);

	end_poll(node, poll->peer, is_valid && is_peer_synced);
	TALLOC_FREE(node->relay.poll);
	cancel_fetch(node);
	poll_or_follow(node);
}

static void handle_fetch(struct nd_poll *poll, const struct hc_answer *answer)
{
	struct nd_node *node = poll->node;
	bool is_peer_synced = false;
	bool is_valid = apply_answer(poll, answer, &is_peer_synced);

	if (!is_valid)
		start_backoff(node, poll->peer);
	TALLOC_FREE(node->relay.fetch);
	poll_or_follow(node);
	if (!is_valid)
		fetch_from_ahead(node);
}

/* Returns whether a node that has started still waits for other nodes. */
static bool is_settling(const struct nd_node *node)
{
	const struct nd_relay *relay = &node->relay;
	uint64_t now_ms = get_now_ms(node);

	if (relay->is_following || has_configuration(node))
		return false;
	if (relay->settle_ms == 0)
		return now_ms < relay->start_ms + DISCOVERY_MS_MAX;
	return now_ms < relay->settle_ms;
}

static bool is_other_alive(const struct nd_node *node,
			   const struct mem_member *member)
{
	return member->state == MEM_STATE_ALIVE &&
	       strcmp(member->self.address, node->settings->address) != 0;
}

/* Returns any other live member (borrowed) that is not excluded, or NULL. */
static const struct mem_member *find_live_member(struct nd_node *node)
{
	const struct mem_member *members;
	size_t count = mem_list_members(node->members, &members);

	for (size_t i = 0; i < count; i++) {
		if (is_other_alive(node, &members[i]) &&
		    !is_excluded(&members[i], node))
			return &members[i];
	}
	return NULL;
}

static bool is_alone(struct nd_node *node)
{
	const struct mem_member *members;
	size_t count = mem_list_members(node->members, &members);

	for (size_t i = 0; i < count; i++) {
		if (is_other_alive(node, &members[i]))
			return false;
	}
	return true;
}

/*
 * Returns whether this node has started so recently that it does not follow the
 * store as long as other nodes live.
 */
static bool is_new(const struct nd_node *node)
{
	const struct nd_relay *relay = &node->relay;
	uint32_t wait_ms = MEMBERS_KNOWN_MS;

	if (relay->is_following)
		return false;
	if (!has_configuration(node))
		wait_ms = SETTLE_MS +
			  nd_get_turn(node->settings->address, TURNS_MS);
	return get_now_ms(node) < relay->start_ms + wait_ms;
}

/*
 * Returns the node (borrowed) to take the configuration from, or NULL. Without
 * a configuration only a watcher is asked: the others have none either.
 */
static const struct mem_member *choose_source(struct nd_node *node)
{
	const struct mem_member *members;
	const struct mem_member *watcher;
	size_t count;

	if (!is_new(node) && is_own_watcher(node))
		return NULL;
	count = mem_list_members(node->members, &members);
	watcher = nd_choose_watcher(members, count, node->settings->address,
				    is_excluded, node);
	if (watcher || !is_new(node) || !has_configuration(node))
		return watcher;
	return find_live_member(node);
}

/* Polls a watcher, or follows the store when there is none. */
static void poll_or_follow(struct nd_node *node)
{
	struct nd_relay *relay = &node->relay;
	const struct mem_member *source;
	uint32_t wait_ms = has_configuration(node) ? POLL_WAIT_MS : 0;
	char *peer;

	if (relay->poll || node->phase != ND_PHASE_SERVING || is_settling(node))
		return;
	source = choose_source(node);
	if (!source) {
		if (!is_new(node) || is_alone(node))
			follow_store(node, true);
		return;
	}
	peer = format_peer(node, source);
	relay->poll = nd_start_poll(node, peer, wait_ms, handle_poll);
	talloc_free(peer);
}

/* Returns a live member that announced a sum above this one, or NULL. */
static const struct mem_member *find_member_ahead(struct nd_node *node,
						  uint64_t sum)
{
	const struct mem_member *members;
	const struct mem_member *best = NULL;
	size_t count = mem_list_members(node->members, &members);

	for (size_t i = 0; i < count; i++) {
		const struct mem_member *member = &members[i];

		if (member->state != MEM_STATE_ALIVE ||
		    member->manifest_sequence <= sum ||
		    is_excluded(member, node))
			continue;
		if (!best ||
		    member->manifest_sequence > best->manifest_sequence)
			best = member;
	}
	return best;
}

static void handle_fetch_delay(uint64_t due_ms, void *data)
{
	struct nd_node *node = data;

	node->relay.fetch_delay = NULL;
	fetch_from_ahead(node);
}

static void delay_fetch(struct nd_node *node, uint32_t delay_ms)
{
	node->relay.fetch_delay = tmr_subscribe_once(
		node, node->timers, delay_ms, handle_fetch_delay, node);
}

/*
 * Requests the changes from the node that is ahead, unless they came from the
 * watcher. While its answer arrives, a request would send the same change over
 * links that are slow already. When the node fails, the request goes to another
 * one at once, because a change has to be in force within 2 s.
 */
static void fetch_from_ahead(struct nd_node *node)
{
	struct nd_relay *relay = &node->relay;
	const struct mem_member *member;
	struct nd_progress own;
	char *peer;

	nd_get_progress(node, &own);
	if (relay->fetch_delay || relay->fetch ||
	    sum_progress(&own) >= relay->ahead_sum)
		return;
	if (relay->poll &&
	    get_now_ms(node) < relay->ahead_ms + FETCH_LATEST_MS &&
	    nd_is_poll_receiving(&relay->poll->times, get_now_ms(node))) {
		delay_fetch(node, FETCH_RECHECK_MS);
		return;
	}
	if (!is_peer_in_backoff(node, relay->ahead_peer)) {
		relay->fetch =
			nd_start_poll(node, relay->ahead_peer, 0, handle_fetch);
		return;
	}
	member = find_member_ahead(node, sum_progress(&own));
	if (!member)
		return;
	peer = format_peer(node, member);
	relay->fetch = nd_start_poll(node, peer, 0, handle_fetch);
	talloc_free(peer);
}

/* Frees all previous gateways except the first kept ones. */
static void drop_history(struct nd_node *node, size_t kept)
{
	struct doc_gateway **history = node->relay.history;

	for (size_t i = kept; i < ND_HISTORY; i++) {
		doc_unref_gateway(history[i]);
		history[i] = NULL;
	}
}

bool nd_open_relay(struct nd_node *node, GError **error)
{
	struct nd_relay *relay = &node->relay;

	relay->start_ms = get_now_ms(node);
	g_queue_init(&relay->waiters);
	relay->backoff_until =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	relay->client = hc_new_loop(node, node->events, error);
	return relay->client != NULL;
}

void nd_end_discovery(struct nd_node *node)
{
	struct nd_relay *relay = &node->relay;

	if (relay->settle_ms == 0)
		relay->settle_ms = get_now_ms(node) + SETTLE_MS;
	poll_or_follow(node);
}

void nd_close_relay(struct nd_node *node)
{
	struct nd_relay *relay = &node->relay;

	if (!relay->backoff_until)
		return;
	TALLOC_FREE(relay->poll);
	TALLOC_FREE(relay->fetch);
	while (relay->waiters.head)
		talloc_free(relay->waiters.head->data);
	drop_history(node, 0);
	free(relay->delta.text);
	g_hash_table_destroy(relay->backoff_until);
	relay->backoff_until = NULL;
}

void nd_update_relay(struct nd_node *node)
{
	/*
	 * A draining node is not a watcher: its waiters are answered and poll
	 * another node.
	 */
	if (node->phase != ND_PHASE_SERVING)
		answer_waiters(node);
	poll_or_follow(node);
}

void nd_keep_past_gateway(struct nd_node *node, struct doc_gateway *gateway)
{
	struct doc_gateway **history = node->relay.history;

	doc_unref_gateway(history[ND_HISTORY - 1]);
	for (size_t i = ND_HISTORY - 1; i > 0; i--)
		history[i] = history[i - 1];
	history[0] = doc_ref_gateway(gateway);
	if (!node->relay.is_following)
		drop_history(node, 1);
}

void nd_announce_progress(struct nd_node *node)
{
	struct nd_progress own;

	nd_get_progress(node, &own);
	mem_set_manifest_sequence(node->members, sum_progress(&own));
	answer_waiters(node);
}

void nd_handle_newer(struct nd_node *node, const char *peer, uint64_t sum)
{
	struct nd_relay *relay = &node->relay;

	if (relay->fetch_delay || relay->fetch)
		return;
	talloc_free(relay->ahead_peer);
	relay->ahead_peer = talloc_strdup(node, peer);
	relay->ahead_sum = sum;
	relay->ahead_ms = get_now_ms(node);
	delay_fetch(node, FETCH_DELAY_MS);
}

void nd_handle_changes(struct nd_node *node, struct web_request *request)
{
	struct nd_progress known = { 0 };
	uint64_t wait_ms = 0;

	if (!read_query(request, "gateway", INT64_MAX, &known.gateway) ||
	    !read_query(request, "moves", INT64_MAX, &known.moves) ||
	    !read_query(request, "domains", INT64_MAX, &known.domains) ||
	    !read_query(request, "wait_ms", WAIT_MS_MAX, &wait_ms)) {
		web_reply_error(request, MHD_HTTP_BAD_REQUEST,
				"gateway, moves, domains and wait_ms must "
				"be numbers");
		return;
	}
	if (wait_ms == 0 || !nd_is_store_synced(node) ||
	    has_newer_state(node, &known))
		nd_reply_changes(node, request, &known);
	else
		add_waiter(node, request, &known, (uint32_t)wait_ms);
}

void nd_set_follow_fn(struct nd_node *node, nd_follow_fn fn, void *data)
{
	node->relay.follow_fn = fn;
	node->relay.follow_data = data;
}

void nd_set_store_reached(struct nd_node *node, bool is_reached)
{
	if (node->relay.is_store_reached == is_reached)
		return;
	node->relay.is_store_reached = is_reached;
	answer_waiters(node);
}
