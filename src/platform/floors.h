/*
 * Versions that this client has seen, a floor for each key: a read below the
 * floor is stale, or the store was restored to an older state.
 */
#ifndef LOOM_PLATFORM_FLOORS_H
#define LOOM_PLATFORM_FLOORS_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

struct plat_floors;

/* Returns new, empty floors owned by ctx. */
struct plat_floors *plat_new_floors(TALLOC_CTX *ctx);

/*
 * Notes that a version of key was seen. Returns whether it is acceptable: not
 * below the floor. An acceptable version becomes the floor.
 */
bool plat_note_version(struct plat_floors *floors, const char *key,
		       uint64_t version);

/* Returns whether version is below the highest one ever seen of key. */
bool plat_is_older(const struct plat_floors *floors, const char *key,
		   uint64_t version);

/*
 * Lowers the floor of key to nothing, after a store that was restored: the next
 * version is acceptable, and is older as long as it is below the highest.
 */
void plat_reset_floor(struct plat_floors *floors, const char *key);

/* Drops a key that was deleted. */
void plat_drop_floor(struct plat_floors *floors, const char *key);

#endif
