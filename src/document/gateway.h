/*
 * Internal structure of a gateway document, shared by its parser, the code for
 * differences between documents and the snapshot.
 */
#ifndef DOCUMENT_GATEWAY_H
#define DOCUMENT_GATEWAY_H

#include <stdatomic.h>
#include <glib.h>
#include "loom/document.h"
#include "loom/reader.h"

struct doc_gateway {
	atomic_uint reference_count;
	uint64_t sequence;
	struct doc_gateway_route *routes;
	size_t route_count;
	uint32_t highest_priority; /* smallest priority number of a route */
	uint32_t lowest_priority;  /* largest priority number of a route */
	struct doc_gateway_service *services;
	size_t service_count;
	struct doc_caller_limits limits;
	GHashTable *routes_by_key; /* "HOST\nPATH" to doc_gateway_route */
};

/* Returns a new, empty gateway with one reference. */
struct doc_gateway *doc_new_gateway(void);

/*
 * These read fields of a gateway document or of a difference between two
 * documents. Problems go to the list of the reader.
 */
void doc_read_gateway_sequence(struct doc_gateway *gateway,
			       struct rd_object *object);
void doc_read_gateway_services(struct doc_gateway *gateway,
			       struct rd_object *object);
void doc_read_gateway_limits(struct doc_gateway *gateway,
			     struct rd_object *object);

/*
 * Reads the array "routes" into gateway->routes, after unchanged_count entries
 * that are left empty. The caller fills these and adds each to the index with
 * doc_index_gateway_route().
 */
void doc_read_gateway_routes(struct doc_gateway *gateway,
			     struct rd_object *object, size_t unchanged_count);

/*
 * Adds a route (borrowed) to the index by host and path, and includes its
 * priority in the range of priorities. Returns false, without any change, when
 * another route has the same host and path.
 */
bool doc_index_gateway_route(struct doc_gateway *gateway,
			     struct doc_gateway_route *route);

/*
 * Returns the key of a host and the first path_size bytes of path in
 * routes_by_key. A new text, freed by the caller with g_free().
 */
char *doc_make_route_key(const char *host, const char *path, size_t path_size);

/* Returns the entry of a service in the gateway (borrowed), or NULL. */
const struct doc_gateway_service *
doc_find_gateway_service(const struct doc_gateway *gateway, const char *name);

#endif
