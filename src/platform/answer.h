/*
 * Answers of the object API, parsed and checked.
 */
#ifndef LOOM_PLATFORM_ANSWER_H
#define LOOM_PLATFORM_ANSWER_H

#include "loom/http.h"
#include "loom/platform.h"

/* What one try of a call came to. */
enum plat_outcome {
	PLAT_DONE,
	PLAT_ABSENT,
	PLAT_CONFLICT,
	PLAT_HISTORY_GONE,
	PLAT_REJECTED, /* the request itself is wrong */
	PLAT_REFUSED,  /* by the rate limit: it had no effect */
	PLAT_NOT_SENT,
	PLAT_LOST, /* whether it had an effect is not known */
	PLAT_OUTCOME_COUNT,
};

struct plat_answer {
	enum plat_outcome outcome;
	bool is_overload; /* refused, unreachable or out: no single accident */
	struct plat_reading reading;
	json_t *root;
	bool is_kept; /* the result of its call borrows from it */
};

/* Returns the label of an outcome for the counters. */
const char *plat_get_outcome_name(enum plat_outcome outcome);

/*
 * Returns a new answer owned by ctx to what was asked. A body that is not of
 * the dialect's form counts as a lost answer.
 */
struct plat_answer *plat_parse_answer(TALLOC_CTX *ctx,
				      const struct plat_dialect *dialect,
				      const struct plat_ask *ask,
				      const struct hc_answer *http);

#endif
