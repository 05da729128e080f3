/*
 * Readiness of a fresh node: a pure rule over what has been heard.
 */
#include "ready.h"

#include <glib.h>

/* Wait for the platform while only peers answer. */
#define PLATFORM_PATIENCE_MS 2000U

/* Wait for a manifest that is claimed and cannot be had. */
#define CLAIM_PATIENCE_MS 10000U

bool spr_is_caught_up(const struct spr_ready_state *state, uint64_t now_ms)
{
	uint64_t waited_ms = now_ms - state->start_ms;
	uint64_t wanted =
		MAX(state->claimed_sequence, state->platform_sequence);

	if (state->sequence == 0)
		return false;
	if (!state->is_platform_heard &&
	    (!state->is_peer_heard || waited_ms < PLATFORM_PATIENCE_MS))
		return false;
	return state->sequence >= wanted || waited_ms >= CLAIM_PATIENCE_MS;
}
