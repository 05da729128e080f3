/*
 * Local limit: an upper bound on the share of a move that one node uses.
 *
 * The limit only ever falls until it is removed. It is removed by a new version
 * of the document, or by a newer state of the move: the writer of that state
 * has the calls of all nodes and decided later than this node. The caller then
 * discards the analysis that led to the limit, because its old evidence would
 * set the same limit again without any new call.
 */
#include "planner.h"

#include <string.h>

static void set_local_limit(struct mv_local_limit *local_limit,
			    const struct mv_local_evidence *local,
			    uint32_t limit_permille)
{
	if (limit_permille >= local_limit->limit_permille)
		return;
	local_limit->document_version = local->document_version;
	local_limit->state_since_ms = local->state_since_ms;
	local_limit->limit_permille = limit_permille;
	local_limit->finding = local->verdict.finding;
}

void mv_init_local_limit(struct mv_local_limit *local_limit)
{
	memset(local_limit, 0, sizeof(*local_limit));
	local_limit->limit_permille = DOC_SHARE_ALL_PERMILLE;
}

bool mv_clear_local_limit(struct mv_local_limit *local_limit,
			  const struct mv_local_evidence *local)
{
	if (local_limit->limit_permille == DOC_SHARE_ALL_PERMILLE ||
	    (local_limit->document_version == local->document_version &&
	     local_limit->state_since_ms >= local->state_since_ms))
		return false;
	mv_init_local_limit(local_limit);
	return true;
}

uint32_t mv_apply_local_limit(struct mv_local_limit *local_limit,
			      const struct doc_move *move,
			      const struct mv_local_evidence *local,
			      uint64_t now_ms)
{
	uint32_t share = local->share_permille;

	if (local->phase == DOC_MOVE_DONE ||
	    local->phase == DOC_MOVE_TAKEN_BACK || !local->has_old_target)
		return share;
	if (local->verdict.kind == MV_VERDICT_BAD)
		set_local_limit(local_limit, local, 0);
	/* Without a lease holder no other node can start a comparison. */
	if (local->verdict.kind == MV_VERDICT_SUSPECT && local->is_cut_off)
		set_local_limit(local_limit, local, mv_get_step_share(move, 0));
	if (local->is_cut_off && now_ms >= move->finish_by_ms)
		return 0;
	return share < local_limit->limit_permille
		       ? share
		       : local_limit->limit_permille;
}
