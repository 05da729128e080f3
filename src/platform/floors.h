/*
 * Version floors: for each key, the lowest object version that the client
 * accepts, which is the newest version that it has read. A read below the floor
 * is stale, or the store was restored to an older state.
 */
#ifndef LOOM_PLATFORM_FLOORS_H
#define LOOM_PLATFORM_FLOORS_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

struct plat_floors;

/* Returns a new, empty set of floors owned by ctx. */
struct plat_floors *plat_new_floors(TALLOC_CTX *ctx);

/*
 * Checks a version of key that was read. Returns whether it is acceptable, that
 * is, not below the floor; an acceptable version becomes the floor.
 */
bool plat_note_version(struct plat_floors *floors, const char *key,
		       uint64_t version);

/* Returns whether version is below the highest accepted version of key. */
bool plat_is_older(const struct plat_floors *floors, const char *key,
		   uint64_t version);

/*
 * Resets the floor of key after the store was restored: any next version is
 * acceptable. plat_is_older() keeps comparing with the highest version before.
 */
void plat_reset_floor(struct plat_floors *floors, const char *key);

/* Removes all floors: the store has entered a new era. */
void plat_clear_floors(struct plat_floors *floors);

/* Removes a key whose object was deleted. */
void plat_drop_floor(struct plat_floors *floors, const char *key);

#endif
