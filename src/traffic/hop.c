/*
 * Hop side of a call: admission to the local target.
 *
 * The gate's ticket is the call. A slot is held from the start of the transfer
 * to the target until it ends, whatever becomes of the caller.
 */
#include <assert.h>
#include <string.h>
#include "call.h"

static void make_headers(struct tr_call *call)
{
	uint64_t now_ms = tmr_get_now_ms(call->thread->timers);
	uint64_t left_ms =
		call->deadline_ms > now_ms ? call->deadline_ms - now_ms : 0;
	const char *host = MHD_lookup_connection_value(
		call->mhd, MHD_HEADER_KIND, MHD_HTTP_HEADER_HOST);
	struct curl_slist *list = NULL;

	list = tr_append_header(list, MHD_HTTP_HEADER_HOST, host ? host : "");
	list = tr_copy_headers(list, call->mhd);
	list = tr_append_number(list, TR_HEADER_DEADLINE, left_ms);
	list = tr_append_number(list, TR_HEADER_DEPTH, call->depth + 1);
	call->headers = list;
}

static void run_call(struct tr_call *call)
{
	call->is_held = true;
	make_headers(call);
	tr_start_attempt(call, call->thread->target, call->thread->target_url);
}

static void read_hop_headers(struct tr_call *call)
{
	uint64_t timeout_ms = 0;
	uint64_t depth = 0;

	tr_read_number(call->mhd, TR_HEADER_DEADLINE, UINT32_MAX, &timeout_ms);
	tr_read_number(call->mhd, TR_HEADER_DEPTH, TR_DEPTH_MAX, &depth);
	call->deadline_ms = tmr_get_now_ms(call->thread->timers) + timeout_ms;
	call->depth = (uint32_t)depth;
	call->version = g_strdup(MHD_lookup_connection_value(
		call->mhd, MHD_HEADER_KIND, TR_HEADER_VERSION));
}

void tr_admit_call(struct tr_call *call)
{
	struct tr_thread *thread = call->thread;
	const char *service = MHD_lookup_connection_value(
		call->mhd, MHD_HEADER_KIND, MHD_HTTP_HEADER_HOST);
	enum adm_refusal refusal = ADM_REFUSAL_NONE;

	read_hop_headers(call);
	switch (adm_admit(thread->gate, service ? service : "",
			  call->version ? call->version : "", call,
			  tmr_get_now_ms(thread->timers), call->deadline_ms,
			  &refusal)) {
	case ADM_VERDICT_RUN:
		run_call(call);
		break;
	case ADM_VERDICT_WAIT:
		call->stage = TR_STAGE_WAITING;
		break;
	case ADM_VERDICT_REFUSE:
		tr_refuse_call(call, MHD_HTTP_SERVICE_UNAVAILABLE,
			       adm_get_refusal_name(refusal), true);
		break;
	}
}

void tr_run_waiting(struct tr_thread *thread)
{
	uint64_t now_ms = tmr_get_now_ms(thread->timers);
	struct tr_call *call;

	while ((call = adm_take_expired(thread->gate, now_ms)))
		tr_refuse_call(call, MHD_HTTP_SERVICE_UNAVAILABLE,
			       adm_get_refusal_name(
				       adm_get_waiting_refusal(thread->gate)),
			       true);
	while ((call = adm_take_ready(thread->gate, now_ms)))
		run_call(call);
}

void tr_release_slot(struct tr_call *call, enum adm_outcome outcome)
{
	struct tr_thread *thread = call->thread;
	uint64_t end_us =
		call->answer.head_us ? call->answer.head_us : tr_get_now_us();

	if (!call->is_held)
		return;
	call->is_held = false;
	adm_finish(thread->gate, outcome, call->attempt_us / 1000,
		   (uint32_t)(end_us - call->attempt_us),
		   tmr_get_now_ms(thread->timers));
	tr_run_waiting(thread);
}

static enum adm_outcome get_outcome(const struct tr_call *call, CURLcode code)
{
	if (code != CURLE_OK)
		return ADM_OUTCOME_BROKEN;
	if (call->answer.is_not_run)
		return ADM_OUTCOME_SHED;
	if (call->answer.status >= MHD_HTTP_INTERNAL_SERVER_ERROR)
		return ADM_OUTCOME_ERROR;
	return ADM_OUTCOME_GOOD;
}

void tr_end_hop_attempt(struct tr_call *call, CURLcode code)
{
	bool is_not_run = call->send_count == 0;

	if (call->stage == TR_STAGE_RELAYING) {
		call->answer.is_whole = code == CURLE_OK;
		call->answer.is_broken = code != CURLE_OK;
		if (code != CURLE_OK)
			cnt_add(call->thread->service->counters
					.broken[call->role],
				1);
		call->stage = TR_STAGE_ENDED;
		tr_resume_call(call);
	} else {
		call->is_run_possible = !is_not_run;
		tr_refuse_call(call,
			       is_not_run ? MHD_HTTP_SERVICE_UNAVAILABLE
					  : MHD_HTTP_BAD_GATEWAY,
			       is_not_run ? "target_unreachable"
					  : "connection_lost",
			       is_not_run);
	}
	tr_release_slot(call, get_outcome(call, code));
}
