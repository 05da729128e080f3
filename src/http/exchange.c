/*
 * One exchange: access to the request, and the bytes of the answer.
 *
 * The answer is serialized into `output` as it is given; the connection sends
 * it when the earlier answers have been sent. The head is completed by the
 * first part of the body or by the end, when it is known whether a later
 * request has been read: only the answer to the last one closes the connection.
 */
#include <assert.h>
#include <string.h>
#include <strings.h>
#include "exchange_internal.h"

#define OUTPUT_BYTES 512U

struct hx_exchange *hx_new_exchange(struct hx_connection *connection)
{
	struct hx_exchange *exchange = g_new0(struct hx_exchange, 1);

	exchange->connection = connection;
	exchange->flow.data = exchange;
	hx_open_head(&exchange->head);
	hx_update_exchange_bytes(exchange);
	return exchange;
}

void hx_free_exchange(struct hx_exchange *exchange)
{
	hx_leave_pacing(exchange);
	hx_give_exchange_bytes(exchange);
	hx_close_head(&exchange->head);
	if (exchange->output)
		g_byte_array_unref(exchange->output);
	g_free(exchange);
}

void hx_set_state(struct hx_exchange *exchange, void *state)
{
	exchange->state = state;
}

void *hx_get_state(const struct hx_exchange *exchange)
{
	return exchange->state;
}

const char *hx_get_method(const struct hx_exchange *exchange)
{
	return exchange->head.method;
}

const char *hx_get_target(const struct hx_exchange *exchange)
{
	return exchange->head.text->str;
}

const char *hx_get_header(const struct hx_exchange *exchange, const char *name)
{
	return hx_find_header(&exchange->head, name);
}

bool hx_get_header_at(const struct hx_exchange *exchange, uint32_t index,
		      const char **name, const char **value)
{
	const struct hx_header *header;

	if (index >= exchange->head.headers->len)
		return false;
	header =
		&g_array_index(exchange->head.headers, struct hx_header, index);
	*name = exchange->head.text->str + header->name;
	*value = exchange->head.text->str + header->value;
	return true;
}

void hx_set_deadline(struct hx_exchange *exchange, uint64_t deadline_ms)
{
	exchange->deadline_ms = deadline_ms;
	/* A flow that waits is in the order of its deadline. */
	if (!exchange->flow.is_waiting)
		exchange->flow.deadline_us = deadline_ms * 1000;
}

struct in_addr hx_get_peer_address(const struct hx_exchange *exchange)
{
	return exchange->connection->peer;
}

uint64_t hx_get_received_ms(const struct hx_exchange *exchange)
{
	return exchange->received_ms;
}

void hx_set_handler_bytes(struct hx_exchange *exchange, size_t bytes)
{
	exchange->handler_bytes = bytes;
	hx_update_exchange_bytes(exchange);
}

void hx_pause_body(struct hx_exchange *exchange)
{
	exchange->is_body_paused = true;
}

void hx_resume_body(struct hx_exchange *exchange)
{
	if (!exchange->is_body_paused)
		return;
	exchange->is_body_paused = false;
	hx_mark_dirty(exchange->connection);
}

static void append_bytes(struct hx_exchange *exchange, const void *bytes,
			 size_t size)
{
	if (!exchange->output)
		exchange->output = g_byte_array_sized_new(OUTPUT_BYTES);
	g_byte_array_append(exchange->output, bytes, (guint)size);
	exchange->output_peak =
		MAX(exchange->output_peak, (size_t)exchange->output->len);
	hx_update_exchange_bytes(exchange);
}

static void append_text(struct hx_exchange *exchange, const char *text)
{
	append_bytes(exchange, text, strlen(text));
}

static enum hx_framing choose_framing(const struct hx_exchange *exchange,
				      int64_t length)
{
	if (exchange->status == HTTP_STATUS_NO_CONTENT ||
	    exchange->status == HTTP_STATUS_NOT_MODIFIED)
		return HX_FRAMING_NO_BODY;
	if (length >= 0)
		return HX_FRAMING_LENGTH;
	return exchange->head.is_http10 ? HX_FRAMING_UNTIL_CLOSE
					: HX_FRAMING_CHUNKED;
}

static bool is_head_request(const struct hx_exchange *exchange)
{
	return exchange->head.method &&
	       strcmp(exchange->head.method, "HEAD") == 0;
}

void hx_start_answer(struct hx_exchange *exchange, uint32_t status,
		     int64_t length)
{
	char line[64];

	assert(exchange->status == 0);
	exchange->status = status;
	exchange->framing = choose_framing(exchange, length);
	exchange->body_left = length;
	exchange->is_large = exchange->framing == HX_FRAMING_LENGTH &&
			     length > (int64_t)PACE_SHORT_BYTES_MAX &&
			     !is_head_request(exchange);
	g_snprintf(line, sizeof(line), "HTTP/1.1 %u %s\r\n", status,
		   http_status_str((enum http_status)status));
	append_text(exchange, line);
}

void hx_add_answer_header(struct hx_exchange *exchange, const char *name,
			  const char *value)
{
	assert(exchange->status != 0 && !exchange->is_head_ended);
	append_text(exchange, name);
	append_text(exchange, ": ");
	append_text(exchange, value);
	append_text(exchange, "\r\n");
}

static bool is_last_begun(const struct hx_exchange *exchange)
{
	const struct hx_connection *connection = exchange->connection;
	const GList *link = connection->exchanges.tail;

	for (; link; link = link->prev) {
		const struct hx_exchange *later = link->data;

		if (later == exchange)
			return true;
		if (later->phase == HX_PHASE_BEGUN)
			return false;
	}
	return false;
}

/*
 * Returns whether the rest of the request body, which nobody wants when the
 * request has failed, may be longer than is worth reading for the next request.
 */
static bool is_rest_long(const struct hx_exchange *exchange)
{
	const struct hx_connection *connection = exchange->connection;
	const http_parser *http = &connection->parser.http;

	if (connection->receiving != exchange || !exchange->head.has_body)
		return false;
	return (http->flags & F_CHUNKED) ||
	       http->content_length > HX_DISCARD_BYTES_MAX;
}

static bool should_close(const struct hx_exchange *exchange)
{
	const struct hx_connection *connection = exchange->connection;

	if (!exchange->head.is_keep_alive ||
	    exchange->phase == HX_PHASE_FAILED ||
	    exchange->framing == HX_FRAMING_UNTIL_CLOSE)
		return true;
	if (exchange->status >= HTTP_STATUS_BAD_REQUEST &&
	    is_rest_long(exchange))
		return true;
	return connection->server->is_draining && is_last_begun(exchange);
}

static void append_framing_headers(struct hx_exchange *exchange)
{
	char text[24];

	switch (exchange->framing) {
	case HX_FRAMING_LENGTH:
		g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT,
			   exchange->body_left);
		hx_add_answer_header(exchange, "Content-Length", text);
		break;
	case HX_FRAMING_CHUNKED:
		hx_add_answer_header(exchange, "Transfer-Encoding", "chunked");
		break;
	case HX_FRAMING_NO_BODY:
	case HX_FRAMING_UNTIL_CLOSE:
		break;
	}
}

static void end_head(struct hx_exchange *exchange)
{
	if (exchange->is_head_ended)
		return;
	append_framing_headers(exchange);
	exchange->closes = should_close(exchange);
	if (exchange->closes) {
		exchange->connection->is_last = true;
		hx_add_answer_header(exchange, "Connection", "close");
	} else if (exchange->head.is_http10) {
		hx_add_answer_header(exchange, "Connection", "keep-alive");
	}
	append_text(exchange, "\r\n");
	exchange->is_head_ended = true;
	exchange->head_left = hx_get_unsent_size(exchange);
	if (is_head_request(exchange))
		exchange->framing = HX_FRAMING_NO_BODY;
}

/* Counts a body of unknown length, which becomes large as it grows. */
static void count_streamed(struct hx_exchange *exchange, size_t size)
{
	exchange->streamed_bytes += size;
	if (exchange->streamed_bytes > PACE_SHORT_BYTES_MAX)
		exchange->is_large = true;
}

void hx_add_answer_body(struct hx_exchange *exchange, const void *bytes,
			size_t size)
{
	char line[24];

	end_head(exchange);
	hx_mark_dirty(exchange->connection);
	if (size == 0)
		return;
	switch (exchange->framing) {
	case HX_FRAMING_NO_BODY:
		break;
	case HX_FRAMING_LENGTH:
		size = MIN(size, (size_t)exchange->body_left);
		exchange->body_left -= (int64_t)size;
		append_bytes(exchange, bytes, size);
		break;
	case HX_FRAMING_CHUNKED:
		count_streamed(exchange, size);
		g_snprintf(line, sizeof(line), "%zx\r\n", size);
		append_text(exchange, line);
		append_bytes(exchange, bytes, size);
		append_text(exchange, "\r\n");
		break;
	case HX_FRAMING_UNTIL_CLOSE:
		count_streamed(exchange, size);
		append_bytes(exchange, bytes, size);
		break;
	}
}

void hx_end_answer(struct hx_exchange *exchange)
{
	assert(exchange->status != 0 && !exchange->is_ended);
	end_head(exchange);
	if (exchange->framing == HX_FRAMING_CHUNKED)
		append_text(exchange, "0\r\n\r\n");
	if (exchange->framing == HX_FRAMING_LENGTH && exchange->body_left > 0)
		exchange->is_aborted = true;
	exchange->is_ended = true;
	/* The rest of the request body is discarded from now on. */
	exchange->is_body_paused = false;
	hx_mark_dirty(exchange->connection);
}

void hx_abort_answer(struct hx_exchange *exchange)
{
	exchange->is_ended = true;
	exchange->is_aborted = true;
	exchange->closes = true;
	exchange->connection->is_last = true;
	hx_mark_dirty(exchange->connection);
}

void hx_drop_output(struct hx_exchange *exchange)
{
	if (exchange->output)
		g_byte_array_unref(exchange->output);
	exchange->output = NULL;
	exchange->sent_size = 0;
	exchange->output_peak = 0;
	hx_update_exchange_bytes(exchange);
}

size_t hx_get_unsent_size(const struct hx_exchange *exchange)
{
	return exchange->output ? exchange->output->len - exchange->sent_size
				: 0;
}

void hx_send_continue(struct hx_exchange *exchange)
{
	if (exchange->status == 0 && !exchange->is_aborted)
		append_text(exchange, "HTTP/1.1 100 Continue\r\n\r\n");
}

void hx_reject(struct hx_exchange *exchange, uint32_t status,
	       const char *reason)
{
	char *body = g_strdup_printf("{\"error\":\"%s\"}", reason);

	exchange->phase = HX_PHASE_FAILED;
	hx_start_answer(exchange, status, (int64_t)strlen(body));
	hx_add_answer_header(exchange, "Content-Type", "application/json");
	hx_add_answer_body(exchange, body, strlen(body));
	hx_end_answer(exchange);
	g_free(body);
}
