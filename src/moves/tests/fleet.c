/*
 * Model of a fleet that moves the calls of one service within seconds.
 */
#include "fleet.h"

#include <string.h>
#include "loom/moves.h"

#define NODES 19U
#define FIRST_NODES 11U /* those that are up at the order */
#define LIMIT_MS 16000U
#define STEP_MS 10U
#define TICK_MS 100U
/* Time between the transfers of counts from the threads with the calls. */
#define FLUSH_MS 100U
/* Time between reports: 4 ms for each node. */
#define REPORT_MS (4U * NODES)
#define JOIN_FROM_MS 400U
#define JOIN_EACH_MS 50U
#define RESTART_EACH_MS 2000U
#define DOWN_MS 1200U
/* From a call to its end, evenly distributed. */
#define CALL_MIN_MS 40
#define CALL_MAX_MS 260
#define LOAD_WINDOW_MS 200U
#define PENDING_SLOTS (CALL_MAX_MS / STEP_MS + 2U)
#define EXPOSURE_SHARE 0.1
#define EXPOSURE_SLACK 50U
#define VERSIONS 2U
#define OLD 0U
#define NEW 1U

static const char *const version_names[VERSIONS] = { "*", "v2" };

struct node {
	struct mv_evaluation *evaluation;
	bool is_up;
	uint32_t share_permille;
	uint64_t reported_ms;
	uint64_t tick_ms;  /* offset of its ticks */
	uint64_t flush_ms; /* and of its transfers */
	struct mv_counts ending[PENDING_SLOTS][VERSIONS];
	struct mv_counts counted[VERSIONS]; /* not transferred yet */
	struct mv_counts unreported[VERSIONS];
};

struct fleet {
	const struct fleet_day *day;
	GRand *random;
	TALLOC_CTX *ctx;
	uint64_t now_ms;
	uint32_t order[NODES]; /* nodes by rank, if all are up */
	struct node nodes[NODES];
	uint32_t recent[LOAD_WINDOW_MS / STEP_MS][VERSIONS];
	struct fleet_result *result;
};

static uint32_t get_slot(uint64_t now_ms)
{
	return (uint32_t)(now_ms / STEP_MS % PENDING_SLOTS);
}

static double get_time_s(const struct fleet *fleet)
{
	return (double)fleet->now_ms / 1000;
}

static uint32_t get_rank(const struct fleet *fleet, uint32_t index)
{
	uint32_t rank = 0;

	for (uint32_t i = 0; i < NODES && fleet->order[i] != index; i++)
		rank += fleet->nodes[fleet->order[i]].is_up;
	return rank;
}

static void start_node(struct fleet *fleet, uint32_t index)
{
	struct node *node = &fleet->nodes[index];

	memset(node, 0, sizeof(*node));
	node->is_up = true;
	node->tick_ms = (uint64_t)g_rand_int_range(fleet->random, 0, TICK_MS) /
			STEP_MS * STEP_MS;
	node->flush_ms =
		(uint64_t)g_rand_int_range(fleet->random, 0, FLUSH_MS) /
		STEP_MS * STEP_MS;
	node->evaluation = mv_new_evaluation(fleet->ctx, version_names[NEW],
					     LIMIT_MS, fleet->now_ms);
}

static void stop_node(struct fleet *fleet, uint32_t index)
{
	struct node *node = &fleet->nodes[index];

	node->is_up = false;
	TALLOC_FREE(node->evaluation);
}

static void start_and_stop_nodes(struct fleet *fleet)
{
	uint64_t now_ms = fleet->now_ms;
	uint32_t turn = (uint32_t)(now_ms / RESTART_EACH_MS);
	uint32_t index = turn % FIRST_NODES;

	for (uint32_t i = FIRST_NODES; i < NODES; i++) {
		if (now_ms ==
		    JOIN_FROM_MS + (uint64_t)(i - FIRST_NODES) * JOIN_EACH_MS)
			start_node(fleet, i);
	}
	if (!fleet->day->has_restarts)
		return;
	if (now_ms % RESTART_EACH_MS == RESTART_EACH_MS - DOWN_MS)
		stop_node(fleet, index);
	else if (now_ms > 0 && now_ms % RESTART_EACH_MS == 0)
		start_node(fleet, (index + FIRST_NODES - 1) % FIRST_NODES);
}

/* Returns the new version's part of the calls just now. */
static double get_load(const struct fleet *fleet)
{
	uint32_t sums[VERSIONS] = { 0 };

	for (uint32_t i = 0; i < G_N_ELEMENTS(fleet->recent); i++) {
		sums[OLD] += fleet->recent[i][OLD];
		sums[NEW] += fleet->recent[i][NEW];
	}
	return sums[NEW] ? (double)sums[NEW] / (sums[OLD] + sums[NEW]) : 0;
}

static double get_failures(const struct fleet *fleet, uint32_t version)
{
	const struct fleet_day *day = fleet->day;
	double time_s = get_time_s(fleet);
	double load = get_load(fleet);
	double failures = day->usual_failures;

	if (time_s >= day->outage_from_s && time_s < day->outage_to_s)
		failures += day->outage_failures;
	if (version != NEW || time_s < day->new_late_s ||
	    load < day->load_threshold)
		return failures;
	if (day->load_threshold > 0)
		failures += day->new_failures * (load - day->load_threshold) /
			    (1 - day->load_threshold);
	else
		failures += day->new_failures;
	return failures;
}

static void begin_call(struct fleet *fleet, struct node *node)
{
	bool is_chosen = g_rand_int_range(fleet->random, 0, 1000) <
			 (int32_t)node->share_permille;
	bool is_up = get_time_s(fleet) >= fleet->day->new_from_s;
	uint32_t version = is_chosen && is_up ? NEW : OLD;
	uint32_t call_ms = (uint32_t)g_rand_int_range(fleet->random,
						      CALL_MIN_MS, CALL_MAX_MS);
	bool is_failed =
		g_rand_double(fleet->random) < get_failures(fleet, version);

	mv_add_call(&node->ending[get_slot(fleet->now_ms + call_ms)][version],
		    is_failed ? MV_OUTCOME_FAILED : MV_OUTCOME_GOOD,
		    call_ms * 1000);
	fleet->recent[fleet->now_ms / STEP_MS % G_N_ELEMENTS(fleet->recent)]
		     [version]++;
	fleet->result->calls++;
	fleet->result->new_calls += version == NEW;
}

static void begin_calls(struct fleet *fleet)
{
	double calls = fleet->day->calls_per_s * STEP_MS / 1000.0;
	uint32_t count = (uint32_t)(calls + g_rand_double(fleet->random));

	memset(fleet->recent[fleet->now_ms / STEP_MS %
			     G_N_ELEMENTS(fleet->recent)],
	       0, sizeof(fleet->recent[0]));
	while (count > 0) {
		struct node *node = &fleet->nodes[g_rand_int_range(
			fleet->random, 0, NODES)];

		if (!node->is_up)
			continue;
		begin_call(fleet, node);
		count--;
	}
}

static void end_calls(struct fleet *fleet, struct node *node)
{
	struct mv_counts *ending = node->ending[get_slot(fleet->now_ms)];

	for (uint32_t i = 0; i < VERSIONS; i++)
		mv_add_counts(&node->counted[i], &ending[i]);
	memset(ending, 0, sizeof(node->ending[0]));
	if (fleet->now_ms % FLUSH_MS != node->flush_ms)
		return;
	for (uint32_t i = 0; i < VERSIONS; i++) {
		if (node->counted[i].calls == 0)
			continue;
		mv_record_own_counts(node->evaluation, version_names[i], "r",
				     &node->counted[i], fleet->now_ms);
		mv_add_counts(&node->unreported[i], &node->counted[i]);
	}
	memset(node->counted, 0, sizeof(node->counted));
}

static void update_share(struct fleet *fleet, struct node *node)
{
	node->share_permille =
		mv_get_evaluated_share(node->evaluation, fleet->now_ms);
}

/* Reports to one evaluator and handles its answer. */
static void report_to(struct fleet *fleet, struct node *node, uint32_t own_rank,
		      struct node *evaluator, uint32_t rank)
{
	struct mv_ramp_progress progress;
	struct mv_told told;

	mv_get_known_progress(node->evaluation, fleet->now_ms, &progress);
	mv_record_reported_progress(evaluator->evaluation, &progress,
				    fleet->now_ms);
	for (uint32_t i = 0; i < VERSIONS; i++) {
		if (node->unreported[i].calls > 0)
			mv_record_reported_counts(
				evaluator->evaluation, version_names[i], "r",
				&node->unreported[i], fleet->now_ms);
	}
	mv_get_told(evaluator->evaluation, rank, fleet->now_ms, &told);
	mv_handle_told(node->evaluation, own_rank, &told, fleet->now_ms);
}

static void report_calls(struct fleet *fleet, struct node *node,
			 uint32_t own_rank)
{
	uint32_t rank = 0;

	if (fleet->now_ms < node->reported_ms + REPORT_MS ||
	    node->unreported[OLD].calls + node->unreported[NEW].calls == 0)
		return;
	node->reported_ms = fleet->now_ms;
	for (uint32_t i = 0; i < NODES && rank < MV_EVALUATORS; i++) {
		struct node *evaluator = &fleet->nodes[fleet->order[i]];

		if (!evaluator->is_up)
			continue;
		if (evaluator != node)
			report_to(fleet, node, own_rank, evaluator, rank);
		rank++;
	}
	memset(node->unreported, 0, sizeof(node->unreported));
	update_share(fleet, node);
}

static void end_move(struct fleet *fleet, bool is_finished)
{
	fleet->result->is_finished = is_finished;
	fleet->result->is_taken_back = !is_finished;
	fleet->result->end_s = get_time_s(fleet);
	for (uint32_t i = 0; i < NODES; i++)
		fleet->nodes[i].share_permille =
			is_finished ? DOC_SHARE_ALL_PERMILLE : 0;
}

static void evaluate_node(struct fleet *fleet, uint32_t index)
{
	struct node *node = &fleet->nodes[index];
	uint32_t rank = get_rank(fleet, index);

	if (fleet->now_ms % TICK_MS != node->tick_ms)
		return;
	report_calls(fleet, node, rank);
	switch (mv_evaluate_calls(node->evaluation, rank, fleet->now_ms)) {
	case MV_RAMP_CONTINUE:
		break;
	case MV_RAMP_FINISH:
		if (rank < MV_EVALUATORS)
			end_move(fleet, true);
		break;
	case MV_RAMP_TAKE_BACK:
		if (rank < MV_EVALUATORS)
			end_move(fleet, false);
		break;
	}
	if (fleet->result->end_s == 0)
		update_share(fleet, node);
}

static void shuffle_ranks(struct fleet *fleet)
{
	for (uint32_t i = 0; i < NODES; i++) {
		uint32_t at = (uint32_t)g_rand_int_range(fleet->random, 0,
							 (int32_t)i + 1);

		fleet->order[i] = fleet->order[at];
		fleet->order[at] = i;
	}
}

static void play_step(struct fleet *fleet)
{
	bool is_over = fleet->result->end_s > 0;

	if (!is_over)
		start_and_stop_nodes(fleet);
	begin_calls(fleet);
	for (uint32_t i = 0; i < NODES && !is_over; i++) {
		if (!fleet->nodes[i].is_up)
			continue;
		end_calls(fleet, &fleet->nodes[i]);
		evaluate_node(fleet, i);
	}
}

void fleet_play(const struct fleet_day *day, uint32_t seed,
		struct fleet_result *result)
{
	struct fleet fleet = { .day = day, .result = result };

	memset(result, 0, sizeof(*result));
	fleet.ctx = talloc_new(NULL);
	fleet.random = g_rand_new_with_seed(seed);
	shuffle_ranks(&fleet);
	for (uint32_t i = 0; i < FIRST_NODES; i++)
		start_node(&fleet, i);
	for (; fleet.now_ms < LIMIT_MS; fleet.now_ms += STEP_MS)
		play_step(&fleet);
	result->is_exposed = result->new_calls >
			     result->calls * EXPOSURE_SHARE + EXPOSURE_SLACK;
	g_rand_free(fleet.random);
	talloc_free(fleet.ctx);
}
