/*
 * faultproxy: TCP proxy on loopback that injects network faults.
 *
 *	faultproxy CONTROL_ADDRESS CONTROL_PORT LISTEN=TARGET...
 *
 * Each LISTEN=TARGET, such as 127.0.1.1:80=127.0.2.1:80, is one path. POST
 * /faults on the control port takes a JSON object; a fault that it does not
 * name is not changed:
 *	path		index of the path to change; all paths when absent
 *	delay_ms	data is forwarded after this delay
 *	cut		direction in which no data is forwarded: "there" (to the
 *			target), "back" (to the caller), "both" or "none"; data
 *			received during the cut is forwarded when it ends
 *	reset		true: open connections are reset
 *	silence		true: nothing more is forwarded on open connections,
 *			while new connections work
 *
 * Invariant: a chunk is in the queue of its direction until it is written;
 * chunks are written in order, none before its due time.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "loom/http.h"
#include "loom/timer.h"

#define CHUNK_BYTES 16384U
#define QUEUE_BYTES_MAX 65536U
#define FLUSH_PERIOD_MS 5U
#define CONTROL_BODY_BYTES_MAX 4096U
#define BACKLOG 128

enum direction {
	DIRECTION_TO_TARGET,
	DIRECTION_TO_CALLER,
	DIRECTION_COUNT,
};

struct path {
	struct proxy *proxy;
	struct sockaddr_in target;
	int listener;
	uint32_t delay_ms;
	bool is_cut[DIRECTION_COUNT];
	GQueue connections;
};

struct chunk {
	GBytes *bytes;
	uint64_t due_ms;
};

struct connection {
	struct path *path;
	GList link;
	int fds[DIRECTION_COUNT]; /* socket that the direction reads from */
	struct tevent_fd *events[DIRECTION_COUNT];
	GQueue queues[DIRECTION_COUNT];
	size_t queued[DIRECTION_COUNT];	 /* bytes queued */
	bool is_at_end[DIRECTION_COUNT]; /* end of file was read */
	bool is_silent;			 /* has stopped forwarding */
};

struct proxy {
	struct tevent_context *events;
	struct tmr_service *timers;
	struct path *paths;
	size_t path_count;
};

static bool parse_address(const char *text, struct sockaddr_in *address)
{
	const char *colon = strrchr(text, ':');
	char *host;
	bool is_valid;

	if (!colon)
		return false;
	host = g_strndup(text, (gsize)(colon - text));
	is_valid = hs_parse_address(host, (uint16_t)atoi(colon + 1), address,
				    NULL);
	g_free(host);
	return is_valid;
}

static void free_chunk(gpointer data)
{
	struct chunk *chunk = data;

	g_bytes_unref(chunk->bytes);
	g_free(chunk);
}

static int destroy_connection(struct connection *connection)
{
	g_queue_unlink(&connection->path->connections, &connection->link);
	for (int i = 0; i < DIRECTION_COUNT; i++) {
		TALLOC_FREE(connection->events[i]);
		g_queue_clear_full(&connection->queues[i], free_chunk);
		close(connection->fds[i]);
	}
	return 0;
}

static void reset_connection(struct connection *connection)
{
	static const struct linger reset = { .l_onoff = 1, .l_linger = 0 };

	for (int i = 0; i < DIRECTION_COUNT; i++)
		setsockopt(connection->fds[i], SOL_SOCKET, SO_LINGER, &reset,
			   sizeof(reset));
	talloc_free(connection);
}

/* Writes the chunks that are due; returns false on a socket error. */
static bool flush_direction(struct connection *connection, int direction,
			    uint64_t now_ms)
{
	GQueue *queue = &connection->queues[direction];
	int target = connection->fds[!direction];
	struct chunk *chunk;

	while ((chunk = g_queue_peek_head(queue))) {
		gsize size;
		const void *data = g_bytes_get_data(chunk->bytes, &size);
		ssize_t written;

		if (now_ms < chunk->due_ms)
			return true;
		written = send(target, data, size, MSG_NOSIGNAL | MSG_DONTWAIT);
		if (written < 0)
			return errno == EAGAIN;
		connection->queued[direction] -= (size_t)written;
		if ((gsize)written < size) {
			GBytes *rest = g_bytes_new_from_bytes(
				chunk->bytes, (gsize)written,
				size - (gsize)written);

			g_bytes_unref(chunk->bytes);
			chunk->bytes = rest;
			return true;
		}
		free_chunk(g_queue_pop_head(queue));
	}
	if (connection->is_at_end[direction])
		shutdown(target, SHUT_WR);
	return true;
}

static void flush_connection(struct connection *connection, uint64_t now_ms)
{
	bool is_finished = true;

	if (connection->is_silent)
		return;
	for (int i = 0; i < DIRECTION_COUNT; i++) {
		if (!connection->path->is_cut[i] &&
		    !flush_direction(connection, i, now_ms)) {
			reset_connection(connection);
			return;
		}
		is_finished &= connection->is_at_end[i] &&
			       g_queue_is_empty(&connection->queues[i]);
		if (!connection->is_at_end[i] &&
		    connection->queued[i] < QUEUE_BYTES_MAX)
			TEVENT_FD_READABLE(connection->events[i]);
	}
	if (is_finished)
		talloc_free(connection);
}

static void handle_flush(uint64_t due_ms, void *data)
{
	struct proxy *proxy = data;
	uint64_t now_ms = tmr_get_now_ms(proxy->timers);

	for (size_t i = 0; i < proxy->path_count; i++) {
		GList *link = proxy->paths[i].connections.head;

		while (link) {
			struct connection *connection = link->data;

			link = link->next;
			flush_connection(connection, now_ms);
		}
	}
}

static void queue_chunk(struct connection *connection, int direction,
			const void *data, size_t size)
{
	struct path *path = connection->path;
	struct chunk *chunk = g_new(struct chunk, 1);

	chunk->bytes = g_bytes_new(data, size);
	chunk->due_ms = tmr_get_now_ms(path->proxy->timers) + path->delay_ms;
	g_queue_push_tail(&connection->queues[direction], chunk);
	connection->queued[direction] += size;
	if (connection->queued[direction] >= QUEUE_BYTES_MAX)
		TEVENT_FD_NOT_READABLE(connection->events[direction]);
}

static void read_direction(struct connection *connection, int direction)
{
	char data[CHUNK_BYTES];
	ssize_t size = recv(connection->fds[direction], data, sizeof(data),
			    MSG_DONTWAIT);

	if (size < 0 && errno == EAGAIN)
		return;
	if (size < 0) {
		reset_connection(connection);
		return;
	}
	if (size == 0) {
		connection->is_at_end[direction] = true;
		TEVENT_FD_NOT_READABLE(connection->events[direction]);
	} else if (!connection->is_silent) {
		queue_chunk(connection, direction, data, (size_t)size);
	}
	flush_connection(connection,
			 tmr_get_now_ms(connection->path->proxy->timers));
}

static void handle_readable(struct tevent_context *events,
			    struct tevent_fd *fde, uint16_t flags, void *data)
{
	struct connection *connection = data;

	read_direction(connection,
		       fde == connection->events[DIRECTION_TO_TARGET]
			       ? DIRECTION_TO_TARGET
			       : DIRECTION_TO_CALLER);
}

static void add_connection(struct path *path, int caller, int target)
{
	struct connection *connection =
		talloc_zero(path->proxy, struct connection);

	connection->path = path;
	connection->fds[DIRECTION_TO_TARGET] = caller;
	connection->fds[DIRECTION_TO_CALLER] = target;
	connection->link.data = connection;
	g_queue_push_tail_link(&path->connections, &connection->link);
	talloc_set_destructor(connection, destroy_connection);
	for (int i = 0; i < DIRECTION_COUNT; i++) {
		g_queue_init(&connection->queues[i]);
		connection->events[i] = tevent_add_fd(
			path->proxy->events, connection, connection->fds[i],
			TEVENT_FD_READ, handle_readable, connection);
	}
}

static void handle_caller(struct tevent_context *events, struct tevent_fd *fde,
			  uint16_t flags, void *data)
{
	struct path *path = data;
	int caller = accept4(path->listener, NULL, NULL,
			     SOCK_CLOEXEC | SOCK_NONBLOCK);
	int target;

	if (caller < 0)
		return;
	/* On loopback a blocking connect() succeeds or fails at once. */
	target = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (target < 0 || connect(target, (struct sockaddr *)&path->target,
				  sizeof(path->target)) != 0) {
		close(caller);
		if (target >= 0)
			close(target);
		return;
	}
	fcntl(target, F_SETFL, O_NONBLOCK);
	add_connection(path, caller, target);
}

static bool open_path(struct path *path, const char *text)
{
	static const int on = 1;
	char **parts = g_strsplit(text, "=", 2);
	struct sockaddr_in address;
	bool is_open = false;

	if (!parts[0] || !parts[1] || !parse_address(parts[0], &address) ||
	    !parse_address(parts[1], &path->target))
		goto out;
	path->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(path->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	is_open = bind(path->listener, (struct sockaddr *)&address,
		       sizeof(address)) == 0 &&
		  listen(path->listener, BACKLOG) == 0;
	if (is_open)
		tevent_add_fd(path->proxy->events, path->proxy, path->listener,
			      TEVENT_FD_READ, handle_caller, path);
out:
	g_strfreev(parts);
	return is_open;
}

/* Silences the open connections, and resets them when is_reset is set. */
static void disrupt_connections(struct path *path, bool is_reset)
{
	GList *link = path->connections.head;

	while (link) {
		struct connection *connection = link->data;

		link = link->next;
		connection->is_silent = true;
		if (is_reset)
			reset_connection(connection);
	}
}

static void set_faults(struct path *path, const json_t *faults)
{
	const char *cut = json_string_value(json_object_get(faults, "cut"));
	const json_t *delay = json_object_get(faults, "delay_ms");

	if (json_is_integer(delay))
		path->delay_ms = (uint32_t)json_integer_value(delay);
	if (cut) {
		bool is_both = strcmp(cut, "both") == 0;

		path->is_cut[DIRECTION_TO_TARGET] =
			is_both || strcmp(cut, "there") == 0;
		path->is_cut[DIRECTION_TO_CALLER] =
			is_both || strcmp(cut, "back") == 0;
	}
	if (json_is_true(json_object_get(faults, "silence")))
		disrupt_connections(path, false);
	if (json_is_true(json_object_get(faults, "reset")))
		disrupt_connections(path, true);
}

static void handle_control(struct web_request *request, void *data)
{
	struct proxy *proxy = data;
	size_t size;
	const char *body = web_get_body(request, &size);
	json_t *faults = json_loadb(body, size, 0, NULL);
	const json_t *index = json_object_get(faults, "path");

	for (size_t i = 0; i < proxy->path_count; i++) {
		if (!index || (size_t)json_integer_value(index) == i)
			set_faults(&proxy->paths[i], faults);
	}
	json_decref(faults);
	web_reply_json(request, MHD_HTTP_OK, json_object());
}

static bool open_proxy(struct proxy *proxy, int argc, char **argv)
{
	struct web_options options = {
		.address = argv[1],
		.port = (uint16_t)atoi(argv[2]),
		.body_bytes_max = CONTROL_BODY_BYTES_MAX,
		.fn = handle_control,
		.data = proxy,
	};

	proxy->timers = tmr_new(proxy, proxy->events);
	proxy->path_count = (size_t)argc - 3;
	proxy->paths = talloc_zero_array(proxy, struct path, proxy->path_count);
	for (size_t i = 0; i < proxy->path_count; i++) {
		proxy->paths[i].proxy = proxy;
		g_queue_init(&proxy->paths[i].connections);
		if (!open_path(&proxy->paths[i], argv[i + 3]))
			return false;
	}
	tmr_subscribe_every(proxy, proxy->timers, FLUSH_PERIOD_MS, handle_flush,
			    proxy);
	return web_new_server(proxy, proxy->events, &options, NULL) != NULL;
}

int main(int argc, char **argv)
{
	struct tevent_context *events = tevent_context_init(NULL);
	struct proxy *proxy = talloc_zero(events, struct proxy);

	if (argc < 4) {
		fputs("usage: faultproxy CONTROL_ADDRESS CONTROL_PORT "
		      "LISTEN=TARGET...\n",
		      stderr);
		return EXIT_FAILURE;
	}
	signal(SIGPIPE, SIG_IGN);
	proxy->events = events;
	if (!open_proxy(proxy, argc, argv)) {
		fputs("faultproxy: an address is invalid or cannot be listened "
		      "on\n",
		      stderr);
		return EXIT_FAILURE;
	}
	for (;;)
		tevent_loop_once(events);
}
