/*
 * Command check: validates each document by itself and, if several files are
 * given, the documents against each other. It needs no platform, so that a
 * version-control hook can run it.
 */
#include "ctl.h"

#include <stdio.h>
#include <string.h>

/* A file whose document is valid by itself. */
struct checked_file {
	const char *file;
	struct doc_service *service;
};

/* If two files held documents of one service, one would replace the other. */
static void check_unique_services(const struct checked_file *checked, int count,
				  struct doc_problem_list *list)
{
	for (int i = 0; i < count; i++) {
		for (int j = 0; j < i; j++) {
			if (strcmp(checked[i].service->name,
				   checked[j].service->name) != 0)
				continue;
			doc_add_problem(list, checked[i].file, "service",
					"got \"%s\", the service of %s, wanted "
					"one file per service",
					checked[i].service->name,
					checked[j].file);
			break;
		}
	}
}

/* Returns the file of a service's document, or the service's name. */
static const char *find_file(const struct checked_file *checked, int count,
			     const char *service)
{
	for (int i = 0; i < count; i++) {
		if (strcmp(checked[i].service->name, service) == 0)
			return checked[i].file;
	}
	return service;
}

/*
 * Checks that every called service is among the documents, and names the files
 * in the problems, where doc_check_calls() names the services.
 */
static void check_closure(struct ctl_context *context,
			  const struct checked_file *checked, int count,
			  struct doc_problem_list *list)
{
	struct doc_problem_list *found = doc_new_problem_list(context->ctx);
	const struct doc_service **services = talloc_zero_array(
		context->ctx, const struct doc_service *, (size_t)count + 1);

	for (int i = 0; i < count; i++)
		services[i] = checked[i].service;
	doc_check_calls(services, (size_t)count, found);
	for (guint i = 0; i < found->problems->len; i++) {
		const struct prob_problem *problem =
			g_ptr_array_index(found->problems, i);

		doc_add_problem(list, find_file(checked, count, problem->file),
				problem->path, "%s", problem->message);
	}
}

/*
 * Called services are not looked up when a single file is given: prints which
 * ones that concerns.
 */
static void print_unchecked_calls(const struct doc_service *service)
{
	if (!service->calls || !service->calls[0])
		return;
	fprintf(stderr,
		"note: not checked whether these services have "
		"documents:");
	for (const char *const *name = service->calls; *name; name++)
		fprintf(stderr, " %s", *name);
	fprintf(stderr, " (called by %s); give all documents to check it\n",
		service->name);
}

/* Returns the number of valid documents, which are put into checked. */
static int read_files(struct ctl_context *context, const char *const *files,
		      int file_count, struct checked_file *checked,
		      struct doc_problem_list *list)
{
	int count = 0;

	for (int i = 0; i < file_count; i++) {
		json_t *document;

		checked[count].file = files[i];
		checked[count].service =
			ctl_read_file(context->ctx, files[i], &document, list);
		json_decref(document);
		if (checked[count].service)
			count++;
	}
	return count;
}

static void print_result(const struct ctl_context *context,
			 const struct checked_file *checked, int count,
			 const struct doc_problem_list *list)
{
	json_t *files = json_array();

	for (int i = 0; i < count; i++)
		json_array_append_new(
			files, json_pack("{s:s,s:s}", "file", checked[i].file,
					 "service", checked[i].service->name));
	if (context->is_json) {
		ctl_print_json(json_pack(
			"{s:b,s:O,s:o}", "valid", list->problems->len == 0,
			"files", files, "problems", ctl_make_problems(list)));
	} else if (list->problems->len == 0) {
		for (int i = 0; i < count; i++)
			printf("%s: valid\n", checked[i].file);
	}
	ctl_print_problems(list);
	json_decref(files);
}

enum ctl_exit ctl_check_documents(struct ctl_context *context,
				  const char *const *files, int file_count)
{
	struct doc_problem_list *list = doc_new_problem_list(context->ctx);
	struct checked_file *checked = talloc_zero_array(
		context->ctx, struct checked_file, (size_t)file_count + 1);
	int count = read_files(context, files, file_count, checked, list);

	check_unique_services(checked, count, list);
	/* A called service may be defined in one of the invalid files. */
	if (file_count > 1 && count == file_count)
		check_closure(context, checked, count, list);
	print_result(context, checked, count, list);
	if (list->problems->len > 0)
		return CTL_EXIT_INVALID;
	if (file_count == 1)
		print_unchecked_calls(checked[0].service);
	return CTL_EXIT_OK;
}
