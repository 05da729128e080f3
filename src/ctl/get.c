/*
 * Command get: prints the document of a service as the platform holds it. The
 * version goes to standard error, so that the output can be applied again.
 */
#include "ctl.h"

#include <inttypes.h>
#include <stdio.h>

enum ctl_exit ctl_get_document(struct ctl_context *context, const char *service)
{
	char *key = ctl_make_document_key(context, service);
	enum ctl_exit result = CTL_EXIT_OK;
	struct ctl_object object;
	json_t *document;

	ctl_read_object(context, key, &object);
	document = json_object_get(object.value, "document");
	if (object.error) {
		result = ctl_print_error(object.error);
	} else if (context->is_json) {
		ctl_print_json(json_pack("{s:s,s:I,s:O?}", "service", service,
					 "version", (json_int_t)object.version,
					 "document", document));
	} else {
		fprintf(stderr, "%s: version %" PRIu64 "\n", service,
			object.version);
		ctl_print_json(json_incref(document));
	}
	ctl_clear_object(&object);
	return result;
}
