/*
 * List of problems, in the order in which they were found.
 *
 * Invariant: at most PROB_KEPT_MAX problems are stored, so that a large text
 * with many errors uses bounded memory. Further problems are only counted.
 */
#include "loom/problem.h"

static int destroy_list(struct prob_list *list)
{
	g_ptr_array_free(list->problems, TRUE);
	return 0;
}

struct prob_list *prob_new_list(TALLOC_CTX *ctx)
{
	struct prob_list *list = talloc_zero(ctx, struct prob_list);

	list->problems = g_ptr_array_new();
	talloc_set_destructor(list, destroy_list);
	return list;
}

void prob_add_problem_va(struct prob_list *list, const char *file,
			 const char *path, const char *format,
			 va_list arguments)
{
	struct prob_problem *problem;

	if (list->problems->len >= PROB_KEPT_MAX) {
		list->dropped_count++;
		return;
	}
	problem = talloc_zero(list, struct prob_problem);
	problem->file = talloc_strdup(problem, file);
	problem->path = talloc_strdup(problem, path);
	problem->message = talloc_vasprintf(problem, format, arguments);
	g_ptr_array_add(list->problems, problem);
}

void prob_add_problem(struct prob_list *list, const char *file,
		      const char *path, const char *format, ...)
{
	va_list arguments;

	va_start(arguments, format);
	prob_add_problem_va(list, file, path, format, arguments);
	va_end(arguments);
}

size_t prob_get_count(const struct prob_list *list)
{
	return list->problems->len + list->dropped_count;
}

void prob_print_list(const struct prob_list *list, GString *text)
{
	for (guint i = 0; i < list->problems->len; i++) {
		const struct prob_problem *problem = list->problems->pdata[i];

		g_string_append_printf(text, "%s: ", problem->file);
		if (*problem->path)
			g_string_append_printf(text, "%s: ", problem->path);
		g_string_append_printf(text, "%s\n", problem->message);
	}
	if (list->dropped_count > 0)
		g_string_append_printf(text, "and %zu further problems\n",
				       list->dropped_count);
}
