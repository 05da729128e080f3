/*
 * List of problems found in a JSON text. Validation continues after the first
 * problem, so that all of them are reported at once.
 */
#ifndef LOOM_PROBLEM_H
#define LOOM_PROBLEM_H

#include <stdarg.h>
#include <stddef.h>
#include <glib.h>
#include <talloc.h>

/* Number of problems stored; further ones are only counted. */
#define PROB_KEPT_MAX 100U

struct prob_problem {
	const char *file;
	const char *path;    /* path of the field: "routes[1].timeout_ms" */
	const char *message; /* value found and value expected */
};

struct prob_list {
	GPtrArray *problems;  /* struct prob_problem, in the order found */
	size_t dropped_count; /* problems found after the list was full */
};

/* Returns a new, empty list owned by ctx. */
struct prob_list *prob_new_list(TALLOC_CTX *ctx);

/* Adds a problem; strings are copied. An empty path means the whole text. */
void prob_add_problem(struct prob_list *list, const char *file,
		      const char *path, const char *format, ...)
	__attribute__((format(printf, 4, 5)));
void prob_add_problem_va(struct prob_list *list, const char *file,
			 const char *path, const char *format,
			 va_list arguments)
	__attribute__((format(printf, 4, 0)));

/* Returns how many problems were added, including those not stored. */
size_t prob_get_count(const struct prob_list *list);

/* Appends a line "file: path: message" for each problem to text. */
void prob_print_list(const struct prob_list *list, GString *text);

#endif
