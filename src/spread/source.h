/*
 * Brings the platform's manifest into the store: by a watch on a relay, by a
 * single read on any other node.
 */
#ifndef SPR_SOURCE_H
#define SPR_SOURCE_H

#include "loom/platform.h"
#include "store.h"

struct spr_source;

/* The platform's manifest was read, or a newer one is in force. */
typedef void (*spr_source_fn)(void *data);

/* Returns a new source owned by ctx; store and platform are borrowed. */
struct spr_source *spr_new_source(TALLOC_CTX *ctx, struct plat_client *platform,
				  struct tmr_service *timers,
				  struct spr_store *store, spr_source_fn fn,
				  void *data);

/* Begins or ends the watch. */
void spr_follow_platform(struct spr_source *source, bool is_followed);

/* Reads the manifest once, unless a read or the watch is under way. */
void spr_read_platform(struct spr_source *source);

/* The newest manifest object read from the platform. */
struct spr_platform_manifest {
	bool is_known;
	uint64_t object_version; /* 0: it is absent */
	uint64_t sequence;
	const char
		*write_id; /* borrowed until the next event; "" when absent */
};

/* Fills present with it. */
void spr_get_platform_manifest(const struct spr_source *source,
			       struct spr_platform_manifest *present);

#endif
