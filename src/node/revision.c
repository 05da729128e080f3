/*
 * Tracking of the revisions of a part of the configuration.
 */
#include "revision.h"

#include <assert.h>
#include <glib.h>
#include "loom/era.h"

/*
 * Returns the stamp at which the state is in force on this node. A node that
 * has followed an older era knows what the store lost at the begin of the new
 * one; so does one that took such a state of the era from another node.
 */
static uint64_t add_told(const struct nd_revision *known, uint64_t revision,
			 uint64_t now_ms)
{
	uint64_t era = plat_get_stamp_era(revision);
	uint64_t known_era = plat_get_stamp_era(known->seen);

	if (!known->is_known || era == 0 || era < known_era)
		return revision;
	if (era > known_era ? now_ms >= known->since_ms + ND_TOLD_MS
			    : (known->seen & PLAT_STAMP_TOLD) > 0)
		return revision | PLAT_STAMP_TOLD;
	return revision;
}

bool nd_accept_state(struct nd_revision *known, uint64_t revision,
		     bool is_from_peer, uint64_t now_ms)
{
	uint64_t stamp = is_from_peer && plat_get_stamp_era(revision) ==
						 plat_get_stamp_era(known->seen)
				 ? revision
				 : add_told(known, revision, now_ms);
	bool is_newer = !known->is_known || stamp > known->seen;
	bool is_new_era =
		known->is_known &&
		plat_get_stamp_era(stamp) > plat_get_stamp_era(known->seen);

	if (!known->is_known)
		known->since_ms = now_ms;
	if (is_newer) {
		known->is_known = true;
		known->seen = stamp;
	}
	/* Otherwise the peer would send the same state again at once. */
	if (is_from_peer)
		known->announced =
			MAX(known->announced, MIN(stamp, known->seen));
	/* All nodes have to leave the older era, even without a difference. */
	if (is_new_era)
		known->announced = known->seen;
	assert(known->announced <= known->seen);
	return is_newer;
}

void nd_announce_difference(struct nd_revision *known)
{
	known->announced = known->seen;
}
