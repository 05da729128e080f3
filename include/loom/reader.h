/*
 * Typed reading of JSON: each function reads one field of an object, checks
 * its type and range, and adds a problem with the path of the field when it is
 * wrong. Used for service documents, manifests and settings.
 *
 * An object is opened, its fields are read, and it is closed, which reports
 * the fields that nothing has read:
 *
 *	object = rd_open_object(ctx, json, file, list);
 *	if (!object)
 *		return;
 *	rd_read_uint32(object, "timeout_ms", RD_REQUIRED, &range, &timeout_ms);
 *	rd_close_object(object);
 *
 * A value that is wrong or absent leaves its destination unchanged, which is
 * how defaults are given.
 */
#ifndef LOOM_READER_H
#define LOOM_READER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <jansson.h>
#include <talloc.h>
#include "loom/problem.h"

/* Longest name of a service, version, route or failure domain. */
#define RD_LABEL_BYTES_MAX 63U

enum rd_need {
	RD_REQUIRED,
	RD_OPTIONAL,
};

/* Inclusive bounds of an integer, a text's bytes or an array's items. */
struct rd_range {
	uint64_t min;
	uint64_t max;
};

/*
 * A decimal number kept as an integer: 99.9 at 10 units a whole is 999. A
 * number with more decimals than the unit holds is refused. The bounds are in
 * units.
 */
struct rd_decimal {
	uint32_t units_per_whole;
	uint32_t min_units;
	uint32_t max_units;
};

struct rd_object;

/*
 * Parses a text of at most max_bytes. Duplicate fields and a value other than
 * an object or array are refused. Returns a new reference, or NULL with a
 * problem that gives line and column.
 */
json_t *rd_parse_text(const char *file, const char *text, size_t size,
		      size_t max_bytes, struct prob_list *list);

/*
 * Opens the outermost object of a text. Returns a new reader owned by ctx that
 * borrows json and list, or NULL with a problem. Texts that are read through
 * it are owned by ctx.
 */
struct rd_object *rd_open_object(TALLOC_CTX *ctx, const json_t *json,
				 const char *file, struct prob_list *list);

/* Opens an object field; NULL when it is absent or wrong. Owned by object. */
struct rd_object *rd_open_field(struct rd_object *object, const char *name,
				enum rd_need need);

/* Opens item index of an array field read by rd_read_array(). */
struct rd_object *rd_open_item(struct rd_object *object, const char *name,
			       size_t index);

/* Reports the fields that were not read, and frees the reader. */
void rd_close_object(struct rd_object *object);

/* Returns whether the object has that field. */
bool rd_has_field(const struct rd_object *object, const char *name);

/* Adds a problem at a field; an empty name means the object itself. */
void rd_add_problem(struct rd_object *object, const char *name,
		    const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/* Each returns whether a right value was stored. */
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

/* Reads a text whose size in bytes is within range; copied, owned by ctx. */
bool rd_read_text(struct rd_object *object, const char *name, enum rd_need need,
		  const struct rd_range *range, const char **value);

/* Reads a name: lower-case letters, digits and inner hyphens, 1 to 63 bytes. */
bool rd_read_label(struct rd_object *object, const char *name,
		   enum rd_need need, const char **value);

/* Reads a time such as "2026-12-04T10:00:00Z" as wall-clock milliseconds. */
bool rd_read_time(struct rd_object *object, const char *name, enum rd_need need,
		  uint64_t *value_ms);

/* Reads an array whose item count is within range. */
bool rd_read_array(struct rd_object *object, const char *name,
		   enum rd_need need, const struct rd_range *count_range,
		   size_t *count);

/* Reads item index of an array field as a text or as a decimal number. */
bool rd_read_text_item(struct rd_object *object, const char *name, size_t index,
		       const struct rd_range *range, const char **value);
bool rd_read_decimal_item(struct rd_object *object, const char *name,
			  size_t index, const struct rd_decimal *decimal,
			  uint32_t *value);

/*
 * Reads an array of names that differ from each other. The result is
 * NULL-terminated and owned by ctx.
 */
bool rd_read_labels(struct rd_object *object, const char *name,
		    enum rd_need need, const struct rd_range *count_range,
		    const char *const **labels);

/* Returns whether text is a name as rd_read_label() wants it. */
bool rd_is_label(const char *text);

#endif
