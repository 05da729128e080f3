/*
 * Matching of requests to routes.
 */
#include <string.h>
#include "parse.h"

/* Returns whether a path holds a segment "." or "..". */
static bool has_dot_segment(const char *path)
{
	const char *segment = path;

	while ((segment = strstr(segment, "/."))) {
		segment += 2;
		if (*segment == '.')
			segment++;
		if (*segment == '/' || *segment == '\0')
			return true;
	}
	return false;
}

/* Makes each run of "/" one. */
static void collapse_slashes(char *path)
{
	char *end = path;

	for (const char *at = path; *at; at++) {
		if (*at != '/' || end == path || end[-1] != '/')
			*end++ = *at;
	}
	*end = '\0';
}

/*
 * Returns the path as a target may come to understand it, without query: bytes
 * decoded and runs of "/" made one, so that another spelling of a path does not
 * lead to a route with other rules. g_free(); NULL when the path has a segment
 * "." or "..", a wrong escape or an escaped NUL.
 */
static char *make_plain_path(const char *path)
{
	size_t size = strcspn(path, "?#");
	char *plain = g_uri_unescape_segment(path, path + size, NULL);

	if (!plain)
		return NULL;
	collapse_slashes(plain);
	if (has_dot_segment(plain)) {
		g_free(plain);
		return NULL;
	}
	return plain;
}

/* Returns whether prefix ends at a segment border of path. */
static bool does_prefix_match(const char *prefix, size_t prefix_size,
			      const char *path, size_t path_size)
{
	if (prefix_size > path_size || strncmp(prefix, path, prefix_size) != 0)
		return false;
	return prefix_size == path_size || prefix[prefix_size - 1] == '/' ||
	       path[prefix_size] == '/';
}

const struct doc_route *doc_find_route(const struct doc_service *service,
				       const char *method, const char *path)
{
	const struct doc_route *best = NULL;
	char *plain = make_plain_path(path);
	size_t best_size = 0;
	size_t plain_size;

	if (!plain)
		return NULL;
	plain_size = strlen(plain);
	for (size_t i = 0; i < service->route_count; i++) {
		const struct doc_route *route = &service->routes[i];
		size_t size = strlen(route->path_prefix);

		if (size <= best_size ||
		    !does_prefix_match(route->path_prefix, size, plain,
				       plain_size))
			continue;
		if (route->methods && !doc_list_holds(route->methods, method))
			continue;
		best = route;
		best_size = size;
	}
	g_free(plain);
	return best;
}

bool doc_is_repeatable(const struct doc_route *route, const char *method)
{
	static const char *const safe_methods[] = { "GET", "HEAD", "OPTIONS",
						    NULL };

	switch (route->repeat) {
	case DOC_REPEAT_SAFE_METHODS:
		return doc_list_holds(safe_methods, method);
	case DOC_REPEAT_ALWAYS:
		return true;
	case DOC_REPEAT_NEVER:
		return false;
	}
	return false;
}
