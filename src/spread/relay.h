/*
 * Relay duty: which nodes of a failure domain watch the platform.
 */
#ifndef SPR_RELAY_H
#define SPR_RELAY_H

#include "loom/spread.h"

/* Relays of one failure domain. */
#define SPR_RELAY_COUNT 2U

/* Nodes of a failure domain that compete to be one. */
#define SPR_RELAY_CANDIDATE_COUNT 6U

struct spr_relay;

typedef void (*spr_relay_fn)(bool is_held, void *data);

/* Returns a new relay duty owned by ctx; fn is called at each change. */
struct spr_relay *spr_new_relay(TALLOC_CTX *ctx,
				const struct spr_options *options,
				spr_relay_fn fn, void *data);

/*
 * Competes for a lease, or stops, as the live peers have it; to be called now
 * and then.
 */
void spr_check_relay(struct spr_relay *relay);

/*
 * Returns the rank of a node among the peers of its failure domain, by the hash
 * of its address: 0 is the first. The same on all nodes that see the same
 * peers.
 */
uint32_t spr_rank_node(const char *address, const char *failure_domain,
		       const struct spr_peer *peers, size_t peer_count);

#endif
