/*
 * Tracking of the revisions of a part of the configuration.
 */
#include "revision.h"

#include <assert.h>
#include <glib.h>

bool nd_accept_state(struct nd_revision *known, uint64_t revision,
		     bool is_from_peer)
{
	bool is_newer = !known->is_known || revision > known->seen;

	if (is_newer) {
		known->is_known = true;
		known->seen = revision;
	}
	/* Otherwise the peer would send the same state again at once. */
	if (is_from_peer)
		known->announced =
			MAX(known->announced, MIN(revision, known->seen));
	assert(known->announced <= known->seen);
	return is_newer;
}

void nd_announce_difference(struct nd_revision *known)
{
	known->announced = known->seen;
}
