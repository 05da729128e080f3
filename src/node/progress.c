/*
 * Progress of a ramp in JSON.
 */
#include "progress.h"

json_t *nd_format_progress(const struct mv_ramp_progress *progress)
{
	return json_pack("{s:I,s:I,s:I,s:I,s:I,s:b}", "step",
			 (json_int_t)progress->step, "share",
			 (json_int_t)progress->share_permille, "age_ms",
			 (json_int_t)progress->age_ms, "step_age_ms",
			 (json_int_t)progress->step_age_ms, "turns",
			 (json_int_t)progress->turn_count, "is_passed",
			 (int)progress->is_passed);
}

static bool read_number(const json_t *object, const char *name,
			uint32_t *number)
{
	const json_t *value = json_object_get(object, name);
	json_int_t read = json_integer_value(value);

	if (!json_is_integer(value) || read < 0 || read > INT32_MAX)
		return false;
	*number = (uint32_t)read;
	return true;
}

bool nd_read_progress(const json_t *told, struct mv_ramp_progress *progress)
{
	progress->is_passed = json_is_true(json_object_get(told, "is_passed"));
	return read_number(told, "step", &progress->step) &&
	       read_number(told, "share", &progress->share_permille) &&
	       read_number(told, "age_ms", &progress->age_ms) &&
	       read_number(told, "step_age_ms", &progress->step_age_ms) &&
	       read_number(told, "turns", &progress->turn_count) &&
	       progress->share_permille <= DOC_SHARE_ALL_PERMILLE &&
	       progress->step_age_ms <= progress->age_ms;
}

json_t *nd_format_told(const struct mv_told *told)
{
	json_t *value = nd_format_progress(&told->progress);

	json_object_set_new(value, "rank", json_integer(told->rank));
	json_object_set_new(value, "is_stopped",
			    json_boolean(told->is_stopped));
	return value;
}

bool nd_read_told(const json_t *value, struct mv_told *told)
{
	told->is_stopped = json_is_true(json_object_get(value, "is_stopped"));
	return read_number(value, "rank", &told->rank) &&
	       nd_read_progress(value, &told->progress);
}
