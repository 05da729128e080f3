/*
 * JSON encoding of the state of a move, as stored in its status object.
 */
#include "loom/moves.h"

#include <string.h>
#include "loom/error.h"

#define STATE_STEP "parse move state"

static const char *const reason_names[] = {
	[MV_REASON_NONE] = "none",
	[MV_REASON_BAD] = "bad",
	[MV_REASON_OPERATOR] = "operator",
	[MV_REASON_LATE] = "late",
	[MV_REASON_IMPOSSIBLE] = "impossible",
};

static const char *const metric_names[] = {
	[MV_METRIC_ERRORS] = "errors",
	[MV_METRIC_LATENCY] = "latency",
};

static const char *const phase_names[] = {
	[DOC_MOVE_NONE] = "none",	[DOC_MOVE_WAITING] = "waiting",
	[DOC_MOVE_RUNNING] = "running", [DOC_MOVE_SOAKING] = "soaking",
	[DOC_MOVE_DONE] = "done",	[DOC_MOVE_TAKEN_BACK] = "taken_back",
};

/* Reads the fields of one JSON object; only the first error is reported. */
struct reader {
	const json_t *object;
	GError **error;
	bool is_failed;
};

static void fail_field(struct reader *reader, const char *name,
		       const char *wanted)
{
	if (!reader->is_failed)
		err_set(reader->error, ERR_INVALID_MESSAGE, STATE_STEP, NULL,
			"%s: wanted %s", name, wanted);
	reader->is_failed = true;
}

static uint64_t read_number(struct reader *reader, const char *name,
			    uint64_t largest)
{
	const json_t *value = json_object_get(reader->object, name);
	json_int_t number = json_integer_value(value);

	if (json_is_integer(value) && number >= 0 &&
	    (uint64_t)number <= largest)
		return (uint64_t)number;
	fail_field(reader, name, "an integer within its limits");
	return 0;
}

static uint32_t read_count(struct reader *reader, const char *name)
{
	return (uint32_t)read_number(reader, name, UINT32_MAX);
}

static uint64_t read_time(struct reader *reader, const char *name)
{
	return read_number(reader, name, INT64_MAX);
}

static bool read_flag(struct reader *reader, const char *name)
{
	const json_t *value = json_object_get(reader->object, name);

	if (!json_is_boolean(value))
		fail_field(reader, name, "true or false");
	return json_is_true(value);
}

static void read_text(struct reader *reader, const char *name, char *text)
{
	const json_t *value = json_object_get(reader->object, name);

	if (json_is_string(value) && json_string_length(value) < MV_NAME_SIZE) {
		g_strlcpy(text, json_string_value(value), MV_NAME_SIZE);
		return;
	}
	fail_field(reader, name, "a string of less than 64 bytes");
}

static int read_name(struct reader *reader, const char *name,
		     const char *const *names, size_t name_count)
{
	const char *text =
		json_string_value(json_object_get(reader->object, name));

	for (size_t i = 0; text && i < name_count; i++)
		if (strcmp(names[i], text) == 0)
			return (int)i;
	fail_field(reader, name, "one of the defined names");
	return 0;
}

static json_t *format_finding(const struct mv_finding *finding)
{
	return json_pack(
		"{s: s, s: s, s: I, s: I, s: I, s: I, s: s, s: I, s: I}",
		"route", finding->route, "metric",
		metric_names[finding->metric], "new_calls",
		(json_int_t)finding->new_calls, "new_bad",
		(json_int_t)finding->new_bad, "old_calls",
		(json_int_t)finding->old_calls, "old_bad",
		(json_int_t)finding->old_bad, "worst_target",
		finding->worst_target, "worst_calls",
		(json_int_t)finding->worst_calls, "worst_bad",
		(json_int_t)finding->worst_bad);
}

static bool parse_finding(const json_t *value, struct mv_finding *finding,
			  GError **error)
{
	struct reader reader = { .object = value, .error = error };

	read_text(&reader, "route", finding->route);
	finding->metric = (enum mv_metric)read_name(
		&reader, "metric", metric_names, G_N_ELEMENTS(metric_names));
	finding->new_calls = read_count(&reader, "new_calls");
	finding->new_bad = read_count(&reader, "new_bad");
	finding->old_calls = read_count(&reader, "old_calls");
	finding->old_bad = read_count(&reader, "old_bad");
	read_text(&reader, "worst_target", finding->worst_target);
	finding->worst_calls = read_count(&reader, "worst_calls");
	finding->worst_bad = read_count(&reader, "worst_bad");
	return !reader.is_failed;
}

json_t *mv_format_state(const struct mv_state *state)
{
	return json_pack(
		"{s: I, s: s, s: s, s: s, s: I, s: I, s: I, s: I, s: I,"
		" s: b, s: I, s: s, s: o, s: s, s: I, s: I, s: s}",
		"document_version", (json_int_t)state->document_version, "from",
		state->from, "to", state->to, "phase",
		phase_names[state->phase], "step",
		(json_int_t)state->step_index, "share_permille",
		(json_int_t)state->share_permille, "since_ms",
		(json_int_t)state->since_ms, "step_since_ms",
		(json_int_t)state->step_since_ms, "compare_since_ms",
		(json_int_t)state->compare_since_ms, "common",
		state->has_common_errors, "compare_count",
		(json_int_t)state->compare_count, "reason",
		reason_names[state->reason], "finding",
		format_finding(&state->finding), "by", state->by,
		"expected_end_ms", (json_int_t)state->expected_end_ms,
		"missing_calls", (json_int_t)state->missing_calls,
		"missing_route", state->missing_route);
}

bool mv_parse_state(const json_t *value, struct mv_state *state, GError **error)
{
	struct reader reader = { .object = value, .error = error };

	memset(state, 0, sizeof(*state));
	state->document_version = read_time(&reader, "document_version");
	read_text(&reader, "from", state->from);
	read_text(&reader, "to", state->to);
	state->phase = (enum doc_move_state)read_name(
		&reader, "phase", phase_names, G_N_ELEMENTS(phase_names));
	state->step_index = read_count(&reader, "step");
	state->share_permille = (uint32_t)read_number(&reader, "share_permille",
						      DOC_SHARE_ALL_PERMILLE);
	state->since_ms = read_time(&reader, "since_ms");
	state->step_since_ms = read_time(&reader, "step_since_ms");
	state->compare_since_ms = read_time(&reader, "compare_since_ms");
	state->has_common_errors = read_flag(&reader, "common");
	state->compare_count = read_count(&reader, "compare_count");
	state->reason = (enum mv_reason)read_name(
		&reader, "reason", reason_names, G_N_ELEMENTS(reason_names));
	read_text(&reader, "by", state->by);
	state->expected_end_ms = read_time(&reader, "expected_end_ms");
	state->missing_calls = read_count(&reader, "missing_calls");
	read_text(&reader, "missing_route", state->missing_route);
	if (reader.is_failed)
		return false;
	return parse_finding(json_object_get(value, "finding"), &state->finding,
			     error);
}
