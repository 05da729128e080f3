/*
 * One lease of SPR_RELAY_COUNT a failure domain, drawn by the node's seed, so
 * that half of the nodes wait for each. The first try comes after a jittered
 * delay: nodes that start together do not ask the platform together.
 */
#include "relay.h"

#include "loom/log.h"

struct spr_relay {
	const struct spr_options *options;
	uint32_t index; /* of the lease */
	struct plat_lease *lease;
	spr_relay_fn fn;
	void *data;
};

static void handle_lease(bool is_held, uint64_t fencing_version, void *data)
{
	struct spr_relay *relay = data;

	log_write(LOG_LEVEL_INFO, "spread", "relay lease", NULL,
		  is_held ? "lease taken" : "lease not held", LOG_END);
	relay->fn(is_held, relay->data);
}

static void compete(uint64_t now_ms, void *data)
{
	struct spr_relay *relay = data;
	const struct spr_options *options = relay->options;
	char *key = talloc_asprintf(relay, "%s%s/%u", SPR_KEY_RELAY_LEASE,
				    options->failure_domain, relay->index);

	relay->lease = plat_compete_lease(
		relay, options->platform, key, options->holder,
		options->lease_duration_ms, handle_lease, relay);
}

struct spr_relay *spr_new_relay(TALLOC_CTX *ctx,
				const struct spr_options *options,
				spr_relay_fn fn, void *data)
{
	struct spr_relay *relay = talloc_zero(ctx, struct spr_relay);
	GRand *random = g_rand_new_with_seed((guint32)options->seed);
	gint32 delay_max_ms = (gint32)options->check_period_ms;

	relay->options = options;
	relay->index = (uint32_t)g_rand_int_range(random, 0, SPR_RELAY_COUNT);
	relay->fn = fn;
	relay->data = data;
	tmr_subscribe_once(
		relay, options->timers,
		1 + (uint32_t)g_rand_int_range(random, 0, delay_max_ms),
		compete, relay);
	g_rand_free(random);
	return relay;
}
