/*
 * Load reports of the simulated targets. As the gates of the nodes do, a target
 * reports to the entries that have called it within the last second.
 */
#include <stdlib.h>
#include "model_state.h"

#define ONE_WAY_US 1000U /* of a datagram, in any direction */
#define CALLER_LIFE_US 1000000U

/* A report that reaches an entry. */
struct model_report {
	struct model *model;
	uint32_t entry;
	uint32_t target;
	struct rt_load load;
};

static void receive_report(uint64_t now_us, void *data)
{
	struct model_report *report = data;
	struct model *model = report->model;

	if (!model_has_failed(model, report->entry))
		rt_record_report(model->entries[report->entry].chooser,
				 model->targets[report->target].address,
				 &report->load, now_us / 1000);
	talloc_free(report);
}

static bool has_reports(const struct model *model, uint32_t entry,
			uint64_t now_us)
{
	const struct model_case *setup = model->setup;

	return setup->reports_stop_s == 0 ||
	       model_get_domain(model, entry) != 0 ||
	       now_us < setup->reports_stop_s * G_USEC_PER_SEC;
}

static bool is_due(const struct model *model, uint32_t entry, uint32_t target,
		   uint64_t now_us)
{
	uint64_t called_us = model->targets[target].called_us[entry];

	return has_reports(model, entry, now_us) && called_us > 0 &&
	       now_us < called_us + CALLER_LIFE_US;
}

static void send_report(struct model *model, uint32_t entry, uint32_t target,
			uint64_t now_us)
{
	struct model_report *report = talloc_zero(model, struct model_report);

	report->model = model;
	report->entry = entry;
	report->target = target;
	adm_get_load(model->targets[target].gate, &report->load);
	event_add(model->events, now_us + ONE_WAY_US, receive_report, report);
}

static void receive_ask(uint64_t now_us, void *data)
{
	struct model_report *ask = data;

	if (has_reports(ask->model, ask->entry, now_us) &&
	    !model_has_failed(ask->model, ask->target))
		send_report(ask->model, ask->entry, ask->target, now_us);
	talloc_free(ask);
}

void model_send_ask(struct model *model, uint32_t entry, const char *address,
		    uint64_t now_us)
{
	struct model_report *ask;

	if (!address)
		return;
	ask = talloc_zero(model, struct model_report);
	ask->model = model;
	ask->entry = entry;
	ask->target = (uint32_t)strtoul(address + 1, NULL, 10);
	event_add(model->events, now_us + ONE_WAY_US, receive_ask, ask);
}

void model_send_reports(uint64_t now_us, void *data)
{
	struct model *model = data;
	uint32_t count = model->setup->target_count;

	for (uint32_t target = 0; target < count; target++) {
		if (model_has_failed(model, target))
			continue;
		for (uint32_t entry = 0; entry < count; entry++) {
			if (is_due(model, entry, target, now_us))
				send_report(model, entry, target, now_us);
		}
	}
	now_us += (uint64_t)model->setup->report_ms * 1000;
	if (now_us < model->arrival_end_us)
		event_add(model->events, now_us, model_send_reports, model);
}
