/*
 * Typed reading of JSON: each function reads one field of an object and checks
 * its type and range. When the field is invalid, the function adds a problem
 * with the path of the field. Used for service documents, manifests and
 * settings.
 *
 * The caller opens an object, reads its fields and closes it. Closing reports
 * the fields that were not read as unknown:
 *
 *	object = rd_open_object(ctx, json, file, list);
 *	if (!object)
 *		return;
 *	rd_read_uint32(object, "timeout_ms", RD_REQUIRED, &range, &timeout_ms);
 *	rd_close_object(object);
 *
 * An invalid or absent value leaves its destination unchanged, so the caller
 * sets the default there before reading.
 */
#ifndef LOOM_READER_H
#define LOOM_READER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <jansson.h>
#include <talloc.h>
#include "loom/problem.h"

/* Maximum length of the name of a service, version, route or failure domain. */
#define RD_LABEL_BYTES_MAX 63U

enum rd_need {
	RD_REQUIRED,
	RD_OPTIONAL,
};

/* Inclusive bounds of an integer, a string's bytes or an array's item count. */
struct rd_range {
	uint64_t min;
	uint64_t max;
};

/*
 * A decimal number stored as an integer count of units: 99.9 with 10 units per
 * whole is 999. A number that is not a whole count of units, such as 99.95
 * here, is invalid. The bounds are in units and inclusive.
 */
struct rd_decimal {
	uint32_t units_per_whole;
	uint32_t min_units;
	uint32_t max_units;
};

struct rd_object;

/* Returns about how many bytes the values of a JSON text take when parsed. */
size_t rd_estimate_tree_bytes(const char *text, size_t size);

/*
 * Parses a JSON text from another process, like json_loadb(); a text whose
 * values would take too much memory is an error.
 */
json_t *rd_load_json(const char *text, size_t size, size_t flags,
		     json_error_t *error);

/*
 * Parses a JSON text of at most max_bytes. Rejects duplicate fields and a value
 * other than an object or array. Returns a new reference, or NULL after adding
 * a problem, which gives line and column for a syntax error.
 */
json_t *rd_parse_text(const char *file, const char *text, size_t size,
		      size_t max_bytes, struct prob_list *list);

/*
 * Opens the outermost object of a text. Returns a new reader owned by ctx, or
 * NULL after adding a problem. The reader borrows json and list. Strings read
 * through it are owned by ctx.
 */
struct rd_object *rd_open_object(TALLOC_CTX *ctx, const json_t *json,
				 const char *file, struct prob_list *list);

/*
 * Opens a field that is an object. Returns a new reader owned by object, or
 * NULL when the field is absent or invalid.
 */
struct rd_object *rd_open_field(struct rd_object *object, const char *name,
				enum rd_need need);

/*
 * Opens the object at index of an array field whose size rd_read_array() has
 * returned. Returns a new reader owned by object, or NULL after adding a
 * problem.
 */
struct rd_object *rd_open_item(struct rd_object *object, const char *name,
			       size_t index);

/* Reports the fields that were not read as unknown, and frees the reader. */
void rd_close_object(struct rd_object *object);

/* Returns whether the object has the field; does not count as reading it. */
bool rd_has_field(const struct rd_object *object, const char *name);

/* Adds a problem for a field; an empty name means the object itself. */
void rd_add_problem(struct rd_object *object, const char *name,
		    const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/* Each rd_read_ function returns whether it stored a valid value. */
bool rd_read_uint32(struct rd_object *object, const char *name,
		    enum rd_need need, const struct rd_range *range,
		    uint32_t *value);
bool rd_read_uint64(struct rd_object *object, const char *name,
		    enum rd_need need, const struct rd_range *range,
		    uint64_t *value);
bool rd_read_decimal(struct rd_object *object, const char *name,
		     enum rd_need need, const struct rd_decimal *decimal,
		     uint32_t *value);
bool rd_read_bool(struct rd_object *object, const char *name, enum rd_need need,
		  bool *value);

/* Reads a string of range bytes; the copy is owned by the reader's ctx. */
bool rd_read_text(struct rd_object *object, const char *name, enum rd_need need,
		  const struct rd_range *range, const char **value);

/*
 * Reads a name of 1 to 63 lower-case letters, digits and inner hyphens; the
 * copy is owned by the reader's ctx.
 */
bool rd_read_label(struct rd_object *object, const char *name,
		   enum rd_need need, const char **value);

/* Reads a UTC time, such as "2026-12-04T10:00:00Z", in ms since 1970. */
bool rd_read_time(struct rd_object *object, const char *name, enum rd_need need,
		  uint64_t *value_ms);

/* Stores the item count of an array field, if it is within count_range. */
bool rd_read_array(struct rd_object *object, const char *name,
		   enum rd_need need, const struct rd_range *count_range,
		   size_t *count);

/* Reads the item at index of an array field as a string or decimal number. */
bool rd_read_text_item(struct rd_object *object, const char *name, size_t index,
		       const struct rd_range *range, const char **value);
bool rd_read_decimal_item(struct rd_object *object, const char *name,
			  size_t index, const struct rd_decimal *decimal,
			  uint32_t *value);

/*
 * Reads an array of distinct names. The result is NULL-terminated and owned by
 * the reader's ctx.
 */
bool rd_read_labels(struct rd_object *object, const char *name,
		    enum rd_need need, const struct rd_range *count_range,
		    const char *const **labels);

/* Returns whether text is a name that rd_read_label() accepts. */
bool rd_is_label(const char *text);

#endif
