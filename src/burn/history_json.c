/*
 * Conversion of a history to and from JSON: {"since_ms","now_ms","series":
 * [{"service","version","failure_domain","fine":[[slot,calls,failed,slow],...],
 * "coarse":[...]}]}. Slots without calls are omitted.
 */
#include "history.h"

#include "loom/error.h"

#define STEP "merge history"

static json_t *format_ring(const struct burn_ring *ring, uint64_t now_ms)
{
	uint64_t last = burn_get_slot_number(ring, now_ms);
	json_t *slots = json_array();

	for (uint64_t i = last >= ring->size ? last - ring->size + 1 : 0;
	     i <= last; i++) {
		const struct burn_slot *slot = burn_find_slot(ring, i);

		if (!slot || slot->calls == 0)
			continue;
		json_array_append_new(slots,
				      json_pack("[I,I,I,I]", (json_int_t)i,
						(json_int_t)slot->calls,
						(json_int_t)slot->failed,
						(json_int_t)slot->slow));
	}
	return slots;
}

struct format_context {
	const struct burn_history *history;
	const char *service;
	uint64_t now_ms;
	json_t *list;
};

static void format_series(const struct burn_key *key, void *data)
{
	struct format_context *context = data;
	struct burn_key filter = { .service = context->service };
	const struct burn_series *series =
		g_hash_table_lookup(context->history->series, key);

	if (!burn_matches_filter(&filter, key))
		return;
	json_array_append_new(
		context->list,
		json_pack("{s:s,s:s,s:s,s:o,s:o}", "service", key->service,
			  "version", key->version, "failure_domain",
			  key->failure_domain, "fine",
			  format_ring(&series->fine, context->now_ms), "coarse",
			  format_ring(&series->coarse, context->now_ms)));
}

json_t *burn_format_history(const struct burn_history *history,
			    const char *service, uint64_t now_ms)
{
	struct format_context context = { .history = history,
					  .service = service,
					  .now_ms = now_ms,
					  .list = json_array() };

	burn_for_each_series(history, format_series, &context);
	return json_pack("{s:I,s:I,s:o}", "since_ms",
			 (json_int_t)history->since_ms, "now_ms",
			 (json_int_t)now_ms, "series", context.list);
}

/* Reads [slot, calls, failed, slow], where failed + slow is at most calls. */
static bool read_slot(json_t *json, uint64_t *number,
		      struct burn_counts *counts)
{
	json_int_t slot;
	json_int_t calls;
	json_int_t failed;
	json_int_t slow;

	if (json_unpack(json, "[I,I,I,I!]", &slot, &calls, &failed, &slow) ||
	    slot < 0 || failed < 0 || slow < 0 || calls > UINT32_MAX ||
	    failed > calls || slow > calls - failed)
		return false;
	*number = (uint64_t)slot;
	*counts = (struct burn_counts){ .calls = (uint64_t)calls,
					.failed = (uint64_t)failed,
					.slow = (uint64_t)slow };
	return true;
}

/*
 * Adds the slots to ring, except those after now_ms, or only validates them
 * when ring is NULL.
 */
static bool read_slots(const json_t *slots, struct burn_ring *ring,
		       uint64_t now_ms)
{
	size_t index;
	json_t *json;

	json_array_foreach(slots, index, json)
	{
		struct burn_counts counts;
		uint64_t number;

		if (!read_slot(json, &number, &counts))
			return false;
		if (ring && number <= burn_get_slot_number(ring, now_ms))
			burn_add_to_ring(ring, number, &counts);
	}
	return json_is_array(slots);
}

static bool read_series(struct burn_history *history, json_t *json,
			bool is_check_only, uint64_t now_ms)
{
	struct burn_series *series;
	struct burn_key key;
	json_t *fine;
	json_t *coarse;

	if (json_unpack(json, "{s:s,s:s,s:s,s:o,s:o}", "service", &key.service,
			"version", &key.version, "failure_domain",
			&key.failure_domain, "fine", &fine, "coarse", &coarse))
		return false;
	if (is_check_only)
		return read_slots(fine, NULL, 0) && read_slots(coarse, NULL, 0);
	series = burn_get_series(history, &key);
	return read_slots(fine, &series->fine, now_ms) &&
	       read_slots(coarse, &series->coarse, now_ms);
}

bool burn_merge_history(struct burn_history *history, const json_t *json,
			uint64_t now_ms, GError **error)
{
	const json_t *since = json_object_get(json, "since_ms");
	const json_t *list = json_object_get(json, "series");
	size_t index;
	json_t *item;

	if (!json_is_integer(since) || json_integer_value(since) < 0 ||
	    !json_is_array(list)) {
		err_set(error, ERR_INVALID_MESSAGE, STEP, NULL,
			"got no since_ms or no series, wanted a history");
		return false;
	}
	json_array_foreach(list, index, item)
	{
		if (read_series(history, item, true, now_ms))
			continue;
		err_set(error, ERR_INVALID_MESSAGE, STEP, NULL,
			"series[%zu] is invalid, wanted its names and "
			"slots [number, calls, failed, slow]",
			index);
		return false;
	}
	json_array_foreach(list, index, item)
		read_series(history, item, false, now_ms);
	if ((uint64_t)json_integer_value(since) < history->since_ms)
		history->since_ms = (uint64_t)json_integer_value(since);
	return true;
}
