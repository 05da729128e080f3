/*
 * Reading documents from files, and output that several commands share.
 */
#include "ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include "loom/spread.h"

struct doc_service *ctl_read_file(TALLOC_CTX *ctx, const char *file,
				  json_t **document,
				  struct doc_problem_list *list)
{
	struct doc_service *service;
	GError *error = NULL;
	char *text = NULL;
	gsize size;

	*document = NULL;
	if (!g_file_get_contents(file, &text, &size, &error)) {
		doc_add_problem(list, file, "", "cannot be read: %s",
				error->message);
		g_error_free(error);
		return NULL;
	}
	service = doc_parse_service(ctx, file, text, size, 0, list);
	if (service)
		*document = json_loadb(text, size, 0, NULL);
	g_free(text);
	return service;
}

char *ctl_make_document_key(struct ctl_context *context, const char *service)
{
	return talloc_asprintf(context->ctx, "%s%s", SPR_KEY_DOCUMENTS,
			       service);
}

json_t *ctl_make_problems(const struct doc_problem_list *list)
{
	json_t *problems = json_array();

	for (guint i = 0; i < list->problems->len; i++) {
		const struct prob_problem *problem =
			g_ptr_array_index(list->problems, i);

		json_array_append_new(problems,
				      json_pack("{s:s,s:s,s:s}", "file",
						problem->file, "path",
						problem->path, "message",
						problem->message));
	}
	return problems;
}

void ctl_print_problems(const struct doc_problem_list *list)
{
	GString *text = g_string_new(NULL);

	doc_print_problems(list, text);
	fputs(text->str, stderr);
	g_string_free(text, TRUE);
}

json_t *ctl_make_lines(const char *text)
{
	char **lines = g_strsplit(text, "\n", -1);
	json_t *list = json_array();

	for (char **line = lines; *line; line++) {
		if (**line)
			json_array_append_new(list, json_string(*line));
	}
	g_strfreev(lines);
	return list;
}

void ctl_print_json(json_t *value)
{
	char *text = json_dumps(value, JSON_INDENT(2) | JSON_PRESERVE_ORDER |
					       JSON_REAL_PRECISION(15));

	puts(text);
	free(text);
	json_decref(value);
}
