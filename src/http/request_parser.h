/*
 * Framing of requests: splits the bytes of a connection into heads, body parts
 * and ends of requests. Does no I/O.
 */
#ifndef HX_REQUEST_PARSER_H
#define HX_REQUEST_PARSER_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>
#include <http_parser.h>

/* The head of a request. Offsets refer to text, whose parts end with NUL. */
struct hx_head {
	GString *text;
	GArray *headers;    /* struct hx_header */
	const char *method; /* static */
	size_t target_length;
	bool is_keep_alive;
	bool is_http10;
	bool has_body;
	bool expects_continue;
};

struct hx_header {
	uint32_t name;
	uint32_t value;
};

enum hx_event_kind {
	HX_EVENT_NONE,	/* all bytes were taken, more are needed */
	HX_EVENT_START, /* first byte of a request */
	HX_EVENT_HEAD,	/* head complete */
	HX_EVENT_BODY,	/* part of the body */
	HX_EVENT_END,	/* request complete */
	HX_EVENT_ERROR, /* not a request that can be served */
};

struct hx_event {
	enum hx_event_kind kind;
	union {
		struct {
			const char *bytes; /* borrowed from the input */
			size_t size;
		} body;
		struct {
			uint32_t status;    /* HTTP status to answer with */
			const char *reason; /* static */
		} error;
	};
};

/*
 * Invariant: head is set between HX_EVENT_START and HX_EVENT_HEAD, when the
 * caller of hx_parse() has provided it.
 */
struct hx_parser {
	http_parser http;
	struct hx_head
		*head; /* borrowed; NULL: parts of the head are dropped */
	struct hx_event event;
	uint32_t head_bytes_max;
	uint32_t head_bytes;
	bool is_in_head;
	bool is_value; /* the last part was of a header's value */
	char last_byte;
};

void hx_open_head(struct hx_head *head);
void hx_close_head(struct hx_head *head);

/* Returns the value of a header (borrowed), or NULL. */
const char *hx_find_header(const struct hx_head *head, const char *name);

void hx_open_parser(struct hx_parser *parser, uint32_t head_bytes_max);

/*
 * Parses bytes up to the next event and stores in *taken how many were used.
 * After HX_EVENT_START the caller sets parser->head. After HX_EVENT_ERROR the
 * parser must not be used.
 */
struct hx_event hx_parse(struct hx_parser *parser, const char *bytes,
			 size_t size, size_t *taken);

#endif
