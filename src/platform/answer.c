/*
 * Classification and parsing of responses. The parsed objects borrow their
 * strings and values from the JSON tree, which the answer owns.
 */
#include "answer.h"

#include "loom/error.h"
#include "loom/log.h"
#include "salvage.h"

static const char *const outcome_names[PLAT_OUTCOME_COUNT] = {
	"done",	    "absent",  "conflict", "history_gone",
	"rejected", "refused", "not_sent", "lost",
};

static int destroy_answer(struct plat_answer *answer)
{
	json_decref(answer->root);
	return 0;
}

static enum plat_outcome classify(const struct hc_answer *http)
{
	if (http->error)
		return http->error->code == ERR_UNAVAILABLE ? PLAT_NOT_SENT
							    : PLAT_LOST;
	if (http->status >= 200 && http->status < 300)
		return PLAT_DONE;
	switch (http->status) {
	case 404:
		return PLAT_ABSENT;
	case 409:
		return PLAT_CONFLICT;
	case 410:
		return PLAT_HISTORY_GONE;
	case 429:
		return PLAT_REFUSED;
	default:
		return http->status >= 400 && http->status < 500 ? PLAT_REJECTED
								 : PLAT_LOST;
	}
}

const char *plat_get_outcome_name(enum plat_outcome outcome)
{
	return outcome_names[outcome];
}

static void log_dropped(const struct plat_operation *operation,
			uint32_t dropped)
{
	char text[16];

	g_snprintf(text, sizeof(text), "%u", dropped);
	log_write(LOG_LEVEL_WARNING, "platform", "read objects", operation->key,
		  "objects cannot be read and are ignored", "count", text,
		  LOG_END);
}

struct plat_answer *plat_parse_answer(TALLOC_CTX *ctx,
				      const struct plat_dialect *dialect,
				      const struct plat_operation *operation,
				      const struct hc_answer *http)
{
	struct plat_answer *answer = talloc_zero(ctx, struct plat_answer);
	uint32_t dropped = 0;
	bool is_read = false;

	talloc_set_destructor(answer, destroy_answer);
	answer->outcome = classify(http);
	answer->is_overload = answer->outcome == PLAT_REFUSED ||
			      answer->outcome == PLAT_NOT_SENT ||
			      http->status >= 500;
	if (!http->body)
		return answer;
	answer->root = plat_parse_list(http->body, http->body_size, &dropped);
	if (dropped > 0)
		log_dropped(operation, dropped);
	if (answer->outcome == PLAT_CONFLICT || answer->outcome == PLAT_DONE)
		is_read = dialect->parse_body(answer, operation, answer->root,
					      &answer->parsed);
	if (answer->outcome == PLAT_DONE && !is_read)
		answer->outcome = PLAT_LOST;
	if (answer->outcome != PLAT_DONE)
		answer->parsed.object_count = 0;
	return answer;
}
