/*
 * Functions shared by the text form and the HTML form of the report.
 */
#ifndef BURN_PRINT_H
#define BURN_PRINT_H

#include "loom/burn.h"

/* Appends a time as "2026-12-04T10:00:00Z". */
void burn_print_time(GString *text, uint64_t time_ms);

/* Appends a duration, such as "2 h 5 min" or "5 min". */
void burn_print_minutes(GString *text, uint32_t minutes);

/*
 * Appends the name of a window, and the length of time that has data when it is
 * shorter than the window: "6 h (data for 2 h 30 min)".
 */
void burn_print_window(GString *text, const struct burn_report *report,
		       enum burn_window window);

/* Appends an objective as a phrase without a final full stop. */
void burn_print_objective(GString *text, const struct doc_objective *objective);

/*
 * Appends the lines on the time of the report, its nodes and the length of time
 * that has data, and on services without an objective.
 */
void burn_print_header(GString *text, const struct burn_report *report);

#endif
