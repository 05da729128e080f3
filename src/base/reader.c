/*
 * Typed reading of JSON with jansson.
 *
 * A reader holds a JSON object, its path from the outermost object, and the set
 * of field names that were requested. Closing the reader reports each field of
 * the object whose name is not in that set as unknown, so every valid field
 * must be requested before. Invariants: the path is "" for the outermost
 * object, and ends in "name[index]" for an array item.
 */
#include "loom/reader.h"

#include <assert.h>
#include <inttypes.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

/* A problem quotes at most this much of an invalid value. */
#define RD_SHOWN_BYTES_MAX 60U
/* Rounding error up to which a number counts as a whole number of units. */
#define RD_UNIT_TOLERANCE 1e-6

struct rd_object {
	TALLOC_CTX *ctx; /* owns the strings that are read */
	const json_t *json;
	const char *file;
	const char *path;
	struct prob_list *list;
	GHashTable *requested; /* set of requested field names, borrowed */
};

json_t *rd_parse_text(const char *file, const char *text, size_t size,
		      size_t max_bytes, struct prob_list *list)
{
	json_error_t error;
	json_t *json;

	if (size > max_bytes) {
		prob_add_problem(list, file, "",
				 "got %zu bytes, wanted at most %zu", size,
				 max_bytes);
		return NULL;
	}
	json = rd_load_json(text, size, JSON_REJECT_DUPLICATES, &error);
	if (!json)
		prob_add_problem(list, file, "", "line %d, column %d: %s",
				 error.line, error.column, error.text);
	return json;
}

static int destroy_object(struct rd_object *object)
{
	g_hash_table_destroy(object->requested);
	return 0;
}

static struct rd_object *new_object(TALLOC_CTX *owner, TALLOC_CTX *ctx,
				    const json_t *json, const char *file,
				    const char *path, struct prob_list *list)
{
	struct rd_object *object = talloc_zero(owner, struct rd_object);

	object->ctx = ctx;
	object->json = json;
	object->file = talloc_strdup(object, file);
	object->path = talloc_strdup(object, path);
	object->list = list;
	object->requested = g_hash_table_new(g_str_hash, g_str_equal);
	talloc_set_destructor(object, destroy_object);
	return object;
}

/* Returns the path of a field, new and owned by object. */
static char *make_path(struct rd_object *object, const char *name)
{
	if (!*name)
		return talloc_strdup(object, object->path);
	if (!*object->path)
		return talloc_strdup(object, name);
	return talloc_asprintf(object, "%s.%s", object->path, name);
}

void rd_add_problem(struct rd_object *object, const char *name,
		    const char *format, ...)
{
	char *path = make_path(object, name);
	va_list arguments;

	va_start(arguments, format);
	prob_add_problem_va(object->list, object->file, path, format,
			    arguments);
	va_end(arguments);
	talloc_free(path);
}

/* Returns the JSON of an invalid value (new, for g_free()), cut if too long. */
static char *format_got(const json_t *json)
{
	char *text = json_dumps(json, JSON_ENCODE_ANY | JSON_COMPACT |
					      JSON_ENSURE_ASCII |
					      JSON_REAL_PRECISION(15));
	char *shown;

	if (!text)
		return g_strdup("a value that cannot be printed");
	if (strlen(text) <= RD_SHOWN_BYTES_MAX)
		shown = g_strdup(text);
	else
		shown = g_strdup_printf("%.*s...", (int)RD_SHOWN_BYTES_MAX,
					text);
	free(text);
	return shown;
}

static void add_mismatch(struct rd_object *object, const char *name,
			 const json_t *got, const char *format, ...)
	__attribute__((format(printf, 4, 5)));

/* Reports an invalid field, or a missing one when got is NULL. */
static void add_mismatch(struct rd_object *object, const char *name,
			 const json_t *got, const char *format, ...)
{
	va_list arguments;
	char *wanted;
	char *shown;

	va_start(arguments, format);
	wanted = g_strdup_vprintf(format, arguments);
	va_end(arguments);
	if (got) {
		shown = format_got(got);
		rd_add_problem(object, name, "got %s, wanted %s", shown,
			       wanted);
		g_free(shown);
	} else {
		rd_add_problem(object, name, "is missing, wanted %s", wanted);
	}
	g_free(wanted);
}

/*
 * Records that the field was requested, and stores its value (borrowed) or NULL
 * if it is absent. Returns false if there is nothing to check because the field
 * is absent and optional.
 */
static bool find_field(struct rd_object *object, const char *name,
		       enum rd_need need, const json_t **json)
{
	*json = json_object_get(object->json, name);
	g_hash_table_add(object->requested, (gpointer)name);
	return *json || need == RD_REQUIRED;
}

static const json_t *find_item(const struct rd_object *object, const char *name,
			       size_t index)
{
	return json_array_get(json_object_get(object->json, name), index);
}

static char *make_item_name(struct rd_object *object, const char *name,
			    size_t index)
{
	return talloc_asprintf(object, "%s[%zu]", name, index);
}

struct rd_object *rd_open_object(TALLOC_CTX *ctx, const json_t *json,
				 const char *file, struct prob_list *list)
{
	struct rd_object *object = new_object(ctx, ctx, json, file, "", list);

	if (json_is_object(json))
		return object;
	add_mismatch(object, "", json, "an object");
	talloc_free(object);
	return NULL;
}

static struct rd_object *open_child(struct rd_object *object, const char *name,
				    const json_t *json)
{
	struct rd_object *child;
	char *path;

	if (!json_is_object(json)) {
		add_mismatch(object, name, json, "an object");
		return NULL;
	}
	path = make_path(object, name);
	child = new_object(object, object->ctx, json, object->file, path,
			   object->list);
	talloc_free(path);
	return child;
}

struct rd_object *rd_open_field(struct rd_object *object, const char *name,
				enum rd_need need)
{
	const json_t *json;

	if (!find_field(object, name, need, &json))
		return NULL;
	return open_child(object, name, json);
}

struct rd_object *rd_open_item(struct rd_object *object, const char *name,
			       size_t index)
{
	char *item_name = make_item_name(object, name, index);
	struct rd_object *child;

	child = open_child(object, item_name, find_item(object, name, index));
	talloc_free(item_name);
	return child;
}

void rd_close_object(struct rd_object *object)
{
	const char *name;
	json_t *value;

	json_object_foreach((json_t *)object->json, name, value)
	{
		if (!g_hash_table_contains(object->requested, name))
			rd_add_problem(object, name, "is not a known field");
	}
	talloc_free(object);
}

bool rd_has_field(const struct rd_object *object, const char *name)
{
	return json_object_get(object->json, name) != NULL;
}

bool rd_read_uint64(struct rd_object *object, const char *name,
		    enum rd_need need, const struct rd_range *range,
		    uint64_t *value)
{
	const json_t *json;
	json_int_t got;

	if (!find_field(object, name, need, &json))
		return false;
	got = json_integer_value(json);
	if (!json_is_integer(json) || got < 0 || (uint64_t)got < range->min ||
	    (uint64_t)got > range->max) {
		add_mismatch(object, name, json,
			     "a whole number from %" PRIu64 " to %" PRIu64,
			     range->min, range->max);
		return false;
	}
	*value = (uint64_t)got;
	return true;
}

bool rd_read_uint32(struct rd_object *object, const char *name,
		    enum rd_need need, const struct rd_range *range,
		    uint32_t *value)
{
	uint64_t wide;

	assert(range->max <= UINT32_MAX);
	if (!rd_read_uint64(object, name, need, range, &wide))
		return false;
	*value = (uint32_t)wide;
	return true;
}

static bool read_decimal(struct rd_object *object, const char *name,
			 const json_t *json, const struct rd_decimal *decimal,
			 uint32_t *value)
{
	double per_whole = decimal->units_per_whole;
	double units = json_number_value(json) * per_whole;

	if (!json_is_number(json) || units < decimal->min_units ||
	    units > decimal->max_units ||
	    fabs(units - round(units)) > RD_UNIT_TOLERANCE) {
		add_mismatch(object, name, json,
			     "a number from %g to %g in steps of %g",
			     decimal->min_units / per_whole,
			     decimal->max_units / per_whole, 1 / per_whole);
		return false;
	}
	*value = (uint32_t)lround(units);
	return true;
}

bool rd_read_decimal(struct rd_object *object, const char *name,
		     enum rd_need need, const struct rd_decimal *decimal,
		     uint32_t *value)
{
	const json_t *json;

	return find_field(object, name, need, &json) &&
	       read_decimal(object, name, json, decimal, value);
}

bool rd_read_bool(struct rd_object *object, const char *name, enum rd_need need,
		  bool *value)
{
	const json_t *json;

	if (!find_field(object, name, need, &json))
		return false;
	if (!json_is_boolean(json)) {
		add_mismatch(object, name, json, "true or false");
		return false;
	}
	*value = json_is_true(json);
	return true;
}

static bool read_text(struct rd_object *object, const char *name,
		      const json_t *json, const struct rd_range *range,
		      const char **value)
{
	size_t size = json_string_length(json);

	if (!json_is_string(json) || size < range->min || size > range->max) {
		add_mismatch(object, name, json,
			     "a text of %" PRIu64 " to %" PRIu64 " bytes",
			     range->min, range->max);
		return false;
	}
	*value = talloc_strdup(object->ctx, json_string_value(json));
	return true;
}

bool rd_read_text(struct rd_object *object, const char *name, enum rd_need need,
		  const struct rd_range *range, const char **value)
{
	const json_t *json;

	return find_field(object, name, need, &json) &&
	       read_text(object, name, json, range, value);
}

bool rd_is_label(const char *text)
{
	size_t size = strlen(text);

	if (size == 0 || size > RD_LABEL_BYTES_MAX || text[0] == '-' ||
	    text[size - 1] == '-')
		return false;
	for (const char *at = text; *at; at++) {
		if (!g_ascii_islower(*at) && !g_ascii_isdigit(*at) &&
		    *at != '-')
			return false;
	}
	return true;
}

static bool read_label(struct rd_object *object, const char *name,
		       const json_t *json, const char **value)
{
	if (!json_is_string(json) || !rd_is_label(json_string_value(json))) {
		add_mismatch(object, name, json,
			     "a name of 1 to %u lower-case letters, digits and "
			     "inner hyphens",
			     RD_LABEL_BYTES_MAX);
		return false;
	}
	*value = talloc_strdup(object->ctx, json_string_value(json));
	return true;
}

bool rd_read_label(struct rd_object *object, const char *name,
		   enum rd_need need, const char **value)
{
	const json_t *json;

	return find_field(object, name, need, &json) &&
	       read_label(object, name, json, value);
}

/*
 * Accepts only the form "2026-12-04T10:00:00Z", by formatting the parsed time
 * and comparing; other ISO 8601 forms are rejected.
 */
static bool parse_time(const char *text, uint64_t *value_ms)
{
	GDateTime *time = g_date_time_new_from_iso8601(text, NULL);
	char *formatted;
	bool is_same;

	if (!time)
		return false;
	formatted = g_date_time_format(time, "%Y-%m-%dT%H:%M:%SZ");
	is_same = g_strcmp0(formatted, text) == 0 &&
		  g_date_time_to_unix(time) >= 0;
	if (is_same)
		*value_ms = (uint64_t)g_date_time_to_unix(time) * 1000;
	g_free(formatted);
	g_date_time_unref(time);
	return is_same;
}

bool rd_read_time(struct rd_object *object, const char *name, enum rd_need need,
		  uint64_t *value_ms)
{
	const json_t *json;

	if (!find_field(object, name, need, &json))
		return false;
	if (!json_is_string(json) ||
	    !parse_time(json_string_value(json), value_ms)) {
		add_mismatch(object, name, json,
			     "a UTC time such as \"2026-12-04T10:00:00Z\"");
		return false;
	}
	return true;
}

bool rd_read_array(struct rd_object *object, const char *name,
		   enum rd_need need, const struct rd_range *count_range,
		   size_t *count)
{
	const json_t *json;
	size_t got;

	if (!find_field(object, name, need, &json))
		return false;
	got = json_array_size(json);
	if (!json_is_array(json) || got < count_range->min ||
	    got > count_range->max) {
		add_mismatch(object, name, json,
			     "an array of %" PRIu64 " to %" PRIu64 " items",
			     count_range->min, count_range->max);
		return false;
	}
	*count = got;
	return true;
}

bool rd_read_text_item(struct rd_object *object, const char *name, size_t index,
		       const struct rd_range *range, const char **value)
{
	char *item_name = make_item_name(object, name, index);
	bool is_valid;

	is_valid = read_text(object, item_name, find_item(object, name, index),
			     range, value);
	talloc_free(item_name);
	return is_valid;
}

bool rd_read_decimal_item(struct rd_object *object, const char *name,
			  size_t index, const struct rd_decimal *decimal,
			  uint32_t *value)
{
	char *item_name = make_item_name(object, name, index);
	bool is_valid;

	is_valid = read_decimal(object, item_name,
				find_item(object, name, index), decimal, value);
	talloc_free(item_name);
	return is_valid;
}

static bool read_label_item(struct rd_object *object, const char *name,
			    size_t index, const char **labels)
{
	char *item_name = make_item_name(object, name, index);
	bool is_valid;

	is_valid = read_label(object, item_name, find_item(object, name, index),
			      &labels[index]);
	for (size_t i = 0; is_valid && i < index; i++) {
		if (g_strcmp0(labels[i], labels[index]) == 0) {
			rd_add_problem(object, item_name,
				       "\"%s\" stands twice, first at %s[%zu]",
				       labels[index], name, i);
			is_valid = false;
		}
	}
	talloc_free(item_name);
	return is_valid;
}

bool rd_read_labels(struct rd_object *object, const char *name,
		    enum rd_need need, const struct rd_range *count_range,
		    const char *const **labels)
{
	const char **list;
	bool is_valid = true;
	size_t count;

	if (!rd_read_array(object, name, need, count_range, &count))
		return false;
	list = talloc_zero_array(object->ctx, const char *, count + 1);
	for (size_t i = 0; i < count; i++)
		is_valid = read_label_item(object, name, i, list) && is_valid;
	if (is_valid)
		*labels = list;
	return is_valid;
}
