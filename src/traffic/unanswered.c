/*
 * Ends calls that the local target does not answer; silence.c decides which.
 *
 * The caller of a repeatable call gets another attempt by its entry node, any
 * other caller a 504. The call counts as run, since nothing proves that it was
 * not. The connection is closed, as the target answers nothing more on it.
 */
#include <string.h>
#include "call.h"

/* Time between two decisions about a call whose answer is overdue. */
#define CHECK_MS 50U

static void check_answer(uint64_t now_ms, void *data);

static void schedule_check(struct tr_call *call, uint64_t check_ms)
{
	struct tmr_service *timers = call->thread->timers;
	uint64_t now_ms = tmr_get_now_ms(timers);
	uint64_t delay_ms = check_ms > now_ms ? check_ms - now_ms : 0;

	if (check_ms >= call->deadline_ms)
		return;
	call->silence_check = tmr_subscribe_once(
		timers, timers, (uint32_t)delay_ms, check_answer, call);
}

/* The expected run time follows the present speed of the target. */
static void update_run_time(struct tr_call *call, uint64_t now_ms)
{
	struct adm_expectation expected =
		adm_expect_run(call->thread->gate, tr_get_kind(call), now_ms);

	call->sent.run_us = MAX(call->sent.run_us, expected.run_us);
}

static void end_unanswered_call(struct tr_call *call)
{
	tr_stop_attempt(call);
	tr_reset_answer(&call->answer);
	call->is_run_possible = true;
	cnt_add(call->thread->service->counters.unanswered, 1);
	tr_keep_slot(call, call->sent.run_us);
	if (!call->is_local) {
		tr_refuse_call(call, MHD_HTTP_GATEWAY_TIMEOUT,
			       TR_REASON_UNANSWERED, false);
		return;
	}
	call->answer.status = MHD_HTTP_GATEWAY_TIMEOUT;
	call->answer.refused = g_strdup(TR_REASON_UNANSWERED);
	adm_get_load(call->thread->gate, &call->answer.load);
	call->answer.has_load = true;
	tr_end_refused_attempt(call);
}

static void check_answer(uint64_t now_ms, void *data)
{
	struct tr_call *call = data;
	const struct tr_silence *silence = &call->thread->silence;

	call->silence_check = NULL;
	if (call->answer.head_us)
		return;
	update_run_time(call, now_ms);
	if (call->send_count > 0 &&
	    tr_is_unanswered(silence, &call->sent, now_ms)) {
		end_unanswered_call(call);
		return;
	}
	schedule_check(call, MAX(tr_get_overdue_ms(silence, &call->sent),
				 now_ms + CHECK_MS));
}

void tr_watch_answer(struct tr_call *call)
{
	struct tr_silence *silence = &call->thread->silence;
	struct adm_expectation expected;
	uint64_t overdue_ms;

	silence->in_flight++;
	call->is_awaited = true;
	/* How long a caller takes to send a long body is not known. */
	if (call->upload.has_body && !call->upload.is_whole)
		return;
	expected = adm_expect_run(call->thread->gate, tr_get_kind(call),
				  tmr_get_now_ms(call->thread->timers));
	call->sent = (struct tr_sent){
		.started_us = call->attempt_us,
		.wait_us = expected.wait_us,
		.run_us = expected.run_us,
	};
	overdue_ms = tr_get_overdue_ms(silence, &call->sent);
	if (overdue_ms > 0)
		schedule_check(call, overdue_ms);
}

void tr_unwatch_answer(struct tr_call *call)
{
	if (call->is_awaited)
		call->thread->silence.in_flight--;
	call->is_awaited = false;
	TALLOC_FREE(call->silence_check);
}

void tr_record_answer_head(struct tr_call *call)
{
	if (!call->is_awaited)
		return;
	call->is_awaited = false;
	/* A target that sheds calls may be slow with those it has. */
	tr_record_head(&call->thread->silence,
		       call->answer.is_not_run ? 0 : call->attempt_us);
}
