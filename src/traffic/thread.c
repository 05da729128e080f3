/*
 * A traffic thread: listeners, client loops, commands of the control thread.
 *
 * All talloc memory of a thread is allocated below its own event context, which
 * no other thread uses between start and join. The control thread passes a new
 * table by atomically exchanging the pointer `pending_table`; the thread that
 * removes a table from it owns the reference.
 */
#include "thread.h"

#include <assert.h>
#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include "call.h"
#include "call_log.h"
#include "connection.h"
#include "loom/error.h"
#include "samples.h"

#define FREE_HANDLES_MAX 256U
#define CACHED_CONNECTIONS_MAX 2048L
/* Memory per connection for MHD's own use and the head of the answer. */
#define MHD_EXTRA_MEMORY_BYTES 16384U

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
			  (long)service->limits.connections);
}

static void take_table(struct tr_thread *thread)
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
	adm_announce_target(thread->gate, command->announce.service,
			    command->announce.version,
			    tmr_get_now_ms(thread->timers));
}

static void note_heartbeat(struct tr_thread *thread,
			   const struct tr_command *command)
{
	uint64_t now_ms = tmr_get_now_ms(thread->timers);

	adm_note_alive(thread->gate);
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
		note_heartbeat(thread, command);
		break;
	case TR_COMMAND_DRAIN_TARGET:
		adm_drain_target(thread->gate);
		break;
	case TR_COMMAND_LIMIT_HINT:
		adm_note_hint(thread->gate, command->hinted_limit,
			      tmr_get_now_ms(thread->timers));
		break;
	case TR_COMMAND_BEGIN_DRAIN:
		thread->is_draining = true;
		break;
	case TR_COMMAND_REFUSE_CALLERS:
		thread->is_refusing = true;
		break;
	case TR_COMMAND_STOP:
		thread->is_stopped = true;
		break;
	}
}

static void free_command(struct tr_command *command)
{
	if (command->kind == TR_COMMAND_ANNOUNCE) {
		g_free(command->announce.service);
		g_free(command->announce.version);
		g_free(command->announce.instance);
		g_free(command->announce.url);
	}
	g_free(command);
}

/* Returns the next command (new), or NULL. */
static struct tr_command *take_command(struct tr_thread *thread)
{
	struct tr_command *command;

	pthread_mutex_lock(&thread->command_lock);
	command = g_queue_pop_head(&thread->commands);
	pthread_mutex_unlock(&thread->command_lock);
	return command;
}

static void handle_wake(struct tevent_context *events, struct tevent_fd *fde,
			uint16_t flags, void *data)
{
	struct tr_thread *thread = data;
	struct tr_command *command;
	uint64_t count;

	if (read(thread->wake_fd, &count, sizeof(count)) < 0)
		return;
	take_table(thread);
	while ((command = take_command(thread))) {
		run_command(thread, command);
		cnt_add(thread->service->counters.commands, 1);
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
	struct sockaddr_in address;

	listener->thread = thread;
	listener->role = role;
	if (!hs_parse_address(options->address, port, &address, error))
		return false;
	listener->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, port, NULL, NULL,
		tr_handle_access, listener, MHD_OPTION_SOCK_ADDR, &address,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
		MHD_OPTION_URI_LOG_CALLBACK, tr_note_request_line, listener,
		MHD_OPTION_NOTIFY_COMPLETED, tr_note_completed, listener,
		MHD_OPTION_NOTIFY_CONNECTION, tr_note_connection, listener,
		MHD_OPTION_CONNECTION_LIMIT, options->connections_max + 64U,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)options->header_bytes_max + MHD_EXTRA_MEMORY_BYTES,
		MHD_OPTION_END);
	if (!listener->daemon) {
		err_set(error, ERR_UNAVAILABLE, "open listener",
			options->address, "cannot listen on port %u", port);
		return false;
	}
	listener->loop = hs_attach_daemon(thread->events, thread->events,
					  listener->daemon);
	return true;
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
	curl_multi_setopt(hc_get_multi(thread->peer_loop), CURLMOPT_MAXCONNECTS,
			  CACHED_CONNECTIONS_MAX);
	curl_multi_setopt(hc_get_multi(thread->target_loop),
			  CURLMOPT_MAXCONNECTS, CACHED_CONNECTIONS_MAX);
	return true;
}

static void open_state(struct tr_thread *thread)
{
	const struct tr_options *options = &thread->service->options;

	thread->events = tevent_context_init(NULL);
	thread->timers = tmr_new(thread->events, thread->events);
	thread->random_state = options->seed + thread->index * 1000003ULL;
	thread->chooser = rt_new_chooser(thread->events, options->policy,
					 thread->random_state);
	thread->gate = adm_new_gate(thread->events);
	thread->budgets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_queue_init(&thread->commands);
	pthread_mutex_init(&thread->command_lock, NULL);
	tr_open_thread_samples(thread);
	tr_open_call_log(thread);
	g_queue_init(&thread->free_handles);
	thread->disconnect_epoll_fd = -1;
	thread->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	tevent_add_fd(thread->events, thread->events, thread->wake_fd,
		      TEVENT_FD_READ, handle_wake, thread);
}

bool tr_start_thread(struct tr_thread *thread, GError **error)
{
	const struct tr_options *options = &thread->service->options;

	open_state(thread);
	if (!tr_open_connections(thread, error) || !open_clients(thread, error))
		return false;
	if (!open_listener(thread, &thread->entry, TR_ROLE_ENTRY,
			   options->call_port, error))
		return false;
	if (thread->index == 0 &&
	    !open_listener(thread, &thread->hop, TR_ROLE_HOP, options->hop_port,
			   error))
		return false;
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
	uint64_t one = 1;

	if (write(thread->wake_fd, &one, sizeof(one)) < 0)
		assert(errno == EAGAIN);
}

void tr_send_command(struct tr_thread *thread, struct tr_command *command)
{
	pthread_mutex_lock(&thread->command_lock);
	g_queue_push_tail(&thread->commands, command);
	pthread_mutex_unlock(&thread->command_lock);
	tr_wake_thread(thread);
}

static void close_listener(struct tr_listener *listener)
{
	if (!listener->daemon)
		return;
	TALLOC_FREE(listener->loop);
	MHD_stop_daemon(listener->daemon);
	listener->daemon = NULL;
}

/* Resumes all connections: MHD must not be stopped while one is suspended. */
static void cancel_calls(struct tr_thread *thread)
{
	GList *link = thread->connections.head;

	for (; link; link = link->next) {
		struct tr_connection *connection = link->data;

		if (!connection->call)
			continue;
		tr_handle_disconnect(connection->call);
		tr_resume_call(connection->call);
	}
}

void tr_join_thread(struct tr_thread *thread)
{
	struct rt_table *table;
	struct tr_command *command;

	if (!thread->events)
		return;
	if (thread->is_running)
		pthread_join(thread->handle, NULL);
	cancel_calls(thread);
	close_listener(&thread->entry);
	close_listener(&thread->hop);
	g_queue_clear_full(&thread->free_handles, curl_easy_cleanup);
	while ((command = take_command(thread)))
		free_command(command);
	pthread_mutex_destroy(&thread->command_lock);
	g_hash_table_destroy(thread->budgets);
	g_hash_table_destroy(thread->samples);
	table = atomic_exchange(&thread->pending_table, NULL);
	if (table)
		rt_unref_table(table);
	if (thread->table)
		rt_unref_table(thread->table);
	TALLOC_FREE(thread->events);
	tr_close_connections(thread);
	g_free(thread->target_url);
	g_free(thread->target_service);
	g_free(thread->target_instance);
	close(thread->wake_fd);
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
	budget = rt_new_budget(thread->events);
	g_hash_table_insert(thread->budgets, g_strdup(service), budget);
	return budget;
}
