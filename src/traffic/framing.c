/*
 * Syntax and framing of answers.
 *
 * Bytes are unsigned; no function depends on the locale.
 */
#include "framing.h"

#include <assert.h>
#include <string.h>
#include <strings.h>
#include <glib.h>

#define STATUS_MIN 100U
#define STATUS_MAX 599U
#define CHUNK_DIGITS_MAX 15U /* keeps the size below 2^63 */
/* Bytes around the chunks of a body: so many, and for each byte of content. */
#define FRAME_BYTES_MAX 65536U
#define FRAME_BYTES_PER_CONTENT_BYTE 4U

static bool is_token_char(char c)
{
	return g_ascii_isalnum(c) || (c && strchr("!#$%&'*+-.^_`|~", c));
}

static bool is_text_char(char c)
{
	return c == '\t' || ((unsigned char)c >= ' ' && c != 0x7f);
}

static bool is_text(const char *bytes, size_t size)
{
	for (size_t i = 0; i < size; i++) {
		if (!is_text_char(bytes[i]))
			return false;
	}
	return true;
}

bool tr_parse_status_line(const char *line, size_t size, uint32_t *status,
			  bool *is_http10)
{
	static const char version[] = "HTTP/1.";
	const size_t minor = sizeof(version) - 1;
	const size_t code = minor + 2; /* minor version and a blank */
	const size_t end = code + 3;
	uint32_t number = 0;

	if (size < end || strncmp(line, version, minor) != 0 ||
	    (line[minor] != '0' && line[minor] != '1') ||
	    line[minor + 1] != ' ')
		return false;
	for (size_t i = code; i < end; i++) {
		if (!g_ascii_isdigit(line[i]))
			return false;
		number = number * 10 + (uint32_t)g_ascii_digit_value(line[i]);
	}
	if (number < STATUS_MIN || number > STATUS_MAX)
		return false;
	if (size > end && line[end] != ' ')
		return false;
	*status = number;
	*is_http10 = line[minor] == '0';
	return is_text(line + end, size - end);
}

static bool is_framing_name(const char *name)
{
	return strcasecmp(name, "Content-Length") == 0 ||
	       strcasecmp(name, "Transfer-Encoding") == 0;
}

bool tr_split_header_line(char *line, size_t size, char **name, char **value)
{
	size_t name_size = 0;
	size_t colon;

	while (is_token_char(line[name_size]))
		name_size++;
	colon = name_size;
	while (line[colon] == ' ' || line[colon] == '\t')
		colon++;
	if (name_size == 0 || line[colon] != ':' ||
	    !is_text(line + colon, size - colon))
		return false;
	line[name_size] = '\0';
	*name = line;
	*value = g_strstrip(line + colon + 1);
	/*
	 * A proxy removes blanks before the colon (RFC 9112, 5.1), but libcurl
	 * does not recognize such a header.
	 */
	return colon == name_size || !is_framing_name(line);
}

void tr_open_framing(struct tr_framing *framing, bool is_http10)
{
	*framing = (struct tr_framing){ .content_length = -1,
					.is_http10 = is_http10 };
}

/* The length may be repeated, but only as the same number. */
static bool add_content_length(struct tr_framing *framing, const char *value)
{
	char **items = g_strsplit(value, ",", -1);
	guint64 length;
	bool is_valid = *value != '\0';

	for (char **item = items; is_valid && *item; item++) {
		is_valid =
			g_ascii_string_to_unsigned(g_strstrip(*item), 10, 0,
						   G_MAXINT64, &length, NULL) &&
			(framing->content_length < 0 ||
			 framing->content_length == (int64_t)length);
		if (is_valid)
			framing->content_length = (int64_t)length;
	}
	g_strfreev(items);
	return is_valid;
}

/* A node asks for no other transfer encoding. */
static bool add_transfer_encoding(struct tr_framing *framing, const char *value)
{
	if (framing->is_chunked || framing->is_http10 ||
	    strcasecmp(value, "chunked") != 0)
		return false;
	framing->is_chunked = true;
	return true;
}

bool tr_add_framing_header(struct tr_framing *framing, const char *name,
			   const char *value)
{
	if (strcasecmp(name, "Content-Length") == 0)
		return add_content_length(framing, value);
	if (strcasecmp(name, "Transfer-Encoding") == 0)
		return add_transfer_encoding(framing, value);
	return true;
}

static enum tr_chunk_state read_size_digit(struct tr_chunks *chunks, char c)
{
	if (++chunks->digit_count > CHUNK_DIGITS_MAX)
		return TR_CHUNK_MALFORMED;
	chunks->left_bytes =
		chunks->left_bytes * 16 + (uint64_t)g_ascii_xdigit_value(c);
	return TR_CHUNK_SIZE;
}

static enum tr_chunk_state expect(char c, char wanted, enum tr_chunk_state next)
{
	return c == wanted ? next : TR_CHUNK_MALFORMED;
}

/* Some servers pad the size with blanks. */
static enum tr_chunk_state read_size_end(char c)
{
	if (c == ' ' || c == '\t')
		return TR_CHUNK_BLANK;
	if (c == ';')
		return TR_CHUNK_EXTENSION;
	return expect(c, '\r', TR_CHUNK_SIZE_LF);
}

/* Reads text up to the carriage return that ends its line. */
static enum tr_chunk_state read_text(char c, enum tr_chunk_state current,
				     enum tr_chunk_state next)
{
	if (c == '\r')
		return next;
	return is_text_char(c) ? current : TR_CHUNK_MALFORMED;
}

/* Returns the state after a byte that is not content. */
static enum tr_chunk_state read_frame_byte(struct tr_chunks *chunks, char c)
{
	switch (chunks->state) {
	case TR_CHUNK_SIZE_START:
		chunks->digit_count = 0;
		chunks->left_bytes = 0;
		return g_ascii_isxdigit(c) ? read_size_digit(chunks, c)
					   : TR_CHUNK_MALFORMED;
	case TR_CHUNK_SIZE:
		if (g_ascii_isxdigit(c))
			return read_size_digit(chunks, c);
		return read_size_end(c);
	case TR_CHUNK_BLANK:
		return read_size_end(c);
	case TR_CHUNK_EXTENSION:
		return read_text(c, TR_CHUNK_EXTENSION, TR_CHUNK_SIZE_LF);
	case TR_CHUNK_SIZE_LF:
		return expect(c, '\n',
			      chunks->left_bytes > 0 ? TR_CHUNK_DATA
						     : TR_CHUNK_TRAILER_START);
	case TR_CHUNK_DATA_CR:
		return expect(c, '\r', TR_CHUNK_DATA_LF);
	case TR_CHUNK_DATA_LF:
		return expect(c, '\n', TR_CHUNK_SIZE_START);
	case TR_CHUNK_TRAILER_START:
		if (c == '\r')
			return TR_CHUNK_LAST_LF;
		return is_token_char(c) ? TR_CHUNK_TRAILER_NAME
					: TR_CHUNK_MALFORMED;
	case TR_CHUNK_TRAILER_NAME:
		if (c == ':')
			return TR_CHUNK_TRAILER_VALUE;
		return is_token_char(c) ? TR_CHUNK_TRAILER_NAME
					: TR_CHUNK_MALFORMED;
	case TR_CHUNK_TRAILER_VALUE:
		return read_text(c, TR_CHUNK_TRAILER_VALUE,
				 TR_CHUNK_TRAILER_LF);
	case TR_CHUNK_TRAILER_LF:
		return expect(c, '\n', TR_CHUNK_TRAILER_START);
	case TR_CHUNK_LAST_LF:
		return expect(c, '\n', TR_CHUNK_END);
	case TR_CHUNK_DATA:
	case TR_CHUNK_END:
	case TR_CHUNK_MALFORMED:
		break;
	}
	return chunks->state;
}

static bool is_over(const struct tr_chunks *chunks)
{
	return chunks->state == TR_CHUNK_END ||
	       chunks->state == TR_CHUNK_MALFORMED;
}

static bool has_too_much_frame(const struct tr_chunks *chunks)
{
	return chunks->frame_bytes >
	       FRAME_BYTES_MAX +
		       FRAME_BYTES_PER_CONTENT_BYTE * chunks->content_bytes;
}

size_t tr_decode_chunks(struct tr_chunks *chunks, const char *bytes,
			size_t size, const char **part, size_t *part_size)
{
	size_t i = 0;

	*part_size = 0;
	while (i < size && chunks->state != TR_CHUNK_DATA && !is_over(chunks))
		chunks->state = read_frame_byte(chunks, bytes[i++]);
	chunks->frame_bytes += i;
	if (has_too_much_frame(chunks))
		chunks->state = TR_CHUNK_MALFORMED;
	if (i == size || chunks->state != TR_CHUNK_DATA)
		return i;
	*part = bytes + i;
	*part_size = MIN(size - i, chunks->left_bytes);
	chunks->left_bytes -= *part_size;
	chunks->content_bytes += *part_size;
	if (chunks->left_bytes == 0)
		chunks->state = TR_CHUNK_DATA_CR;
	return i + *part_size;
}
