/*
 * Computes the report: for each service the counts and burn rates of all
 * windows, in total, by failure domain and by version, and the points of its
 * plots. The result depends on the input only.
 */
#include <string.h>
#include "history.h"

/* Distinct failure domains and versions in the series of a service. */
struct breakdown_names {
	const char *service;
	GPtrArray *domains;
	GPtrArray *versions;
};

static void add_unique(GPtrArray *list, const char *name)
{
	for (guint i = 0; i < list->len; i++) {
		if (strcmp(g_ptr_array_index(list, i), name) == 0)
			return;
	}
	g_ptr_array_add(list, (gpointer)name);
}

static void collect_names(const struct burn_key *key, void *data)
{
	struct breakdown_names *names = data;

	if (strcmp(key->service, names->service) != 0)
		return;
	add_unique(names->domains, key->failure_domain);
	add_unique(names->versions, key->version);
}

static gint compare_names(gconstpointer left, gconstpointer right)
{
	return strcmp(*(const char *const *)left, *(const char *const *)right);
}

static struct burn_row make_row(const struct burn_input *input,
				const struct doc_objective *objective,
				const struct burn_key *filter, const char *name)
{
	struct burn_row row = { .name = name };

	for (int i = 0; i < BURN_WINDOW_COUNT; i++) {
		row.counts[i] = burn_sum_counts(
			input->history, filter, input->now_ms,
			burn_get_window_minutes((enum burn_window)i));
		row.failed_rates[i] =
			burn_get_failed_rate(&row.counts[i], objective);
		row.slow_rates[i] =
			burn_get_slow_rate(&row.counts[i], objective);
	}
	return row;
}

static void make_breakdowns(TALLOC_CTX *ctx, const struct burn_input *input,
			    struct burn_service *service)
{
	struct breakdown_names names = { .service = service->name,
					 .domains = g_ptr_array_new(),
					 .versions = g_ptr_array_new() };

	burn_for_each_series(input->history, collect_names, &names);
	g_ptr_array_sort(names.versions, compare_names);
	service->domain_count = names.domains->len;
	service->domains =
		talloc_zero_array(ctx, struct burn_row, names.domains->len + 1);
	for (guint i = 0; i < names.domains->len; i++) {
		const char *name = g_ptr_array_index(names.domains, i);
		struct burn_key filter = { .service = service->name,
					   .failure_domain = name };

		service->domains[i] =
			make_row(input, &service->objective, &filter, name);
	}
	service->version_count = names.versions->len;
	service->versions = talloc_zero_array(ctx, struct burn_row,
					      names.versions->len + 1);
	for (guint i = 0; i < names.versions->len; i++) {
		const char *name = g_ptr_array_index(names.versions, i);
		struct burn_key filter = { .service = service->name,
					   .version = name };

		service->versions[i] =
			make_row(input, &service->objective, &filter, name);
	}
	g_ptr_array_free(names.domains, TRUE);
	g_ptr_array_free(names.versions, TRUE);
}

/*
 * Returns the sum of the minutes up to end_ms. A point of the 3-day plot is the
 * difference of two sums over the coarse slots, since burn_sum_counts() uses
 * these only beyond BURN_FINE_MINUTES.
 */
static struct burn_counts sum_point(const struct burn_input *input,
				    const struct burn_key *filter,
				    uint64_t end_ms, uint32_t minutes,
				    bool is_coarse)
{
	struct burn_counts sum;
	struct burn_counts earlier;

	if (!is_coarse)
		return burn_sum_counts(input->history, filter, end_ms, minutes);
	sum = burn_sum_counts(input->history, filter, end_ms,
			      BURN_PERIOD_MINUTES);
	earlier = burn_sum_counts(input->history, filter,
				  end_ms - minutes * MINUTE_MS,
				  BURN_PERIOD_MINUTES - minutes);
	sum.calls -= earlier.calls;
	sum.failed -= earlier.failed;
	sum.slow -= earlier.slow;
	return sum;
}

static void make_points(const struct burn_input *input,
			const struct burn_service *service, uint32_t minutes,
			struct burn_point points[BURN_POINT_COUNT])
{
	struct burn_key filter = { .service = service->name };
	bool is_coarse = minutes == BURN_COARSE_POINT_MINUTES;

	for (uint32_t i = 0; i < BURN_POINT_COUNT; i++) {
		uint64_t age_ms =
			(BURN_POINT_COUNT - 1 - i) * minutes * MINUTE_MS;
		struct burn_counts counts;

		if (age_ms + BURN_PERIOD_MINUTES * MINUTE_MS > input->now_ms)
			continue;
		points[i].end_ms = input->now_ms - age_ms;
		counts = sum_point(input, &filter, points[i].end_ms, minutes,
				   is_coarse);
		points[i].failed_rate =
			burn_get_failed_rate(&counts, &service->objective);
		points[i].slow_rate =
			burn_get_slow_rate(&counts, &service->objective);
	}
}

static void make_service(TALLOC_CTX *ctx, const struct burn_input *input,
			 const struct doc_service *document,
			 uint32_t data_minutes, struct burn_service *service)
{
	struct burn_key filter = { .service = document->name };

	service->name = document->name;
	service->objective = document->objective;
	service->all = make_row(input, &service->objective, &filter, "");
	service->failed_verdict =
		burn_classify_rates(service->all.failed_rates);
	service->slow_verdict = burn_classify_rates(service->all.slow_rates);
	service->failed_budget_spent = burn_get_spent_share(
		service->all.failed_rates[BURN_WINDOW_3_DAYS], data_minutes);
	service->slow_budget_spent = burn_get_spent_share(
		service->all.slow_rates[BURN_WINDOW_3_DAYS], data_minutes);
	make_breakdowns(ctx, input, service);
	make_points(input, service, BURN_FINE_POINT_MINUTES, service->fine);
	make_points(input, service, BURN_COARSE_POINT_MINUTES, service->coarse);
}

static uint32_t compute_data_minutes(const struct burn_input *input)
{
	uint64_t since_ms = burn_get_since_ms(input->history);
	uint64_t minutes = input->now_ms > since_ms
				   ? (input->now_ms - since_ms) / MINUTE_MS
				   : 0;

	return (uint32_t)MIN(minutes, BURN_PERIOD_MINUTES);
}

struct undocumented {
	const struct burn_input *input;
	GPtrArray *names;
};

static void collect_undocumented(const struct burn_key *key, void *data)
{
	struct undocumented *undocumented = data;

	for (size_t i = 0; i < undocumented->input->service_count; i++) {
		if (strcmp(undocumented->input->services[i]->name,
			   key->service) == 0)
			return;
	}
	add_unique(undocumented->names, key->service);
}

static const char *const *list_undocumented(TALLOC_CTX *ctx,
					    const struct burn_input *input)
{
	struct undocumented undocumented = { .input = input,
					     .names = g_ptr_array_new() };
	const char **names;

	burn_for_each_series(input->history, collect_undocumented,
			     &undocumented);
	names = talloc_zero_array(ctx, const char *,
				  undocumented.names->len + 1);
	for (guint i = 0; i < undocumented.names->len; i++)
		names[i] = g_ptr_array_index(undocumented.names, i);
	g_ptr_array_free(undocumented.names, TRUE);
	return names;
}

struct burn_report *burn_make_report(TALLOC_CTX *ctx,
				     const struct burn_input *input)
{
	struct burn_report *report = talloc_zero(ctx, struct burn_report);

	report->now_ms = input->now_ms;
	report->data_minutes = compute_data_minutes(input);
	report->node_count = input->node_count;
	report->unreached = input->unreached;
	report->undocumented = list_undocumented(report, input);
	report->service_count = input->service_count;
	report->services = talloc_zero_array(report, struct burn_service,
					     input->service_count + 1);
	for (size_t i = 0; i < input->service_count; i++)
		make_service(report, input, input->services[i],
			     report->data_minutes, &report->services[i]);
	return report;
}
