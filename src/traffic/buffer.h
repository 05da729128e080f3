/*
 * A byte queue between a writer and a reader that run at different speeds.
 */
#ifndef TR_BUFFER_H
#define TR_BUFFER_H

#include <stdbool.h>
#include <stddef.h>
#include <glib.h>

struct tr_buffer {
	GByteArray *bytes;
	size_t offset;	    /* offset of the first unread byte */
	size_t peak;	    /* most bytes since it was opened or reset */
	bool is_rewindable; /* read bytes are kept for tr_rewind_buffer() */
};

void tr_open_buffer(struct tr_buffer *buffer, bool is_rewindable);
void tr_close_buffer(struct tr_buffer *buffer);

/* Frees the bytes; the buffer is empty then and cannot be rewound. */
void tr_reset_buffer(struct tr_buffer *buffer);

/*
 * Appends bytes. A buffer that exceeds rewindable_bytes_max can no longer be
 * rewound.
 */
void tr_append_buffer(struct tr_buffer *buffer, const void *bytes, size_t size,
		      size_t rewindable_bytes_max);

/* Copies up to size unread bytes to target; returns how many. */
size_t tr_read_buffer(struct tr_buffer *buffer, void *target, size_t size);

/* Returns the number of unread bytes. */
size_t tr_get_buffer_size(const struct tr_buffer *buffer);

/* Returns the unread bytes (borrowed until the buffer changes). */
void *tr_get_buffer_bytes(const struct tr_buffer *buffer);

/* Restarts reading at the first byte; is_rewindable must still be true. */
void tr_rewind_buffer(struct tr_buffer *buffer);

#endif
