/* Relays: the nodes of a failure domain that watch the platform. */
#ifndef SPR_RELAY_H
#define SPR_RELAY_H

#include "loom/spread.h"

/* Relays in one failure domain. */
#define SPR_RELAY_COUNT 2U

/* Nodes of a failure domain that compete for the relay leases. */
#define SPR_RELAY_CANDIDATE_COUNT 6U

struct spr_relay;

/* Called when this node takes or loses a relay lease. */
typedef void (*spr_relay_fn)(bool is_held, void *data);

/* Returns a new relay candidate owned by ctx; options and data are borrowed. */
struct spr_relay *spr_new_relay(TALLOC_CTX *ctx,
				const struct spr_options *options,
				spr_relay_fn fn, void *data);

/*
 * Starts or stops competing for a lease, depending on the live peers. Call it
 * periodically.
 */
void spr_check_relay(struct spr_relay *relay);

/*
 * Returns the rank of a node among the peers of its failure domain, by the hash
 * of its address: 0 is the first. All nodes that see the same peers compute the
 * same ranks.
 */
uint32_t spr_rank_node(const char *address, const char *failure_domain,
		       const struct spr_peer *peers, size_t peer_count);

#endif
