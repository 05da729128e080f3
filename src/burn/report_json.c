/*
 * Formats the report as JSON. Rates are rounded to 2 decimals, shares of the
 * budget to 4.
 */
#include <math.h>
#include "loom/burn.h"

static json_t *format_rate(double rate)
{
	return json_real(round(rate * 100) / 100);
}

static json_t *format_share(double share)
{
	return json_real(round(share * 10000) / 10000);
}

static json_t *format_names(const char *const *names)
{
	json_t *list = json_array();

	for (; names && *names; names++)
		json_array_append_new(list, json_string(*names));
	return list;
}

static json_t *format_windows(const struct burn_row *row, uint32_t data_minutes)
{
	json_t *windows = json_array();

	for (int i = 0; i < BURN_WINDOW_COUNT; i++) {
		const struct burn_counts *counts = &row->counts[i];
		uint32_t minutes = burn_get_window_minutes((enum burn_window)i);

		json_array_append_new(
			windows,
			json_pack("{s:i,s:i,s:I,s:I,s:I,s:o,s:o}", "minutes",
				  (int)minutes, "data_minutes",
				  (int)MIN(minutes, data_minutes), "calls",
				  (json_int_t)counts->calls, "failed",
				  (json_int_t)counts->failed, "late",
				  (json_int_t)counts->slow, "failed_burn",
				  format_rate(row->failed_rates[i]),
				  "late_burn",
				  format_rate(row->slow_rates[i])));
	}
	return windows;
}

static json_t *format_breakdown(const struct burn_row *rows, size_t count,
				uint32_t data_minutes)
{
	json_t *list = json_array();

	for (size_t i = 0; i < count; i++)
		json_array_append_new(
			list,
			json_pack("{s:s,s:o}", "name", rows[i].name, "windows",
				  format_windows(&rows[i], data_minutes)));
	return list;
}

static json_t *format_objective(const struct doc_objective *objective)
{
	return json_pack("{s:f,s:i,s:f}", "availability_percent",
			 objective->availability_ppm / 10000.0, "latency_ms",
			 (int)objective->latency_ms, "latency_percent",
			 objective->latency_ppm / 10000.0);
}

static json_t *format_service(const struct burn_service *service,
			      uint32_t data_minutes)
{
	return json_pack(
		"{s:s,s:o,s:s,s:s,s:o,s:o,s:o,s:o,s:o}", "service",
		service->name, "objective",
		format_objective(&service->objective), "failed_verdict",
		burn_get_verdict_name(service->failed_verdict), "late_verdict",
		burn_get_verdict_name(service->slow_verdict),
		"failed_budget_spent",
		format_share(service->failed_budget_spent), "late_budget_spent",
		format_share(service->slow_budget_spent), "windows",
		format_windows(&service->all, data_minutes), "failure_domains",
		format_breakdown(service->domains, service->domain_count,
				 data_minutes),
		"versions",
		format_breakdown(service->versions, service->version_count,
				 data_minutes));
}

json_t *burn_format_report(const struct burn_report *report)
{
	json_t *services = json_array();

	for (size_t i = 0; i < report->service_count; i++)
		json_array_append_new(services,
				      format_service(&report->services[i],
						     report->data_minutes));
	return json_pack(
		"{s:I,s:i,s:i,s:o,s:o,s:o}", "now_ms",
		(json_int_t)report->now_ms, "data_minutes",
		(int)report->data_minutes, "nodes", (int)report->node_count,
		"unreached", format_names(report->unreached), "undocumented",
		format_names(report->undocumented), "services", services);
}
