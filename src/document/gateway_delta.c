/*
 * Difference between two gateway documents.
 *
 *	{"base": 6, "sequence": 7, "services": [...], "limits": {...},
 *	 "removed": [{"host", "path"}], "routes": [...]}
 *
 * "routes" holds the routes that are new or changed, in the format of the
 * document; "removed" holds host and path of the removed ones. Services and
 * limits are few and always complete. With a base of 0, "routes" holds all
 * routes, and nothing is taken from the document in force.
 */
#include <string.h>
#include "gateway.h"

#define FILE_NAME "difference"

static const struct rd_range base_range = { 0, INT64_MAX };
static const struct rd_range removed_range = { 0, 20000 };
static const struct rd_range text_range = { 1, 1024 };

static const struct doc_gateway_route *
find_route_of_same_key(const struct doc_gateway *gateway,
		       const struct doc_gateway_route *route)
{
	char *key = doc_make_route_key(route->host, route->route.path_prefix,
				       strlen(route->route.path_prefix));
	const struct doc_gateway_route *found =
		g_hash_table_lookup(gateway->routes_by_key, key);

	g_free(key);
	return found;
}

static bool have_same_shares(const struct doc_gateway_route *a,
			     const struct doc_gateway_route *b)
{
	if (a->share_count != b->share_count)
		return false;
	for (size_t i = 0; i < a->share_count; i++) {
		if (a->shares[i].weight != b->shares[i].weight ||
		    strcmp(a->shares[i].service, b->shares[i].service) != 0)
			return false;
	}
	return true;
}

/* Compares two routes that have the same host and path. */
static bool is_same_route(const struct doc_gateway_route *a,
			  const struct doc_gateway_route *b)
{
	return strcmp(a->route.name, b->route.name) == 0 &&
	       a->route.timeout_ms == b->route.timeout_ms &&
	       a->route.repeat == b->route.repeat &&
	       a->objective_ms == b->objective_ms &&
	       a->attempts_max == b->attempts_max &&
	       a->priority == b->priority &&
	       a->has_large_answers == b->has_large_answers &&
	       have_same_shares(a, b);
}

static json_t *make_route(const struct doc_gateway_route *route)
{
	json_t *shares = json_array();
	json_t *json;

	for (size_t i = 0; i < route->share_count; i++)
		json_array_append_new(
			shares, json_pack("{s:s,s:I}", "service",
					  route->shares[i].service, "weight",
					  (json_int_t)route->shares[i].weight));
	json = json_pack("{s:s,s:s,s:s,s:b,s:I,s:I,s:I,s:I,s:o}", "name",
			 route->route.name, "host", route->host, "path",
			 route->route.path_prefix, "repeatable",
			 (int)(route->route.repeat == DOC_REPEAT_ALWAYS),
			 "timeout_ms", (json_int_t)route->route.timeout_ms,
			 "objective_ms", (json_int_t)route->objective_ms,
			 "attempts", (json_int_t)route->attempts_max,
			 "priority", (json_int_t)route->priority, "shares",
			 shares);
	if (route->has_large_answers)
		json_object_set_new(json, "large_answers", json_true());
	return json;
}

static json_t *make_services(const struct doc_gateway *gateway)
{
	json_t *services = json_array();

	for (size_t i = 0; i < gateway->service_count; i++) {
		const struct doc_gateway_service *service =
			&gateway->services[i];

		json_array_append_new(
			services,
			json_pack("{s:s,s:I,s:I,s:s*}", "service",
				  service->name, "connections",
				  (json_int_t)service->connections,
				  "cold_calls_per_second",
				  (json_int_t)service->cold_calls_per_second,
				  "health_path", service->health_path));
	}
	return services;
}

static json_t *make_limits(const struct doc_caller_limits *limits)
{
	return json_pack(
		"{s:I,s:I,s:I,s:I}", "header_bytes",
		(json_int_t)limits->header_bytes, "request_body_bytes",
		(json_int_t)limits->request_body_bytes, "header_timeout_ms",
		(json_int_t)limits->header_timeout_ms, "idle_timeout_ms",
		(json_int_t)limits->idle_timeout_ms);
}

/* Adds the keys of the routes in "removed", as in routes_by_key. */
static void read_removed_keys(struct rd_object *object,
			      GHashTable *excluded_keys)
{
	size_t count;

	if (!rd_read_array(object, "removed", RD_REQUIRED, &removed_range,
			   &count))
		return;
	for (size_t i = 0; i < count; i++) {
		struct rd_object *item = rd_open_item(object, "removed", i);
		const char *host = NULL;
		const char *path = NULL;

		if (!item)
			continue;
		if (rd_read_text(item, "host", RD_REQUIRED, &text_range,
				 &host) &&
		    rd_read_text(item, "path", RD_REQUIRED, &text_range, &path))
			g_hash_table_add(
				excluded_keys,
				doc_make_route_key(host, path, strlen(path)));
		rd_close_object(item);
	}
}

/* Adds the keys of the changed routes: their old form isn't copied either. */
static void add_changed_keys(const json_t *delta, GHashTable *excluded_keys)
{
	const json_t *route;
	size_t i;

	json_array_foreach(json_object_get(delta, "routes"), i, route)
	{
		const char *host =
			json_string_value(json_object_get(route, "host"));
		const char *path =
			json_string_value(json_object_get(route, "path"));

		if (host && path)
			g_hash_table_add(
				excluded_keys,
				doc_make_route_key(host, path, strlen(path)));
	}
}

/*
 * Copies a route of the base into a route of the new gateway; the names of its
 * services point into the new gateway. Returns false when the new gateway lacks
 * one of them, or has another route of the same host and path.
 */
static bool copy_route(struct doc_gateway *gateway,
		       const struct doc_gateway_route *from,
		       struct doc_gateway_route *to)
{
	struct doc_share *shares =
		talloc_zero_array(gateway, struct doc_share, from->share_count);

	*to = *from;
	to->host = talloc_strdup(gateway, from->host);
	to->route.name = talloc_strdup(gateway, from->route.name);
	to->route.path_prefix = talloc_strdup(gateway, from->route.path_prefix);
	to->shares = shares;
	for (size_t i = 0; i < from->share_count; i++) {
		const struct doc_gateway_service *service =
			doc_find_gateway_service(gateway,
						 from->shares[i].service);

		if (!service)
			return false;
		shares[i].service = service->name;
		shares[i].weight = from->shares[i].weight;
	}
	return doc_index_gateway_route(gateway, to);
}

static size_t count_unchanged_routes(const struct doc_gateway *base,
				     GHashTable *excluded_keys)
{
	GHashTableIter iter;
	gpointer key;
	size_t unchanged_count = 0;

	g_hash_table_iter_init(&iter, base->routes_by_key);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		unchanged_count += !g_hash_table_contains(excluded_keys, key);
	return unchanged_count;
}

/* Copies the routes of the base that the difference does not mention. */
static void copy_unchanged_routes(struct doc_gateway *gateway,
				  const struct doc_gateway *base,
				  GHashTable *excluded_keys,
				  struct rd_object *object)
{
	GHashTableIter iter;
	gpointer key;
	gpointer route;
	size_t i = 0;

	g_hash_table_iter_init(&iter, base->routes_by_key);
	while (g_hash_table_iter_next(&iter, &key, &route)) {
		if (g_hash_table_contains(excluded_keys, key))
			continue;
		if (!copy_route(gateway, route, &gateway->routes[i++]))
			rd_add_problem(
				object, "services",
				"lacks a service that an unchanged route "
				"uses");
	}
}

/* Reads a difference; base is NULL when it holds the whole gateway. */
static void read_delta(struct doc_gateway *gateway,
		       const struct doc_gateway *base, const json_t *delta,
		       struct rd_object *object)
{
	GHashTable *excluded_keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	size_t unchanged_count = 0;

	read_removed_keys(object, excluded_keys);
	add_changed_keys(delta, excluded_keys);
	if (base)
		unchanged_count = count_unchanged_routes(base, excluded_keys);
	doc_read_gateway_sequence(gateway, object);
	doc_read_gateway_services(gateway, object);
	doc_read_gateway_limits(gateway, object);
	doc_read_gateway_routes(gateway, object, unchanged_count);
	if (base && gateway->routes)
		copy_unchanged_routes(gateway, base, excluded_keys, object);
	g_hash_table_destroy(excluded_keys);
}

json_t *doc_make_gateway_delta(const struct doc_gateway *base,
			       const struct doc_gateway *gateway)
{
	json_t *routes = json_array();
	json_t *removed = json_array();

	for (size_t i = 0; i < gateway->route_count; i++) {
		const struct doc_gateway_route *route = &gateway->routes[i];
		const struct doc_gateway_route *old =
			base ? find_route_of_same_key(base, route) : NULL;

		if (!old || !is_same_route(old, route))
			json_array_append_new(routes, make_route(route));
	}
	for (size_t i = 0; base && i < base->route_count; i++) {
		const struct doc_gateway_route *route = &base->routes[i];

		if (!find_route_of_same_key(gateway, route))
			json_array_append_new(
				removed,
				json_pack("{s:s,s:s}", "host", route->host,
					  "path", route->route.path_prefix));
	}
	return json_pack("{s:I,s:I,s:o,s:o,s:o,s:o}", "base",
			 (json_int_t)(base ? base->sequence : 0), "sequence",
			 (json_int_t)gateway->sequence, "services",
			 make_services(gateway), "limits",
			 make_limits(&gateway->limits), "removed", removed,
			 "routes", routes);
}

struct doc_gateway *doc_apply_gateway_delta(const struct doc_gateway *base,
					    const json_t *delta,
					    struct prob_list *list)
{
	size_t count_before = prob_get_count(list);
	struct doc_gateway *gateway = doc_new_gateway();
	struct rd_object *object =
		rd_open_object(gateway, delta, FILE_NAME, list);
	uint64_t wanted_base = base ? base->sequence : 0;
	uint64_t base_sequence = 0;

	if (object) {
		rd_read_uint64(object, "base", RD_REQUIRED, &base_range,
			       &base_sequence);
		if (base_sequence != 0 && base_sequence != wanted_base)
			rd_add_problem(object, "base",
				       "got %" G_GUINT64_FORMAT
				       ", wanted %" G_GUINT64_FORMAT " or 0",
				       base_sequence, wanted_base);
		else
			read_delta(gateway, base_sequence ? base : NULL, delta,
				   object);
		rd_close_object(object);
	}
	if (prob_get_count(list) == count_before)
		return gateway;
	doc_unref_gateway(gateway);
	return NULL;
}
