/*
 * What a call holds, for the account of its thread.
 */
#include <string.h>
#include "call.h"

/* A transfer of curl: its handle and its receive buffer of 16 kB. */
#define TRANSFER_BYTES 24576U
/* Received bytes that curl keeps while a transfer is paused. */
#define PAUSED_BYTES 16384U
/* What a header line takes beside its text in a list of curl. */
#define LINE_BYTES 64U

void tr_measure_transfer(struct tr_call *call)
{
	size_t bytes = TRANSFER_BYTES;

	if (call->upload.has_body)
		bytes += TR_UPLOAD_BUFFER_BYTES;
	/* curl makes a second copy of the text when it sends the request. */
	for (const struct curl_slist *line = call->headers; line;
	     line = line->next)
		bytes += LINE_BYTES + 2 * strlen(line->data);
	call->transfer_bytes = bytes;
}

void tr_update_held_bytes(struct tr_call *call)
{
	size_t bytes = call->upload.buffer.peak + call->answer.body.peak;

	if (call->easy)
		bytes += call->transfer_bytes;
	if (call->easy && call->answer.is_paused)
		bytes += PAUSED_BYTES;
	hx_set_handler_bytes(call->exchange, bytes);
}

bool tr_is_upload_full(const struct tr_call *call)
{
	return tr_get_buffer_size(&call->upload.buffer) >=
	       acc_get_stream_max(&call->thread->account, TR_STREAM_BYTES_MAX);
}

void tr_release_upload(struct tr_call *call)
{
	tr_reset_buffer(&call->upload.buffer);
	tr_update_held_bytes(call);
}
