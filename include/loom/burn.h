/*
 * Burn of service-level objectives: the history of call counts that each node
 * keeps in memory, the formulae, and the report over all nodes.
 *
 * Times are wall clock in milliseconds since 1970. docs/BURN.md gives the
 * formulae with worked cases.
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

/* How far back the slots of 1 and of 10 minutes reach. */
#define BURN_FINE_MINUTES 360U
#define BURN_PERIOD_MINUTES 4320U

/* Counts of attempts at targets. */
struct burn_counts {
	uint64_t calls;
	uint64_t failed; /* of calls: failed, lost or refused */
	uint64_t slow;	 /* of the good ones: later than the objective */
};

/* Names a series; as a filter, NULL stands for every name. */
struct burn_key {
	const char *service;
	const char *version;
	const char *failure_domain;
};

struct burn_history;

/* Returns a new, empty history owned by ctx that begins at since_ms. */
struct burn_history *burn_new_history(TALLOC_CTX *ctx, uint64_t since_ms);

/* Adds counts to a series at a time; times older than the slots are dropped. */
void burn_note_counts(struct burn_history *history, const struct burn_key *key,
		      uint64_t time_ms, const struct burn_counts *counts);

/*
 * Returns the sum over all series that match filter, of the last minutes
 * before end_ms: whole slots, the one of end_ms included. Beyond
 * BURN_FINE_MINUTES the slots are those of 10 minutes.
 */
struct burn_counts burn_sum_counts(const struct burn_history *history,
				   const struct burn_key *filter,
				   uint64_t end_ms, uint32_t minutes);

/* Returns when the history begins. */
uint64_t burn_get_since_ms(const struct burn_history *history);

typedef void (*burn_key_fn)(const struct burn_key *key, void *data);

/* Calls fn for each series, ordered by service, failure domain and version. */
void burn_each_series(const struct burn_history *history, burn_key_fn fn,
		      void *data);

/* Returns the history as JSON, a new reference; service NULL: all of them. */
json_t *burn_format_history(const struct burn_history *history,
			    const char *service, uint64_t now_ms);

/*
 * Adds the history of a node; slots after now_ms are passed over, since a
 * wrong clock would push out those of other nodes. Returns false with *error
 * set, and history unchanged, when json is not what burn_format_history()
 * makes.
 */
bool burn_merge_history(struct burn_history *history, const json_t *json,
			uint64_t now_ms, GError **error);

/* Burn rate of failed calls: 1 spends the budget exactly over the period. */
double burn_get_failed_rate(const struct burn_counts *counts,
			    const struct doc_objective *objective);

/* Burn rate of good calls that were later than the objective's latency. */
double burn_get_slow_rate(const struct burn_counts *counts,
			  const struct doc_objective *objective);

/* Share of the period's budget spent at a rate for that many minutes. */
double burn_get_spent_share(double rate, uint32_t minutes);

enum burn_verdict {
	BURN_VERDICT_NONE,
	BURN_VERDICT_SLOW,
	BURN_VERDICT_FAST,
};

/* Windows that are judged, shortest first. */
enum burn_window {
	BURN_WINDOW_5_MINUTES,
	BURN_WINDOW_1_HOUR,
	BURN_WINDOW_6_HOURS,
	BURN_WINDOW_3_DAYS,
	BURN_WINDOW_COUNT,
};

/* Returns the length and the name of a window. */
uint32_t burn_get_window_minutes(enum burn_window window);
const char *burn_get_window_name(enum burn_window window);

/* Judges the rates of one objective, one a window. */
enum burn_verdict burn_judge_rates(const double rates[BURN_WINDOW_COUNT]);

/* Returns the lower-case name used in reports: "none", "slow", "fast". */
const char *burn_get_verdict_name(enum burn_verdict verdict);

/* Rates and counts of one service, or of one part of it. */
struct burn_row {
	const char *name; /* of the failure domain or version; "" for all */
	struct burn_counts counts[BURN_WINDOW_COUNT];
	double failed_rates[BURN_WINDOW_COUNT];
	double slow_rates[BURN_WINDOW_COUNT];
};

/* One point of a plot. */
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
	double failed_spent; /* share of the period's budget */
	double slow_spent;
	struct burn_row all;
	struct burn_row *domains;
	size_t domain_count;
	struct burn_row *versions;
	size_t version_count;
	struct burn_point fine[BURN_POINT_COUNT];   /* 6 hours */
	struct burn_point coarse[BURN_POINT_COUNT]; /* 3 days */
};

struct burn_report {
	uint64_t now_ms;
	uint32_t reach_minutes;		 /* how far back the data goes */
	size_t node_count;		 /* that answered */
	const char *const *unreached;	 /* nodes; NULL-terminated */
	const char *const *undocumented; /* services with calls but no document
					  */
	struct burn_service *services;	 /* ordered by name */
	size_t service_count;
};

/* What a report is made from. Names are borrowed. */
struct burn_input {
	const struct burn_history *history;
	const struct doc_service *const *services;
	size_t service_count;
	uint64_t now_ms;
	size_t node_count;
	const char *const *unreached;
};

/* Returns a new report owned by ctx. */
struct burn_report *burn_make_report(TALLOC_CTX *ctx,
				     const struct burn_input *input);

/* Appends the report as text or as one HTML page without outer references. */
void burn_print_text(const struct burn_report *report, GString *text);
void burn_print_html(const struct burn_report *report, GString *text);

/* Returns the report as JSON, a new reference. */
json_t *burn_format_report(const struct burn_report *report);

#endif
