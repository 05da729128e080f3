/*
 * Parser of the move of a service document.
 *
 * The shares of the steps increase strictly, from at most
 * FIRST_STEP_MAX_PERMILLE to all of the traffic.
 */
#include <string.h>
#include "parse.h"

#define STEPS_MAX 32U
#define PERMILLE_PER_PERCENT 10U
/* An untested version gets at most 5 percent of the calls at first. */
#define FIRST_STEP_MAX_PERMILLE 50U
#define MS_PER_S 1000U

static const struct doc_move_thresholds default_thresholds = {
	.error_permille = 10,
	.latency_factor_permille = 1500,
	.soak_ms = 600 * MS_PER_S,
};

static const struct rd_range steps_range = { 1, STEPS_MAX };
static const struct rd_range soak_range = { 0, 7 * 24 * 3600 };
static const struct rd_decimal step_percent = {
	.units_per_whole = PERMILLE_PER_PERCENT,
	.min_units = 1,
	.max_units = DOC_SHARE_ALL_PERMILLE,
};
static const struct rd_decimal error_percent = {
	.units_per_whole = PERMILLE_PER_PERCENT,
	.min_units = 1,
	.max_units = 500,
};
static const struct rd_decimal latency_factor = {
	.units_per_whole = 1000,
	.min_units = 1010,
	.max_units = 100000,
};

static void read_version(struct rd_object *object, const char *name,
			 const struct doc_service *service,
			 const char **version)
{
	if (!rd_read_label(object, name, RD_REQUIRED, version))
		return;
	if (service->versions &&
	    !doc_list_contains(service->versions, *version))
		rd_add_problem(object, name,
			       "got \"%s\", wanted one of \"versions\"",
			       *version);
}

static void read_move_versions(struct rd_object *object,
			       struct doc_service *service,
			       struct doc_move *move)
{
	read_version(object, "from", service, &move->from);
	read_version(object, "to", service, &move->to);
	if (!move->from || !move->to)
		return;
	if (strcmp(move->from, move->to) == 0)
		rd_add_problem(object, "to",
			       "got \"%s\", wanted another version than "
			       "\"from\"",
			       move->to);
	if (service->current && strcmp(service->current, move->from) != 0 &&
	    strcmp(service->current, move->to) != 0)
		rd_add_problem(object, "",
			       "\"current\" is \"%s\", wanted it to be \"%s\" "
			       "or \"%s\"",
			       service->current, move->from, move->to);
}

static void read_times(struct rd_object *object, struct doc_move *move)
{
	bool has_start =
		rd_read_time(object, "start", RD_REQUIRED, &move->start_ms);
	bool has_finish = rd_read_time(object, "finish_by", RD_REQUIRED,
				       &move->finish_by_ms);

	if (has_start && has_finish && move->finish_by_ms <= move->start_ms)
		rd_add_problem(object, "finish_by",
			       "got a time that is not after \"start\", wanted "
			       "a later one");
}

static void check_steps(struct rd_object *object, const uint32_t *shares,
			size_t count)
{
	if (shares[0] > FIRST_STEP_MAX_PERMILLE)
		rd_add_problem(
			object, "steps_percent[0]", "got %g, wanted at most %g",
			shares[0] / (double)PERMILLE_PER_PERCENT,
			FIRST_STEP_MAX_PERMILLE / (double)PERMILLE_PER_PERCENT);
	if (shares[count - 1] != DOC_SHARE_ALL_PERMILLE)
		rd_add_problem(object, "steps_percent",
			       "got %g as the last step, wanted 100",
			       shares[count - 1] /
				       (double)PERMILLE_PER_PERCENT);
	for (size_t i = 1; i < count; i++) {
		if (shares[i] <= shares[i - 1])
			rd_add_problem(object, "steps_percent",
				       "got step %zu not above the one before, "
				       "wanted rising steps",
				       i);
	}
}

static void read_steps(TALLOC_CTX *ctx, struct rd_object *object,
		       struct doc_move *move)
{
	bool is_valid = true;
	uint32_t *shares;
	size_t count;

	if (!rd_read_array(object, "steps_percent", RD_REQUIRED, &steps_range,
			   &count))
		return;
	shares = talloc_zero_array(ctx, uint32_t, count);
	for (size_t i = 0; i < count; i++)
		is_valid = rd_read_decimal_item(object, "steps_percent", i,
						&step_percent, &shares[i]) &&
			   is_valid;
	if (is_valid)
		check_steps(object, shares, count);
	move->step_shares_permille = shares;
	move->step_count = count;
}

static void read_thresholds(struct rd_object *object,
			    struct doc_move_thresholds *thresholds)
{
	struct rd_object *field;
	uint32_t soak_s;

	*thresholds = default_thresholds;
	if (rd_read_uint32(object, "soak_s", RD_OPTIONAL, &soak_range, &soak_s))
		thresholds->soak_ms = soak_s * MS_PER_S;
	field = rd_open_field(object, "judged_on", RD_OPTIONAL);
	if (!field)
		return;
	rd_read_decimal(field, "error_percent", RD_OPTIONAL, &error_percent,
			&thresholds->error_permille);
	rd_read_decimal(field, "latency_factor", RD_OPTIONAL, &latency_factor,
			&thresholds->latency_factor_permille);
	rd_close_object(field);
}

void doc_read_move(struct rd_object *object, struct doc_service *service)
{
	struct rd_object *field;
	struct doc_move *move;

	field = rd_open_field(object, "move", RD_OPTIONAL);
	if (!field)
		return;
	move = talloc_zero(service, struct doc_move);
	read_move_versions(field, service, move);
	read_times(field, move);
	read_steps(move, field, move);
	read_thresholds(field, &move->judgement);
	rd_close_object(field);
	service->move = move;
}
