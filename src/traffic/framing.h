/*
 * Syntax and framing of answers (RFC 9110, 5 and 8.6; RFC 9112, 4 to 7).
 *
 * libcurl accepts answers whose framing contradicts itself or is no number, and
 * then takes a part of the body for all of it. What is checked here is at least
 * as strict, so that both agree on the body of each answer that passes.
 */
#ifndef TR_FRAMING_H
#define TR_FRAMING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* How the body of an answer ends, as its head says. */
struct tr_framing {
	int64_t content_length; /* -1: not given */
	bool is_chunked;
	bool is_http10;
};

enum tr_chunk_state {
	TR_CHUNK_SIZE_START,
	TR_CHUNK_SIZE,
	TR_CHUNK_BLANK,
	TR_CHUNK_EXTENSION,
	TR_CHUNK_SIZE_LF,
	TR_CHUNK_DATA,
	TR_CHUNK_DATA_CR,
	TR_CHUNK_DATA_LF,
	TR_CHUNK_TRAILER_START,
	TR_CHUNK_TRAILER_NAME,
	TR_CHUNK_TRAILER_VALUE,
	TR_CHUNK_TRAILER_LF,
	TR_CHUNK_LAST_LF,
	TR_CHUNK_END,
	TR_CHUNK_MALFORMED,
};

/* The state of a chunked body between two parts; zero is the start. */
struct tr_chunks {
	enum tr_chunk_state state;
	uint32_t digit_count; /* of the chunk size */
	uint64_t left_bytes;  /* of the chunk */
	uint64_t frame_bytes; /* of sizes, extensions, line ends, trailers */
	uint64_t content_bytes;
};

/*
 * Reads a status line, without its line end. Returns false when it is malformed
 * or of another protocol than HTTP/1.0 and HTTP/1.1.
 */
bool tr_parse_status_line(const char *line, size_t size, uint32_t *status,
			  bool *is_http10);

/*
 * Splits a header line, without its line end, in place. Name and value are
 * borrowed from line, which must be terminated by NUL. Returns false when the
 * line is malformed.
 */
bool tr_split_header_line(char *line, size_t size, char **name, char **value);

/* Starts the framing of an answer that has no framing header yet. */
void tr_open_framing(struct tr_framing *framing, bool is_http10);

/*
 * Takes a header into account; one without a meaning for the framing is
 * ignored. Returns false when it is invalid or contradicts an earlier one.
 */
bool tr_add_framing_header(struct tr_framing *framing, const char *name,
			   const char *value);

/*
 * Takes in bytes of a chunked body up to the end of the next part of its
 * content, and returns how many. *part is borrowed from bytes, and *part_size
 * is 0 when there is no further content in them. Nothing is taken in after the
 * end of the body or a malformed byte. A body with far more bytes around its
 * chunks than in them is malformed, too.
 */
size_t tr_decode_chunks(struct tr_chunks *chunks, const char *bytes,
			size_t size, const char **part, size_t *part_size);

#endif
