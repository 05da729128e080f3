/* HTTP API under /spread/ for peers and operators. */
#ifndef SPR_PEER_API_H
#define SPR_PEER_API_H

#include "loom/http.h"
#include "store.h"

/*
 * Answers a request:
 *   GET  /spread/manifest   returns the manifest in force, 404 before the first
 *   POST /spread/bundle     returns the documents named by
 *                           {documents:[{name,version,hash}]} as
 *                           {documents:[{name,document}]}, without those that
 *                           are not stored or exceed the size of an answer
 *   POST /spread/manifest   offers a manifest: 200 when it is in force now, 409
 *                           when it is not newer, invalid or incomplete
 *
 * Returns whether a newer manifest is in force.
 */
bool spr_answer_request(struct spr_store *store, struct web_request *request);

#endif
