/*
 * Lifecycle of a call, from the request line to the end of its exchange.
 *
 * The exchange drives the caller's side of a call and curl the other side. The
 * call is freed when the exchange is over; a transfer that still runs then is
 * cancelled.
 */
#include "call.h"
#include "call_log.h"

#include <assert.h>
#include <string.h>
#include <time.h>
#include "samples.h"

uint64_t tr_get_now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

/* Removes the call from the admission queue and cancels its transfer. */
static void stop_call(struct tr_call *call, enum rt_outcome outcome,
		      enum adm_outcome adm_outcome)
{
	if (call->stage == TR_STAGE_WAITING) {
		adm_cancel_waiting(call->thread->gate, call);
		load_mark_changed(call->thread->load);
		if (call->is_local)
			tr_report_entry_end(call, outcome);
	}
	if (!call->easy)
		return;
	tr_stop_attempt(call);
	if (call->send_count > 0)
		call->is_run_possible = true;
	switch (call->role) {
	case TR_ROLE_ENTRY:
		tr_release_slot(call, adm_outcome);
		tr_report_entry_end(call, outcome);
		if (outcome == RT_OUTCOME_FAILED)
			tr_count_sample(call, MV_OUTCOME_FAILED);
		break;
	case TR_ROLE_HOP:
		tr_release_slot(call, adm_outcome);
		break;
	}
}

static void handle_deadline(uint64_t now_ms, void *data)
{
	struct tr_call *call = data;

	call->deadline = NULL;
	if (call->stage == TR_STAGE_ENDED || call->stage == TR_STAGE_HEADERS)
		return;
	stop_call(call, RT_OUTCOME_FAILED, ADM_OUTCOME_TIMEOUT);
	if (call->stage == TR_STAGE_RELAYING) {
		call->answer.is_broken = true;
		tr_end_relayed_answer(call);
		return;
	}
	tr_refuse_call(call,
		       call->is_run_possible ? MHD_HTTP_GATEWAY_TIMEOUT
					     : MHD_HTTP_SERVICE_UNAVAILABLE,
		       "deadline", !call->is_run_possible);
}

static void open_call(struct hx_exchange *exchange, void *data)
{
	struct tr_listener *listener = data;
	struct tr_call *call = g_new0(struct tr_call, 1);

	call->thread = listener->thread;
	call->role = listener->role;
	call->exchange = exchange;
	tr_open_buffer(&call->upload.buffer, true);
	tr_open_answer(&call->answer);
	atomic_fetch_add(&call->thread->call_count, 1);
	hx_set_state(exchange, call);
}

/*
 * Other nodes do not pipeline. Of callers' requests those overlap that may
 * repeat: a caller sends what followed an answer that closed the connection
 * once more.
 */
static bool may_overlap(struct hx_exchange *exchange, void *data)
{
	struct tr_call *call = hx_get_state(exchange);

	switch (call->role) {
	case TR_ROLE_ENTRY:
		return acc_get_level(&call->thread->account) ==
			       ACC_LEVEL_ROOM &&
		       tr_is_repeatable_request(call);
	case TR_ROLE_HOP:
		return false;
	}
	return false;
}

bool tr_is_body_short(const struct tr_call *call)
{
	return call->upload.has_body && call->upload.content_length >= 0 &&
	       call->upload.content_length <= TR_REPLAY_BYTES_MAX;
}

static void handle_collected_body(struct tr_call *call)
{
	switch (call->role) {
	case TR_ROLE_ENTRY:
		tr_route_collected_call(call);
		break;
	case TR_ROLE_HOP:
		tr_admit_collected_call(call);
		break;
	}
}

static void read_body_headers(struct tr_call *call)
{
	const char *length =
		hx_get_header(call->exchange, MHD_HTTP_HEADER_CONTENT_LENGTH);
	const char *encoding = hx_get_header(call->exchange,
					     MHD_HTTP_HEADER_TRANSFER_ENCODING);

	call->upload.content_length = -1;
	if (length)
		call->upload.content_length = g_ascii_strtoll(length, NULL, 10);
	call->upload.has_body = encoding || call->upload.content_length > 0;
	call->upload.is_whole = !call->upload.has_body;
}

static bool may_begin(const struct tr_call *call)
{
	const struct tr_upload *upload = &call->upload;

	return acc_may_begin(&call->thread->account,
			     upload->has_body ? upload->content_length : 0);
}

static void start_call(struct tr_call *call)
{
	switch (call->role) {
	case TR_ROLE_ENTRY:
		tr_route_call(call);
		break;
	case TR_ROLE_HOP:
		tr_admit_call(call);
		break;
	}
}

static void begin_call(struct hx_exchange *exchange, void *data)
{
	struct tr_call *call = hx_get_state(exchange);
	uint64_t now_ms = tmr_get_now_ms(call->thread->timers);

	call->begun_ms = now_ms;
	call->method = hx_get_method(exchange);
	call->uri = hx_get_target(exchange);
	read_body_headers(call);
	cnt_add(call->thread->service->counters.calls[call->role], 1);
	if (may_begin(call))
		start_call(call);
	else
		tr_refuse_call(call, MHD_HTTP_SERVICE_UNAVAILABLE, "memory",
			       true);
	/* Large answers that were admitted can all be sent by that time. */
	hx_set_deadline(exchange, call->objective_ms ? call->objective_ms
						     : call->deadline_ms);
	if (call->deadline_ms == 0 || call->stage == TR_STAGE_ENDED)
		return;
	call->deadline = tmr_subscribe_once(
		call->thread->timers, call->thread->timers,
		call->deadline_ms > now_ms
			? (uint32_t)(call->deadline_ms - now_ms)
			: 0,
		handle_deadline, call);
}

bool tr_is_body_over_limit(const struct tr_call *call)
{
	return call->service &&
	       call->upload.content_length >
		       (int64_t)call->service->limits.request_body_bytes;
}

static bool is_body_too_long(const struct tr_call *call)
{
	return call->service &&
	       call->upload.received_bytes >
		       call->service->limits.request_body_bytes;
}

static void receive_upload(struct hx_exchange *exchange, const char *bytes,
			   size_t size, void *data)
{
	struct tr_call *call = hx_get_state(exchange);
	struct tr_upload *upload = &call->upload;

	upload->received_bytes += size;
	if (is_body_too_long(call) && !call->is_answer_begun) {
		stop_call(call, RT_OUTCOME_CANCELLED, ADM_OUTCOME_CANCELLED);
		tr_refuse_call(call, MHD_HTTP_CONTENT_TOO_LARGE,
			       "body_too_large", !call->is_run_possible);
		return;
	}
	tr_append_buffer(&upload->buffer, bytes, size, TR_REPLAY_BYTES_MAX);
	tr_update_held_bytes(call);
	tr_continue_attempt(call);
	if (tr_is_upload_full(call) && call->stage != TR_STAGE_COLLECTING)
		hx_pause_body(exchange);
}

static void end_upload(struct hx_exchange *exchange, void *data)
{
	struct tr_call *call = hx_get_state(exchange);

	if (call->upload.is_whole)
		return;
	call->upload.is_whole = true;
	if (call->stage == TR_STAGE_COLLECTING)
		handle_collected_body(call);
	else
		tr_continue_attempt(call);
}

static void handle_sent(struct hx_exchange *exchange, void *data)
{
	tr_continue_answer(hx_get_state(exchange));
}

static void free_call(struct tr_call *call)
{
	struct tr_thread *thread = call->thread;

	talloc_free(call->deadline);
	curl_slist_free_all(call->headers);
	tr_close_answer(&call->answer);
	tr_close_buffer(&call->upload.buffer);
	if (call->table)
		rt_unref_table(call->table);
	g_free(call->service_name);
	g_free(call->version);
	g_free(call->caller);
	g_free(call->kind);
	g_free(call);
	atomic_fetch_sub(&thread->call_count, 1);
}

static void end_call(struct hx_exchange *exchange, enum hx_end how, void *data)
{
	struct tr_call *call = hx_get_state(exchange);
	struct tr_counters *counters = &call->thread->service->counters;

	if (how == HX_END_LOST && call->method &&
	    call->stage != TR_STAGE_ENDED) {
		tr_log_call(call, "cancel", "caller disconnected");
		cnt_add(counters->cancelled[call->role], 1);
	}
	stop_call(call, RT_OUTCOME_CANCELLED, ADM_OUTCOME_CANCELLED);
	if (call->method)
		cnt_observe(counters->durations[call->role],
			    (tmr_get_now_ms(call->thread->timers) -
			     call->begun_ms) *
				    1000);
	free_call(call);
}

const struct hx_handler tr_call_handler = {
	.open = open_call,
	.may_overlap = may_overlap,
	.begin = begin_call,
	.receive_body = receive_upload,
	.end_body = end_upload,
	.handle_sent = handle_sent,
	.end = end_call,
};
