/*
 * Inside of the platform client: calls, and the tries that they are made of.
 *
 * A call asks for one try after another by plat_queue_try(). Tries wait for a
 * token and for a place among those in flight. The answer goes to the call's
 * handler, which asks for a further try or finishes the call.
 */
#ifndef LOOM_PLATFORM_CLIENT_H
#define LOOM_PLATFORM_CLIENT_H

#include "answer.h"
#include "backoff.h"
#include "bucket.h"
#include "floors.h"
#include "loom/http.h"
#include "loom/platform.h"
#include "resolution.h"

#define PLAT_IN_FLIGHT_MAX 8U
#define PLAT_START_JITTER_MS 1000U /* nodes that start together list apart */

struct plat_call;

/* Handles the answer to a try; borrowed for the length of the call. */
typedef void (*plat_try_fn)(struct plat_call *call, struct plat_answer *answer);

struct plat_call {
	struct plat_client *client;
	struct plat_ask ask; /* its key and value are owned by the call */
	json_t *value;	     /* of a put, or NULL */
	struct plat_backoff backoff;
	uint32_t try_timeout_ms;
	plat_try_fn try_fn;
	plat_fn fn;
	void *data;
	struct plat_resolution resolution; /* of a write */
	struct plat_answer *stale;	   /* the last stale answer, or NULL */
	struct plat_object *pages;	   /* objects of a list so far */
	size_t page_object_count;

	enum plat_call_kind try_kind; /* of the try in progress */
	struct hc_request *request;   /* NULL: none in flight */
	struct tmr_subscription *wait;
	struct tmr_subscription *expiry;
	bool is_queued;
	bool is_expired; /* the time limit is over: no further try */
	bool is_cut;	 /* a try was in flight when it was over */
	bool *is_freed;	 /* set while fn runs */

	GError *error;
	struct plat_result result;
};

/* Returns a new call owned by ctx; the texts and the value are kept. */
struct plat_call *plat_new_call(TALLOC_CTX *ctx, struct plat_client *client,
				const struct plat_ask *ask, plat_try_fn try_fn,
				plat_fn fn, void *data);

/* Sets the time limit over all tries of a new call. */
void plat_set_time_limit(struct plat_call *call, uint32_t timeout_ms);

/*
 * Queues one try after delay_ms: of the call's own kind, or PLAT_CALL_GET to
 * read back what a write did.
 */
void plat_queue_try(struct plat_call *call, enum plat_call_kind kind,
		    uint32_t delay_ms);

/* Queues a further try after the call's backoff. */
void plat_queue_retry(struct plat_call *call, enum plat_call_kind kind);

/*
 * Finishes a call with call->result; fn runs from the loop. error is stolen and
 * may be NULL.
 */
void plat_finish_call(struct plat_call *call, GError *error);

/*
 * While the store is out, one watch of the client tries again for all. Returns
 * whether this one does; another one is started again by plat_end_outage().
 */
struct plat_watch;
bool plat_begin_outage(struct plat_client *client, struct plat_watch *watch);

/* The store answered a watch: those that waited start again. */
void plat_end_outage(struct plat_client *client);

/* A watch ends; it tries again and waits no longer. */
void plat_leave_outage(struct plat_client *client, struct plat_watch *watch);

/* watch.c: starts a watch that waited for the end of an outage. */
void plat_restart_watch(struct plat_watch *watch);

/* Returns the client's random numbers, timers and options (borrowed). */
GRand *plat_get_random(struct plat_client *client);
struct tmr_service *plat_get_timers(struct plat_client *client);
const struct plat_options *plat_get_options(const struct plat_client *client);

/* Returns the versions that this client has seen (borrowed). */
struct plat_floors *plat_get_floors(struct plat_client *client);

/* Returns the counter loom_platform_NAME (borrowed). */
struct cnt_counter *plat_get_counter(struct plat_client *client,
				     enum cnt_kind kind, const char *name,
				     const char *labels, const char *help);

/*
 * Waits once for changes after revision, at most wait_ms. There is one try;
 * ERR_GONE when the history does not reach so far.
 */
struct plat_call *plat_poll_events(TALLOC_CTX *ctx, struct plat_client *client,
				   const char *prefix, uint64_t revision,
				   uint32_t wait_ms, plat_fn fn, void *data);

#endif
