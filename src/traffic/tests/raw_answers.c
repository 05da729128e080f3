/*
 * Answers of the raw-socket target: the path of a request determines them.
 */
#include <stdlib.h>
#include <string.h>
#include "raw_target_internal.h"

#define FLOOD_BYTES 65536 /* kept ready to be written */
#define LONG_BYTES 61440  /* 0xf000; longer than a node buffers */

void raw_add_flood(struct raw_connection *connection)
{
	GString *output = connection->output;

	if (output->len >= FLOOD_BYTES)
		return;
	switch (connection->flood) {
	case FLOOD_NONE:
		return;
	case FLOOD_HEADERS:
		while (output->len < FLOOD_BYTES)
			g_string_append(output, "X-More: and more\r\n");
		return;
	case FLOOD_PART:
		while (output->len < FLOOD_BYTES)
			g_string_append(output, connection->target->flood_part);
		return;
	case FLOOD_LINE:
	case FLOOD_BODY:
	case FLOOD_CHUNK_SIZE:
	case FLOOD_GARBAGE:
		while (output->len < FLOOD_BYTES)
			g_string_append_c(output, '0');
		return;
	}
}

static void end_request(struct raw_connection *connection)
{
	if (connection->is_running)
		connection->target->running_count--;
	connection->is_running = false;
}

void raw_answer(struct raw_connection *connection, const char *status,
		const char *headers, const char *body, size_t size)
{
	end_request(connection);
	g_string_append_printf(connection->output,
			       "HTTP/1.1 %s\r\n%sContent-Length: %zu\r\n\r\n",
			       status, headers, size);
	g_string_append_len(connection->output, body, (gssize)size);
}

static void answer_bytes(struct raw_connection *connection, size_t size)
{
	char *body = g_strnfill(size, 'b');

	raw_answer(connection, "200 OK", "", body, size);
	g_free(body);
}

char *raw_get_header(const char *head, const char *name)
{
	char *key = g_strdup_printf("\r\n%s: ", name);
	const char *start = strstr(head, key);
	char *value = NULL;

	if (start) {
		start += strlen(key);
		value = g_strndup(start, strcspn(start, "\r"));
	}
	g_free(key);
	return value;
}

static void answer_ok(struct raw_connection *connection, const char *head,
		      const char *path, size_t body_size)
{
	char *depth = raw_get_header(head, "Loom-Depth");
	char *deadline = raw_get_header(head, "Loom-Deadline-Ms");
	char *hop_header = raw_get_header(head, "X-Hop");
	char *body = g_strdup_printf("%s body=%zu depth=%s deadline=%s%s", path,
				     body_size, depth ? depth : "-",
				     deadline ? "given" : "-",
				     hop_header ? " leaked" : "");

	raw_answer(connection, "200 OK", "X-Kept: yes\r\nKeep-Alive: no\r\n",
		   body, strlen(body));
	g_free(body);
	g_free(hop_header);
	g_free(deadline);
	g_free(depth);
}

static void answer_broken(struct raw_connection *connection, const char *text)
{
	end_request(connection);
	g_string_append(connection->output, text);
	connection->is_closing = true;
}

static void start_flood(struct raw_connection *connection, enum flood flood,
			const char *text)
{
	end_request(connection);
	g_string_append(connection->output, text);
	connection->flood = flood;
	raw_add_flood(connection);
}

/* Returns whether the path asks for bytes without end. */
static bool answer_flood(struct raw_connection *connection, const char *path)
{
	static const char ok[] = "HTTP/1.1 200 OK\r\n";

	if (g_str_has_prefix(path, "/flood/headers"))
		start_flood(connection, FLOOD_HEADERS, ok);
	else if (g_str_has_prefix(path, "/flood/line"))
		start_flood(connection, FLOOD_LINE,
			    "HTTP/1.1 200 OK\r\nX-Long: ");
	else if (g_str_has_prefix(path, "/flood/chunk"))
		start_flood(connection, FLOOD_CHUNK_SIZE,
			    "HTTP/1.1 200 OK\r\n"
			    "Transfer-Encoding: chunked\r\n\r\n");
	else if (g_str_has_prefix(path, "/flood/garbage"))
		start_flood(connection, FLOOD_GARBAGE, "");
	else if (g_str_has_prefix(path, "/endless"))
		start_flood(connection, FLOOD_PART,
			    connection->target->flood_start);
	else if (g_str_has_prefix(path, "/never/flood/body"))
		start_flood(connection, FLOOD_BODY, "HTTP/1.1 200 OK\r\n\r\n");
	else
		return false;
	return true;
}

/*
 * Answers with the request's id, and sends the answer once more: at once with
 * "/twice", by raw_answer_held_requests() with "/again".
 */
static bool answer_again(struct raw_connection *connection, const char *head,
			 const char *path)
{
	bool is_late = g_str_has_prefix(path, "/again");
	char *id = raw_get_header(head, "Loom-Request-Id");
	char *header;
	size_t start = connection->output->len;

	if (!is_late && !g_str_has_prefix(path, "/twice")) {
		g_free(id);
		return false;
	}
	header = g_strdup_printf("Loom-Request-Id: %s\r\n", id ? id : "");
	raw_answer(connection, "200 OK", id ? header : "", path, strlen(path));
	g_free(connection->again);
	connection->again = g_strdup(connection->output->str + start);
	if (!is_late)
		g_string_append(connection->output, connection->again);
	g_free(header);
	g_free(id);
	return true;
}

/* Replaces each occurrence of from in text (stolen); returns new text. */
static char *replace_all(char *text, const char *from, const char *to)
{
	char **parts = g_strsplit(text, from, -1);
	char *replaced = g_strjoinv(to, parts);

	g_strfreev(parts);
	g_free(text);
	return replaced;
}

bool raw_answer_reply(struct raw_connection *connection, const char *head,
		      const char *path)
{
	char *id;
	char *filler;
	char *bytes;

	if (!g_str_has_prefix(path, "/reply") &&
	    !g_str_has_prefix(path, "/early"))
		return false;
	id = raw_get_header(head, "Loom-Request-Id");
	filler = g_strnfill(LONG_BYTES, 'b');
	bytes = replace_all(g_strdup(connection->target->reply), "@",
			    id ? id : "");
	bytes = replace_all(bytes, "#", filler);
	end_request(connection);
	g_string_append(connection->output, bytes);
	connection->is_closing = connection->target->reply_end != RAW_END_KEEP;
	connection->is_resetting =
		connection->target->reply_end == RAW_END_RESET;
	g_free(bytes);
	g_free(filler);
	g_free(id);
	return true;
}

/* Returns whether the request gets no answer as raw_set_mute() says. */
static bool is_muted(struct raw_connection *connection, const char *path)
{
	struct raw_target *target = connection->target;

	if (strstr(path, "/mute") && target->mute_count > 0) {
		target->mute_count--;
		connection->is_mute = true;
	}
	return connection->is_mute;
}

void raw_answer_path(struct raw_connection *connection, const char *head,
		     const char *path, size_t body_size)
{
	if (is_muted(connection, path) || answer_flood(connection, path) ||
	    answer_again(connection, head, path) ||
	    raw_answer_reply(connection, head, path))
		return;
	if (g_str_has_prefix(path, "/close") &&
	    !g_str_has_prefix(path, "/closing"))
		answer_broken(connection, "");
	else if (g_str_has_prefix(path, "/cut"))
		answer_broken(connection,
			      "HTTP/1.1 200 OK\r\n"
			      "Content-Length: 100\r\n\r\n"
			      "0123456789");
	else if (g_str_has_prefix(path, "/longcut"))
		answer_broken(connection,
			      "HTTP/1.1 200 OK\r\n"
			      "Content-Length: 100000\r\n\r\n"
			      "0123456789");
	else if (g_str_has_prefix(path, "/chunkcut"))
		answer_broken(connection,
			      "HTTP/1.1 200 OK\r\n"
			      "Transfer-Encoding: chunked\r\n\r\n"
			      "5\r\n01234\r\n20\r\n0123");
	else if (g_str_has_prefix(path, "/never"))
		return;
	else if (g_str_has_prefix(path, "/held"))
		connection->is_held = true;
	else if (g_str_has_prefix(path, "/shed"))
		raw_answer(connection, "503 Busy", "Loom-Not-Run: true\r\n",
			   "shed", 4);
	else if (g_str_has_prefix(path, "/fail"))
		raw_answer(connection, "500 Broken", "", "fail", 4);
	else if (g_str_has_prefix(path, "/lie"))
		raw_answer(connection, "200 OK",
			   "Loom-Not-Run: true\r\nLoom-Limit: 99\r\n", "lie",
			   3);
	else if (g_str_has_prefix(path, "/bytes/"))
		answer_bytes(connection, strtoul(path + 7, NULL, 10));
	else
		answer_ok(connection, head, path, body_size);
	if (g_str_has_prefix(path, "/closing"))
		connection->is_closing = true;
}
