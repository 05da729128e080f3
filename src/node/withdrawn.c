/*
 * Versions that were taken back.
 *
 * The targets of such a version live on for a while. When its order is gone, or
 * names another version, they must not get the calls of the old version.
 */
#include "withdrawn.h"

/* Returns the name of a version in the set (new). */
static char *get_name(const char *service, const char *version)
{
	return g_strconcat(service, "/", version, NULL);
}

GHashTable *nd_new_withdrawn(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void nd_record_end(GHashTable *withdrawn, const struct nd_move_request *request)
{
	char *name = get_name(request->service, request->to);

	if (request->state == DOC_MOVE_TAKEN_BACK)
		g_hash_table_add(withdrawn, g_strdup(name));
	else
		g_hash_table_remove(withdrawn, name);
	g_free(name);
}

bool nd_is_withdrawn(GHashTable *withdrawn, const char *service,
		     const char *version)
{
	char *name = get_name(service, version);
	bool is_found = g_hash_table_contains(withdrawn, name);

	g_free(name);
	return is_found;
}
