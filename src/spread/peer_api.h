/*
 * What peers and operators ask of a node under /spread/.
 */
#ifndef SPR_PEER_API_H
#define SPR_PEER_API_H

#include "loom/http.h"
#include "store.h"

/*
 * Answers a request:
 *   GET  /spread/manifest   the manifest in force, 404 before the first
 *   POST /spread/bundle     {documents:[{name,version,hash}]}; the answer
 *                           {documents:[{name,document}]} leaves out what is
 *                           not here or exceeds its size
 *   POST /spread/manifest   offers a manifest: 200 when it is in force here
 *                           now, 409 when it is not newer or not whole
 * Returns whether a newer manifest is in force.
 */
bool spr_answer_request(struct spr_store *store, struct web_request *request);

#endif
