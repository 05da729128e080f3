/*
 * Reads the platform's manifest into the store: continuously by a watch on a
 * relay, by single reads on any other node.
 */
#ifndef SPR_SOURCE_H
#define SPR_SOURCE_H

#include "loom/platform.h"
#include "store.h"

struct spr_source;

/* Called when the platform's manifest was read, or a newer one is in force. */
typedef void (*spr_source_fn)(void *data);

/* Returns a new source owned by ctx; all other arguments are borrowed. */
struct spr_source *spr_new_source(TALLOC_CTX *ctx, struct plat_client *platform,
				  struct tmr_service *timers,
				  struct spr_store *store, spr_source_fn fn,
				  void *data);

/* Starts or stops the watch on the manifest. */
void spr_watch_manifest(struct spr_source *source, bool is_watched);

/* Reads the manifest once, unless a read or the watch is active. */
void spr_read_manifest(struct spr_source *source);

/* The manifest object last read; write_id is borrowed until the next event. */
struct spr_platform_manifest {
	bool is_known;		 /* the platform has answered */
	uint64_t object_version; /* 0: absent */
	uint64_t sequence;
	const char *write_id; /* "": absent */
};

/* Sets *present to the manifest object last read. */
void spr_get_platform_manifest(const struct spr_source *source,
			       struct spr_platform_manifest *present);

#endif
