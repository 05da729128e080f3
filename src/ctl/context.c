/*
 * Blocking requests to the platform: each sends an asynchronous request and
 * runs the event loop until the callback has stored the result.
 */
#include "ctl.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>
#include <curl/curl.h>
#include "loom/error.h"

#define CALL_TIMEOUT_MS 10000U

struct object_request {
	struct ctl_object *object;
	bool is_done;
};

bool ctl_open_context(struct ctl_context *context, const char *platform_url,
		      bool is_json)
{
	struct plat_options options;
	GError *error = NULL;

	*context = (struct ctl_context){ 0 };
	context->ctx = talloc_new(NULL);
	context->events = tevent_context_init(context->ctx);
	context->timers = tmr_new(context->ctx, context->events);
	context->platform_url = platform_url;
	context->is_json = is_json;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (!platform_url)
		return true;
	plat_set_default_options(&options, platform_url);
	options.timeout_ms = CALL_TIMEOUT_MS;
	options.seed = (uint64_t)getpid();
	context->platform = plat_new_client(
		context->ctx, context->events, context->timers,
		cnt_new_registry(context->ctx), &options, &error);
	if (context->platform)
		return true;
	ctl_print_error(error);
	g_clear_error(&error);
	return false;
}

void ctl_close_context(struct ctl_context *context)
{
	TALLOC_FREE(context->ctx);
	curl_global_cleanup();
}

void ctl_clear_object(struct ctl_object *object)
{
	g_clear_error(&object->error);
	json_decref(object->value);
	object->value = NULL;
}

static void store_object_result(const struct plat_result *result, void *data)
{
	struct object_request *request = data;
	struct ctl_object *object = request->object;

	request->is_done = true;
	object->version = result->version;
	if (result->error)
		object->error = g_error_copy(result->error);
	if (result->object_count == 0)
		return;
	object->version = result->objects[0].version;
	object->value = json_incref(result->objects[0].value);
}

static void wait_for_object(struct ctl_context *context,
			    struct object_request *request)
{
	while (!request->is_done)
		tevent_loop_once(context->events);
}

void ctl_read_object(struct ctl_context *context, const char *key,
		     struct ctl_object *object)
{
	struct object_request request = { .object = object };

	*object = (struct ctl_object){ 0 };
	plat_get_object(context->ctx, context->platform, key,
			store_object_result, &request);
	wait_for_object(context, &request);
}

void ctl_write_object(struct ctl_context *context, const char *key,
		      json_t *value, uint64_t expected_version,
		      struct ctl_object *object)
{
	struct object_request request = { .object = object };
	char *write_id =
		plat_make_write_id(context->ctx, context->platform, "loomctl");

	*object = (struct ctl_object){ 0 };
	json_object_set_new(value, "write_id", json_string(write_id));
	plat_put_object(context->ctx, context->platform, key, value,
			expected_version, store_object_result, &request);
	wait_for_object(context, &request);
}

void ctl_delete_object(struct ctl_context *context, const char *key,
		       uint64_t expected_version, struct ctl_object *object)
{
	struct object_request request = { .object = object };

	*object = (struct ctl_object){ 0 };
	plat_delete_object(context->ctx, context->platform, key,
			   expected_version, store_object_result, &request);
	wait_for_object(context, &request);
}

struct list_request {
	struct ctl_list *list;
	bool is_done;
};

static void store_list_result(const struct plat_result *result, void *data)
{
	struct list_request *request = data;

	request->is_done = true;
	if (result->error)
		request->list->error = g_error_copy(result->error);
	for (size_t i = 0; i < result->object_count; i++) {
		const struct plat_object *object = &result->objects[i];

		json_object_set_new(request->list->objects, object->key,
				    json_pack("{s:I,s:O}", "version",
					      (json_int_t)object->version,
					      "value", object->value));
	}
}

void ctl_list_objects(struct ctl_context *context, const char *prefix,
		      struct ctl_list *list)
{
	struct list_request request = { .list = list };

	*list = (struct ctl_list){ .objects = json_object() };
	plat_list_objects(context->ctx, context->platform, prefix,
			  store_list_result, &request);
	while (!request.is_done)
		tevent_loop_once(context->events);
}

void ctl_clear_list(struct ctl_list *list)
{
	g_clear_error(&list->error);
	json_decref(list->objects);
	list->objects = NULL;
}

enum ctl_exit ctl_print_error(const GError *error)
{
	fprintf(stderr, "loomctl: %s%s%s: %s\n", err_get_step(error),
		*err_get_peer(error) ? " " : "", err_get_peer(error),
		error->message);
	if (g_error_matches(error, ERR_DOMAIN, ERR_CONFLICT))
		return CTL_EXIT_CONFLICT;
	if (g_error_matches(error, ERR_DOMAIN, ERR_NOT_FOUND))
		return CTL_EXIT_NOT_FOUND;
	return CTL_EXIT_FAILED;
}
