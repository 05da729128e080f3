/*
 * Connects the pacer to the exchanges of the servers that share a link.
 *
 * An exchange asks before it sends. When it has to wait, its connection is
 * marked as dirty again by a timer, or when the exchange that sends before it
 * leaves the order. Invariant: while the order is not empty, a timer is set or
 * the connection of the next exchange is dirty or being advanced.
 */
#include "exchange_internal.h"
#include "loom/log.h"

struct hx_pacing {
	struct hx_pacing_options options;
	struct tmr_service *timers;
	struct pace_pacer *pacer;
	struct tmr_subscription *wake; /* NULL: not set */
};

static uint64_t get_now_us(const struct hx_pacing *pacing)
{
	return tmr_get_now_ms(pacing->timers) * 1000;
}

struct hx_pacing *hx_new_pacing(TALLOC_CTX *ctx, struct tmr_service *timers,
				const struct hx_pacing_options *options)
{
	struct hx_pacing *pacing;

	if (options->link_kbit_s == 0)
		return NULL;
	pacing = talloc_zero(ctx, struct hx_pacing);
	pacing->options = *options;
	pacing->timers = timers;
	pacing->pacer = pace_new_pacer(pacing, options->link_kbit_s,
				       get_now_us(pacing));
	return pacing;
}

uint64_t hx_get_backlog_us(struct hx_pacing *pacing, uint64_t deadline_ms,
			   uint64_t bytes)
{
	if (!pacing)
		return 0;
	return pace_get_backlog_us(pacing->pacer, deadline_ms * 1000, bytes,
				   get_now_us(pacing));
}

void hx_update_pacing_metrics(struct hx_pacing *pacing)
{
	if (!pacing)
		return;
	cnt_set(pacing->options.waiting_answers,
		pace_get_waiting_count(pacing->pacer));
	cnt_set(pacing->options.longest_wait_us,
		(int64_t)pace_get_longest_wait_us(pacing->pacer,
						  get_now_us(pacing)));
}

static void log_backlog(struct hx_pacing *pacing, uint64_t now_us)
{
	uint64_t backlog_us;
	char backlog_text[24];
	char count_text[24];

	if (!pace_take_warning(pacing->pacer, now_us, &backlog_us))
		return;
	g_snprintf(backlog_text, sizeof(backlog_text), "%" G_GUINT64_FORMAT,
		   backlog_us / 1000);
	g_snprintf(count_text, sizeof(count_text), "%u",
		   pace_get_waiting_count(pacing->pacer));
	log_write(LOG_LEVEL_WARNING, "http", "pace answers", NULL,
		  "large answers wait for the link", "backlog_ms", backlog_text,
		  "answers", count_text, LOG_END);
}

static void handle_wake(uint64_t now_ms, void *data);

/* Wakes the next exchange when the bucket allows it to send. */
static void schedule_next(struct hx_pacing *pacing)
{
	struct pace_flow *next = pace_get_next(pacing->pacer);
	struct hx_exchange *exchange;
	uint64_t wait_us;

	if (!next || pacing->wake)
		return;
	wait_us = pace_get_wait_us(pacing->pacer, get_now_us(pacing));
	if (wait_us == 0) {
		exchange = next->data;
		hx_mark_dirty(exchange->connection);
		return;
	}
	pacing->wake = tmr_subscribe_once(pacing, pacing->timers,
					  (uint32_t)((wait_us + 999) / 1000),
					  handle_wake, pacing);
}

static void handle_wake(uint64_t now_ms, void *data)
{
	struct hx_pacing *pacing = data;

	pacing->wake = NULL;
	schedule_next(pacing);
}

/* Returns the bytes of the answer that are known to be sent still. */
static uint64_t get_left_bytes(const struct hx_exchange *exchange)
{
	uint64_t left = hx_get_unsent_size(exchange);

	if (exchange->framing == HX_FRAMING_LENGTH && !exchange->is_ended)
		left += (uint64_t)exchange->body_left;
	return left;
}

/*
 * The head of a large answer is sent at once, as a short answer is: the entry
 * node takes the time until the head for that on the network, which counts for
 * short answers of the same target, too.
 */
size_t hx_get_sendable_size(struct hx_exchange *exchange)
{
	struct hx_pacing *pacing = exchange->connection->server->options.pacing;
	size_t size = hx_get_unsent_size(exchange);
	uint64_t allowance;
	uint64_t now_us;

	if (!pacing || !exchange->is_large)
		return size;
	if (exchange->head_left > 0)
		return MIN(size, exchange->head_left);
	now_us = get_now_us(pacing);
	allowance = pace_get_allowance(pacing->pacer, &exchange->flow,
				       get_left_bytes(exchange), now_us);
	log_backlog(pacing, now_us);
	if (allowance == 0)
		schedule_next(pacing);
	return (size_t)MIN(size, allowance);
}

void hx_record_sent(struct hx_exchange *exchange, size_t size)
{
	struct hx_pacing *pacing = exchange->connection->server->options.pacing;
	bool is_paced = exchange->is_large && exchange->head_left == 0;

	if (!pacing)
		return;
	exchange->head_left -= MIN(size, exchange->head_left);
	if (is_paced) {
		cnt_add(pacing->options.large_bytes, (int64_t)size);
		pace_record_large(pacing->pacer, &exchange->flow, size,
				  get_now_us(pacing));
		return;
	}
	cnt_add(pacing->options.short_bytes, (int64_t)size);
	pace_record_short(pacing->pacer, size, get_now_us(pacing));
}

void hx_leave_pacing(struct hx_exchange *exchange)
{
	struct hx_pacing *pacing = exchange->connection->server->options.pacing;

	if (!exchange->flow.is_waiting)
		return;
	pace_remove_flow(pacing->pacer, &exchange->flow);
	schedule_next(pacing);
}

bool hx_is_waiting_for_link(const struct hx_exchange *exchange, uint64_t now_ms)
{
	return exchange->flow.is_waiting && now_ms < exchange->deadline_ms;
}
