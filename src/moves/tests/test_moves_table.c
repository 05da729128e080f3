/*
 * Differential test: compares the analysis and planner with a naive algorithm
 * on a table of simulated releases in virtual time.
 *
 * The naive algorithm takes the steps at equal intervals. It takes a release
 * back when the new version had at least 20 calls in the last ten seconds and
 * more than 5 % of them failed.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "loom/moves.h"
#include "release.h"
#include "script.h"

#define SEEDS 200U
#define START_S 1000
#define SOAK_S 30U
#define SPREAD_S 2 /* a new share is in force two seconds later */
#define NAIVE_WINDOW_S 10U
#define NAIVE_PERMILLE 50U
#define NAIVE_CALLS_MIN 20U
/* Largest allowed part of calls on a bad version before its fault is shown. */
#define EXPOSURE_PERMILLE_MAX 50.0
/* Longest allowed time from the fault being shown to share zero. */
#define ROLLBACK_S_MAX 10.0

static const uint32_t steps[] = { 50, 100, 250, 500, 1000 };

static const struct rel_kind kinds[] = {
	{ "good", REL_FAULT_NONE, false, false, 100, 200, 0, 0, 0, 0, 0.5 },
	{ "fails_at_once", REL_FAULT_FAILS, true, false, 100, 200, 0, 0, 0, 0.5,
	  0.5 },
	{ "fails_a_little", REL_FAULT_FAILS, true, true, 100, 200, 0, 0, 0,
	  0.06, 0.5 },
	{ "slow_at_once", REL_FAULT_SLOW, true, false, 100, 200, 0, 0, 0, 3,
	  0.5 },
	{ "fails_later", REL_FAULT_FAILS, true, false, 100, 200, 25, 90, 0, 0.5,
	  0.5 },
	{ "slows_later", REL_FAULT_SLOW, true, false, 100, 200, 25, 90, 0, 3,
	  0.5 },
	{ "fails_in_soak", REL_FAULT_FAILS_IN_SOAK, true, false, 100, 200, 0, 0,
	  0, 0.5, 0.5 },
	{ "fails_under_load", REL_FAULT_FAILS_UNDER_LOAD, true, false, 100, 200,
	  0, 0, 400, 0.5, 0.5 },
	{ "fails_at_full_load", REL_FAULT_FAILS_UNDER_LOAD, true, false, 100,
	  200, 0, 0, 900, 0.5, 0.5 },
	{ "fails_on_one_route", REL_FAULT_FAILS_ON_ROUTE, true, true, 100, 200,
	  0, 0, 0, 0.5, 0.5 },
	{ "one_failing_target", REL_FAULT_BAD_TARGET, false, false, 100, 200, 0,
	  0, 0, 0.5, 0.5 },
	{ "one_slow_target", REL_FAULT_SLOW_TARGET, false, false, 100, 200, 0,
	  0, 0, 5, 0.5 },
	{ "cold_starts", REL_FAULT_COLD, false, false, 100, 200, 0, 0, 0, 0,
	  0.5 },
	{ "common_errors", REL_FAULT_OUTAGE, false, false, 100, 200, 5, 60, 0,
	  0, 0.5 },
	{ "few_calls", REL_FAULT_NONE, false, false, 2, 1200, 0, 0, 0, 0, 0.5 },
	{ "few_calls_fails", REL_FAULT_FAILS, true, true, 2, 1200, 0, 0, 0, 0.5,
	  0.5 },
	{ "noisy_latency", REL_FAULT_NONE, false, false, 100, 200, 0, 0, 0, 0,
	  1.5 },
	{ "short_time", REL_FAULT_NONE, false, false, 100, 90, 0, 0, 0, 0,
	  0.5 },
};

/* One algorithm under test in one run. */
struct algorithm {
	bool is_naive;
	struct doc_move move;
	struct mv_analysis *analysis;
	struct mv_window *window;
	struct mv_state state;
	uint32_t calls[NAIVE_WINDOW_S];
	uint32_t failed[NAIVE_WINDOW_S];
};

struct run_result {
	bool is_finished;
	bool is_taken_back;
	bool is_shown;
	double zero_s;	/* from the fault being shown to share zero in force */
	uint64_t calls; /* from the start until the fault is shown */
	uint64_t calls_since_onset;
	uint64_t exposed_calls;
};

/* Results of all seeds for one kind and algorithm. */
struct row {
	uint32_t finished;
	uint32_t taken_back;
	uint32_t shown;
	uint64_t calls;
	uint64_t calls_since_onset;
	uint64_t exposed_calls;
	double zero_s[SEEDS];
};

static uint32_t get_step_s(const struct algorithm *algorithm)
{
	uint64_t length_ms =
		algorithm->move.finish_by_ms - algorithm->move.start_ms;

	return (uint32_t)(length_ms / 1000 / G_N_ELEMENTS(steps));
}

static void decide_naive(struct algorithm *algorithm,
			 const struct rel_release *release, int32_t second)
{
	uint32_t index = (uint32_t)(second + START_S) % NAIVE_WINDOW_S;
	uint32_t step = (uint32_t)(second + 1) / get_step_s(algorithm);
	uint32_t calls = 0;
	uint32_t failed = 0;

	algorithm->calls[index] = 0;
	algorithm->failed[index] = 0;
	for (uint32_t i = 0; i < REL_ROUTES * REL_TARGETS; i++) {
		const struct mv_counts *counts =
			&release->cells[1][i / REL_TARGETS][i % REL_TARGETS];

		algorithm->calls[index] += counts->calls + counts->cold;
		algorithm->failed[index] += counts->failed + counts->cold;
	}
	for (uint32_t i = 0; i < NAIVE_WINDOW_S; i++) {
		calls += algorithm->calls[i];
		failed += algorithm->failed[i];
	}
	if (calls >= NAIVE_CALLS_MIN &&
	    failed * 1000 > calls * NAIVE_PERMILLE) {
		algorithm->state.phase = DOC_MOVE_TAKEN_BACK;
		algorithm->state.share_permille = 0;
	} else if (step >= G_N_ELEMENTS(steps)) {
		algorithm->state.phase = DOC_MOVE_DONE;
	} else {
		algorithm->state.share_permille = steps[step];
	}
}

static void decide_move(struct algorithm *algorithm,
			const struct rel_release *release, int32_t second)
{
	uint64_t slot = START_S + (uint64_t)(int64_t)second;
	uint64_t now_ms = (slot + 1) * MV_SLOT_MS + MV_SLOT_LAG_MS;
	struct mv_evidence evidence = { .document_version = 1 };
	struct mv_action action;

	rel_record_cells(release, algorithm->window, slot);
	mv_analyze_slots(algorithm->analysis, algorithm->window, now_ms);
	mv_get_verdict(algorithm->analysis, &evidence.verdict);
	evidence.target_capacity_permille = rel_get_capacity(release, second);
	mv_plan_action(&algorithm->state, &algorithm->move, &evidence, now_ms,
		       &action);
	if (action.state.share_permille != algorithm->state.share_permille)
		mv_begin_step(algorithm->analysis, action.state.share_permille,
			      now_ms);
	algorithm->state = action.state;
}

static void init_algorithm(struct algorithm *algorithm,
			   const struct rel_kind *kind, bool is_naive)
{
	memset(algorithm, 0, sizeof(*algorithm));
	algorithm->is_naive = is_naive;
	algorithm->move = (struct doc_move){
		.from = "v1",
		.to = "v2",
		.start_ms = START_S * 1000ULL,
		.finish_by_ms = (START_S + kind->finish_s) * 1000ULL,
		.step_shares_permille = steps,
		.step_count = G_N_ELEMENTS(steps),
		.judgement = { .error_permille = 20,
			       .latency_factor_permille = 1500,
			       .soak_ms = SOAK_S * 1000 },
	};
	algorithm->window = mv_new_window(NULL, "orders");
	algorithm->analysis =
		mv_new_analysis(algorithm->window, &algorithm->move, 1);
	mv_init_state(&algorithm->state, &algorithm->move, 1, 0);
}

static bool is_over(const struct algorithm *algorithm)
{
	return algorithm->state.phase == DOC_MOVE_DONE ||
	       algorithm->state.phase == DOC_MOVE_TAKEN_BACK;
}

static double get_permille(uint64_t part, uint64_t all)
{
	return all ? 1000.0 * (double)part / (double)all : 0;
}

static void fill_result(struct run_result *result,
			const struct algorithm *algorithm,
			const struct rel_release *release, int32_t second)
{
	result->is_finished = algorithm->state.phase == DOC_MOVE_DONE;
	result->is_taken_back = algorithm->state.phase == DOC_MOVE_TAKEN_BACK;
	result->is_shown = release->is_shown;
	result->zero_s = second - release->shown_s;
	result->calls = release->calls;
	result->calls_since_onset = release->calls - release->calls_at_onset;
	result->exposed_calls = release->exposed_calls;
}

/* Runs one release until its move has ended and its last share is in force. */
static void run_release(const struct rel_kind *kind, uint32_t seed,
			bool is_naive, struct run_result *result)
{
	struct rel_release release;
	struct algorithm algorithm;
	uint32_t decided[SPREAD_S] = { 0 };
	int32_t second = -(int32_t)REL_BEFORE_S;
	uint32_t rest_s = SPREAD_S;

	init_algorithm(&algorithm, kind, is_naive);
	rel_begin(&release, kind, seed);
	for (; rest_s > 0; second++) {
		rel_run_second(&release, second);
		release.share_permille = decided[0];
		memmove(decided, decided + 1,
			sizeof(decided) - sizeof(*decided));
		if (is_over(&algorithm))
			rest_s--;
		else if (is_naive && second >= -1)
			decide_naive(&algorithm, &release, second);
		else if (!is_naive)
			decide_move(&algorithm, &release, second);
		decided[SPREAD_S - 1] = algorithm.state.share_permille;
	}
	fill_result(result, &algorithm, &release, second);
	rel_end(&release);
	talloc_free(algorithm.window);
}

static int compare_doubles(const void *left, const void *right)
{
	double a = *(const double *)left;
	double b = *(const double *)right;

	return (a > b) - (a < b);
}

static void run_row(const struct rel_kind *kind, bool is_naive, struct row *row)
{
	memset(row, 0, sizeof(*row));
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		struct run_result result;

		run_release(kind, seed, is_naive, &result);
		row->finished += result.is_finished;
		row->taken_back += result.is_taken_back;
		row->calls += result.calls;
		row->calls_since_onset += result.calls_since_onset;
		row->exposed_calls += result.exposed_calls;
		if (result.is_shown && result.is_taken_back)
			row->zero_s[row->shown++] = result.zero_s;
	}
	qsort(row->zero_s, row->shown, sizeof(*row->zero_s), compare_doubles);
}

static void print_row(const struct rel_kind *kind, bool is_naive,
		      const struct row *row, GString *output)
{
	g_string_append_printf(output, "%-6s finished %3u taken back %3u",
			       is_naive ? "naive" : "moves", row->finished,
			       row->taken_back);
	if (kind->is_bad && row->shown > 0)
		g_string_append_printf(
			output,
			" | exposed before shown, of all calls %4.1f %%, since"
			" onset %5.1f %% | shown to zero p50 %4.1f s, max"
			" %4.1f s (%u runs)",
			get_permille(row->exposed_calls, row->calls) / 10,
			get_permille(row->exposed_calls,
				     row->calls_since_onset) /
				10,
			row->zero_s[row->shown / 2],
			row->zero_s[row->shown - 1], row->shown);
	g_string_append_c(output, '\n');
}

static bool run_table_step(int word_count, char **words, GString *output,
			   void *data)
{
	struct row *rows = data;

	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		struct row naive;

		if (strcmp(kinds[i].name, words[0]) != 0)
			continue;
		run_row(&kinds[i], true, &naive);
		print_row(&kinds[i], true, &naive, output);
		run_row(&kinds[i], false, &rows[i]);
		print_row(&kinds[i], false, &rows[i], output);
		return true;
	}
	return false;
}

static void check_bad_row(const struct rel_kind *kind, const struct row *row)
{
	CU_ASSERT_EQUAL(row->taken_back, SEEDS);
	CU_ASSERT_EQUAL(row->finished, 0);
	CU_ASSERT_TRUE(row->shown > 0);
	CU_ASSERT_TRUE(get_permille(row->exposed_calls, row->calls) <=
		       EXPOSURE_PERMILLE_MAX);
	/* test_sparse_badness() checks sparse rows. */
	if (!kind->is_sparse)
		CU_ASSERT_TRUE(row->zero_s[row->shown - 1] <= ROLLBACK_S_MAX);
}

static void test_table(void)
{
	struct row rows[G_N_ELEMENTS(kinds)] = { 0 };

	scr_run("table", run_table_step, rows);
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		if (kinds[i].is_bad) {
			check_bad_row(&kinds[i], &rows[i]);
			continue;
		}
		CU_ASSERT_EQUAL(rows[i].finished, SEEDS);
		CU_ASSERT_EQUAL(rows[i].taken_back, 0);
	}
}

/* Checks ROLLBACK_S_MAX for the releases that have few bad calls. */
static void test_sparse_badness(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		struct row row;

		if (!kinds[i].is_sparse)
			continue;
		run_row(&kinds[i], false, &row);
		printf("\n  %s: shown to zero at most %.1f s", kinds[i].name,
		       row.zero_s[row.shown - 1]);
		CU_ASSERT_TRUE(row.zero_s[row.shown - 1] <= ROLLBACK_S_MAX);
	}
}

static const CU_TestInfo table_tests[] = {
	{ "simulated releases", test_table },
	CU_TEST_INFO_NULL,
};

static const CU_TestInfo sparse_tests[] = {
	{ "releases with few bad calls are taken back in time",
	  test_sparse_badness },
	CU_TEST_INFO_NULL,
};

int main(int argc, char **argv)
{
	if (argc > 1 && strcmp(argv[1], "sparse") == 0)
		return scr_run_suite("sparse badness", sparse_tests);
	return scr_run_suite("moves table", table_tests);
}
