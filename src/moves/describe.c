/*
 * Describes the state of a move in one sentence for operators.
 */
#include "planner.h"

#include <inttypes.h>

static void append_time(GString *text, uint64_t time_ms)
{
	GDateTime *time =
		g_date_time_new_from_unix_utc((gint64)(time_ms / 1000));
	char *formatted =
		time ? g_date_time_format(time, "%Y-%m-%dT%H:%M:%SZ") : NULL;

	g_string_append(text, formatted ? formatted : "an unknown time");
	g_free(formatted);
	if (time)
		g_date_time_unref(time);
}

static void append_count(GString *text, uint32_t count)
{
	if (count >= 1000) {
		append_count(text, count / 1000);
		g_string_append_printf(text, ",%03u", count % 1000);
		return;
	}
	g_string_append_printf(text, "%u", count);
}

static void append_share(GString *text, uint32_t share_permille)
{
	g_string_append_printf(text, "%u", share_permille / 10);
	if (share_permille % 10)
		g_string_append_printf(text, ".%u", share_permille % 10);
	g_string_append(text, " %");
}

static void append_part(GString *text, uint32_t bad, uint32_t calls)
{
	double percent = calls ? 100.0 * bad / calls : 0;

	append_count(text, bad);
	g_string_append(text, " of ");
	append_count(text, calls);
	g_string_append_printf(text, " calls (%.*f %%)", percent < 1 ? 2 : 1,
			       percent);
}

static void append_route(GString *text, const char *route)
{
	if (*route)
		g_string_append_printf(text, "on route %s", route);
	else
		g_string_append(text, "over all routes");
}

static void append_finding(GString *text, const struct mv_state *state)
{
	const struct mv_finding *finding = &state->finding;
	const char *verb =
		finding->metric == MV_METRIC_ERRORS ? "failed" : "was slow on";

	append_route(text, finding->route);
	g_string_append_printf(text, " %s %s ", state->to, verb);
	append_part(text, finding->new_bad, finding->new_calls);
	g_string_append(text, " against ");
	append_part(text, finding->old_bad, finding->old_calls);
	g_string_append_printf(text, " on %s", state->from);
	if (!*finding->worst_target)
		return;
	g_string_append_printf(text, "; worst target %s with ",
			       finding->worst_target);
	append_part(text, finding->worst_bad, finding->worst_calls);
}

static void append_waiting(GString *text, const struct mv_state *state,
			   const struct doc_move *move)
{
	if (state->reason == MV_REASON_IMPOSSIBLE) {
		g_string_append(text, "not started: it cannot end by ");
		append_time(text, move->finish_by_ms);
		g_string_append(text, ", at the earliest at ");
		append_time(text, state->expected_end_ms);
		return;
	}
	g_string_append(text, "waits to start at ");
	append_time(text, move->start_ms);
	g_string_append_printf(text, " with targets of %s", move->to);
}

static void append_pending(GString *text, const struct mv_state *state)
{
	if (state->compare_since_ms != 0) {
		g_string_append(text, ", compares both versions because ");
		append_finding(text, state);
		return;
	}
	if (state->step_since_ms == 0) {
		g_string_append(text, ", waits for targets to warm up");
		return;
	}
	if (state->missing_calls == 0)
		return;
	g_string_append(text, ", waits for about ");
	append_count(text, state->missing_calls);
	g_string_append(text, " more calls ");
	append_route(text, state->missing_route);
}

static void append_progress(GString *text, const struct mv_state *state,
			    const struct doc_move *move)
{
	bool is_soaking = state->phase == DOC_MOVE_SOAKING;

	g_string_append_printf(text, "in progress: step %u of %u%s, ",
			       state->step_index + 1, mv_get_step_count(move),
			       is_soaking ? " (soak)" : "");
	append_share(text, state->share_permille);
	g_string_append_printf(text, " on %s since ", state->to);
	append_time(text, state->since_ms);
	append_pending(text, state);
	g_string_append(text, ", expected end ");
	append_time(text, state->expected_end_ms);
}

static void append_taken_back(GString *text, const struct mv_state *state,
			      const struct doc_move *move)
{
	g_string_append(text, "taken back at ");
	append_time(text, state->since_ms);
	g_string_append(text, ": ");
	switch (state->reason) {
	case MV_REASON_BAD:
		append_finding(text, state);
		break;
	case MV_REASON_OPERATOR:
		g_string_append_printf(text, "by %s", state->by);
		break;
	case MV_REASON_LATE:
	case MV_REASON_IMPOSSIBLE:
		g_string_append(text, "not finished by ");
		append_time(text, move->finish_by_ms);
		break;
	case MV_REASON_NONE:
		g_string_append(text, "no reason is known");
		break;
	}
}

void mv_describe_state(const struct mv_state *state,
		       const struct doc_move *move, GString *text)
{
	switch (state->phase) {
	case DOC_MOVE_NONE:
		g_string_append(text, "no move");
		break;
	case DOC_MOVE_WAITING:
		append_waiting(text, state, move);
		break;
	case DOC_MOVE_RUNNING:
	case DOC_MOVE_SOAKING:
		append_progress(text, state, move);
		break;
	case DOC_MOVE_DONE:
		g_string_append(text, "done: all calls on ");
		g_string_append_printf(text, "%s since ", state->to);
		append_time(text, state->since_ms);
		break;
	case DOC_MOVE_TAKEN_BACK:
		append_taken_back(text, state, move);
		break;
	}
}
