/*
 * Leases of the relays of a failure domain.
 *
 * Only the first SPR_RELAY_CANDIDATE_COUNT live nodes of a failure domain,
 * ordered by a hash of their addresses, compete, so that the number of lease
 * calls does not grow with the number of nodes. When a candidate dies, the next
 * node takes its place; when nodes see different peers, there are at worst a
 * few more candidates. The rank determines which lease a node competes for.
 * Invariant: a lease that is held is not given up for a change of rank.
 */
#include "relay.h"

#include <string.h>
#include <xxhash.h>
#include "loom/log.h"

struct spr_relay {
	const struct spr_options *options;
	uint32_t index; /* of the lease competed for */
	struct plat_lease *lease;
	spr_relay_fn fn;
	void *data;
};

static uint64_t hash_address(const char *address)
{
	return XXH64(address, strlen(address), 0);
}

uint32_t spr_rank_node(const char *address, const char *failure_domain,
		       const struct spr_peer *peers, size_t peer_count)
{
	uint64_t own_hash = hash_address(address);
	uint32_t rank = 0;

	for (size_t i = 0; i < peer_count; i++) {
		if (strcmp(peers[i].failure_domain, failure_domain) == 0 &&
		    hash_address(peers[i].address) < own_hash)
			rank++;
	}
	return rank;
}

static void handle_lease(bool is_held, uint64_t fencing_version, void *data)
{
	struct spr_relay *relay = data;

	log_write(LOG_LEVEL_INFO, "spread", "relay lease", NULL,
		  is_held ? "lease taken" : "lease not held", LOG_END);
	relay->fn(is_held, relay->data);
}

static void compete_for_lease(struct spr_relay *relay, uint32_t index)
{
	const struct spr_options *options = relay->options;
	char *key = talloc_asprintf(NULL, "%s%s/%u", SPR_KEY_RELAY_LEASE,
				    options->failure_domain, index);

	relay->index = index;
	relay->lease = plat_compete_lease(
		relay, options->platform, key, options->holder,
		options->lease_duration_ms, handle_lease, relay);
	talloc_free(key);
}

struct spr_relay *spr_new_relay(TALLOC_CTX *ctx,
				const struct spr_options *options,
				spr_relay_fn fn, void *data)
{
	struct spr_relay *relay = talloc_zero(ctx, struct spr_relay);

	relay->options = options;
	relay->fn = fn;
	relay->data = data;
	return relay;
}

void spr_check_relay(struct spr_relay *relay)
{
	const struct spr_options *options = relay->options;
	const struct spr_peer *peers;
	size_t count = options->list_peers(&peers, options->data);
	uint32_t rank = spr_rank_node(options->address, options->failure_domain,
				      peers, count);
	bool is_candidate = rank < SPR_RELAY_CANDIDATE_COUNT;
	uint32_t index = rank % SPR_RELAY_COUNT;

	if (relay->lease && plat_is_lease_held(relay->lease))
		return;
	if (relay->lease && (!is_candidate || index != relay->index))
		TALLOC_FREE(relay->lease);
	if (!relay->lease && is_candidate)
		compete_for_lease(relay, index);
}
