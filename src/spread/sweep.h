/* Deletes accepted copies that no later manifest will name. */
#ifndef SPR_SWEEP_H
#define SPR_SWEEP_H

#include "loom/platform.h"
#include "store.h"

struct spr_sweep;

/*
 * Returns a new sweep owned by ctx that runs every period_ms until it is freed.
 * documents has the names of all present documents as keys; it, platform,
 * timers and store are borrowed.
 */
struct spr_sweep *spr_new_sweep(TALLOC_CTX *ctx, struct plat_client *platform,
				struct tmr_service *timers,
				const struct spr_store *store,
				GHashTable *documents, uint32_t period_ms);

/*
 * Returns whether the copy with that key is superseded: older than the version
 * in force, or of a service that is neither in force nor has a document.
 */
bool spr_is_superseded(const struct doc_manifest *manifest,
		       GHashTable *documents, const char *key);

#endif
