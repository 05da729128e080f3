/*
 * Planner of the steps of a move.
 *
 * A move waits for its start time, runs through the steps of its document,
 * soaks at the last step and is done. It can be taken back from every phase
 * except done, and then stays taken back until its document changes.
 *
 * The time until finish_by, less the soak and a margin, is divided evenly among
 * the remaining steps. The first half of a step's time is its dwell time, in
 * which faults can appear; the second half is reserved for waiting for more
 * evidence. After both, a step with few calls ends with the evidence it has.
 *
 * Invariants: share_permille never exceeds the share of step_index; the share
 * of the first step is at most MV_FIRST_SHARE_PERMILLE (a document whose first
 * step is above 5 % gets an extra step with that share before its own);
 * step_since_ms is zero until targets have capacity for the step's share.
 */
#include "planner.h"

#include <assert.h>
#include <string.h>
#include "loom/error.h"

#define MV_FIRST_STEP_MAX_PERMILLE 50U
/* Below the limit of 5 %, because the calls of a share vary by chance. */
#define MV_FIRST_SHARE_PERMILLE 45U
#define MV_DWELL_MIN_MS 10000U
#define MV_DWELL_MAX_MS 600000U
/* Part of the time of the move that is held in reserve. */
#define MV_FINISH_MARGIN_PERMILLE 100U
/* Least time between changes of the share that follow the capacity. */
#define MV_CAPACITY_PERIOD_MS 5000U
#define MV_CAPACITY_GAIN_PERMILLE 10U
#define MV_COMPARE_MS 3000U
#define MV_RELAPSE_MS 15000U /* suspect again within this time: taken back */
#define MV_COMPARE_CALLS_MIN 3U

static bool has_implied_step(const struct doc_move *move)
{
	return move->step_shares_permille[0] > MV_FIRST_STEP_MAX_PERMILLE;
}

static uint64_t subtract_time(uint64_t a, uint64_t b)
{
	return a > b ? a - b : 0;
}

static uint64_t max_time(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

static uint32_t min_share(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

uint32_t mv_get_step_count(const struct doc_move *move)
{
	return (uint32_t)move->step_count + (has_implied_step(move) ? 1 : 0);
}

uint32_t mv_get_step_share(const struct doc_move *move, uint32_t index)
{
	assert(index < mv_get_step_count(move));
	if (index == 0)
		return min_share(move->step_shares_permille[0],
				 MV_FIRST_SHARE_PERMILLE);
	return move->step_shares_permille[has_implied_step(move) ? index - 1
								 : index];
}

static bool is_last_step(const struct doc_move *move, uint32_t index)
{
	return index + 1 == mv_get_step_count(move);
}

static bool is_ended(const struct mv_state *state)
{
	return state->phase == DOC_MOVE_DONE ||
	       state->phase == DOC_MOVE_TAKEN_BACK;
}

/*
 * Returns how long the current step may take: the time left at entered_ms,
 * divided evenly among the remaining steps.
 */
static uint64_t get_step_budget_ms(const struct mv_state *state,
				   const struct doc_move *move,
				   uint32_t targets_warm_up_ms,
				   uint64_t entered_ms)
{
	uint32_t steps_left = mv_get_step_count(move) - 1 - state->step_index;
	uint64_t margin_ms = (move->finish_by_ms - move->start_ms) *
			     MV_FINISH_MARGIN_PERMILLE / 1000;
	uint64_t last_ms = subtract_time(move->finish_by_ms,
					 margin_ms + move->judgement.soak_ms +
						 targets_warm_up_ms);
	uint64_t budget_ms;

	assert(steps_left > 0);
	budget_ms = subtract_time(last_ms, entered_ms) / steps_left;
	return max_time(budget_ms, MV_DWELL_MIN_MS);
}

static uint64_t get_dwell_ms(uint64_t budget_ms)
{
	uint64_t dwell_ms = max_time(budget_ms / 2, MV_DWELL_MIN_MS);

	return dwell_ms < MV_DWELL_MAX_MS ? dwell_ms : MV_DWELL_MAX_MS;
}

static uint64_t get_expected_end(const struct mv_state *state,
				 const struct doc_move *move,
				 uint32_t targets_warm_up_ms, uint64_t now_ms)
{
	uint64_t entered_ms =
		max_time(now_ms, move->start_ms) + targets_warm_up_ms;
	uint32_t last = mv_get_step_count(move) - 1;
	struct mv_state step = *state;

	if (state->step_since_ms != 0)
		entered_ms = state->step_since_ms;
	for (; step.step_index < last; step.step_index++) {
		uint64_t budget_ms =
			get_step_budget_ms(&step, move, 0, entered_ms);

		entered_ms += get_dwell_ms(budget_ms);
		if (step.step_index == state->step_index)
			entered_ms = max_time(entered_ms, now_ms);
	}
	return max_time(entered_ms + move->judgement.soak_ms, now_ms);
}

uint64_t mv_get_earliest_end(const struct mv_state *state,
			     const struct doc_move *move,
			     uint32_t targets_warm_up_ms, uint64_t now_ms)
{
	uint32_t steps_left = mv_get_step_count(move) - 1 - state->step_index;
	uint64_t start_ms = max_time(now_ms, move->start_ms);

	if (state->step_since_ms != 0)
		start_ms = state->step_since_ms;
	return max_time(now_ms, start_ms + targets_warm_up_ms +
					(uint64_t)steps_left * MV_DWELL_MIN_MS +
					move->judgement.soak_ms);
}

static void set_phase(struct mv_action *action, enum mv_action_kind kind,
		      enum doc_move_state phase, uint32_t share_permille,
		      uint64_t now_ms)
{
	action->kind = kind;
	action->state.phase = phase;
	action->state.share_permille = share_permille;
	action->state.since_ms = now_ms;
}

static void take_back(struct mv_action *action, enum mv_reason reason,
		      const struct mv_finding *finding, uint64_t now_ms)
{
	set_phase(action, MV_ACTION_TAKE_BACK, DOC_MOVE_TAKEN_BACK, 0, now_ms);
	action->state.reason = reason;
	action->state.compare_since_ms = 0;
	action->state.expected_end_ms = 0;
	action->state.missing_calls = 0;
	if (finding)
		action->state.finding = *finding;
}

/* Sets the share of the current step, limited by the targets' capacity. */
static void set_step_share(struct mv_action *action,
			   const struct doc_move *move,
			   const struct mv_evidence *evidence, uint64_t now_ms)
{
	struct mv_state *state = &action->state;
	uint32_t step_share = mv_get_step_share(move, state->step_index);
	uint32_t share =
		min_share(step_share, evidence->target_capacity_permille);

	set_phase(action, MV_ACTION_SET_SHARE,
		  is_last_step(move, state->step_index) ? DOC_MOVE_SOAKING
							: DOC_MOVE_RUNNING,
		  share, now_ms);
	if (share == step_share && state->step_since_ms == 0)
		state->step_since_ms = now_ms;
}

static void start_move(struct mv_action *action, const struct doc_move *move,
		       const struct mv_evidence *evidence, uint64_t now_ms)
{
	struct mv_state *state = &action->state;
	uint64_t end_ms = mv_get_earliest_end(
		state, move, evidence->targets_warm_up_ms, now_ms);

	if (end_ms > move->finish_by_ms) {
		state->reason = MV_REASON_IMPOSSIBLE;
		state->expected_end_ms = end_ms;
		return;
	}
	state->reason = MV_REASON_NONE;
	if (now_ms >= move->start_ms && evidence->target_capacity_permille > 0)
		set_step_share(action, move, evidence, now_ms);
}

static bool is_evidence_sufficient(const struct mv_verdict *verdict,
				   uint64_t elapsed_ms, uint64_t budget_ms)
{
	if (verdict->kind == MV_VERDICT_GOOD)
		return true;
	if (elapsed_ms < budget_ms || verdict->is_likely_bad)
		return false;
	return verdict->new_calls > 0 || verdict->old_calls == 0;
}

static void advance_step(struct mv_action *action, const struct doc_move *move,
			 const struct mv_evidence *evidence, uint64_t now_ms)
{
	struct mv_state *state = &action->state;
	uint64_t elapsed_ms = subtract_time(now_ms, state->step_since_ms);
	uint64_t budget_ms =
		get_step_budget_ms(state, move, evidence->targets_warm_up_ms,
				   state->step_since_ms);

	state->missing_calls = evidence->verdict.missing_calls;
	memcpy(state->missing_route, evidence->verdict.missing_route,
	       sizeof(state->missing_route));
	if (elapsed_ms < get_dwell_ms(budget_ms) ||
	    !is_evidence_sufficient(&evidence->verdict, elapsed_ms, budget_ms))
		return;
	state->step_index++;
	state->step_since_ms = 0;
	state->missing_calls = 0;
	set_step_share(action, move, evidence, now_ms);
}

/*
 * Adapts the share to the capacity of the targets: up as they warm up, down
 * when they no longer have capacity for it. Returns whether the share changed
 * or is still below that of the step.
 */
static bool follow_capacity(struct mv_action *action,
			    const struct doc_move *move,
			    const struct mv_evidence *evidence, uint64_t now_ms)
{
	struct mv_state *state = &action->state;
	uint32_t step_share = mv_get_step_share(move, state->step_index);
	uint32_t share =
		min_share(step_share, evidence->target_capacity_permille);
	bool is_due = now_ms >= state->since_ms + MV_CAPACITY_PERIOD_MS;

	if (share > state->share_permille &&
	    (share == step_share ||
	     share >= state->share_permille + MV_CAPACITY_GAIN_PERMILLE) &&
	    is_due) {
		set_step_share(action, move, evidence, now_ms);
		return true;
	}
	if (share + share / 4 < state->share_permille && is_due) {
		set_step_share(action, move, evidence, now_ms);
		return true;
	}
	return share < step_share || state->share_permille < step_share;
}

/*
 * At the last step there are no old calls to compare with. When the new version
 * is suspect there, the share falls to that of the first step, so that both
 * versions have calls at the same time, and the comparison decides.
 */
static void begin_compare(struct mv_action *action, const struct doc_move *move,
			  const struct mv_evidence *evidence, uint64_t now_ms)
{
	struct mv_state *state = &action->state;

	if (state->compare_count > 0 &&
	    now_ms < state->since_ms + MV_RELAPSE_MS) {
		take_back(action, MV_REASON_BAD, &evidence->verdict.finding,
			  now_ms);
		return;
	}
	set_phase(action, MV_ACTION_SET_SHARE, state->phase,
		  mv_get_step_share(move, 0), now_ms);
	state->compare_since_ms = now_ms;
	state->finding = evidence->verdict.finding;
}

static void end_compare(struct mv_action *action, const struct doc_move *move,
			const struct mv_evidence *evidence, uint64_t now_ms)
{
	struct mv_state *state = &action->state;
	const struct mv_verdict *verdict = &evidence->verdict;

	/* The old version has errors too: compare until these end. */
	if (verdict->is_old_degraded) {
		state->has_common_errors = true;
		return;
	}
	if (now_ms < state->compare_since_ms + MV_COMPARE_MS)
		return;
	if (verdict->is_likely_bad ||
	    verdict->new_calls < MV_COMPARE_CALLS_MIN) {
		take_back(action, MV_REASON_BAD, NULL, now_ms);
		return;
	}
	if (!state->has_common_errors)
		state->compare_count++;
	state->has_common_errors = false;
	state->compare_since_ms = 0;
	memset(&state->finding, 0, sizeof(state->finding));
	set_step_share(action, move, evidence, now_ms);
}

static void run_step(struct mv_action *action, const struct doc_move *move,
		     const struct mv_evidence *evidence, uint64_t now_ms)
{
	struct mv_state *state = &action->state;

	if (evidence->verdict.kind == MV_VERDICT_BAD) {
		take_back(action, MV_REASON_BAD, &evidence->verdict.finding,
			  now_ms);
		return;
	}
	if (state->compare_since_ms != 0) {
		end_compare(action, move, evidence, now_ms);
		return;
	}
	if (evidence->verdict.kind == MV_VERDICT_SUSPECT) {
		begin_compare(action, move, evidence, now_ms);
		return;
	}
	if (follow_capacity(action, move, evidence, now_ms))
		return;
	if (!is_last_step(move, state->step_index)) {
		advance_step(action, move, evidence, now_ms);
		return;
	}
	if (now_ms >= state->step_since_ms + move->judgement.soak_ms)
		set_phase(action, MV_ACTION_FINISH, DOC_MOVE_DONE,
			  DOC_SHARE_ALL_PERMILLE, now_ms);
}

static bool is_same_move(const struct mv_state *state,
			 const struct doc_move *move)
{
	return strncmp(state->from, move->from, MV_NAME_SIZE - 1) == 0 &&
	       strncmp(state->to, move->to, MV_NAME_SIZE - 1) == 0;
}

/*
 * Applies a changed document. The same move continues at the step that the new
 * shares allow; a move that was taken back, or whose versions differ, starts
 * from the beginning.
 */
static void adopt_document(struct mv_state *state, const struct doc_move *move,
			   uint64_t document_version, uint64_t now_ms)
{
	uint32_t last = mv_get_step_count(move) - 1;
	uint32_t index = 0;

	if (state->document_version == document_version &&
	    state->step_index <= last)
		return;
	if (!is_same_move(state, move) || state->phase == DOC_MOVE_TAKEN_BACK) {
		mv_init_state(state, move, document_version, now_ms);
		return;
	}
	state->document_version = document_version;
	state->step_index = state->phase == DOC_MOVE_WAITING ? 0 : last;
	if (state->phase != DOC_MOVE_RUNNING)
		return;
	while (index + 1 < last &&
	       mv_get_step_share(move, index + 1) <= state->share_permille)
		index++;
	state->step_index = index;
	state->share_permille = min_share(state->share_permille,
					  mv_get_step_share(move, index));
}

void mv_init_state(struct mv_state *state, const struct doc_move *move,
		   uint64_t document_version, uint64_t now_ms)
{
	memset(state, 0, sizeof(*state));
	state->document_version = document_version;
	g_strlcpy(state->from, move->from, sizeof(state->from));
	g_strlcpy(state->to, move->to, sizeof(state->to));
	state->phase = DOC_MOVE_WAITING;
	state->since_ms = now_ms;
}

void mv_plan_action(const struct mv_state *state, const struct doc_move *move,
		    const struct mv_evidence *evidence, uint64_t now_ms,
		    struct mv_action *action)
{
	assert(move->step_count > 0);
	action->kind = MV_ACTION_WAIT;
	action->state = *state;
	adopt_document(&action->state, move, evidence->document_version,
		       now_ms);
	if (is_ended(&action->state))
		return;
	if (now_ms >= move->finish_by_ms) {
		take_back(action, MV_REASON_LATE, NULL, now_ms);
		return;
	}
	if (action->state.phase == DOC_MOVE_WAITING)
		start_move(action, move, evidence, now_ms);
	else
		run_step(action, move, evidence, now_ms);
	if (!is_ended(&action->state) &&
	    action->state.reason != MV_REASON_IMPOSSIBLE)
		action->state.expected_end_ms =
			get_expected_end(&action->state, move,
					 evidence->targets_warm_up_ms, now_ms);
}

bool mv_take_back(struct mv_state *state, const char *by, uint64_t now_ms,
		  GError **error)
{
	struct mv_action action = { .state = *state };

	if (is_ended(state)) {
		err_set(error, ERR_CONFLICT, "take back move", by,
			"the move to %s has ended: it is %s", state->to,
			state->phase == DOC_MOVE_DONE ? "done"
						      : "taken back already");
		return false;
	}
	take_back(&action, MV_REASON_OPERATOR, NULL, now_ms);
	*state = action.state;
	g_strlcpy(state->by, by, sizeof(state->by));
	return true;
}
