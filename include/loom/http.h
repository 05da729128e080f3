/*
 * HTTP on a tevent loop: libmicrohttpd as server, libcurl multi as client.
 *
 * hs_ runs a libmicrohttpd daemon on a loop through its epoll descriptor, hc_
 * runs a curl multi handle. Two interfaces on top of them buffer small messages
 * in memory: web_, a server, and hc_send(), a client. Calls of the mesh are
 * streamed and use the two loops directly (src/traffic). Nothing here is thread
 * safe: every object may be used only in the thread that runs its loop.
 */
#ifndef LOOM_HTTP_H
#define LOOM_HTTP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <talloc.h>
#include <tevent.h>

struct hs_loop;
struct hc_loop;
struct hc_request;
struct web_server;
struct web_request;

/*
 * Runs daemon, which was started with MHD_USE_EPOLL and without a thread, on
 * events. Returns a new loop owned by ctx; freeing it does not stop the daemon.
 */
struct hs_loop *hs_attach_daemon(TALLOC_CTX *ctx, struct tevent_context *events,
				 struct MHD_Daemon *daemon);

/* Schedules a run of the daemon; call it after MHD_resume_connection(). */
void hs_wake(struct hs_loop *loop);

/*
 * Fills socket_address for MHD_OPTION_SOCK_ADDR. Returns false with *error set
 * when address is not a dotted IPv4 address.
 */
struct sockaddr_in;
bool hs_parse_address(const char *address, uint16_t port,
		      struct sockaddr_in *socket_address, GError **error);

/* Called once when a transfer has ended and left the loop. */
typedef void (*hc_done_fn)(CURL *easy, CURLcode code, void *data);

/* Returns a new loop owned by ctx, or NULL with *error set. */
struct hc_loop *hc_new_loop(TALLOC_CTX *ctx, struct tevent_context *events,
			    GError **error);

/* Returns the curl multi handle (borrowed), to set options on it. */
CURLM *hc_get_multi(struct hc_loop *loop);

/*
 * Limits how long a transfer waits for an unresponsive peer: sets the connect
 * timeout, and TCP keepalive and TCP_USER_TIMEOUT on its connections.
 */
void hc_set_peer_timeouts(CURL *easy, uint32_t connect_timeout_ms);

/*
 * Makes the connections of a transfer send a TCP reset when they are closed, so
 * that the peer never reads a cancelled request that it has not read yet. Works
 * only together with hc_set_peer_timeouts().
 */
void hc_reset_on_close(CURL *easy);

/*
 * Lets hc_has_unread_bytes() know the connections that a transfer opens in a
 * loop, by IPv4.
 */
void hc_watch_sockets(struct hc_loop *loop, CURL *easy);

/*
 * Returns whether the connection with that local port holds bytes that were
 * received and not read yet; false for a connection that is not known.
 */
bool hc_has_unread_bytes(struct hc_loop *loop, int local_port);

/*
 * Starts a transfer. easy is borrowed until the transfer ends, and the loop
 * uses its CURLOPT_PRIVATE. Returns false with *error set when curl refuses it.
 */
bool hc_add_transfer(struct hc_loop *loop, CURL *easy, hc_done_fn fn,
		     void *data, GError **error);

/* Removes a running transfer from the loop; fn is not called. */
void hc_remove_transfer(struct hc_loop *loop, CURL *easy);

struct hc_answer {
	const GError *error; /* NULL: a complete answer with any status */
	uint32_t status;
	const char *body; /* NUL-terminated; valid only in the callback */
	size_t body_size;
	const char *header; /* value of answer_header; NULL: absent */
};

typedef void (*hc_answer_fn)(const struct hc_answer *answer, void *data);

/* Called when bytes of an answer arrive; it must not free the request. */
typedef void (*hc_progress_fn)(void *data);

struct hc_options {
	const char *method;
	const char *url;
	const char *const
		*headers; /* "Name: value", NULL-terminated, or NULL */
	const char *body; /* NULL: none; copied */
	size_t body_size;
	uint32_t timeout_ms;	 /* 0: only connecting is limited */
	size_t answer_bytes_max; /* a longer answer is an error */
	/*
	 * The answer may be compressed; its body and answer_bytes_max are those
	 * of the decompressed text.
	 */
	bool accepts_gzip;
	hc_progress_fn progress_fn; /* NULL: none */
	const char *answer_header;  /* name of a header to read, or NULL */
};

/*
 * Sends a small request and buffers the answer. Errors: ERR_UNAVAILABLE when no
 * request was sent, ERR_TIMEOUT, ERR_INVALID_MESSAGE when the answer is too
 * long or cannot be decompressed, ERR_UNKNOWN_OUTCOME when the transfer failed
 * in another way after sending began. Returns a new request owned by ctx, which
 * is freed after fn has run. talloc_free() cancels the request and must happen
 * before the loop is freed. fn is called from the loop, never from within
 * hc_send().
 */
struct hc_request *hc_send(TALLOC_CTX *ctx, struct hc_loop *loop,
			   const struct hc_options *options, hc_answer_fn fn,
			   void *data);

/*
 * Handles a request (borrowed). It must call web_reply() or web_abort(), or
 * have one of them called later.
 */
typedef void (*web_request_fn)(struct web_request *request, void *data);

struct web_options {
	const char *address; /* IPv4 address */
	uint16_t port;	     /* 0: chosen by the kernel */
	size_t body_bytes_max;
	uint32_t connections_max; /* 0: 1000 */
	web_request_fn fn;
	void *data;
};

/* Returns a new listening server owned by ctx, or NULL with *error set. */
struct web_server *web_new_server(TALLOC_CTX *ctx,
				  struct tevent_context *events,
				  const struct web_options *options,
				  GError **error);

/* Returns the port that the server listens on. */
uint16_t web_get_port(const struct web_server *server);

/* Return a part of the request, borrowed from it; NULL when absent. */
const char *web_get_method(const struct web_request *request);
const char *web_get_path(const struct web_request *request);
const char *web_get_query(const struct web_request *request, const char *name);
const char *web_get_header(const struct web_request *request, const char *name);
const char *web_get_body(const struct web_request *request, size_t *size);

/* Adds a header to the reply, before web_reply(); the texts are copied. */
void web_add_header(struct web_request *request, const char *name,
		    const char *value);

/*
 * Sends the reply; the texts are copied. Must be called at most once, and
 * request must not be used afterwards.
 */
void web_reply(struct web_request *request, uint32_t status,
	       const char *content_type, const char *body, size_t size);

/* Sends a JSON value (stolen) as the reply. */
void web_reply_json(struct web_request *request, uint32_t status,
		    json_t *value);

/* Sends {"error":message} as the reply. */
void web_reply_error(struct web_request *request, uint32_t status,
		     const char *message);

/* Closes the connection without a reply, as if the answer had been lost. */
void web_abort(struct web_request *request);

/*
 * Sets a function that is called when the client disconnects before the reply.
 * The request must not be used from then on.
 */
typedef void (*web_closed_fn)(void *data);
void web_set_closed_fn(struct web_request *request, web_closed_fn fn,
		       void *data);

#endif
