/*
 * One call that passes through a node.
 *
 * On the entry node a call may need several attempts, each of which is a curl
 * transfer to another node or to the local target. On the node of the target
 * (hop) there is one attempt, after admission.
 */
#ifndef TR_CALL_H
#define TR_CALL_H

#include "buffer.h"
#include "framing.h"
#include "headers.h"
#include "thread.h"

#define TR_DEPTH_MAX 32U
#define TR_REPLAY_BYTES_MAX 65536U	/* request body kept for a retry */
#define TR_STREAM_BYTES_MAX 65536U	/* unread bytes in one direction */
#define TR_HOP_STREAM_BYTES_MAX 524288U /* the same of an answer on its way */
#define TR_UPLOAD_BUFFER_BYTES 16384U	/* of a transfer; curl's minimum */
#define TR_BUFFERED_ANSWER_BYTES_MAX 32768U /* answer buffered until whole */

enum tr_stage {
	TR_STAGE_HEADERS,    /* request line read, headers not yet complete */
	TR_STAGE_COLLECTING, /* buffering a short body, nothing sent yet */
	TR_STAGE_WAITING,    /* queued at the admission gate */
	TR_STAGE_SENDING,    /* transfer runs, nothing relayed yet */
	TR_STAGE_RELAYING,   /* answer head relayed, body in progress */
	TR_STAGE_ENDED,	     /* the exchange has the whole answer */
};

/* The answer to the current attempt. */
struct tr_answer {
	uint32_t status;
	GPtrArray *headers; /* names and values, alternating; owned */
	char *connection;   /* value of its Connection header, or NULL */
	size_t header_bytes;
	bool is_head_begun; /* the status line was read */
	struct tr_framing framing;
	struct tr_chunks chunks;
	struct rt_load load;
	bool has_load;
	uint64_t spent_us; /* time that the call took on the target's node */
	uint64_t run_us;   /* part of it until the target's head; 0: unknown */
	bool is_not_run;   /* the answer states that the request was not run */
	bool is_unsent;	   /* refused by a gate: no target received it */
	bool has_stamp;
	bool has_id;
	bool is_foreign;       /* carries the id of another request */
	char *refused;	       /* reason for a refusal, or NULL */
	struct tr_buffer body; /* received, not yet relayed */
	uint64_t body_bytes;   /* received so far */
	bool is_paused;	       /* the transfer waits until more was sent */
	bool is_whole;
	bool is_broken;
	uint64_t head_us; /* when the head was complete; 0: not yet */
};

/* The request body between the exchange and curl. */
struct tr_upload {
	struct tr_buffer buffer;
	bool has_body;
	int64_t content_length; /* -1: chunked */
	uint64_t received_bytes;
	bool is_whole;
	bool is_paused; /* the transfer waits for more bytes */
};

struct tr_call {
	struct tr_thread *thread;
	struct hx_exchange *exchange;
	enum tr_role role;
	enum tr_stage stage;
	const char *uri;    /* borrowed from the exchange */
	const char *method; /* the same; NULL until the call has begun */
	struct tr_upload upload;

	struct rt_table *table; /* a reference held by the call */
	const struct doc_service *service;
	const struct doc_route *route;
	const struct doc_gateway_route *gateway_route; /* NULL: no gateway */
	struct rt_request request;
	char *service_name; /* hop: requested by the entry node */
	char *version;	    /* hop: requested by the entry node */
	char *caller;	    /* service of the vm where the call began */
	uint32_t depth;
	uint64_t begun_ms; /* when its headers were complete */
	uint64_t deadline_ms;
	uint64_t objective_ms;	   /* 0: none */
	uint32_t priority;	   /* 0 is the highest */
	enum rt_class class;	   /* with overload control */
	struct rt_arrival arrival; /* entry: the attempt of the caller */
	struct rt_return returned; /* entry: what is known of earlier ones */
	bool is_first_nested;	   /* the first call that its parent makes */
	uint32_t nested_count;	   /* hop: calls that the target made for it */
	uint64_t asked_us;	   /* hop: when it asked for a slot */
	char *kind;		   /* hop: name of the route; NULL: not given */
	uint64_t large_bytes; /* expected size of a large answer, counted */
	struct tmr_subscription *deadline;
	struct tr_sent sent; /* of the attempt at the local target */
	bool is_awaited;     /* counts in tr_silence's in_flight */
	struct tmr_subscription *silence_check;

	CURL *easy;	       /* the running attempt, or NULL */
	size_t transfer_bytes; /* held by the attempt, without bodies */
	struct hc_loop *loop;  /* loop of the attempt */
	struct curl_slist *headers;
	const struct rt_target *chosen; /* entry: borrowed from table */
	uint64_t attempt_us;
	uint32_t attempt_count;
	uint32_t sent_count;	  /* attempts that a target may have received */
	uint32_t send_count;	  /* requests sent in this attempt */
	bool is_connection_stale; /* it held bytes before the request */
	bool is_connection_fresh; /* a new one takes the place of that */
	uint32_t send_total;	  /* requests sent in all attempts */
	bool is_run_possible;	  /* a target may have run the request */
	bool is_local; /* entry: the attempt goes to the local target */
	bool has_slot; /* occupies a slot of the gate */
	struct tr_answer answer;

	bool is_answer_begun; /* the exchange has at least the head */
};

/* call.c: drives calls; its data is the struct tr_listener. */
extern const struct hx_handler tr_call_handler;

/*
 * Returns whether the body is short enough to be buffered before a target is
 * chosen. A slow caller or network must not occupy a slot of a target
 * meanwhile.
 */
bool tr_is_body_short(const struct tr_call *call);

/* Returns whether the announced length is above the service's limit. */
bool tr_is_body_over_limit(const struct tr_call *call);

/*
 * On the hop side, adds the headers that report to the entry node the load of
 * the target and the time that the call took here.
 */
void tr_add_hop_headers(struct tr_call *call);

/* memory.c: stores what a transfer with call->headers holds. */
void tr_measure_transfer(struct tr_call *call);
/* Reports to the account what the call holds now. */
void tr_update_held_bytes(struct tr_call *call);
/* Returns whether no more of the request body may be received for now. */
bool tr_is_upload_full(const struct tr_call *call);
/* Frees the request body of a call whose answer has ended. */
void tr_release_upload(struct tr_call *call);

/* Returns the time in microseconds on the monotonic clock. */
uint64_t tr_get_now_us(void);

/* entry.c: handles a call of a caller when its headers are complete. */
void tr_route_call(struct tr_call *call);
/* Returns whether the request, not yet begun, may be sent to a target twice. */
bool tr_is_repeatable_request(struct tr_call *call);
/* Called when the body of a call in TR_STAGE_COLLECTING is complete. */
void tr_route_collected_call(struct tr_call *call);
/* Handles the end of the transfer: relays the answer or retries the call. */
void tr_end_entry_attempt(struct tr_call *call, CURLcode code);
/* Ends an attempt that a node refused or failed, as call->answer describes. */
void tr_end_refused_attempt(struct tr_call *call);
/* Reports the outcome of the attempt to the chooser of targets. */
void tr_report_entry_end(struct tr_call *call, enum rt_outcome outcome);

/* classify.c: returns when an answer is due: the objective or the deadline. */
uint64_t tr_get_due_ms(const struct tr_call *call);
/* Returns whether the node controls overload. */
bool tr_is_controlled(const struct tr_call *call);
/*
 * Sets the class of a call whose priority is known: nested if the local target
 * made it.
 */
void tr_set_class(struct tr_call *call);
/* Sets what the placement of the call depends on; its class is known. */
void tr_set_placement(struct tr_call *call);
/* Returns struct rt_retry's share_permille for the call. */
uint32_t tr_get_budget_permille(const struct tr_call *call);

/*
 * returns.c: recognizes a caller that was refused and has returned, and sets
 * the class and the objective of its call. left_ms is the time that the request
 * gives; 0: none.
 */
void tr_recognize_return(struct tr_call *call, uint32_t left_ms);
/*
 * Returns whether the caller has returned too early or too late to get a place
 * and no target is idle; the placement of the call is set.
 */
bool tr_is_returned_in_vain(const struct tr_call *call);
/* Refuses such a call. */
void tr_refuse_return(struct tr_call *call);
/* Returns whether a refusal of the call, which has not run, is recorded. */
bool tr_is_return_expected(const struct tr_call *call, bool is_not_run);
/* Records the refusal. Returns when the caller may come back. */
uint32_t tr_record_refusal(struct tr_call *call);
/* Record that the call ended with an answer, or with a failure. */
void tr_record_returned_answer(struct tr_call *call);
void tr_record_returned_failure(struct tr_call *call);

/* hop.c: handles a call of another node when its headers are complete. */
void tr_admit_call(struct tr_call *call);
/* Called when the body of a call in TR_STAGE_COLLECTING is complete. */
void tr_admit_collected_call(struct tr_call *call);
/* Handles the end of the transfer to the target. */
void tr_end_hop_attempt(struct tr_call *call, CURLcode code);
/* Frees the slot of the call, if it has one, and starts waiting calls. */
void tr_release_slot(struct tr_call *call, enum adm_outcome outcome);
/*
 * Does the same as tr_release_slot() for a call whose transfer was stopped, but
 * the slot counts as used for run_us more: the target may still run the call.
 */
void tr_keep_slot(struct tr_call *call, uint32_t run_us);
/* Returns the kind of the call for estimates, the name of its route. */
const char *tr_get_kind(const struct tr_call *call);
/* Refuses the queued calls that expired and starts those that may run now. */
void tr_process_waiting_calls(struct tr_thread *thread);
/* The same, when adm_get_due_ms() has come; data is the struct tr_thread. */
void tr_handle_waiting_alarm(void *data);
/* Fills load with that of the local target and the link of this node. */
void tr_get_local_load(struct tr_thread *thread, struct rt_load *load);
/* Entry: admits the call to the local target without a request to a node. */
void tr_admit_local_call(struct tr_call *call);
/* Entry: handles the end of the transfer to the local target. */
void tr_end_local_attempt(struct tr_call *call, CURLcode code);

/* unanswered.c: watches the answer of a call that was sent to the target. */
void tr_watch_answer(struct tr_call *call);
void tr_unwatch_answer(struct tr_call *call);
/* Records that the head of the answer of the local target is complete. */
void tr_record_answer_head(struct tr_call *call);

/* attempt.c: starts the transfer to base_url with call->headers. */
void tr_start_attempt(struct tr_call *call, struct hc_loop *loop,
		      const char *base_url);
/* Cancels the running transfer, if any. */
void tr_stop_attempt(struct tr_call *call);
/* Resumes a paused transfer: upload bytes arrived or the answer was read. */
void tr_continue_attempt(struct tr_call *call);

/* answer.c */
void tr_open_answer(struct tr_answer *answer);
void tr_close_answer(struct tr_answer *answer);
void tr_reset_answer(struct tr_answer *answer);
/* Callbacks of curl; data is the struct tr_call. */
size_t tr_receive_answer_header(char *line, size_t size, size_t count,
				void *data);
size_t tr_receive_answer_body(char *part, size_t size, size_t count,
			      void *data);
/*
 * Returns the code with which the transfer counts as ended: an error when curl
 * takes an answer for complete whose head or body is not.
 */
CURLcode tr_check_answer_end(const struct tr_call *call, CURLcode code);
/* Starts the relay of an answer whose head is complete. */
void tr_relay_answer(struct tr_call *call);
/* Relays a complete, buffered answer, unless it is a refusal. */
void tr_relay_buffered_answer(struct tr_call *call);
/* Ends or aborts the relayed answer, as is_broken says. */
void tr_end_relayed_answer(struct tr_call *call);
/* Continues a paused transfer when enough of the answer was sent. */
void tr_continue_answer(struct tr_call *call);
/* Returns whether the answer comes from a target, not from another node. */
bool tr_is_from_target(const struct tr_call *call);
/* Returns whether the answer is a refusal or a failure reported by a node. */
bool tr_is_refused(const struct tr_answer *answer);

/*
 * reply.c: ends the call with an error reply of this node. is_not_run promises
 * the caller that no target has run the request.
 */
void tr_refuse_call(struct tr_call *call, uint32_t status, const char *reason,
		    bool is_not_run);

#endif
