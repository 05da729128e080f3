/*
 * Sends reports of slots to the nodes that own the services.
 */
#ifndef RLS_REPORTS_H
#define RLS_REPORTS_H

#include "loom/release.h"

struct rls_reports;

/* Receives the answer to a batch of reports (borrowed). */
typedef void (*rls_answer_fn)(const json_t *answer, void *data);

/*
 * Returns a new sender owned by ctx, or NULL with *error set. fn is called with
 * data.
 */
struct rls_reports *rls_new_reports(TALLOC_CTX *ctx,
				    const struct rls_options *options,
				    rls_answer_fn fn, void *data,
				    GError **error);

/*
 * Adds a report to the batch for a receiver; the reference is stolen. When the
 * batch is full, the report is dropped and counted.
 */
void rls_add_report(struct rls_reports *reports, const char *receiver,
		    json_t *report);

/* Sends all batches; is_forwarded: the reports are from other nodes. */
void rls_send_reports(struct rls_reports *reports, bool is_forwarded);

/* Counts a report that was dropped. */
void rls_count_dropped_report(struct rls_reports *reports);

#endif
