/*
 * Parser of the routes of a service document.
 *
 * Route names are unique, and so are the pairs of path and method. Therefore,
 * of two routes that match a request, one has the longer path.
 */
#include <string.h>
#include "parse.h"

#define ROUTES_MAX 256U
#define PATH_BYTES_MAX 512U

static const struct rd_range routes_range = { 1, ROUTES_MAX };
static const struct rd_range path_range = { 1, PATH_BYTES_MAX };
static const struct rd_range timeout_range = { 1, 600 * 1000 };
static const struct rd_range methods_range = { 1, 7 };
static const struct rd_range method_range = { 1, 16 };

static const char *const known_methods[] = {
	"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE", NULL,
};

/* Returns the rule that a path violates, or NULL when it is valid. */
static const char *find_violated_rule(const char *path)
{
	size_t size = strlen(path);

	if (path[0] != '/')
		return "a path that begins with \"/\"";
	for (const char *at = path; *at; at++) {
		if (!g_ascii_isgraph(*at) || strchr("?#%\\\"", *at))
			return "printable ASCII without ? # % \\ \"";
	}
	if (size > 1 && path[size - 1] == '/')
		return "no \"/\" at the end";
	if (strstr(path, "//"))
		return "no empty segment";
	if (strstr(path, "/./") || strstr(path, "/../") ||
	    g_str_has_suffix(path, "/.") || g_str_has_suffix(path, "/.."))
		return "no segment \".\" or \"..\"";
	return NULL;
}

static void read_path(struct rd_object *object, struct doc_route *route)
{
	const char *wanted;

	if (!rd_read_text(object, "path", RD_REQUIRED, &path_range,
			  &route->path_prefix))
		return;
	wanted = find_violated_rule(route->path_prefix);
	if (wanted)
		rd_add_problem(object, "path", "got \"%s\", wanted %s",
			       route->path_prefix, wanted);
}

static void read_method(struct rd_object *object, size_t index,
			const char **methods)
{
	const char *method;

	if (!rd_read_text_item(object, "methods", index, &method_range,
			       &method))
		return;
	if (!doc_list_contains(known_methods, method))
		rd_add_problem(object, "methods",
			       "got \"%s\", wanted GET, HEAD, OPTIONS, POST, "
			       "PUT, PATCH or DELETE",
			       method);
	else if (doc_list_contains(methods, method))
		rd_add_problem(object, "methods", "\"%s\" stands twice",
			       method);
	else
		methods[g_strv_length((char **)methods)] = method;
}

static void read_methods(TALLOC_CTX *ctx, struct rd_object *object,
			 struct doc_route *route)
{
	const char **methods;
	size_t count;

	if (!rd_read_array(object, "methods", RD_OPTIONAL, &methods_range,
			   &count))
		return;
	methods = talloc_zero_array(ctx, const char *, count + 1);
	for (size_t i = 0; i < count; i++)
		read_method(object, i, methods);
	route->methods = methods;
}

static void read_repeat(struct rd_object *object, struct doc_route *route)
{
	bool is_repeatable;

	route->repeat = DOC_REPEAT_SAFE_METHODS;
	if (rd_read_bool(object, "repeatable", RD_OPTIONAL, &is_repeatable))
		route->repeat =
			is_repeatable ? DOC_REPEAT_ALWAYS : DOC_REPEAT_NEVER;
}

static bool do_methods_overlap(const struct doc_route *a,
			       const struct doc_route *b)
{
	if (!a->methods || !b->methods)
		return true;
	for (const char *const *method = a->methods; *method; method++) {
		if (doc_list_contains(b->methods, *method))
			return true;
	}
	return false;
}

static void check_unique(struct rd_object *object,
			 const struct doc_route *route,
			 const struct doc_route *earlier)
{
	if (route->name && earlier->name &&
	    strcmp(route->name, earlier->name) == 0)
		rd_add_problem(object, "name",
			       "got \"%s\", wanted a name that no other route "
			       "has",
			       route->name);
	if (route->path_prefix && earlier->path_prefix &&
	    strcmp(route->path_prefix, earlier->path_prefix) == 0 &&
	    do_methods_overlap(route, earlier))
		rd_add_problem(object, "path",
			       "got \"%s\", wanted a path and methods that no "
			       "other route has",
			       route->path_prefix);
}

static void read_route(TALLOC_CTX *ctx, struct rd_object *object,
		       struct doc_route *routes, size_t index)
{
	struct doc_route *route = &routes[index];

	rd_read_label(object, "name", RD_REQUIRED, &route->name);
	read_path(object, route);
	read_methods(ctx, object, route);
	rd_read_uint32(object, "timeout_ms", RD_REQUIRED, &timeout_range,
		       &route->timeout_ms);
	read_repeat(object, route);
	for (size_t i = 0; i < index; i++)
		check_unique(object, route, &routes[i]);
}

void doc_read_routes(struct rd_object *object, struct doc_service *service)
{
	struct doc_route *routes;
	size_t count;

	if (!rd_read_array(object, "routes", RD_REQUIRED, &routes_range,
			   &count))
		return;
	routes = talloc_zero_array(service, struct doc_route, count);
	for (size_t i = 0; i < count; i++) {
		struct rd_object *item = rd_open_item(object, "routes", i);

		if (!item)
			continue;
		read_route(routes, item, routes, i);
		rd_close_object(item);
	}
	service->routes = routes;
	service->route_count = count;
}
