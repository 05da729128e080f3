/*
 * One attempt: a curl transfer of the call to another node or to the local
 * target.
 *
 * Invariant: call->easy is set exactly while the transfer is in a loop.
 */
#include <assert.h>
#include "call.h"
#include "loom/error.h"

/*
 * A node that does not accept a connection within this time counts as
 * unreachable. The timeout is short so that another node can still serve the
 * call.
 */
#define CONNECT_TIMEOUT_MS 200U

static size_t read_upload(char *target, size_t size, size_t count, void *data)
{
	struct tr_call *call = data;
	struct tr_upload *upload = &call->upload;
	size_t moved = tr_read_buffer(&upload->buffer, target, size * count);

	if (moved > 0) {
		tr_update_held_bytes(call);
		hx_resume_body(call->exchange);
		return moved;
	}
	if (upload->is_whole)
		return 0;
	upload->is_paused = true;
	return CURL_READFUNC_PAUSE;
}

/*
 * curl sends a request again by itself when a reused connection turns out to be
 * closed. Only the entry side may decide to repeat a request, so a second send
 * is aborted. send_count also proves that a request was not run: it was never
 * sent.
 */
static int prevent_resend(void *data, char *remote_ip, char *local_ip,
			  int remote_port, int local_port)
{
	struct tr_call *call = data;

	/* Bytes from before the request are no part of its answer. */
	if (tr_is_from_target(call) &&
	    hc_has_unread_bytes(call->loop, local_port)) {
		call->is_connection_stale = !call->is_connection_fresh;
		return CURL_PREREQFUNC_ABORT;
	}

	if (call->send_count > 0) {
		cnt_add(call->thread->service->counters.repeats_stopped, 1);
		return CURL_PREREQFUNC_ABORT;
	}
	call->send_count++;
	call->send_total++;
	return CURL_PREREQFUNC_OK;
}

static void handle_done(CURL *easy, CURLcode code, void *data);

static void add_transfer(struct tr_call *call)
{
	bool is_started = hc_add_transfer(call->loop, call->easy, handle_done,
					  call, NULL);

	assert(is_started);
	(void)is_started;
}

/* Returns the handle of an attempt that is no longer in a loop. */
static void leave_handle(struct tr_call *call)
{
	tr_return_handle(call->thread, call->easy);
	call->easy = NULL;
	curl_slist_free_all(call->headers);
	call->headers = NULL;
	tr_update_held_bytes(call);
}

static void handle_done(CURL *easy, CURLcode code, void *data)
{
	struct tr_call *call = data;

	assert(call->easy == easy);
	/* Nothing was sent, and curl has closed the connection. */
	if (call->is_connection_stale) {
		call->is_connection_stale = false;
		call->is_connection_fresh = true;
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
		add_transfer(call);
		return;
	}
	leave_handle(call);
	code = tr_check_answer_end(call, code);
	switch (call->role) {
	case TR_ROLE_ENTRY:
		if (call->is_local)
			tr_end_local_attempt(call, code);
		else
			tr_end_entry_attempt(call, code);
		break;
	case TR_ROLE_HOP:
		tr_end_hop_attempt(call, code);
		break;
	}
}

static void set_upload(struct tr_call *call)
{
	CURL *easy = call->easy;

	if (!call->upload.has_body) {
		if (g_strcmp0(call->method, MHD_HTTP_METHOD_POST) == 0 ||
		    g_strcmp0(call->method, MHD_HTTP_METHOD_PUT) == 0)
			call->headers = tr_append_header(
				call->headers, MHD_HTTP_HEADER_CONTENT_LENGTH,
				"0");
		return;
	}
	curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
	curl_easy_setopt(easy, CURLOPT_READFUNCTION, read_upload);
	curl_easy_setopt(easy, CURLOPT_READDATA, call);
	curl_easy_setopt(easy, CURLOPT_UPLOAD_BUFFERSIZE,
			 (long)TR_UPLOAD_BUFFER_BYTES);
	if (call->upload.content_length >= 0)
		curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE,
				 (curl_off_t)call->upload.content_length);
	else
		call->headers = tr_append_header(
			call->headers, MHD_HTTP_HEADER_TRANSFER_ENCODING,
			"chunked");
	call->headers = curl_slist_append(call->headers, "Expect:");
}

/*
 * Load reports go to the address that a call comes from. A node with several
 * addresses would connect from any of them.
 */
static void bind_to_own_address(struct tr_call *call)
{
	const struct tr_thread *thread = call->thread;
	char *host;

	if (!thread->load || call->loop != thread->peer_loop)
		return;
	host = g_strconcat("host!", thread->service->options.address, NULL);
	curl_easy_setopt(call->easy, CURLOPT_INTERFACE, host);
	g_free(host);
}

static void set_options(struct tr_call *call, const char *base_url)
{
	CURL *easy = call->easy;

	curl_easy_setopt(easy, CURLOPT_URL, base_url);
	/* Sent as it was received: curl would drop a fragment. */
	curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, call->uri);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	hc_set_peer_timeouts(easy, CONNECT_TIMEOUT_MS);
	hc_reset_on_close(easy);
	bind_to_own_address(call);
	if (tr_is_from_target(call))
		hc_watch_sockets(call->loop, easy);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	if (g_strcmp0(call->method, MHD_HTTP_METHOD_HEAD) == 0)
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
	set_upload(call);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call->method);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION,
			 tr_receive_answer_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, call);
	/* Chunks are decoded by tr_receive_answer_body(). */
	curl_easy_setopt(easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, tr_receive_answer_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, prevent_resend);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, call);
}

void tr_start_attempt(struct tr_call *call, struct hc_loop *loop,
		      const char *base_url)
{
	assert(!call->easy);
	tr_reset_answer(&call->answer);
	call->stage = TR_STAGE_SENDING;
	call->attempt_us = tr_get_now_us();
	call->send_count = 0;
	call->is_connection_fresh = false;
	call->upload.is_paused = false;
	call->easy = tr_take_handle(call->thread);
	call->loop = loop;
	set_options(call, base_url);
	tr_measure_transfer(call);
	tr_update_held_bytes(call);
	add_transfer(call);
}

void tr_stop_attempt(struct tr_call *call)
{
	if (!call->easy)
		return;
	hc_remove_transfer(call->loop, call->easy);
	leave_handle(call);
}

void tr_continue_attempt(struct tr_call *call)
{
	if (!call->easy || !(call->upload.is_paused || call->answer.is_paused))
		return;
	call->upload.is_paused = false;
	call->answer.is_paused = false;
	curl_easy_pause(call->easy, CURLPAUSE_CONT);
}
