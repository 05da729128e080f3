/*
 * Hop side of a call: admission to the local target.
 *
 * The gate identifies a call by its struct tr_call (the ticket). A call
 * occupies a slot of the gate from the start of the transfer to the target
 * until the transfer has ended or was cancelled.
 */
#include <assert.h>
#include <string.h>
#include "call.h"

static const char *get_service(const struct tr_call *call)
{
	return call->service ? call->service->name : call->service_name;
}

static void make_headers(struct tr_call *call)
{
	const struct tr_header_names *names =
		call->thread->service->options.names;
	uint64_t now_ms = tmr_get_now_ms(call->thread->timers);
	uint64_t left_ms =
		call->deadline_ms > now_ms ? call->deadline_ms - now_ms : 0;
	struct curl_slist *list = NULL;

	curl_slist_free_all(call->headers);
	list = tr_copy_headers(list, call->exchange, names);
	list = tr_append_number(list, names->deadline, left_ms);
	list = tr_append_number(list, TR_HEADER_DEPTH, call->depth + 1);
	if (*call->thread->target_instance)
		list = tr_append_header(list, names->instance,
					call->thread->target_instance);
	if (*call->caller)
		list = tr_append_header(list, names->caller, call->caller);
	call->headers = list;
}

static void start_admitted_call(struct tr_call *call)
{
	call->has_slot = true;
	make_headers(call);
	tr_start_attempt(call, call->thread->target_loop,
			 call->thread->target_url);
}

/* Returns a new copy of a request header, "" when it is absent. */
static char *copy_header(const struct tr_call *call, const char *name)
{
	const char *value = hx_get_header(call->exchange, name);

	return g_strdup(value ? value : "");
}

static void read_hop_headers(struct tr_call *call)
{
	uint64_t timeout_ms = 0;
	uint64_t depth = 0;
	uint64_t objective_ms = 0;
	uint64_t priority = 0;

	tr_read_number(call->exchange, TR_HEADER_DEADLINE, UINT32_MAX,
		       &timeout_ms);
	tr_read_number(call->exchange, TR_HEADER_DEPTH, TR_DEPTH_MAX, &depth);
	call->deadline_ms = tmr_get_now_ms(call->thread->timers) + timeout_ms;
	call->depth = (uint32_t)depth;
	if (tr_read_number(call->exchange, TR_HEADER_OBJECTIVE, UINT32_MAX,
			   &objective_ms))
		call->objective_ms =
			tmr_get_now_ms(call->thread->timers) + objective_ms;
	tr_read_number(call->exchange, TR_HEADER_PRIORITY, UINT32_MAX,
		       &priority);
	call->priority = (uint32_t)priority;
	call->service_name = copy_header(call, TR_HEADER_SERVICE);
	call->version = copy_header(call, TR_HEADER_VERSION);
	call->caller = copy_header(call, TR_HEADER_CALLER);
}

/* Stores the load of the gate as if an answer had carried it. */
static void copy_gate_load(struct tr_call *call)
{
	adm_get_load(call->thread->gate, &call->answer.load);
	call->answer.has_load = true;
}

/* Ends a call that the gate did not admit; the target received nothing. */
static void end_refused_admission(struct tr_call *call,
				  enum adm_refusal refusal)
{
	const char *reason = adm_get_refusal_name(refusal);

	if (!call->is_local) {
		tr_refuse_call(call, MHD_HTTP_SERVICE_UNAVAILABLE, reason,
			       true);
		return;
	}
	call->answer.status = MHD_HTTP_SERVICE_UNAVAILABLE;
	call->answer.is_not_run = true;
	call->answer.is_unsent = true;
	call->answer.refused = g_strdup(reason);
	copy_gate_load(call);
	tr_end_refused_attempt(call);
}

static void request_admission(struct tr_call *call, const char *version)
{
	struct tr_thread *thread = call->thread;
	enum adm_refusal refusal = ADM_REFUSAL_NONE;
	struct adm_call asked = {
		.service = get_service(call),
		.version = version,
		.ticket = call,
		.deadline_ms = call->deadline_ms,
		.objective_ms = call->objective_ms,
		.priority = call->priority,
	};

	switch (adm_admit(thread->gate, &asked, tmr_get_now_ms(thread->timers),
			  &refusal)) {
	case ADM_VERDICT_RUN:
		start_admitted_call(call);
		break;
	case ADM_VERDICT_WAIT:
		call->stage = TR_STAGE_WAITING;
		/* A queued call of lower priority may have been displaced. */
		tr_process_waiting_calls(thread);
		break;
	case ADM_VERDICT_REFUSE:
		end_refused_admission(call, refusal);
		break;
	}
}

void tr_admit_call(struct tr_call *call)
{
	read_hop_headers(call);
	/* Without a table the limits of the target are not known. */
	if (!call->thread->table) {
		tr_refuse_call(call, MHD_HTTP_SERVICE_UNAVAILABLE, "not_ready",
			       true);
		return;
	}
	call->table = rt_ref_table(call->thread->table);
	call->service = doc_find_service(rt_get_snapshot(call->table),
					 call->service_name);
	if (tr_is_body_over_limit(call)) {
		tr_refuse_call(call, MHD_HTTP_CONTENT_TOO_LARGE,
			       "body_too_large", true);
		return;
	}
	if (tr_is_body_short(call))
		call->stage = TR_STAGE_COLLECTING;
	else
		request_admission(call, call->version);
}

void tr_admit_collected_call(struct tr_call *call)
{
	request_admission(call, call->version);
}

void tr_admit_local_call(struct tr_call *call)
{
	tr_reset_answer(&call->answer);
	cnt_add(call->thread->service->counters.local_calls, 1);
	call->attempt_us = tr_get_now_us();
	call->send_count = 0;
	request_admission(call, call->chosen->release);
}

void tr_process_waiting_calls(struct tr_thread *thread)
{
	uint64_t now_ms = tmr_get_now_ms(thread->timers);
	struct tr_call *call;

	while ((call = adm_take_expired(thread->gate, now_ms)))
		end_refused_admission(call,
				      adm_get_waiting_refusal(thread->gate));
	while ((call = adm_take_ready(thread->gate, now_ms)))
		start_admitted_call(call);
}

void tr_release_slot(struct tr_call *call, enum adm_outcome outcome)
{
	struct tr_thread *thread = call->thread;
	uint64_t end_us =
		call->answer.head_us ? call->answer.head_us : tr_get_now_us();

	if (!call->has_slot)
		return;
	call->has_slot = false;
	adm_finish(thread->gate, outcome, call->attempt_us / 1000,
		   (uint32_t)(end_us - call->attempt_us),
		   tmr_get_now_ms(thread->timers));
	tr_process_waiting_calls(thread);
}

/* Closes the gate until the next heartbeat if the target does not listen. */
static void handle_connect_failure(struct tr_call *call, CURLcode code)
{
	if (code == CURLE_COULDNT_CONNECT)
		adm_mark_unreachable(call->thread->gate);
}

static enum adm_outcome get_outcome(const struct tr_call *call, CURLcode code)
{
	if (code != CURLE_OK)
		return ADM_OUTCOME_CONNECTION_ERROR;
	if (call->answer.is_not_run)
		return ADM_OUTCOME_SHED;
	if (call->answer.status >= MHD_HTTP_INTERNAL_SERVER_ERROR)
		return ADM_OUTCOME_ERROR;
	return ADM_OUTCOME_GOOD;
}

void tr_end_hop_attempt(struct tr_call *call, CURLcode code)
{
	bool is_not_run = call->send_count == 0;

	handle_connect_failure(call, code);
	if (call->answer.head_us && code != CURLE_OK)
		cnt_add(call->thread->service->counters.broken[call->role], 1);
	if (call->stage == TR_STAGE_SENDING && code == CURLE_OK)
		tr_relay_buffered_answer(call);
	if (call->stage == TR_STAGE_RELAYING) {
		call->answer.is_whole = code == CURLE_OK;
		call->answer.is_broken = code != CURLE_OK;
		tr_end_relayed_answer(call);
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

/* Fills the answer of a failed transfer as the node of a target would reply. */
static void set_failure_answer(struct tr_call *call)
{
	struct tr_answer *answer = &call->answer;

	answer->is_not_run = call->send_count == 0;
	answer->is_unsent = answer->is_not_run;
	g_free(answer->refused);
	answer->refused = g_strdup(answer->is_not_run ? "target_unreachable"
						      : "connection_lost");
	answer->status = answer->is_not_run ? MHD_HTTP_SERVICE_UNAVAILABLE
					    : MHD_HTTP_BAD_GATEWAY;
}

void tr_end_local_attempt(struct tr_call *call, CURLcode code)
{
	enum adm_outcome outcome = get_outcome(call, code);

	handle_connect_failure(call, code);
	if (code != CURLE_OK && call->stage != TR_STAGE_RELAYING)
		set_failure_answer(call);
	tr_release_slot(call, outcome);
	copy_gate_load(call);
	tr_end_entry_attempt(call, code);
}
