/*
 * Split of requests between the two versions of a move.
 *
 * A request falls into one of DOC_SHARE_ALL_PERMILLE buckets by its hash; the
 * new version takes the buckets below its share. Raising the share only adds
 * buckets, so a request that went to the new version keeps going there.
 */
#include "version_split.h"

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

const char *rt_choose_version(const struct rt_table *table,
			      const struct rt_request *request)
{
	const struct doc_service *service = request->service;
	const struct doc_move *move = service->move;
	const struct doc_manifest_service *state;
	uint32_t share_permille;

	if (!move)
		return service->current;
	state = find_state(table, service);
	if (!state)
		return move->from;
	switch (state->move_state) {
	case DOC_MOVE_RUNNING:
	case DOC_MOVE_SOAKING:
		share_permille = rt_get_share_limit(table, service->name);
		if (share_permille > state->share_permille)
			share_permille = state->share_permille;
		return get_bucket(request->split_hash) < share_permille
			       ? move->to
			       : move->from;
	case DOC_MOVE_DONE:
		return move->to;
	case DOC_MOVE_NONE:
	case DOC_MOVE_WAITING:
	case DOC_MOVE_TAKEN_BACK:
		return move->from;
	}
	return move->from;
}

const char *rt_get_other_version(const struct doc_service *service,
				 const char *version)
{
	const struct doc_move *move = service->move;

	/*
	 * Only the old version may stand in for the other one: it is proved,
	 * while sending its calls to the new version would exceed the share
	 * that a bad release may get.
	 */
	if (!move || version != move->to)
		return NULL;
	return move->from;
}
