/*
 * Registry of counters, kept in order of name and then of labels.
 *
 * Invariant: counters of one name share kind and help, and stand together in
 * the printed text, so that its header lines appear once a name.
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

struct cnt_registry {
	GSequence *counters;
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
	return 0;
}

struct cnt_registry *cnt_new_registry(TALLOC_CTX *ctx)
{
	struct cnt_registry *registry = talloc_zero(ctx, struct cnt_registry);

	registry->counters = g_sequence_new(NULL);
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
}
