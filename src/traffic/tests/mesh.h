/*
 * Traffic services and raw-socket targets in one process, for scripted tests.
 *
 * Each node has its own loopback address, derived from the process id so that
 * concurrent test runs do not interfere. The document of service "shop" has the
 * routes / (only safe methods may be repeated), /once (never repeated), /any
 * , /early/any and /reply/any (always repeatable) and /never (timeout of 200
 * ms); see mesh.c for its limits. With overload control a gateway document
 * takes its place, with the routes / (always repeatable) and /once/ (never).
 */
#ifndef MESH_H
#define MESH_H

#include <tevent.h>
#include "loom/counter.h"
#include "loom/http.h"
#include "loom/timer.h"
#include "loom/traffic.h"
#include "raw_caller.h"
#include "raw_target.h"

#define MESH_NODES_MAX 8
#define MESH_CALL_PORT 18080
#define MESH_HOP_PORT 18081
#define MESH_TARGET_PORT 18090
#define MESH_LOAD_PORT 18082

struct mesh_node {
	char name[16];
	char address[32];
	char hop_address[48];
	char failure_domain[16];
	char version[16]; /* "": no target announced */
	enum rt_phase phase;
	struct cnt_registry *counters;
	struct tr_service *traffic; /* NULL: a fake node */
	struct raw_target *target;
	int64_t table_count;   /* tables passed to the node so far */
	int64_t command_count; /* commands sent to the node so far */
};

struct mesh {
	struct tevent_context *events;
	struct tmr_service *timers;
	struct hc_loop *client;
	struct mesh_node nodes[MESH_NODES_MAX];
	size_t node_count;
	const char *step; /* test step, for the message of a timeout */
	uint64_t sequence;
	bool is_domain_out;
	bool has_reports;   /* nodes send each other load reports */
	bool is_controlled; /* nodes added from now on control overload */
	bool has_stamps;    /* targets name the request in each answer */
	const struct mesh_node *stale; /* gets no new tables; NULL: none */
	uint32_t slots;
	uint32_t queue_length;
	uint32_t header_timeout_ms;
	uint32_t connections_max;
	uint32_t link_kbit_s; /* of nodes added from now on; 0: unknown */
	bool has_gateway;     /* configured by a gateway document */
	uint32_t silence_ms;
	uint32_t memory_mb;
};

/* Returns a new, empty mesh. */
struct mesh *mesh_new(void);

/* Stops all nodes and targets and frees the mesh. */
void mesh_free(struct mesh *mesh);

/* Adds a node (borrowed); it gets no table before mesh_publish(). */
struct mesh_node *mesh_add_node(struct mesh *mesh, const char *name,
				const char *failure_domain);

/*
 * Adds a node (borrowed) whose hop port is a raw-socket target: it answers
 * calls of other nodes with the load headers that a test gives.
 */
struct mesh_node *mesh_add_fake_node(struct mesh *mesh, const char *name,
				     const char *failure_domain,
				     const char *version);

/* Returns the node with this name (borrowed); aborts if there is none. */
struct mesh_node *mesh_get_node(struct mesh *mesh, const char *name);

/* Starts a raw-socket target on the node's address and announces it. */
void mesh_add_target(struct mesh *mesh, struct mesh_node *node,
		     const char *version);

/*
 * Passes a table of all announced targets to all nodes but the stale one and
 * waits until their threads use it.
 */
void mesh_publish(struct mesh *mesh);

/*
 * Sends count heartbeats without waiting, while the node's thread processes
 * them, then waits until all are processed.
 */
void mesh_send_heartbeats(struct mesh *mesh, struct mesh_node *node,
			  uint32_t count);

/* Sends a heartbeat that tells how many calls the target runs at once. */
void mesh_tell_slots(struct mesh *mesh, struct mesh_node *node, uint32_t slots);

/* Send the command to the node and wait until its thread has processed it. */
void mesh_drain_target(struct mesh *mesh, struct mesh_node *node);
void mesh_drain_node(struct mesh *mesh, struct mesh_node *node,
		     uint32_t time_ms);

/* Runs the loop until condition returns true; aborts the test after 10 s. */
typedef bool (*mesh_condition_fn)(void *data);
void mesh_run_until(struct mesh *mesh, mesh_condition_fn condition, void *data);

/* Runs the loop for a while, to check that something does not happen. */
void mesh_run_for(struct mesh *mesh, uint32_t duration_ms);

/* Returns the value of a counter of a node. */
/* Returns the number of calls of a class that have passed the node's gate. */
int64_t mesh_count_waits(struct mesh_node *node, const char *class);

int64_t mesh_get_counter(struct mesh_node *node, const char *name,
			 const char *labels);

#endif
