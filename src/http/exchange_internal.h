/*
 * Internal declarations of the exchange server: server, connection, exchange.
 *
 * A connection owns its exchanges, in the order of their requests; the first
 * one's answer is sent. Functions that a handler may call only mark the
 * connection as dirty; the server advances dirty connections from the loop,
 * which is where handlers are called and connections are freed.
 */
#ifndef HX_EXCHANGE_INTERNAL_H
#define HX_EXCHANGE_INTERNAL_H

#include "loom/exchange.h"
#include "loom/pacer.h"
#include "loom/turn.h"
#include "request_parser.h"

/* Requests of one connection that run at the same time. */
#define HX_PIPELINE_MAX 16U

/* Bytes read in vain, after an answer, to keep a connection open. */
#define HX_DISCARD_BYTES_MAX (1024U * 1024U)

#define HX_SCRATCH_BYTES 32768U /* most bytes received at once */

enum hx_phase {
	HX_PHASE_HEAD,	 /* the head is being received */
	HX_PHASE_HELD,	 /* waits until the earlier ones are answered */
	HX_PHASE_BEGUN,	 /* the handler has begun it */
	HX_PHASE_FAILED, /* no valid request: answered without the handler */
};

enum hx_framing {
	HX_FRAMING_NO_BODY,
	HX_FRAMING_LENGTH,
	HX_FRAMING_CHUNKED,
	HX_FRAMING_UNTIL_CLOSE,
};

struct hx_exchange {
	struct hx_connection *connection;
	void *state; /* of the handler */
	enum hx_phase phase;
	struct hx_head head;
	uint64_t received_ms;
	bool is_received; /* the whole request was received */
	bool is_body_paused;

	/* The answer. */
	enum hx_framing framing;
	uint32_t status;   /* 0: not started */
	int64_t body_left; /* HX_FRAMING_LENGTH: bytes still to be given */
	bool is_head_ended;
	bool is_ended;
	bool is_aborted;
	bool closes; /* the answer is the last one of the connection */
	GByteArray *output;
	size_t sent_size;	 /* leading bytes of output that were sent */
	uint64_t streamed_bytes; /* of a body of unknown length, so far */
	bool is_large;		 /* paced, if the server has a pacing */
	/* Unsent bytes up to the end of the head, which do not wait. */
	size_t head_left;
	uint64_t deadline_ms; /* 0: none */
	struct pace_flow flow;
	size_t output_peak; /* most bytes in output since it was made */
	size_t handler_bytes;
	size_t held_bytes; /* share of the server's account */
};

struct hx_connection {
	struct hx_server *server;
	int socket; /* -1: closed, to be freed */
	struct in_addr peer;
	GList link; /* of server->connections */
	struct hx_parser parser;
	GByteArray *input; /* received, not yet parsed; NULL: none */
	GQueue exchanges;  /* struct hx_exchange */
	/* The exchange whose request is being received, or NULL. */
	struct hx_exchange *receiving;
	size_t held_bytes;	  /* of the connection with its exchanges */
	size_t own_bytes;	  /* of the connection without them */
	uint64_t active_ms;	  /* of the last progress; see is_overdue() */
	uint64_t head_ms;	  /* when the head in progress began */
	uint64_t received_ms;	  /* when bytes were last received */
	uint64_t discarded_bytes; /* since the head of the last request */
	bool is_readable;	  /* there may be bytes to receive */
	bool is_hung_up;	  /* the peer has closed it */
	bool is_last;		  /* no further request is read */
	bool is_lingering;	  /* all answers sent; waits for the peer */
	bool is_dirty;		  /* in server->dirty */
	bool is_advancing;
	bool is_marked; /* marked as dirty while it is advanced */
};

struct hx_server {
	struct tevent_context *events;
	struct tmr_service *timers;
	struct hx_options options;
	int listener;
	int epoll_fd;
	struct tevent_fd *fde;
	struct trn_task *wake;
	bool is_advancing; /* dirty connections are being advanced */
	bool is_listening; /* the listener is in the epoll set */
	bool is_draining;
	GQueue connections; /* struct hx_connection, longest idle first */
	GQueue dirty;	    /* struct hx_connection */
	size_t held_bytes;  /* of all connections */
	char *scratch;	    /* receive buffer */
};

/* exchange.c */
struct hx_exchange *hx_new_exchange(struct hx_connection *connection);
void hx_free_exchange(struct hx_exchange *exchange);
/* Answers a request that cannot be served and closes the connection. */
void hx_reject(struct hx_exchange *exchange, uint32_t status,
	       const char *reason);
/* Frees the bytes of the answer that are still to be sent. */
void hx_drop_output(struct hx_exchange *exchange);
/* Appends the interim answer "100 Continue". */
void hx_send_continue(struct hx_exchange *exchange);

/* exchange_connection.c */
struct hx_connection *hx_new_connection(struct hx_server *server, int socket);
/* Ends all exchanges and frees the connection. */
void hx_free_connection(struct hx_connection *connection);
/* Closes the socket; the connection is freed when it is next advanced. */
void hx_close_connection(struct hx_connection *connection);
/* Schedules hx_advance_connection(). */
void hx_mark_dirty(struct hx_connection *connection);
/*
 * Sends, parses and receives as far as possible. Returns false when the
 * connection is closed and may be freed.
 */
bool hx_advance_connection(struct hx_connection *connection);
/* Returns whether neither a request nor an answer is in progress. */
bool hx_is_idle(const struct hx_connection *connection);
/* Returns whether the connection is idle or stalled for too long. */
bool hx_is_overdue(const struct hx_connection *connection, uint64_t now_ms,
		   uint32_t idle_timeout_ms, uint32_t head_timeout_ms);

/*
 * exchange_pacing.c. Returns how much of the unsent output may be sent now; 0
 * when the connection is marked as dirty later.
 */
size_t hx_get_sendable_size(struct hx_exchange *exchange);
/* Records that bytes of the output were sent. */
void hx_record_sent(struct hx_exchange *exchange, size_t size);
/* The exchange has nothing to send for now, or its peer does not read. */
void hx_leave_pacing(struct hx_exchange *exchange);
/*
 * Returns whether the answer waits for its turn on the link, so that its peer
 * cannot read it; false after its deadline.
 */
bool hx_is_waiting_for_link(const struct hx_exchange *exchange,
			    uint64_t now_ms);

/* exchange_memory.c: keeps the account and closes connections. */
/* Reports to the account what an exchange or a connection holds now. */
void hx_update_exchange_bytes(struct hx_exchange *exchange);
void hx_update_connection_bytes(struct hx_connection *connection);
/* Gives back the share of an exchange or a connection that is freed. */
void hx_give_exchange_bytes(struct hx_exchange *exchange);
void hx_give_connection_bytes(struct hx_connection *connection);
/*
 * Frees the connections with the largest shares while memory is critical; must
 * not be called while a connection is advanced.
 */
void hx_relieve_memory(struct hx_server *server);
/* Closes the connections of stalled callers while memory is full. */
void hx_close_stalled(struct hx_server *server);
/*
 * Closes the longest idle connection, or else the one whose caller has stalled
 * for longest. Returns false when there is none.
 */
bool hx_evict_connection(struct hx_server *server);

/* exchange_server.c: schedules the advance of dirty connections. */
void hx_schedule_advance(struct hx_server *server);

#endif
