/*
 * Metrics: monotonic counters, gauges and histograms, served at /metrics.
 *
 * Updating a value is atomic and allowed from any thread. Registering and
 * printing are allowed only on the control thread.
 */
#ifndef LOOM_COUNTER_H
#define LOOM_COUNTER_H

#include <stdint.h>
#include <glib.h>
#include <talloc.h>

struct cnt_registry;
struct cnt_counter;

enum cnt_kind {
	CNT_KIND_COUNTER,
	CNT_KIND_GAUGE,
};

/* Returns a new, empty registry owned by ctx. */
struct cnt_registry *cnt_new_registry(TALLOC_CTX *ctx);

/*
 * Returns the counter with this name and label set (borrowed from the
 * registry), creating it if needed. labels is the text between the braces, such
 * as reason="queue_full", or NULL. All strings are copied.
 */
struct cnt_counter *cnt_get_counter(struct cnt_registry *registry,
				    enum cnt_kind kind, const char *name,
				    const char *labels, const char *help);

/* Adds amount, which may be negative only for a gauge. */
void cnt_add(struct cnt_counter *counter, int64_t amount);

/* Sets the value of a gauge; not for counters. */
void cnt_set(struct cnt_counter *counter, int64_t value);

/* Returns the current value of a counter or gauge. */
int64_t cnt_get_value(const struct cnt_counter *counter);

/* Histogram of durations; counter.c defines the bounds of its buckets. */
struct cnt_histogram;

/*
 * Returns the histogram with this name and label set (borrowed from the
 * registry), creating it if needed. All strings are copied.
 */
struct cnt_histogram *cnt_get_histogram(struct cnt_registry *registry,
					const char *name, const char *labels,
					const char *help);

/* Adds one duration to the histogram. */
void cnt_observe(struct cnt_histogram *histogram, uint64_t duration_us);

/* Appends all metrics to text in the Prometheus text format. */
void cnt_print(const struct cnt_registry *registry, GString *text);

#endif
