/*
 * Decision which calls a target does not answer.
 */
#include "silence.h"

#include <glib.h>

/* Calls of one kind run for different times; few exceed this multiple. */
#define RUN_FACTOR 4U
/* An older report says nothing about the calls that are there now. */
#define REPORT_LIFE_MS 1000U
/*
 * A call that was just sent, or whose answer is on its way, is missing in a
 * report as well. Reports have to show too few calls for so long.
 */
#define MISSING_MS 100U

void tr_clear_silence(struct tr_silence *silence)
{
	silence->answered_start_us = 0;
	silence->report_ms = 0;
	silence->all_there_ms = 0;
	silence->is_own_call_left_out = false;
}

void tr_record_head(struct tr_silence *silence, uint64_t started_us)
{
	silence->answered_start_us =
		MAX(silence->answered_start_us, started_us);
}

void tr_record_presence(struct tr_silence *silence,
			const struct cap_report *report, uint64_t now_ms)
{
	uint64_t present = (uint64_t)report->running + report->waiting;

	if (silence->in_flight == 1 && present == 0)
		silence->is_own_call_left_out = true;
	silence->report_ms = now_ms;
	if (present + silence->is_own_call_left_out >= silence->in_flight)
		silence->all_there_ms = now_ms;
}

uint64_t tr_get_overdue_ms(const struct tr_silence *silence,
			   const struct tr_sent *sent)
{
	uint64_t expected_us = (uint64_t)sent->wait_us + sent->run_us +
			       (uint64_t)silence->silence_ms * 1000;

	if (silence->silence_ms == 0 || sent->run_us == 0)
		return 0;
	expected_us = MAX(expected_us, (uint64_t)RUN_FACTOR * sent->run_us);
	return (sent->started_us + expected_us) / 1000 + 1;
}

/* Returns whether fresh reports show as many calls as the target was sent. */
static bool is_shown_there(const struct tr_silence *silence, uint64_t now_ms)
{
	if (silence->report_ms == 0 ||
	    now_ms >= silence->report_ms + REPORT_LIFE_MS)
		return false;
	return now_ms < silence->all_there_ms + MISSING_MS ||
	       silence->all_there_ms == silence->report_ms;
}

bool tr_is_unanswered(const struct tr_silence *silence,
		      const struct tr_sent *sent, uint64_t now_ms)
{
	uint64_t overdue_ms = tr_get_overdue_ms(silence, sent);

	return overdue_ms > 0 && now_ms >= overdue_ms &&
	       silence->answered_start_us > sent->started_us &&
	       !is_shown_there(silence, now_ms);
}
