/*
 * Membership: which nodes are alive, and which target each of them announces.
 *
 * The protocol follows SWIM: probes, indirect probes, and suspicion with
 * incarnation numbers. Every message also carries a digest of the sender's
 * table, so that differences are found and repaired. The state machine does no
 * I/O: it takes messages and the time, and returns messages to send.
 * mem_service connects it to a UDP socket.
 */
#ifndef LOOM_MEMBERSHIP_H
#define LOOM_MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>
#include <talloc.h>
#include <tevent.h>
#include "loom/counter.h"
#include "loom/routing.h"
#include "loom/timer.h"

enum mem_state {
	MEM_STATE_ALIVE,
	MEM_STATE_SUSPECT,
	MEM_STATE_DEAD,
	MEM_STATE_LEFT,
};

/* What a node announces to the others about itself. */
struct mem_announcement {
	const char *address;  /* IP; for all its ports */
	uint16_t gossip_port; /* UDP; 0 in options: the kernel chooses a port */
	uint16_t hop_port;    /* calls from other nodes */
	uint16_t admin_port;  /* HTTP API for peers */
	uint16_t capacity;    /* thousandths of a core; 0: not announced */
	const char *failure_domain;
	const char *service; /* "" when the node announces no target */
	const char *version;
	enum rt_phase phase;
};

struct mem_member {
	struct mem_announcement self;
	uint64_t incarnation;
	enum mem_state state;
	uint64_t manifest_sequence; /* highest that it sent */
};

struct mem_service;

/*
 * Called after members or their announcements changed, at most once per tick (a
 * fifth of the probe period) however many changes arrive.
 */
typedef void (*mem_change_fn)(void *data);

/*
 * Called when peer, given as "address:admin_port", reports a manifest sequence
 * higher than the local one. It is called for every such datagram until
 * mem_set_manifest_sequence() raises the local sequence.
 */
typedef void (*mem_newer_manifest_fn)(const char *peer, uint64_t sequence,
				      void *data);

struct mem_options {
	struct mem_announcement self;
	const char *const *seeds; /* NULL-terminated list of "IP:gossip_port" */
	uint32_t probe_period_ms;
	uint32_t probe_timeout_ms;
	uint32_t suspicion_ms;
	uint64_t seed; /* seed of the random number generator */
	mem_change_fn on_change;
	mem_newer_manifest_fn on_newer_manifest;
	void *data;
};

/* Sets the periods to their default values and all other members to zero. */
void mem_set_default_options(struct mem_options *options);

/*
 * Opens the UDP socket and joins the mesh through the seeds. The texts of
 * options are copied; events, timers, counters and data are borrowed and must
 * outlive the service. Returns a new service owned by ctx, or NULL with *error
 * set.
 */
struct mem_service *
mem_new_service(TALLOC_CTX *ctx, struct tevent_context *events,
		struct tmr_service *timers, struct cnt_registry *counters,
		const struct mem_options *options, GError **error);

/*
 * Announces or changes the local target; target "" withdraws it. Names that do
 * not fit into a datagram are rejected with a log line.
 */
void mem_announce_target(struct mem_service *service, const char *target,
			 const char *version, enum rt_phase phase);

/*
 * Sets the sequence of the manifest in force on this node and sends it to a few
 * peers at once.
 */
void mem_set_manifest_sequence(struct mem_service *service, uint64_t sequence);

/*
 * Adds a seed "IP:gossip_port" after the start, for example one listed by the
 * platform. A seed with a known address replaces the port of the known one.
 */
void mem_add_seed(struct mem_service *service, const char *seed);

/*
 * Announces to peers that this node leaves. The service keeps answering; run it
 * for another second, so that the announcement is sent repeatedly and survives
 * lost datagrams.
 */
void mem_leave(struct mem_service *service);

/*
 * Sets *members to all known members, the local node included (borrowed until
 * the next event of the loop), and returns their count.
 */
size_t mem_list_members(struct mem_service *service,
			const struct mem_member **members);

/* Returns the bound UDP port, also when the kernel chose it. */
uint16_t mem_get_gossip_port(const struct mem_service *service);

#endif
