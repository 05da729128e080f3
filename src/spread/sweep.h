/*
 * Deletes accepted copies that no manifest will name again.
 */
#ifndef SPR_SWEEP_H
#define SPR_SWEEP_H

#include "loom/platform.h"
#include "store.h"

struct spr_sweep;

/*
 * Sweeps every period_ms for its life. documents has the names of all present
 * documents as keys; it and the rest are borrowed. Returns a new sweep owned by
 * ctx.
 */
struct spr_sweep *spr_new_sweep(TALLOC_CTX *ctx, struct plat_client *platform,
				struct tmr_service *timers,
				const struct spr_store *store,
				GHashTable *documents, uint32_t period_ms);

/*
 * Returns whether the copy of that key is superseded: older than the version
 * in force, or of a service that is neither in force nor has a document.
 */
bool spr_is_superseded(const struct doc_manifest *manifest,
		       GHashTable *documents, const char *key);

#endif
