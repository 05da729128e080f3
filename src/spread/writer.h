/*
 * Writer: the lease holder that checks documents and writes the manifest.
 */
#ifndef SPR_WRITER_H
#define SPR_WRITER_H

#include "loom/spread.h"
#include "source.h"
#include "store.h"

struct spr_writer;

/*
 * Competes for the lease. options are borrowed; source must follow the platform
 * for the life of the writer. Returns a new writer owned by ctx.
 */
struct spr_writer *spr_new_writer(TALLOC_CTX *ctx,
				  const struct spr_options *options,
				  struct spr_store *store,
				  struct spr_source *source);

/* Looks whether there is something to write: after a change in the store. */
void spr_run_writer(struct spr_writer *writer);

/* The same when the last look could not end its work. */
void spr_retry_writer(struct spr_writer *writer);

#endif
