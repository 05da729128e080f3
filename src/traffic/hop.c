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
#include "call_log.h"

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

static const char *get_request_id(const struct tr_call *call)
{
	const char *id =
		hx_get_header(call->exchange,
			      call->thread->service->options.names->request_id);

	return id ? id : "";
}

const char *tr_get_kind(const struct tr_call *call)
{
	return call->route ? call->route->name : call->kind;
}

/* Returns the mean size of the answers of the call's kind, 0 if it is short. */
static uint64_t get_large_bytes(const struct tr_call *call)
{
	const char *kind = tr_get_kind(call);
	uint64_t bytes =
		kind ? rt_get_answer_size(call->thread->hop_answer_sizes, kind)
		     : 0;

	return bytes >= RT_BULKY_BYTES ? bytes : 0;
}

/*
 * Returns how long the answer waits for the link: behind those that are being
 * sent and those of the calls that the target is running.
 */
static uint32_t estimate_send_us(const struct tr_call *call)
{
	const struct tr_thread *thread = call->thread;
	uint64_t bytes = get_large_bytes(call);

	if (bytes == 0 || !thread->pacing)
		return 0;
	/* Its own time twice: it also passes the link of the entry node. */
	return (uint32_t)MIN(hx_get_backlog_us(thread->pacing,
					       tr_get_due_ms(call),
					       2 * bytes + thread->large_bytes),
			     UINT32_MAX);
}

static void start_admitted_call(struct tr_call *call)
{
	struct cnt_histogram *waits =
		call->thread->service->counters.gate_waits[call->class];

	if (waits)
		cnt_observe(waits, tr_get_now_us() - call->asked_us);
	call->has_slot = true;
	call->large_bytes = get_large_bytes(call);
	call->thread->large_bytes += call->large_bytes;
	if (*get_request_id(call))
		g_hash_table_insert(call->thread->running,
				    g_strdup(get_request_id(call)), call);
	make_headers(call);
	tr_start_attempt(call, call->thread->target_loop,
			 call->thread->target_url);
	tr_watch_answer(call);
}

/* Returns a new copy of a request header, "" when it is absent. */
static char *copy_header(const struct tr_call *call, const char *name)
{
	const char *value = hx_get_header(call->exchange, name);

	return g_strdup(value ? value : "");
}

/*
 * Reads a number that the entry node sent. value is left unchanged when the
 * header is absent or malformed.
 */
static bool read_number(struct tr_call *call, const char *name, uint64_t max,
			uint64_t *value)
{
	if (tr_read_number(call->exchange, name, max, value))
		return true;
	if (hx_get_header(call->exchange, name))
		tr_record_malformed_header(call, name);
	return false;
}

static void read_class(struct tr_call *call)
{
	const char *name = hx_get_header(call->exchange, TR_HEADER_CLASS);

	call->class = rt_parse_class(name, call->priority);
	if (name && !rt_is_class_name(name))
		tr_record_malformed_header(call, TR_HEADER_CLASS);
}

/* The entry node of the call gets load reports if it has told a port. */
static void record_report_port(struct tr_call *call)
{
	uint64_t port = 0;

	read_number(call, TR_HEADER_REPORT_PORT, UINT16_MAX, &port);
	if (port > 0)
		load_record_call(call->thread->load,
				 hx_get_peer_address(call->exchange),
				 (uint16_t)port);
}

static void read_hop_headers(struct tr_call *call)
{
	uint64_t now_ms = tmr_get_now_ms(call->thread->timers);
	uint64_t timeout_ms = 0;
	uint64_t depth = 0;
	uint64_t objective_ms = 0;
	uint64_t priority = 0;

	read_number(call, TR_HEADER_DEADLINE, UINT32_MAX, &timeout_ms);
	read_number(call, TR_HEADER_DEPTH, TR_DEPTH_MAX, &depth);
	call->deadline_ms = now_ms + timeout_ms;
	call->depth = (uint32_t)depth;
	if (read_number(call, TR_HEADER_OBJECTIVE, UINT32_MAX, &objective_ms))
		call->objective_ms = now_ms + objective_ms;
	read_number(call, TR_HEADER_PRIORITY, UINT32_MAX, &priority);
	call->priority = (uint32_t)priority;
	read_class(call);
	call->kind = copy_header(call, TR_HEADER_ROUTE);
	record_report_port(call);
	call->service_name = copy_header(call, TR_HEADER_SERVICE);
	call->version = copy_header(call, TR_HEADER_VERSION);
	call->caller = copy_header(call, TR_HEADER_CALLER);
}

void tr_get_local_load(struct tr_thread *thread, struct rt_load *load)
{
	adm_get_load(thread->gate, load);
	load->link_wait_us = (uint32_t)MIN(
		hx_get_backlog_us(thread->pacing, 0, 1 + thread->large_bytes),
		UINT32_MAX);
}

/* Stores the load of the gate as if an answer had carried it. */
static void copy_gate_load(struct tr_call *call)
{
	tr_get_local_load(call->thread, &call->answer.load);
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
		.class = call->class,
		.kind = tr_get_kind(call),
		.send_us = estimate_send_us(call),
	};

	call->asked_us = tr_get_now_us();
	switch (adm_admit(thread->gate, &asked, tmr_get_now_ms(thread->timers),
			  &refusal)) {
	case ADM_VERDICT_RUN:
		load_mark_changed(thread->load);
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
	tr_check_target(thread);
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

/* A waiting call may become late while no other call starts or ends. */
static void set_waiting_alarm(struct tr_thread *thread, uint64_t now_ms)
{
	uint64_t due_ms = adm_get_due_ms(thread->gate, now_ms);

	if (due_ms == thread->waiting_due_ms)
		return;
	thread->waiting_due_ms = due_ms;
	if (due_ms == UINT64_MAX)
		tmr_clear_alarm(thread->waiting_alarm);
	else
		tmr_set_alarm(thread->waiting_alarm,
			      due_ms - MIN(due_ms, now_ms));
}

void tr_handle_waiting_alarm(void *data)
{
	struct tr_thread *thread = data;

	thread->waiting_due_ms = UINT64_MAX;
	tr_process_waiting_calls(thread);
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
	tr_check_target(thread);
	set_waiting_alarm(thread, now_ms);
	load_mark_changed(thread->load);
}

/* Learns from good answers only: failures are short. */
static void record_answer_size(struct tr_call *call, enum adm_outcome outcome)
{
	const char *route =
		call->route ? call->route->name
			    : hx_get_header(call->exchange, TR_HEADER_ROUTE);

	if (route && outcome == ADM_OUTCOME_GOOD)
		rt_record_answer_size(call->thread->hop_answer_sizes, route,
				      call->answer.body_bytes);
}

/* Ends what the call counts for besides its slot. */
static void leave_target(struct tr_call *call)
{
	struct tr_thread *thread = call->thread;

	call->has_slot = false;
	thread->large_bytes -= call->large_bytes;
	if (g_hash_table_lookup(thread->running, get_request_id(call)) == call)
		g_hash_table_remove(thread->running, get_request_id(call));
	tr_unwatch_answer(call);
}

/* A slot that stays in use after the end of its call. */
struct kept_slot {
	struct tr_thread *thread;
	uint64_t started_ms;
};

static void free_kept_slot(uint64_t now_ms, void *data)
{
	struct kept_slot *slot = data;
	struct tr_thread *thread = slot->thread;

	adm_finish(
		thread->gate, ADM_OUTCOME_TIMEOUT, slot->started_ms,
		(uint32_t)MIN((now_ms - slot->started_ms) * 1000, UINT32_MAX),
		now_ms);
	talloc_free(slot);
	tr_process_waiting_calls(thread);
}

void tr_keep_slot(struct tr_call *call, uint32_t run_us)
{
	struct tr_thread *thread = call->thread;
	struct kept_slot *slot = talloc(thread->events, struct kept_slot);

	assert(call->has_slot);
	*slot = (struct kept_slot){
		.thread = thread,
		.started_ms = call->attempt_us / 1000,
	};
	leave_target(call);
	tmr_subscribe_once(thread->timers, thread->timers, run_us / 1000,
			   free_kept_slot, slot);
}

void tr_release_slot(struct tr_call *call, enum adm_outcome outcome)
{
	struct tr_thread *thread = call->thread;
	uint64_t end_us =
		call->answer.head_us ? call->answer.head_us : tr_get_now_us();

	if (!call->has_slot)
		return;
	leave_target(call);
	if (outcome == ADM_OUTCOME_GOOD)
		adm_record_run(thread->gate, tr_get_kind(call),
			       (uint32_t)(end_us - call->attempt_us),
			       (uint32_t)(tr_get_now_us() - call->attempt_us),
			       tmr_get_now_ms(thread->timers));
	record_answer_size(call, outcome);
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
