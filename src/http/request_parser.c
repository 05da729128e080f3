/*
 * Framing of requests with http_parser.
 *
 * The library reports parts through callbacks; each callback that reports an
 * event pauses it, so that hx_parse() returns one event a call. The library is
 * lenient in places where two readers of the same bytes may disagree (request
 * smuggling, RFC 9112, 11.2); those are checked here: line ends without a
 * carriage return and blanks in header names.
 */
#include "request_parser.h"

#include <string.h>
#include <strings.h>

static struct hx_parser *get_parser(http_parser *http)
{
	return http->data;
}

void hx_open_head(struct hx_head *head)
{
	*head = (struct hx_head){ 0 };
	head->text = g_string_new(NULL);
	head->headers = g_array_new(FALSE, FALSE, sizeof(struct hx_header));
}

void hx_close_head(struct hx_head *head)
{
	if (head->text)
		g_string_free(head->text, TRUE);
	if (head->headers)
		g_array_unref(head->headers);
	head->text = NULL;
	head->headers = NULL;
}

const char *hx_find_header(const struct hx_head *head, const char *name)
{
	for (guint i = 0; i < head->headers->len; i++) {
		const struct hx_header *header =
			&g_array_index(head->headers, struct hx_header, i);

		if (strcasecmp(head->text->str + header->name, name) == 0)
			return head->text->str + header->value;
	}
	return NULL;
}

/* Reports an event, which makes http_parser_execute() return. */
static int report_event(struct hx_parser *parser, enum hx_event_kind kind)
{
	parser->event.kind = kind;
	http_parser_pause(&parser->http, 1);
	return 0;
}

static int handle_message_begin(http_parser *http)
{
	struct hx_parser *parser = get_parser(http);

	parser->is_in_head = true;
	parser->is_value = false;
	parser->head_bytes = 0;
	return report_event(parser, HX_EVENT_START);
}

static int handle_url(http_parser *http, const char *part, size_t size)
{
	struct hx_parser *parser = get_parser(http);

	g_string_append_len(parser->head->text, part, (gssize)size);
	parser->head->target_length = parser->head->text->len;
	return 0;
}

static int handle_header_field(http_parser *http, const char *part, size_t size)
{
	struct hx_parser *parser = get_parser(http);
	struct hx_head *head = parser->head;
	struct hx_header header;

	/* Trailers are not forwarded. */
	if (!parser->is_in_head)
		return 0;
	if (parser->is_value || head->headers->len == 0) {
		g_string_append_c(head->text, '\0');
		header.name = (uint32_t)head->text->len;
		header.value = header.name;
		g_array_append_val(head->headers, header);
		parser->is_value = false;
	}
	g_string_append_len(head->text, part, (gssize)size);
	return 0;
}

static int handle_header_value(http_parser *http, const char *part, size_t size)
{
	struct hx_parser *parser = get_parser(http);
	struct hx_head *head = parser->head;
	struct hx_header *header;

	if (!parser->is_in_head)
		return 0;
	if (!parser->is_value) {
		g_string_append_c(head->text, '\0');
		header = &g_array_index(head->headers, struct hx_header,
					head->headers->len - 1);
		header->value = (uint32_t)head->text->len;
		parser->is_value = true;
	}
	g_string_append_len(head->text, part, (gssize)size);
	return 0;
}

static int handle_headers_complete(http_parser *http)
{
	struct hx_parser *parser = get_parser(http);
	struct hx_head *head = parser->head;
	const char *expect = hx_find_header(head, "Expect");

	head->method = http_method_str(http->method);
	head->is_http10 = http->http_major == 1 && http->http_minor == 0;
	head->is_keep_alive = http_should_keep_alive(http);
	head->has_body = (http->flags & F_CHUNKED) ||
			 (http->content_length > 0 &&
			  http->content_length != UINT64_MAX);
	head->expects_continue = !head->is_http10 && head->has_body && expect &&
				 strcasecmp(expect, "100-continue") == 0;
	/* A node never switches protocols: the request is served as it is. */
	http->upgrade = 0;
	parser->is_in_head = false;
	return report_event(parser, HX_EVENT_HEAD);
}

static int handle_body(http_parser *http, const char *part, size_t size)
{
	struct hx_parser *parser = get_parser(http);

	parser->event.body.bytes = part;
	parser->event.body.size = size;
	return report_event(parser, HX_EVENT_BODY);
}

static int handle_message_complete(http_parser *http)
{
	return report_event(get_parser(http), HX_EVENT_END);
}

static const http_parser_settings settings = {
	.on_message_begin = handle_message_begin,
	.on_url = handle_url,
	.on_header_field = handle_header_field,
	.on_header_value = handle_header_value,
	.on_headers_complete = handle_headers_complete,
	.on_body = handle_body,
	.on_message_complete = handle_message_complete,
};

void hx_open_parser(struct hx_parser *parser, uint32_t head_bytes_max)
{
	*parser = (struct hx_parser){ .head_bytes_max = head_bytes_max };
	http_parser_init(&parser->http, HTTP_REQUEST);
	parser->http.data = parser;
}

static struct hx_event make_error(uint32_t status, const char *reason)
{
	struct hx_event event = { .kind = HX_EVENT_ERROR };

	event.error.status = status;
	event.error.reason = reason;
	return event;
}

static bool has_bare_line_end(struct hx_parser *parser, const char *bytes,
			      size_t size)
{
	char before = parser->last_byte;

	if (size == 0)
		return false;
	parser->last_byte = bytes[size - 1];
	for (size_t i = 0; i < size; i++) {
		if (bytes[i] == '\n' && before != '\r')
			return true;
		before = bytes[i];
	}
	return false;
}

static bool has_blank_in_name(const struct hx_head *head)
{
	for (guint i = 0; i < head->headers->len; i++) {
		const struct hx_header *header =
			&g_array_index(head->headers, struct hx_header, i);
		const char *name = head->text->str + header->name;

		if (*name == '\0' || strpbrk(name, " \t"))
			return true;
	}
	return false;
}

static struct hx_event check_head(const struct hx_parser *parser)
{
	const struct hx_head *head = parser->head;

	if (has_blank_in_name(head))
		return make_error(HTTP_STATUS_BAD_REQUEST,
				  "malformed_header_name");
	if (head->text->str[0] != '/')
		return make_error(HTTP_STATUS_BAD_REQUEST, "malformed_target");
	if (!head->is_http10 && !hx_find_header(head, "Host"))
		return make_error(HTTP_STATUS_BAD_REQUEST, "missing_host");
	return parser->event;
}

struct hx_event hx_parse(struct hx_parser *parser, const char *bytes,
			 size_t size, size_t *taken)
{
	bool was_in_head = parser->is_in_head;
	bool is_head;

	parser->event = (struct hx_event){ .kind = HX_EVENT_NONE };
	*taken = http_parser_execute(&parser->http, &settings, bytes, size);
	if (parser->event.kind == HX_EVENT_NONE &&
	    HTTP_PARSER_ERRNO(&parser->http) != HPE_OK)
		return make_error(HTTP_STATUS_BAD_REQUEST, "malformed_request");
	http_parser_pause(&parser->http, 0);
	if (!was_in_head)
		return parser->event;
	/* The last line feed of a head is left to the next call. */
	is_head = parser->event.kind == HX_EVENT_HEAD;
	if (has_bare_line_end(parser, bytes, *taken + (is_head ? 1 : 0)))
		return make_error(HTTP_STATUS_BAD_REQUEST, "bare_line_end");
	parser->head_bytes += (uint32_t)*taken;
	if (parser->head_bytes > parser->head_bytes_max)
		return make_error(HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE,
				  "head_too_large");
	return is_head ? check_head(parser) : parser->event;
}
