/*
 * Byte queue in a GByteArray. Read bytes are removed only when they make up
 * half of the array, so that the cost per byte is constant (amortized).
 */
#include "buffer.h"

#include <assert.h>
#include <string.h>

/* What an empty buffer keeps allocated. */
#define KEPT_BYTES 4096U

static void drop_read_bytes(struct tr_buffer *buffer)
{
	if (buffer->is_rewindable || buffer->offset * 2 < buffer->bytes->len)
		return;
	if (buffer->offset == buffer->bytes->len && buffer->peak > KEPT_BYTES) {
		tr_reset_buffer(buffer);
		return;
	}
	g_byte_array_remove_range(buffer->bytes, 0, (guint)buffer->offset);
	buffer->offset = 0;
}

void tr_open_buffer(struct tr_buffer *buffer, bool is_rewindable)
{
	buffer->bytes = g_byte_array_new();
	buffer->offset = 0;
	buffer->peak = 0;
	buffer->is_rewindable = is_rewindable;
}

void tr_close_buffer(struct tr_buffer *buffer)
{
	if (buffer->bytes)
		g_byte_array_unref(buffer->bytes);
	buffer->bytes = NULL;
}

void tr_reset_buffer(struct tr_buffer *buffer)
{
	tr_close_buffer(buffer);
	tr_open_buffer(buffer, false);
}

void tr_append_buffer(struct tr_buffer *buffer, const void *bytes, size_t size,
		      size_t rewindable_bytes_max)
{
	if (buffer->bytes->len + size > rewindable_bytes_max)
		buffer->is_rewindable = false;
	g_byte_array_append(buffer->bytes, bytes, (guint)size);
	if (buffer->bytes->len > buffer->peak)
		buffer->peak = buffer->bytes->len;
}

size_t tr_read_buffer(struct tr_buffer *buffer, void *target, size_t size)
{
	size_t count = tr_get_buffer_size(buffer);

	if (count > size)
		count = size;
	if (count == 0)
		return 0;
	memcpy(target, buffer->bytes->data + buffer->offset, count);
	buffer->offset += count;
	drop_read_bytes(buffer);
	return count;
}

size_t tr_get_buffer_size(const struct tr_buffer *buffer)
{
	return buffer->bytes->len - buffer->offset;
}

void *tr_get_buffer_bytes(const struct tr_buffer *buffer)
{
	return buffer->bytes->data + buffer->offset;
}

void tr_rewind_buffer(struct tr_buffer *buffer)
{
	assert(buffer->is_rewindable);
	buffer->offset = 0;
}
