/*
 * Traffic: the threads that proxy calls from callers to targets.
 *
 * Each thread runs one event loop with a libmicrohttpd daemon, which serves
 * callers, and curl multi handles, which connect to other nodes and to the
 * local target. The first thread also listens for calls from other nodes and
 * owns the admission gate of the local target. The control thread passes
 * immutable routing tables and commands to the threads and never waits until a
 * thread has processed them.
 */
#ifndef LOOM_TRAFFIC_H
#define LOOM_TRAFFIC_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>
#include <talloc.h>
#include <tevent.h>
#include "loom/admission.h"
#include "loom/counter.h"
#include "loom/document.h"
#include "loom/explain.h"
#include "loom/moves.h"
#include "loom/routing.h"

struct tr_service;

/*
 * Attempts of one series (service, route, version and target) that ended in one
 * time slot, as counted by one thread.
 */
struct tr_sample {
	const char *service;
	const char *route;
	const char *version;
	const char *target;	    /* "ADDRESS:PORT" of its node for hops */
	const char *failure_domain; /* domain of the target */
	uint64_t slot;		    /* see mv_get_slot() */
	struct mv_counts counts;
	uint32_t slow; /* good calls that exceeded the latency objective */
};

/* Receives a sample (borrowed) on the control thread. */
typedef void (*tr_sample_fn)(const struct tr_sample *sample, void *data);

/*
 * Names of the HTTP headers that are exchanged with callers and targets. A
 * header whose name is NULL is not used.
 */
struct tr_header_names {
	const char *request_id;
	const char *deadline; /* request: remaining time in milliseconds */
	const char *instance; /* request: id of the target instance it is for */
	const char *caller;   /* request: service on the vm where it began */
	const char *not_run;  /* answer: the target did not run the request */
	const char *stamp;    /* answer: set by a target on every 2xx answer */
	const char *load; /* answer: load of the target, struct cap_report */
	const char *cold; /* answer to a request for its health: how much longer
			     the target stays cold, in ms */
};

/* The target on this vm. */
struct tr_target {
	const char *service;
	const char *version;
	const char *instance; /* "": unknown */
	const char *address;
	uint16_t port;
	uint32_t slots;	     /* calls that it runs at once; 0: unknown */
	uint32_t warm_up_ms; /* time until it can take its full load */
};

/* How a node behaves when there is more load than room; all off by default. */
struct tr_overload_options {
	bool is_enabled;      /* admission by class, early refusals, returns */
	uint16_t load_port;   /* UDP port of load reports; 0: none */
	uint32_t link_kbit_s; /* 0: unknown, answers are not paced */
	uint32_t crossing_ms_per_kb; /* wait preferred to sending 1 kB away */
	uint32_t memory_mb;	     /* memory of the process; 0: unknown */
	uint32_t retry_budget_permille;
	/*
	 * A call counts as unanswered when its answer is overdue for so long
	 * while later calls to the target were answered; 0: never.
	 */
	uint32_t silence_ms;
};

/* names and data are borrowed for the life of the service. */
struct tr_options {
	const char *address; /* IPv4 address to listen on */
	const char *failure_domain;
	uint16_t call_port; /* port for calls from callers */
	uint16_t hop_port;  /* port for calls from other nodes */
	const struct tr_header_names *names;
	const char *caller_service; /* value of names->caller; may be "" */
	uint32_t thread_count;
	uint32_t connections_max;      /* per thread; evicts the longest idle */
	uint32_t peer_connections_max; /* per thread, to nodes; 0: no limit */
	uint32_t idle_timeout_ms;   /* longest wait for a whole request line */
	uint32_t header_timeout_ms; /* from request line to last header */
	uint32_t header_bytes_max;
	struct tr_overload_options overload;
	struct adm_cold_bound cold_bound;
	enum rt_policy policy;
	uint64_t seed;
	tr_sample_fn on_sample; /* may be NULL */
	void *data;
};

/* Sets defaults; the address, failure domain and ports stay unset. */
void tr_set_default_options(struct tr_options *options);

/*
 * Starts the threads; events is the control thread's loop. Returns a new
 * service owned by ctx, or NULL with *error set. Freeing the service stops and
 * joins the threads.
 */
struct tr_service *tr_new_service(TALLOC_CTX *ctx,
				  struct tevent_context *events,
				  struct cnt_registry *counters,
				  const struct tr_options *options,
				  GError **error);

/* Passes a table to all threads; each takes its own reference. */
void tr_set_table(struct tr_service *service, struct rt_table *table);

/*
 * Sets the idle and header timeouts of callers' connections. They apply from
 * the next sweep, which runs every second.
 */
void tr_set_caller_limits(struct tr_service *service,
			  const struct doc_caller_limits *limits);

/* Admits calls to this target from now on; all texts are copied. */
void tr_announce_target(struct tr_service *service,
			const struct tr_target *target);

/*
 * Records a heartbeat of the target: slots is the number of calls that it runs
 * at once (0: unknown), warm_up_ms the time until it can take its full load.
 */
void tr_handle_heartbeat(struct tr_service *service, uint32_t slots,
			 uint32_t warm_up_ms);

/* Refuses calls to the target from now on: it is draining or gone. */
void tr_drain_target(struct tr_service *service);

/*
 * Temporarily lowers the limit on concurrent calls to the number that the
 * target's health or load report allows.
 */
void tr_set_limit_hint(struct tr_service *service, uint32_t hinted_limit);

/*
 * Adds "Connection: close" to all answers from now on, so that callers connect
 * to another node. The service ends in time_ms: calls of callers that may take
 * longer are refused.
 */
void tr_begin_drain(struct tr_service *service, uint32_t time_ms);

/* Refuses new calls of callers from now on; running calls continue. */
void tr_refuse_callers(struct tr_service *service);

/*
 * Returns whether all threads refuse new calls of callers. A call that a thread
 * accepted before is then part of tr_get_call_count().
 */
bool tr_are_callers_refused(const struct tr_service *service);

/* Returns the number of calls in progress in all threads. */
uint32_t tr_get_call_count(const struct tr_service *service);

/* A request of which an operator asks where it would go. */
struct tr_question {
	const char *host; /* without a port */
	const char *method;
	const char *path;
	const char *class; /* as in rt_parse_class(); NULL: fresh */
	uint32_t body_bytes;
};

/* What becomes of the calls of one share of a route. */
struct tr_share_view {
	const char *service;
	uint32_t weight;
	struct rt_explanation *routing; /* NULL: the service is not known */
};

/* What the first traffic thread would do with a request now. */
struct tr_explanation {
	const char *route; /* name; NULL: none matches */
	uint32_t timeout_ms;
	uint32_t objective_ms; /* 0: none */
	const char *class;     /* NULL: without overload control */
	/* The request is refused before a target is chosen; 0 and NULL: not. */
	uint32_t status;
	const char *reason;
	struct tr_share_view *shares;
	size_t share_count;
	uint32_t weight_sum;
};

/* explanation is borrowed; NULL: the thread did not answer in time. */
typedef void (*tr_explain_fn)(const struct tr_explanation *explanation,
			      void *data);

struct tr_inquiry;

/*
 * Asks the first traffic thread where a request would go; nothing is sent, and
 * no choice is recorded. question is copied. Returns a new inquiry, which is
 * freed after fn has run on the control thread: with the answer, after 1 s
 * without one, or when the service is freed. talloc_free() cancels it. Returns
 * NULL when 8 questions wait for the thread.
 */
struct tr_inquiry *tr_explain_request(struct tr_service *service,
				      const struct tr_question *question,
				      tr_explain_fn fn, void *data);

#endif
