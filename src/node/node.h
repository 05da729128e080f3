/*
 * A node: configuration, membership, traffic and administration port, run by
 * one control thread.
 */
#ifndef ND_NODE_H
#define ND_NODE_H

#include <glib.h>
#include <talloc.h>
#include <tevent.h>
#include "loom/document.h"
#include "loom/platform.h"
#include "settings.h"

struct nd_node;

/*
 * Creates a node and starts all its parts. The settings are borrowed for the
 * life of the node. Returns a new node owned by ctx, or NULL with *error set.
 */
struct nd_node *nd_new_node(TALLOC_CTX *ctx, struct tevent_context *events,
			    const struct nd_settings *settings, GError **error);

/*
 * Reads settings from a file. Returns new settings owned by ctx, or NULL with
 * the problems added to list.
 */
typedef struct nd_settings *(*nd_read_fn)(TALLOC_CTX *ctx, const char *file,
					  struct prob_list *list);

/* Reloads the settings from the file on SIGHUP and when the file changes. */
void nd_watch_settings(struct nd_node *node, const char *file, nd_read_fn read);

/*
 * Parts of a node (borrowed), for the module that supplies its configuration.
 */
struct tevent_context *nd_get_events(struct nd_node *node);
struct tmr_service *nd_get_timers(struct nd_node *node);
struct plat_client *nd_get_platform(struct nd_node *node);
const struct nd_settings *nd_get_settings(const struct nd_node *node);

/*
 * Returns whether the node serves callers: it has a configuration and is not
 * draining.
 */
bool nd_is_ready(const struct nd_node *node);

/* Appends the counters in the Prometheus text format. */
void nd_print_metrics(const struct nd_node *node, GString *text);

/*
 * Adds an "ADDRESS:PORT" at which the membership protocol may find another
 * node.
 */
void nd_add_seed(struct nd_node *node, const char *seed);

/*
 * Tells a node that the first seeds are known, or that there are none. A node
 * with a gateway takes its first configuration from another node if it can, and
 * decides only then whether to follow the store.
 */
void nd_end_discovery(struct nd_node *node);

/* Returns whether no other live node is known. */
bool nd_is_alone(struct nd_node *node);

/*
 * Logs and counts that something is written again that the store has lost; what
 * is a label value of the counter.
 */
void nd_record_rewrite(struct nd_node *node, const char *what,
		       const char *subject);

/* Returns a delay below max_ms that differs from node to node. */
uint32_t nd_get_delay_ms(const struct nd_node *node, uint32_t max_ms);

/* Calls fn once after delay_ms, on the node's timers. */
void nd_schedule_once(struct nd_node *node, uint32_t delay_ms, tmr_fn fn,
		      void *data);

/*
 * Applies a gateway (takes a reference). Does nothing unless its sequence is
 * above that of the current one.
 */
void nd_set_gateway(struct nd_node *node, struct doc_gateway *gateway);

/* An order to take a failure domain out of service. */
struct nd_domain_order {
	const char *name;
	uint64_t created;  /* revision of its creation; 0: unknown */
	uint64_t revision; /* of its last change */
};

/*
 * Sets the failure domains that are taken out of service; the names are copied.
 * revision is the stamp (loom/era.h) of this list; a list that is not newer
 * than the known one is ignored. In a new era, changes that the store has lost
 * stay in force.
 */
void nd_set_domains_out(struct nd_node *node,
			const struct nd_domain_order *orders, size_t count,
			uint64_t revision);

/*
 * A request to move a service to a version within limit_ms. Strings are copied
 * by the functions that take it.
 */
struct nd_move_request {
	const char *service;
	const char *to;
	uint64_t id;	  /* unique for each request */
	uint64_t version; /* object version that writes of its state expect, as
			     a stamp (loom/era.h) */
	uint32_t limit_ms;
	enum doc_move_state state; /* state stored for all nodes */
};

/*
 * Called to have a new state of a move stored for all nodes; reason is for
 * operators. The callee stores the state and passes the request back by
 * nd_set_move_requests(). The call is repeated until then.
 */
typedef void (*nd_move_state_fn)(const struct nd_move_request *request,
				 const char *reason, void *data);
void nd_set_move_state_fn(struct nd_node *node, nd_move_state_fn fn,
			  void *data);

/*
 * Sets the complete list of move requests at a revision of the store, given as
 * a stamp (loom/era.h). Moves that are not listed end. A list that is not newer
 * than the known one is ignored. In a new era, orders and results of moves that
 * the store has lost stay in force; the results are written again.
 */
void nd_set_move_requests(struct nd_node *node,
			  const struct nd_move_request *requests, size_t count,
			  uint64_t revision);

/*
 * Sets a function to be called when the node starts or stops following the
 * store itself. At first it does not.
 */
typedef void (*nd_follow_fn)(bool is_following, void *data);
void nd_set_follow_fn(struct nd_node *node, nd_follow_fn fn, void *data);

/*
 * Sets whether the store's current state is known, while the node follows it.
 */
void nd_set_store_reached(struct nd_node *node, bool is_reached);

/* A heartbeat of the target of this vm; the strings are borrowed. */
struct nd_heartbeat {
	const char *instance;
	const char *service;
	const char *version;
	const char *address; /* IPv4 address */
	uint16_t port;
	uint64_t started_ms; /* wall-clock time of its start */
	uint64_t sequence;   /* grows with each heartbeat of an instance */
	uint32_t slots;
	uint32_t warm_up_ms;
	bool is_leaving;
};

/*
 * Handles a heartbeat. One that is older than the last one is ignored, since
 * it was delayed in the network.
 */
void nd_handle_heartbeat(struct nd_node *node,
			 const struct nd_heartbeat *heartbeat);

/*
 * Handles the deregistration of an instance. started_ms is 0 when unknown.
 * Returns false when it cannot be told which start of a target leaves.
 */
bool nd_handle_departure(struct nd_node *node, const char *instance,
			 uint64_t started_ms);

/*
 * Calls fn, at once or within a second, when it is known whether later
 * processes of the node will know of a departure. If not, it must not be
 * acknowledged: the target announces it again, and a later process hears of it
 * then.
 */
typedef void (*nd_acknowledge_fn)(bool is_kept, void *data);
void nd_await_departure(struct nd_node *node, nd_acknowledge_fn fn, void *data);

/* Runs the event loop until a shutdown has ended. Returns the exit code. */
int nd_run_node(struct nd_node *node);

#endif
