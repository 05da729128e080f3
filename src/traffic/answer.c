/*
 * Relays the answer from curl to the caller's exchange.
 *
 * Header lines are collected until the head is complete. A refusal is not
 * relayed by the entry side, which may make another attempt: its body is
 * dropped. A short answer is buffered whole before it is relayed. A longer one
 * is streamed: the transfer pauses while too many bytes wait to be sent.
 */
#include <assert.h>
#include <string.h>
#include <strings.h>
#include "call.h"

#define ANSWER_HEADER_BYTES_MAX 65536U

void tr_open_answer(struct tr_answer *answer)
{
	*answer = (struct tr_answer){ .content_length = -1 };
	answer->headers = g_ptr_array_new_with_free_func(g_free);
	tr_open_buffer(&answer->body, false);
}

void tr_close_answer(struct tr_answer *answer)
{
	if (answer->headers)
		g_ptr_array_unref(answer->headers);
	answer->headers = NULL;
	g_free(answer->connection);
	g_free(answer->refused);
	answer->connection = NULL;
	answer->refused = NULL;
	tr_close_buffer(&answer->body);
}

void tr_reset_answer(struct tr_answer *answer)
{
	tr_close_answer(answer);
	tr_open_answer(answer);
}

static void begin_answer_head(struct tr_answer *answer, const char *line)
{
	const char *status = strchr(line, ' ');

	g_ptr_array_set_size(answer->headers, 0);
	answer->content_length = -1;
	answer->status =
		status ? (uint32_t)g_ascii_strtoull(status + 1, NULL, 10) : 0;
}

static void read_internal_header(struct tr_answer *answer, const char *name,
				 const char *value)
{
	if (strcasecmp(name, TR_HEADER_NOT_RUN) == 0) {
		answer->is_not_run = strcasecmp(value, "true") == 0;
	} else if (strcasecmp(name, TR_HEADER_REFUSED) == 0) {
		g_free(answer->refused);
		answer->refused = g_strdup(value);
		answer->is_unsent = strcmp(value, TR_REASON_SHED) != 0;
	} else if (strcasecmp(name, TR_HEADER_SPENT) == 0) {
		answer->spent_us = g_ascii_strtoull(value, NULL, 10);
	} else if (strcasecmp(name, TR_HEADER_RUN) == 0) {
		answer->run_us = g_ascii_strtoull(value, NULL, 10);
	} else if (tr_read_load(name, value, &answer->load)) {
		answer->has_load = true;
	}
}

static bool is_same_name(const char *name, const char *known)
{
	return known && strcasecmp(name, known) == 0;
}

static bool is_from_target(const struct tr_call *call)
{
	return call->role == TR_ROLE_HOP || call->is_local;
}

/* Reads the headers whose names are agreed with targets (struct
 * tr_header_names). */
static void read_target_header(struct tr_call *call, const char *name,
			       const char *value)
{
	const struct tr_header_names *names =
		call->thread->service->options.names;
	struct tr_answer *answer = &call->answer;
	const char *id;

	if (is_same_name(name, names->not_run)) {
		answer->is_not_run = strcasecmp(value, "false") != 0;
	} else if (is_same_name(name, names->stamp)) {
		answer->has_stamp = true;
	} else if (is_same_name(name, names->request_id)) {
		id = hx_get_header(call->exchange, names->request_id);
		answer->is_foreign = id && strcmp(id, value) != 0;
		answer->has_id = true;
	}
}

static void read_header(struct tr_call *call, const char *name,
			const char *value)
{
	struct tr_answer *answer = &call->answer;

	if (is_from_target(call))
		read_target_header(call, name, value);
	if (strcasecmp(name, MHD_HTTP_HEADER_CONTENT_LENGTH) == 0)
		answer->content_length = g_ascii_strtoll(value, NULL, 10);
	if (strcasecmp(name, MHD_HTTP_HEADER_CONNECTION) == 0) {
		g_free(answer->connection);
		answer->connection = g_strdup(value);
	}
	if (tr_is_internal(name)) {
		read_internal_header(answer, name, value);
		return;
	}
	g_ptr_array_add(answer->headers, g_strdup(name));
	g_ptr_array_add(answer->headers, g_strdup(value));
}

static void read_header_line(struct tr_call *call, char *line)
{
	char *colon = strchr(line, ':');

	if (!colon)
		return;
	*colon = '\0';
	read_header(call, g_strstrip(line), g_strstrip(colon + 1));
}

static bool is_not_run_allowed(uint32_t status)
{
	return status == MHD_HTTP_SERVICE_UNAVAILABLE ||
	       status == MHD_HTTP_TOO_MANY_REQUESTS ||
	       status == MHD_HTTP_MISDIRECTED_REQUEST ||
	       status == MHD_HTTP_BAD_REQUEST;
}

/*
 * Discards the internal headers of a target: it is not trusted to report a load
 * or a gate's refusal. It may only state that it shed the call, and only with
 * certain status codes.
 */
static void discard_untrusted_headers(struct tr_answer *answer)
{
	answer->has_load = false;
	g_free(answer->refused);
	answer->refused = NULL;
	answer->is_unsent = false;
	if (!is_not_run_allowed(answer->status))
		answer->is_not_run = false;
	if (answer->is_not_run)
		answer->refused = g_strdup(TR_REASON_SHED);
}

static bool has_request_id(const struct tr_call *call)
{
	return hx_get_header(call->exchange,
			     call->thread->service->options.names->request_id);
}

/*
 * Returns whether the answer belongs to the call's request: it names no other
 * request, and a success carries the target's stamp, and the id of a request
 * that has one, if stamps are in use.
 */
static bool belongs_to_request(const struct tr_call *call)
{
	const struct tr_header_names *names =
		call->thread->service->options.names;
	const struct tr_answer *answer = &call->answer;
	bool is_success = answer->status >= 200 && answer->status < 300;

	if (answer->is_foreign)
		return false;
	if (!names->stamp || !is_success)
		return true;
	return answer->has_stamp && (answer->has_id || !has_request_id(call));
}

/*
 * Returns whether the answer is buffered until it is whole. If it breaks off,
 * the call can still be retried, and head and body are sent to the caller
 * together. An answer of unknown length (-1) is buffered until it exceeds the
 * maximum.
 */
static bool should_buffer_whole(const struct tr_call *call)
{
	return call->answer.content_length <=
	       (int64_t)TR_BUFFERED_ANSWER_BYTES_MAX;
}

bool tr_is_refused(const struct tr_answer *answer)
{
	return answer->is_not_run || answer->refused;
}

/*
 * Handles the end of the answer's head. Returns false when the answer belongs
 * to another request; the transfer then fails.
 */
static bool end_answer_head(struct tr_call *call)
{
	struct tr_answer *answer = &call->answer;

	/* An interim answer (such as 100 Continue) precedes the final one. */
	if (answer->status < 200)
		return true;
	answer->head_us = tr_get_now_us();
	if (is_from_target(call)) {
		discard_untrusted_headers(answer);
		if (!belongs_to_request(call)) {
			cnt_add(call->thread->service->counters.foreign, 1);
			return false;
		}
	}
	/* The entry side may retry after a refusal, so it does not relay it. */
	if (tr_is_refused(answer)) {
		if (call->role == TR_ROLE_HOP)
			tr_relay_answer(call);
		return true;
	}
	if (!should_buffer_whole(call))
		tr_relay_answer(call);
	return true;
}

size_t tr_receive_answer_header(char *line, size_t size, size_t count,
				void *data)
{
	struct tr_call *call = data;
	struct tr_answer *answer = &call->answer;
	size_t length = size * count;
	bool is_usable = true;
	char *text;

	answer->header_bytes += length;
	if (answer->header_bytes > ANSWER_HEADER_BYTES_MAX)
		return 0;
	/* Trailers follow the body and are not relayed. */
	if (answer->head_us)
		return length;
	text = g_strstrip(g_strndup(line, length));
	if (g_str_has_prefix(text, "HTTP/"))
		begin_answer_head(answer, text);
	else if (*text == '\0')
		is_usable = end_answer_head(call);
	else
		read_header_line(call, text);
	g_free(text);
	return is_usable ? length : 0;
}

/*
 * On the target's node an answer is taken in ahead of a slow link, so that it
 * frees the target's slot as soon as the target has sent it.
 */
static size_t get_unsent_max(const struct tr_call *call)
{
	return call->role == TR_ROLE_HOP ? TR_HOP_STREAM_BYTES_MAX
					 : TR_STREAM_BYTES_MAX;
}

size_t tr_receive_answer_body(char *part, size_t size, size_t count, void *data)
{
	struct tr_call *call = data;
	struct tr_answer *answer = &call->answer;

	/* The body of a refusal that is not relayed is dropped. */
	if (call->stage != TR_STAGE_RELAYING && tr_is_refused(answer))
		return size * count;
	answer->body_bytes += size * count;
	if (call->stage != TR_STAGE_RELAYING) {
		tr_append_buffer(&answer->body, part, size * count, 0);
		if (tr_get_buffer_size(&answer->body) >
		    TR_BUFFERED_ANSWER_BYTES_MAX)
			tr_relay_answer(call);
		return size * count;
	}
	if (hx_get_unsent_size(call->exchange) >= get_unsent_max(call)) {
		answer->is_paused = true;
		answer->body_bytes -= size * count;
		return CURL_WRITEFUNC_PAUSE;
	}
	hx_add_answer_body(call->exchange, part, size * count);
	return size * count;
}

void tr_continue_answer(struct tr_call *call)
{
	if (call->answer.is_paused &&
	    hx_get_unsent_size(call->exchange) < get_unsent_max(call) / 2)
		tr_continue_attempt(call);
}

static void add_headers(struct tr_call *call)
{
	const GPtrArray *headers = call->answer.headers;

	for (guint i = 0; i + 1 < headers->len; i += 2) {
		const char *name = headers->pdata[i];

		if (tr_is_forwarded(name, call->answer.connection))
			hx_add_answer_header(call->exchange, name,
					     headers->pdata[i + 1]);
	}
	if (call->answer.is_not_run)
		hx_add_answer_header(call->exchange, TR_HEADER_NOT_RUN, "true");
	if (call->answer.refused)
		hx_add_answer_header(call->exchange, TR_HEADER_REFUSED,
				     call->answer.refused);
	tr_add_hop_headers(call);
}

/* Returns the length of the body of the answer to the caller, -1: unknown. */
static int64_t get_relayed_length(const struct tr_call *call)
{
	if (call->answer.is_whole)
		return (int64_t)tr_get_buffer_size(&call->answer.body);
	return call->answer.content_length;
}

void tr_relay_answer(struct tr_call *call)
{
	struct tr_buffer *body = &call->answer.body;

	assert(!call->is_answer_begun);
	call->is_answer_begun = true;
	hx_start_answer(call->exchange, call->answer.status,
			get_relayed_length(call));
	add_headers(call);
	hx_add_answer_body(call->exchange, tr_get_buffer_bytes(body),
			   tr_get_buffer_size(body));
	cnt_add(call->thread->service->counters.answers[call->role], 1);
	call->stage = TR_STAGE_RELAYING;
}

void tr_relay_buffered_answer(struct tr_call *call)
{
	struct tr_answer *answer = &call->answer;

	if (!answer->head_us || tr_is_refused(answer))
		return;
	/* The answer to HEAD has a Content-Length but no body. */
	answer->is_whole = strcmp(call->method, MHD_HTTP_METHOD_HEAD) != 0;
	tr_relay_answer(call);
}

void tr_end_relayed_answer(struct tr_call *call)
{
	call->stage = TR_STAGE_ENDED;
	if (call->answer.is_broken)
		hx_abort_answer(call->exchange);
	else
		hx_end_answer(call->exchange);
}
