/*
 * Sender of reports: one batch per receiver, sent as one request.
 *
 * Invariants: batches is empty after rls_send_reports(); at most IN_FLIGHT_MAX
 * requests are in progress. Batches beyond that are dropped instead of queued,
 * because a late report is of no use to the analysis.
 */
#include "reports.h"

#include <stdlib.h>
#include <string.h>

#define BATCH_REPORTS_MAX 256U
#define IN_FLIGHT_MAX 64U
#define SEND_TIMEOUT_MS 2000U
#define ANSWER_BYTES_MAX 65536U

struct rls_reports {
	struct hc_loop *client;
	GHashTable *batches; /* receiver to JSON array of reports */
	uint32_t in_flight;
	struct cnt_counter *sent;
	struct cnt_counter *dropped;
	rls_answer_fn fn;
	void *data;
};

static void free_batch(gpointer data)
{
	json_decref(data);
}

static int destroy_reports(struct rls_reports *reports)
{
	g_hash_table_destroy(reports->batches);
	return 0;
}

static void handle_response(const struct hc_answer *answer, void *data)
{
	struct rls_reports *reports = data;
	json_t *value = NULL;

	reports->in_flight--;
	if (!answer->error && answer->status == MHD_HTTP_OK)
		value = json_loadb(answer->body, answer->body_size, 0, NULL);
	if (value)
		reports->fn(value, reports->data);
	json_decref(value);
}

static void send_batch(struct rls_reports *reports, const char *receiver,
		       json_t *batch, bool is_forwarded)
{
	json_t *value = json_pack("{s:b,s:O}", "forwarded", (int)is_forwarded,
				  "reports", batch);
	char *body = json_dumps(value, JSON_COMPACT);
	char *url =
		talloc_asprintf(reports, "http://%s/moves/report", receiver);
	struct hc_options options = { .method = "POST",
				      .url = url,
				      .body = body,
				      .body_size = strlen(body),
				      .timeout_ms = SEND_TIMEOUT_MS,
				      .answer_bytes_max = ANSWER_BYTES_MAX };

	reports->in_flight++;
	cnt_add(reports->sent, (int64_t)json_array_size(batch));
	hc_send(reports, reports->client, &options, handle_response, reports);
	talloc_free(url);
	free(body);
	json_decref(value);
}

struct rls_reports *rls_new_reports(TALLOC_CTX *ctx,
				    const struct rls_options *options,
				    rls_answer_fn fn, void *data,
				    GError **error)
{
	struct rls_reports *reports = talloc_zero(ctx, struct rls_reports);

	reports->client = hc_new_loop(reports, options->events, error);
	if (!reports->client) {
		talloc_free(reports);
		return NULL;
	}
	reports->batches = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, free_batch);
	talloc_set_destructor(reports, destroy_reports);
	reports->sent = cnt_get_counter(options->counters, CNT_KIND_COUNTER,
					"loom_move_reports_sent", NULL,
					"reports of slots sent to holders");
	reports->dropped = cnt_get_counter(options->counters, CNT_KIND_COUNTER,
					   "loom_move_reports_dropped", NULL,
					   "reports of slots nobody took");
	reports->fn = fn;
	reports->data = data;
	return reports;
}

void rls_count_dropped_report(struct rls_reports *reports)
{
	cnt_add(reports->dropped, 1);
}

void rls_add_report(struct rls_reports *reports, const char *receiver,
		    json_t *report)
{
	json_t *batch = g_hash_table_lookup(reports->batches, receiver);

	if (!batch) {
		batch = json_array();
		g_hash_table_insert(reports->batches, g_strdup(receiver),
				    batch);
	}
	if (json_array_size(batch) < BATCH_REPORTS_MAX) {
		json_array_append_new(batch, report);
		return;
	}
	rls_count_dropped_report(reports);
	json_decref(report);
}

void rls_send_reports(struct rls_reports *reports, bool is_forwarded)
{
	GHashTableIter iter;
	gpointer receiver;
	gpointer batch;

	g_hash_table_iter_init(&iter, reports->batches);
	while (g_hash_table_iter_next(&iter, &receiver, &batch)) {
		if (reports->in_flight < IN_FLIGHT_MAX)
			send_batch(reports, receiver, batch, is_forwarded);
		else
			cnt_add(reports->dropped,
				(int64_t)json_array_size(batch));
	}
	g_hash_table_remove_all(reports->batches);
}
