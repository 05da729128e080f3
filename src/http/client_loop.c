/*
 * Runs a curl multi handle on a tevent loop.
 *
 * Each socket of curl has one tevent_fd, and one alarm implements curl's
 * timeout. Each transfer has a struct transfer, stored in its CURLOPT_PRIVATE.
 * Invariant: a struct transfer exists exactly while its easy handle is in the
 * multi handle.
 */
#include "loom/http.h"

#include <assert.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include "loom/error.h"
#include "loom/timer.h"

/*
 * A connection whose peer does not respond is closed within 2 to 3 s. This has
 * to be shorter than the time within which a configuration change must be in
 * force after a network partition has healed.
 */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBE_COUNT 2
#define UNACKED_TIMEOUT_MS 2000U

struct transfer {
	hc_done_fn fn;
	void *data;
};

/* A socket of a transfer that hc_watch_sockets() was called for. */
struct open_socket {
	curl_socket_t socket;
	int local_port; /* 0: not known yet */
};

struct hc_loop {
	struct tevent_context *events;
	GArray *open_sockets; /* struct open_socket */
	CURLM *multi;
	struct tmr_alarm *timeout;
};

struct socket_watch {
	struct hc_loop *loop;
	curl_socket_t socket;
	struct tevent_fd *fde;
	bool is_write_only; /* curl waits only until it can write */
};

static struct transfer *get_transfer(CURL *easy)
{
	char *private = NULL;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &private);
	return (struct transfer *)(void *)private;
}

static void finish_transfer(struct hc_loop *loop, CURL *easy, CURLcode code)
{
	struct transfer *transfer = get_transfer(easy);
	hc_done_fn fn = transfer->fn;
	void *data = transfer->data;

	hc_remove_transfer(loop, easy);
	fn(easy, code, data);
}

static void finish_transfers(struct hc_loop *loop)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(loop->multi, &left))) {
		if (message->msg == CURLMSG_DONE)
			finish_transfer(loop, message->easy_handle,
					message->data.result);
	}
}

static void run_socket(struct hc_loop *loop, curl_socket_t socket, int mask)
{
	int running;

	curl_multi_socket_action(loop->multi, socket, mask, &running);
	finish_transfers(loop);
}

static void handle_timeout(void *data)
{
	run_socket(data, CURL_SOCKET_TIMEOUT, 0);
}

static int set_timeout(CURLM *multi, long wait_ms, void *data)
{
	struct hc_loop *loop = data;

	if (wait_ms >= 0)
		tmr_set_alarm(loop->timeout, (uint64_t)wait_ms);
	else
		tmr_clear_alarm(loop->timeout);
	return 0;
}

static void handle_socket(struct tevent_context *events, struct tevent_fd *fde,
			  uint16_t flags, void *data)
{
	struct socket_watch *watch = data;
	int mask = 0;

	if (flags & TEVENT_FD_READ)
		mask |= watch->is_write_only ? CURL_CSELECT_OUT
					     : CURL_CSELECT_IN;
	if (flags & TEVENT_FD_WRITE)
		mask |= CURL_CSELECT_OUT;
	run_socket(watch->loop, watch->socket, mask);
}

static uint16_t get_fd_flags(int what)
{
	uint16_t flags = 0;

	if (what & CURL_POLL_IN)
		flags |= TEVENT_FD_READ;
	/*
	 * tevent reports hang-ups and errors only when TEVENT_FD_READ is set.
	 * Without it, curl would not notice that a connection fails while it
	 * waits to write.
	 */
	if (what & CURL_POLL_OUT)
		flags |= TEVENT_FD_READ | TEVENT_FD_WRITE;
	return flags;
}

static int set_socket(CURL *easy, curl_socket_t socket, int what, void *data,
		      void *socket_data)
{
	struct hc_loop *loop = data;
	struct socket_watch *watch = socket_data;

	if (what == CURL_POLL_REMOVE) {
		talloc_free(watch);
		return 0;
	}
	if (!watch) {
		watch = talloc_zero(loop, struct socket_watch);
		watch->loop = loop;
		watch->socket = socket;
		watch->fde = tevent_add_fd(loop->events, watch, socket, 0,
					   handle_socket, watch);
		curl_multi_assign(loop->multi, socket, watch);
	}
	watch->is_write_only = what == CURL_POLL_OUT;
	tevent_fd_set_flags(watch->fde, get_fd_flags(what));
	return 0;
}

static int destroy_loop(struct hc_loop *loop)
{
	curl_multi_cleanup(loop->multi);
	g_array_unref(loop->open_sockets);
	return 0;
}

struct hc_loop *hc_new_loop(TALLOC_CTX *ctx, struct tevent_context *events,
			    GError **error)
{
	struct hc_loop *loop = talloc_zero(ctx, struct hc_loop);

	loop->events = events;
	loop->timeout = tmr_new_alarm(loop, events, handle_timeout, loop);
	loop->open_sockets =
		g_array_new(FALSE, FALSE, sizeof(struct open_socket));
	loop->multi = curl_multi_init();
	if (!loop->multi) {
		err_set(error, ERR_INTERNAL, "open client loop", NULL,
			"curl_multi_init failed");
		talloc_free(loop);
		return NULL;
	}
	talloc_set_destructor(loop, destroy_loop);
	curl_multi_setopt(loop->multi, CURLMOPT_SOCKETFUNCTION, set_socket);
	curl_multi_setopt(loop->multi, CURLMOPT_SOCKETDATA, loop);
	curl_multi_setopt(loop->multi, CURLMOPT_TIMERFUNCTION, set_timeout);
	curl_multi_setopt(loop->multi, CURLMOPT_TIMERDATA, loop);
	return loop;
}

CURLM *hc_get_multi(struct hc_loop *loop)
{
	return loop->multi;
}

/* CURLOPT_SOCKOPTDATA points here when connections are reset on close. */
static char reset_on_close;

/*
 * With the kernel's defaults, a connection that was cut without a FIN or RST
 * stays open for minutes.
 */
static int set_socket_options(void *data, curl_socket_t socket,
			      curlsocktype purpose)
{
	static const int on = 1;
	static const int idle_s = KEEPALIVE_IDLE_S;
	static const int interval_s = KEEPALIVE_INTERVAL_S;
	static const int count = KEEPALIVE_PROBE_COUNT;
	static const unsigned int timeout_ms = UNACKED_TIMEOUT_MS;
	static const struct linger reset = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
	setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
		   sizeof(interval_s));
	setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
	setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
		   sizeof(timeout_ms));
	if (data == &reset_on_close)
		setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset,
			   sizeof(reset));
	return CURL_SOCKOPT_OK;
}

void hc_set_peer_timeouts(CURL *easy, uint32_t connect_timeout_ms)
{
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)connect_timeout_ms);
	curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, set_socket_options);
}

static curl_socket_t open_socket(void *data, curlsocktype purpose,
				 struct curl_sockaddr *address)
{
	struct hc_loop *loop = data;
	struct open_socket opened = {
		.socket = socket(address->family,
				 address->socktype | SOCK_CLOEXEC,
				 address->protocol),
	};

	if (opened.socket < 0)
		return CURL_SOCKET_BAD;
	g_array_append_val(loop->open_sockets, opened);
	return opened.socket;
}

static int close_socket(void *data, curl_socket_t socket)
{
	struct hc_loop *loop = data;

	for (guint i = 0; i < loop->open_sockets->len; i++) {
		if (g_array_index(loop->open_sockets, struct open_socket, i)
			    .socket != socket)
			continue;
		g_array_remove_index_fast(loop->open_sockets, i);
		break;
	}
	return close(socket);
}

void hc_watch_sockets(struct hc_loop *loop, CURL *easy)
{
	curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, open_socket);
	curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, loop);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, loop);
}

static int get_local_port(struct open_socket *opened)
{
	struct sockaddr_in address = { 0 };
	socklen_t size = sizeof(address);

	if (opened->local_port == 0 &&
	    getsockname(opened->socket, (struct sockaddr *)&address, &size) ==
		    0)
		opened->local_port = ntohs(address.sin_port);
	return opened->local_port;
}

bool hc_has_unread_bytes(struct hc_loop *loop, int local_port)
{
	char byte;

	for (guint i = 0; i < loop->open_sockets->len; i++) {
		struct open_socket *opened = &g_array_index(
			loop->open_sockets, struct open_socket, i);

		if (get_local_port(opened) == local_port)
			return recv(opened->socket, &byte, 1,
				    MSG_PEEK | MSG_DONTWAIT) > 0;
	}
	return false;
}

void hc_reset_on_close(CURL *easy)
{
	curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, &reset_on_close);
}

bool hc_add_transfer(struct hc_loop *loop, CURL *easy, hc_done_fn fn,
		     void *data, GError **error)
{
	struct transfer *transfer = g_new0(struct transfer, 1);
	CURLMcode code;

	transfer->fn = fn;
	transfer->data = data;
	curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
	code = curl_multi_add_handle(loop->multi, easy);
	if (code == CURLM_OK)
		return true;
	curl_easy_setopt(easy, CURLOPT_PRIVATE, NULL);
	g_free(transfer);
	err_set(error, ERR_INTERNAL, "start transfer", NULL, "%s",
		curl_multi_strerror(code));
	return false;
}

void hc_remove_transfer(struct hc_loop *loop, CURL *easy)
{
	struct transfer *transfer = get_transfer(easy);

	assert(transfer);
	curl_multi_remove_handle(loop->multi, easy);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, NULL);
	g_free(transfer);
}
