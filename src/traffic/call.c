/*
 * Lifecycle of a call, from the request line to MHD's completion callback.
 *
 * MHD drives the caller's side of a call and curl the other side. A connection
 * that has to wait for the other side is suspended; after tr_resume_call() MHD
 * calls tr_handle_access() again. The call is freed only when MHD has completed
 * the request; a transfer that still runs then is cancelled.
 * Invariant: is_suspended is true exactly while MHD has the connection
 * suspended.
 */
#include "call.h"
#include "call_log.h"

#include <assert.h>
#include <string.h>
#include <time.h>
#include "connection.h"
#include "samples.h"

uint64_t tr_get_now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

void tr_resume_call(struct tr_call *call)
{
	if (!call->is_suspended)
		return;
	call->is_suspended = false;
	MHD_resume_connection(call->mhd);
	hs_wake(call->role == TR_ROLE_ENTRY ? call->thread->entry.loop
					    : call->thread->hop.loop);
}

static void suspend_call(struct tr_call *call)
{
	call->is_suspended = true;
	MHD_suspend_connection(call->mhd);
}

/* Removes the call from the admission queue and cancels its transfer. */
static void stop_call(struct tr_call *call, enum rt_outcome outcome,
		      enum adm_outcome adm_outcome)
{
	if (call->stage == TR_STAGE_WAITING) {
		adm_cancel_waiting(call->thread->gate, call);
		if (call->is_local)
			tr_note_entry_end(call, outcome);
	}
	if (!call->easy)
		return;
	tr_stop_attempt(call);
	if (call->send_count > 0)
		call->is_run_possible = true;
	switch (call->role) {
	case TR_ROLE_ENTRY:
		tr_release_slot(call, adm_outcome);
		tr_note_entry_end(call, outcome);
		if (outcome == RT_OUTCOME_FAILED)
			tr_note_sample(call, MV_OUTCOME_FAILED);
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
		call->stage = TR_STAGE_ENDED;
		tr_resume_call(call);
		return;
	}
	tr_refuse_call(call,
		       call->is_run_possible ? MHD_HTTP_GATEWAY_TIMEOUT
					     : MHD_HTTP_SERVICE_UNAVAILABLE,
		       "deadline", !call->is_run_possible);
}

/* Cancels a call whose caller has disconnected; it gets no reply. */
static void cancel_call(struct tr_call *call)
{
	tr_log_call(call, "cancel", "caller disconnected");
	stop_call(call, RT_OUTCOME_CANCELLED, ADM_OUTCOME_CANCELLED);
	cnt_add(call->thread->service->counters.cancelled[call->role], 1);
	call->stage = TR_STAGE_ENDED;
	call->is_aborted = true;
	call->answer.is_broken = true;
}

void tr_handle_disconnect(struct tr_call *call)
{
	/* A caller that closed only its sending side can still be answered. */
	if (call->stage == TR_STAGE_ENDED)
		return;
	if (!call->is_suspended) {
		tr_shut_down_connection(call->connection);
		return;
	}
	cancel_call(call);
	tr_resume_call(call);
}

void *tr_note_request_line(void *data, const char *uri,
			   struct MHD_Connection *connection)
{
	struct tr_listener *listener = data;
	struct tr_thread *thread = listener->thread;
	struct tr_call *call = g_new0(struct tr_call, 1);

	call->thread = thread;
	call->role = listener->role;
	call->mhd = connection;
	call->uri = g_strdup(uri);
	call->connection = tr_get_connection(connection);
	call->connection->request_ms = tmr_get_now_ms(thread->timers);
	tr_open_buffer(&call->upload.buffer, true);
	tr_open_answer(&call->answer);
	atomic_fetch_add(&thread->call_count, 1);
	return call;
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
	const char *length = MHD_lookup_connection_value(
		call->mhd, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
	const char *encoding = MHD_lookup_connection_value(
		call->mhd, MHD_HEADER_KIND, MHD_HTTP_HEADER_TRANSFER_ENCODING);

	call->upload.content_length = -1;
	if (length)
		call->upload.content_length = g_ascii_strtoll(length, NULL, 10);
	call->upload.has_body = encoding || call->upload.content_length > 0;
	call->upload.is_whole = !call->upload.has_body;
}

static void begin_call(struct tr_call *call, const char *method)
{
	uint64_t now_ms = tmr_get_now_ms(call->thread->timers);

	call->begun_ms = now_ms;
	call->method = g_strdup(method);
	tr_set_connection_call(call->connection, call);
	tr_check_disconnect(call->connection);
	read_body_headers(call);
	cnt_add(call->thread->service->counters.calls[call->role], 1);
	switch (call->role) {
	case TR_ROLE_ENTRY:
		tr_route_call(call);
		break;
	case TR_ROLE_HOP:
		tr_admit_call(call);
		break;
	}
	if (call->connection->is_disconnected)
		tr_handle_disconnect(call);
	if (call->deadline_ms == 0 || call->stage == TR_STAGE_ENDED)
		return;
	call->deadline = tmr_subscribe_once(
		call->thread->timers, call->thread->timers,
		call->deadline_ms > now_ms
			? (uint32_t)(call->deadline_ms - now_ms)
			: 0,
		handle_deadline, call);
}

static bool is_body_too_long(const struct tr_call *call)
{
	return call->service &&
	       call->upload.received_bytes >
		       call->service->limits.request_body_bytes;
}

static void receive_upload(struct tr_call *call, const char *part, size_t *size)
{
	struct tr_upload *upload = &call->upload;

	/* The reply is already decided: discard the rest of the body. */
	if (call->reply) {
		*size = 0;
		return;
	}
	if (tr_get_buffer_size(&upload->buffer) >= TR_STREAM_BYTES_MAX) {
		suspend_call(call);
		return;
	}
	upload->received_bytes += *size;
	if (is_body_too_long(call)) {
		stop_call(call, RT_OUTCOME_CANCELLED, ADM_OUTCOME_CANCELLED);
		tr_refuse_call(call, MHD_HTTP_CONTENT_TOO_LARGE,
			       "body_too_large", !call->is_run_possible);
		*size = 0;
		return;
	}
	tr_append_buffer(&upload->buffer, part, *size, TR_REPLAY_BYTES_MAX);
	*size = 0;
	tr_continue_attempt(call);
}

static enum MHD_Result queue_reply(struct tr_call *call)
{
	enum MHD_Result result;

	if (call->is_queued)
		return MHD_YES;
	result = MHD_queue_response(call->mhd, call->reply_status, call->reply);
	call->is_queued = result == MHD_YES;
	return result;
}

enum MHD_Result tr_handle_access(void *data, struct MHD_Connection *connection,
				 const char *url, const char *method,
				 const char *version, const char *upload,
				 size_t *upload_size, void **state)
{
	struct tr_call *call = *state;

	if (!call->method) {
		begin_call(call, method);
		return MHD_YES;
	}
	if (*upload_size > 0) {
		receive_upload(call, upload, upload_size);
		return MHD_YES;
	}
	if (call->is_aborted)
		return MHD_NO;
	if (!call->upload.is_whole) {
		call->upload.is_whole = true;
		if (call->stage == TR_STAGE_COLLECTING)
			handle_collected_body(call);
		else
			tr_continue_attempt(call);
	}
	if (call->reply)
		return queue_reply(call);
	if (call->connection->is_disconnected) {
		cancel_call(call);
		return MHD_NO;
	}
	suspend_call(call);
	return MHD_YES;
}

static void free_call(struct tr_call *call)
{
	struct tr_thread *thread = call->thread;

	talloc_free(call->deadline);
	if (call->reply)
		MHD_destroy_response(call->reply);
	curl_slist_free_all(call->headers);
	tr_close_answer(&call->answer);
	tr_close_buffer(&call->upload.buffer);
	if (call->table)
		rt_unref_table(call->table);
	g_free(call->service_name);
	g_free(call->version);
	g_free(call->caller);
	g_free(call->method);
	g_free(call->uri);
	g_free(call);
	atomic_fetch_sub(&thread->call_count, 1);
}

void tr_note_completed(void *data, struct MHD_Connection *connection,
		       void **state, enum MHD_RequestTerminationCode code)
{
	struct tr_call *call = *state;

	if (!call)
		return;
	stop_call(call, RT_OUTCOME_CANCELLED, ADM_OUTCOME_CANCELLED);
	if (call->method)
		cnt_observe(
			call->thread->service->counters.durations[call->role],
			(tmr_get_now_ms(call->thread->timers) -
			 call->begun_ms) *
				1000);
	tr_set_connection_call(call->connection, NULL);
	free_call(call);
	*state = NULL;
}
