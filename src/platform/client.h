/*
 * Internals of the platform client: calls and their tries.
 *
 * A call is one operation that a user of the client requests; a try is one
 * HTTP request for it. A call queues one try at a time by plat_queue_try(). A
 * try is sent when it gets a token of the token bucket and fewer than
 * PLAT_IN_FLIGHT_MAX tries are in flight. The response goes to call->try_fn,
 * which queues a further try or finishes the call.
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
/* Spreads the first lists of nodes that start together. */
#define PLAT_START_JITTER_MS 1000U

struct plat_call;

/*
 * Handles the response to a try, or the end of the time limit as PLAT_LOST.
 * answer is valid until the function returns, or as long as the call if the
 * function sets answer->is_borrowed or keeps it in call->stale_answer.
 */
typedef void (*plat_try_fn)(struct plat_call *call, struct plat_answer *answer);

/* Eras of the store as the client has seen them (eras.c). */
struct plat_eras {
	struct plat_era known;
	uint32_t rises;	      /* how often the era has risen */
	GQueue subscriptions; /* struct plat_era_subscription */
	GQueue watches;	      /* struct plat_watch, all of the client */
	struct tmr_subscription *relist_timer;
};

struct plat_call {
	struct plat_client *client;
	struct plat_operation
		operation; /* key and value are owned by the call */
	json_t *value;	   /* operation.value, or NULL */
	struct plat_backoff backoff;
	uint32_t try_timeout_ms;
	plat_try_fn try_fn;
	plat_result_fn fn;
	void *data;
	struct plat_resolution resolution; /* writes only */
	struct plat_answer *stale_answer;  /* last stale response, or NULL */
	struct plat_object *pages; /* list: objects of the pages so far */
	size_t page_object_count;
	/* Values of plat_eras.rises. */
	uint32_t start_rises;  /* when the call was made */
	uint32_t answer_rises; /* at the last answer */
	uint32_t page_rises;   /* at the first of pages */

	enum plat_call_kind try_kind; /* kind of the queued or current try */
	struct hc_request *request;   /* NULL: none in flight */
	struct tmr_subscription *delay_timer;
	struct tmr_subscription *expiry_timer;
	bool is_queued;
	bool is_expired;	 /* the time limit is over */
	bool is_try_interrupted; /* a try was in flight at expiry */
	bool *is_freed;		 /* not NULL while fn runs */

	GError *error;
	struct plat_result result;
};

/*
 * Returns a new call owned by ctx. The key is copied and a reference to the
 * value is taken. The time limit is the client's timeout_ms.
 */
struct plat_call *plat_new_call(TALLOC_CTX *ctx, struct plat_client *client,
				const struct plat_operation *operation,
				plat_try_fn try_fn, plat_result_fn fn,
				void *data);

/* Sets the time limit for all tries of a new call together. */
void plat_set_time_limit(struct plat_call *call, uint32_t timeout_ms);

/*
 * Queues one try after delay_ms. kind is the kind of the call, or PLAT_CALL_GET
 * to read the object back after a write.
 */
void plat_queue_try(struct plat_call *call, enum plat_call_kind kind,
		    uint32_t delay_ms);

/* As plat_queue_try(), after the next backoff of the call. */
void plat_queue_retry(struct plat_call *call, enum plat_call_kind kind);

/*
 * Finishes a call with call->result; its fn runs later, from the event loop.
 * error is stolen and may be NULL.
 */
void plat_finish_call(struct plat_call *call, GError *error);

/*
 * Handles the failure of a watch. While the store is unavailable, only one
 * watch of the client, the prober, retries. Returns whether watch is the
 * prober; if not, plat_end_outage() restarts it.
 */
struct plat_watch;
bool plat_join_outage(struct plat_client *client, struct plat_watch *watch);

/* Ends an outage after a response to a watch: restarts the parked watches. */
void plat_end_outage(struct plat_client *client);

/*
 * Removes a paused or freed watch from an outage. If it was the prober, the
 * parked watches restart and one of them becomes the prober.
 */
void plat_leave_outage(struct plat_client *client, struct plat_watch *watch);

/* Restarts a watch that was parked until the end of an outage (watch.c). */
void plat_restart_watch(struct plat_watch *watch);

/* Return the client's random generator, timers and options (borrowed). */
GRand *plat_get_random(struct plat_client *client);
struct tmr_service *plat_get_timers(struct plat_client *client);
const struct plat_options *plat_get_options(const struct plat_client *client);

/* Returns when the store last answered a call and did not reject it. */
uint64_t plat_get_answered_ms(const struct plat_client *client);

/* eras.c: initializes the eras of a client. */
void plat_start_eras(struct plat_client *client);

/*
 * eras.c: handles the era of an answer before the call handles the answer,
 * which is discarded when it is of an older era.
 */
void plat_note_answer_era(struct plat_call *call, const struct hc_answer *http,
			  struct plat_answer *answer);

/*
 * eras.c: return whether the era has risen since the call was made, and whether
 * it has risen since its last answer, which is then worthless.
 */
bool plat_is_call_outdated(const struct plat_call *call);
bool plat_is_answer_outdated(const struct plat_call *call);

/* objects.c: replaces the result of an outdated answer by an error. */
void plat_fail_outdated(struct plat_call *call);

/* Makes a watch list next, after the era has risen (watch.c). */
void plat_forget_watch_state(struct plat_watch *watch);

/* Returns the eras of this client (borrowed). */
struct plat_eras *plat_get_eras(struct plat_client *client);

/* Returns the version floors of this client (borrowed). */
struct plat_floors *plat_get_floors(struct plat_client *client);

/* Returns the counter loom_platform_NAME (borrowed). */
struct cnt_counter *plat_get_counter(struct plat_client *client,
				     enum cnt_kind kind, const char *name,
				     const char *labels, const char *help);

/*
 * Sends one long poll for changes after revision, which waits at most wait_ms.
 * It is not retried. Errors: ERR_GONE if the store has no history since
 * revision, ERR_UNKNOWN_OUTCOME if only this connection was lost.
 */
struct plat_call *plat_poll_events(TALLOC_CTX *ctx, struct plat_client *client,
				   const char *prefix, uint64_t revision,
				   uint32_t wait_ms, plat_result_fn fn,
				   void *data);

#endif
