/*
 * List of problems found in a JSON text: a check goes on after the first
 * problem, so that all of them are reported at once.
 */
#ifndef LOOM_PROBLEM_H
#define LOOM_PROBLEM_H

#include <stdarg.h>
#include <stddef.h>
#include <glib.h>
#include <talloc.h>

/* Further problems are counted but not kept. */
#define PROB_KEPT_MAX 100U

struct prob_problem {
	const char *file;
	const char *path;    /* place in the text: "routes[1].timeout_ms" */
	const char *message; /* what was got and what was wanted */
};

struct prob_list {
	GPtrArray *problems; /* struct prob_problem, in order of finding */
	size_t dropped_count;
};

/* Returns a new, empty list owned by ctx. */
struct prob_list *prob_new_list(TALLOC_CTX *ctx);

/* Adds a problem; all texts are copied. An empty path means the whole text. */
void prob_add_problem(struct prob_list *list, const char *file,
		      const char *path, const char *format, ...)
	__attribute__((format(printf, 4, 5)));
void prob_add_problem_va(struct prob_list *list, const char *file,
			 const char *path, const char *format,
			 va_list arguments)
	__attribute__((format(printf, 4, 0)));

/* Returns how many problems were added, those not kept included. */
size_t prob_get_count(const struct prob_list *list);

/* Appends one line "file: path: message" a problem to text. */
void prob_print_list(const struct prob_list *list, GString *text);

#endif
