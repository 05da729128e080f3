/*
 * Writer: the holder of the writer lease checks documents and writes the
 * manifest.
 */
#ifndef SPR_WRITER_H
#define SPR_WRITER_H

#include "loom/spread.h"
#include "source.h"
#include "store.h"

struct spr_writer;

/*
 * Competes for the writer lease. All arguments are borrowed; source must watch
 * the manifest for the life of the writer. Returns a new writer owned by ctx.
 */
struct spr_writer *spr_new_writer(TALLOC_CTX *ctx,
				  const struct spr_options *options,
				  struct spr_store *store,
				  struct spr_source *source);

/*
 * Starts a round when the lease is held and no round is active. Call it after a
 * change of the store or of the platform's manifest.
 */
void spr_run_writer(struct spr_writer *writer);

/* Runs the writer again if a round failed, or if a change came during one. */
void spr_retry_writer(struct spr_writer *writer);

#endif
