/*
 * Version floors in a hash table by key. Invariant: accepted <= highest.
 */
#include "floors.h"

#include <glib.h>

struct plat_floors {
	GHashTable *keys; /* struct key_floor by key */
};

struct key_floor {
	uint64_t accepted; /* the floor; 0 after a reset */
	uint64_t highest;  /* highest version ever accepted */
};

static int destroy_floors(struct plat_floors *floors)
{
	g_hash_table_destroy(floors->keys);
	return 0;
}

struct plat_floors *plat_new_floors(TALLOC_CTX *ctx)
{
	struct plat_floors *floors = talloc_zero(ctx, struct plat_floors);

	floors->keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	talloc_set_destructor(floors, destroy_floors);
	return floors;
}

bool plat_note_version(struct plat_floors *floors, const char *key,
		       uint64_t version)
{
	struct key_floor *floor = g_hash_table_lookup(floors->keys, key);

	if (!floor) {
		floor = g_new0(struct key_floor, 1);
		g_hash_table_insert(floors->keys, g_strdup(key), floor);
	}
	if (version < floor->accepted)
		return false;
	floor->accepted = version;
	floor->highest = MAX(floor->highest, version);
	return true;
}

bool plat_is_older(const struct plat_floors *floors, const char *key,
		   uint64_t version)
{
	const struct key_floor *floor = g_hash_table_lookup(floors->keys, key);

	return floor && version < floor->highest;
}

void plat_reset_floor(struct plat_floors *floors, const char *key)
{
	struct key_floor *floor = g_hash_table_lookup(floors->keys, key);

	if (floor)
		floor->accepted = 0;
}

void plat_clear_floors(struct plat_floors *floors)
{
	g_hash_table_remove_all(floors->keys);
}

void plat_drop_floor(struct plat_floors *floors, const char *key)
{
	g_hash_table_remove(floors->keys, key);
}
