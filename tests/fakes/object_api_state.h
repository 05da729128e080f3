/*
 * State of the fake platform's server, shared by its calls, faults and
 * statistics. It is private to object_api.c and object_faults.c.
 */
#ifndef LOOM_FAKES_OBJECT_API_STATE_H
#define LOOM_FAKES_OBJECT_API_STATE_H

#include "bucket.h"
#include "loom/http.h"
#include "object_api.h"
#include "object_store.h"

enum call_kind {
	CALL_GET,
	CALL_LIST,
	CALL_PUT,
	CALL_DELETE,
	CALL_WATCH,
	CALL_UNKNOWN,
	CALL_KIND_COUNT,
};

enum pending_kind {
	PENDING_DELAYED, /* delayed by the fault delay_ms */
	PENDING_HANGING, /* held back by the fault outage */
	PENDING_WATCH,	 /* waits for events */
};

/* The faults that are set; object_api.h describes them. */
struct api_faults {
	bool is_unavailable;
	bool is_hanging;
	bool answers_watch_at_once;
	bool hides_history_gone;
	uint32_t delay_ms;
	uint32_t lose_answers;
	uint32_t drop_before;
	uint32_t refuse_rate;
	uint32_t stale_reads;
	uint32_t era;
	char *stale_from;
	char *only_from;
};

/* Rate limit of reads or writes, and the most of them in one second. */
struct rate {
	struct plat_bucket bucket;
	uint64_t second;	  /* current second of the timer clock */
	uint64_t calls;		  /* calls in the current second */
	uint64_t peak_per_second; /* reads include waiting watches */
};

struct api_server {
	struct tmr_service *timers;
	struct store *store;
	GPtrArray *web_servers; /* struct web_server */
	GList *pending;		/* struct pending */
	struct api_faults faults;
	struct rate reads;
	struct rate writes;
	uint64_t call_counts[CALL_KIND_COUNT];
	uint64_t waiting_watches;
	uint64_t refused; /* calls refused with status 429 */
	uint64_t failed_by_fault;
};

/* A call that is not answered yet. */
struct pending {
	struct api_server *server;
	struct web_request *request;
	enum pending_kind kind;
	struct tmr_subscription *timer;
};

/* Frees pending and returns its request (borrowed), which must be answered. */
struct web_request *api_take_pending(struct pending *pending);

#endif
