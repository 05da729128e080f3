/*
 * Counts of calls in JSON, for reports between nodes.
 */
#include <string.h>
#include "loom/moves.h"

json_t *mv_format_counts(const struct mv_counts *counts)
{
	json_t *array = json_array();

	json_array_append_new(array, json_integer(counts->calls));
	json_array_append_new(array, json_integer(counts->failed));
	for (uint32_t i = 0; i < MV_LATENCY_BUCKETS; i++)
		json_array_append_new(array, json_integer(counts->latency[i]));
	return array;
}

bool mv_parse_counts(const json_t *value, struct mv_counts *counts)
{
	uint64_t good = 0;

	memset(counts, 0, sizeof(*counts));
	if (json_array_size(value) != 2 + MV_LATENCY_BUCKETS)
		return false;
	for (size_t i = 0; i < json_array_size(value); i++) {
		const json_t *item = json_array_get(value, i);
		json_int_t number = json_integer_value(item);

		if (!json_is_integer(item) || number < 0 ||
		    number > MV_COUNT_MAX)
			return false;
		if (i == 0)
			counts->calls = (uint32_t)number;
		else if (i == 1)
			counts->failed = (uint32_t)number;
		else
			counts->latency[i - 2] = (uint32_t)number;
		if (i > 1)
			good += (uint64_t)number;
	}
	return good + counts->failed <= counts->calls;
}
