/* State of a simulation run, shared by its set-up and its event handlers. */
#ifndef LOOM_ROUTING_MODEL_STATE_H
#define LOOM_ROUTING_MODEL_STATE_H

#include "event_queue.h"
#include "model.h"

#define MODEL_SERVICE_US 10000U
#define MODEL_GREY_SHED_PERMILLE 450
#define MODEL_COLD_TARGET 1U

struct model_target {
	struct adm_gate *gate;
	const char *address;
	uint32_t instance;
	uint32_t running; /* calls that this instance runs */
	uint32_t concurrency_max;
	uint32_t slow_factor;
	uint64_t served;
	uint64_t link_free_us; /* when the link has sent all queued bytes */
	/* When each entry called or asked last; 0: never. */
	uint64_t called_us[MODEL_TARGET_MAX];
	double speed_factor; /* on the mean work of placed calls */
};

struct model_entry {
	struct rt_table *table;
	struct rt_chooser *chooser;
	struct rt_budget *budget;
};

struct model {
	const struct model_case *setup;
	struct event_queue *events;
	GRand *random;
	struct model_target targets[MODEL_TARGET_MAX];
	struct model_entry entries[MODEL_TARGET_MAX];
	struct doc_snapshot *snapshot;
	const struct doc_service *service;
	struct model_result result;
	GArray *latencies_us;
	GArray *large_body_latencies_us;
	GArray *refusals_us;
	bool is_domain_failed;
	uint64_t arrival_end_us;
	double arrival_gap_us;
};

uint64_t model_get_warm_up_us(const struct model *model);

/* Returns the failure domain of a vm, given by its index. */
uint32_t model_get_domain(const struct model *model, uint32_t index);

/* Returns whether the failure domain of a vm has failed. */
bool model_has_failed(const struct model *model, uint32_t index);

/* Sends the loads of all targets, and schedules the next time
 * (model_reports.c). */
void model_send_reports(uint64_t now_us, void *data);

/*
 * Asks the target of an address for a load report for the entry
 * (model_reports.c). No effect if address is NULL.
 */
void model_send_ask(struct model *model, uint32_t entry, const char *address,
		    uint64_t now_us);

/* Schedules the arrival of the first call (in model.c). */
void model_begin(struct model *model);

#endif
