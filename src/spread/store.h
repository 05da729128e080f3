/* Store of the documents and the snapshot in force on this node. */
#ifndef SPR_STORE_H
#define SPR_STORE_H

#include <jansson.h>
#include "loom/document.h"

struct spr_store;

/* Returns a new, empty store owned by ctx. */
struct spr_store *spr_new_store(TALLOC_CTX *ctx);

/*
 * Adds the document that a manifest's entry names; it is copied. Returns false
 * with *error set when its hash is not the entry's, or when it does not parse.
 */
bool spr_add_document(struct spr_store *store,
		      const struct doc_manifest_service *entry,
		      const json_t *document, GError **error);

/*
 * Returns the JSON text of the document that a manifest's entry names, borrowed
 * until the next manifest is adopted, or NULL when it is not stored.
 */
const char *spr_find_document(const struct spr_store *store,
			      const struct doc_manifest_service *entry);

/* Returns the platform key of the accepted copy, new and owned by ctx. */
char *spr_make_accepted_key(TALLOC_CTX *ctx,
			    const struct doc_manifest_service *entry);

/*
 * Puts a manifest in force when it is newer and all its documents are stored;
 * otherwise changes nothing. Returns whether it is in force now; *error is set
 * when it is newer but its snapshot cannot be built.
 */
bool spr_adopt_manifest(struct spr_store *store,
			const struct doc_manifest *manifest, GError **error);

/* Returns the snapshot in force (borrowed), or NULL. */
struct doc_snapshot *spr_get_store_snapshot(const struct spr_store *store);

/* Returns the manifest sequence in force, 0 before the first. */
uint64_t spr_get_sequence(const struct spr_store *store);

#endif
