/*
 * Problems of documents, stored in a prob_list of the base module. The array
 * `problems` is the one of that prob_list.
 */
#include "loom/document.h"

struct doc_problem_list *doc_new_problem_list(TALLOC_CTX *ctx)
{
	struct doc_problem_list *list = talloc(ctx, struct doc_problem_list);

	list->kept = prob_new_list(list);
	list->problems = list->kept->problems;
	return list;
}

void doc_add_problem(struct doc_problem_list *list, const char *file,
		     const char *path, const char *format, ...)
{
	va_list arguments;

	va_start(arguments, format);
	prob_add_problem_va(list->kept, file, path, format, arguments);
	va_end(arguments);
}

void doc_print_problems(const struct doc_problem_list *list, GString *text)
{
	prob_print_list(list->kept, text);
}
