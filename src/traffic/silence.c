/*
 * Decision which calls a target does not answer.
 */
#include "silence.h"

#include <assert.h>
#include <glib.h>

/* Calls of one kind run for different times; few exceed this multiple. */
#define RUN_FACTOR 4U
/* An older report says nothing about the calls that are there now. */
#define REPORT_LIFE_MS 1000U
/*
 * A call that was just sent, or whose answer is on its way, is missing in a
 * report as well. Reports have to show too few calls for so long; a single one
 * says nothing.
 */
#define MISSING_MS 100U

void tr_clear_silence(struct tr_silence *silence)
{
	silence->answered_start_us = 0;
	silence->report_ms = 0;
	silence->missing_ms = 0;
	silence->own_call = TR_OWN_CALL_UNKNOWN;
}

void tr_record_head(struct tr_silence *silence, uint64_t started_us)
{
	silence->answered_start_us =
		MAX(silence->answered_start_us, started_us);
	assert(silence->in_flight > 0);
	silence->in_flight--;
}

void tr_record_presence(struct tr_silence *silence,
			const struct cap_report *report, uint64_t now_ms)
{
	uint64_t present = (uint64_t)report->running + report->waiting;

	if (silence->in_flight == 1 && present == 0)
		silence->own_call = TR_OWN_CALL_LEFT_OUT;
	else if (silence->own_call == TR_OWN_CALL_UNKNOWN &&
		 present >= silence->in_flight)
		silence->own_call = TR_OWN_CALL_COUNTED;
	if (silence->own_call != TR_OWN_CALL_COUNTED)
		present++;
	silence->report_ms = now_ms;
	if (present >= silence->in_flight)
		silence->missing_ms = 0;
	else if (silence->missing_ms == 0)
		silence->missing_ms = now_ms;
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
	return silence->missing_ms == 0 ||
	       silence->report_ms < silence->missing_ms + MISSING_MS;
}

bool tr_is_unanswered(const struct tr_silence *silence,
		      const struct tr_sent *sent, uint64_t now_ms)
{
	uint64_t overdue_ms = tr_get_overdue_ms(silence, sent);

	return overdue_ms > 0 && now_ms >= overdue_ms &&
	       silence->answered_start_us > sent->started_us &&
	       !is_shown_there(silence, now_ms);
}
