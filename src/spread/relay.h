/*
 * Relay duty: which nodes of a failure domain watch the platform.
 */
#ifndef SPR_RELAY_H
#define SPR_RELAY_H

#include "loom/spread.h"

/* Relays of one failure domain. */
#define SPR_RELAY_COUNT 2U

struct spr_relay;

typedef void (*spr_relay_fn)(bool is_held, void *data);

/*
 * Competes for one of the leases of the failure domain; fn is called at each
 * change. Returns a new relay owned by ctx.
 */
struct spr_relay *spr_new_relay(TALLOC_CTX *ctx,
				const struct spr_options *options,
				spr_relay_fn fn, void *data);

#endif
