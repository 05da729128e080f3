/*
 * Inside of the stand-in: its state, which the calls, the faults and the
 * statistics share.
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
	PENDING_DELAYED,
	PENDING_HANGING,
	PENDING_WATCH,
};

struct api_faults {
	bool is_out;
	bool is_hanging;
	bool is_hasty;
	bool is_never_gone;
	uint32_t delay_ms;
	uint32_t lose_answers;
	uint32_t drop_before;
	uint32_t refuse_rate;
	uint32_t stale_reads;
	char *stale_from;
	char *only_from;
};

struct rate {
	struct plat_bucket bucket;
	uint64_t second; /* to which calls belong */
	uint64_t calls;
	uint64_t peak_per_second;
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
	uint64_t refused;
	uint64_t failed_by_fault;
};

struct pending {
	struct api_server *server;
	struct web_request *request;
	enum pending_kind kind;
	struct tmr_subscription *timer;
};

/* Frees a record and returns its request, to be answered now. */
struct web_request *api_take_pending(struct pending *pending);

#endif
