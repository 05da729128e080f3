/*
 * Registry of counters, sorted by name and then by labels, and of histograms,
 * in order of registration.
 *
 * Invariants: counters of one name have the same kind and help text. They are
 * adjacent in the output, so HELP and TYPE are printed once per name. A bucket
 * of a histogram is not cumulative: it counts the durations above the previous
 * bound and up to its own; printing adds them up.
 */
#include "loom/counter.h"

#include <assert.h>
#include <inttypes.h>
#include <stdatomic.h>

struct cnt_counter {
	const char *name;
	const char *labels;
	const char *help;
	enum cnt_kind kind;
	_Atomic int64_t value;
};

/* Inclusive upper bounds of the buckets; a further bucket has no bound. */
static const uint64_t bucket_bounds_us[] = {
	1000,	2000,	5000,	10000,	 20000,	  50000,
	100000, 200000, 500000, 1000000, 2000000, 5000000,
};
#define BUCKET_COUNT (G_N_ELEMENTS(bucket_bounds_us) + 1)

struct cnt_histogram {
	const char *name;
	const char *labels;
	const char *help;
	_Atomic uint64_t buckets[BUCKET_COUNT];
	_Atomic uint64_t sum_us;
};

struct cnt_registry {
	GSequence *counters;
	GPtrArray *histograms; /* struct cnt_histogram, in registration order */
};

static gint compare_counters(gconstpointer left, gconstpointer right,
			     gpointer data)
{
	const struct cnt_counter *a = left;
	const struct cnt_counter *b = right;
	int order = g_strcmp0(a->name, b->name);

	return order ? order : g_strcmp0(a->labels, b->labels);
}

static int destroy_registry(struct cnt_registry *registry)
{
	g_sequence_free(registry->counters);
	g_ptr_array_free(registry->histograms, TRUE);
	return 0;
}

struct cnt_registry *cnt_new_registry(TALLOC_CTX *ctx)
{
	struct cnt_registry *registry = talloc_zero(ctx, struct cnt_registry);

	registry->counters = g_sequence_new(NULL);
	registry->histograms = g_ptr_array_new();
	talloc_set_destructor(registry, destroy_registry);
	return registry;
}

struct cnt_counter *cnt_get_counter(struct cnt_registry *registry,
				    enum cnt_kind kind, const char *name,
				    const char *labels, const char *help)
{
	struct cnt_counter key = { .name = name, .labels = labels };
	struct cnt_counter *counter;
	GSequenceIter *found;

	found = g_sequence_lookup(registry->counters, &key, compare_counters,
				  NULL);
	if (found)
		return g_sequence_get(found);
	counter = talloc_zero(registry, struct cnt_counter);
	counter->name = talloc_strdup(counter, name);
	counter->labels = labels ? talloc_strdup(counter, labels) : NULL;
	counter->help = talloc_strdup(counter, help);
	counter->kind = kind;
	g_sequence_insert_sorted(registry->counters, counter, compare_counters,
				 NULL);
	return counter;
}

void cnt_add(struct cnt_counter *counter, int64_t amount)
{
	assert(counter->kind == CNT_KIND_GAUGE || amount >= 0);
	atomic_fetch_add_explicit(&counter->value, amount,
				  memory_order_relaxed);
}

void cnt_set(struct cnt_counter *counter, int64_t value)
{
	assert(counter->kind == CNT_KIND_GAUGE);
	atomic_store_explicit(&counter->value, value, memory_order_relaxed);
}

int64_t cnt_get_value(const struct cnt_counter *counter)
{
	return atomic_load_explicit(&counter->value, memory_order_relaxed);
}

struct cnt_histogram *cnt_get_histogram(struct cnt_registry *registry,
					const char *name, const char *labels,
					const char *help)
{
	struct cnt_histogram *histogram;

	for (guint i = 0; i < registry->histograms->len; i++) {
		histogram = g_ptr_array_index(registry->histograms, i);
		if (g_strcmp0(histogram->name, name) == 0 &&
		    g_strcmp0(histogram->labels, labels) == 0)
			return histogram;
	}
	histogram = talloc_zero(registry, struct cnt_histogram);
	histogram->name = talloc_strdup(histogram, name);
	histogram->labels = talloc_strdup(histogram, labels ? labels : "");
	histogram->help = talloc_strdup(histogram, help);
	g_ptr_array_add(registry->histograms, histogram);
	return histogram;
}

void cnt_observe(struct cnt_histogram *histogram, uint64_t duration_us)
{
	size_t bucket = 0;

	while (bucket < BUCKET_COUNT - 1 &&
	       duration_us > bucket_bounds_us[bucket])
		bucket++;
	atomic_fetch_add_explicit(&histogram->buckets[bucket], 1,
				  memory_order_relaxed);
	atomic_fetch_add_explicit(&histogram->sum_us, duration_us,
				  memory_order_relaxed);
}

static void print_bucket(const struct cnt_histogram *histogram,
			 const char *bound, uint64_t count, GString *text)
{
	g_string_append_printf(text, "%s_bucket{%s%sle=\"%s\"} %" PRIu64 "\n",
			       histogram->name, histogram->labels,
			       *histogram->labels ? "," : "", bound, count);
}

static void print_histogram(const struct cnt_histogram *histogram,
			    GString *text)
{
	char bound[G_ASCII_DTOSTR_BUF_SIZE];
	uint64_t count = 0;

	for (size_t i = 0; i < BUCKET_COUNT; i++) {
		count += histogram->buckets[i];
		if (i + 1 < BUCKET_COUNT)
			g_ascii_formatd(bound, sizeof(bound), "%g",
					(double)bucket_bounds_us[i] / 1e6);
		print_bucket(histogram, i + 1 < BUCKET_COUNT ? bound : "+Inf",
			     count, text);
	}
	g_ascii_formatd(bound, sizeof(bound), "%.6f",
			(double)histogram->sum_us / 1e6);
	g_string_append_printf(text,
			       "%s_sum{%s} %s\n%s_count{%s} %" PRIu64 "\n",
			       histogram->name, histogram->labels, bound,
			       histogram->name, histogram->labels, count);
}

static void print_histograms(const struct cnt_registry *registry, GString *text)
{
	const char *last_name = NULL;

	for (guint i = 0; i < registry->histograms->len; i++) {
		const struct cnt_histogram *histogram =
			g_ptr_array_index(registry->histograms, i);

		if (g_strcmp0(last_name, histogram->name) != 0)
			g_string_append_printf(
				text, "# HELP %s %s\n# TYPE %s histogram\n",
				histogram->name, histogram->help,
				histogram->name);
		last_name = histogram->name;
		print_histogram(histogram, text);
	}
}

void cnt_print(const struct cnt_registry *registry, GString *text)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(registry->counters);
	const char *last_name = NULL;

	for (; !g_sequence_iter_is_end(iter);
	     iter = g_sequence_iter_next(iter)) {
		const struct cnt_counter *counter = g_sequence_get(iter);

		if (g_strcmp0(last_name, counter->name) != 0)
			g_string_append_printf(
				text, "# HELP %s %s\n# TYPE %s %s\n",
				counter->name, counter->help, counter->name,
				counter->kind == CNT_KIND_GAUGE ? "gauge"
								: "counter");
		last_name = counter->name;
		g_string_append(text, counter->name);
		if (counter->labels)
			g_string_append_printf(text, "{%s}", counter->labels);
		g_string_append_printf(text, " %" PRId64 "\n",
				       cnt_get_value(counter));
	}
	print_histograms(registry, text);
}
