/*
 * Load reports between nodes: the node of a target tells the nodes that have
 * called it lately how loaded its gate is, in UDP datagrams. The load on
 * answers alone is as old as the last answer from that target to that entry
 * node.
 *
 * A service belongs to one event loop and may be used only on its thread. A
 * lost datagram only makes the load information at the receiver older.
 */
#ifndef LOOM_LOAD_REPORT_H
#define LOOM_LOAD_REPORT_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <glib.h>
#include <talloc.h>
#include <tevent.h>
#include "loom/counter.h"
#include "loom/routing.h"
#include "loom/timer.h"

struct load_service;

/* Fills load with the present load of the local target. */
typedef void (*load_get_fn)(struct rt_load *load, void *data);

/*
 * Takes over a received load of the target that routing tables have under
 * address. Returns false if no table has it.
 */
typedef bool (*load_report_fn)(const char *address, const struct rt_load *load,
			       uint64_t now_ms, void *data);

struct load_options {
	const char *address; /* IPv4 address of this node */
	uint16_t load_port;
	uint16_t hop_port; /* of the local target in routing tables */
	load_get_fn get_load;
	load_report_fn handle_report;
	void *data; /* borrowed for the life of the service */
};

/* Metrics of load reports, borrowed from the registry. */
struct load_counters {
	struct cnt_counter *sent;
	struct cnt_counter *received;
	struct cnt_counter *asks_sent;
	struct cnt_counter *asks_answered;
	struct cnt_counter *unanswered; /* asks, to leave room for reports */
	struct cnt_counter *unsent;	/* the kernel did not take them */
	struct cnt_counter *malformed;
	struct cnt_counter *other_version;
	struct cnt_counter *outdated; /* duplicated or overtaken by a newer */
	struct cnt_counter *unknown;  /* of a target in no routing table */
	struct cnt_counter *surplus;  /* of more senders than are kept */
	/* Age of a target's report when the next one replaces it. */
	struct cnt_histogram *age;
};

/* Registers the metrics; on the control thread only. */
void load_open_counters(struct load_counters *counters,
			struct cnt_registry *registry);

/*
 * Opens the UDP socket. Returns a new service owned by ctx, or NULL with *error
 * set. events, timers and counters are borrowed.
 */
struct load_service *load_new_service(TALLOC_CTX *ctx,
				      struct tevent_context *events,
				      struct tmr_service *timers,
				      const struct load_counters *counters,
				      const struct load_options *options,
				      GError **error);

/*
 * Records that the node at address has sent a call and takes reports at port.
 * It gets reports for a second from then on. No effect if service is NULL.
 */
void load_record_call(struct load_service *service, struct in_addr address,
		      uint16_t port);

/*
 * Asks the node of the target that routing tables have under address for one
 * report. Sends nothing when too many datagrams were sent of late. No effect if
 * service or address is NULL.
 */
void load_send_ask(struct load_service *service, const char *address);

/*
 * Notes that the load of the local target may have changed. Sends nothing
 * itself, so it may be called anywhere. No effect if service is NULL.
 */
void load_mark_changed(struct load_service *service);

#endif
