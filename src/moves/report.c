/*
 * Encoder and decoder of the reports that nodes send to the lease holder of a
 * service.
 *
 * A report is validated completely before any part of it is merged, so that a
 * malformed report leaves the window unchanged.
 */
#include "window.h"

#include <inttypes.h>
#include <string.h>
#include "loom/error.h"

#define REPORT_STEP "merge report"
#define REPORT_SERIES_MAX 2048U
#define REPORT_AHEAD_SLOTS 2U /* difference allowed between clocks */
#define SERIES_FIELD_COUNT 9U
#define SERIES_COUNTS_FIRST 3U
#define SERIES_COUNTS_LAST 7U

struct report_builder {
	json_t *series;
};

static json_t *format_buckets(const struct mv_counts *counts)
{
	json_t *buckets = json_array();

	for (uint32_t i = 0; i < MV_LATENCY_BUCKETS; i++) {
		if (counts->latency[i] == 0)
			continue;
		json_array_append_new(buckets, json_integer(i));
		json_array_append_new(buckets,
				      json_integer(counts->latency[i]));
	}
	return buckets;
}

static void append_series(const struct mv_series_key *key,
			  const struct mv_counts *counts, void *data)
{
	struct report_builder *builder = data;

	json_array_append_new(
		builder->series,
		json_pack("[s, s, s, I, I, I, I, I, o]", key->version,
			  key->route, key->target, (json_int_t)counts->calls,
			  (json_int_t)counts->failed, (json_int_t)counts->cold,
			  (json_int_t)counts->refused, (json_int_t)counts->lost,
			  format_buckets(counts)));
}

static bool parse_count(const json_t *value, uint32_t *count)
{
	json_int_t number = json_integer_value(value);

	if (!json_is_integer(value) || number < 0 || number > MV_COUNT_MAX)
		return false;
	*count = (uint32_t)number;
	return true;
}

static bool parse_name(const json_t *value, const char **name)
{
	*name = json_string_value(value);
	return *name && strlen(*name) < MV_NAME_SIZE;
}

static bool parse_buckets(const json_t *value, struct mv_counts *counts)
{
	size_t size = json_array_size(value);

	if (!json_is_array(value) || size % 2 != 0 ||
	    size > (size_t)2 * MV_LATENCY_BUCKETS)
		return false;
	for (size_t i = 0; i < size; i += 2) {
		uint32_t bucket;

		if (!parse_count(json_array_get(value, i), &bucket) ||
		    bucket >= MV_LATENCY_BUCKETS ||
		    counts->latency[bucket] != 0 ||
		    !parse_count(json_array_get(value, i + 1),
				 &counts->latency[bucket]))
			return false;
	}
	return true;
}

static bool are_counts_consistent(const struct mv_counts *counts)
{
	uint64_t good = 0;

	for (uint32_t i = 0; i < MV_LATENCY_BUCKETS; i++)
		good += counts->latency[i];
	return counts->failed <= counts->calls &&
	       good == counts->calls - counts->failed;
}

static bool parse_series(const json_t *value, struct mv_series_key *key,
			 struct mv_counts *counts)
{
	uint32_t *fields[] = { &counts->calls, &counts->failed, &counts->cold,
			       &counts->refused, &counts->lost };

	memset(counts, 0, sizeof(*counts));
	if (json_array_size(value) != SERIES_FIELD_COUNT ||
	    !parse_name(json_array_get(value, 0), &key->version) ||
	    !parse_name(json_array_get(value, 1), &key->route) ||
	    !parse_name(json_array_get(value, 2), &key->target))
		return false;
	for (size_t i = SERIES_COUNTS_FIRST; i <= SERIES_COUNTS_LAST; i++)
		if (!parse_count(json_array_get(value, i),
				 fields[i - SERIES_COUNTS_FIRST]))
			return false;
	return parse_buckets(json_array_get(value, SERIES_FIELD_COUNT - 1),
			     counts) &&
	       are_counts_consistent(counts);
}

static bool check_series(const json_t *list, const char *node, GError **error)
{
	struct mv_counts counts;
	struct mv_series_key key;

	if (!json_is_array(list) || json_array_size(list) > REPORT_SERIES_MAX) {
		err_set(error, ERR_INVALID_MESSAGE, REPORT_STEP, node,
			"series: wanted an array of at most %u series",
			REPORT_SERIES_MAX);
		return false;
	}
	for (size_t i = 0; i < json_array_size(list); i++) {
		if (parse_series(json_array_get(list, i), &key, &counts))
			continue;
		err_set(error, ERR_INVALID_MESSAGE, REPORT_STEP, node,
			"series[%zu]: wanted [version, route, target, calls, "
			"failed, cold, refused, lost, [bucket, count, ...]] "
			"with calls = failed + sum of the buckets",
			i);
		return false;
	}
	return true;
}

static bool check_slot(const json_t *value, const char *node, uint64_t now_ms,
		       GError **error)
{
	uint64_t last = mv_get_slot(now_ms) + REPORT_AHEAD_SLOTS;
	json_int_t slot = json_integer_value(value);

	if (json_is_integer(value) && slot >= 0 && (uint64_t)slot <= last)
		return true;
	err_set(error, ERR_INVALID_MESSAGE, REPORT_STEP, node,
		"slot: got %" JSON_INTEGER_FORMAT ", wanted 0 to %" PRIu64,
		slot, last);
	return false;
}

static bool check_service(const struct mv_window *window, const json_t *value,
			  const char *node, GError **error)
{
	const char *expected = mv_get_window_service(window);
	const char *service = json_string_value(value);

	if (service && strcmp(service, expected) == 0)
		return true;
	err_set(error, ERR_INVALID_MESSAGE, REPORT_STEP, node,
		"service: got %s, wanted %s", service ? service : "no string",
		expected);
	return false;
}

json_t *mv_format_report(const struct mv_window *window, const char *node,
			 uint64_t slot)
{
	struct report_builder builder = { .series = json_array() };

	mv_each_series(window, slot, append_series, &builder);
	return json_pack("{s: s, s: s, s: I, s: o}", "service",
			 mv_get_window_service(window), "node", node, "slot",
			 (json_int_t)slot, "series", builder.series);
}

bool mv_merge_report(struct mv_window *window, const json_t *report,
		     uint64_t now_ms, GError **error)
{
	const json_t *list = json_object_get(report, "series");
	const json_t *slot = json_object_get(report, "slot");
	struct mv_counts counts;
	struct mv_series_key key;
	const char *node;
	uint64_t number;

	if (!parse_name(json_object_get(report, "node"), &node)) {
		err_set(error, ERR_INVALID_MESSAGE, REPORT_STEP, NULL,
			"node: wanted a string of less than %u bytes",
			MV_NAME_SIZE);
		return false;
	}
	if (!check_service(window, json_object_get(report, "service"), node,
			   error) ||
	    !check_slot(slot, node, now_ms, error) ||
	    !check_series(list, node, error))
		return false;
	number = (uint64_t)json_integer_value(slot);
	if (!mv_add_reporter(window, number, node))
		return true;
	for (size_t i = 0; i < json_array_size(list); i++) {
		parse_series(json_array_get(list, i), &key, &counts);
		mv_record_counts(window, number, &key, &counts);
	}
	return true;
}
