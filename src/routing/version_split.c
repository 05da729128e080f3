/*
 * Split of requests between the two versions of a move.
 *
 * The hash of a request maps it to one of DOC_SHARE_ALL_PERMILLE buckets, and
 * the new version gets the buckets below its share. A larger share only adds
 * buckets, so requests that already go to the new version continue to do so.
 */
#include "version_split.h"

#include <glib.h>
#include "table.h"

static uint32_t get_bucket(uint64_t split_hash)
{
	return (uint32_t)(((split_hash >> 32) * DOC_SHARE_ALL_PERMILLE) >> 32);
}

static const struct doc_manifest_service *
find_state(const struct rt_table *table, const struct doc_service *service)
{
	return doc_find_manifest_service(
		doc_get_manifest(rt_get_snapshot(table)), service->name);
}

uint32_t rt_get_move_permille(const struct rt_table *table,
			      const struct doc_service *service)
{
	const struct doc_manifest_service *state = find_state(table, service);

	if (!state)
		return 0;
	switch (state->move_state) {
	case DOC_MOVE_RUNNING:
	case DOC_MOVE_SOAKING:
		return MIN(state->share_permille,
			   rt_get_share_limit(table, service->name));
	case DOC_MOVE_DONE:
		return DOC_SHARE_ALL_PERMILLE;
	case DOC_MOVE_NONE:
	case DOC_MOVE_WAITING:
	case DOC_MOVE_TAKEN_BACK:
		return 0;
	}
	return 0;
}

const char *rt_choose_version(const struct rt_table *table,
			      const struct rt_request *request)
{
	const struct doc_service *service = request->service;
	const struct doc_move *move = service->move;

	if (!move)
		return service->current;
	return get_bucket(request->split_hash) <
			       rt_get_move_permille(table, service)
		       ? move->to
		       : move->from;
}

const char *rt_get_fallback_version(const struct doc_service *service,
				    const char *version)
{
	const struct doc_move *move = service->move;

	/*
	 * Only the old version may be a fallback. It is proven, while falling
	 * back to the new version would send it more calls than its share,
	 * which limits the effect of a bad release.
	 */
	if (!move || version != move->to)
		return NULL;
	return move->from;
}
