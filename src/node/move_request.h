/*
 * Requests of moves: comparison and JSON.
 */
#ifndef ND_MOVE_REQUEST_H
#define ND_MOVE_REQUEST_H

#include <stdbool.h>
#include <stddef.h>
#include <jansson.h>
#include "node.h"

bool nd_is_same_request(const struct nd_move_request *a,
			const struct nd_move_request *b);

/* Returns whether one of the requests is for the service. */
bool nd_is_listed(const struct nd_move_request *requests, size_t count,
		  const char *service);

/* Returns a request in the form that changes.c reads, as a new reference. */
json_t *nd_format_request(const struct nd_move_request *request);

#endif
