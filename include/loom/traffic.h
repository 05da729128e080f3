/*
 * Traffic: the threads that carry callers' calls to targets.
 *
 * Each thread runs one event loop with a libmicrohttpd daemon for callers and a
 * curl multi handle. The first thread also listens for calls from other nodes
 * and owns the admission gate of the local target. The control thread hands
 * over an immutable table and short commands; it never waits for a thread.
 */
#ifndef LOOM_TRAFFIC_H
#define LOOM_TRAFFIC_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>
#include <talloc.h>
#include <tevent.h>
#include "loom/counter.h"
#include "loom/document.h"
#include "loom/moves.h"
#include "loom/routing.h"

struct tr_service;

/* Calls of one series that ended in one slot, as one thread counted them. */
struct tr_sample {
	const char *service;
	const char *route;
	const char *version;
	const char *target;	    /* address of its admission side */
	const char *failure_domain; /* of the target */
	uint64_t slot;		    /* see mv_get_slot() */
	struct mv_counts counts;
	uint32_t slow; /* good calls above the objective's latency */
};

/* Takes a sample on the control thread; the sample is borrowed. */
typedef void (*tr_sample_fn)(const struct tr_sample *sample, void *data);

/*
 * Names of the headers that callers and targets know. A name that is NULL is
 * not used.
 */
struct tr_names {
	const char *request_id;
	const char *deadline; /* request: milliseconds that are left */
	const char *instance; /* request: which instance of a target is meant */
	const char *caller;   /* request: service of the vm where it began */
	const char *not_run;  /* answer: the target did not run the request */
	const char *stamp;    /* answer: on every success of a target */
};

/* The target of this vm. */
struct tr_target {
	const char *service;
	const char *version;
	const char *instance; /* "": not told */
	const char *address;
	uint16_t port;
	uint32_t slots;	     /* 0: not told */
	uint32_t warm_up_ms; /* until it bears its full load */
};

struct tr_options {
	const char *address; /* IP number to listen on */
	const char *failure_domain;
	uint16_t call_port; /* for callers */
	uint16_t hop_port;  /* for other nodes */
	const struct tr_names *names;
	const char *caller_service; /* of this vm, for names->caller; or "" */
	uint32_t thread_count;
	uint32_t connections_max;   /* per thread; the longest idle is closed */
	uint32_t idle_timeout_ms;   /* without a whole request line */
	uint32_t header_timeout_ms; /* from request line to last header */
	uint32_t header_bytes_max;
	enum rt_policy policy;
	uint64_t seed;
	tr_sample_fn on_sample; /* or NULL */
	void *data;
};

/* Fills options with the usual values; texts and ports stay unset. */
void tr_set_default_options(struct tr_options *options);

/*
 * Starts the threads; events is the control thread's loop. Returns a new
 * service owned by ctx, or NULL with *error set.
 */
struct tr_service *tr_new_service(TALLOC_CTX *ctx,
				  struct tevent_context *events,
				  struct cnt_registry *counters,
				  const struct tr_options *options,
				  GError **error);

/* Hands a table to all threads; each takes references of its own. */
void tr_set_table(struct tr_service *service, struct rt_table *table);

/* Sets the bounds on callers' connections; they apply from the next sweep. */
void tr_set_caller_limits(struct tr_service *service,
			  const struct doc_caller_limits *limits);

/* That target is served from now on; all texts are copied. */
void tr_announce_target(struct tr_service *service,
			const struct tr_target *target);

/* The target was heard from, with the slots and the cold time that it told. */
void tr_note_heartbeat(struct tr_service *service, uint32_t slots,
		       uint32_t warm_up_ms);

/* The target drains or is gone: refuse its calls from now on. */
void tr_drain_target(struct tr_service *service);

/* Lowers the limit for a while, from the target's own health or load. */
void tr_note_hint(struct tr_service *service, uint32_t bearable_calls);

/* Answers carry "Connection: close" from now on. */
void tr_begin_drain(struct tr_service *service);

/* Callers' new calls are refused from now on, while the others end. */
void tr_refuse_callers(struct tr_service *service);

/* Returns how many calls are under way in all threads. */
uint32_t tr_get_call_count(const struct tr_service *service);

#endif
