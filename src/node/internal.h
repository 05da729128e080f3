/*
 * State of a node and the functions that the files of this module share. They
 * are called on the control thread only.
 */
#ifndef ND_INTERNAL_H
#define ND_INTERNAL_H

#include "loom/counter.h"
#include "loom/http.h"
#include "loom/membership.h"
#include "loom/platform.h"
#include "loom/release.h"
#include "loom/spread.h"
#include "loom/timer.h"
#include "loom/traffic.h"
#include "encoding.h"
#include "node.h"
#include "relay_poll.h"
#include "reversion.h"
#include "revision.h"

enum nd_phase {
	ND_PHASE_SERVING,
	ND_PHASE_DRAINING, /* finishes calls, accepts no new target */
	ND_PHASE_ENDED,
};

/* The target of this vm, as it last announced itself. */
struct nd_target {
	char *service; /* NULL: none yet */
	char *version;
	char *instance; /* changes with each start of the target */
	char *address;
	uint16_t port;
	enum rt_phase phase;
	uint64_t last_announcement_ms;
	bool is_lost; /* announcements stopped */
};

/* One announcement of a target; the strings are borrowed. */
struct nd_announcement {
	const char *service;
	const char *version;
	const char *instance;
	const char *address; /* NULL: the node's own address */
	uint16_t port;
	enum rt_phase phase;
	uint32_t slots;	     /* 0: not specified */
	uint32_t warm_up_ms; /* time until the target can take its full load */
};

struct nd_move;	    /* see moves.c */
struct nd_replicas; /* see replicas.h */

/* State of a node that takes its configuration from a gateway document. */
struct nd_gateway_state {
	struct doc_gateway *gateway;   /* NULL: none yet */
	struct doc_snapshot *snapshot; /* from gateway, moves and domains */
	const char **domains_out; /* NULL-terminated; NULL: not known yet */
	struct nd_revision domains_revision;
	struct nd_reversion *domains_reversion;
	bool are_moves_known;
	struct nd_revision moves_revision;
	struct nd_reversion *moves_reversion;
	GHashTable *moves;     /* maps a service to its struct nd_move */
	GHashTable *withdrawn; /* see withdrawn.h */
	struct rls_reports *reports;
	nd_move_state_fn move_state_fn;
	void *move_state_data;
	struct tmr_subscription *trim; /* timer that frees unused memory */
};

/*
 * Versions of the three parts of a node's configuration. Each one only grows.
 */
struct nd_progress {
	uint64_t gateway; /* sequence of the gateway document */
	uint64_t moves;	  /* stamp of the moves (loom/era.h) */
	uint64_t domains; /* stamp of the domains */
};

/* Where the state of a part comes from. */
struct nd_state_origin {
	uint64_t revision; /* stamp of the state */
	bool is_from_peer;
	const json_t *reverted; /* from a peer: what the store lacks, or NULL */
};

/* Returns whether a state is from a peer and includes what the store lost. */
static inline bool nd_is_told(const struct nd_state_origin *origin)
{
	return origin->is_from_peer &&
	       plat_get_stamp_era(origin->revision) > 0 &&
	       (origin->revision & PLAT_STAMP_TOLD) > 0;
}

/*
 * Number of previous gateways that a delta can start from; a node is seldom
 * further behind. A node that does not follow the store keeps only the last
 * one.
 */
#define ND_HISTORY 4U

/* Cached text of the last gateway delta that was sent. */
struct nd_delta_text {
	char *text;		      /* NULL: none yet */
	struct nd_deflated *deflated; /* the same text; NULL: not needed yet */
	uint64_t base;
	uint64_t sequence;
};

/* State of the exchange of a gateway configuration between nodes. */
struct nd_relay {
	nd_follow_fn follow_fn;
	void *follow_data;
	bool is_following;     /* this node follows the store */
	bool is_store_reached; /* it also has the store's current state */
	uint64_t start_ms;
	uint64_t settle_ms; /* end of the wait for a first configuration from
			       another node; 0: seeds not known yet */
	struct hc_loop *client;
	struct nd_poll *poll;  /* long poll of a watcher */
	struct nd_poll *fetch; /* request to a node that is ahead */
	struct tmr_subscription *fetch_delay; /* timer that delays fetch */
	char *ahead_peer;		      /* "address:admin_port" */
	uint64_t ahead_sum;
	uint64_t ahead_ms;	   /* when that was noticed */
	GHashTable *backoff_until; /* maps a peer to the time in ms until which
				      it gets no request */
	GQueue waiters;
	struct doc_gateway *history[ND_HISTORY];
	struct nd_delta_text delta;
};

/* The newest instance of the target that sent a heartbeat. */
struct nd_instance {
	char *id; /* NULL: none yet */
	uint64_t started_ms;
	uint64_t sequence;
	bool is_leaving;
};

/* State of the departures of the target that the store keeps. */
struct nd_departures {
	bool is_known;	     /* what the store had at the start */
	bool is_doubtful;    /* not known, and a read has failed: the process
				before may have failed to write */
	bool is_busy;	     /* reads or writes */
	bool is_stored;	     /* the store has that the instance leaves */
	uint64_t version;    /* of the object in the store; 0: absent */
	uint64_t written_ms; /* start of the instance in the last write */
	char *written_id;    /* the instance itself */
	char *stored_id;     /* last departure that the store had */
	uint64_t stored_started_ms;
	bool is_lost; /* the store may lack it since it was restored */
	struct nd_heartbeat *held; /* not accepted yet; NULL: none */
	uint64_t held_ms;	   /* when the first one was held */
	GQueue waiters;
};

struct nd_node {
	struct nd_gateway_state gateway;
	struct nd_relay relay;
	struct nd_instance instance;
	struct nd_departures departures;
	struct nd_replicas *replicas; /* NULL: this node has no departures */
	const struct nd_settings *settings;
	struct tevent_context *events;
	struct tmr_service *timers;
	struct cnt_registry *counters;
	struct plat_client *platform;
	struct mem_service *members;
	struct spr_service *spread;
	struct spr_peer *peers; /* last list passed to spread, owned */
	struct rls_service *release;
	struct tr_service *traffic;
	struct web_server *admin;
	struct burn_history *burn;
	struct nd_target target;
	enum nd_phase phase;
	uint64_t drain_start_ms;
	bool is_refusing; /* new calls of callers are refused */
	struct tmr_subscription *drain_poll;
	struct tmr_subscription *era_check; /* see restored.c */
	int exit_code;
};

/* admin.c: handles a request to the administration port. */
void nd_handle_admin(struct web_request *request, void *data);

/* admin.c: replies with status 400 and a line for each problem. */
void nd_reply_problems(struct web_request *request,
		       const struct prob_list *list);

/*
 * burn.c: adds a sample to the call history, and returns the history as new
 * JSON.
 */
void nd_record_burn(struct nd_node *node, const struct tr_sample *sample);
json_t *nd_make_burn(struct nd_node *node, const char *service);

/* Returns the snapshot in force (borrowed), or NULL. */
struct doc_snapshot *nd_get_snapshot(const struct nd_node *node);

/*
 * Builds a routing table of the current state and passes it to the traffic
 * threads.
 */
void nd_update_table(struct nd_node *node);

/*
 * gateway.c: initializes and frees the gateway state.
 * moves.c: nd_record_gateway_sample() counts calls for the moves in progress.
 */
bool nd_open_gateway(struct nd_node *node, GError **error);
void nd_close_gateway(struct nd_node *node);
void nd_record_gateway_sample(struct nd_node *node,
			      const struct tr_sample *sample);

/* gateway.c: builds the snapshot of the parts in force, if all are known. */
void nd_build_snapshot(struct nd_gateway_state *state);

/*
 * moves.c: opens the moves; returns false with *error set. nd_update_moves()
 * evaluates them and returns whether a share has changed. nd_has_active_move()
 * returns whether there is a move that has not ended. nd_list_moves() sets
 * *moves to a new array owned by ctx, whose texts are borrowed, and returns its
 * length.
 */
bool nd_open_moves(struct nd_node *node, GError **error);
bool nd_update_moves(struct nd_node *node);
bool nd_has_active_move(const struct nd_node *node);
size_t nd_list_moves(struct nd_node *node, TALLOC_CTX *ctx,
		     struct doc_gateway_move **moves);

/*
 * moves.c: adds the call counts that other nodes report for the moves that
 * this node evaluates. Returns the answer as new JSON: {"moves": [{"service",
 * "id", "is_stopped", "rank", "step", "share", "age_ms", "step_age_ms",
 * "new_calls"}]}.
 */
json_t *nd_apply_reports(struct nd_node *node, const json_t *body);

/*
 * orders.c and gateway.c: return new JSON with the move requests, with the
 * failure domains taken out of service, or with the revisions of their orders,
 * as sent to other nodes (changes.c).
 */
json_t *nd_make_move_requests(const struct nd_node *node);
json_t *nd_make_domains_out(const struct nd_node *node);
json_t *nd_make_domain_orders(const struct nd_node *node);

/*
 * orders.c and gateway.c: as nd_set_move_requests() and nd_set_domains_out(),
 * for a state from the store or from a peer. A state from a peer always raises
 * the announced revision; one from the store raises it only when the content
 * differs.
 */
void nd_apply_move_requests(struct nd_node *node,
			    const struct nd_move_request *requests,
			    size_t count, const struct nd_state_origin *origin);
void nd_apply_domains_out(struct nd_node *node,
			  const struct nd_domain_order *orders, size_t count,
			  const struct nd_state_origin *origin);

/* relay.c: initializes the relay, updates it at each tick, and frees it. */
bool nd_open_relay(struct nd_node *node, GError **error);
void nd_update_relay(struct nd_node *node);
void nd_close_relay(struct nd_node *node);

/*
 * relay.c: keeps a gateway that is being replaced, as the base of later deltas
 * (takes a reference).
 */
void nd_keep_past_gateway(struct nd_node *node, struct doc_gateway *gateway);

/*
 * relay.c: announces this node's progress to the peers and answers the waiting
 * requests that it satisfies. Called after a part of the configuration has
 * changed.
 */
void nd_announce_progress(struct nd_node *node);

/*
 * relay.c: handles the notice that a peer's progress sum is above this node's.
 */
void nd_handle_newer(struct nd_node *node, const char *peer, uint64_t sum);

/*
 * changes.c: returns whether this node serves, follows the store and has its
 * current state.
 */
bool nd_is_store_synced(const struct nd_node *node);

/* changes.c: fills in the versions that this node announces. */
void nd_get_progress(const struct nd_node *node, struct nd_progress *progress);

/* changes.c: answers a request with everything newer than known. */
void nd_reply_changes(struct nd_node *node, struct web_request *request,
		      const struct nd_progress *known);

/*
 * changes.c: applies the answer of a peer to a request that gave base as the
 * gateway sequence. Returns whether the answer is valid, and sets
 * *is_peer_synced to whether the peer has the store's current state.
 */
bool nd_apply_changes(struct nd_node *node, const char *peer, uint64_t base,
		      const json_t *changes, bool *is_peer_synced);

/* relay.c: handles GET /configuration/changes, a long poll of another node. */
void nd_handle_changes(struct nd_node *node, struct web_request *request);

/*
 * moves.c: returns the version by which the calls of a target are split
 * (borrowed): its own version, or with a gateway either the version that a
 * move goes to or DOC_VERSION_ANY.
 */
const char *nd_get_version_class(const struct nd_node *node,
				 const char *service, const char *version);

/*
 * departures.c: reads the last departure of this vm's target from the store,
 * and has that of the instance in nd_node stored, if it leaves.
 */
void nd_open_departures(struct nd_node *node);
void nd_store_departure(struct nd_node *node);

/*
 * departures.c: keeps a copy of the heartbeat of a target that may have left,
 * until the store has answered. Returns false when it may be used now.
 */
bool nd_hold_heartbeat(struct nd_node *node,
		       const struct nd_heartbeat *heartbeat);

/*
 * departures.c: handles a departure of the local target that another node has
 * kept for this one.
 */
void nd_adopt_departure(struct nd_node *node, const char *instance,
			uint64_t started_ms);

/* departures.c: handles that another node keeps the present departure. */
void nd_handle_replica(struct nd_node *node);

/*
 * departures.c: reads the departure in the store anew, because the store may
 * have lost it or has entered an era that this node has not seen.
 */
void nd_check_departure(struct nd_node *node);

/*
 * restored.c: follows the eras of the store. nd_note_peer_era() handles an era
 * that another node has seen.
 */
void nd_open_restored(struct nd_node *node);
void nd_note_peer_era(struct nd_node *node, uint64_t era);

/* shutdown.c: handles SIGTERM and SIGINT by a graceful shutdown. */
void nd_watch_signals(struct nd_node *node);

/* target.c: handles an announcement, which also counts as a heartbeat. */
void nd_handle_announcement(struct nd_node *node,
			    const struct nd_announcement *announcement);

/* target.c: drains the target, which is leaving. */
void nd_drain_target(struct nd_node *node);

/* target.c: starts the periodic check for missing announcements. */
void nd_watch_target(struct nd_node *node);

#endif
