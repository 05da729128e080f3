/*
 * Command delete: deletes the document of a service that no other service
 * calls. The nodes repeat this check before the deletion takes effect, since
 * another document may be written in between.
 */
#include "ctl.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include "loom/spread.h"

static bool is_called_by(const json_t *document, const char *service)
{
	const json_t *calls = json_object_get(document, "calls");

	for (size_t i = 0; i < json_array_size(calls); i++) {
		const char *name = json_string_value(json_array_get(calls, i));

		if (name && strcmp(name, service) == 0)
			return true;
	}
	return false;
}

/* Returns the names of the services that call it as JSON, a new reference. */
static json_t *list_callers(const struct ctl_list *list, const char *service)
{
	json_t *callers = json_array();
	const char *key;
	json_t *object;

	json_object_foreach(list->objects, key, object)
	{
		const char *name = key + strlen(SPR_KEY_DOCUMENTS);

		if (strcmp(name, service) != 0 &&
		    is_called_by(
			    json_object_get(json_object_get(object, "value"),
					    "document"),
			    service))
			json_array_append_new(callers, json_string(name));
	}
	return callers;
}

static enum ctl_exit refuse_called_service(const struct ctl_context *context,
					   const char *service, json_t *callers)
{
	size_t index;
	json_t *caller;

	fprintf(stderr, "loomctl: %s is still called by", service);
	json_array_foreach(callers, index, caller)
		fprintf(stderr, " %s", json_string_value(caller));
	fprintf(stderr, "; change or delete these first\n");
	if (context->is_json)
		ctl_print_json(json_pack("{s:s,s:s,s:O}", "service", service,
					 "outcome", "still_called", "callers",
					 callers));
	return CTL_EXIT_INVALID;
}

/* Returns the outcome as shown in text output; JSON has it unchanged. */
static const char *get_outcome_text(const char *outcome)
{
	return strcmp(outcome, "dry_run") == 0 ? "not deleted (dry run)"
					       : outcome;
}

static void print_outcome(const struct ctl_context *context,
			  const char *service, const char *outcome,
			  uint64_t version)
{
	if (context->is_json)
		ctl_print_json(json_pack("{s:s,s:s,s:I}", "service", service,
					 "outcome", outcome, "version",
					 (json_int_t)version));
	else
		printf("%s: %s, version %" PRIu64 "\n", service,
		       get_outcome_text(outcome), version);
}

static enum ctl_exit delete_version(struct ctl_context *context,
				    const char *service, const char *key,
				    uint64_t version)
{
	const struct ctl_options *options = &context->options;
	enum ctl_exit result = CTL_EXIT_OK;
	struct ctl_object deleted;

	if (options->has_expected_version &&
	    options->expected_version != version) {
		fprintf(stderr,
			"loomctl: %s is at version %" PRIu64
			", wanted version %" PRIu64
			": someone else changed it; see \"loomctl get %s\"\n",
			service, version, options->expected_version, service);
		return CTL_EXIT_CONFLICT;
	}
	if (options->is_dry_run) {
		print_outcome(context, service, "dry_run", version);
		return CTL_EXIT_OK;
	}
	ctl_delete_object(context, key, version, &deleted);
	if (deleted.error)
		result = ctl_print_error(deleted.error);
	else
		print_outcome(context, service, "deleted", version);
	ctl_clear_object(&deleted);
	return result;
}

enum ctl_exit ctl_delete_document(struct ctl_context *context,
				  const char *service)
{
	char *key = ctl_make_document_key(context, service);
	json_t *callers = NULL;
	const json_t *object;
	struct ctl_list list;
	enum ctl_exit result;

	ctl_list_objects(context, SPR_KEY_DOCUMENTS, &list);
	object = json_object_get(list.objects, key);
	if (list.error) {
		result = ctl_print_error(list.error);
		goto out;
	}
	if (!object) {
		fprintf(stderr, "loomctl: %s has no document\n", service);
		result = CTL_EXIT_NOT_FOUND;
		goto out;
	}
	callers = list_callers(&list, service);
	if (json_array_size(callers) > 0)
		result = refuse_called_service(context, service, callers);
	else
		result = delete_version(
			context, service, key,
			(uint64_t)json_integer_value(
				json_object_get(object, "version")));
out:
	json_decref(callers);
	ctl_clear_list(&list);
	return result;
}
