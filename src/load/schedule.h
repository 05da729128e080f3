/*
 * Decides which nodes get a report of the local target's load, and when. Every
 * decision is a function of state and time, without I/O.
 */
#ifndef LOAD_SCHEDULE_H
#define LOAD_SCHEDULE_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include "loom/routing.h"

/* Returned when no report will be due without a further event. */
#define LOAD_NEVER_MS UINT64_MAX

/* More nodes than this get no reports, only the load on answers. */
#define LOAD_RECEIVERS_MAX 4096U

/* The node to which a report goes. */
struct load_peer {
	struct in_addr address;
	uint16_t port;
};

struct load_schedule;

/* Returns a new schedule without receivers (owned by ctx). */
struct load_schedule *load_new_schedule(TALLOC_CTX *ctx, uint64_t now_ms);

/* Records the present load of the local target. */
void load_record_load(struct load_schedule *schedule,
		      const struct rt_load *load);

/* Records a call of a node. Returns false if it is one node too many. */
bool load_record_caller(struct load_schedule *schedule,
			const struct load_peer *peer, uint64_t now_ms);

/*
 * Takes the receivers to send the present load to now, at most max, the most
 * urgent first. Returns their number; they count as sent to.
 */
uint32_t load_take_due(struct load_schedule *schedule, struct load_peer *peers,
		       uint32_t max, uint64_t now_ms);

/*
 * Takes the right to send one datagram that is not due, an ask or the answer to
 * one, for which there is a rate of its own.
 */
bool load_take_spare(struct load_schedule *schedule, uint64_t now_ms);

/*
 * Returns when load_take_due() has something to do unless something happens
 * before, or LOAD_NEVER_MS.
 */
uint64_t load_get_next_ms(struct load_schedule *schedule, uint64_t now_ms);

/* Returns the number of receivers, including those that are to be dropped. */
uint32_t load_count_receivers(const struct load_schedule *schedule);

#endif
