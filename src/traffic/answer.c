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
#include "call_log.h"

#define ANSWER_HEADER_BYTES_MAX 65536U
#define DROPPED_BODY_BYTES_MAX 65536U

void tr_open_answer(struct tr_answer *answer)
{
	*answer = (struct tr_answer){ 0 };
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

/* What an interim answer said does not count for the final one. */
static void clear_answer_head(struct tr_answer *answer)
{
	g_ptr_array_set_size(answer->headers, 0);
	g_free(answer->connection);
	answer->connection = NULL;
	g_free(answer->refused);
	answer->refused = NULL;
	answer->has_load = false;
	answer->spent_us = 0;
	answer->run_us = 0;
	answer->is_not_run = false;
	answer->is_unsent = false;
	answer->has_stamp = false;
	answer->has_id = false;
	answer->is_foreign = false;
}

/* Returns false when the status line is malformed. */
static bool begin_answer_head(struct tr_answer *answer, const char *line,
			      size_t size)
{
	bool is_http10;

	clear_answer_head(answer);
	if (!tr_parse_status_line(line, size, &answer->status, &is_http10))
		return false;
	tr_open_framing(&answer->framing, is_http10);
	answer->is_head_begun = true;
	return true;
}

static void read_refusal(struct tr_answer *answer, const char *reason)
{
	g_free(answer->refused);
	answer->refused = g_strdup(reason);
	answer->is_unsent = strcmp(reason, TR_REASON_SHED) != 0;
}

/* A malformed header counts as absent: the request may have run. */
static bool read_not_run(struct tr_answer *answer, const char *value)
{
	answer->is_not_run = false;
	return tr_parse_flag(value, &answer->is_not_run);
}

static void read_internal_header(struct tr_call *call, const char *name,
				 const char *value)
{
	struct tr_answer *answer = &call->answer;
	enum tr_parse load = tr_read_load(name, value, &answer->load);
	bool is_valid = load != TR_PARSE_MALFORMED;

	if (load == TR_PARSE_VALID)
		answer->has_load = true;
	else if (strcasecmp(name, TR_HEADER_NOT_RUN) == 0)
		is_valid = read_not_run(answer, value);
	else if (strcasecmp(name, TR_HEADER_REFUSED) == 0)
		read_refusal(answer, value);
	else if (strcasecmp(name, TR_HEADER_SPENT) == 0)
		is_valid =
			tr_parse_number(value, UINT32_MAX, &answer->spent_us);
	else if (strcasecmp(name, TR_HEADER_RUN) == 0)
		is_valid = tr_parse_number(value, UINT32_MAX, &answer->run_us);
	/* Internal headers of targets are not used. */
	if (!is_valid && !tr_is_from_target(call))
		tr_record_malformed_header(call, name);
}

static bool is_same_name(const char *name, const char *known)
{
	return known && strcasecmp(name, known) == 0;
}

bool tr_is_from_target(const struct tr_call *call)
{
	return call->role == TR_ROLE_HOP || call->is_local;
}

/* A load that is malformed or cannot be true counts as absent. */
static void read_report(struct tr_call *call, const char *value)
{
	struct tr_thread *thread = call->thread;
	struct cap_report report;

	if (!cap_parse_report(value, &report) ||
	    !adm_record_report(thread->gate, &report,
			       tmr_get_now_ms(thread->timers)))
		cnt_add(thread->service->counters.reports_rejected, 1);
	else
		tr_record_presence(&thread->silence, &report,
				   tmr_get_now_ms(thread->timers));
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
	} else if (is_same_name(name, names->load)) {
		read_report(call, value);
	} else if (is_same_name(name, names->request_id)) {
		id = hx_get_header(call->exchange, names->request_id);
		if (id && strcmp(id, value) != 0)
			answer->is_foreign = true;
		answer->has_id = true;
	}
}

static void read_header(struct tr_call *call, const char *name,
			const char *value)
{
	struct tr_answer *answer = &call->answer;

	if (tr_is_from_target(call))
		read_target_header(call, name, value);
	if (strcasecmp(name, MHD_HTTP_HEADER_CONNECTION) == 0) {
		g_free(answer->connection);
		answer->connection = g_strdup(value);
	}
	if (tr_is_internal(name)) {
		read_internal_header(call, name, value);
		return;
	}
	g_ptr_array_add(answer->headers, g_strdup(name));
	g_ptr_array_add(answer->headers, g_strdup(value));
}

/* Records a malformed answer. Returns false, for the caller to return. */
static bool reject_answer(struct tr_call *call, const char *reason)
{
	cnt_add(call->thread->service->counters.malformed[call->role], 1);
	tr_log_call(call, "read answer", reason);
	return false;
}

static bool read_header_line(struct tr_call *call, char *line, size_t size)
{
	char *name;
	char *value;

	if (!tr_split_header_line(line, size, &name, &value))
		return reject_answer(call, "malformed header");
	if (!tr_add_framing_header(&call->answer.framing, name, value))
		return reject_answer(call, "invalid or contradictory framing");
	read_header(call, name, value);
	return true;
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
 * request, and if stamps are in use, it carries the id of a request that has
 * one, and a success carries the target's stamp. A refusal without the id may
 * be a late copy of an earlier one.
 */
static bool belongs_to_request(const struct tr_call *call)
{
	const struct tr_header_names *names =
		call->thread->service->options.names;
	const struct tr_answer *answer = &call->answer;
	bool is_success = answer->status >= 200 && answer->status < 300;

	if (answer->is_foreign)
		return false;
	if (!names->stamp)
		return true;
	return (answer->has_id || !has_request_id(call)) &&
	       (answer->has_stamp || !is_success);
}

/* Returns -1 when the head does not tell: chunks count, not a length. */
static int64_t get_body_length(const struct tr_answer *answer)
{
	return answer->framing.is_chunked ? -1 : answer->framing.content_length;
}

/*
 * Returns whether the answer is buffered until it is whole. If it breaks off,
 * the call can still be retried, and head and body are sent to the caller
 * together. An answer of unknown length (-1) is buffered until it exceeds the
 * maximum.
 */
static bool should_buffer_whole(const struct tr_call *call)
{
	return get_body_length(&call->answer) <=
	       (int64_t)TR_BUFFERED_ANSWER_BYTES_MAX;
}

bool tr_is_refused(const struct tr_answer *answer)
{
	return answer->is_not_run || answer->refused;
}

/*
 * Handles the end of the answer's head. Returns false when the answer must not
 * be used; the transfer then fails.
 */
static bool end_answer_head(struct tr_call *call)
{
	struct tr_answer *answer = &call->answer;

	if (answer->status == MHD_HTTP_SWITCHING_PROTOCOLS)
		return reject_answer(call, "unrequested change of protocol");
	/* An interim answer (such as 100 Continue) precedes the final one. */
	if (answer->status < 200) {
		answer->is_head_begun = false;
		return true;
	}
	answer->head_us = tr_get_now_us();
	/*
	 * curl stops sending then, but while an upload is paused it would not
	 * end the transfer.
	 */
	if (answer->status >= MHD_HTTP_MULTIPLE_CHOICES &&
	    call->upload.is_paused)
		tr_continue_attempt(call);
	if (tr_is_from_target(call)) {
		discard_untrusted_headers(answer);
		if (!belongs_to_request(call)) {
			cnt_add(call->thread->service->counters.foreign, 1);
			return false;
		}
		tr_record_answer_head(call);
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

static bool read_head_line(struct tr_call *call, char *line, size_t size)
{
	struct tr_answer *answer = &call->answer;

	if (!answer->is_head_begun)
		return begin_answer_head(answer, line, size) ||
		       reject_answer(call, "malformed status line");
	if (size == 0)
		return end_answer_head(call);
	return read_header_line(call, line, size);
}

/* Returns the size of a line without its line end. */
static size_t get_text_size(const char *line, size_t size)
{
	if (size > 0 && line[size - 1] == '\n')
		size--;
	if (size > 0 && line[size - 1] == '\r')
		size--;
	return size;
}

size_t tr_receive_answer_header(char *line, size_t size, size_t count,
				void *data)
{
	struct tr_call *call = data;
	struct tr_answer *answer = &call->answer;
	size_t length = size * count;
	size_t text_size = get_text_size(line, length);
	bool is_usable;
	char *text;

	answer->header_bytes += length;
	if (answer->header_bytes > ANSWER_HEADER_BYTES_MAX)
		return 0;
	/* Trailers follow the body and are not relayed. */
	if (answer->head_us)
		return length;
	text = g_strndup(line, text_size);
	is_usable = read_head_line(call, text, text_size);
	g_free(text);
	return is_usable ? length : 0;
}

/*
 * On the target's node an answer is taken in ahead of a slow link, so that it
 * frees the target's slot as soon as the target has sent it.
 */
static size_t get_unsent_max(const struct tr_call *call)
{
	return acc_get_stream_max(&call->thread->account,
				  call->role == TR_ROLE_HOP
					  ? TR_HOP_STREAM_BYTES_MAX
					  : TR_STREAM_BYTES_MAX);
}

/* Returns false when the answer must not be used any further. */
static bool receive_content(struct tr_call *call, const char *part, size_t size)
{
	struct tr_answer *answer = &call->answer;

	answer->body_bytes += size;
	if (call->stage == TR_STAGE_RELAYING) {
		hx_add_answer_body(call->exchange, part, size);
		return true;
	}
	/* The body of a refusal that is not relayed is dropped. */
	if (tr_is_refused(answer))
		return answer->body_bytes <= DROPPED_BODY_BYTES_MAX ||
		       reject_answer(call, "refusal without end");
	tr_append_buffer(&answer->body, part, size, 0);
	tr_update_held_bytes(call);
	if (tr_get_buffer_size(&answer->body) > TR_BUFFERED_ANSWER_BYTES_MAX)
		tr_relay_answer(call);
	return true;
}

/*
 * The content of all chunks in bytes is received at once: a body may consist of
 * chunks of one byte. size is at most CURL_MAX_WRITE_SIZE.
 */
static bool receive_chunks(struct tr_call *call, const char *bytes, size_t size)
{
	struct tr_chunks *chunks = &call->answer.chunks;
	char content[CURL_MAX_WRITE_SIZE];
	size_t content_size = 0;
	const char *part = NULL;
	size_t part_size;
	size_t taken;

	assert(size <= sizeof(content));
	while (size > 0 && chunks->state != TR_CHUNK_END &&
	       chunks->state != TR_CHUNK_MALFORMED) {
		taken = tr_decode_chunks(chunks, bytes, size, &part,
					 &part_size);
		if (part_size > 0)
			memcpy(content + content_size, part, part_size);
		content_size += part_size;
		bytes += taken;
		size -= taken;
	}
	if (content_size > 0 && !receive_content(call, content, content_size))
		return false;
	if (chunks->state == TR_CHUNK_MALFORMED)
		return reject_answer(call, "malformed chunk");
	/* More may follow, which belongs to no request. */
	if (size > 0)
		curl_easy_setopt(call->easy, CURLOPT_FORBID_REUSE, 1L);
	return true;
}

size_t tr_receive_answer_body(char *part, size_t size, size_t count, void *data)
{
	struct tr_call *call = data;
	struct tr_answer *answer = &call->answer;
	size_t length = size * count;

	if (call->stage == TR_STAGE_RELAYING &&
	    hx_get_unsent_size(call->exchange) >= get_unsent_max(call)) {
		answer->is_paused = true;
		tr_update_held_bytes(call);
		return CURL_WRITEFUNC_PAUSE;
	}
	if (answer->framing.is_chunked)
		return receive_chunks(call, part, length) ? length : 0;
	return receive_content(call, part, length) ? length : 0;
}

static bool has_no_body(const struct tr_call *call)
{
	uint32_t status = call->answer.status;

	return strcmp(call->method, MHD_HTTP_METHOD_HEAD) == 0 ||
	       status == MHD_HTTP_NO_CONTENT || status == MHD_HTTP_NOT_MODIFIED;
}

CURLcode tr_check_answer_end(const struct tr_call *call, CURLcode code)
{
	const struct tr_answer *answer = &call->answer;
	int64_t length = get_body_length(answer);
	bool is_whole = true;

	if (code != CURLE_OK)
		return code;
	/* curl takes a head that breaks off after its status line for whole. */
	if (!answer->head_us)
		is_whole = false;
	else if (has_no_body(call))
		is_whole = true;
	else if (answer->framing.is_chunked)
		is_whole = answer->chunks.state == TR_CHUNK_END;
	else if (length >= 0)
		is_whole = answer->body_bytes == (uint64_t)length;
	return is_whole ? CURLE_OK : CURLE_PARTIAL_FILE;
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
	return get_body_length(&call->answer);
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
	tr_reset_buffer(body);
	g_ptr_array_set_size(call->answer.headers, 0);
	tr_update_held_bytes(call);
	cnt_add(call->thread->service->counters.answers[call->role], 1);
	call->stage = TR_STAGE_RELAYING;
}

void tr_relay_buffered_answer(struct tr_call *call)
{
	struct tr_answer *answer = &call->answer;

	if (!answer->head_us || tr_is_refused(answer))
		return;
	/* The answer to HEAD has a Content-Length but no body. */
	answer->is_whole = !has_no_body(call);
	tr_relay_answer(call);
}

void tr_end_relayed_answer(struct tr_call *call)
{
	call->stage = TR_STAGE_ENDED;
	tr_release_upload(call);
	if (call->answer.is_broken)
		hx_abort_answer(call->exchange);
	else
		hx_end_answer(call->exchange);
}
