/*
 * Log lines on the steps of a move.
 */
#include "move_log.h"

#include <inttypes.h>
#include "loom/log.h"

#define NUMBER_SIZE 12U
#define CALLS_SIZE 32U

struct number {
	char text[NUMBER_SIZE];
};

static struct number format_number(uint32_t value)
{
	struct number number;

	g_snprintf(number.text, sizeof(number.text), "%" PRIu32, value);
	return number;
}

void nd_log_move(const struct nd_move_event *event, struct mv_ramp *ramp,
		 uint64_t now_ms)
{
	struct mv_ramp_progress progress;
	struct mv_ramp_calls calls;
	char new_failed[CALLS_SIZE];
	char old_failed[CALLS_SIZE];

	mv_get_ramp_progress(ramp, now_ms, &progress);
	mv_get_ramp_calls(ramp, event->counted_step, &calls);
	g_snprintf(new_failed, sizeof(new_failed), "%" PRIu32 " of %" PRIu32,
		   calls.new_failed, calls.new_calls);
	g_snprintf(old_failed, sizeof(old_failed), "%" PRIu32 " of %" PRIu32,
		   calls.old_failed, calls.old_calls);
	log_write(LOG_LEVEL_INFO, "node", "evaluate move", NULL, event->message,
		  "service", event->service, "rank",
		  format_number(event->rank).text, "ramp_step",
		  format_number(progress.step).text, "age_ms",
		  format_number(progress.age_ms).text, "step_age_ms",
		  format_number(progress.step_age_ms).text, "share_permille",
		  format_number(event->share_permille).text, "counted_step",
		  format_number(event->counted_step).text, "new_failed",
		  new_failed, "old_failed", old_failed, LOG_END);
}
