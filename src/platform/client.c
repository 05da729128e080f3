/*
 * Queue of tries. Each try takes a token of the client's token bucket and
 * counts as in flight until its response. The long polls of watches take a
 * token but are not counted in flight, because they would block all other
 * calls.
 *
 * Invariants: a call is in the queue exactly while is_queued is set; in_flight
 * is the number of calls, without watches, whose request is set; a finished
 * call is not queued and has no request, and its fn runs once, from a timer.
 */
#include "client.h"

#include <assert.h>
#include <string.h>
#include "loom/error.h"

#define PLAT_TIMEOUT_MS 10000U
#define PLAT_CALLS_PER_SECOND 10U
#define PLAT_BURST_CALLS 20U
#define PLAT_TRIES_PER_TIMEOUT 3U
#define PLAT_ANSWER_BYTES_MAX (16U * 1024 * 1024)

struct plat_client {
	struct tmr_service *timers;
	struct cnt_registry *counters;
	struct plat_options options;
	struct hc_loop *http;
	GRand *random;
	struct plat_floors *floors;
	struct plat_eras eras;
	struct plat_bucket bucket;
	GQueue calls; /* struct plat_call, all calls of the client */
	GQueue queue; /* calls whose try waits to be sent */
	uint32_t in_flight;
	struct tmr_subscription *token_timer;
	struct cnt_counter *waiting_watches;
	struct plat_watch *prober; /* retries while the store is unavailable */
	GQueue parked; /* struct plat_watch; wait until the prober succeeds */
	uint64_t write_count;
	uint64_t answered_ms; /* when the store last answered a call */
};

static const char *const kind_names[PLAT_CALL_KIND_COUNT] = {
	"get", "list", "put", "put_status", "delete", "watch",
};

static void send_queued_tries(struct plat_client *client);

static void count_try(struct plat_client *client, enum plat_call_kind kind,
		      enum plat_outcome outcome)
{
	char *labels = talloc_asprintf(client, "kind=\"%s\",result=\"%s\"",
				       kind_names[kind],
				       plat_get_outcome_name(outcome));

	cnt_add(plat_get_counter(client, CNT_KIND_COUNTER, "calls_total",
				 labels, "Tries of calls to the platform."),
		1);
	talloc_free(labels);
}

static bool is_answered(const struct plat_answer *answer)
{
	switch (answer->outcome) {
	case PLAT_DONE:
	case PLAT_ABSENT:
	case PLAT_CONFLICT:
	case PLAT_HISTORY_GONE:
		return true;
	case PLAT_REJECTED:
	case PLAT_REFUSED:
	case PLAT_NOT_SENT:
	case PLAT_LOST:
	case PLAT_OUTCOME_COUNT:
		break;
	}
	return false;
}

static void clear_request(struct plat_call *call)
{
	call->request = NULL;
	if (call->operation.kind == PLAT_CALL_WATCH)
		cnt_add(call->client->waiting_watches, -1);
	else
		call->client->in_flight--;
}

/* Removes a call from the queue and cancels its request. */
static void stop_try(struct plat_call *call)
{
	TALLOC_FREE(call->delay_timer);
	if (call->is_queued) {
		g_queue_remove(&call->client->queue, call);
		call->is_queued = false;
	}
	if (call->request) {
		talloc_free(call->request);
		clear_request(call);
	}
}

static struct plat_operation get_try_operation(const struct plat_call *call)
{
	struct plat_operation operation = call->operation;

	operation.kind = call->try_kind;
	return operation;
}

static void handle_answer(const struct hc_answer *http, void *data)
{
	struct plat_call *call = data;
	struct plat_client *client = call->client;
	struct plat_operation operation = get_try_operation(call);
	struct plat_answer *answer = plat_parse_answer(
		call, client->options.dialect, &operation, http);

	clear_request(call);
	plat_note_answer_era(call, http, answer);
	count_try(client, call->operation.kind, answer->outcome);
	if (is_answered(answer))
		client->answered_ms = tmr_get_now_ms(client->timers);
	if (answer->is_overload)
		plat_note_overload(&call->backoff);
	call->try_fn(call, answer);
	if (answer != call->stale_answer && !answer->is_borrowed)
		talloc_free(answer);
	send_queued_tries(client);
}

static void send_try(struct plat_call *call)
{
	struct plat_client *client = call->client;
	TALLOC_CTX *scratch = talloc_new(call);
	struct plat_operation operation = get_try_operation(call);
	struct plat_http_request message = { 0 };
	const char *headers[3] = { "Content-Type: application/json" };
	struct hc_options options = {
		.headers = headers,
		.timeout_ms = call->try_timeout_ms,
		.answer_bytes_max = PLAT_ANSWER_BYTES_MAX,
		.answer_header = client->options.dialect->era_header,
	};

	client->options.dialect->make_http_request(scratch, &operation,
						   &message);
	headers[1] = message.header;
	options.method = message.method;
	options.url = talloc_asprintf(scratch, "%s%s", client->options.base_url,
				      message.path);
	options.body = message.body;
	options.body_size = message.body ? strlen(message.body) : 0;
	call->request =
		hc_send(client, client->http, &options, handle_answer, call);
	if (call->operation.kind == PLAT_CALL_WATCH)
		cnt_add(client->waiting_watches, 1);
	else
		client->in_flight++;
	talloc_free(scratch);
}

/* Returns whether the try is a write on a version of an older era. */
static bool is_condition_lost(const struct plat_call *call)
{
	return call->operation.expected_version > 0 &&
	       call->try_kind != PLAT_CALL_GET && plat_is_call_outdated(call);
}

/* Ends a try without sending it, as the store answers a lost revision. */
static void refuse_try(struct plat_call *call)
{
	struct plat_answer *answer = talloc_zero(call, struct plat_answer);

	answer->outcome = PLAT_HISTORY_GONE;
	call->try_fn(call, answer);
	talloc_free(answer);
}

static void handle_token_timer(uint64_t now_ms, void *data)
{
	struct plat_client *client = data;

	client->token_timer = NULL;
	send_queued_tries(client);
}

static void send_queued_tries(struct plat_client *client)
{
	struct plat_call *call;
	uint32_t wait_ms;

	while ((call = g_queue_peek_head(&client->queue)) &&
	       client->in_flight < PLAT_IN_FLIGHT_MAX) {
		wait_ms = plat_take_token(&client->bucket,
					  tmr_get_now_ms(client->timers));
		if (wait_ms > 0) {
			TALLOC_FREE(client->token_timer);
			client->token_timer = tmr_subscribe_once(
				client, client->timers, wait_ms,
				handle_token_timer, client);
			return;
		}
		g_queue_pop_head(&client->queue);
		call->is_queued = false;
		if (is_condition_lost(call))
			refuse_try(call);
		else
			send_try(call);
	}
}

static void handle_delay_end(uint64_t now_ms, void *data)
{
	struct plat_call *call = data;

	call->delay_timer = NULL;
	call->is_queued = true;
	g_queue_push_tail(&call->client->queue, call);
	send_queued_tries(call->client);
}

static int destroy_call(struct plat_call *call)
{
	if (call->is_freed)
		*call->is_freed = true;
	if (call->client) {
		stop_try(call);
		g_queue_remove(&call->client->calls, call);
	}
	g_clear_error(&call->error);
	json_decref(call->value);
	return 0;
}

static void deliver_result(uint64_t now_ms, void *data)
{
	struct plat_call *call = data;
	bool *is_freed = talloc_zero(NULL, bool);

	call->delay_timer = NULL;
	call->is_freed = is_freed;
	if (!call->error && plat_is_answer_outdated(call))
		plat_fail_outdated(call);
	call->fn(&call->result, call->data);
	if (!*is_freed)
		talloc_free(call);
	talloc_free(is_freed);
}

static void handle_expiry(uint64_t now_ms, void *data)
{
	struct plat_call *call = data;
	struct plat_answer *answer = talloc_zero(call, struct plat_answer);

	call->expiry_timer = NULL;
	call->is_expired = true;
	call->is_try_interrupted = call->request != NULL;
	stop_try(call);
	answer->outcome = PLAT_LOST;
	call->try_fn(call, answer);
	send_queued_tries(call->client);
}

static int destroy_client(struct plat_client *client)
{
	struct plat_call *call;

	/* Calls are owned by their callers and may outlive the client. */
	while ((call = g_queue_pop_head(&client->calls))) {
		stop_try(call);
		TALLOC_FREE(call->expiry_timer);
		call->client = NULL;
	}
	g_rand_free(client->random);
	return 0;
}

static bool check_options(const struct plat_options *options, GError **error)
{
	static const char step[] = "open platform client";

	if (!g_str_has_prefix(options->base_url, "http://")) {
		err_set(error, ERR_INVALID_ARGUMENT, step, options->base_url,
			"got URL \"%s\", wanted http://ADDRESS:PORT",
			options->base_url);
		return false;
	}
	if (options->timeout_ms < PLAT_TRIES_PER_TIMEOUT ||
	    options->calls_per_second == 0 || options->burst_calls == 0 ||
	    options->retry_wait_ms_max == 0) {
		err_set(error, ERR_INVALID_ARGUMENT, step, options->base_url,
			"got timeout %u ms, %u calls/s, burst %u, waits of "
			"%u ms; wanted at least %u, 1, 1 and 1",
			options->timeout_ms, options->calls_per_second,
			options->burst_calls, options->retry_wait_ms_max,
			PLAT_TRIES_PER_TIMEOUT);
		return false;
	}
	return true;
}

void plat_set_default_options(struct plat_options *options,
			      const char *base_url)
{
	*options = (struct plat_options){
		.base_url = base_url,
		.timeout_ms = PLAT_TIMEOUT_MS,
		.calls_per_second = PLAT_CALLS_PER_SECOND,
		.burst_calls = PLAT_BURST_CALLS,
		.retry_wait_ms_max = PLAT_BACKOFF_CAP_MS,
		.start_jitter_ms = PLAT_START_JITTER_MS,
		.dialect = &plat_native_dialect,
		.seed = (uint64_t)g_random_int() << 32 | g_random_int(),
	};
}

struct plat_client *
plat_new_client(TALLOC_CTX *ctx, struct tevent_context *events,
		struct tmr_service *timers, struct cnt_registry *counters,
		const struct plat_options *options, GError **error)
{
	struct plat_client *client;
	guint32 seed[2];

	if (!check_options(options, error))
		return NULL;
	client = talloc_zero(ctx, struct plat_client);
	client->timers = timers;
	client->counters = counters;
	client->options = *options;
	client->options.base_url = talloc_strdup(client, options->base_url);
	client->http = hc_new_loop(client, events, error);
	if (!client->http) {
		talloc_free(client);
		return NULL;
	}
	seed[0] = (guint32)options->seed;
	seed[1] = (guint32)(options->seed >> 32);
	client->random = g_rand_new_with_seed_array(seed, G_N_ELEMENTS(seed));
	client->floors = plat_new_floors(client);
	plat_start_eras(client);
	g_queue_init(&client->calls);
	g_queue_init(&client->queue);
	g_queue_init(&client->parked);
	plat_start_bucket(&client->bucket, options->calls_per_second,
			  options->burst_calls, tmr_get_now_ms(timers));
	client->waiting_watches =
		plat_get_counter(client, CNT_KIND_GAUGE, "waiting_watches",
				 NULL, "Watches that wait at the platform.");
	talloc_set_destructor(client, destroy_client);
	return client;
}

struct plat_call *plat_new_call(TALLOC_CTX *ctx, struct plat_client *client,
				const struct plat_operation *operation,
				plat_try_fn try_fn, plat_result_fn fn,
				void *data)
{
	struct plat_call *call = talloc_zero(ctx, struct plat_call);

	call->client = client;
	call->operation = *operation;
	call->operation.key = talloc_strdup(call, operation->key);
	call->value = json_incref((json_t *)operation->value);
	call->operation.value = call->value;
	plat_start_backoff(&call->backoff, client->options.retry_wait_ms_max);
	call->start_rises = client->eras.rises;
	call->try_fn = try_fn;
	call->fn = fn;
	call->data = data;
	g_queue_push_tail(&client->calls, call);
	talloc_set_destructor(call, destroy_call);
	plat_set_time_limit(call, client->options.timeout_ms);
	return call;
}

void plat_set_time_limit(struct plat_call *call, uint32_t timeout_ms)
{
	talloc_free(call->expiry_timer);
	call->try_timeout_ms = MAX(1, timeout_ms / PLAT_TRIES_PER_TIMEOUT);
	call->expiry_timer = tmr_subscribe_once(
		call, call->client->timers, timeout_ms, handle_expiry, call);
}

void plat_queue_try(struct plat_call *call, enum plat_call_kind kind,
		    uint32_t delay_ms)
{
	assert(!call->delay_timer && !call->is_queued && !call->request);
	call->try_kind = kind;
	call->delay_timer = tmr_subscribe_once(
		call, call->client->timers, delay_ms, handle_delay_end, call);
}

void plat_queue_retry(struct plat_call *call, enum plat_call_kind kind)
{
	call->result.retry_count++;
	plat_queue_try(
		call, kind,
		plat_choose_backoff_ms(&call->backoff, call->client->random));
}

void plat_finish_call(struct plat_call *call, GError *error)
{
	assert(!call->request && !call->is_queued && !call->error);
	TALLOC_FREE(call->expiry_timer);
	TALLOC_FREE(call->delay_timer);
	call->error = error;
	call->result.error = error;
	call->delay_timer = tmr_subscribe_once(call, call->client->timers, 0,
					       deliver_result, call);
}

bool plat_join_outage(struct plat_client *client, struct plat_watch *watch)
{
	if (!client->prober)
		client->prober = watch;
	if (client->prober == watch)
		return true;
	g_queue_push_tail(&client->parked, watch);
	return false;
}

void plat_end_outage(struct plat_client *client)
{
	struct plat_watch *watch;

	client->prober = NULL;
	while ((watch = g_queue_pop_head(&client->parked)))
		plat_restart_watch(watch);
}

void plat_leave_outage(struct plat_client *client, struct plat_watch *watch)
{
	g_queue_remove(&client->parked, watch);
	if (client->prober == watch)
		plat_end_outage(client);
}

GRand *plat_get_random(struct plat_client *client)
{
	return client->random;
}

struct tmr_service *plat_get_timers(struct plat_client *client)
{
	return client->timers;
}

const struct plat_options *plat_get_options(const struct plat_client *client)
{
	return &client->options;
}

uint64_t plat_get_answered_ms(const struct plat_client *client)
{
	return client->answered_ms;
}

struct plat_eras *plat_get_eras(struct plat_client *client)
{
	return &client->eras;
}

struct plat_floors *plat_get_floors(struct plat_client *client)
{
	return client->floors;
}

struct cnt_counter *plat_get_counter(struct plat_client *client,
				     enum cnt_kind kind, const char *name,
				     const char *labels, const char *help)
{
	char *whole = talloc_asprintf(client, "loom_platform_%s", name);
	struct cnt_counter *counter =
		cnt_get_counter(client->counters, kind, whole, labels, help);

	talloc_free(whole);
	return counter;
}

char *plat_make_write_id(TALLOC_CTX *ctx, struct plat_client *client,
			 const char *holder)
{
	return talloc_asprintf(
		ctx, "%s-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT "-%08x",
		holder, tmr_get_wall_ms(client->timers), ++client->write_count,
		g_rand_int(client->random));
}
