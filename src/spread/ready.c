/*
 * Readiness of a newly started node, as a pure function of what the platform
 * and peers have reported.
 */
#include "ready.h"

#include <glib.h>

/* Time to wait for the platform while only peers answer. */
#define PLATFORM_WAIT_MS 2000U

/* Time to wait for a manifest that is announced but cannot be fetched. */
#define CLAIMED_MANIFEST_WAIT_MS 10000U

bool spr_is_caught_up(const struct spr_ready_state *state, uint64_t now_ms)
{
	uint64_t waited_ms = now_ms - state->start_ms;
	uint64_t wanted =
		MAX(state->claimed_sequence, state->platform_sequence);

	if (state->sequence == 0)
		return false;
	if (!state->has_platform_answer &&
	    (!state->has_domain_peer || waited_ms < PLATFORM_WAIT_MS))
		return false;
	return state->sequence >= wanted ||
	       waited_ms >= CLAIMED_MANIFEST_WAIT_MS;
}
