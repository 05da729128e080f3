/*
 * Parts of the report that text and HTML have in common.
 */
#ifndef BURN_PRINT_H
#define BURN_PRINT_H

#include "loom/burn.h"

/* Appends a time as "2026-12-04T10:00:00Z". */
void burn_print_time(GString *text, uint64_t time_ms);

/* Appends a duration, such as "2 h 5 min". */
void burn_print_minutes(GString *text, uint32_t minutes);

/* Appends the name of a window, and how far the data goes when it is less. */
void burn_print_window(GString *text, const struct burn_report *report,
		       enum burn_window window);

/* Appends an objective in words. */
void burn_print_objective(GString *text, const struct doc_objective *objective);

/* Appends the lines on time, nodes and reach. */
void burn_print_head(GString *text, const struct burn_report *report);

#endif
