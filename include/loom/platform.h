/*
 * Client of the platform's object store: get, list, conditional put and delete,
 * watch with resume, and leases. All calls are asynchronous on one tevent loop
 * over a libcurl multi handle; every callback runs exactly once per call.
 *
 * A dialect translates operations into HTTP requests and parses the responses.
 * The native dialect, served by the test server tests/fakes/fakeplatform:
 *   GET    /objects/KEY                     200 {key,version,revision,value}
 *   GET    /objects?prefix=P                200 {revision,objects:[...]}
 *   PUT    /objects/KEY  If-Match: VERSION  200 {version,revision}, 409
 *          ("0": create, must be absent)        {version} of the current object
 *   DELETE /objects/KEY  If-Match: VERSION  200, 404, 409
 *   GET    /watch?prefix=P&since=R&wait_ms=N
 *                                           200 {revision,events:[...]}, 410
 *          an event is {type:"put"|"delete",key,version,revision,value}
 * 429 means rate limited, 503 means that the store is unavailable. The version
 * of an object increases by one with each write of the object; the revision of
 * the store increases by one with each write of any object.
 */
#ifndef LOOM_PLATFORM_H
#define LOOM_PLATFORM_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>
#include <jansson.h>
#include <talloc.h>
#include <tevent.h>
#include "loom/counter.h"
#include "loom/era.h"
#include "loom/timer.h"

struct plat_client;
struct plat_call;
struct plat_watch;

enum plat_call_kind {
	PLAT_CALL_GET,
	PLAT_CALL_LIST,
	PLAT_CALL_PUT,
	PLAT_CALL_PUT_STATUS,
	PLAT_CALL_DELETE,
	PLAT_CALL_WATCH,
	PLAT_CALL_KIND_COUNT,
};

/* One operation on the object store; all strings are borrowed. */
struct plat_operation {
	enum plat_call_kind kind;
	const char *key;   /* the prefix for a list or a watch */
	const char *after; /* list: starts after this key; or NULL */
	uint64_t revision; /* watch: return changes after this revision */
	uint32_t wait_ms;  /* watch: time limit of the long poll */
	bool may_be_stale; /* list: an older state will do, if it is cheaper */
	uint64_t expected_version; /* for writes; 0: object absent */
	const json_t *value;	   /* for put and put status */
};

/*
 * The HTTP request for an operation. Strings are string literals or owned by
 * the ctx that the request was made on.
 */
struct plat_http_request {
	const char *method;
	const char *path;   /* path with the query string */
	const char *header; /* "Name: value", or NULL */
	const char *body;   /* NULL: none */
};

struct plat_object {
	const char *key;
	uint64_t version;
	uint64_t revision;
	bool is_deleted;  /* set in events only */
	bool is_older;	  /* a newer version was read before */
	json_t *value;	  /* borrowed */
	json_t *status;	  /* borrowed; NULL if the dialect has no status */
	uint64_t created; /* revision of its creation; 0: unknown */
};

/* The parsed body of a successful response or of a conflict. */
struct plat_parsed_body {
	struct plat_object *objects; /* strings are borrowed from the JSON */
	size_t object_count;
	uint64_t version;  /* version of the written or conflicting object */
	uint64_t revision; /* store revision */
	bool has_more;	   /* the list has further pages */
};

struct plat_dialect {
	/* Fills message; its strings are allocated on ctx. */
	void (*make_http_request)(TALLOC_CTX *ctx,
				  const struct plat_operation *ask,
				  struct plat_http_request *message);
	/*
	 * Fills reading, with objects allocated on ctx. Returns false if the
	 * body does not have the form that this dialect expects.
	 */
	bool (*parse_body)(TALLOC_CTX *ctx, const struct plat_operation *ask,
			   json_t *root, struct plat_parsed_body *reading);
	/*
	 * Name of the header of all answers that holds the era of the store;
	 * NULL: the store has no eras.
	 */
	const char *era_header;
};

/* The native dialect, described at the top of this file. */
extern const struct plat_dialect plat_native_dialect;

struct plat_options {
	const char *base_url; /* "http://127.0.0.1:9000" */
	uint32_t timeout_ms;
	uint32_t calls_per_second; /* rate of the client's token bucket */
	uint32_t burst_calls;
	uint32_t retry_wait_ms_max; /* backoff cap, with full jitter */
	/*
	 * Interval between the lists of a watch while events arrive in quick
	 * succession; a list skips the states that were replaced in between.
	 * 0: the watch always follows every event.
	 */
	uint32_t busy_list_interval_ms;
	/*
	 * A watch lists instead of resuming after its connection was cut. Set
	 * for a store that may drop its history without reporting that to a
	 * waiting watch.
	 */
	bool must_list_after_cut;
	uint32_t start_jitter_ms; /* wait limit before a watch's first list */
	uint32_t first_poll_delay_ms; /* wait between the first list and the
					 first poll */
	const struct plat_dialect *dialect;
	uint64_t seed; /* jitter seed; must differ between processes */
};

/* Fills options with default values and a random seed; base_url is borrowed. */
void plat_set_default_options(struct plat_options *options,
			      const char *base_url);

/* Returns a new client owned by ctx, or NULL with *error set. */
struct plat_client *
plat_new_client(TALLOC_CTX *ctx, struct tevent_context *events,
		struct tmr_service *timers, struct cnt_registry *counters,
		const struct plat_options *options, GError **error);

/* Returns the highest era seen of the store; 0: none. */
uint64_t plat_get_era(const struct plat_client *client);
bool plat_is_era_known(const struct plat_client *client);

/*
 * Called when the era has risen: the store has returned from an older copy.
 * Versions and revisions read before must not be used any more, and what was
 * written before may be lost. fn must not free calls, watches or leases of the
 * client. Calls that end later never return a version of an older era: reads
 * fail with ERR_GONE, writes with ERR_GONE or ERR_UNKNOWN_OUTCOME.
 */
typedef void (*plat_era_fn)(uint64_t era, void *data);

/* Returns a new subscription owned by ctx, to be freed before the client. */
struct plat_era_subscription *plat_subscribe_era(TALLOC_CTX *ctx,
						 struct plat_client *client,
						 plat_era_fn fn, void *data);

/* Result of a call; it is valid only until the callback returns. */
struct plat_result {
	const GError *error; /* NULL: the call succeeded */
	const struct plat_object *objects;
	size_t object_count;
	uint64_t version;     /* version of the written or conflicting object */
	uint64_t revision;    /* store revision */
	uint64_t era;	      /* of the answer; 0: the store has none */
	uint32_t retry_count; /* tries before the last one, which failed */
};

typedef void (*plat_result_fn)(const struct plat_result *result, void *data);

/*
 * Reads one object; ERR_NOT_FOUND if it is absent. Until timeout_ms is over,
 * retries when the store is unavailable or returns a version older than one
 * that this client read before. If versions are still older at the time limit,
 * fails with ERR_GONE: the store was restored to an older state, which the next
 * read accepts. Returns a new call owned by ctx; talloc_free() cancels it.
 */
struct plat_call *plat_get_object(TALLOC_CTX *ctx, struct plat_client *client,
				  const char *key, plat_result_fn fn,
				  void *data);

/*
 * Reads all objects whose key begins with prefix. Retries and ERR_GONE as for
 * plat_get_object().
 */
struct plat_call *plat_list_objects(TALLOC_CTX *ctx, struct plat_client *client,
				    const char *prefix, plat_result_fn fn,
				    void *data);

/*
 * As plat_list_objects(), but the state may be seconds old. Nothing is learned
 * from it about versions. A dialect without such reads makes a usual list.
 */
struct plat_call *plat_list_stale_objects(TALLOC_CTX *ctx,
					  struct plat_client *client,
					  const char *prefix, plat_result_fn fn,
					  void *data);

/*
 * Writes an object if its current version is expected_version (0: absent).
 * value must be an object with a "write_id" unique to this write: if the
 * response is lost, the client reads the object back and compares the id before
 * it reports a result. With ERR_CONFLICT the result holds the current version;
 * ERR_UNKNOWN_OUTCOME means that reading back did not show whether the write
 * took effect.
 */
struct plat_call *plat_put_object(TALLOC_CTX *ctx, struct plat_client *client,
				  const char *key, json_t *value,
				  uint64_t expected_version, plat_result_fn fn,
				  void *data);

/*
 * Writes the status part of an object if its current version is
 * expected_version, with the same results as plat_put_object(). No write_id is
 * needed: after a lost response the whole status is compared with value.
 */
struct plat_call *plat_put_status(TALLOC_CTX *ctx, struct plat_client *client,
				  const char *key, json_t *value,
				  uint64_t expected_version, plat_result_fn fn,
				  void *data);

/* Deletes an object if its current version is expected_version. */
struct plat_call *plat_delete_object(TALLOC_CTX *ctx,
				     struct plat_client *client,
				     const char *key, uint64_t expected_version,
				     plat_result_fn fn, void *data);

enum plat_watch_kind {
	PLAT_WATCH_LISTED,	/* objects are all objects of the prefix */
	PLAT_WATCH_CHANGED,	/* objects are events, in order */
	PLAT_WATCH_ROLLED_BACK, /* the store was restored to an older state */
	PLAT_WATCH_FAILED,	/* error is set; the watch retries */
};

typedef void (*plat_watch_fn)(enum plat_watch_kind kind,
			      const struct plat_result *result, void *data);

/*
 * Watches a prefix: lists it, then follows changes from that revision. After a
 * failure it resumes from the last revision, or lists again if the store no
 * longer has the history since then. Returns a new watch owned by ctx, to be
 * freed before its client; talloc_free() ends it.
 */
struct plat_watch *plat_watch_prefix(TALLOC_CTX *ctx,
				     struct plat_client *client,
				     const char *prefix, plat_watch_fn fn,
				     void *data);

/*
 * Pauses the watch: it sends no requests until it is resumed. A resumed watch
 * lists first.
 */
void plat_pause_watch(struct plat_watch *watch);
void plat_resume_watch(struct plat_watch *watch);

/*
 * Makes a watch that is polling list now. For callers that were informed
 * of a newer state in the store.
 */
void plat_relist_watch(struct plat_watch *watch);

struct plat_probe;

/* Called when the store has become silent, and when it answers again. */
typedef void (*plat_probe_fn)(bool is_answering, void *data);

/*
 * Probes whether the store answers this client, also while only long polls are
 * pending. A silent store is detected within 1.1 s. prefix is read for that; it
 * should have few objects. The probe is stopped at first, and takes the store
 * for answering when it is started. Returns a new probe owned by ctx, to be
 * freed before its client.
 */
struct plat_probe *plat_new_probe(TALLOC_CTX *ctx, struct plat_client *client,
				  const char *prefix, plat_probe_fn fn,
				  void *data);
void plat_start_probe(struct plat_probe *probe);
void plat_stop_probe(struct plat_probe *probe);

struct plat_lease;

#define PLAT_LEASE_DURATION_MS_MIN 30U

typedef void (*plat_lease_fn)(bool is_held, uint64_t fencing_version,
			      void *data);

/*
 * Competes for the lease object key on behalf of holder. A tenure is the time
 * from acquiring the lease to losing it. fn is called at each change; by the
 * local clock, is_held becomes false before another process can take the lease,
 * even while the platform is unavailable. fencing_version is the object version
 * with which the current tenure began (0: not held) and increases from tenure
 * to tenure. holder must be unique to the process; duration_ms is at least
 * PLAT_LEASE_DURATION_MS_MIN. Returns a new lease owned by ctx, to be freed
 * before its client; talloc_free() releases it.
 */
struct plat_lease *plat_compete_for_lease(TALLOC_CTX *ctx,
					  struct plat_client *client,
					  const char *key, const char *holder,
					  uint32_t duration_ms,
					  plat_lease_fn fn, void *data);

/*
 * Returns whether the lease is held at this moment. A holder must check this
 * before each action that the lease protects: after a pause of the process the
 * lease may be lost although fn has not been called yet.
 */
bool plat_is_lease_held(const struct plat_lease *lease);

/* Returns the fencing version of the current tenure; 0: not held. */
uint64_t plat_get_fencing_version(const struct plat_lease *lease);

/*
 * Returns a new unique write id owned by ctx, made of holder, the wall-clock
 * time in milliseconds, a count and a random number.
 */
char *plat_make_write_id(TALLOC_CTX *ctx, struct plat_client *client,
			 const char *holder);

#endif
