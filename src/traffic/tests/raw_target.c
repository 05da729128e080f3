/*
 * Target on a plain socket: reads complete requests, writes fixed answers.
 */
#include "raw_target_internal.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <netinet/tcp.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES 65536
#define PEER_WAIT_MS 1000

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

/* What is unsent when a peer resets a connection stays so. */
static bool is_closed(int socket)
{
	struct tcp_info info = { 0 };
	socklen_t size = sizeof(info);

	return getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
	       info.tcpi_state == TCP_CLOSE;
}

/* Waits until the peer's kernel has all that was sent. */
static void wait_for_peer(const struct raw_connection *connection)
{
	int unsent = 1;

	for (int i = 0; i < PEER_WAIT_MS; i++) {
		if (ioctl(connection->socket, SIOCOUTQ, &unsent) != 0 ||
		    unsent == 0 || is_closed(connection->socket))
			return;
		g_usleep(1000);
	}
}

/*
 * Closes the connections that are idle or those that are not. A peer that has
 * received the end of an idle connection does not use it again.
 */
static void close_connections(struct raw_target *target, bool is_running)
{
	GList *link = target->connections.head;

	while (link) {
		struct raw_connection *connection = link->data;

		link = link->next;
		if (connection->is_running != is_running)
			continue;
		shutdown(connection->socket, SHUT_WR);
		wait_for_peer(connection);
		talloc_free(connection);
	}
}

/*
 * As when the process of a target ends: a node that notices the end of a
 * request must find neither the listener nor an idle connection open.
 */
static int destroy_target(struct raw_target *target)
{
	TALLOC_FREE(target->fde);
	close_connections(target, false);
	close_connections(target, true);
	g_free(target->reply);
	g_free(target->flood_start);
	g_free(target->flood_part);
	return 0;
}

/* Waits until the peer's kernel has what was sent, then resets on close. */
static void prepare_reset(const struct raw_connection *connection)
{
	static const struct linger reset = { .l_onoff = 1, .l_linger = 0 };

	wait_for_peer(connection);
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
	raw_add_flood(connection);
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
	length = raw_get_header(input->str, "Content-Length");
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
	raw_answer_reply(connection, input, path + 1);
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
		raw_answer_path(connection, head, words[1], body_size);
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
	target->fde = tevent_add_fd(events, target, target->socket,
				    TEVENT_FD_READ, accept_connection, target);
	tevent_fd_set_auto_close(target->fde);
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
		raw_answer(connection, "200 OK", "", "held", 4);
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
