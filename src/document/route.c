/*
 * Matching of requests to routes.
 */
#include <string.h>
#include "parse.h"

/* Returns the size of a path without its query. */
static size_t get_path_size(const char *path)
{
	return strcspn(path, "?#");
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
	size_t path_size = get_path_size(path);
	size_t best_size = 0;

	for (size_t i = 0; i < service->route_count; i++) {
		const struct doc_route *route = &service->routes[i];
		size_t size = strlen(route->path_prefix);

		if (size <= best_size ||
		    !does_prefix_match(route->path_prefix, size, path,
				       path_size))
			continue;
		if (route->methods && !doc_list_holds(route->methods, method))
			continue;
		best = route;
		best_size = size;
	}
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
