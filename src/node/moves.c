/*
 * Moves of a node that takes its configuration from a gateway document.
 *
 * The nodes of the first ranks, the evaluators, get the counts of all nodes and
 * decide on the traffic share; the others learn it from the answers to their
 * reports. The state of a move is stored outside the node, once for all nodes;
 * a node requests a change of it through move_state_fn.
 *
 * Invariant: the moves are those of the last state applied.
 */
#include <string.h>
#include "internal.h"
#include "loom/log.h"
#include "move.h"
#include "move_log.h"
#include "progress.h"
#include "ranks.h"
#include "reports.h"
#include "withdrawn.h"

/* Delay per rank of a change of state, which usually only rank 0 requests. */
#define RANK_DELAY_MS 50U
/*
 * Nodes that may request the end of a move. The others know neither all calls
 * nor, at once, that an evaluator has stopped the move.
 */
#define FINISHERS 4U
/*
 * Time between reports to the evaluators: this much per live node, so that the
 * load of an evaluator does not grow with their number.
 */
#define REPORT_MS_PER_NODE 4U
#define REPORT_MAX_MS 500U
/* Delay before a node that is not an evaluator requests a rollback. */
#define FALLBACK_DELAY_MS 1500U
/* A request that caused no change of state is repeated after this time. */
#define REQUEST_RETRY_MS 1500U
/* The same for the end of a move, which has little time left. */
#define DONE_RETRY_MS 200U

static void fill_move(const struct nd_move *move,
		      struct doc_gateway_move *filled)
{
	filled->service = move->request.service;
	filled->to = move->request.to;
	filled->id = move->request.id;
	filled->state = move->request.state;
	filled->bound_permille = move->limits.bound_permille;
	filled->turn_index = move->turn.index;
	filled->turn_count = move->turn.count;
	filled->share_permille = move->share_permille;
}

static uint32_t get_own_rank(struct nd_node *node, const char *service)
{
	const struct mem_member *members;
	size_t count = mem_list_members(node->members, &members);

	return nd_get_rank_of(members, count, service, node->settings->address);
}

static bool is_evaluator(struct nd_node *node, const char *service)
{
	return get_own_rank(node, service) < MV_EVALUATORS;
}

/* Sends the counts collected since the last report to the evaluators. */
static void report_move(struct nd_node *node, struct nd_move *move,
			uint64_t now_ms)
{
	const struct mem_member *members;
	size_t count = mem_list_members(node->members, &members);
	uint64_t period_ms = MIN(count * REPORT_MS_PER_NODE, REPORT_MAX_MS);
	const struct mem_member *evaluators[MV_EVALUATORS];
	struct mv_ramp_progress progress;
	size_t evaluator_count;
	json_t *report;

	if (json_array_size(move->unreported) == 0 ||
	    now_ms < move->reported_ms + period_ms)
		return;
	move->reported_ms = now_ms;
	mv_get_known_progress(move->evaluation, now_ms, &progress);
	report = json_pack(
		"{s:s,s:s,s:I,s:O,s:o}", "service", move->request.service, "to",
		move->request.to, "id", (json_int_t)move->request.id, "series",
		move->unreported, "progress", nd_format_progress(&progress));
	evaluator_count = nd_find_first(members, count, move->request.service,
					evaluators, MV_EVALUATORS);
	for (size_t i = 0; i < evaluator_count; i++) {
		const struct mem_announcement *self = &evaluators[i]->self;
		char *evaluator;

		if (strcmp(self->address, node->settings->address) == 0)
			continue;
		evaluator = talloc_asprintf(node, "%s:%u", self->address,
					    self->admin_port);
		rls_add_report(node->gateway.reports, evaluator,
			       json_incref(report));
		talloc_free(evaluator);
	}
	json_decref(report);
	json_decref(move->unreported);
	move->unreported = json_array();
}

/* Returns the ramp by which this node goes (borrowed). */
static struct mv_ramp *get_ramp(struct nd_node *node, struct nd_move *move)
{
	return mv_get_ramp(move->evaluation,
			   get_own_rank(node, move->request.service));
}

static void log_move(struct nd_node *node, struct nd_move *move,
		     const char *message, uint32_t counted_step,
		     uint64_t now_ms)
{
	struct nd_move_event event = {
		.message = message,
		.service = move->request.service,
		.rank = get_own_rank(node, move->request.service),
		.share_permille = move->share_permille,
		.counted_step = counted_step,
	};

	nd_log_move(&event, get_ramp(node, move), now_ms);
}

/* Writes a line when the step has changed, with the calls of the last one. */
static void log_step(struct nd_node *node, struct nd_move *move,
		     uint64_t now_ms)
{
	struct mv_ramp_progress progress;

	mv_get_ramp_progress(get_ramp(node, move), now_ms, &progress);
	if (progress.step == move->logged_step)
		return;
	log_move(node, move, "step has begun", move->logged_step, now_ms);
	move->logged_step = progress.step;
}

/* Requests a state after this node's delay, and repeatedly until it is set. */
static void request_state(struct nd_node *node, struct nd_move *move,
			  enum doc_move_state wanted_state, uint64_t now_ms)
{
	struct nd_move_request request = move->request;
	uint64_t retry_ms = wanted_state == DOC_MOVE_DONE ? DONE_RETRY_MS
							  : REQUEST_RETRY_MS;
	uint64_t delay_ms;

	if (move->wanted_since_ms == 0 || move->wanted_state != wanted_state) {
		move->wanted_state = wanted_state;
		move->wanted_since_ms = now_ms;
		move->requested_ms = 0;
	}
	delay_ms =
		(uint64_t)get_own_rank(node, request.service) * RANK_DELAY_MS;
	if (wanted_state == DOC_MOVE_TAKEN_BACK)
		delay_ms = is_evaluator(node, request.service)
				   ? 0
				   : FALLBACK_DELAY_MS;
	if (now_ms < move->wanted_since_ms + delay_ms ||
	    (move->requested_ms > 0 && now_ms < move->requested_ms + retry_ms))
		return;
	move->requested_ms = now_ms;
	log_move(node, move, doc_get_move_state_name(wanted_state),
		 move->logged_step, now_ms);
	request.state = wanted_state;
	if (nd_has_move_ended(move))
		nd_record_rewrite(node, "move_result", request.service);
	if (node->gateway.move_state_fn)
		node->gateway.move_state_fn(
			&request, mv_get_evaluation_reason(move->evaluation),
			node->gateway.move_state_data);
}

/* Returns the traffic share, in permille, for the move's state and ramp. */
static uint32_t get_share(struct nd_move *move, uint64_t now_ms)
{
	switch (move->request.state) {
	case DOC_MOVE_NONE:
	case DOC_MOVE_WAITING:
	case DOC_MOVE_RUNNING:
	case DOC_MOVE_SOAKING:
		return mv_get_evaluated_share(move->evaluation, now_ms);
	case DOC_MOVE_DONE:
		return DOC_SHARE_ALL_PERMILLE;
	case DOC_MOVE_TAKEN_BACK:
		return 0;
	}
	return 0;
}

static void evaluate_move(struct nd_node *node, struct nd_move *move,
			  uint64_t now_ms)
{
	const struct mem_member *members;
	size_t member_count;

	if (nd_has_move_ended(move)) {
		if (!nd_has_state_ended(move->stored_state))
			request_state(node, move, move->request.state, now_ms);
		return;
	}
	member_count = mem_list_members(node->members, &members);
	mv_set_target_count(move->evaluation,
			    nd_count_targets(members, member_count,
					     move->request.service,
					     move->request.to));
	report_move(node, move, now_ms);
	log_step(node, move, now_ms);
	switch (mv_evaluate_calls(move->evaluation,
				  get_own_rank(node, move->request.service),
				  now_ms)) {
	case MV_RAMP_TAKE_BACK:
		request_state(node, move, DOC_MOVE_TAKEN_BACK, now_ms);
		break;
	case MV_RAMP_FINISH:
		if (get_own_rank(node, move->request.service) < FINISHERS)
			request_state(node, move, DOC_MOVE_DONE, now_ms);
		break;
	case MV_RAMP_CONTINUE:
		if (move->request.state == DOC_MOVE_NONE)
			request_state(node, move, DOC_MOVE_RUNNING, now_ms);
		break;
	}
}

bool nd_update_share(struct nd_move *move, uint64_t now_ms)
{
	uint32_t share_permille = get_share(move, now_ms);
	struct mv_turn turn = { .count = 1 };

	if (!nd_has_move_ended(move))
		turn = mv_get_evaluated_turn(move->evaluation, now_ms);
	if (share_permille == move->share_permille &&
	    turn.index == move->turn.index && turn.count == move->turn.count)
		return false;
	move->share_permille = share_permille;
	move->turn = turn;
	return true;
}

static int destroy_move(struct nd_move *move)
{
	json_decref(move->unreported);
	return 0;
}

static void free_move(gpointer data)
{
	talloc_free(data);
}

struct nd_move *nd_new_move(struct nd_node *node,
			    const struct nd_move_request *request)
{
	struct nd_move *move = talloc_zero(node, struct nd_move);

	move->request = *request;
	move->stored_state = request->state;
	move->request.service = talloc_strdup(move, request->service);
	move->request.to = talloc_strdup(move, request->to);
	move->limits = mv_get_ramp_limits(
		request->limit_ms, node->settings->move_exposure_permille);
	move->evaluation = mv_new_evaluation(move, request->to, &move->limits,
					     tmr_get_now_ms(node->timers));
	move->unreported = json_array();
	talloc_set_destructor(move, destroy_move);
	return move;
}

/*
 * Returns the move that a report or its answer names, or NULL. An order that
 * was changed to another version keeps its id.
 */
static struct nd_move *find_move(struct nd_node *node, const json_t *named)
{
	const char *service =
		json_string_value(json_object_get(named, "service"));
	const char *to = json_string_value(json_object_get(named, "to"));
	json_int_t id = json_integer_value(json_object_get(named, "id"));
	struct nd_move *move = NULL;

	if (service && to)
		move = g_hash_table_lookup(node->gateway.moves, service);
	if (!move || move->request.id != (uint64_t)id ||
	    strcmp(move->request.to, to) != 0)
		return NULL;
	return move;
}

/*
 * Handles what an evaluator tells of a move; returns whether a share changed.
 * A stop lowers the share at once: the state in the store may take long when
 * the store is out.
 */
static bool handle_told(struct nd_node *node, const json_t *value)
{
	struct nd_move *move = find_move(node, value);
	uint64_t now_ms = tmr_get_now_ms(node->timers);
	struct mv_told told;

	if (!move || !nd_read_told(value, &told))
		return false;
	if (mv_handle_told(move->evaluation,
			   get_own_rank(node, move->request.service), &told,
			   now_ms))
		log_write(LOG_LEVEL_INFO, "node", "stop move", NULL,
			  "another node has found the version bad", "service",
			  move->request.service, "to", move->request.to,
			  LOG_END);
	return nd_update_share(move, now_ms);
}

static void handle_report_answer(const json_t *answer, void *data)
{
	struct nd_node *node = data;
	const json_t *told;
	bool is_changed = false;
	size_t i;

	json_array_foreach(json_object_get(answer, "moves"), i, told)
	{
		is_changed |= handle_told(node, told);
	}
	if (is_changed)
		nd_build_snapshot(&node->gateway);
}

void nd_record_gateway_sample(struct nd_node *node,
			      const struct tr_sample *sample)
{
	uint64_t now_ms = tmr_get_now_ms(node->timers);
	struct nd_move *move;

	if (!node->gateway.moves || sample->counts.calls == 0)
		return;
	move = g_hash_table_lookup(node->gateway.moves, sample->service);
	if (!move || nd_has_move_ended(move))
		return;
	mv_record_own_counts(move->evaluation, sample->version, sample->route,
			     &sample->counts, now_ms);
	json_array_append_new(move->unreported,
			      json_pack("[s,s,o]", sample->version,
					sample->route,
					mv_format_counts(&sample->counts)));
}

static void record_series(struct nd_move *move, const json_t *series,
			  uint64_t now_ms)
{
	const char *version = json_string_value(json_array_get(series, 0));
	const char *route = json_string_value(json_array_get(series, 1));
	struct mv_counts counts;

	if (version && route &&
	    mv_parse_counts(json_array_get(series, 2), &counts))
		mv_record_reported_counts(move->evaluation, version, route,
					  &counts, now_ms);
}

/* Returns what this evaluator tells of a move, as new JSON. */
static json_t *make_told(struct nd_node *node, struct nd_move *move)
{
	struct mv_told told;
	json_t *value;

	mv_get_told(move->evaluation, get_own_rank(node, move->request.service),
		    tmr_get_now_ms(node->timers), &told);
	value = nd_format_told(&told);
	json_object_set_new(value, "service",
			    json_string(move->request.service));
	json_object_set_new(value, "to", json_string(move->request.to));
	json_object_set_new(value, "id",
			    json_integer((json_int_t)move->request.id));
	return value;
}

/* Adds a report's counts, and what is known of its move to told. */
static void apply_report(struct nd_node *node, const json_t *report,
			 json_t *told)
{
	struct nd_move *move = find_move(node, report);
	uint64_t now_ms = tmr_get_now_ms(node->timers);
	struct mv_ramp_progress progress;
	const json_t *series;
	size_t i;

	if (!move)
		return;
	if (nd_read_progress(json_object_get(report, "progress"), &progress))
		mv_record_reported_progress(move->evaluation, &progress,
					    now_ms);
	json_array_foreach(json_object_get(report, "series"), i, series)
	{
		record_series(move, series, now_ms);
	}
	if (is_evaluator(node, move->request.service))
		json_array_append_new(told, make_told(node, move));
}

json_t *nd_apply_reports(struct nd_node *node, const json_t *body)
{
	json_t *told = json_array();
	const json_t *report;
	size_t i;

	json_array_foreach(json_object_get(body, "reports"), i, report)
	{
		apply_report(node, report, told);
	}
	return json_pack("{s:o}", "moves", told);
}

const char *nd_get_version_class(const struct nd_node *node,
				 const char *service, const char *version)
{
	const struct nd_move *move;

	if (node->settings->source != ND_SOURCE_GATEWAY)
		return version;
	move = g_hash_table_lookup(node->gateway.moves, service);
	if (move && strcmp(move->request.to, version) == 0)
		return move->request.to;
	if (nd_is_withdrawn(node->gateway.withdrawn, service, version))
		return version;
	return DOC_VERSION_ANY;
}

size_t nd_list_moves(struct nd_node *node, TALLOC_CTX *ctx,
		     struct doc_gateway_move **moves)
{
	GHashTableIter iter;
	gpointer value;
	size_t count = 0;

	*moves = talloc_zero_array(ctx, struct doc_gateway_move,
				   g_hash_table_size(node->gateway.moves));
	g_hash_table_iter_init(&iter, node->gateway.moves);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		fill_move(value, &(*moves)[count++]);
	return count;
}

bool nd_update_moves(struct nd_node *node)
{
	uint64_t now_ms = tmr_get_now_ms(node->timers);
	bool is_changed = false;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->gateway.moves);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		evaluate_move(node, value, now_ms);
		is_changed |= nd_update_share(value, now_ms);
	}
	rls_send_reports(node->gateway.reports, false);
	return is_changed;
}

bool nd_has_active_move(const struct nd_node *node)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->gateway.moves);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!nd_has_move_ended(value))
			return true;
	}
	return false;
}

bool nd_open_moves(struct nd_node *node, GError **error)
{
	struct rls_options options = { .events = node->events,
				       .counters = node->counters };

	node->gateway.reports = rls_new_reports(
		node, &options, handle_report_answer, node, error);
	if (!node->gateway.reports)
		return false;
	node->gateway.moves =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_move);
	node->gateway.withdrawn = nd_new_withdrawn();
	node->gateway.moves_reversion = nd_new_reversion(node);
	return true;
}
