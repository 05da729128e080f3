/*
 * Gateway document: routes from hosts and path prefixes to services.
 *
 *	{"gateway": NAME, "sequence": 7,
 *	 "services": [{"service", "connections", "cold_calls_per_second",
 *		       "health_path"}],
 *	 "routes": [{"name", "host", "path", "repeatable", "timeout_ms",
 *		     "objective_ms", "attempts", "priority",
 *		     "shares": [{"service", "weight"}]}],
 *	 "limits": {"header_bytes", "request_body_bytes", "header_timeout_ms",
 *		    "idle_timeout_ms"}}
 *
 * Invariants: every share names a service of the document; no two routes have
 * the same host and path; routes_by_key maps the key of each host and path to
 * its route. A gateway has no talloc parent, because any thread may release
 * the last reference.
 */
#include <assert.h>
#include <stdatomic.h>
#include <string.h>
#include "gateway.h"
#include "loom/reader.h"

#define ROUTES_MAX 20000U
#define SERVICES_MAX 5000U
#define SHARES_MAX 16U
#define PATH_BYTES_MAX 512U
#define HOST_BYTES_MAX 255U

static const struct rd_range routes_range = { 0, ROUTES_MAX };
static const struct rd_range services_range = { 1, SERVICES_MAX };
static const struct rd_range shares_range = { 1, SHARES_MAX };
static const struct rd_range path_range = { 1, PATH_BYTES_MAX };
static const struct rd_range host_range = { 1, HOST_BYTES_MAX };
static const struct rd_range sequence_range = { 1, INT64_MAX };
static const struct rd_range timeout_range = { 1, 600 * 1000 };
static const struct rd_range attempts_range = { 1, 16 };
static const struct rd_range priority_range = { 0, 100 };
static const struct rd_range weight_range = { 0, 1000000 };
static const struct rd_range connections_range = { 1, 100000 };
static const struct rd_range cold_range = { 0, 1000000 };
static const struct rd_range health_path_range = { 1, 255 };
static const struct rd_range header_range = { 512, 1024 * 1024 };
static const struct rd_range body_range = { 0, 1024U * 1024 * 1024 };

static void read_share(struct doc_gateway *gateway, struct rd_object *object,
		       size_t index, struct doc_gateway_route *route,
		       struct doc_share *share)
{
	struct rd_object *item = rd_open_item(object, "shares", index);

	if (!item)
		return;
	if (rd_read_label(item, "service", RD_REQUIRED, &share->service) &&
	    !doc_find_gateway_service(gateway, share->service))
		rd_add_problem(item, "service",
			       "got \"%s\", wanted one of \"services\"",
			       share->service);
	rd_read_uint32(item, "weight", RD_REQUIRED, &weight_range,
		       &share->weight);
	route->weight_sum += share->weight;
	rd_close_object(item);
}

static void read_shares(struct doc_gateway *gateway, struct rd_object *object,
			struct doc_gateway_route *route)
{
	struct doc_share *shares;
	size_t count;

	if (!rd_read_array(object, "shares", RD_REQUIRED, &shares_range,
			   &count))
		return;
	shares = talloc_zero_array(gateway, struct doc_share, count);
	for (size_t i = 0; i < count; i++)
		read_share(gateway, object, i, route, &shares[i]);
	route->shares = shares;
	route->share_count = count;
	if (route->weight_sum == 0)
		rd_add_problem(object, "shares",
			       "got weights of 0 only, wanted one above 0");
}

static void read_host_and_path(struct rd_object *object,
			       struct doc_gateway_route *route)
{
	const char **path = &route->route.path_prefix;

	rd_read_text(object, "host", RD_REQUIRED, &host_range, &route->host);
	if (rd_read_text(object, "path", RD_REQUIRED, &path_range, path) &&
	    ((*path)[0] != '/' || (*path)[strlen(*path) - 1] != '/'))
		rd_add_problem(object, "path",
			       "got \"%s\", wanted \"/\" at both ends", *path);
}

static void read_route(struct doc_gateway *gateway, struct rd_object *object,
		       struct doc_gateway_route *route)
{
	bool is_repeatable = false;

	rd_read_label(object, "name", RD_REQUIRED, &route->route.name);
	read_host_and_path(object, route);
	rd_read_uint32(object, "timeout_ms", RD_REQUIRED, &timeout_range,
		       &route->route.timeout_ms);
	route->objective_ms = route->route.timeout_ms;
	rd_read_uint32(object, "objective_ms", RD_OPTIONAL, &timeout_range,
		       &route->objective_ms);
	route->attempts_max = 1;
	rd_read_uint32(object, "attempts", RD_OPTIONAL, &attempts_range,
		       &route->attempts_max);
	rd_read_uint32(object, "priority", RD_OPTIONAL, &priority_range,
		       &route->priority);
	rd_read_bool(object, "large_answers", RD_OPTIONAL,
		     &route->has_large_answers);
	rd_read_bool(object, "repeatable", RD_REQUIRED, &is_repeatable);
	route->route.repeat =
		is_repeatable ? DOC_REPEAT_ALWAYS : DOC_REPEAT_NEVER;
	read_shares(gateway, object, route);
	if (!route->host || !route->route.path_prefix ||
	    doc_index_gateway_route(gateway, route))
		return;
	rd_add_problem(object, "path",
		       "got \"%s\", wanted a host and path that no other "
		       "route has",
		       route->route.path_prefix);
}

static void update_priority_range(struct doc_gateway *gateway,
				  uint32_t priority)
{
	bool is_first = g_hash_table_size(gateway->routes_by_key) == 0;

	if (is_first || priority < gateway->highest_priority)
		gateway->highest_priority = priority;
	if (is_first || priority > gateway->lowest_priority)
		gateway->lowest_priority = priority;
}

static void read_limits(struct doc_caller_limits *limits,
			struct rd_object *object)
{
	struct rd_object *field = rd_open_field(object, "limits", RD_REQUIRED);

	if (!field)
		return;
	rd_read_uint32(field, "header_bytes", RD_REQUIRED, &header_range,
		       &limits->header_bytes);
	rd_read_uint32(field, "request_body_bytes", RD_REQUIRED, &body_range,
		       &limits->request_body_bytes);
	rd_read_uint32(field, "header_timeout_ms", RD_REQUIRED, &timeout_range,
		       &limits->header_timeout_ms);
	rd_read_uint32(field, "idle_timeout_ms", RD_REQUIRED, &timeout_range,
		       &limits->idle_timeout_ms);
	rd_close_object(field);
}

static int destroy_gateway(struct doc_gateway *gateway)
{
	g_hash_table_destroy(gateway->routes_by_key);
	return 0;
}

struct doc_gateway *doc_new_gateway(void)
{
	struct doc_gateway *gateway = talloc_zero(NULL, struct doc_gateway);

	atomic_init(&gateway->reference_count, 1);
	gateway->routes_by_key =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	talloc_set_destructor(gateway, destroy_gateway);
	return gateway;
}

const struct doc_gateway_service *
doc_find_gateway_service(const struct doc_gateway *gateway, const char *name)
{
	for (size_t i = 0; i < gateway->service_count; i++) {
		if (g_strcmp0(gateway->services[i].name, name) == 0)
			return &gateway->services[i];
	}
	return NULL;
}

char *doc_make_route_key(const char *host, const char *path, size_t path_size)
{
	return g_strdup_printf("%s\n%.*s", host, (int)path_size, path);
}

void doc_read_gateway_sequence(struct doc_gateway *gateway,
			       struct rd_object *object)
{
	rd_read_uint64(object, "sequence", RD_REQUIRED, &sequence_range,
		       &gateway->sequence);
}

static void read_health_path(struct rd_object *item,
			     struct doc_gateway_service *service)
{
	if (rd_read_text(item, "health_path", RD_OPTIONAL, &health_path_range,
			 &service->health_path) &&
	    service->health_path[0] != '/')
		rd_add_problem(item, "health_path",
			       "got \"%s\", wanted a path such as /healthz",
			       service->health_path);
}

void doc_read_gateway_services(struct doc_gateway *gateway,
			       struct rd_object *object)
{
	size_t count;

	if (!rd_read_array(object, "services", RD_REQUIRED, &services_range,
			   &count))
		return;
	gateway->services =
		talloc_zero_array(gateway, struct doc_gateway_service, count);
	for (size_t i = 0; i < count; i++) {
		struct doc_gateway_service *service = &gateway->services[i];
		struct rd_object *item = rd_open_item(object, "services", i);

		if (!item)
			continue;
		if (rd_read_label(item, "service", RD_REQUIRED,
				  &service->name) &&
		    doc_find_gateway_service(gateway, service->name))
			rd_add_problem(item, "service",
				       "got \"%s\" a second time",
				       service->name);
		gateway->service_count = i + 1;
		rd_read_uint32(item, "connections", RD_REQUIRED,
			       &connections_range, &service->connections);
		rd_read_uint32(item, "cold_calls_per_second", RD_OPTIONAL,
			       &cold_range, &service->cold_calls_per_second);
		read_health_path(item, service);
		rd_close_object(item);
	}
}

void doc_read_gateway_limits(struct doc_gateway *gateway,
			     struct rd_object *object)
{
	read_limits(&gateway->limits, object);
}

bool doc_index_gateway_route(struct doc_gateway *gateway,
			     struct doc_gateway_route *route)
{
	char *key = doc_make_route_key(route->host, route->route.path_prefix,
				       strlen(route->route.path_prefix));

	if (g_hash_table_contains(gateway->routes_by_key, key)) {
		g_free(key);
		return false;
	}
	update_priority_range(gateway, route->priority);
	g_hash_table_insert(gateway->routes_by_key, key, route);
	return true;
}

void doc_read_gateway_routes(struct doc_gateway *gateway,
			     struct rd_object *object, size_t unchanged_count)
{
	size_t count;

	if (!rd_read_array(object, "routes", RD_REQUIRED, &routes_range,
			   &count))
		return;
	gateway->routes = talloc_zero_array(gateway, struct doc_gateway_route,
					    unchanged_count + count);
	gateway->route_count = unchanged_count + count;
	for (size_t i = 0; i < count; i++) {
		struct rd_object *item = rd_open_item(object, "routes", i);

		if (!item)
			continue;
		read_route(gateway, item,
			   &gateway->routes[unchanged_count + i]);
		rd_close_object(item);
	}
}

struct doc_gateway *doc_parse_gateway(const char *file, const json_t *document,
				      struct prob_list *list)
{
	size_t count_before = prob_get_count(list);
	struct doc_gateway *gateway = doc_new_gateway();
	struct rd_object *object =
		rd_open_object(gateway, document, file, list);
	const char *name;

	if (object) {
		rd_read_label(object, "gateway", RD_REQUIRED, &name);
		doc_read_gateway_sequence(gateway, object);
		doc_read_gateway_services(gateway, object);
		doc_read_gateway_routes(gateway, object, 0);
		doc_read_gateway_limits(gateway, object);
		rd_close_object(object);
	}
	if (prob_get_count(list) == count_before)
		return gateway;
	talloc_free(gateway);
	return NULL;
}

struct doc_gateway *doc_ref_gateway(struct doc_gateway *gateway)
{
	atomic_fetch_add_explicit(&gateway->reference_count, 1,
				  memory_order_relaxed);
	return gateway;
}

void doc_unref_gateway(struct doc_gateway *gateway)
{
	unsigned int before;

	if (!gateway)
		return;
	before = atomic_fetch_sub_explicit(&gateway->reference_count, 1,
					   memory_order_acq_rel);
	assert(before > 0);
	if (before == 1)
		talloc_free(gateway);
}

uint64_t doc_get_gateway_sequence(const struct doc_gateway *gateway)
{
	return gateway->sequence;
}

const struct doc_caller_limits *
doc_get_caller_limits(const struct doc_gateway *gateway)
{
	return &gateway->limits;
}

const struct doc_gateway_route *
doc_find_gateway_route(const struct doc_gateway *gateway, const char *host,
		       const char *path)
{
	const struct doc_gateway_route *route = NULL;
	size_t size = strcspn(path, "?#");

	/* Every path prefix ends with "/". The longest is tried first. */
	while (size > 0 && !route) {
		if (path[size - 1] == '/') {
			char *key = doc_make_route_key(host, path, size);

			route = g_hash_table_lookup(gateway->routes_by_key,
						    key);
			g_free(key);
		}
		size--;
	}
	return route;
}

bool doc_has_lowest_priority(const struct doc_gateway *gateway,
			     const struct doc_gateway_route *route)
{
	return route->priority == gateway->lowest_priority &&
	       gateway->lowest_priority > gateway->highest_priority;
}

const char *doc_choose_share(const struct doc_gateway_route *route,
			     uint64_t split_hash)
{
	uint64_t offset = ((split_hash & UINT32_MAX) * route->weight_sum) >> 32;

	for (size_t i = 0; i + 1 < route->share_count; i++) {
		if (offset < route->shares[i].weight)
			return route->shares[i].service;
		offset -= route->shares[i].weight;
	}
	return route->shares[route->share_count - 1].service;
}
