/*
 * HTTP on a tevent loop: libmicrohttpd as server, libcurl multi as client.
 *
 * hs_ runs a libmicrohttpd daemon with external epoll on a loop, hc_ a curl
 * multi handle. On top stand web_, a server for small whole requests, and
 * hc_send(), a client for small whole answers; calls of the mesh stream and use
 * the two loops directly (src/traffic). Everything here belongs to the thread
 * of its loop.
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

/* Has the daemon run soon: after a connection was resumed. */
void hs_wake(struct hs_loop *loop);

/*
 * Fills socket_address from an IP number and a port for use with
 * MHD_OPTION_SOCK_ADDR. Returns false with *error set for another text.
 */
struct sockaddr_in;
bool hs_parse_address(const char *address, uint16_t port,
		      struct sockaddr_in *socket_address, GError **error);

/* Called once when a transfer ended; the handle is out of the loop by then. */
typedef void (*hc_done_fn)(CURL *easy, CURLcode code, void *data);

/* Returns a new loop owned by ctx, or NULL with *error set. */
struct hc_loop *hc_new_loop(TALLOC_CTX *ctx, struct tevent_context *events,
			    GError **error);

/* Returns the curl multi handle (borrowed), for its options. */
CURLM *hc_get_multi(struct hc_loop *loop);

/*
 * Bounds how long a transfer depends on a peer that fell silent: the time to
 * connect, and by probes of the kernel the time of a connection without word.
 */
void hc_guard_transfer(CURL *easy, uint32_t connect_timeout_ms);

/*
 * Has the connections of a guarded transfer reset when they are closed: a
 * request that was given up and not yet read is then never read.
 */
void hc_reset_on_close(CURL *easy);

/* Starts a transfer; the loop uses CURLOPT_PRIVATE. easy stays the caller's. */
bool hc_add_transfer(struct hc_loop *loop, CURL *easy, hc_done_fn fn,
		     void *data, GError **error);

/* Takes a transfer out of the loop without a call of fn. */
void hc_remove_transfer(struct hc_loop *loop, CURL *easy);

struct hc_answer {
	const GError *error; /* NULL: a whole answer, of any status */
	uint32_t status;
	const char *body; /* NUL-terminated; borrowed for the callback */
	size_t body_size;
};

typedef void (*hc_answer_fn)(const struct hc_answer *answer, void *data);

struct hc_options {
	const char *method;
	const char *url;
	const char *const
		*headers; /* "Name: value", NULL-terminated, or NULL */
	const char *body; /* NULL: none; copied */
	size_t body_size;
	uint32_t timeout_ms;
	size_t answer_bytes_max; /* a longer answer is an error */
};

/*
 * Sends a small request and collects the answer. Errors: ERR_UNAVAILABLE when
 * no request was sent, ERR_TIMEOUT, ERR_UNKNOWN_OUTCOME when the connection was
 * lost after sending began. Returns a new request owned by ctx; talloc_free()
 * cancels it, and must happen before the loop is freed. fn runs from the loop,
 * never from within hc_send().
 */
struct hc_request *hc_send(TALLOC_CTX *ctx, struct hc_loop *loop,
			   const struct hc_options *options, hc_answer_fn fn,
			   void *data);

/* Answers a request now or later by web_reply(). */
typedef void (*web_fn)(struct web_request *request, void *data);

struct web_options {
	const char *address; /* IP number */
	uint16_t port;	     /* 0: chosen by the kernel */
	size_t body_bytes_max;
	web_fn fn;
	void *data;
};

/* Returns a new listening server owned by ctx, or NULL with *error set. */
struct web_server *web_new_server(TALLOC_CTX *ctx,
				  struct tevent_context *events,
				  const struct web_options *options,
				  GError **error);

/* Returns the port that the server listens on. */
uint16_t web_get_port(const struct web_server *server);

/* The parts of a request, borrowed from it; NULL when absent. */
const char *web_get_method(const struct web_request *request);
const char *web_get_path(const struct web_request *request);
const char *web_get_query(const struct web_request *request, const char *name);
const char *web_get_header(const struct web_request *request, const char *name);
const char *web_get_body(const struct web_request *request, size_t *size);

/* Adds a header to the coming reply. */
void web_add_header(struct web_request *request, const char *name,
		    const char *value);

/* Sends the reply, once; the texts are copied. request is invalid after it. */
void web_reply(struct web_request *request, uint32_t status,
	       const char *content_type, const char *body, size_t size);

/* Sends a JSON value (stolen) as the reply. */
void web_reply_json(struct web_request *request, uint32_t status,
		    json_t *value);

/* Sends {"error":message} as the reply. */
void web_reply_error(struct web_request *request, uint32_t status,
		     const char *message);

/* Closes the connection in place of a reply, as a lost answer would look. */
void web_abort(struct web_request *request);

/*
 * Has fn called when the caller goes away before the reply; the request must
 * not be used from then on.
 */
typedef void (*web_closed_fn)(void *data);
void web_set_closed_fn(struct web_request *request, web_closed_fn fn,
		       void *data);

#endif
