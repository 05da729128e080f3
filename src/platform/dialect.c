/*
 * The project's own dialect of the object API; see loom/platform.h.
 */
#include <assert.h>
#include <stdlib.h>
#include "loom/platform.h"

static char *escape(TALLOC_CTX *ctx, const char *text)
{
	char *escaped = g_uri_escape_string(text, "/", FALSE);
	char *copy = talloc_strdup(ctx, escaped);

	g_free(escaped);
	return copy;
}

static char *format_value(TALLOC_CTX *ctx, const json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);
	char *copy = talloc_strdup(ctx, text);

	free(text);
	return copy;
}

static void make_message(TALLOC_CTX *ctx, const struct plat_ask *ask,
			 struct plat_message *message)
{
	char *key = escape(ctx, ask->key);

	message->method = "GET";
	message->path = talloc_asprintf(ctx, "/objects/%s", key);
	switch (ask->kind) {
	case PLAT_CALL_GET:
		break;
	case PLAT_CALL_LIST:
		message->path = talloc_asprintf(ctx, "/objects?prefix=%s", key);
		break;
	case PLAT_CALL_WATCH:
		message->path = talloc_asprintf(
			ctx,
			"/watch?prefix=%s&since=%" G_GUINT64_FORMAT
			"&wait_ms=%u",
			key, ask->revision, ask->wait_ms);
		break;
	case PLAT_CALL_PUT:
		message->method = "PUT";
		message->body = format_value(ctx, ask->value);
		break;
	case PLAT_CALL_DELETE:
		message->method = "DELETE";
		break;
	case PLAT_CALL_PUT_STATUS: /* an object has one part here */
	case PLAT_CALL_KIND_COUNT:
		assert(false);
		break;
	}
	if (ask->kind == PLAT_CALL_PUT || ask->kind == PLAT_CALL_DELETE)
		message->header =
			talloc_asprintf(ctx, "If-Match: %" G_GUINT64_FORMAT,
					ask->expected_version);
}

static uint64_t get_number(const json_t *object, const char *name)
{
	json_int_t number = json_integer_value(json_object_get(object, name));

	return number > 0 ? (uint64_t)number : 0;
}

static bool read_object(const json_t *json, struct plat_object *object)
{
	const char *type = json_string_value(json_object_get(json, "type"));

	object->key = json_string_value(json_object_get(json, "key"));
	object->version = get_number(json, "version");
	object->revision = get_number(json, "revision");
	object->is_deleted = g_strcmp0(type, "delete") == 0;
	object->value = json_object_get(json, "value");
	return object->key && object->version > 0 &&
	       (object->value || object->is_deleted);
}

static bool read_objects(TALLOC_CTX *ctx, const json_t *array,
			 struct plat_reading *reading)
{
	size_t count = json_array_size(array);

	reading->objects = talloc_zero_array(ctx, struct plat_object, count);
	for (size_t i = 0; i < count; i++) {
		if (!read_object(json_array_get(array, i),
				 &reading->objects[i]))
			return false;
	}
	reading->object_count = count;
	return true;
}

/* One of: a list, the events of a watch, one object, the answer to a write. */
static bool read_body(TALLOC_CTX *ctx, const struct plat_ask *ask, json_t *root,
		      struct plat_reading *reading)
{
	const json_t *list = json_object_get(root, "objects");

	if (!json_is_object(root))
		return false;
	reading->version = get_number(root, "version");
	reading->revision = get_number(root, "revision");
	if (!list)
		list = json_object_get(root, "events");
	if (list)
		return json_is_array(list) && read_objects(ctx, list, reading);
	if (!json_object_get(root, "key"))
		return reading->version > 0;
	reading->objects = talloc_zero(ctx, struct plat_object);
	reading->object_count = 1;
	return read_object(root, reading->objects);
}

const struct plat_dialect plat_own_dialect = {
	.make_message = make_message,
	.read_body = read_body,
};
