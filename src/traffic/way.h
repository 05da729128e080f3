/*
 * Internal declarations of src/traffic: what the choice of a target depends on,
 * for calls and for explanations.
 */
#ifndef TR_WAY_H
#define TR_WAY_H

#include "thread.h"

/* Where a snapshot sends a request; members are NULL when it has no way. */
struct tr_way {
	const struct doc_service *service;
	const struct doc_route *route;
	const struct doc_gateway_route *gateway_route; /* NULL: no gateway */
};

/*
 * Returns the way of a request; host is without a port. With a gateway, the
 * service is NULL: it is that of one of the route's shares.
 */
struct tr_way tr_find_way(const struct doc_snapshot *snapshot, const char *host,
			  const char *method, const char *path);

/* Returns whether a call of the route may be refused for its objective. */
bool tr_has_objective(const struct tr_thread *thread,
		      const struct doc_snapshot *snapshot,
		      const struct doc_gateway_route *route);

/* Returns whether the body or the answers of the route's calls are long. */
bool tr_is_bulky(const struct tr_thread *thread, const struct doc_route *route,
		 bool has_body, int64_t content_length);

/* Returns whether a call could be cut when a node that drains ends. */
bool tr_may_outlast_drain(const struct tr_thread *thread, uint64_t deadline_ms);

/*
 * Sets what the placement of a call depends on, but for latest_end_ms.
 * content_length below 0 is not known.
 */
void tr_place_request(const struct tr_thread *thread, const struct tr_way *way,
		      enum rt_class class, int64_t content_length,
		      struct rt_request *request);

#endif
