/*
 * The native dialect of the object API, described in loom/platform.h.
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

static void make_http_request(TALLOC_CTX *ctx,
			      const struct plat_operation *operation,
			      struct plat_http_request *message)
{
	char *key = escape(ctx, operation->key);

	message->method = "GET";
	message->path = talloc_asprintf(ctx, "/objects/%s", key);
	switch (operation->kind) {
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
			key, operation->revision, operation->wait_ms);
		break;
	case PLAT_CALL_PUT:
		message->method = "PUT";
		message->body = format_value(ctx, operation->value);
		break;
	case PLAT_CALL_DELETE:
		message->method = "DELETE";
		break;
	case PLAT_CALL_PUT_STATUS: /* this dialect has no status part */
	case PLAT_CALL_KIND_COUNT:
		assert(false);
		break;
	}
	if (operation->kind == PLAT_CALL_PUT ||
	    operation->kind == PLAT_CALL_DELETE)
		message->header =
			talloc_asprintf(ctx, "If-Match: %" G_GUINT64_FORMAT,
					operation->expected_version);
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
			 struct plat_parsed_body *parsed)
{
	size_t count = json_array_size(array);

	parsed->objects = talloc_zero_array(ctx, struct plat_object, count);
	for (size_t i = 0; i < count; i++) {
		if (!read_object(json_array_get(array, i), &parsed->objects[i]))
			return false;
	}
	parsed->object_count = count;
	return true;
}

/*
 * The body is a list, the events of a watch, one object, or the response to a
 * write, which has a version but no key.
 */
static bool parse_body(TALLOC_CTX *ctx, const struct plat_operation *operation,
		       json_t *root, struct plat_parsed_body *parsed)
{
	const json_t *list = json_object_get(root, "objects");

	if (!json_is_object(root))
		return false;
	parsed->version = get_number(root, "version");
	parsed->revision = get_number(root, "revision");
	if (!list)
		list = json_object_get(root, "events");
	if (list)
		return json_is_array(list) && read_objects(ctx, list, parsed);
	if (!json_object_get(root, "key"))
		return parsed->version > 0;
	parsed->objects = talloc_zero(ctx, struct plat_object);
	parsed->object_count = 1;
	return read_object(root, parsed->objects);
}

const struct plat_dialect plat_native_dialect = {
	.make_http_request = make_http_request,
	.parse_body = parse_body,
};
