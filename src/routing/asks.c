/*
 * Asking for load reports.
 *
 * Targets report to the nodes that call them, so an entry node knows nothing of
 * the targets of other failure domains until it needs them. While no target at
 * home has a free slot, it asks some of the others, drawn at random, one at a
 * time; each ask is answered by one report.
 *
 * Invariant: at most one ask in ASK_GAP_MS from a chooser.
 */
#include "asks.h"

/*
 * With 76 bytes for a datagram that is 0.8 kB/s, what reports and membership
 * leave of the 15 kB/s for control.
 */
#define ASK_GAP_MS 100U
/* An ask or its answer was lost. */
#define ASK_AGAIN_MS 500U

static bool may_ask(const struct rt_target_state *state, enum rt_grade grade,
		    uint64_t now_ms)
{
	return grade >= GRADE_BUSY && !rt_has_waits(state, now_ms) &&
	       (state->asked_ms == 0 ||
		now_ms >= state->asked_ms + ASK_AGAIN_MS) &&
	       !(state->domain && rt_is_domain_cut_off(state->domain, now_ms));
}

void rt_choose_ask(struct rt_chooser *chooser, const struct rt_table *table,
		   const struct rt_group *group, uint64_t now_ms)
{
	struct rt_target_state *chosen = NULL;
	uint64_t count = 0;

	chooser->asked = NULL;
	if (chooser->asked_ms > 0 && now_ms < chooser->asked_ms + ASK_GAP_MS)
		return;
	for (uint32_t i = 0; i < group->count; i++) {
		struct rt_target_state *state =
			chooser->states->by_entry[group->first + i];

		if (table->entries[group->first + i].tier == 0) {
			if (chooser->grades[i] == GRADE_READY)
				return;
			continue;
		}
		if (may_ask(state, chooser->grades[i], now_ms) &&
		    rt_draw_random(chooser, ++count) == 0)
			chosen = state;
	}
	if (!chosen)
		return;
	chosen->asked_ms = now_ms;
	chooser->asked_ms = now_ms;
	chooser->asked = chosen->address;
}
