/*
 * Command status: what became of a service's document, in words or as JSON.
 */
#include <stdio.h>
#include <stdlib.h>
#include "ctl.h"
#include "loom/spread.h"

void ctl_print_status_words(const json_t *status)
{
	const json_t *problems = json_object_get(status, "problems");
	size_t index;
	json_t *problem;

	printf("%s: document version %" JSON_INTEGER_FORMAT
	       " %s; version "
	       "%" JSON_INTEGER_FORMAT " is in force\n",
	       json_string_value(json_object_get(status, "service")),
	       json_integer_value(json_object_get(status, "document_version")),
	       json_string_value(json_object_get(status, "verdict")),
	       json_integer_value(json_object_get(status, "version_in_force")));
	json_array_foreach(problems, index, problem)
		printf("  %s\n", json_string_value(problem));
}

enum ctl_exit ctl_print_status(struct ctl_context *context, const char *service)
{
	char *key =
		talloc_asprintf(context->ctx, "%s%s", SPR_KEY_STATUS, service);
	enum ctl_exit result = CTL_EXIT_OK;
	struct ctl_object object;
	char *text;

	ctl_read_object(context, key, &object);
	if (object.error) {
		result = ctl_print_error(object.error);
	} else if (context->is_json) {
		text = json_dumps(object.value,
				  JSON_INDENT(2) | JSON_PRESERVE_ORDER);
		puts(text);
		free(text);
	} else {
		ctl_print_status_words(object.value);
	}
	ctl_clear_object(&object);
	return result;
}
