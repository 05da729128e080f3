/*
 * Counters: monotone counts and gauges, read as text at /metrics.
 *
 * Adding is atomic and allowed from every thread; registering and printing
 * belong to the control thread.
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
 * Returns the counter of that name and label set, made when it is new.
 * labels is the text between the braces ("reason=\"queue_full\"") or NULL.
 * Borrowed from the registry; all texts are copied.
 */
struct cnt_counter *cnt_get_counter(struct cnt_registry *registry,
				    enum cnt_kind kind, const char *name,
				    const char *labels, const char *help);

/* Adds amount to a counter or gauge. */
void cnt_add(struct cnt_counter *counter, int64_t amount);

/* Sets a gauge. */
void cnt_set(struct cnt_counter *counter, int64_t value);

/* Returns the present value. */
int64_t cnt_get_value(const struct cnt_counter *counter);

/* A histogram of durations; see counter.c for the bounds of its buckets. */
struct cnt_histogram;

/*
 * Returns the histogram of that name and label set, made when it is new.
 * Borrowed from the registry; all texts are copied.
 */
struct cnt_histogram *cnt_get_histogram(struct cnt_registry *registry,
					const char *name, const char *labels,
					const char *help);

/* Counts one duration. */
void cnt_observe(struct cnt_histogram *histogram, uint64_t duration_us);

/* Appends all counters and histograms to text in the usual exposition format.
 */
void cnt_print(const struct cnt_registry *registry, GString *text);

#endif
