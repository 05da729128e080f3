/*
 * Formats the report as one HTML page with tables, and plots as inline SVG. The
 * page loads nothing else, contains no script, and has all names escaped.
 */
#include <inttypes.h>
#include "print.h"

#define PLOT_WIDTH 720
#define PLOT_HEIGHT 140
/* Minimum of the highest rate on the axis; keeps FAST_RATE in the plot. */
#define PLOT_RATE_MIN 16.0
/* Burn-rate thresholds; formula.c uses the same values. */
#define FAST_RATE 14.4
#define SLOW_RATE 1.0

static const char page_head[] =
	"<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
	"<title>Service-level burn</title><style>\n"
	"body{font:14px sans-serif;margin:2em;max-width:60em}\n"
	"table{border-collapse:collapse}td,th{padding:2px 10px;"
	"text-align:right;border-bottom:1px solid #ccc}\n"
	"td:first-child{text-align:left}.fast{color:#b00;font-weight:bold}"
	".slow{color:#a60;font-weight:bold}\n"
	"svg{background:#f8f8f8;margin:4px 0}polyline{fill:none;"
	"stroke-width:1.5}.failed{stroke:#b00}.late{stroke:#06c}"
	".limit{stroke:#888;stroke-dasharray:4 4}\n"
	"</style></head><body>\n<h1>Service-level burn</h1>\n";

static void print_escaped(GString *text, const char *raw)
{
	char *escaped = g_markup_escape_text(raw, -1);

	g_string_append(text, escaped);
	g_free(escaped);
}

static double get_scale(const struct burn_point points[BURN_POINT_COUNT])
{
	double highest = PLOT_RATE_MIN;

	for (size_t i = 0; i < BURN_POINT_COUNT; i++) {
		highest = MAX(highest, points[i].failed_rate);
		highest = MAX(highest, points[i].slow_rate);
	}
	return highest;
}

static double get_y(double rate, double scale)
{
	return PLOT_HEIGHT - rate / scale * (PLOT_HEIGHT - 10);
}

static void print_threshold(GString *text, double rate, double scale)
{
	double y = get_y(rate, scale);

	g_string_append_printf(text,
			       "<line class=\"limit\" x1=\"0\" x2=\"%d\" "
			       "y1=\"%.1f\" y2=\"%.1f\"/>"
			       "<text x=\"2\" y=\"%.1f\" font-size=\"10\">%g"
			       "</text>\n",
			       PLOT_WIDTH, y, y, y - 2, rate);
}

static void print_curve(GString *text,
			const struct burn_point points[BURN_POINT_COUNT],
			double scale, bool is_slow)
{
	g_string_append_printf(text, "<polyline class=\"%s\" points=\"",
			       is_slow ? "late" : "failed");
	for (size_t i = 0; i < BURN_POINT_COUNT; i++)
		g_string_append_printf(text, "%s%.1f,%.1f", i ? " " : "",
				       (double)i * PLOT_WIDTH /
					       (BURN_POINT_COUNT - 1),
				       get_y(is_slow ? points[i].slow_rate
						     : points[i].failed_rate,
					     scale));
	g_string_append(text, "\"/>\n");
}

static void print_plot(GString *text, const char *title,
		       const struct burn_point points[BURN_POINT_COUNT])
{
	double scale = get_scale(points);

	g_string_append_printf(text,
			       "<p>Burn rate over %s: failed calls red, late "
			       "calls blue, up to %.1f</p>\n"
			       "<svg width=\"%d\" height=\"%d\" "
			       "role=\"img\">\n",
			       title, scale, PLOT_WIDTH, PLOT_HEIGHT);
	print_threshold(text, FAST_RATE, scale);
	print_threshold(text, SLOW_RATE, scale);
	print_curve(text, points, scale, false);
	print_curve(text, points, scale, true);
	g_string_append(text, "</svg>\n");
}

static void print_row(GString *text, const struct burn_report *report,
		      const struct burn_row *row, const char *kind,
		      enum burn_window window)
{
	g_string_append(text, "<tr><td>");
	if (*kind) {
		g_string_append_printf(text, "%s ", kind);
		print_escaped(text, row->name);
		g_string_append(text, ", ");
	}
	burn_print_window(text, report, window);
	g_string_append_printf(
		text,
		"</td><td>%" PRIu64 "</td><td>%" PRIu64 "</td><td>%" PRIu64
		"</td><td>%.2f</td>"
		"<td>%.2f</td></tr>\n",
		row->counts[window].calls, row->counts[window].failed,
		row->counts[window].slow, row->failed_rates[window],
		row->slow_rates[window]);
}

static void print_breakdown(GString *text, const struct burn_report *report,
			    const struct burn_row *rows, size_t count,
			    const char *kind)
{
	for (size_t i = 0; i < count; i++) {
		print_row(text, report, &rows[i], kind, BURN_WINDOW_1_HOUR);
		print_row(text, report, &rows[i], kind, BURN_WINDOW_3_DAYS);
	}
}

static void print_verdict(GString *text, const char *label,
			  enum burn_verdict verdict)
{
	const char *name = burn_get_verdict_name(verdict);

	g_string_append_printf(text, "%s <span class=\"%s\">%s</span>", label,
			       name, name);
}

static void print_service(GString *text, const struct burn_report *report,
			  const struct burn_service *service)
{
	g_string_append(text, "<h2>");
	print_escaped(text, service->name);
	g_string_append(text, "</h2>\n<p>Objective: ");
	burn_print_objective(text, &service->objective);
	g_string_append(text, ".<br>\n");
	print_verdict(text, "Burn of failed calls:", service->failed_verdict);
	print_verdict(text, ", of late calls:", service->slow_verdict);
	g_string_append_printf(text,
			       ".<br>\nBudget of 3 days spent: %.1f%% by "
			       "failed calls, %.1f%% by late calls.</p>\n",
			       service->failed_budget_spent * 100,
			       service->slow_budget_spent * 100);
	g_string_append(text,
			"<table><tr><th></th><th>calls</th>"
			"<th>failed</th><th>late</th><th>burn</th>"
			"<th>burn late</th></tr>\n");
	for (int i = 0; i < BURN_WINDOW_COUNT; i++)
		print_row(text, report, &service->all, "", (enum burn_window)i);
	print_breakdown(text, report, service->domains, service->domain_count,
			"failure domain");
	print_breakdown(text, report, service->versions, service->version_count,
			"version");
	g_string_append(text, "</table>\n");
	print_plot(text, "6 h", service->fine);
	print_plot(text, "3 days", service->coarse);
}

void burn_print_html(const struct burn_report *report, GString *text)
{
	GString *head = g_string_new(NULL);

	burn_print_header(head, report);
	g_string_append(text, page_head);
	g_string_append(text, "<pre>");
	print_escaped(text, head->str);
	g_string_append(text, "</pre>\n");
	for (size_t i = 0; i < report->service_count; i++)
		print_service(text, report, &report->services[i]);
	g_string_append(text, "</body></html>\n");
	g_string_free(head, TRUE);
}
