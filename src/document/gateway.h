/*
 * Inside of a gateway document, for the parser and the snapshot.
 */
#ifndef DOCUMENT_GATEWAY_H
#define DOCUMENT_GATEWAY_H

#include <stdatomic.h>
#include <glib.h>
#include "loom/document.h"

struct doc_gateway {
	atomic_uint reference_count;
	uint64_t sequence;
	struct doc_gateway_route *routes;
	uint32_t highest_priority; /* the smallest number of a route */
	uint32_t lowest_priority;  /* the largest one */
	struct doc_gateway_service *services;
	size_t service_count;
	struct doc_caller_limits limits;
	GHashTable *by_place; /* "HOST\nPATH" to struct doc_gateway_route */
};

/* Returns what the gateway says of a service (borrowed), or NULL. */
const struct doc_gateway_service *
doc_find_gateway_service(const struct doc_gateway *gateway, const char *name);

#endif
