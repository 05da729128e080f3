/*
 * Log lines about calls.
 *
 * Each node that a call passes logs a line for a refusal, a retry decision, a
 * failure, a disconnect of the caller and a late answer. Calls without any of
 * these are not logged. Invariant: log_line_count is the number of lines
 * written in the current second.
 */
#include "call_log.h"

#include <arpa/inet.h>
#include "loom/log.h"

/* Limits the cost of logging on a busy node; see docs/OPERATIONS.md. */
#define LINES_PER_SECOND 100U
#define PERIOD_MS 1000U
#define MALFORMED_LOG_GAP_MS 1000U
#define NUMBER_SIZE 24

static const char *get_request_id(struct tr_call *call)
{
	const struct tr_header_names *names =
		call->thread->service->options.names;
	const char *id = hx_get_header(call->exchange, names->request_id);

	return id ? id : "";
}

static bool reserve_line(struct tr_thread *thread)
{
	if (thread->log_line_count < LINES_PER_SECOND) {
		thread->log_line_count++;
		return true;
	}
	thread->suppressed_line_count++;
	return false;
}

static void start_second(uint64_t now_ms, void *data)
{
	struct tr_thread *thread = data;
	char text[NUMBER_SIZE];

	thread->log_line_count = 0;
	if (thread->suppressed_line_count == 0)
		return;
	g_snprintf(text, sizeof(text), "%u", thread->suppressed_line_count);
	thread->suppressed_line_count = 0;
	log_write(LOG_LEVEL_WARNING, "traffic", "trace", NULL,
		  "call log lines suppressed", "count", text, LOG_END);
}

static const char *format_number(char text[NUMBER_SIZE], int64_t number)
{
	g_snprintf(text, NUMBER_SIZE, "%" G_GINT64_FORMAT, number);
	return text;
}

static const char *get_peer(const struct tr_call *call)
{
	if (call->role == TR_ROLE_HOP)
		return call->thread->target_url;
	return call->chosen ? call->chosen->address : NULL;
}

static const char *get_service(const struct tr_call *call)
{
	return call->service ? call->service->name : call->service_name;
}

void tr_log_call(struct tr_call *call, const char *step, const char *outcome)
{
	struct tr_thread *thread = call->thread;
	uint64_t now_ms = tmr_get_now_ms(thread->timers);
	char elapsed[NUMBER_SIZE];
	char left[NUMBER_SIZE];
	char attempts[NUMBER_SIZE];
	char sequence[NUMBER_SIZE];
	char load[2 * NUMBER_SIZE];
	char status[NUMBER_SIZE];
	struct rt_load own;

	if (!reserve_line(thread))
		return;
	adm_get_load(thread->gate, &own);
	g_snprintf(load, sizeof(load), "%u/%u/%u", own.in_flight, own.limit,
		   adm_get_waiting_count(thread->gate));
	log_write(LOG_LEVEL_INFO, "traffic", step, get_peer(call), outcome,
		  "request", get_request_id(call), "side",
		  call->role == TR_ROLE_ENTRY ? "entry" : "hop", "service",
		  get_service(call), "route",
		  call->route ? call->route->name : NULL, "elapsed_ms",
		  format_number(elapsed, (int64_t)(now_ms - call->begun_ms)),
		  "left_ms",
		  format_number(left,
				call->deadline_ms
					? (int64_t)(call->deadline_ms - now_ms)
					: 0),
		  "attempts", format_number(attempts, call->attempt_count),
		  "run_possible", call->is_run_possible ? "yes" : "no",
		  "answer_status", format_number(status, call->answer.status),
		  "gate", load, "class",
		  tr_is_controlled(call) ? rt_get_class_name(call->class)
					 : NULL,
		  "returned",
		  call->returned.kind == RT_RETURN_NONE
			  ? NULL
			  : rt_get_return_name(call->returned.kind),
		  "configuration",
		  format_number(sequence,
				call->table
					? (int64_t)doc_get_manifest(
						  rt_get_snapshot(call->table))
						  ->sequence
					: 0),
		  LOG_END);
}

void tr_log_late_answer(struct tr_call *call)
{
	uint64_t elapsed_ms =
		tmr_get_now_ms(call->thread->timers) - call->begun_ms;

	if (call->gateway_route &&
	    elapsed_ms > call->gateway_route->objective_ms)
		tr_log_call(call, "answer", "answer later than the objective");
}

void tr_record_malformed_header(struct tr_call *call, const char *name)
{
	struct tr_thread *thread = call->thread;
	uint64_t now_ms = tmr_get_now_ms(thread->timers);
	bool is_entry = call->role == TR_ROLE_ENTRY;
	struct in_addr peer = hx_get_peer_address(call->exchange);
	char address[INET_ADDRSTRLEN];
	char text[NUMBER_SIZE];

	cnt_add(thread->service->counters.malformed_headers[call->role], 1);
	thread->malformed_header_count++;
	if (now_ms < thread->malformed_logged_ms + MALFORMED_LOG_GAP_MS)
		return;
	log_write(LOG_LEVEL_WARNING, "traffic", "read header",
		  is_entry
			  ? call->chosen->address
			  : inet_ntop(AF_INET, &peer, address, sizeof(address)),
		  "malformed headers of nodes ignored", "last_header", name,
		  "side", is_entry ? "entry" : "hop", "count",
		  format_number(text, thread->malformed_header_count), LOG_END);
	thread->malformed_header_count = 0;
	thread->malformed_logged_ms = now_ms;
}

void tr_open_call_log(struct tr_thread *thread)
{
	tmr_subscribe_every(thread->timers, thread->timers, PERIOD_MS,
			    start_second, thread);
}
