/* Pulls newer manifests and their documents from peers. */
#ifndef SPR_PULLER_H
#define SPR_PULLER_H

#include "loom/http.h"
#include "loom/spread.h"
#include "store.h"

/* Limit on the documents that one bundle request names. */
#define SPR_BUNDLE_DOCUMENTS_MAX 256U

/*
 * Limit on the bytes of documents in one answer; a larger document is sent
 * alone.
 */
#define SPR_BUNDLE_BYTES_MAX (2U * 1024U * 1024U)

struct spr_puller;

/* Called when a pulled manifest is in force. */
typedef void (*spr_puller_fn)(void *data);

/*
 * Returns a new puller owned by ctx; all other arguments are borrowed. fn is
 * called when a newer manifest is in force.
 */
struct spr_puller *spr_new_puller(TALLOC_CTX *ctx,
				  const struct spr_options *options,
				  struct hc_loop *loop, struct spr_store *store,
				  spr_puller_fn fn, void *data);

/*
 * Starts a pull from the peer when its sequence is newer than the one in force.
 * Does nothing while another pull is active; when that one succeeds, a peer
 * with a newer sequence is pulled from next.
 */
void spr_start_pull(struct spr_puller *puller, const char *peer,
		    uint64_t sequence);

/*
 * Starts a pull from a random peer among those that announce a newer sequence,
 * unless a pull or a retry is pending.
 */
void spr_pull_any(struct spr_puller *puller);

#endif
