/*
 * Runs a libmicrohttpd daemon on a tevent loop.
 *
 * The daemon runs when its epoll descriptor becomes readable, when its timeout
 * expires (one alarm), and once after hs_wake(), which is called when a
 * connection has been resumed.
 */
#include "loom/http.h"

#include <arpa/inet.h>
#include <assert.h>
#include <netinet/in.h>
#include "loom/error.h"
#include "loom/timer.h"
#include "loom/turn.h"

struct hs_loop {
	struct tevent_context *events;
	struct MHD_Daemon *daemon;
	struct tevent_fd *readable;
	struct tmr_alarm *timeout;
	struct trn_task *wake;
};

static void run_daemon(struct hs_loop *loop);

static void handle_timeout(void *data)
{
	run_daemon(data);
}

static void handle_readable(struct tevent_context *events,
			    struct tevent_fd *fde, uint16_t flags, void *data)
{
	run_daemon(data);
}

static void handle_wake(void *data)
{
	run_daemon(data);
}

static void run_daemon(struct hs_loop *loop)
{
	MHD_UNSIGNED_LONG_LONG wait_ms;

	MHD_run(loop->daemon);
	if (MHD_get_timeout(loop->daemon, &wait_ms) == MHD_YES)
		tmr_set_alarm(loop->timeout, wait_ms);
	else
		tmr_clear_alarm(loop->timeout);
}

struct hs_loop *hs_attach_daemon(TALLOC_CTX *ctx, struct tevent_context *events,
				 struct MHD_Daemon *daemon)
{
	const union MHD_DaemonInfo *info;
	struct hs_loop *loop = talloc_zero(ctx, struct hs_loop);

	info = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_EPOLL_FD);
	assert(info && info->epoll_fd >= 0);
	loop->events = events;
	loop->daemon = daemon;
	loop->timeout = tmr_new_alarm(loop, events, handle_timeout, loop);
	loop->wake = trn_new_task(loop, events, handle_wake, loop);
	loop->readable = tevent_add_fd(events, loop, info->epoll_fd,
				       TEVENT_FD_READ, handle_readable, loop);
	return loop;
}

void hs_wake(struct hs_loop *loop)
{
	trn_schedule_task(loop->wake);
}

bool hs_parse_address(const char *address, uint16_t port,
		      struct sockaddr_in *socket_address, GError **error)
{
	*socket_address = (struct sockaddr_in){ 0 };
	socket_address->sin_family = AF_INET;
	socket_address->sin_port = htons(port);
	if (inet_pton(AF_INET, address, &socket_address->sin_addr) == 1)
		return true;
	err_set(error, ERR_INVALID_ARGUMENT, "parse address", address,
		"got \"%s\", wanted an IPv4 address such as 127.0.0.1",
		address);
	return false;
}
