/*
 * Lease state.
 *
 * Why at most one holds it: the holder's last renewal was sent at s and took
 * effect at some e >= s; it holds until s + duration - margin. A competitor
 * first saw that version at some o >= e and writes not before
 * o + duration + margin. Both margins also cover clocks that run at unlike
 * rates. The write is conditional, so that a renewal in between refuses it.
 *
 * Invariant: valid_until_ms is 0 or the end of a tenure whose fencing_version
 * is at most version.
 */
#include "lease_state.h"

#include <assert.h>

#define LEASE_MARGIN_PART 10U  /* of the duration */
#define LEASE_RENEWAL_PART 3U  /* of the duration */
#define LEASE_BACKOFF_PART 30U /* of the duration */

static uint32_t get_renewal_ms(const struct plat_lease_state *state)
{
	return state->duration_ms / LEASE_RENEWAL_PART;
}

static void end_tenure(struct plat_lease_state *state)
{
	state->valid_until_ms = 0;
	state->fencing_version = 0;
}

static void see_version(struct plat_lease_state *state, uint64_t version,
			uint64_t now_ms)
{
	if (state->version == version)
		return;
	state->version = version;
	state->seen_ms = now_ms;
}

static uint64_t get_takeover_ms(const struct plat_lease_state *state)
{
	uint32_t duration_ms =
		MAX(state->duration_ms, state->holder_duration_ms);

	return state->seen_ms + duration_ms + state->margin_ms;
}

static uint32_t draw(GRand *random, uint32_t from_ms, uint32_t to_ms)
{
	return from_ms +
	       (uint32_t)(g_rand_double(random) * (double)(to_ms - from_ms));
}

void plat_start_lease(struct plat_lease_state *state, uint32_t duration_ms)
{
	*state = (struct plat_lease_state){
		.duration_ms = duration_ms,
		.margin_ms = duration_ms / LEASE_MARGIN_PART,
		.backoff = { .first_ms =
				     MAX(1, duration_ms / LEASE_BACKOFF_PART),
			     .base_ms = duration_ms / LEASE_RENEWAL_PART,
			     .cap_ms = duration_ms / LEASE_RENEWAL_PART },
	};
}

void plat_note_lease_read(struct plat_lease_state *state,
			  const struct plat_lease_view *view, uint64_t now_ms)
{
	plat_reset_backoff(&state->backoff);
	see_version(state, view->version, now_ms);
	state->is_free = view->is_free;
	state->is_own = view->is_own;
	state->holder_duration_ms = view->duration_ms;
	state->is_read_fresh = true;
	state->is_beaten = false;
	state->is_outcome_unknown = false;
	if (!view->is_own)
		end_tenure(state);
}

void plat_note_lease_sent(struct plat_lease_state *state, uint64_t now_ms)
{
	state->sent_ms = now_ms;
	state->is_read_fresh = false;
}

void plat_note_lease_written(struct plat_lease_state *state, uint64_t version,
			     uint64_t now_ms)
{
	uint64_t end_ms =
		state->sent_ms + state->duration_ms - state->margin_ms;

	plat_reset_backoff(&state->backoff);
	see_version(state, version, now_ms);
	state->is_free = false;
	state->is_own = true;
	state->is_outcome_unknown = false;
	if (!plat_is_held_at(state, now_ms))
		end_tenure(state);
	if (now_ms >= end_ms)
		return;
	if (state->fencing_version == 0)
		state->fencing_version = version;
	state->valid_until_ms = end_ms;
}

void plat_note_lease_conflict(struct plat_lease_state *state, uint64_t version,
			      uint64_t now_ms)
{
	plat_reset_backoff(&state->backoff);
	see_version(state, version, now_ms);
	state->is_free = false;
	state->is_own = false;
	state->is_outcome_unknown = false;
	state->is_beaten = true;
	end_tenure(state);
}

void plat_note_lease_failure(struct plat_lease_state *state, bool is_unknown)
{
	state->is_read_fresh = false;
	state->is_beaten = false;
	if (is_unknown)
		state->is_outcome_unknown = true;
}

bool plat_is_held_at(const struct plat_lease_state *state, uint64_t now_ms)
{
	return now_ms < state->valid_until_ms;
}

/* After a read or conflict that showed the lease of another. */
static struct plat_lease_plan plan_wait(const struct plat_lease_state *state,
					uint64_t now_ms, GRand *random)
{
	struct plat_lease_plan plan = { .action = PLAT_LEASE_READ };
	uint32_t renewal_ms = get_renewal_ms(state);
	uint64_t takeover_ms = get_takeover_ms(state);
	uint32_t poll_ms = draw(random, renewal_ms / 2, renewal_ms);

	plan.delay_ms = poll_ms;
	/* Jitter after the takeover time: else all competitors read at once. */
	if (now_ms + poll_ms > takeover_ms && takeover_ms > now_ms)
		plan.delay_ms = (uint32_t)(takeover_ms - now_ms) +
				draw(random, 1, MAX(2, renewal_ms / 2));
	return plan;
}

struct plat_lease_plan plat_plan_lease(struct plat_lease_state *state,
				       uint64_t now_ms, GRand *random)
{
	struct plat_lease_plan plan = { .action = PLAT_LEASE_WRITE,
					.expected_version = state->version };
	uint64_t renewal_ms = state->sent_ms + get_renewal_ms(state);

	if (state->is_read_fresh) {
		/* Own, given up or run out: its version stands just now. */
		if (state->is_own || state->is_free ||
		    now_ms >= get_takeover_ms(state))
			return plan;
		return plan_wait(state, now_ms, random);
	}
	if (state->is_own && !state->is_outcome_unknown) {
		if (renewal_ms > now_ms)
			plan.delay_ms = (uint32_t)(renewal_ms - now_ms);
		else
			plan.delay_ms =
				plat_choose_backoff_ms(&state->backoff, random);
		return plan;
	}
	if (state->is_beaten)
		return plan_wait(state, now_ms, random);
	plan.action = PLAT_LEASE_READ;
	plan.delay_ms = plat_choose_backoff_ms(&state->backoff, random);
	return plan;
}
