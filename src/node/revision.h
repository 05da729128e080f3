/*
 * Version of a part of the configuration that has no sequence of its own.
 */
#ifndef ND_REVISION_H
#define ND_REVISION_H

#include <stdbool.h>
#include <stdint.h>

/*
 * A node that has followed the states for this long when the era rises knows of
 * the changes that the store has lost: its copy is some seconds old.
 */
#define ND_TOLD_MS 10000U

/*
 * Revisions of the store, as stamps (loom/era.h), so that one of a new era is
 * above all of the older ones. seen is the latest revision at which the applied
 * state was read. announced is the revision announced to other nodes: it
 * changes only with the content, so that a node that lists the same content
 * again does not make all others request it. A new era changes it, too.
 *
 * Invariant: announced <= seen, both 0 before the first state.
 */
struct nd_revision {
	bool is_known;
	uint64_t since_ms; /* when the first state was accepted */
	uint64_t seen;
	uint64_t announced;
};

/*
 * Records a state of the part at a revision. Returns whether the caller has to
 * apply it, because it is newer than the applied one.
 */
bool nd_accept_state(struct nd_revision *known, uint64_t revision,
		     bool is_from_peer, uint64_t now_ms);

/*
 * Raises the announced revision: the applied state differs from the previous
 * one.
 */
void nd_announce_difference(struct nd_revision *known);

#endif
