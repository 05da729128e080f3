/*
 * Checks between service documents: every service that a document lists in
 * "calls" must have a document itself.
 */
#include <string.h>
#include "parse.h"

static GHashTable *make_name_set(const struct doc_service *const *services,
				 size_t service_count)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);

	for (size_t i = 0; i < service_count; i++)
		g_hash_table_add(names, (gpointer)services[i]->name);
	return names;
}

bool doc_check_calls(const struct doc_service *const *services,
		     size_t service_count, struct doc_problem_list *list)
{
	GHashTable *names = make_name_set(services, service_count);
	bool is_complete = true;

	for (size_t i = 0; i < service_count; i++) {
		const char *const *call = services[i]->calls;

		for (; call && *call; call++) {
			if (g_hash_table_contains(names, *call))
				continue;
			doc_add_problem(list, services[i]->name, "calls",
					"got \"%s\", wanted a service that has "
					"a document in force",
					*call);
			is_complete = false;
		}
	}
	g_hash_table_destroy(names);
	return is_complete;
}

const char **doc_find_callers(TALLOC_CTX *ctx,
			      const struct doc_service *const *services,
			      size_t service_count, const char *name)
{
	const char **callers;
	size_t count = 0;

	callers = talloc_zero_array(ctx, const char *, service_count + 1);
	for (size_t i = 0; i < service_count; i++) {
		if (doc_list_contains(services[i]->calls, name))
			callers[count++] = services[i]->name;
	}
	return callers;
}
