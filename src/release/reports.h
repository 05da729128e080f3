/*
 * Reports of slots on their way to the nodes that have the duty for a service.
 */
#ifndef RLS_REPORTS_H
#define RLS_REPORTS_H

#include "loom/release.h"

struct rls_reports;

/* The receiver holds the lease of a service whose report it got. */
typedef void (*rls_word_fn)(const char *service, void *data);

/* Returns a new sender owned by ctx, or NULL with *error set. */
struct rls_reports *rls_new_reports(TALLOC_CTX *ctx,
				    const struct rls_options *options,
				    rls_word_fn fn, void *data, GError **error);

/*
 * Puts a report into the batch for a receiver; the reference is taken. A report
 * beyond the bound of a batch is dropped and counted.
 */
void rls_add_report(struct rls_reports *reports, const char *receiver,
		    json_t *report);

/* Sends all batches; is_forwarded says that they are from other nodes. */
void rls_send_reports(struct rls_reports *reports, bool is_forwarded);

/* Counts a report that nobody takes. */
void rls_drop_report(struct rls_reports *reports);

#endif
