/*
 * Lease state.
 *
 * At most one competitor holds the lease at a time: the holder sent its last
 * renewal at s, which took effect at some e >= s, and holds the lease until
 * s + duration - margin. A competitor first read that version at some o >= e
 * and does not write before o + duration + margin. The margins also cover
 * clocks that run at different rates. The write is conditional, so that it
 * fails with a conflict if the holder renewed in between.
 *
 * Invariant: valid_until_ms is 0 or the end of a tenure whose fencing_version
 * is at most version.
 */
#include "lease_state.h"

#include <assert.h>
#include "loom/era.h"

/* Divisors of the lease duration. */
#define LEASE_MARGIN_DIVISOR 10U
#define LEASE_RENEWAL_DIVISOR 3U
#define LEASE_BACKOFF_DIVISOR 30U

static uint32_t get_renewal_ms(const struct plat_lease_state *state)
{
	return state->duration_ms / LEASE_RENEWAL_DIVISOR;
}

static void end_tenure(struct plat_lease_state *state)
{
	state->valid_until_ms = 0;
	state->fencing_version = 0;
}

static void record_seen_version(struct plat_lease_state *state,
				uint64_t version, uint64_t now_ms)
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

/* Returns when the lease may be taken, as far as the era is concerned. */
static uint64_t get_era_ready_ms(const struct plat_lease_state *state)
{
	if (state->era_seen_ms == 0)
		return 0;
	return state->era_seen_ms +
	       MAX(state->duration_ms, state->holder_duration_ms) +
	       state->margin_ms;
}

static uint32_t draw_delay_ms(GRand *random, uint32_t from_ms, uint32_t to_ms)
{
	return from_ms +
	       (uint32_t)(g_rand_double(random) * (double)(to_ms - from_ms));
}

void plat_start_lease(struct plat_lease_state *state, uint32_t duration_ms)
{
	*state = (struct plat_lease_state){
		.duration_ms = duration_ms,
		.margin_ms = duration_ms / LEASE_MARGIN_DIVISOR,
		.backoff = { .first_ms = MAX(1, duration_ms /
							LEASE_BACKOFF_DIVISOR),
			     .base_ms = duration_ms / LEASE_RENEWAL_DIVISOR,
			     .cap_ms = duration_ms / LEASE_RENEWAL_DIVISOR },
	};
}

void plat_note_lease_era(struct plat_lease_state *state, uint64_t now_ms)
{
	if (plat_is_held_at(state, now_ms))
		state->suspended_until_ms = state->valid_until_ms;
	end_tenure(state);
	state->is_own = false;
	state->is_read_last = false;
	state->is_conflict_last = false;
	plat_reset_backoff(&state->backoff);
}

/* Versions of two eras are not compared: the lease counts as just seen. */
static void note_view_era(struct plat_lease_state *state,
			  const struct plat_lease_view *view, uint64_t now_ms)
{
	if (!view->has_era ||
	    (state->era_seen_ms > 0 && state->era == view->era))
		return;
	state->era = view->era;
	state->era_seen_ms = MAX(now_ms, 1);
	state->version = view->version;
	state->seen_ms = now_ms;
}

void plat_note_lease_read(struct plat_lease_state *state,
			  const struct plat_lease_view *view, uint64_t now_ms)
{
	plat_reset_backoff(&state->backoff);
	note_view_era(state, view, now_ms);
	if (!view->is_holder || now_ms >= state->suspended_until_ms)
		state->suspended_until_ms = 0;
	record_seen_version(state, view->version, now_ms);
	state->is_free = view->is_free;
	state->is_own = view->is_own;
	state->holder_duration_ms = view->duration_ms;
	state->is_read_last = true;
	state->is_conflict_last = false;
	state->is_outcome_unknown = false;
	if (!view->is_own)
		end_tenure(state);
}

void plat_note_lease_sent(struct plat_lease_state *state, uint64_t now_ms)
{
	state->sent_ms = now_ms;
	state->is_read_last = false;
}

void plat_note_lease_written(struct plat_lease_state *state, uint64_t version,
			     uint64_t now_ms)
{
	uint64_t end_ms =
		state->sent_ms + state->duration_ms - state->margin_ms;

	plat_reset_backoff(&state->backoff);
	record_seen_version(state, version, now_ms);
	state->is_free = false;
	state->is_own = true;
	state->is_outcome_unknown = false;
	if (!plat_is_held_at(state, now_ms))
		end_tenure(state);
	if (now_ms >= end_ms)
		return;
	if (state->fencing_version == 0)
		state->fencing_version = plat_make_stamp(state->era, version);
	state->valid_until_ms = end_ms;
}

void plat_note_lease_conflict(struct plat_lease_state *state, uint64_t version,
			      uint64_t now_ms)
{
	plat_reset_backoff(&state->backoff);
	record_seen_version(state, version, now_ms);
	state->is_free = false;
	state->is_own = false;
	state->is_outcome_unknown = false;
	state->is_conflict_last = true;
	state->suspended_until_ms = 0;
	end_tenure(state);
}

void plat_note_lease_failure(struct plat_lease_state *state, bool is_unknown)
{
	state->is_read_last = false;
	state->is_conflict_last = false;
	if (is_unknown)
		state->is_outcome_unknown = true;
}

bool plat_is_held_at(const struct plat_lease_state *state, uint64_t now_ms)
{
	return now_ms < state->valid_until_ms;
}

/*
 * Plans the next read after a read or conflict that showed that another
 * competitor holds the lease.
 */
static struct plat_lease_plan
plan_next_read(const struct plat_lease_state *state, uint64_t now_ms,
	       GRand *random)
{
	struct plat_lease_plan plan = { .action = PLAT_LEASE_READ };
	uint32_t renewal_ms = get_renewal_ms(state);
	uint64_t takeover_ms =
		MAX(get_takeover_ms(state), get_era_ready_ms(state));
	uint32_t poll_ms = draw_delay_ms(random, renewal_ms / 2, renewal_ms);

	plan.delay_ms = poll_ms;
	/* Without jitter all competitors would read at the takeover time. */
	if (now_ms + poll_ms > takeover_ms && takeover_ms > now_ms)
		plan.delay_ms =
			(uint32_t)(takeover_ms - now_ms) +
			draw_delay_ms(random, 1, MAX(2, renewal_ms / 2));
	return plan;
}

/*
 * Returns whether the lease that was read last is held by this competitor, free
 * or expired, so that a write on its version may succeed.
 */
static bool may_write_after_read(const struct plat_lease_state *state,
				 uint64_t now_ms)
{
	if (plat_is_held_at(state, now_ms) ||
	    now_ms < state->suspended_until_ms)
		return true;
	if (now_ms < get_era_ready_ms(state))
		return false;
	return state->is_own || state->is_free ||
	       now_ms >= get_takeover_ms(state);
}

struct plat_lease_plan plat_plan_lease(struct plat_lease_state *state,
				       uint64_t now_ms, GRand *random)
{
	struct plat_lease_plan plan = { .action = PLAT_LEASE_WRITE,
					.expected_version = state->version };
	uint64_t renewal_ms = state->sent_ms + get_renewal_ms(state);

	if (state->is_read_last) {
		if (may_write_after_read(state, now_ms))
			return plan;
		return plan_next_read(state, now_ms, random);
	}
	if (state->is_own && !state->is_outcome_unknown) {
		if (renewal_ms > now_ms)
			plan.delay_ms = (uint32_t)(renewal_ms - now_ms);
		else
			plan.delay_ms =
				plat_choose_backoff_ms(&state->backoff, random);
		return plan;
	}
	if (state->is_conflict_last)
		return plan_next_read(state, now_ms, random);
	plan.action = PLAT_LEASE_READ;
	plan.delay_ms = plat_choose_backoff_ms(&state->backoff, random);
	return plan;
}
