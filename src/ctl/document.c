/*
 * Commands on service documents: check, apply and get.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "ctl.h"
#include "loom/document.h"
#include "loom/error.h"
#include "loom/spread.h"

/* Returns the service of a file (new, owned by ctx), or NULL with problems. */
static struct doc_service *read_document(TALLOC_CTX *ctx, const char *file,
					 char **text,
					 struct doc_problem_list *list)
{
	GError *error = NULL;
	gsize size;

	if (!g_file_get_contents(file, text, &size, &error)) {
		doc_add_problem(list, file, "", "cannot be read: %s",
				error->message);
		g_error_free(error);
		return NULL;
	}
	return doc_parse_service(ctx, file, *text, size, 0, list);
}

static void print_problems(const struct doc_problem_list *list)
{
	GString *text = g_string_new(NULL);

	doc_print_problems(list, text);
	fputs(text->str, stderr);
	g_string_free(text, TRUE);
}

enum ctl_exit ctl_check_documents(struct ctl_context *context,
				  const char *const *files, int file_count)
{
	struct doc_problem_list *list = doc_new_problem_list(context->ctx);
	enum ctl_exit result = CTL_EXIT_OK;

	for (int i = 0; i < file_count; i++) {
		char *text = NULL;

		if (read_document(context->ctx, files[i], &text, list))
			printf("%s: right\n", files[i]);
		else
			result = CTL_EXIT_INVALID;
		g_free(text);
	}
	print_problems(list);
	return result;
}

static enum ctl_exit put_document(struct ctl_context *context, const char *key,
				  const char *text, uint64_t expected_version)
{
	json_t *value =
		json_pack("{s:o}", "document", json_loads(text, 0, NULL));
	struct ctl_object written;
	enum ctl_exit result = CTL_EXIT_OK;

	ctl_write_object(context, key, value, expected_version, &written);
	if (written.error)
		result = ctl_print_error(written.error);
	else
		printf("applied as version %" G_GUINT64_FORMAT "\n",
		       written.version);
	ctl_clear_object(&written);
	json_decref(value);
	return result;
}

enum ctl_exit ctl_apply_document(struct ctl_context *context, const char *file)
{
	struct doc_problem_list *list = doc_new_problem_list(context->ctx);
	enum ctl_exit result = CTL_EXIT_INVALID;
	struct ctl_object present = { 0 };
	struct doc_service *service;
	char *text = NULL;
	char *key;

	service = read_document(context->ctx, file, &text, list);
	if (!service) {
		print_problems(list);
		goto out;
	}
	key = talloc_asprintf(context->ctx, "%s%s", SPR_KEY_DOCUMENTS,
			      service->name);
	ctl_read_object(context, key, &present);
	if (present.error &&
	    !g_error_matches(present.error, ERR_DOMAIN, ERR_NOT_FOUND)) {
		result = ctl_print_error(present.error);
		goto out;
	}
	result = put_document(context, key, text, present.version);
out:
	ctl_clear_object(&present);
	g_free(text);
	return result;
}

enum ctl_exit ctl_get_document(struct ctl_context *context, const char *service)
{
	char *key = talloc_asprintf(context->ctx, "%s%s", SPR_KEY_DOCUMENTS,
				    service);
	enum ctl_exit result = CTL_EXIT_OK;
	struct ctl_object object;
	char *text;

	ctl_read_object(context, key, &object);
	if (object.error) {
		result = ctl_print_error(object.error);
	} else {
		text = json_dumps(json_object_get(object.value, "document"),
				  JSON_INDENT(2) | JSON_PRESERVE_ORDER);
		puts(text);
		free(text);
	}
	ctl_clear_object(&object);
	return result;
}
