/* Set-up and summary of a simulation run: targets, tables, faults, results. */
#include <math.h>
#include "model_state.h"

#define SLOW_FACTOR 5U
#define QUEUE_LENGTH 24U
#define SLOW_TARGET 0U
#define FAILED_DOMAIN 1U
/* Time until the vms of a failed domain leave the tables. */
#define FAILURE_DETECTION_US 2000000U

static void build_snapshot(struct model *model)
{
	static const char *const versions[] = { "v1", NULL };
	struct doc_service *service = talloc_zero(model, struct doc_service);
	struct doc_manifest *manifest = doc_new_manifest(model);

	service->name = "orders";
	service->document_version = 1;
	service->versions = versions;
	service->current = "v1";
	doc_add_manifest_service(manifest, "orders")->document_version = 1;
	model->snapshot = doc_build_snapshot(manifest, &service, 1, NULL);
	g_assert(model->snapshot);
	model->service = doc_find_service(model->snapshot, "orders");
}

/*
 * The targets of a domain, in order, take from 1000 / spread_permille to
 * spread_permille / 1000 times the mean.
 */
static double get_speed_factor(const struct model_case *setup, uint32_t index)
{
	uint32_t last = setup->target_count / setup->domain_count - 1;
	uint32_t rank = index / setup->domain_count;
	double place = last ? (double)rank / last : 0;

	if (setup->spread_permille == 0)
		return 1;
	return pow(setup->spread_permille / 1000.0, 2 * place - 1);
}

static void build_targets(struct model *model)
{
	const struct model_case *setup = model->setup;
	struct doc_limits limits = { .slots = setup->slots,
				     .queue_length = QUEUE_LENGTH };

	for (uint32_t i = 0; i < setup->target_count; i++) {
		struct model_target *target = &model->targets[i];

		target->gate = adm_new_gate(model);
		if (setup->is_placed)
			adm_use_classes(target->gate);
		target->speed_factor = get_speed_factor(setup, i);
		adm_set_limits(target->gate, &limits);
		adm_announce_target(target->gate, "orders", "v1", 0);
		/* An adaptive limit would stop calls to a target that sheds. */
		if (setup->announces_slots || setup->fault == MODEL_FAULT_GREY)
			adm_set_known_slots(target->gate, setup->slots);
		target->address = talloc_asprintf(model, "t%u", i);
		target->concurrency_max = setup->slots;
		target->slow_factor = 1;
	}
}

/* Builds the table of an entry, without targets of a failed domain. */
static void build_table(struct model *model, uint32_t index)
{
	const struct model_case *setup = model->setup;
	struct model_entry *entry = &model->entries[index];
	struct rt_target targets[MODEL_TARGET_MAX] = { 0 };
	uint32_t own = model_get_domain(model, index);
	size_t count = 0;

	for (uint32_t i = 0; i < setup->target_count; i++) {
		uint32_t domain = model_get_domain(model, i);

		if (model_has_failed(model, i))
			continue;
		targets[count++] = (struct rt_target){
			.address = model->targets[i].address,
			.service = "orders",
			.version = "v1",
			.phase = RT_PHASE_SERVING,
			.failure_domain = talloc_asprintf(model, "d%u", domain),
			.distance_us =
				domain == own ? 0 : setup->distance_us * 2,
		};
	}
	if (entry->table)
		rt_unref_table(entry->table);
	entry->table = rt_new_table(model->snapshot, targets, count,
				    talloc_asprintf(model, "d%u", own));
}

static void rebuild_tables(uint64_t now_us, void *data)
{
	struct model *model = data;

	for (uint32_t i = 0; i < model->setup->target_count; i++)
		build_table(model, i);
}

static void build_entry(struct model *model, uint32_t index)
{
	const struct model_case *setup = model->setup;
	struct model_entry *entry = &model->entries[index];

	build_table(model, index);
	entry->chooser =
		rt_new_chooser(model, setup->policy, setup->seed * 100 + index);
	entry->budget = rt_new_budget(model, 100);
}

static void inject_fault(uint64_t now_us, void *data)
{
	struct model *model = data;
	struct model_target *cold = &model->targets[MODEL_COLD_TARGET];

	if (model->setup->fault == MODEL_FAULT_DOMAIN) {
		model->is_domain_failed = true;
		event_add(model->events, now_us + FAILURE_DETECTION_US,
			  rebuild_tables, model);
	}
	if (model->setup->fault == MODEL_FAULT_NONE ||
	    model->setup->fault == MODEL_FAULT_DOMAIN ||
	    model->setup->fault == MODEL_FAULT_GREY)
		return;
	model->targets[SLOW_TARGET].slow_factor = SLOW_FACTOR;
	cold->concurrency_max = 1;
	cold->served = 0;
	if (model->setup->fault == MODEL_FAULT_COLD_AGAIN)
		return;
	cold->instance++;
	cold->running = 0;
	adm_announce_target(cold->gate, "orders", "v1", now_us / 1000);
}

static gint compare_times(gconstpointer left, gconstpointer right)
{
	uint32_t a = *(const uint32_t *)left;
	uint32_t b = *(const uint32_t *)right;

	return (a > b) - (a < b);
}

static uint32_t get_quantile_us(GArray *times_us, uint32_t permille)
{
	if (times_us->len == 0)
		return 0;
	g_array_sort(times_us, compare_times);
	return g_array_index(times_us, uint32_t,
			     (uint64_t)(times_us->len - 1) * permille / 1000);
}

/*
 * Returns the calls per second that the healthy targets serve, without the cold
 * one.
 */
static double get_capacity(const struct model_case *setup)
{
	double targets = setup->target_count;

	if (setup->fault == MODEL_FAULT_GREY)
		targets -= MODEL_GREY_SHED_PERMILLE / 1000.0;
	else if (setup->fault == MODEL_FAULT_DOMAIN)
		targets -= targets / setup->domain_count;
	else if (setup->fault != MODEL_FAULT_NONE)
		targets -= 2 - 1.0 / SLOW_FACTOR;
	return targets * setup->slots * G_USEC_PER_SEC /
	       (setup->is_placed ? setup->service_us : MODEL_SERVICE_US);
}

/* Returns the load of all domains in thousandths. */
static double get_load(const struct model_case *setup)
{
	double extra = (double)setup->first_domain_permille -
		       (double)setup->load_permille;

	return setup->load_permille +
	       (setup->first_domain_permille ? extra / setup->domain_count : 0);
}

static void summarize(struct model *model)
{
	struct model_result *result = &model->result;

	result->p50_us = get_quantile_us(model->latencies_us, 500);
	result->p99_us = get_quantile_us(model->latencies_us, 990);
	result->large_body_p50_us =
		get_quantile_us(model->large_body_latencies_us, 500);
	result->refusal_p99_us = get_quantile_us(model->refusals_us, 990);
	result->capacity_permille = (uint64_t)((double)result->good * 1000 /
					       (get_capacity(model->setup) *
						model->setup->measured_s));
}

uint64_t model_get_warm_up_us(const struct model *model)
{
	return (uint64_t)model->setup->warm_up_s * G_USEC_PER_SEC;
}

uint32_t model_get_domain(const struct model *model, uint32_t index)
{
	return index % model->setup->domain_count;
}

bool model_has_failed(const struct model *model, uint32_t index)
{
	return model->is_domain_failed &&
	       model_get_domain(model, index) == FAILED_DOMAIN;
}

struct model_result model_run(const struct model_case *setup)
{
	struct model *model = talloc_zero(NULL, struct model);
	struct model_result result;

	g_assert(setup->target_count <= MODEL_TARGET_MAX);
	model->setup = setup;
	model->events = event_new_queue(model);
	model->random = g_rand_new_with_seed((guint32)setup->seed);
	model->latencies_us = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	model->large_body_latencies_us =
		g_array_new(FALSE, FALSE, sizeof(uint32_t));
	model->refusals_us = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	model->arrival_gap_us = G_USEC_PER_SEC * 1000.0 /
				(get_capacity(setup) * get_load(setup));
	model->arrival_end_us = model_get_warm_up_us(model) +
				(uint64_t)setup->measured_s * G_USEC_PER_SEC;
	build_snapshot(model);
	build_targets(model);
	for (uint32_t i = 0; i < setup->target_count; i++)
		build_entry(model, i);
	event_add(model->events, model_get_warm_up_us(model), inject_fault,
		  model);
	if (setup->report_ms > 0)
		event_add(model->events, 0, model_send_reports, model);
	model_begin(model);
	event_run(model->events);
	summarize(model);
	result = model->result;
	for (uint32_t i = 0; i < setup->target_count; i++)
		rt_unref_table(model->entries[i].table);
	doc_unref_snapshot(model->snapshot);
	g_array_free(model->latencies_us, TRUE);
	g_array_free(model->large_body_latencies_us, TRUE);
	g_array_free(model->refusals_us, TRUE);
	g_rand_free(model->random);
	talloc_free(model);
	return result;
}
