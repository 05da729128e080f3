/* How many of a service's calls may leave the own failure domain. */
#ifndef LOOM_ROUTING_CROSSING_H
#define LOOM_ROUTING_CROSSING_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

struct rt_crossings;

/* Returns a new object (owned by ctx); at first every call may leave. */
struct rt_crossings *rt_new_crossings(TALLOC_CTX *ctx);

/*
 * Returns whether a call of the service whose time would be shorter elsewhere
 * may leave. random is any number.
 */
bool rt_may_cross(struct rt_crossings *crossings, const char *service,
		  uint64_t random, uint64_t now_ms);

/* Records whether a call that left found room there. */
void rt_record_crossing(struct rt_crossings *crossings, const char *service,
			bool has_found_room, uint64_t now_ms);

/*
 * Returns the share of the calls that may leave, in thousandths. Changes
 * nothing.
 */
uint32_t rt_get_crossing_permille(const struct rt_crossings *crossings,
				  const char *service, uint64_t now_ms);

#endif
