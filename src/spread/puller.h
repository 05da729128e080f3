/*
 * Pulls a newer manifest and its documents from peers.
 */
#ifndef SPR_PULLER_H
#define SPR_PULLER_H

#include "loom/http.h"
#include "loom/spread.h"
#include "store.h"

/* Most documents that one bundle request names. */
#define SPR_BUNDLE_DOCUMENTS_MAX 256U

/* Size at which an answer takes no further document. */
#define SPR_BUNDLE_BYTES_MAX (2U * 1024U * 1024U)

struct spr_puller;

typedef void (*spr_puller_fn)(void *data);

/*
 * Returns a new puller owned by ctx; all else is borrowed. fn is called when a
 * newer manifest is in force.
 */
struct spr_puller *spr_new_puller(TALLOC_CTX *ctx,
				  const struct spr_options *options,
				  struct hc_loop *loop, struct spr_store *store,
				  spr_puller_fn fn, void *data);

/*
 * Pulls from the peer when its sequence is newer than the one in force; a pull
 * that is under way ends first.
 */
void spr_start_pull(struct spr_puller *puller, const char *peer,
		    uint64_t sequence);

/* Pulls from one of the peers that claim a newer sequence, drawn at random. */
void spr_pull_any(struct spr_puller *puller);

#endif
