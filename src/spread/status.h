/* Writes the status objects of services for operators. */
#ifndef SPR_STATUS_H
#define SPR_STATUS_H

#include "loom/document.h"
#include "loom/platform.h"

struct spr_status;

/*
 * Returns a new writer of statuses owned by ctx; platform and holder are
 * borrowed.
 */
struct spr_status *spr_new_status(TALLOC_CTX *ctx, struct plat_client *platform,
				  const char *holder);

/*
 * Writes the statuses that differ from those on the platform, one for each
 * service of fold that was not removed.
 */
void spr_write_statuses(struct spr_status *status, const struct doc_fold *fold);

#endif
