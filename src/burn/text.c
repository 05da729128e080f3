/*
 * Formats the report as text, and the phrases that HTML uses too.
 */
#include <inttypes.h>
#include "print.h"

#define MINUTES_PER_HOUR 60U

void burn_print_time(GString *text, uint64_t time_ms)
{
	GDateTime *time =
		g_date_time_new_from_unix_utc((gint64)(time_ms / 1000));
	char *formatted = g_date_time_format(time, "%Y-%m-%dT%H:%M:%SZ");

	g_string_append(text, formatted);
	g_free(formatted);
	g_date_time_unref(time);
}

void burn_print_minutes(GString *text, uint32_t minutes)
{
	if (minutes < MINUTES_PER_HOUR)
		g_string_append_printf(text, "%u min", minutes);
	else
		g_string_append_printf(text, "%u h %u min",
				       minutes / MINUTES_PER_HOUR,
				       minutes % MINUTES_PER_HOUR);
}

void burn_print_window(GString *text, const struct burn_report *report,
		       enum burn_window window)
{
	g_string_append(text, burn_get_window_name(window));
	if (report->data_minutes >= burn_get_window_minutes(window))
		return;
	g_string_append(text, " (data for ");
	burn_print_minutes(text, report->data_minutes);
	g_string_append_c(text, ')');
}

void burn_print_objective(GString *text, const struct doc_objective *objective)
{
	g_string_append_printf(text,
			       "%g%% of calls succeed, %g%% of these within "
			       "%" PRIu32 " ms",
			       objective->availability_ppm / 10000.0,
			       objective->latency_ppm / 10000.0,
			       objective->latency_ms);
}

static void print_row(GString *text, const struct burn_report *report,
		      const struct burn_row *row, const char *kind,
		      enum burn_window window)
{
	GString *label = g_string_new(NULL);

	if (*kind)
		g_string_append_printf(label, "%s %s, %s", kind, row->name,
				       burn_get_window_name(window));
	else
		burn_print_window(label, report, window);
	g_string_append_printf(
		text,
		"  %-36s %10" PRIu64 " %10" PRIu64 " %10" PRIu64
		" %10.2f %10.2f\n",
		label->str, row->counts[window].calls,
		row->counts[window].failed, row->counts[window].slow,
		row->failed_rates[window], row->slow_rates[window]);
	g_string_free(label, TRUE);
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

static void print_service(GString *text, const struct burn_report *report,
			  const struct burn_service *service)
{
	g_string_append_printf(
		text, "\n%s: burn of failed calls %s, of late calls %s\n",
		service->name, burn_get_verdict_name(service->failed_verdict),
		burn_get_verdict_name(service->slow_verdict));
	g_string_append(text, "  objective: ");
	burn_print_objective(text, &service->objective);
	g_string_append_printf(text,
			       "\n  budget of 3 days spent: %.1f%% by failed "
			       "calls, %.1f%% by late calls\n",
			       service->failed_budget_spent * 100,
			       service->slow_budget_spent * 100);
	g_string_append_printf(text, "  %-36s %10s %10s %10s %10s %10s\n", "",
			       "calls", "failed", "late", "burn", "burn late");
	for (int i = 0; i < BURN_WINDOW_COUNT; i++)
		print_row(text, report, &service->all, "", (enum burn_window)i);
	print_breakdown(text, report, service->domains, service->domain_count,
			"failure domain");
	print_breakdown(text, report, service->versions, service->version_count,
			"version");
}

void burn_print_header(GString *text, const struct burn_report *report)
{
	g_string_append(text, "Service-level burn at ");
	burn_print_time(text, report->now_ms);
	g_string_append_printf(text, ", from %zu nodes, data for ",
			       report->node_count);
	burn_print_minutes(text, report->data_minutes);
	g_string_append(text, "\n");
	for (const char *const *node = report->unreached; node && *node; node++)
		g_string_append_printf(text, "not reached: %s\n", *node);
	for (const char *const *name = report->undocumented; *name; name++)
		g_string_append_printf(
			text, "no objective: %s has calls but no document\n",
			*name);
}

void burn_print_text(const struct burn_report *report, GString *text)
{
	burn_print_header(text, report);
	for (size_t i = 0; i < report->service_count; i++)
		print_service(text, report, &report->services[i]);
}
