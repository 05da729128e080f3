/*
 * Public functions of src/traffic, called by the control thread only.
 */
#include <assert.h>
#include "explain.h"
#include "headers.h"
#include "loom/error.h"
#include "samples.h"
#include "thread.h"

#define CONNECTIONS_MAX 4096U
#define IDLE_TIMEOUT_MS 60000U
#define HEADER_TIMEOUT_MS 10000U
#define HEADER_BYTES_MAX 16384U
#define RETRY_BUDGET_PERMILLE 100U

/* Opens one counter each for the entry side and the hop side. */
static void open_counter_pair(struct cnt_registry *registry,
			      struct cnt_counter **counters, const char *name,
			      const char *help)
{
	counters[TR_ROLE_ENTRY] = cnt_get_counter(registry, CNT_KIND_COUNTER,
						  name, "side=\"entry\"", help);
	counters[TR_ROLE_HOP] = cnt_get_counter(registry, CNT_KIND_COUNTER,
						name, "side=\"hop\"", help);
}

static struct cnt_counter *open_counter(struct cnt_registry *registry,
					const char *name, const char *help)
{
	return cnt_get_counter(registry, CNT_KIND_COUNTER, name, NULL, help);
}

static void open_return_counters(struct tr_counters *counters,
				 struct cnt_registry *registry)
{
	counters->promises_made =
		open_counter(registry, "loom_return_promises_total",
			     "Refused callers that were promised a time at "
			     "which their call goes first.");
	counters->promises_kept =
		open_counter(registry, "loom_return_promises_kept_total",
			     "Promised callers that returned and were "
			     "answered.");
	counters->promises_broken =
		open_counter(registry, "loom_return_promises_broken_total",
			     "Promised callers that returned and were not "
			     "answered, and promises dropped for room.");
	counters->early_returns =
		open_counter(registry, "loom_early_returns_refused_total",
			     "Callers refused at once because they returned "
			     "earlier than told.");
}

static struct cnt_counter *open_check_counter(struct cnt_registry *registry,
					      const char *labels)
{
	return cnt_get_counter(registry, CNT_KIND_COUNTER,
			       "loom_target_checks_total", labels,
			       "Questions to the target whether it is cold.");
}

static void open_check_counters(struct tr_counters *counters,
				struct cnt_registry *registry)
{
	counters->checks_warm = open_check_counter(registry, "answer=\"warm\"");
	counters->checks_cold = open_check_counter(registry, "answer=\"cold\"");
	counters->checks_unanswered =
		open_check_counter(registry, "answer=\"none\"");
}

static void open_connection_counters(struct tr_counters *counters,
				     struct cnt_registry *registry)
{
	counters->connections_closed =
		open_counter(registry, "loom_connections_closed_total",
			     "Slow or idle connections closed.");
	counters->connections_evicted =
		open_counter(registry, "loom_connections_evicted_total",
			     "Connections closed for memory or descriptors.");
}

static void open_malformed_counters(struct tr_counters *counters,
				    struct cnt_registry *registry)
{
	open_counter_pair(registry, counters->malformed,
			  "loom_malformed_answers_total",
			  "Answers dropped for their syntax or framing.");
	open_counter_pair(registry, counters->malformed_headers,
			  "loom_malformed_headers_total",
			  "Headers of nodes ignored as malformed.");
	counters->reports_rejected =
		open_counter(registry, "loom_target_reports_rejected_total",
			     "Load headers of targets that were malformed or "
			     "cannot be true.");
}

static void open_counters(struct tr_counters *counters,
			  struct cnt_registry *registry)
{
	open_counter_pair(registry, counters->calls, "loom_calls_total",
			  "Calls taken in.");
	open_counter_pair(registry, counters->answers, "loom_answers_total",
			  "Answers relayed.");
	open_counter_pair(registry, counters->refusals, "loom_refusals_total",
			  "Calls refused or failed by the node.");
	open_counter_pair(registry, counters->broken,
			  "loom_broken_answers_total",
			  "Answers that broke off.");
	open_malformed_counters(counters, registry);
	open_counter_pair(registry, counters->cancelled, "loom_cancelled_total",
			  "Calls whose caller hung up.");
	counters->durations[TR_ROLE_ENTRY] = cnt_get_histogram(
		registry, "loom_call_duration_seconds", "side=\"entry\"",
		"Time from a call's headers to the end of its answer.");
	counters->durations[TR_ROLE_HOP] = cnt_get_histogram(
		registry, "loom_call_duration_seconds", "side=\"hop\"",
		"Time from a call's headers to the end of its answer.");
	counters->local_calls =
		open_counter(registry, "loom_local_calls_total",
			     "Attempts admitted without a second hop.");
	counters->retries = open_counter(registry, "loom_retries_total",
					 "Attempts after the first.");
	counters->repeats_stopped =
		open_counter(registry, "loom_repeats_stopped_total",
			     "Second sends by the HTTP library stopped.");
	open_connection_counters(counters, registry);
	counters->foreign =
		open_counter(registry, "loom_foreign_answers_total",
			     "Answers that belong to no request or another.");
	counters->early_refusals =
		open_counter(registry, "loom_early_refusals_total",
			     "Calls refused without asking a target, by the "
			     "waits that their gates report.");
	counters->calls_away =
		open_counter(registry, "loom_calls_away_total",
			     "Attempts sent to another failure domain by "
			     "overload control.");
	open_return_counters(counters, registry);
	counters->unanswered =
		open_counter(registry, "loom_unanswered_calls_total",
			     "Calls given up because the target answered "
			     "later ones but not them.");
	open_check_counters(counters, registry);
	counters->tables = open_counter(registry, "loom_tables_total",
					"Tables taken over by a thread.");
	load_open_counters(&counters->load, registry);
	counters->commands =
		open_counter(registry, "loom_commands_total",
			     "Commands of the control thread carried out.");
}

/* The threads share the link equally. */
static void open_pacing(struct tr_service *service, struct tr_thread *thread,
			struct cnt_registry *registry)
{
	const struct tr_options *options = &service->options;
	struct hx_pacing_options *pacing = &thread->pacing_options;
	char labels[32];

	if (options->overload.link_kbit_s == 0)
		return;
	g_snprintf(labels, sizeof(labels), "thread=\"%u\"", thread->index);
	*pacing = (struct hx_pacing_options){
		.link_kbit_s =
			options->overload.link_kbit_s / options->thread_count,
		.short_bytes = cnt_get_counter(
			registry, CNT_KIND_COUNTER, "loom_sent_bytes_total",
			"class=\"short\"",
			"Bytes of answers sent, by size of the answer."),
		.large_bytes = cnt_get_counter(
			registry, CNT_KIND_COUNTER, "loom_sent_bytes_total",
			"class=\"large\"",
			"Bytes of answers sent, by size of the answer."),
		.waiting_answers = cnt_get_counter(
			registry, CNT_KIND_GAUGE, "loom_link_waiting_answers",
			labels, "Large answers that wait for the link."),
		.longest_wait_us = cnt_get_counter(
			registry, CNT_KIND_GAUGE,
			"loom_link_longest_wait_microseconds", labels,
			"Longest recent wait of a large answer for the link."),
	};
}

/* Opens a histogram of the waits at the gate for each class of calls. */
static void open_gate_waits(struct tr_counters *counters,
			    struct cnt_registry *registry)
{
	static const char *const labels[RT_CLASS_COUNT] = {
		"class=\"nested\"", "class=\"returned\"", "class=\"rank0\"",
		"class=\"rank1\"",  "class=\"low\"",
	};

	for (uint32_t i = 0; i < RT_CLASS_COUNT; i++)
		counters->gate_waits[i] = cnt_get_histogram(
			registry, "loom_gate_wait_seconds", labels[i],
			"Time that calls waited for a slot of the target.");
}

static int destroy_service(struct tr_service *service)
{
	for (uint32_t i = 0; i < service->options.thread_count; i++) {
		struct tr_thread *thread = &service->threads[i];
		struct tr_command *command;

		if (!thread->is_running)
			continue;
		command = g_new0(struct tr_command, 1);
		command->kind = TR_COMMAND_STOP;
		tr_send_command(thread, command);
	}
	for (uint32_t i = 0; i < service->options.thread_count; i++)
		tr_join_thread(&service->threads[i]);
	tr_close_samples(service);
	tr_close_inquiries(service);
	return 0;
}

static const struct tr_header_names default_names = {
	.request_id = TR_HEADER_REQUEST_ID,
	.deadline = TR_HEADER_DEADLINE,
	.instance = TR_HEADER_INSTANCE,
	.caller = TR_HEADER_CALLER,
	.not_run = TR_HEADER_NOT_RUN,
};

void tr_set_default_options(struct tr_options *options)
{
	*options = (struct tr_options){
		.thread_count = 1,
		.connections_max = CONNECTIONS_MAX,
		.idle_timeout_ms = IDLE_TIMEOUT_MS,
		.header_timeout_ms = HEADER_TIMEOUT_MS,
		.header_bytes_max = HEADER_BYTES_MAX,
		.overload.retry_budget_permille = RETRY_BUDGET_PERMILLE,
		.policy = RT_POLICY_TWO_CHOICES,
		.names = &default_names,
		.caller_service = "",
	};
}

struct tr_service *tr_new_service(TALLOC_CTX *ctx,
				  struct tevent_context *events,
				  struct cnt_registry *counters,
				  const struct tr_options *options,
				  GError **error)
{
	struct tr_service *service = talloc_zero(ctx, struct tr_service);

	assert(options->thread_count > 0);
	service->options = *options;
	service->idle_timeout_ms = options->idle_timeout_ms;
	service->header_timeout_ms = options->header_timeout_ms;
	service->options.address = talloc_strdup(service, options->address);
	service->options.failure_domain =
		talloc_strdup(service, options->failure_domain);
	service->options.caller_service =
		talloc_strdup(service, options->caller_service);
	service->hop_address = talloc_asprintf(
		service, "%s:%u", options->address, options->hop_port);
	service->threads = talloc_zero_array(service, struct tr_thread,
					     options->thread_count);
	open_counters(&service->counters, counters);
	if (options->overload.is_enabled)
		open_gate_waits(&service->counters, counters);
	talloc_set_destructor(service, destroy_service);
	if (!tr_open_samples(service, events, error) ||
	    !tr_open_inquiries(service, events, error))
		goto out_free;
	for (uint32_t i = 0; i < options->thread_count; i++) {
		struct tr_thread *thread = &service->threads[i];

		thread->service = service;
		thread->index = i;
		open_pacing(service, thread, counters);
		if (!tr_start_thread(thread, error))
			goto out_free;
	}
	return service;
out_free:
	talloc_free(service);
	return NULL;
}

void tr_set_table(struct tr_service *service, struct rt_table *table)
{
	for (uint32_t i = 0; i < service->options.thread_count; i++) {
		struct tr_thread *thread = &service->threads[i];
		struct rt_table *superseded = atomic_exchange(
			&thread->pending_table, rt_ref_table(table));

		if (superseded)
			rt_unref_table(superseded);
		tr_wake_thread(thread);
	}
}

void tr_set_caller_limits(struct tr_service *service,
			  const struct doc_caller_limits *limits)
{
	service->idle_timeout_ms = limits->idle_timeout_ms;
	service->header_timeout_ms = limits->header_timeout_ms;
}

static void send_to_first_thread(struct tr_service *service,
				 const struct tr_command *command)
{
	tr_send_command(&service->threads[0],
			g_memdup2(command, sizeof(*command)));
}

void tr_announce_target(struct tr_service *service,
			const struct tr_target *target)
{
	struct tr_command command = { .kind = TR_COMMAND_ANNOUNCE };

	command.announce.service = g_strdup(target->service);
	command.announce.version = g_strdup(target->version);
	command.announce.instance = g_strdup(target->instance);
	command.announce.url =
		g_strdup_printf("http://%s:%u", target->address, target->port);
	send_to_first_thread(service, &command);
	tr_handle_heartbeat(service, target->slots, target->warm_up_ms);
}

void tr_handle_heartbeat(struct tr_service *service, uint32_t slots,
			 uint32_t warm_up_ms)
{
	struct tr_command command = { .kind = TR_COMMAND_HEARTBEAT };

	command.heartbeat.slots = slots;
	command.heartbeat.warm_up_ms = warm_up_ms;
	send_to_first_thread(service, &command);
}

void tr_drain_target(struct tr_service *service)
{
	struct tr_command command = { .kind = TR_COMMAND_DRAIN_TARGET };

	send_to_first_thread(service, &command);
}

void tr_set_limit_hint(struct tr_service *service, uint32_t hinted_limit)
{
	struct tr_command command = { .kind = TR_COMMAND_LIMIT_HINT,
				      .hinted_limit = hinted_limit };

	send_to_first_thread(service, &command);
}

static void send_to_all_threads(struct tr_service *service,
				const struct tr_command *command)
{
	for (uint32_t i = 0; i < service->options.thread_count; i++)
		tr_send_command(&service->threads[i],
				g_memdup2(command, sizeof(*command)));
}

void tr_begin_drain(struct tr_service *service, uint32_t time_ms)
{
	struct tr_command command = { .kind = TR_COMMAND_BEGIN_DRAIN };

	/* All timer services read the same clock. */
	command.drain_end_ms =
		tmr_get_now_ms(service->threads[0].timers) + time_ms;
	send_to_all_threads(service, &command);
}

void tr_refuse_callers(struct tr_service *service)
{
	struct tr_command command = { .kind = TR_COMMAND_REFUSE_CALLERS };

	send_to_all_threads(service, &command);
}

bool tr_are_callers_refused(const struct tr_service *service)
{
	for (uint32_t i = 0; i < service->options.thread_count; i++) {
		if (!service->threads[i].is_refusing)
			return false;
	}
	return true;
}

uint32_t tr_get_call_count(const struct tr_service *service)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < service->options.thread_count; i++)
		count += atomic_load(&service->threads[i].call_count);
	return count;
}
