/*
 * A traffic thread: listeners, client loops, commands of the control thread.
 *
 * All talloc memory of a thread is allocated below its own event context, which
 * no other thread uses between start and join. The control thread passes a new
 * table by atomically exchanging the pointer `pending_table`; the thread that
 * removes a table from it owns the reference.
 */
#include "thread.h"

#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include "call.h"
#include "call_log.h"
#include "explain.h"
#include "loom/error.h"
#include "samples.h"

#define FREE_HANDLES_MAX 256U
#define CACHED_CONNECTIONS_MAX 2048L
#define SWEEP_PERIOD_MS 1000U

/* One connection is for requests for the target's health. */
static long get_call_connections(const struct doc_limits *limits)
{
	if (limits->health_path && limits->connections > 1)
		return (long)limits->connections - 1;
	return (long)limits->connections;
}

/* Applies the limits in the document of the local target's service. */
static void set_target_limits(struct tr_thread *thread)
{
	const struct doc_service *service;

	if (!thread->table || !thread->target_service)
		return;
	service = doc_find_service(rt_get_snapshot(thread->table),
				   thread->target_service);
	if (!service)
		return;
	adm_set_limits(thread->gate, &service->limits);
	curl_multi_setopt(hc_get_multi(thread->target_loop),
			  CURLMOPT_MAX_TOTAL_CONNECTIONS,
			  get_call_connections(&service->limits));
}

static void apply_table(struct tr_thread *thread)
{
	struct rt_table *table = atomic_exchange(&thread->pending_table, NULL);

	if (!table)
		return;
	if (thread->table)
		rt_unref_table(thread->table);
	thread->table = table;
	adm_set_domain_out(
		thread->gate,
		doc_is_domain_out(rt_get_snapshot(table),
				  thread->service->options.failure_domain));
	set_target_limits(thread);
	cnt_add(thread->service->counters.tables, 1);
}

static void announce_target(struct tr_thread *thread,
			    const struct tr_command *command)
{
	g_free(thread->target_url);
	g_free(thread->target_service);
	g_free(thread->target_instance);
	thread->target_instance = g_strdup(command->announce.instance);
	thread->target_url = g_strdup(command->announce.url);
	thread->target_service = g_strdup(command->announce.service);
	set_target_limits(thread);
	tr_clear_silence(&thread->silence);
	tr_cancel_target_check(thread);
	adm_announce_target(thread->gate, command->announce.service,
			    command->announce.version,
			    tmr_get_now_ms(thread->timers));
}

static void handle_heartbeat(struct tr_thread *thread,
			     const struct tr_command *command)
{
	uint64_t now_ms = tmr_get_now_ms(thread->timers);

	adm_mark_reachable(thread->gate);
	adm_set_known_slots(thread->gate, command->heartbeat.slots);
	adm_set_cold(thread->gate, now_ms + command->heartbeat.warm_up_ms);
}

static void run_command(struct tr_thread *thread,
			const struct tr_command *command)
{
	switch (command->kind) {
	case TR_COMMAND_ANNOUNCE:
		announce_target(thread, command);
		break;
	case TR_COMMAND_HEARTBEAT:
		handle_heartbeat(thread, command);
		break;
	case TR_COMMAND_DRAIN_TARGET:
		adm_drain_target(thread->gate);
		break;
	case TR_COMMAND_LIMIT_HINT:
		adm_set_hinted_limit(thread->gate, command->hinted_limit,
				     tmr_get_now_ms(thread->timers));
		break;
	case TR_COMMAND_BEGIN_DRAIN:
		thread->drain_end_ms = command->drain_end_ms;
		hx_begin_drain(thread->entry.server);
		if (thread->hop.server)
			hx_begin_drain(thread->hop.server);
		break;
	case TR_COMMAND_REFUSE_CALLERS:
		thread->is_refusing = true;
		break;
	case TR_COMMAND_EXPLAIN:
		tr_answer_question(thread, command->explain.inquiry,
				   command->explain.question);
		break;
	case TR_COMMAND_STOP:
		thread->is_stopped = true;
		break;
	}
}

static void free_command(gpointer data)
{
	struct tr_command *command = data;

	if (command->kind == TR_COMMAND_ANNOUNCE) {
		g_free(command->announce.service);
		g_free(command->announce.version);
		g_free(command->announce.instance);
		g_free(command->announce.url);
	} else if (command->kind == TR_COMMAND_EXPLAIN) {
		tr_free_question(command->explain.question);
	}
	g_free(command);
}

static void handle_wake(void *data)
{
	struct tr_thread *thread = data;
	struct tr_command *command;

	apply_table(thread);
	while ((command = mbx_take(thread->commands))) {
		run_command(thread, command);
		/* An explanation leaves no trace. */
		cnt_add(thread->service->counters.commands,
			command->kind != TR_COMMAND_EXPLAIN);
		free_command(command);
	}
	/* When a command or table has closed the gate, empty its queue. */
	tr_process_waiting_calls(thread);
}

static void *run_thread(void *data)
{
	struct tr_thread *thread = data;

	while (!thread->is_stopped)
		tevent_loop_once(thread->events);
	return NULL;
}

static bool open_listener(struct tr_thread *thread,
			  struct tr_listener *listener, enum tr_role role,
			  uint16_t port, GError **error)
{
	const struct tr_options *options = &thread->service->options;
	struct hx_options server_options = {
		.address = options->address,
		.port = port,
		.connections_max = options->connections_max,
		.head_bytes_max = options->header_bytes_max,
		.handler = &tr_call_handler,
		.data = listener,
		.closed_early = thread->service->counters.connections_closed,
		.pacing = thread->pacing,
		.evicted = thread->service->counters.connections_evicted,
		.account = &thread->account,
	};

	listener->thread = thread;
	listener->role = role;
	listener->server =
		hx_new_server(thread->events, thread->events, thread->timers,
			      &server_options, error);
	return listener->server != NULL;
}

static void sweep_connections(uint64_t now_ms, void *data)
{
	struct tr_thread *thread = data;
	uint32_t idle_ms = thread->service->idle_timeout_ms;
	uint32_t header_ms = thread->service->header_timeout_ms;

	hx_sweep(thread->entry.server, idle_ms, header_ms);
	if (thread->hop.server)
		hx_sweep(thread->hop.server, idle_ms, header_ms);
	hx_update_pacing_metrics(thread->pacing);
}

static bool open_clients(struct tr_thread *thread, GError **error)
{
	thread->peer_loop = hc_new_loop(thread->events, thread->events, error);
	if (!thread->peer_loop)
		return false;
	thread->target_loop =
		hc_new_loop(thread->events, thread->events, error);
	if (!thread->target_loop)
		return false;
	thread->check.loop = hc_new_loop(thread->events, thread->events, error);
	if (!thread->check.loop)
		return false;
	curl_multi_setopt(hc_get_multi(thread->peer_loop), CURLMOPT_MAXCONNECTS,
			  CACHED_CONNECTIONS_MAX);
	curl_multi_setopt(hc_get_multi(thread->target_loop),
			  CURLMOPT_MAXCONNECTS, CACHED_CONNECTIONS_MAX);
	curl_multi_setopt(hc_get_multi(thread->peer_loop),
			  CURLMOPT_MAX_TOTAL_CONNECTIONS,
			  (long)thread->service->options.peer_connections_max);
	return true;
}

static void get_gate_load(struct rt_load *load, void *data)
{
	struct tr_thread *thread = data;

	adm_get_load(thread->gate, load);
}

static bool handle_load_report(const char *address, const struct rt_load *load,
			       uint64_t now_ms, void *data)
{
	struct tr_thread *thread = data;

	return rt_record_report(thread->chooser, address, load, now_ms);
}

/* The other threads know loads from answers only. */
static bool open_load_reports(struct tr_thread *thread, GError **error)
{
	const struct tr_options *options = &thread->service->options;
	struct load_options load_options = {
		.address = options->address,
		.load_port = options->overload.load_port,
		.hop_port = options->hop_port,
		.get_load = get_gate_load,
		.handle_report = handle_load_report,
		.data = thread,
	};

	if (thread->index > 0 || options->overload.load_port == 0)
		return true;
	thread->load = load_new_service(
		thread->events, thread->events, thread->timers,
		&thread->service->counters.load, &load_options, error);
	return thread->load != NULL;
}

static void open_state(struct tr_thread *thread)
{
	const struct tr_options *options = &thread->service->options;

	thread->events = tevent_context_init(NULL);
	thread->timers = tmr_new(thread->events, thread->events);
	thread->pacing = hx_new_pacing(thread->events, thread->timers,
				       &thread->pacing_options);
	thread->random_state = options->seed + thread->index * 1000003ULL;
	thread->chooser = rt_new_chooser(thread->events, options->policy,
					 thread->random_state);
	thread->answer_sizes = rt_new_answer_sizes(thread->events);
	thread->hop_answer_sizes = rt_new_answer_sizes(thread->events);
	thread->returns = rt_new_returns(thread->events);
	thread->gate = adm_new_gate(thread->events);
	adm_set_cold_bound(thread->gate, &options->cold_bound);
	if (options->overload.is_enabled)
		adm_use_classes(thread->gate);
	thread->waiting_alarm = tmr_new_alarm(thread->events, thread->events,
					      tr_handle_waiting_alarm, thread);
	thread->waiting_due_ms = UINT64_MAX;
	thread->silence.silence_ms = options->overload.silence_ms;
	thread->running =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	acc_open(&thread->account,
		 acc_get_thread_limit(options->overload.memory_mb,
				      options->thread_count));
	thread->budgets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	tr_open_thread_samples(thread);
	tr_open_call_log(thread);
	g_queue_init(&thread->free_handles);
}

static bool open_commands(struct tr_thread *thread, GError **error)
{
	thread->commands = mbx_new(thread->events, thread->events, handle_wake,
				   free_command, thread);
	if (!thread->commands) {
		err_set(error, ERR_INTERNAL, "start thread", NULL,
			"eventfd: %s", g_strerror(errno));
		return false;
	}
	return true;
}

bool tr_start_thread(struct tr_thread *thread, GError **error)
{
	const struct tr_options *options = &thread->service->options;

	open_state(thread);
	if (!open_commands(thread, error))
		return false;
	if (!open_clients(thread, error))
		return false;
	if (!open_listener(thread, &thread->entry, TR_ROLE_ENTRY,
			   options->call_port, error))
		return false;
	if (thread->index == 0 &&
	    !open_listener(thread, &thread->hop, TR_ROLE_HOP, options->hop_port,
			   error))
		return false;
	if (!open_load_reports(thread, error))
		return false;
	tmr_subscribe_every(thread->timers, thread->timers, SWEEP_PERIOD_MS,
			    sweep_connections, thread);
	if (pthread_create(&thread->handle, NULL, run_thread, thread) != 0) {
		err_set(error, ERR_INTERNAL, "start thread", NULL,
			"pthread_create failed");
		return false;
	}
	thread->is_running = true;
	return true;
}

void tr_wake_thread(struct tr_thread *thread)
{
	mbx_wake(thread->commands);
}

void tr_send_command(struct tr_thread *thread, struct tr_command *command)
{
	mbx_post(thread->commands, command);
}

void tr_join_thread(struct tr_thread *thread)
{
	struct rt_table *table;

	if (!thread->events)
		return;
	if (thread->is_running)
		pthread_join(thread->handle, NULL);
	/* Ends all calls, which use the loops and the gate. */
	TALLOC_FREE(thread->entry.server);
	TALLOC_FREE(thread->hop.server);
	g_queue_clear_full(&thread->free_handles, curl_easy_cleanup);
	g_hash_table_destroy(thread->budgets);
	g_hash_table_destroy(thread->running);
	g_hash_table_destroy(thread->samples);
	table = atomic_exchange(&thread->pending_table, NULL);
	if (table)
		rt_unref_table(table);
	if (thread->table)
		rt_unref_table(thread->table);
	TALLOC_FREE(thread->events);
	g_free(thread->target_url);
	g_free(thread->target_service);
	g_free(thread->target_instance);
}

CURL *tr_take_handle(struct tr_thread *thread)
{
	CURL *easy = g_queue_pop_head(&thread->free_handles);

	return easy ? easy : curl_easy_init();
}

void tr_return_handle(struct tr_thread *thread, CURL *easy)
{
	if (thread->free_handles.length >= FREE_HANDLES_MAX) {
		curl_easy_cleanup(easy);
		return;
	}
	curl_easy_reset(easy);
	g_queue_push_head(&thread->free_handles, easy);
}

struct rt_budget *tr_get_budget(struct tr_thread *thread, const char *service)
{
	struct rt_budget *budget =
		g_hash_table_lookup(thread->budgets, service);

	if (budget)
		return budget;
	budget = rt_new_budget(
		thread->events,
		thread->service->options.overload.retry_budget_permille);
	g_hash_table_insert(thread->budgets, g_strdup(service), budget);
	return budget;
}
