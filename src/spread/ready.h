/*
 * Decides whether a node that started without memory has caught up.
 */
#ifndef SPR_READY_H
#define SPR_READY_H

#include <stdbool.h>
#include <stdint.h>

struct spr_ready_state {
	uint64_t start_ms;
	uint64_t sequence;	    /* built here, 0: none */
	uint64_t claimed_sequence;  /* highest that any peer claims */
	uint64_t platform_sequence; /* of the platform's manifest, 0: none */
	bool is_platform_heard;
	bool is_peer_heard; /* a peer of the own failure domain */
};

/* NOTES.md gives the rule and what it risks. */
bool spr_is_caught_up(const struct spr_ready_state *state, uint64_t now_ms);

#endif
