/*
 * List of open connections, in the order in which their last calls ended.
 *
 * libmicrohttpd (MHD) does not read from a suspended connection and so does not
 * notice that the caller disconnects. Each socket is therefore also in an
 * edge-triggered epoll set that reports only disconnects. MHD also misses a
 * disconnect that arrives together with the last bytes of a request; the socket
 * is then shut down, which MHD always notices. A periodic sweep closes
 * connections whose headers arrive too slowly and connections that are idle too
 * long.
 */
#include "connection.h"

#include <assert.h>
#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include "call.h"
#include "loom/error.h"

#define SWEEP_PERIOD_MS 1000U
#define EVENTS_PER_WAIT_MAX 64

void tr_shut_down_connection(struct tr_connection *connection)
{
	connection->is_closing = true;
	cnt_add(connection->thread->service->counters.connections_closed, 1);
	shutdown(connection->socket, SHUT_RDWR);
}

static void handle_disconnects(struct tevent_context *events,
			       struct tevent_fd *fde, uint16_t flags,
			       void *data)
{
	struct tr_thread *thread = data;
	struct epoll_event ready[EVENTS_PER_WAIT_MAX];
	int count = epoll_wait(thread->disconnect_epoll_fd, ready,
			       EVENTS_PER_WAIT_MAX, 0);

	for (int i = 0; i < count; i++) {
		struct tr_connection *connection = ready[i].data.ptr;

		connection->is_disconnected = true;
		if (connection->call)
			tr_handle_disconnect(connection->call);
	}
}

void tr_check_disconnect(struct tr_connection *connection)
{
	struct pollfd look = { .fd = connection->socket, .events = POLLRDHUP };

	if (poll(&look, 1, 0) > 0)
		connection->is_disconnected = true;
}

static bool is_overdue(const struct tr_connection *connection, uint64_t now_ms)
{
	const struct tr_service *service = connection->thread->service;

	if (connection->call || connection->is_closing)
		return false;
	if (connection->request_ms)
		return now_ms >=
		       connection->request_ms + service->header_timeout_ms;
	return now_ms >= connection->active_ms + service->idle_timeout_ms;
}

static void sweep_connections(uint64_t now_ms, void *data)
{
	struct tr_thread *thread = data;
	GList *link = thread->connections.head;

	while (link) {
		struct tr_connection *connection = link->data;

		link = link->next;
		if (is_overdue(connection, now_ms))
			tr_shut_down_connection(connection);
	}
}

static void close_longest_idle(struct tr_thread *thread)
{
	GList *link = thread->connections.head;

	for (; link; link = link->next) {
		struct tr_connection *connection = link->data;

		if (!connection->call && !connection->is_closing) {
			tr_shut_down_connection(connection);
			return;
		}
	}
}

bool tr_open_connections(struct tr_thread *thread, GError **error)
{
	g_queue_init(&thread->connections);
	thread->disconnect_epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (thread->disconnect_epoll_fd < 0) {
		err_set(error, ERR_INTERNAL, "open connections", NULL, "%s",
			g_strerror(errno));
		return false;
	}
	tevent_add_fd(thread->events, thread->events,
		      thread->disconnect_epoll_fd, TEVENT_FD_READ,
		      handle_disconnects, thread);
	tmr_subscribe_every(thread->timers, thread->timers, SWEEP_PERIOD_MS,
			    sweep_connections, thread);
	return true;
}

void tr_close_connections(struct tr_thread *thread)
{
	assert(g_queue_is_empty(&thread->connections));
	if (thread->disconnect_epoll_fd >= 0)
		close(thread->disconnect_epoll_fd);
	thread->disconnect_epoll_fd = -1;
}

static void open_connection(struct tr_thread *thread,
			    struct MHD_Connection *mhd, void **socket_state)
{
	struct tr_connection *connection = g_new0(struct tr_connection, 1);
	struct epoll_event event = { .events = EPOLLRDHUP | EPOLLET,
				     .data.ptr = connection };

	connection->thread = thread;
	connection->socket =
		MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CONNECTION_FD)
			->connect_fd;
	connection->active_ms = tmr_get_now_ms(thread->timers);
	if (thread->connections.length >=
	    thread->service->options.connections_max)
		close_longest_idle(thread);
	g_queue_push_tail(&thread->connections, connection);
	connection->link = thread->connections.tail;
	epoll_ctl(thread->disconnect_epoll_fd, EPOLL_CTL_ADD,
		  connection->socket, &event);
	*socket_state = connection;
}

static void close_connection(struct tr_connection *connection)
{
	struct tr_thread *thread = connection->thread;

	assert(!connection->call);
	epoll_ctl(thread->disconnect_epoll_fd, EPOLL_CTL_DEL,
		  connection->socket, NULL);
	g_queue_delete_link(&thread->connections, connection->link);
	g_free(connection);
}

void tr_note_connection(void *data, struct MHD_Connection *connection,
			void **socket_state,
			enum MHD_ConnectionNotificationCode code)
{
	struct tr_listener *listener = data;

	switch (code) {
	case MHD_CONNECTION_NOTIFY_STARTED:
		open_connection(listener->thread, connection, socket_state);
		break;
	case MHD_CONNECTION_NOTIFY_CLOSED:
		close_connection(*socket_state);
		*socket_state = NULL;
		break;
	}
}

struct tr_connection *tr_get_connection(struct MHD_Connection *connection)
{
	return MHD_get_connection_info(connection,
				       MHD_CONNECTION_INFO_SOCKET_CONTEXT)
		->socket_context;
}

void tr_set_connection_call(struct tr_connection *connection,
			    struct tr_call *call)
{
	struct tr_thread *thread = connection->thread;

	connection->call = call;
	connection->request_ms = 0;
	if (call)
		return;
	if (connection->is_disconnected)
		tr_shut_down_connection(connection);
	connection->active_ms = tmr_get_now_ms(thread->timers);
	g_queue_unlink(&thread->connections, connection->link);
	g_queue_push_tail_link(&thread->connections, connection->link);
}
