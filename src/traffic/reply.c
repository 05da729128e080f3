/*
 * Replies that the node itself generates: refusals and failures.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <jansson.h>
#include <xxhash.h>
#include "call.h"
#include "call_log.h"

/*
 * A node that has started gets its configuration within about this time; a
 * caller that comes back earlier would be refused again.
 */
#define NOT_READY_RETURN_MS 800U
/* With overload control; a caller that is back sooner finds the same load. */
#define RETURN_MIN_MS 50U

/* Returns after how many milliseconds the caller may come back. */
static uint32_t choose_return_ms(struct tr_call *call, bool is_not_run)
{
	const struct tr_answer *answer = &call->answer;
	struct tr_thread *thread = call->thread;
	uint32_t wait_ms;

	if (tr_is_controlled(call) && !thread->table)
		return NOT_READY_RETURN_MS;
	if (tr_is_return_expected(call, is_not_run))
		return tr_record_refusal(call);
	thread->random_state++;
	wait_ms =
		rt_choose_return_ms(answer->has_load ? &answer->load : NULL,
				    XXH3_64bits(&thread->random_state,
						sizeof(thread->random_state)));
	return tr_is_controlled(call) ? MAX(wait_ms, RETURN_MIN_MS) : wait_ms;
}

static void add_retry_after(struct tr_call *call, bool is_not_run)
{
	uint32_t wait_ms = choose_return_ms(call, is_not_run);
	char text[16];

	g_snprintf(text, sizeof(text), "%u.%03u", wait_ms / 1000,
		   wait_ms % 1000);
	hx_add_answer_header(call->exchange, MHD_HTTP_HEADER_RETRY_AFTER, text);
}

static void add_duration(struct tr_call *call, const char *name,
			 uint64_t duration_us)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, duration_us);
	hx_add_answer_header(call->exchange, name, text);
}

void tr_add_hop_headers(struct tr_call *call)
{
	struct rt_load load = { 0 };

	if (call->role != TR_ROLE_HOP)
		return;
	tr_get_local_load(call->thread, &load);
	tr_add_load(call->exchange, &load);
	add_duration(call, TR_HEADER_SPENT,
		     (tmr_get_now_ms(call->thread->timers) - call->begun_ms) *
			     1000);
	if (call->answer.head_us)
		add_duration(call, TR_HEADER_RUN,
			     call->answer.head_us - call->attempt_us);
}

void tr_refuse_call(struct tr_call *call, uint32_t status, const char *reason,
		    bool is_not_run)
{
	json_t *object;
	char *body;

	assert(!call->is_answer_begun);
	assert(!is_not_run || !call->is_run_possible);
	call->is_answer_begun = true;
	object = json_pack("{s:s,s:b}", "error", reason, "not_run",
			   (int)is_not_run);
	body = json_dumps(object, JSON_COMPACT);
	json_decref(object);
	hx_start_answer(call->exchange, status, (int64_t)strlen(body));
	hx_add_answer_header(call->exchange, MHD_HTTP_HEADER_CONTENT_TYPE,
			     "application/json");
	hx_add_answer_header(call->exchange, TR_HEADER_REFUSED, reason);
	if (is_not_run)
		hx_add_answer_header(call->exchange, TR_HEADER_NOT_RUN, "true");
	if (status == MHD_HTTP_SERVICE_UNAVAILABLE ||
	    (status == MHD_HTTP_TOO_MANY_REQUESTS && tr_is_controlled(call)))
		add_retry_after(call, is_not_run);
	tr_record_returned_failure(call);
	tr_add_hop_headers(call);
	hx_add_answer_body(call->exchange, body, strlen(body));
	hx_end_answer(call->exchange);
	free(body);
	tr_log_call(call, is_not_run ? "refuse" : "fail", reason);
	cnt_add(call->thread->service->counters.refusals[call->role], 1);
	call->stage = TR_STAGE_ENDED;
	tr_release_upload(call);
}
