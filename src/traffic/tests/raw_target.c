/*
 * Target on a plain socket: reads complete requests, writes fixed answers.
 */
#include "raw_target.h"

#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <glib.h>

#define READ_BYTES 65536
#define FLOOD_BYTES 65536 /* kept ready to be written */
#define RESET_WAIT_MS 1000
#define LONG_BYTES 61440 /* 0xf000; longer than a node buffers */

struct raw_target {
	struct tevent_context *events;
	int socket;
	GQueue connections;
	uint32_t request_count;
	uint32_t running_count;
	uint32_t peak_count;
	uint32_t disconnect_count;
	uint32_t reset_count;
	uint32_t mute_count; /* requests to "/mute" that get no answer */
	char *reply;	     /* bytes of the answer to "/reply"; NULL: none */
	enum raw_end reply_end;
	char *flood_start; /* of the answer to "/endless"; NULL: none */
	char *flood_part;  /* is sent again and again after that */
};

/* What a connection sends without end, until it is closed. */
enum flood {
	FLOOD_NONE,
	FLOOD_HEADERS,
	FLOOD_LINE,
	FLOOD_BODY,
	FLOOD_CHUNK_SIZE,
	FLOOD_GARBAGE,
	FLOOD_PART,
};

struct raw_connection {
	struct raw_target *target;
	int socket;
	struct tevent_fd *fde;
	GString *input;
	GString *output;
	bool is_closing;   /* when the output has been written */
	bool is_resetting; /* the same, with a TCP reset */
	bool is_early;	   /* answered; the rest of the request is not read */
	bool is_running;   /* a request was not answered yet */
	bool is_held;
	bool is_mute; /* nothing is answered any more */
	char *again;  /* answer to send once more; NULL: none */
	enum flood flood;
};

static int destroy_connection(struct raw_connection *connection)
{
	struct raw_target *target = connection->target;

	if (connection->is_running)
		target->running_count--;
	g_queue_remove(&target->connections, connection);
	TALLOC_FREE(connection->fde);
	close(connection->socket);
	g_string_free(connection->input, TRUE);
	g_string_free(connection->output, TRUE);
	g_free(connection->again);
	return 0;
}

static int destroy_target(struct raw_target *target)
{
	while (target->connections.head)
		talloc_free(target->connections.head->data);
	g_free(target->reply);
	g_free(target->flood_start);
	g_free(target->flood_part);
	return 0;
}

static void add_flood(struct raw_connection *connection)
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

/* Waits until the peer's kernel has what was sent, then resets on close. */
static void prepare_reset(const struct raw_connection *connection)
{
	static const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
	int unsent = 1;

	for (int i = 0; i < RESET_WAIT_MS && unsent > 0; i++) {
		if (ioctl(connection->socket, SIOCOUTQ, &unsent) != 0)
			break;
		g_usleep(1000);
	}
	setsockopt(connection->socket, SOL_SOCKET, SO_LINGER, &reset,
		   sizeof(reset));
}

static void write_output(struct raw_connection *connection)
{
	GString *output = connection->output;
	ssize_t count = send(connection->socket, output->str, output->len,
			     MSG_NOSIGNAL | MSG_DONTWAIT);

	if (count > 0)
		g_string_erase(output, 0, count);
	add_flood(connection);
	if (output->len > 0) {
		TEVENT_FD_WRITEABLE(connection->fde);
		return;
	}
	TEVENT_FD_NOT_WRITEABLE(connection->fde);
	if (connection->is_resetting)
		prepare_reset(connection);
	if (connection->is_closing)
		talloc_free(connection);
}

static void end_request(struct raw_connection *connection)
{
	if (connection->is_running)
		connection->target->running_count--;
	connection->is_running = false;
}

static void answer(struct raw_connection *connection, const char *status,
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

	answer(connection, "200 OK", "", body, size);
	g_free(body);
}

static char *get_header(const char *head, const char *name)
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
	char *depth = get_header(head, "Loom-Depth");
	char *deadline = get_header(head, "Loom-Deadline-Ms");
	char *hop_header = get_header(head, "X-Hop");
	char *body = g_strdup_printf("%s body=%zu depth=%s deadline=%s%s", path,
				     body_size, depth ? depth : "-",
				     deadline ? "given" : "-",
				     hop_header ? " leaked" : "");

	answer(connection, "200 OK", "X-Kept: yes\r\nKeep-Alive: no\r\n", body,
	       strlen(body));
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
	add_flood(connection);
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
	char *id = get_header(head, "Loom-Request-Id");
	char *header;
	size_t start = connection->output->len;

	if (!is_late && !g_str_has_prefix(path, "/twice")) {
		g_free(id);
		return false;
	}
	header = g_strdup_printf("Loom-Request-Id: %s\r\n", id ? id : "");
	answer(connection, "200 OK", id ? header : "", path, strlen(path));
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

static bool answer_reply(struct raw_connection *connection, const char *head,
			 const char *path)
{
	char *id;
	char *filler;
	char *bytes;

	if (!g_str_has_prefix(path, "/reply") &&
	    !g_str_has_prefix(path, "/early"))
		return false;
	id = get_header(head, "Loom-Request-Id");
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

static void answer_path(struct raw_connection *connection, const char *head,
			const char *path, size_t body_size)
{
	if (is_muted(connection, path) || answer_flood(connection, path) ||
	    answer_again(connection, head, path) ||
	    answer_reply(connection, head, path))
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
		answer(connection, "503 Busy", "Loom-Not-Run: true\r\n", "shed",
		       4);
	else if (g_str_has_prefix(path, "/fail"))
		answer(connection, "500 Broken", "", "fail", 4);
	else if (g_str_has_prefix(path, "/lie"))
		answer(connection, "200 OK",
		       "Loom-Not-Run: true\r\nLoom-Limit: 99\r\n", "lie", 3);
	else if (g_str_has_prefix(path, "/bytes/"))
		answer_bytes(connection, strtoul(path + 7, NULL, 10));
	else
		answer_ok(connection, head, path, body_size);
	if (g_str_has_prefix(path, "/closing"))
		connection->is_closing = true;
}

/* Returns the size of the complete request at the start of input, or 0. */
static size_t get_request_size(const GString *input, size_t *head_size,
			       size_t *body_size)
{
	const char *end = strstr(input->str, "\r\n\r\n");
	char *length;

	if (!end)
		return 0;
	*head_size = (size_t)(end - input->str) + 4;
	if (strstr(input->str, "Transfer-Encoding: chunked")) {
		end = strstr(input->str + *head_size, "0\r\n\r\n");
		if (!end)
			return 0;
		*body_size = (size_t)(end - input->str) - *head_size;
		return *head_size + *body_size + 5;
	}
	length = get_header(input->str, "Content-Length");
	*body_size = length ? strtoul(length, NULL, 10) : 0;
	g_free(length);
	if (input->len < *head_size + *body_size)
		return 0;
	return *head_size + *body_size;
}

static void begin_request(struct raw_connection *connection)
{
	struct raw_target *target = connection->target;

	connection->is_running = true;
	target->request_count++;
	target->running_count++;
	target->peak_count = MAX(target->peak_count, target->running_count);
}

/* Returns whether the request is answered before it is complete. */
static bool answer_early(struct raw_connection *connection)
{
	const char *input = connection->input->str;
	const char *path = strchr(input, ' ');
	const char *end = strstr(input, "\r\n\r\n");

	if (connection->is_early)
		return true;
	if (!end || !path || !g_str_has_prefix(path + 1, "/early"))
		return false;
	connection->is_early = true;
	begin_request(connection);
	answer_reply(connection, input, path + 1);
	tevent_fd_set_flags(connection->fde, 0);
	write_output(connection);
	return true;
}

static void handle_requests(struct raw_connection *connection)
{
	size_t head_size;
	size_t body_size;
	size_t size;

	if (answer_early(connection))
		return;
	while ((size = get_request_size(connection->input, &head_size,
					&body_size)) > 0) {
		char *head = g_strndup(connection->input->str, head_size);
		char **words = g_strsplit(head, " ", 3);

		begin_request(connection);
		g_string_erase(connection->input, 0, (gssize)size);
		answer_path(connection, head, words[1], body_size);
		g_strfreev(words);
		g_free(head);
	}
	if (connection->output->len > 0 || connection->is_closing)
		write_output(connection);
}

static void handle_connection(struct tevent_context *events,
			      struct tevent_fd *fde, uint16_t flags, void *data)
{
	struct raw_connection *connection = data;
	char *part;
	ssize_t count;

	if (flags & TEVENT_FD_WRITE) {
		write_output(connection);
		return;
	}
	part = g_malloc(READ_BYTES);
	count = read(connection->socket, part, READ_BYTES);
	if (count > 0) {
		g_string_append_len(connection->input, part, count);
		handle_requests(connection);
	} else if (count == 0 || errno != EAGAIN) {
		if (count < 0 && errno == ECONNRESET)
			connection->target->reset_count++;
		if (connection->is_running)
			connection->target->disconnect_count++;
		talloc_free(connection);
	}
	g_free(part);
}

static void accept_connection(struct tevent_context *events,
			      struct tevent_fd *fde, uint16_t flags, void *data)
{
	struct raw_target *target = data;
	struct raw_connection *connection;
	int socket = accept4(target->socket, NULL, NULL, SOCK_NONBLOCK);

	if (socket < 0)
		return;
	connection = talloc_zero(target, struct raw_connection);
	connection->target = target;
	connection->socket = socket;
	connection->input = g_string_new(NULL);
	connection->output = g_string_new(NULL);
	connection->fde =
		tevent_add_fd(target->events, connection, socket,
			      TEVENT_FD_READ, handle_connection, connection);
	g_queue_push_tail(&target->connections, connection);
	talloc_set_destructor(connection, destroy_connection);
}

struct raw_target *raw_new_target(TALLOC_CTX *ctx,
				  struct tevent_context *events,
				  const char *address, uint16_t port)
{
	struct raw_target *target = talloc_zero(ctx, struct raw_target);
	struct sockaddr_in bound = { .sin_family = AF_INET,
				     .sin_port = htons(port) };
	struct tevent_fd *fde;
	int on = 1;

	target->events = events;
	g_queue_init(&target->connections);
	inet_pton(AF_INET, address, &bound.sin_addr);
	target->socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	setsockopt(target->socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(target->socket, (struct sockaddr *)&bound, sizeof(bound)) ||
	    listen(target->socket, 128)) {
		perror("raw target");
		abort();
	}
	fde = tevent_add_fd(events, target, target->socket, TEVENT_FD_READ,
			    accept_connection, target);
	tevent_fd_set_auto_close(fde);
	talloc_set_destructor(target, destroy_target);
	return target;
}

void raw_answer_held_requests(struct raw_target *target)
{
	GList *link = target->connections.head;

	while (link) {
		struct raw_connection *connection = link->data;

		link = link->next;
		if (connection->again) {
			g_string_append(connection->output, connection->again);
			g_free(connection->again);
			connection->again = NULL;
			write_output(connection);
			continue;
		}
		if (!connection->is_held)
			continue;
		connection->is_held = false;
		answer(connection, "200 OK", "", "held", 4);
		write_output(connection);
	}
}

void raw_set_reply(struct raw_target *target, const char *bytes,
		   enum raw_end end)
{
	g_free(target->reply);
	target->reply = g_strdup(bytes);
	target->reply_end = end;
}

void raw_set_mute(struct raw_target *target, uint32_t count)
{
	target->mute_count = count;
}

void raw_set_flood(struct raw_target *target, const char *start,
		   const char *part)
{
	g_free(target->flood_start);
	g_free(target->flood_part);
	target->flood_start = g_strdup(start);
	target->flood_part = g_strdup(part);
}

uint32_t raw_get_reset_count(const struct raw_target *target)
{
	return target->reset_count;
}

uint32_t raw_get_request_count(const struct raw_target *target)
{
	return target->request_count;
}

uint32_t raw_get_running_count(const struct raw_target *target)
{
	return target->running_count;
}

uint32_t raw_get_peak_count(const struct raw_target *target)
{
	return target->peak_count;
}

uint32_t raw_get_disconnect_count(const struct raw_target *target)
{
	return target->disconnect_count;
}

uint32_t raw_get_partial_count(const struct raw_target *target)
{
	uint32_t count = 0;

	for (const GList *link = target->connections.head; link;
	     link = link->next) {
		const struct raw_connection *connection = link->data;

		count += connection->input->len > 0;
	}
	return count;
}
