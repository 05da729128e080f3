/*
 * Burn rates of service-level objectives: the history of call counts that each
 * node keeps in memory, the formulae, and the report over all nodes. A burn
 * rate is the speed at which calls spend the error budget, that is the share of
 * calls that may miss the objective.
 *
 * Times are wall clock in milliseconds since 1970. docs/BURN.md gives the
 * formulae with worked examples.
 */
#ifndef LOOM_BURN_H
#define LOOM_BURN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>
#include <jansson.h>
#include <talloc.h>
#include "loom/document.h"

/* Minutes that the slots of 1 minute cover. */
#define BURN_FINE_MINUTES 360U
/* Minutes that the slots of 10 minutes cover; also the budget's period. */
#define BURN_PERIOD_MINUTES 4320U

/* Counts of attempts to call a target. */
struct burn_counts {
	uint64_t calls;
	uint64_t failed; /* calls that failed, got lost or were refused */
	uint64_t slow;	 /* good calls that took longer than the objective */
};

/* Key of a series; in a filter, NULL matches every name. */
struct burn_key {
	const char *service;
	const char *version;
	const char *failure_domain;
};

struct burn_history;

/* Returns a new, empty history owned by ctx, whose data begins at since_ms. */
struct burn_history *burn_new_history(TALLOC_CTX *ctx, uint64_t since_ms);

/* Adds counts at time_ms to a series; ignores times older than all slots. */
void burn_add_counts(struct burn_history *history, const struct burn_key *key,
		     uint64_t time_ms, const struct burn_counts *counts);

/*
 * Returns the counts of all series that match filter, summed over the given
 * number of minutes up to end_ms. The sum covers whole slots, the last being
 * the one that contains end_ms: slots of 1 minute, or of 10 minutes when
 * minutes is more than BURN_FINE_MINUTES.
 */
struct burn_counts burn_sum_counts(const struct burn_history *history,
				   const struct burn_key *filter,
				   uint64_t end_ms, uint32_t minutes);

/* Returns the time at which the data of the history begins. */
uint64_t burn_get_since_ms(const struct burn_history *history);

typedef void (*burn_key_fn)(const struct burn_key *key, void *data);

/* Calls fn for each series, ordered by service, failure domain and version. */
void burn_for_each_series(const struct burn_history *history, burn_key_fn fn,
			  void *data);

/*
 * Returns the history of a service as JSON, or of all services when service is
 * NULL. The caller owns the new reference.
 */
json_t *burn_format_history(const struct burn_history *history,
			    const char *service, uint64_t now_ms);

/*
 * Adds the history of a node to history. Ignores slots after now_ms, since
 * those of a node whose clock is ahead would displace the current slots of all
 * nodes. Returns false with *error set, and history unchanged, when json does
 * not have the form that burn_format_history() returns.
 */
bool burn_merge_history(struct burn_history *history, const json_t *json,
			uint64_t now_ms, GError **error);

/*
 * Returns the burn rate of failed calls: their share of all calls divided by
 * the share that the objective allows. A constant rate of 1 spends the whole
 * budget in BURN_PERIOD_MINUTES.
 */
double burn_get_failed_rate(const struct burn_counts *counts,
			    const struct doc_objective *objective);

/*
 * Returns the burn rate of slow calls: their share of good calls divided by the
 * share that the objective allows.
 */
double burn_get_slow_rate(const struct burn_counts *counts,
			  const struct doc_objective *objective);

/* Returns the share of the period's budget that rate spends in minutes. */
double burn_get_spent_share(double rate, uint32_t minutes);

/* How fast the budget is being spent; formula.c has the thresholds. */
enum burn_verdict {
	BURN_VERDICT_NONE,
	BURN_VERDICT_SLOW,
	BURN_VERDICT_FAST,
};

/* Windows over which rates are computed, shortest first. */
enum burn_window {
	BURN_WINDOW_5_MINUTES,
	BURN_WINDOW_1_HOUR,
	BURN_WINDOW_6_HOURS,
	BURN_WINDOW_3_DAYS,
	BURN_WINDOW_COUNT,
};

/* Return the length of a window, and its name as reports show it. */
uint32_t burn_get_window_minutes(enum burn_window window);
const char *burn_get_window_name(enum burn_window window);

/* Returns the verdict on the rates of one objective in each window. */
enum burn_verdict burn_classify_rates(const double rates[BURN_WINDOW_COUNT]);

/* Returns the lower-case name used in reports: "none", "slow", "fast". */
const char *burn_get_verdict_name(enum burn_verdict verdict);

/* Counts and rates of a service, or of one failure domain or version of it. */
struct burn_row {
	const char *name; /* failure domain or version; "": total */
	struct burn_counts counts[BURN_WINDOW_COUNT];
	double failed_rates[BURN_WINDOW_COUNT];
	double slow_rates[BURN_WINDOW_COUNT];
};

/* One point of a plot: the rates of the time up to end_ms. */
struct burn_point {
	uint64_t end_ms;
	double failed_rate;
	double slow_rate;
};

#define BURN_POINT_COUNT 72U
#define BURN_FINE_POINT_MINUTES 5U
#define BURN_COARSE_POINT_MINUTES 60U

struct burn_service {
	const char *name;
	struct doc_objective objective;
	enum burn_verdict failed_verdict;
	enum burn_verdict slow_verdict;
	double failed_budget_spent; /* share of the period's budget, 1 is all */
	double slow_budget_spent;   /* share, 1 is all */
	struct burn_row all;	    /* totals of the service */
	struct burn_row *domains;
	size_t domain_count;
	struct burn_row *versions;
	size_t version_count;
	struct burn_point fine[BURN_POINT_COUNT];   /* covers 6 hours */
	struct burn_point coarse[BURN_POINT_COUNT]; /* covers 3 days */
};

struct burn_report {
	uint64_t now_ms;
	uint32_t data_minutes;	      /* minutes before now_ms with data */
	size_t node_count;	      /* nodes that answered */
	const char *const *unreached; /* nodes that did not; NULL-terminated */
	const char *const *undocumented; /* services with calls but no document;
					  * NULL-terminated */
	struct burn_service *services;	 /* ordered by name */
	size_t service_count;
};

/* Input of a report. All pointers are borrowed. */
struct burn_input {
	const struct burn_history *history;
	const struct doc_service *const *services;
	size_t service_count;
	uint64_t now_ms;
	size_t node_count;
	const char *const *unreached;
};

/*
 * Returns a new report owned by ctx. It borrows strings of the documents and of
 * the history, and the array unreached.
 */
struct burn_report *burn_make_report(TALLOC_CTX *ctx,
				     const struct burn_input *input);

/* Append the report as text, or as an HTML page that loads nothing else. */
void burn_print_text(const struct burn_report *report, GString *text);
void burn_print_html(const struct burn_report *report, GString *text);

/* Returns the report as JSON, a new reference. */
json_t *burn_format_report(const struct burn_report *report);

#endif
