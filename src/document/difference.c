/*
 * Difference of two documents as text, one line for each changed field.
 *
 * Objects are compared field by field. In arrays of objects that all have a
 * "name", items of the same name are compared, so that a route inserted at the
 * front does not show all others as changed. Other arrays are compared as a
 * whole.
 */
#include <stdlib.h>
#include <string.h>
#include "loom/document.h"

static void add_value_difference(GString *text, const char *path,
				 const json_t *before, const json_t *after);

/* Appends the value as compact JSON. */
static void add_json(GString *text, const json_t *json)
{
	char *dumped = json_dumps(json, JSON_ENCODE_ANY | JSON_COMPACT |
						JSON_REAL_PRECISION(15));

	g_string_append(text, dumped ? dumped : "?");
	free(dumped);
}

static void add_line(GString *text, const char *path, const json_t *before,
		     const json_t *after)
{
	g_string_append_printf(text, "%s: ", path);
	if (!before) {
		g_string_append(text, "added ");
		add_json(text, after);
	} else if (!after) {
		g_string_append(text, "removed ");
		add_json(text, before);
	} else {
		add_json(text, before);
		g_string_append(text, " -> ");
		add_json(text, after);
	}
	g_string_append_c(text, '\n');
}

static const char *get_name(const json_t *item)
{
	return json_string_value(json_object_get(item, "name"));
}

/* Returns whether json is an array of which every item has a name. */
static bool is_named_array(const json_t *json)
{
	if (!json_is_array(json) || json_array_size(json) == 0)
		return false;
	for (size_t i = 0; i < json_array_size(json); i++) {
		if (!get_name(json_array_get(json, i)))
			return false;
	}
	return true;
}

/* Returns the item of an array by its name (borrowed), or NULL. */
static const json_t *find_named(const json_t *array, const char *name)
{
	for (size_t i = 0; i < json_array_size(array); i++) {
		const json_t *item = json_array_get(array, i);

		if (strcmp(get_name(item), name) == 0)
			return item;
	}
	return NULL;
}

static void add_item_difference(GString *text, const char *path,
				const char *name, const json_t *before,
				const json_t *after)
{
	char *item_path = g_strdup_printf("%s[%s]", path, name);

	add_value_difference(text, item_path, before, after);
	g_free(item_path);
}

static void add_array_difference(GString *text, const char *path,
				 const json_t *before, const json_t *after)
{
	for (size_t i = 0; i < json_array_size(before); i++) {
		const json_t *item = json_array_get(before, i);
		const char *name = get_name(item);

		add_item_difference(text, path, name, item,
				    find_named(after, name));
	}
	for (size_t i = 0; i < json_array_size(after); i++) {
		const json_t *item = json_array_get(after, i);
		const char *name = get_name(item);

		if (!find_named(before, name))
			add_item_difference(text, path, name, NULL, item);
	}
}

static void add_field_difference(GString *text, const char *path,
				 const char *name, const json_t *before,
				 const json_t *after)
{
	char *field_path =
		*path ? g_strdup_printf("%s.%s", path, name) : g_strdup(name);

	add_value_difference(text, field_path, before, after);
	g_free(field_path);
}

static void add_object_difference(GString *text, const char *path,
				  const json_t *before, const json_t *after)
{
	const char *name;
	json_t *value;

	json_object_foreach((json_t *)before, name, value)
	{
		add_field_difference(text, path, name, value,
				     json_object_get(after, name));
	}
	json_object_foreach((json_t *)after, name, value)
	{
		if (!json_object_get(before, name))
			add_field_difference(text, path, name, NULL, value);
	}
}

static void add_value_difference(GString *text, const char *path,
				 const json_t *before, const json_t *after)
{
	if (before && after && json_equal(before, after))
		return;
	if (json_is_object(before) && json_is_object(after))
		add_object_difference(text, path, before, after);
	else if (is_named_array(before) && is_named_array(after))
		add_array_difference(text, path, before, after);
	else
		add_line(text, path, before, after);
}

char *doc_format_difference(TALLOC_CTX *ctx, const json_t *before,
			    const json_t *after)
{
	json_t *empty = json_object();
	GString *text = g_string_new(NULL);
	char *result;

	add_value_difference(text, "", before ? before : empty, after);
	result = talloc_strdup(ctx, text->str);
	g_string_free(text, TRUE);
	json_decref(empty);
	return result;
}
