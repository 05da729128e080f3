/*
 * HTTP/1.1 server for calls that pass through a node.
 *
 * An exchange is one request and its answer. A caller may send further requests
 * on a connection before the earlier ones are answered (pipelining, RFC 9112,
 * 9.3.2): their exchanges run at the same time, and their answers are sent in
 * the order of the requests. Bodies are streamed in both directions.
 *
 * A server runs on one tevent loop and may be used only in its thread. Its
 * functions never call a handler; handlers are called from the loop.
 */
#ifndef LOOM_EXCHANGE_H
#define LOOM_EXCHANGE_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>
#include <talloc.h>
#include <tevent.h>
#include "loom/byte_account.h"
#include "loom/counter.h"
#include "loom/timer.h"

struct hx_server;
struct hx_exchange;
struct hx_pacing;

/* Why an exchange is over. */
enum hx_end {
	HX_END_ANSWERED, /* the whole answer was passed to the kernel */
	HX_END_LOST,	 /* the connection is closed */
	HX_END_UNREAD, /* not begun: an earlier answer closes the connection */
};

/* Called from the loop; data is that of the options. */
struct hx_handler {
	/* The first byte of a request has arrived. */
	void (*open)(struct hx_exchange *exchange, void *data);
	/*
	 * Returns whether the request, whose head is complete, may begin while
	 * answers to earlier requests of its connection are due. Otherwise it
	 * begins when they have been sent.
	 */
	bool (*may_overlap)(struct hx_exchange *exchange, void *data);
	/* The head is complete and the request may begin. */
	void (*begin)(struct hx_exchange *exchange, void *data);
	/* A part of the request body; bytes are borrowed for the call. */
	void (*receive_body)(struct hx_exchange *exchange, const char *bytes,
			     size_t size, void *data);
	void (*end_body)(struct hx_exchange *exchange, void *data);
	/* Bytes of the answer were sent; see hx_get_unsent_size(). */
	void (*handle_sent)(struct hx_exchange *exchange, void *data);
	/* The exchange is freed after this call, which follows every open. */
	void (*end)(struct hx_exchange *exchange, enum hx_end how, void *data);
};

struct hx_options {
	const char *address; /* IPv4 address */
	uint16_t port;
	/* A further one evicts the longest idle or stalled, or is closed. */
	uint32_t connections_max;
	uint32_t head_bytes_max;
	const struct hx_handler *handler;
	void *data;
	struct cnt_counter
		*closed_early;	  /* slow or idle connections; or NULL */
	struct hx_pacing *pacing; /* borrowed; NULL: answers are not paced */
	struct cnt_counter
		*evicted; /* closed for memory or descriptors; or NULL */
	/* Counts the memory of all exchanges; borrowed. Servers of one thread
	 * may share it. */
	struct acc_account *account;
};

struct hx_pacing_options {
	uint64_t link_kbit_s; /* of the servers that share the pacing */
	/* Metrics. */
	struct cnt_counter *short_bytes;
	struct cnt_counter *large_bytes;
	struct cnt_counter *waiting_answers;
	struct cnt_counter *longest_wait_us;
};

/*
 * Returns a new object, owned by ctx, that paces the large answers of servers
 * on one loop (loom/pacer.h), or NULL when link_kbit_s is 0. It must outlive
 * the servers. timers is borrowed.
 */
struct hx_pacing *hx_new_pacing(TALLOC_CTX *ctx, struct tmr_service *timers,
				const struct hx_pacing_options *options);

/*
 * Returns pace_get_backlog_us() of a large answer of this size with this
 * deadline (0: none) that starts now; 0 when pacing is NULL.
 */
uint64_t hx_get_backlog_us(struct hx_pacing *pacing, uint64_t deadline_ms,
			   uint64_t bytes);

/* Updates the metrics; call it about once a second. pacing may be NULL. */
void hx_update_pacing_metrics(struct hx_pacing *pacing);

/*
 * Returns a new listening server owned by ctx, or NULL with *error set. Freeing
 * it ends all exchanges as HX_END_LOST. timers is borrowed.
 */
struct hx_server *hx_new_server(TALLOC_CTX *ctx, struct tevent_context *events,
				struct tmr_service *timers,
				const struct hx_options *options,
				GError **error);

/*
 * Closes connections that have been idle, or whose request head has been
 * incomplete, for longer than allowed. Call it about once a second.
 */
void hx_sweep(struct hx_server *server, uint32_t idle_timeout_ms,
	      uint32_t head_timeout_ms);

/*
 * From now on the answer to the last request read from a connection closes the
 * connection.
 */
void hx_begin_drain(struct hx_server *server);

/* Sets and returns the handler's own state of an exchange (borrowed). */
void hx_set_state(struct hx_exchange *exchange, void *state);
void *hx_get_state(const struct hx_exchange *exchange);

/* Return a part of the request, borrowed from the exchange. */
const char *hx_get_method(const struct hx_exchange *exchange);
/* The path and query as the caller sent them; it begins with a slash. */
const char *hx_get_target(const struct hx_exchange *exchange);
/* NULL: absent. */
const char *hx_get_header(const struct hx_exchange *exchange, const char *name);
/* Returns the header at an index, or false past the last one. */
bool hx_get_header_at(const struct hx_exchange *exchange, uint32_t index,
		      const char **name, const char **value);

/*
 * Sets when the answer should have been sent: large answers are sent in the
 * order of their deadlines. Call it before the answer starts; without it, or
 * with 0, the answer comes after those that have a deadline.
 */
void hx_set_deadline(struct hx_exchange *exchange, uint64_t deadline_ms);
/* Returns the address of the other end of the connection. */
struct in_addr hx_get_peer_address(const struct hx_exchange *exchange);

/* Returns when the bytes that completed the head were read. */
uint64_t hx_get_received_ms(const struct hx_exchange *exchange);

/* Reports the bytes that the handler holds for the exchange. */
void hx_set_handler_bytes(struct hx_exchange *exchange, size_t bytes);

/* Stop and continue the receipt of the request body. */
void hx_pause_body(struct hx_exchange *exchange);
void hx_resume_body(struct hx_exchange *exchange);

/*
 * Starts the answer. length is the size of its body in bytes, -1 when unknown.
 * A final answer may be given before the request body has been received; the
 * rest of that body is then discarded.
 */
void hx_start_answer(struct hx_exchange *exchange, uint32_t status,
		     int64_t length);
/* Copies a header; allowed until the first call of hx_add_answer_body(). */
void hx_add_answer_header(struct hx_exchange *exchange, const char *name,
			  const char *value);
/* Copies a part of the body; ignored for an answer that has no body. */
void hx_add_answer_body(struct hx_exchange *exchange, const void *bytes,
			size_t size);
/* Ends the answer; one shorter than its length is aborted. */
void hx_end_answer(struct hx_exchange *exchange);
/* Closes the connection in place of the rest of the answer. */
void hx_abort_answer(struct hx_exchange *exchange);

/* Returns the number of bytes of the answer that are still to be sent. */
size_t hx_get_unsent_size(const struct hx_exchange *exchange);

#endif
