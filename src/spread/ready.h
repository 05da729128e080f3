/* Decides whether a node that starts without stored state has caught up. */
#ifndef SPR_READY_H
#define SPR_READY_H

#include <stdbool.h>
#include <stdint.h>

struct spr_ready_state {
	uint64_t start_ms;
	uint64_t sequence;	    /* in force on this node, 0: none */
	uint64_t claimed_sequence;  /* highest that any peer announces */
	uint64_t platform_sequence; /* of the platform's manifest, 0: none */
	bool has_platform_answer;
	bool has_domain_peer; /* a live one is known */
};

/*
 * Returns whether the node may serve with its present sequence. NOTES.md
 * describes the rule and its risks.
 */
bool spr_is_caught_up(const struct spr_ready_state *state, uint64_t now_ms);

#endif
