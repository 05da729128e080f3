/*
 * Listener and event loop of the exchange server.
 *
 * All sockets are in one epoll set, the connections edge-triggered, so that
 * receiving and sending can stop and continue without a system call, and a
 * disconnect is reported while nothing is received. The set itself is one
 * descriptor of the tevent loop.
 */
#include "loom/exchange.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include "exchange_internal.h"
#include "loom/error.h"
#include "loom/http.h"

#define EVENTS_PER_WAIT_MAX 64
#define ACCEPTS_PER_EVENT_MAX 64

/* Connections that become dirty meanwhile are advanced by the next task. */
static void advance_dirty(struct hx_server *server)
{
	guint left = server->dirty.length;
	struct hx_connection *connection;

	server->is_advancing = true;
	while (left-- > 0 && (connection = g_queue_pop_head(&server->dirty))) {
		if (!hx_advance_connection(connection))
			hx_free_connection(connection);
	}
	hx_relieve_memory(server);
	server->is_advancing = false;
	if (server->dirty.length > 0)
		hx_schedule_advance(server);
}

static void handle_wake(void *data)
{
	advance_dirty(data);
}

void hx_schedule_advance(struct hx_server *server)
{
	if (!server->is_advancing)
		trn_schedule_task(server->wake);
}

static void set_listening(struct hx_server *server, bool is_listening)
{
	struct epoll_event event = { .events = EPOLLIN };

	if (server->is_listening == is_listening)
		return;
	server->is_listening = is_listening;
	epoll_ctl(server->epoll_fd,
		  is_listening ? EPOLL_CTL_ADD : EPOLL_CTL_DEL,
		  server->listener, &event);
}

static void open_connection(struct hx_server *server, int socket,
			    struct in_addr peer)
{
	struct epoll_event event = { .events = EPOLLIN | EPOLLOUT | EPOLLRDHUP |
					       EPOLLET };
	struct hx_connection *connection;
	int one = 1;

	if (server->connections.length >= server->options.connections_max &&
	    !hx_evict_connection(server)) {
		close(socket);
		return;
	}
	connection = hx_new_connection(server, socket);
	event.data.ptr = connection;
	connection->peer = peer;
	g_queue_push_tail_link(&server->connections, &connection->link);
	setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (epoll_ctl(server->epoll_fd, EPOLL_CTL_ADD, socket, &event) < 0)
		hx_close_connection(connection);
}

static void accept_connections(struct hx_server *server)
{
	for (int i = 0; i < ACCEPTS_PER_EVENT_MAX; i++) {
		struct sockaddr_in peer = { 0 };
		socklen_t peer_size = sizeof(peer);
		int socket = accept4(server->listener, (struct sockaddr *)&peer,
				     &peer_size, SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (socket >= 0) {
			open_connection(server, socket, peer.sin_addr);
			continue;
		}
		if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS ||
		    errno == ENOMEM) {
			/* The next sweep listens again. */
			hx_evict_connection(server);
			set_listening(server, false);
		}
		if (errno != ECONNABORTED && errno != EINTR)
			return;
	}
}

static void handle_ready(struct tevent_context *events, struct tevent_fd *fde,
			 uint16_t flags, void *data)
{
	struct hx_server *server = data;
	struct epoll_event ready[EVENTS_PER_WAIT_MAX];
	int count = epoll_wait(server->epoll_fd, ready, EVENTS_PER_WAIT_MAX, 0);

	for (int i = 0; i < count; i++) {
		struct hx_connection *connection = ready[i].data.ptr;

		if (!connection) {
			accept_connections(server);
			continue;
		}
		if (ready[i].events & EPOLLIN)
			connection->is_readable = true;
		if (ready[i].events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR))
			connection->is_hung_up = true;
		hx_mark_dirty(connection);
	}
	advance_dirty(server);
}

static bool open_listener(struct hx_server *server, GError **error)
{
	const struct hx_options *options = &server->options;
	struct sockaddr_in address;
	int one = 1;

	if (!hs_parse_address(options->address, options->port, &address, error))
		return false;
	server->listener =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (server->listener < 0)
		goto fail;
	setsockopt(server->listener, SOL_SOCKET, SO_REUSEADDR, &one,
		   sizeof(one));
	/* The listeners of all threads share the port. */
	setsockopt(server->listener, SOL_SOCKET, SO_REUSEPORT, &one,
		   sizeof(one));
	if (bind(server->listener, (struct sockaddr *)&address,
		 sizeof(address)) == 0 &&
	    listen(server->listener, SOMAXCONN) == 0)
		return true;
fail:
	err_set(error, ERR_UNAVAILABLE, "open listener", options->address,
		"cannot listen on port %u: %s", options->port,
		g_strerror(errno));
	return false;
}

static bool open_epoll(struct hx_server *server, GError **error)
{
	server->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (server->epoll_fd < 0) {
		err_set(error, ERR_INTERNAL, "open listener", NULL, "%s",
			g_strerror(errno));
		return false;
	}
	set_listening(server, true);
	server->fde = tevent_add_fd(server->events, server, server->epoll_fd,
				    TEVENT_FD_READ, handle_ready, server);
	return true;
}

static int destroy_server(struct hx_server *server)
{
	server->is_advancing = true;
	while (server->connections.head)
		hx_free_connection(server->connections.head->data);
	TALLOC_FREE(server->fde);
	if (server->listener >= 0)
		close(server->listener);
	if (server->epoll_fd >= 0)
		close(server->epoll_fd);
	return 0;
}

struct hx_server *hx_new_server(TALLOC_CTX *ctx, struct tevent_context *events,
				struct tmr_service *timers,
				const struct hx_options *options,
				GError **error)
{
	struct hx_server *server = talloc_zero(ctx, struct hx_server);

	server->events = events;
	server->timers = timers;
	server->options = *options;
	server->options.address = talloc_strdup(server, options->address);
	server->listener = -1;
	server->epoll_fd = -1;
	server->scratch = talloc_array(server, char, HX_SCRATCH_BYTES);
	server->wake = trn_new_task(server, events, handle_wake, server);
	g_queue_init(&server->connections);
	g_queue_init(&server->dirty);
	talloc_set_destructor(server, destroy_server);
	if (open_listener(server, error) && open_epoll(server, error))
		return server;
	talloc_free(server);
	return NULL;
}

void hx_sweep(struct hx_server *server, uint32_t idle_timeout_ms,
	      uint32_t head_timeout_ms)
{
	uint64_t now_ms = tmr_get_now_ms(server->timers);
	GList *link = server->connections.head;

	for (; link; link = link->next) {
		struct hx_connection *connection = link->data;

		if (connection->socket < 0 ||
		    !hx_is_overdue(connection, now_ms, idle_timeout_ms,
				   head_timeout_ms))
			continue;
		if (!connection->is_lingering && server->options.closed_early)
			cnt_add(server->options.closed_early, 1);
		hx_close_connection(connection);
	}
	hx_close_stalled(server);
	set_listening(server, true);
}

void hx_begin_drain(struct hx_server *server)
{
	server->is_draining = true;
}
