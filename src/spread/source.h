/*
 * Follows the manifest on the platform and brings it into the store.
 */
#ifndef SPR_SOURCE_H
#define SPR_SOURCE_H

#include "loom/platform.h"
#include "store.h"

struct spr_source;

/* The manifest in force changed; object_version is that of its object. */
typedef void (*spr_source_fn)(void *data);

/* Starts to follow. Returns a new source owned by ctx; store is borrowed. */
struct spr_source *spr_new_source(TALLOC_CTX *ctx, struct plat_client *platform,
				  struct spr_store *store, spr_source_fn fn,
				  void *data);

/*
 * Returns the object version of the newest manifest read (0: it is absent), and
 * whether it is known at all.
 */
bool spr_get_manifest_version(const struct spr_source *source,
			      uint64_t *object_version);

#endif
