/*
 * Matching of requests to routes.
 */
#include <string.h>
#include "parse.h"

/* Returns whether a path has a segment "." or "..". */
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

/* Replaces each run of "/" by one, in place. */
static void collapse_slashes(char *path)
{
	char *end = path;

	for (const char *source = path; *source; source++) {
		if (*source != '/' || end == path || end[-1] != '/')
			*end++ = *source;
	}
	*end = '\0';
}

/*
 * Returns the path as a target may interpret it, without query: percent-encoded
 * bytes are decoded and runs of "/" collapsed, so that another spelling of a
 * path can't reach a route with other rules. A new text, freed by the caller
 * with g_free(), or NULL when the path has a segment "." or "..", an invalid
 * escape or an escaped NUL.
 */
static char *normalize_path(const char *path)
{
	size_t size = strcspn(path, "?#");
	char *normalized = g_uri_unescape_segment(path, path + size, NULL);

	if (!normalized)
		return NULL;
	collapse_slashes(normalized);
	if (has_dot_segment(normalized)) {
		g_free(normalized);
		return NULL;
	}
	return normalized;
}

/* Returns whether path begins with prefix and has a segment border there. */
static bool matches_prefix(const char *prefix, size_t prefix_size,
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
	char *normalized = normalize_path(path);
	size_t best_size = 0;
	size_t normalized_size;

	if (!normalized)
		return NULL;
	normalized_size = strlen(normalized);
	for (size_t i = 0; i < service->route_count; i++) {
		const struct doc_route *route = &service->routes[i];
		size_t size = strlen(route->path_prefix);

		if (size <= best_size ||
		    !matches_prefix(route->path_prefix, size, normalized,
				    normalized_size))
			continue;
		if (route->methods &&
		    !doc_list_contains(route->methods, method))
			continue;
		best = route;
		best_size = size;
	}
	g_free(normalized);
	return best;
}

bool doc_is_repeatable(const struct doc_route *route, const char *method)
{
	static const char *const safe_methods[] = { "GET", "HEAD", "OPTIONS",
						    NULL };

	switch (route->repeat) {
	case DOC_REPEAT_SAFE_METHODS:
		return doc_list_contains(safe_methods, method);
	case DOC_REPEAT_ALWAYS:
		return true;
	case DOC_REPEAT_NEVER:
		return false;
	}
	return false;
}
