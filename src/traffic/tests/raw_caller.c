/*
 * Caller on a plain socket, which can send malformed and partial requests.
 */
#include "raw_caller.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES 65536
#define BODY_LISTED_MAX 80

static int destroy_caller(struct raw_caller *caller)
{
	TALLOC_FREE(caller->fde);
	close(caller->socket);
	g_string_free(caller->input, TRUE);
	g_string_free(caller->unsent, TRUE);
	if (caller->flood)
		g_string_free(caller->flood, TRUE);
	return 0;
}

static void send_flood(struct raw_caller *caller)
{
	GString *flood = caller->flood;
	ssize_t count = send(caller->socket, flood->str + caller->flood_sent,
			     flood->len - caller->flood_sent,
			     MSG_NOSIGNAL | MSG_DONTWAIT);

	if (count > 0)
		caller->flood_sent =
			(caller->flood_sent + (size_t)count) % flood->len;
}

static void update_flags(struct raw_caller *caller)
{
	uint16_t flags = caller->is_reading ? TEVENT_FD_READ : 0;

	if (caller->flood || caller->unsent->len > 0)
		flags |= TEVENT_FD_WRITE;
	if (caller->fde)
		tevent_fd_set_flags(caller->fde, flags);
}

static void send_unsent(struct raw_caller *caller)
{
	GString *unsent = caller->unsent;
	ssize_t count = send(caller->socket, unsent->str, unsent->len,
			     MSG_NOSIGNAL | MSG_DONTWAIT);

	/* The error is reported once, and not by a later read. */
	if (count < 0 && errno == ECONNRESET)
		caller->is_reset = true;
	if (count < 0 && errno != EAGAIN) {
		caller->has_send_error = true;
		count = (ssize_t)unsent->len;
	}
	if (count > 0)
		g_string_erase(unsent, 0, count);
	update_flags(caller);
}

static void read_input(struct raw_caller *caller)
{
	char part[READ_BYTES];
	ssize_t count;

	count = read(caller->socket, part, sizeof(part));
	if (count > 0 && caller->flood)
		return;
	if (count > 0) {
		g_string_append_len(caller->input, part, count);
		return;
	}
	if (count < 0 && errno == EAGAIN)
		return;
	caller->is_closed = true;
	caller->is_reset |= count < 0;
	TALLOC_FREE(caller->fde);
}

static void handle_socket(struct tevent_context *events, struct tevent_fd *fde,
			  uint16_t flags, void *data)
{
	struct raw_caller *caller = data;

	if (caller->flood && (flags & TEVENT_FD_WRITE))
		send_flood(caller);
	if (flags & TEVENT_FD_READ)
		read_input(caller);
	if (caller->fde && caller->unsent->len > 0)
		send_unsent(caller);
}

struct raw_caller *raw_new_caller(TALLOC_CTX *ctx,
				  struct tevent_context *events,
				  const char *address, uint16_t port,
				  int receive_bytes)
{
	struct raw_caller *caller = talloc_zero(ctx, struct raw_caller);
	struct sockaddr_in other = { .sin_family = AF_INET,
				     .sin_port = htons(port) };

	inet_pton(AF_INET, address, &other.sin_addr);
	caller->input = g_string_new(NULL);
	caller->unsent = g_string_new(NULL);
	caller->is_reading = true;
	caller->socket = socket(AF_INET, SOCK_STREAM, 0);
	if (receive_bytes > 0)
		setsockopt(caller->socket, SOL_SOCKET, SO_RCVBUF,
			   &receive_bytes, sizeof(receive_bytes));
	if (connect(caller->socket, (struct sockaddr *)&other, sizeof(other))) {
		perror("raw caller");
		abort();
	}
	fcntl(caller->socket, F_SETFL, O_NONBLOCK);
	caller->fde = tevent_add_fd(events, caller, caller->socket,
				    TEVENT_FD_READ, handle_socket, caller);
	talloc_set_destructor(caller, destroy_caller);
	return caller;
}

void raw_send(struct raw_caller *caller, const char *bytes, size_t size)
{
	if (caller->is_closed)
		return;
	g_string_append_len(caller->unsent, bytes, (gssize)size);
	send_unsent(caller);
}

uint32_t raw_send_rest(struct raw_caller *caller)
{
	if (caller->unsent->len > 0)
		send_unsent(caller);
	return (uint32_t)caller->unsent->len;
}

void raw_flood(struct raw_caller *caller, const char *part)
{
	caller->flood = g_string_new(NULL);
	while (caller->flood->len < READ_BYTES)
		g_string_append(caller->flood, part);
	update_flags(caller);
}

void raw_set_reading(struct raw_caller *caller, bool is_reading)
{
	caller->is_reading = is_reading;
	update_flags(caller);
}

/*
 * Returns the end of the answer that begins at *at and sets *body and its size,
 * or NULL when it is not complete.
 */
static const char *find_answer_end(const struct raw_caller *caller,
				   const char *at, const char **body,
				   size_t *size)
{
	const char *end = caller->input->str + caller->input->len;
	const char *length = strcasestr(at, "\r\nContent-Length: ");

	*body = strstr(at, "\r\n\r\n");
	if (!*body || !length || length > *body)
		return NULL;
	*body += 4;
	*size = strtoul(length + 18, NULL, 10);
	return *size <= (size_t)(end - *body) ? *body + *size : NULL;
}

uint32_t raw_count_answers(const struct raw_caller *caller)
{
	const char *at = caller->input->str;
	const char *body;
	size_t size;
	uint32_t count = 0;

	while ((at = find_answer_end(caller, at, &body, &size)))
		count++;
	return count;
}

uint32_t raw_count_body_bytes(const struct raw_caller *caller)
{
	const char *body = strstr(caller->input->str, "\r\n\r\n");
	const char *end = caller->input->str + caller->input->len;

	return body ? (uint32_t)(end - body - 4) : 0;
}

void raw_list_answers(const struct raw_caller *caller, GString *output)
{
	const char *at = caller->input->str;
	const char *body;
	const char *next;
	size_t size;

	for (; (next = find_answer_end(caller, at, &body, &size)); at = next) {
		const char *close = strstr(at, "\r\nConnection: close");

		g_string_append_len(output, at + 9, 3);
		if (size > BODY_LISTED_MAX)
			g_string_append_printf(output, " %zu bytes", size);
		else
			g_string_append_printf(output, " %.*s", (int)size,
					       body);
		g_string_append(output,
				close && close < body ? " (close)\n" : "\n");
	}
}

bool raw_run_step(struct raw_caller *caller, char **words, GString *output)
{
	char *text;

	if (strcmp(words[0], "send") == 0) {
		text = g_strcompress(words[2]);
		raw_send(caller, text, strlen(text));
		g_free(text);
	} else if (strcmp(words[0], "flood") == 0) {
		text = g_strcompress(words[2]);
		raw_flood(caller, text);
		g_free(text);
	} else if (strcmp(words[0], "send-bytes") == 0) {
		text = g_strnfill((gsize)atoi(words[2]), 'h');
		raw_send(caller, text, strlen(text));
		g_free(text);
	} else if (strcmp(words[0], "shut") == 0) {
		shutdown(caller->socket, SHUT_WR);
	} else if (strcmp(words[0], "received") == 0) {
		text = g_strescape(caller->input->str, NULL);
		g_string_append_printf(output, "%s\n", text);
		g_free(text);
	} else if (strcmp(words[0], "read") == 0) {
		raw_set_reading(caller, strcmp(words[2], "on") == 0);
	} else if (strcmp(words[0], "answers") == 0) {
		raw_list_answers(caller, output);
	} else if (strcmp(words[0], "has") == 0) {
		g_string_append(output, strstr(caller->input->str, words[2])
						? "yes\n"
						: "no\n");
	} else {
		return false;
	}
	return true;
}

void raw_open_crowd(TALLOC_CTX *ctx, struct tevent_context *events,
		    const char *address, uint16_t port, char **words,
		    GHashTable *callers)
{
	char *text = g_strcompress(words[4]);
	char *body = g_strnfill((gsize)atoi(words[5]), 'h');

	for (int i = 0; i < atoi(words[3]); i++) {
		struct raw_caller *caller =
			raw_new_caller(ctx, events, address, port, 0);

		raw_send(caller, text, strlen(text));
		raw_send(caller, body, strlen(body));
		g_hash_table_replace(
			callers, g_strdup_printf("%s%d", words[1], i), caller);
	}
	g_free(body);
	g_free(text);
}
