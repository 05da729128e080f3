/*
 * What the choice of a target depends on, for calls and for explanations.
 */
#include "way.h"

/* Bytes of the heads of a request and its answer between two nodes. */
#define HEAD_BYTES 1200U
/* Size of the answers of a route that has large ones, until it is known. */
#define LARGE_ANSWER_BYTES 65536U
/* Time between a call's deadline and the end of a node that drains. */
#define DRAIN_MARGIN_MS 100U

struct tr_way tr_find_way(const struct doc_snapshot *snapshot, const char *host,
			  const char *method, const char *path)
{
	const struct doc_gateway *gateway = doc_get_gateway(snapshot);
	struct tr_way way = { 0 };

	if (gateway) {
		way.gateway_route = doc_find_gateway_route(gateway, host, path);
		if (way.gateway_route)
			way.route = &way.gateway_route->route;
		return way;
	}
	way.service = doc_find_service(snapshot, host);
	if (way.service)
		way.route = doc_find_route(way.service, method, path);
	return way;
}

bool tr_has_objective(const struct tr_thread *thread,
		      const struct doc_snapshot *snapshot,
		      const struct doc_gateway_route *route)
{
	if (!route)
		return false;
	/*
	 * Without overload control only calls of the lowest priority are
	 * refused because they would miss their objective. When a call made by
	 * a target fails, the work that its caller has already done is wasted,
	 * too.
	 */
	return thread->service->options.overload.is_enabled ||
	       doc_has_lowest_priority(doc_get_gateway(snapshot), route);
}

bool tr_is_bulky(const struct tr_thread *thread, const struct doc_route *route,
		 bool has_body, int64_t content_length)
{
	if (has_body && (content_length < 0 || content_length > RT_BULKY_BYTES))
		return true;
	return rt_is_answer_large(thread->answer_sizes, route->name);
}

bool tr_may_outlast_drain(const struct tr_thread *thread, uint64_t deadline_ms)
{
	return thread->drain_end_ms > 0 &&
	       deadline_ms + DRAIN_MARGIN_MS > thread->drain_end_ms;
}

void tr_place_request(const struct tr_thread *thread, const struct tr_way *way,
		      enum rt_class class, int64_t content_length,
		      struct rt_request *request)
{
	const struct tr_overload_options *overload =
		&thread->service->options.overload;
	uint64_t bytes = HEAD_BYTES + rt_get_answer_size(thread->answer_sizes,
							 way->route->name);

	if (content_length > 0)
		bytes += (uint64_t)content_length;
	if (way->gateway_route && way->gateway_route->has_large_answers)
		bytes = MAX(bytes, (uint64_t)LARGE_ANSWER_BYTES);
	request->is_placed = true;
	request->is_known_only = thread->load != NULL;
	request->class = class;
	request->has_large_answer = bytes >= RT_BULKY_BYTES;
	request->run_us =
		rt_get_run_time_us(thread->answer_sizes, way->route->name);
	request->crossing_us =
		(uint32_t)MIN(bytes * overload->crossing_ms_per_kb, UINT32_MAX);
}
