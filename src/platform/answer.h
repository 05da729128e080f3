/*
 * Responses of the object API: their parsed body and what the HTTP status or a
 * transport error means for the try.
 */
#ifndef LOOM_PLATFORM_ANSWER_H
#define LOOM_PLATFORM_ANSWER_H

#include "loom/http.h"
#include "loom/platform.h"

/* Outcome of one try of a call. */
enum plat_outcome {
	PLAT_DONE,
	PLAT_ABSENT,
	PLAT_CONFLICT,
	PLAT_HISTORY_GONE, /* the store has no history since the revision */
	PLAT_REJECTED,	   /* invalid request */
	PLAT_REFUSED,	   /* rate limited, without effect */
	PLAT_NOT_SENT,
	PLAT_LOST, /* no usable response: it may have taken effect */
	PLAT_OUTCOME_COUNT,
};

struct plat_answer {
	enum plat_outcome outcome;
	bool is_overload; /* rate limited, not reached or a 5xx status */
	struct plat_parsed_body parsed;
	json_t *root;
	bool is_borrowed; /* call->result or call->pages borrows from it */
};

/* Returns the name of an outcome, a label value of the counters (static). */
const char *plat_get_outcome_name(enum plat_outcome outcome);

/*
 * Parses the response to operation. Returns a new answer owned by ctx. A
 * successful response whose body the dialect cannot parse counts as PLAT_LOST.
 */
struct plat_answer *plat_parse_answer(TALLOC_CTX *ctx,
				      const struct plat_dialect *dialect,
				      const struct plat_operation *operation,
				      const struct hc_answer *http);

#endif
