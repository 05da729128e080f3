/*
 * Local brake: the share that one node uses, never above that of the move.
 *
 * A pulled brake is let go by a new version of the document, or by a newer
 * state of the move: its writer has the calls of all nodes and decided after
 * this node's. The evidence that pulled it must go as well, or it would pull
 * the brake again with no new call to speak for it.
 */
#include "planner.h"

#include <string.h>

static void pull_brake(struct mv_brake *brake, const struct mv_local *local,
		       uint32_t limit_permille)
{
	if (limit_permille >= brake->limit_permille)
		return;
	brake->document_version = local->document_version;
	brake->state_since_ms = local->state_since_ms;
	brake->limit_permille = limit_permille;
	brake->finding = local->verdict.finding;
}

void mv_init_brake(struct mv_brake *brake)
{
	memset(brake, 0, sizeof(*brake));
	brake->limit_permille = DOC_SHARE_ALL_PERMILLE;
}

bool mv_release_brake(struct mv_brake *brake, const struct mv_local *local)
{
	if (brake->limit_permille == DOC_SHARE_ALL_PERMILLE ||
	    (brake->document_version == local->document_version &&
	     brake->state_since_ms >= local->state_since_ms))
		return false;
	mv_init_brake(brake);
	return true;
}

uint32_t mv_apply_brake(struct mv_brake *brake, const struct doc_move *move,
			const struct mv_local *local, uint64_t now_ms)
{
	uint32_t share = local->share_permille;

	if (local->phase == DOC_MOVE_DONE ||
	    local->phase == DOC_MOVE_TAKEN_BACK || !local->has_old_target)
		return share;
	if (local->verdict.kind == MV_VERDICT_BAD)
		pull_brake(brake, local, 0);
	/* Without the holder nobody else begins a comparison. */
	if (local->verdict.kind == MV_VERDICT_SUSPECT && local->is_cut_off)
		pull_brake(brake, local, mv_get_step_share(move, 0));
	if (local->is_cut_off && now_ms >= move->finish_by_ms)
		return 0;
	return share < brake->limit_permille ? share : brake->limit_permille;
}
