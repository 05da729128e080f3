/*
 * Entry side of a call: finds service, route and deadline, chooses a target,
 * and decides on retries.
 *
 * When a transfer ends, tr_end_entry_attempt() is called; when the gate of this
 * node refuses the call, tr_end_refused_attempt(). Both may start another
 * attempt.
 */
#include <string.h>
#include <xxhash.h>
#include "call.h"
#include "call_log.h"
#include "loom/error.h"
#include "samples.h"
#include "way.h"

static const struct tr_header_names *get_names(const struct tr_call *call)
{
	return call->thread->service->options.names;
}

/* Returns the name in the Host header, without a port (new). */
static char *get_host_name(struct tr_call *call)
{
	const char *host = hx_get_header(call->exchange, MHD_HTTP_HEADER_HOST);

	if (!host)
		return g_strdup("");
	return g_strndup(host, strcspn(host, ":"));
}

static uint64_t get_split_hash(struct tr_call *call)
{
	const char *id =
		hx_get_header(call->exchange, get_names(call)->request_id);

	if (id)
		return XXH3_64bits(id, strlen(id));
	call->thread->random_state++;
	return XXH3_64bits(&call->thread->random_state,
			   sizeof(call->thread->random_state));
}

/*
 * Sets the deadline to the route's timeout or to the time that the request's
 * deadline header leaves, whichever is shorter.
 */
static void set_deadline(struct tr_call *call)
{
	uint64_t from_ms = hx_get_received_ms(call->exchange);
	uint64_t timeout_ms = call->route->timeout_ms;
	uint64_t given_ms = 0;

	if (tr_read_number(call->exchange, get_names(call)->deadline,
			   UINT32_MAX, &given_ms) &&
	    given_ms < timeout_ms)
		timeout_ms = given_ms;
	call->deadline_ms = from_ms + timeout_ms;
	if (call->gateway_route)
		call->priority = call->gateway_route->priority;
	if (tr_is_controlled(call))
		tr_set_class(call);
	if (!call->gateway_route)
		return;
	if (tr_has_objective(call->thread, rt_get_snapshot(call->table),
			     call->gateway_route))
		call->objective_ms =
			from_ms + call->gateway_route->objective_ms;
	if (tr_is_controlled(call))
		tr_recognize_return(call, (uint32_t)given_ms);
}

static void make_headers(struct tr_call *call)
{
	uint64_t now_ms = tmr_get_now_ms(call->thread->timers);
	uint64_t left_ms =
		call->deadline_ms > now_ms ? call->deadline_ms - now_ms : 0;
	struct curl_slist *list = NULL;

	curl_slist_free_all(call->headers);
	list = tr_copy_headers(list, call->exchange, get_names(call));
	list = tr_append_header(list, TR_HEADER_SERVICE, call->service->name);
	list = tr_append_header(list, TR_HEADER_CALLER, call->caller);
	list = tr_append_number(list, TR_HEADER_DEADLINE, left_ms);
	list = tr_append_number(list, TR_HEADER_DEPTH, call->depth);
	if (call->gateway_route)
		list = tr_append_number(list, TR_HEADER_PRIORITY,
					call->priority);
	if (call->objective_ms > 0)
		list = tr_append_number(list, TR_HEADER_OBJECTIVE,
					call->objective_ms > now_ms
						? call->objective_ms - now_ms
						: 0);
	list = tr_append_header(list, TR_HEADER_VERSION, call->chosen->release);
	list = tr_append_header(list, TR_HEADER_ROUTE, call->route->name);
	if (tr_is_controlled(call))
		list = tr_append_header(list, TR_HEADER_CLASS,
					rt_get_class_name(call->class));
	if (call->thread->load)
		list = tr_append_number(
			list, TR_HEADER_REPORT_PORT,
			call->thread->service->options.overload.load_port);
	call->headers = list;
}

static bool choose_target(struct tr_call *call, enum rt_refusal *refusal)
{
	struct tr_thread *thread = call->thread;

	call->chosen =
		rt_choose_target(thread->chooser, call->table, &call->request,
				 tmr_get_now_ms(thread->timers), refusal);
	load_send_ask(thread->load, rt_take_ask(thread->chooser));
	return call->chosen != NULL;
}

/* Only the first thread owns the gate of the local target. */
static bool is_local_target(const struct tr_call *call)
{
	const struct tr_thread *thread = call->thread;

	return thread->index == 0 &&
	       strcmp(call->chosen->address, thread->service->hop_address) == 0;
}

static void start_chosen_attempt(struct tr_call *call)
{
	struct tr_thread *thread = call->thread;
	char *base_url;

	rt_record_start(thread->chooser, call->chosen->address);
	call->attempt_count++;
	if (call->request.is_placed &&
	    strcmp(call->chosen->failure_domain,
		   thread->service->options.failure_domain) != 0)
		cnt_add(thread->service->counters.calls_away, 1);
	call->is_local = is_local_target(call);
	if (call->is_local) {
		tr_admit_local_call(call);
		return;
	}
	base_url = g_strconcat("http://", call->chosen->address, NULL);
	make_headers(call);
	tr_start_attempt(call, thread->peer_loop, base_url);
	g_free(base_url);
}

static struct tr_way find_way(struct tr_call *call,
			      struct doc_snapshot *snapshot)
{
	char *host = get_host_name(call);
	struct tr_way way =
		tr_find_way(snapshot, host, hx_get_method(call->exchange),
			    hx_get_target(call->exchange));

	if (way.gateway_route)
		way.service = doc_find_service(
			snapshot, doc_choose_share(way.gateway_route,
						   get_split_hash(call)));
	g_free(host);
	return way;
}

bool tr_is_repeatable_request(struct tr_call *call)
{
	struct rt_table *table = call->thread->table;
	struct tr_way way;

	/* Without a table the request is refused at once. */
	if (!table)
		return true;
	way = find_way(call, rt_get_snapshot(table));
	return !way.route ||
	       doc_is_repeatable(way.route, hx_get_method(call->exchange));
}

static bool find_route(struct tr_call *call)
{
	struct tr_way way = find_way(call, rt_get_snapshot(call->table));

	call->service = way.service;
	call->route = way.route;
	call->gateway_route = way.gateway_route;
	if (call->service && call->route)
		return true;
	tr_refuse_call(call, MHD_HTTP_NOT_FOUND,
		       rt_get_refusal_name(call->service
						   ? RT_REFUSAL_NO_ROUTE
						   : RT_REFUSAL_NO_SERVICE),
		       true);
	return false;
}

static void start_first_attempt(struct tr_call *call)
{
	enum rt_refusal refusal = RT_REFUSAL_NONE;

	if (choose_target(call, &refusal)) {
		start_chosen_attempt(call);
		return;
	}
	if (refusal == RT_REFUSAL_NO_ROOM)
		cnt_add(call->thread->service->counters.early_refusals, 1);
	tr_refuse_call(call, MHD_HTTP_SERVICE_UNAVAILABLE,
		       rt_get_refusal_name(refusal), true);
}

void tr_route_call(struct tr_call *call)
{
	uint64_t depth = 0;

	if (call->thread->is_refusing) {
		tr_refuse_call(call, MHD_HTTP_SERVICE_UNAVAILABLE, "draining",
			       true);
		return;
	}
	if (!call->thread->table) {
		tr_refuse_call(call, MHD_HTTP_SERVICE_UNAVAILABLE, "not_ready",
			       true);
		return;
	}
	call->table = rt_ref_table(call->thread->table);
	if (!find_route(call))
		return;
	tr_read_number(call->exchange, TR_HEADER_DEPTH, UINT32_MAX, &depth);
	if (depth > TR_DEPTH_MAX) {
		tr_refuse_call(call, MHD_HTTP_LOOP_DETECTED, "too_deep", true);
		return;
	}
	if (tr_is_body_over_limit(call)) {
		tr_refuse_call(call, MHD_HTTP_CONTENT_TOO_LARGE,
			       "body_too_large", true);
		return;
	}
	call->depth = (uint32_t)depth;
	call->caller = g_strdup(call->thread->service->options.caller_service);
	set_deadline(call);
	if (tr_may_outlast_drain(call->thread, call->deadline_ms)) {
		tr_refuse_call(call, MHD_HTTP_SERVICE_UNAVAILABLE, "draining",
			       true);
		return;
	}
	call->request.service = call->service;
	call->request.split_hash = get_split_hash(call);
	call->request.is_bulky =
		tr_is_bulky(call->thread, call->route, call->upload.has_body,
			    call->upload.content_length);
	if (tr_is_controlled(call))
		tr_set_placement(call);
	if (tr_is_returned_in_vain(call)) {
		tr_refuse_return(call);
		return;
	}
	rt_credit_budget(tr_get_budget(call->thread, call->service->name),
			 call->class == RT_CLASS_NESTED &&
				 tr_is_controlled(call),
			 tmr_get_now_ms(call->thread->timers));
	if (tr_is_body_short(call))
		call->stage = TR_STAGE_COLLECTING;
	else
		start_first_attempt(call);
}

void tr_route_collected_call(struct tr_call *call)
{
	start_first_attempt(call);
}

/*
 * Excludes the target of the attempt that ended from further choices, and its
 * failure domain when the refusal says that the domain is taken out.
 */
static void exclude_tried_target(struct tr_call *call)
{
	struct rt_request *request = &call->request;
	const char *reason = call->answer.refused;

	if (request->tried_count < RT_TRIED_MAX)
		request->tried[request->tried_count++] = call->chosen->address;
	if (reason && request->out_domain_count < RT_TRIED_MAX &&
	    strcmp(reason, adm_get_refusal_name(ADM_REFUSAL_DOMAIN_OUT)) == 0)
		request->out_domains[request->out_domain_count++] =
			call->chosen->failure_domain;
}

/*
 * Decides whether to retry the call. Returns whether another attempt was
 * started. is_unsent: nothing was sent to a target.
 */
static bool retry_call(struct tr_call *call, enum rt_outcome outcome,
		       bool is_not_run, bool is_unsent)
{
	enum rt_refusal refusal = RT_REFUSAL_NONE;
	enum rt_retry_verdict verdict;
	struct rt_retry retry = {
		.outcome = outcome,
		.is_repeatable = doc_is_repeatable(call->route, call->method),
		.is_not_run = is_not_run,
		.is_unsent = is_unsent,
		.share_permille = tr_get_budget_permille(call),
		.sent_count = call->sent_count,
		.sent_max = call->gateway_route
				    ? call->gateway_route->attempts_max
				    : RT_SENT_MAX,
		.is_answer_begun = call->is_answer_begun,
		.is_body_kept = call->upload.buffer.is_rewindable,
		.attempt_count = call->attempt_count,
		.depth = call->depth,
		.now_ms = tmr_get_now_ms(call->thread->timers),
		.deadline_ms = call->deadline_ms,
	};

	if (!is_unsent)
		retry.sent_count = ++call->sent_count;
	verdict = rt_decide_retry(
		tr_get_budget(call->thread, call->service->name), &retry);
	tr_log_call(call, "decide retry", rt_get_retry_name(verdict));
	if (verdict != RT_RETRY_YES)
		return false;
	exclude_tried_target(call);
	/* Without another target the caller gets the result of this attempt. */
	if (!choose_target(call, &refusal))
		return false;
	cnt_add(call->thread->service->counters.retries, 1);
	tr_rewind_buffer(&call->upload.buffer);
	start_chosen_attempt(call);
	return true;
}

/*
 * Returns the part of the attempt's duration that was not spent on the target's
 * node, as reported in the answer: all of it when no answer came, 0 for the
 * local target.
 */
static uint32_t get_network_us(const struct tr_call *call)
{
	const struct tr_answer *answer = &call->answer;
	uint64_t end_us = answer->head_us ? answer->head_us : tr_get_now_us();
	uint64_t known_us = call->attempt_us + answer->spent_us;

	/* The head of a large answer waits until the link is free. */
	if (call->request.is_placed && !call->is_local &&
	    rt_is_answer_large(call->thread->answer_sizes, call->route->name))
		return RT_TRANSIT_UNKNOWN;
	if (call->is_local || end_us <= known_us)
		return 0;
	return (uint32_t)(end_us - known_us);
}

/* Returns how long the target ran the call. */
static uint32_t get_run_us(const struct tr_call *call)
{
	const struct tr_answer *answer = &call->answer;

	if (!call->is_local)
		return (uint32_t)MIN(answer->run_us, UINT32_MAX);
	return (uint32_t)(answer->head_us -
			  MIN(answer->head_us, call->attempt_us));
}

void tr_report_entry_end(struct tr_call *call, enum rt_outcome outcome)
{
	struct tr_answer *answer = &call->answer;

	if (!call->chosen)
		return;
	if (outcome != RT_OUTCOME_REFUSED &&
	    (outcome != RT_OUTCOME_FAILED || call->send_count > 0))
		rt_record_arrival(call->thread->chooser, call->service);
	/* The load of an answer was read when its head was sent. */
	answer->load.received_ms = answer->head_us / 1000;
	if (call->request.is_placed &&
	    strcmp(call->chosen->failure_domain,
		   call->thread->service->options.failure_domain) != 0)
		rt_record_leaving(call->thread->chooser, call->service->name,
				  outcome,
				  tmr_get_now_ms(call->thread->timers));
	if (call->request.is_placed && outcome == RT_OUTCOME_ANSWERED)
		rt_record_run_time(call->thread->answer_sizes,
				   call->route->name, get_run_us(call));
	rt_record_end(call->thread->chooser, call->chosen->address, outcome,
		      answer->has_load ? &answer->load : NULL,
		      get_network_us(call),
		      tmr_get_now_ms(call->thread->timers));
}

void tr_end_refused_attempt(struct tr_call *call)
{
	const char *reason = call->answer.refused;
	uint32_t status = call->answer.status;
	bool is_not_run = call->answer.is_not_run;
	enum rt_outcome outcome =
		is_not_run ? RT_OUTCOME_REFUSED : RT_OUTCOME_FAILED;
	bool is_unanswered = g_strcmp0(reason, TR_REASON_UNANSWERED) == 0;

	/* The target answers other calls. */
	tr_report_entry_end(call,
			    is_unanswered ? RT_OUTCOME_CANCELLED : outcome);
	tr_count_sample(call,
			is_not_run ? MV_OUTCOME_REFUSED : MV_OUTCOME_FAILED);
	/* Never reset: an earlier attempt may have run if this one did not. */
	if (!is_not_run)
		call->is_run_possible = true;
	if (retry_call(call, outcome, is_not_run,
		       is_not_run && call->answer.is_unsent))
		return;
	/* The status of a refusal tells that no attempt was run. */
	if (is_not_run && call->is_run_possible)
		status = MHD_HTTP_BAD_GATEWAY;
	tr_refuse_call(call, status, reason ? reason : "refused",
		       !call->is_run_possible);
}

static void end_failed_attempt(struct tr_call *call, CURLcode code)
{
	bool is_not_run = call->send_count == 0;

	/* A partial answer cannot be relayed. */
	if (call->answer.head_us)
		cnt_add(call->thread->service->counters.broken[call->role], 1);
	tr_reset_answer(&call->answer);
	/* A lost connection is no evidence about the version of the target. */
	tr_report_entry_end(call, RT_OUTCOME_FAILED);
	tr_count_sample(call, MV_OUTCOME_LOST);
	if (!is_not_run)
		call->is_run_possible = true;
	if (retry_call(call, RT_OUTCOME_FAILED, is_not_run, is_not_run))
		return;
	tr_refuse_call(call,
		       call->is_run_possible ? MHD_HTTP_BAD_GATEWAY
					     : MHD_HTTP_SERVICE_UNAVAILABLE,
		       is_not_run ? "target_unreachable" : "connection_lost",
		       !call->is_run_possible);
}

static enum mv_outcome get_outcome(const struct tr_answer *answer)
{
	if (answer->has_load && answer->load.phase == RT_PHASE_STARTING)
		return MV_OUTCOME_COLD;
	if (answer->is_broken ||
	    answer->status >= MHD_HTTP_INTERNAL_SERVER_ERROR)
		return MV_OUTCOME_FAILED;
	return MV_OUTCOME_GOOD;
}

void tr_end_entry_attempt(struct tr_call *call, CURLcode code)
{
	struct tr_answer *answer = &call->answer;
	bool is_relayed;

	if (call->stage == TR_STAGE_SENDING && code == CURLE_OK)
		tr_relay_buffered_answer(call);
	is_relayed = call->stage == TR_STAGE_RELAYING;
	if (!is_relayed && tr_is_refused(answer)) {
		tr_end_refused_attempt(call);
		return;
	}
	if (!is_relayed) {
		end_failed_attempt(call, code);
		return;
	}
	answer->is_whole = code == CURLE_OK;
	answer->is_broken = code != CURLE_OK;
	if (answer->is_whole)
		rt_record_answer_size(call->thread->answer_sizes,
				      call->route->name, answer->body_bytes);
	if (answer->is_broken)
		cnt_add(call->thread->service->counters.broken[call->role], 1);
	tr_report_entry_end(call, answer->is_whole ? RT_OUTCOME_ANSWERED
						   : RT_OUTCOME_FAILED);
	tr_count_sample(call, get_outcome(answer));
	if (answer->is_broken) {
		tr_record_returned_failure(call);
		tr_log_call(call, "relay", "answer incomplete");
	} else {
		tr_record_returned_answer(call);
		tr_log_late_answer(call);
	}
	tr_end_relayed_answer(call);
}
