/*
 * Requests of moves: comparison and JSON.
 */
#include "move_request.h"

#include <string.h>

bool nd_is_same_request(const struct nd_move_request *a,
			const struct nd_move_request *b)
{
	return a->id == b->id && strcmp(a->to, b->to) == 0 &&
	       a->state == b->state && a->version == b->version;
}

bool nd_is_listed(const struct nd_move_request *requests, size_t count,
		  const char *service)
{
	for (size_t i = 0; i < count; i++) {
		if (strcmp(requests[i].service, service) == 0)
			return true;
	}
	return false;
}

json_t *nd_format_request(const struct nd_move_request *request)
{
	return json_pack("{s:s,s:s,s:I,s:I,s:s,s:I}", "service",
			 request->service, "to", request->to, "id",
			 (json_int_t)request->id, "limit_ms",
			 (json_int_t)request->limit_ms, "state",
			 doc_get_move_state_name(request->state), "version",
			 (json_int_t)request->version);
}
