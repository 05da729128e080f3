/*
 * Scripted tests of the planner, the local limit, the analysis and the
 * sentences for operators, and tests of the decoders with untrusted input.
 */
#include <stdlib.h>
#include <string.h>
#include "loom/error.h"
#include "loom/moves.h"
#include "script.h"

#define START_MS 1000000U

static const uint32_t steps[] = { 50, 250, 1000 };

/* State of a script; times in scripts are seconds after START_MS. */
struct script {
	struct doc_move move;
	struct mv_state state;
	struct mv_evidence evidence;
	struct mv_local_limit local_limit;
	struct mv_local_evidence local;
	struct mv_window *window;
	struct mv_analysis *analysis;
	GPtrArray *rules; /* words of "calls" lines */
	int64_t simulated_s;
};

static void free_rule(gpointer data)
{
	g_strfreev(data);
}

static void clear_script(struct script *script)
{
	g_ptr_array_free(script->rules, TRUE);
	talloc_free(script->window);
}

static void init_script(struct script *script)
{
	memset(script, 0, sizeof(*script));
	script->move = (struct doc_move){
		.from = "v1",
		.to = "v2",
		.start_ms = START_MS,
		.finish_by_ms = START_MS + 200000,
		.step_shares_permille = steps,
		.step_count = G_N_ELEMENTS(steps),
		.judgement = { .error_permille = 20,
			       .latency_factor_permille = 1500,
			       .soak_ms = 30000 },
	};
	script->evidence.document_version = 1;
	script->evidence.target_capacity_permille = 1000;
	script->window = mv_new_window(NULL, "orders");
	script->rules = g_ptr_array_new_with_free_func(free_rule);
	script->analysis = mv_new_analysis(script->window, &script->move, 1);
	mv_init_state(&script->state, &script->move, 1, 0);
	mv_init_local_limit(&script->local_limit);
	script->local.document_version = 1;
	script->local.phase = DOC_MOVE_RUNNING;
	script->local.has_old_target = true;
}

static uint64_t get_time(const char *word)
{
	return (uint64_t)((int64_t)START_MS + strtoll(word, NULL, 10) * 1000);
}

static uint32_t get_number(const char *word)
{
	return (uint32_t)strtoul(word, NULL, 10);
}

static void parse_verdict(struct mv_verdict *verdict, const char *name)
{
	static const struct mv_finding finding = {
		.route = "deposit",
		.new_calls = 400,
		.new_bad = 31,
		.old_calls = 7600,
		.old_bad = 2,
		.worst_target = "127.0.2.1:80",
		.worst_calls = 100,
		.worst_bad = 9,
	};

	memset(verdict, 0, sizeof(*verdict));
	verdict->new_calls = 100;
	verdict->old_calls = 100;
	if (strcmp(name, "good") == 0) {
		verdict->kind = MV_VERDICT_GOOD;
	} else if (strcmp(name, "bad") == 0) {
		verdict->kind = MV_VERDICT_BAD;
	} else if (strcmp(name, "suspect") == 0) {
		verdict->kind = MV_VERDICT_SUSPECT;
	} else {
		verdict->missing_calls = 300;
		g_strlcpy(verdict->missing_route, "deposit", MV_NAME_SIZE);
		verdict->is_likely_bad = strcmp(name, "likely_bad") == 0;
		verdict->is_old_degraded = strcmp(name, "common") == 0;
		if (strcmp(name, "silent") == 0)
			verdict->new_calls = 0;
	}
	verdict->finding = finding;
}

static void print_state(const struct script *script, GString *output)
{
	mv_describe_state(&script->state, &script->move, output);
	g_string_append_c(output, '\n');
}

static void run_next(struct script *script, const char *time, GString *output)
{
	static const char *const names[] = { "wait", "set_share", "finish",
					     "take_back" };
	struct mv_action action;

	mv_plan_action(&script->state, &script->move, &script->evidence,
		       get_time(time), &action);
	script->state = action.state;
	g_string_append_printf(output, "%s %u: ", names[action.kind],
			       action.state.share_permille);
	print_state(script, output);
}

static bool set_value(struct script *script, const char *name,
		      const char *value)
{
	if (strcmp(name, "capacity") == 0)
		script->evidence.target_capacity_permille = get_number(value);
	else if (strcmp(name, "warm_up_s") == 0)
		script->evidence.targets_warm_up_ms = get_number(value) * 1000;
	else if (strcmp(name, "document") == 0)
		script->evidence.document_version = get_number(value);
	else if (strcmp(name, "finish_by") == 0)
		script->move.finish_by_ms = get_time(value);
	else if (strcmp(name, "to") == 0)
		script->move.to = strcmp(value, "v3") == 0 ? "v3" : "v2";
	else if (strcmp(name, "step") == 0)
		script->state.step_index = get_number(value);
	else if (strcmp(name, "verdict") == 0)
		parse_verdict(&script->evidence.verdict, value);
	else
		return false;
	return true;
}

static bool run_planner_step(int word_count, char **words, GString *output,
			     void *data)
{
	struct script *script = data;
	GError *error = NULL;

	if (strcmp(words[0], "begin") == 0) {
		clear_script(script);
		init_script(script);
		return true;
	}
	if (strcmp(words[0], "set") == 0 && word_count == 3)
		return set_value(script, words[1], words[2]);
	if (strcmp(words[0], "at") == 0 && word_count >= 2) {
		if (word_count == 3)
			set_value(script, "verdict", words[2]);
		run_next(script, words[1], output);
		return true;
	}
	if (strcmp(words[0], "take_back") != 0 || word_count != 3)
		return false;
	if (mv_take_back(&script->state, words[2], get_time(words[1]),
			 &error)) {
		print_state(script, output);
		return true;
	}
	g_string_append_printf(output, "%s\n", error->message);
	g_error_free(error);
	return true;
}

static bool set_local(struct script *script, const char *name,
		      const char *value)
{
	struct mv_local_evidence *local = &script->local;

	if (strcmp(name, "share") == 0)
		local->share_permille = get_number(value);
	else if (strcmp(name, "state") == 0)
		local->state_since_ms = get_number(value);
	else if (strcmp(name, "document") == 0)
		local->document_version = get_number(value);
	else if (strcmp(name, "cut_off") == 0)
		local->is_cut_off = strcmp(value, "yes") == 0;
	else if (strcmp(name, "old_target") == 0)
		local->has_old_target = strcmp(value, "yes") == 0;
	else if (strcmp(name, "phase") == 0)
		local->phase = strcmp(value, "done") == 0 ? DOC_MOVE_DONE
							  : DOC_MOVE_RUNNING;
	else if (strcmp(name, "verdict") == 0)
		parse_verdict(&local->verdict, value);
	else
		return false;
	return true;
}

static bool run_local_limit_step(int word_count, char **words, GString *output,
				 void *data)
{
	struct script *script = data;
	uint32_t share;

	if (strcmp(words[0], "set") == 0 && word_count == 3)
		return set_local(script, words[1], words[2]);
	if (strcmp(words[0], "at") != 0 || word_count != 2)
		return false;
	if (mv_clear_local_limit(&script->local_limit, &script->local))
		g_string_append(output, "limit removed, ");
	share = mv_apply_local_limit(&script->local_limit, &script->move,
				     &script->local, get_time(words[1]));
	g_string_append_printf(output, "share %u\n", share);
	return true;
}

static enum mv_outcome get_outcome(const char *name)
{
	if (strcmp(name, "failed") == 0)
		return MV_OUTCOME_FAILED;
	if (strcmp(name, "cold") == 0)
		return MV_OUTCOME_COLD;
	if (strcmp(name, "refused") == 0)
		return MV_OUTCOME_REFUSED;
	if (strcmp(name, "lost") == 0)
		return MV_OUTCOME_LOST;
	return MV_OUTCOME_GOOD;
}

/* Records the calls of a rule in one second, if the rule covers it. */
static void simulate_rule(struct script *script, char **words, int64_t second)
{
	struct mv_series_key key = { words[3], words[4], words[5] };
	uint32_t bad = get_number(words[7]);
	uint32_t slow_us = strcmp(words[8], "slow") == 0 ? 90000 : 20000;
	struct mv_counts counts = { 0 };

	if (second < strtoll(words[1], NULL, 10) ||
	    second >= strtoll(words[2], NULL, 10))
		return;
	for (uint32_t i = 0; i < get_number(words[6]); i++)
		mv_add_call(&counts,
			    i < bad ? get_outcome(words[8]) : MV_OUTCOME_GOOD,
			    i < bad ? slow_us : 20000);
	mv_record_counts(script->window,
			 mv_get_slot(START_MS) + (uint64_t)second, &key,
			 &counts);
}

/* Simulates the seconds up to end_s; analyzes each after its end. */
static void simulate_rules(struct script *script, int64_t end_s)
{
	for (; script->simulated_s < end_s; script->simulated_s++) {
		uint64_t now_ms =
			START_MS + (uint64_t)(script->simulated_s + 1) * 1000;

		for (guint i = 0; i < script->rules->len; i++)
			simulate_rule(script, script->rules->pdata[i],
				      script->simulated_s);
		mv_analyze_slots(script->analysis, script->window,
				 now_ms + MV_SLOT_LAG_MS);
	}
}

static void print_verdict(const struct script *script, GString *output)
{
	static const char *const names[] = { "insufficient", "good", "suspect",
					     "bad" };
	struct mv_verdict verdict;

	mv_get_verdict(script->analysis, &verdict);
	g_string_append_printf(output, "%s, calls %u and %u",
			       names[verdict.kind], verdict.new_calls,
			       verdict.old_calls);
	if (verdict.kind == MV_VERDICT_INSUFFICIENT)
		g_string_append_printf(output, ", missing %u on '%s'",
				       verdict.missing_calls,
				       verdict.missing_route);
	if (verdict.kind >= MV_VERDICT_SUSPECT)
		g_string_append_printf(
			output, ", on '%s' by %s, worst %s",
			verdict.finding.route,
			verdict.finding.metric == MV_METRIC_ERRORS ? "errors"
								   : "latency",
			verdict.finding.worst_target);
	g_string_append_c(output, '\n');
}

/*
 * "calls FROM TO VERSION ROUTE TARGET CALLS BAD HOW" adds the same calls in
 * each second from FROM up to TO; "analyze TIME" simulates them up to TIME.
 */
static bool run_analysis_step(int word_count, char **words, GString *output,
			      void *data)
{
	struct script *script = data;

	if (strcmp(words[0], "begin") == 0) {
		clear_script(script);
		init_script(script);
		return true;
	}
	if (strcmp(words[0], "share") == 0 && word_count == 2) {
		mv_begin_step(script->analysis, get_number(words[1]), 0);
		return true;
	}
	if (strcmp(words[0], "analyze") == 0 && word_count == 2) {
		simulate_rules(script, strtoll(words[1], NULL, 10));
		print_verdict(script, output);
		return true;
	}
	if (strcmp(words[0], "calls") != 0 || word_count != 9)
		return false;
	g_ptr_array_add(script->rules, g_strdupv(words));
	return true;
}

static void run_script(const char *name, scr_step_fn step)
{
	struct script script;

	init_script(&script);
	scr_run(name, step, &script);
	clear_script(&script);
}

static void test_planner_script(void)
{
	run_script("planner", run_planner_step);
}

static void test_local_limit_script(void)
{
	run_script("local_limit", run_local_limit_step);
}

static void test_analysis_script(void)
{
	run_script("analysis", run_analysis_step);
}

/*
 * "report JSON" merges a report into the window and prints slot 1000;
 * "state JSON" decodes a state and prints it.
 */
static bool run_codec_step(int word_count, char **words, GString *output,
			   void *data)
{
	struct script *script = data;
	GError *error = NULL;
	json_t *result = NULL;
	json_t *input;
	char *text;

	if (word_count != 2)
		return false;
	input = json_loads(words[1], 0, NULL);
	if (strcmp(words[0], "state") == 0) {
		if (mv_parse_state(input, &script->state, &error))
			result = mv_format_state(&script->state);
	} else if (mv_merge_report(script->window, input, START_MS, &error)) {
		result = mv_format_report(script->window, "merged", 1000);
	}
	text = json_dumps(result, JSON_COMPACT);
	g_string_append_printf(output, "%s\n", error ? error->message : text);
	g_clear_error(&error);
	json_decref(result);
	json_decref(input);
	free(text);
	return true;
}

static void test_codec_script(void)
{
	run_script("codec", run_codec_step);
}

static void test_state_round_trip(void)
{
	struct mv_state state = { .document_version = 7,
				  .from = "v1",
				  .to = "v2",
				  .phase = DOC_MOVE_SOAKING,
				  .step_index = 2,
				  .share_permille = 45,
				  .since_ms = 5,
				  .step_since_ms = 4,
				  .compare_since_ms = 5,
				  .has_common_errors = true,
				  .compare_count = 1,
				  .reason = MV_REASON_BAD,
				  .by = "me",
				  .expected_end_ms = 9,
				  .missing_calls = 3,
				  .missing_route = "deposit" };
	struct mv_state back;
	json_t *value;
	json_t *again;

	g_strlcpy(state.finding.route, "deposit", MV_NAME_SIZE);
	state.finding.metric = MV_METRIC_LATENCY;
	state.finding.worst_bad = 8;
	value = mv_format_state(&state);
	CU_ASSERT_TRUE(mv_parse_state(value, &back, NULL));
	again = mv_format_state(&back);
	CU_ASSERT_TRUE(json_equal(value, again));
	CU_ASSERT_EQUAL(back.finding.worst_bad, 8);
	json_decref(again);
	json_decref(value);
}

static void count_series(const struct mv_series_key *key,
			 const struct mv_counts *counts, void *data)
{
	uint32_t *series = data;

	(*series)++;
}

static void test_window_is_bounded(void)
{
	struct mv_window *window = mv_new_window(NULL, "orders");
	struct mv_counts counts = { .calls = 1, .failed = 1 };
	uint32_t series = 0;

	for (uint32_t i = 0; i < 3000; i++) {
		char address[32];
		struct mv_series_key key = { "v1", "stock", address };

		g_snprintf(address, sizeof(address), "127.0.1.%u", i);
		mv_record_counts(window, 100, &key, &counts);
	}
	mv_each_series(window, 100, count_series, &series);
	CU_ASSERT_EQUAL(series, 513);
	CU_ASSERT_EQUAL(mv_get_overflow_count(window), 3000 - 512);
	CU_ASSERT_FALSE(mv_record_counts(
		window, 84, &(struct mv_series_key){ "v1", "stock", "t" },
		&counts));
	talloc_free(window);
}

/* Returns the second at which one of analysis_count analyses finds bad, or 0.
 */
static uint32_t find_bad_second(uint32_t analysis_count)
{
	static char *old_words[] = { "calls", "0",   "30", "v1",   "stock",
				     "a:1",   "100", "0",  "good", NULL };
	static char *new_words[] = { "calls", "2", "30", "v2",	   "stock",
				     "b:1",   "5", "2",	 "failed", NULL };
	struct script script;
	struct mv_verdict verdict = { 0 };
	uint32_t second = 0;

	init_script(&script);
	talloc_free(script.analysis);
	script.analysis =
		mv_new_analysis(script.window, &script.move, analysis_count);
	g_ptr_array_add(script.rules, g_strdupv(old_words));
	g_ptr_array_add(script.rules, g_strdupv(new_words));
	while (verdict.kind != MV_VERDICT_BAD && second < 30) {
		simulate_rules(&script, ++second);
		mv_get_verdict(script.analysis, &verdict);
	}
	clear_script(&script);
	return verdict.kind == MV_VERDICT_BAD ? second : 0;
}

static void test_analyses_share_false_alarm_bound(void)
{
	uint32_t alone = find_bad_second(1);
	uint32_t shared = find_bad_second(740);

	CU_ASSERT_TRUE(alone > 0);
	CU_ASSERT_TRUE(shared > alone);
}

static const CU_TestInfo tests[] = {
	{ "planner script", test_planner_script },
	{ "local limit script", test_local_limit_script },
	{ "analysis script", test_analysis_script },
	{ "decoders validate their input", test_codec_script },
	{ "state survives encoding and decoding", test_state_round_trip },
	{ "window is bounded", test_window_is_bounded },
	{ "analyses share the false-alarm bound",
	  test_analyses_share_false_alarm_bound },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("moves", tests);
}
