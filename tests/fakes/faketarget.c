/*
 * faketarget: an HTTP server that acts as a target in tests.
 *
 * It announces itself to the node of its vm, answers calls, and counts the
 * calls beyond its capacity. The query of a request controls the answer:
 *   ms=N      answer after N ms (default: --latency-ms)
 *   status=N  answer with that status
 *   bytes=N   answer with N bytes (default: the request's body, or one line
 *             that names service, version and address)
 *   abort=1   close the connection instead of answering
 * GET /_stats returns the counters. "bearable" is the current capacity,
 * "overloads" counts calls that arrived while as many were running, and
 * "repeated" counts calls whose request id had run before. GET /_ran?id=ID
 * returns 1 when a call with that request id ran, otherwise 0.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <argtable2.h>
#include <jansson.h>
#include "loom/http.h"
#include "loom/timer.h"

#define ANNOUNCE_PERIOD_MS 1000U
#define ANNOUNCE_TIMEOUT_MS 1000U
#define BODY_BYTES_MAX (64U * 1024U * 1024U)
#define ANSWER_BYTES_MAX 65536U

struct target {
	struct tevent_context *events;
	struct tmr_service *timers;
	struct hc_loop *client;
	struct web_server *server;
	const char *address;
	const char *node; /* "ADDRESS:PORT" of the administration port */
	const char *service;
	const char *version;
	char *instance;
	uint32_t latency_ms;
	uint32_t slots;	     /* concurrent calls of a warm target */
	uint32_t cold_calls; /* calls after which the capacity is slots */
	uint32_t fail_permille;
	uint64_t fail_after_calls;
	bool is_shedding; /* refuses calls beyond its capacity */
	bool is_leaving;  /* after SIGTERM: ends when no call is running */
	bool is_stopping; /* ends the event loop */
	uint32_t running;
	uint32_t peak;
	uint64_t calls;
	uint64_t overloads;
	uint64_t cancelled;
	uint64_t repeated;
	GHashTable *ids; /* ids of the requests that ran */
};

/* A call that is answered when its timer fires. */
struct call {
	struct target *target;
	struct web_request *request;
	struct tmr_subscription *timer;
	uint32_t status;
	uint64_t bytes;
	bool is_aborted;
};

static uint64_t get_number(const struct web_request *request, const char *name,
			   uint64_t default_value)
{
	const char *text = web_get_query(request, name);

	return text ? g_ascii_strtoull(text, NULL, 10) : default_value;
}

/*
 * Returns how many calls the target can run at once. This rises from one, on a
 * cold target, in proportion to the calls that it got, up to its slots.
 */
static uint32_t get_capacity(const struct target *target)
{
	uint64_t capacity;

	if (target->calls >= target->cold_calls)
		return target->slots;
	capacity = 1 + target->calls * target->slots / target->cold_calls;
	return (uint32_t)MIN(capacity, target->slots);
}

/* Spreads the failures evenly over the calls after fail_after_calls. */
static uint32_t get_status(const struct target *target)
{
	uint64_t n;

	if (target->calls <= target->fail_after_calls)
		return 200;
	n = target->calls - target->fail_after_calls;
	return n * target->fail_permille / 1000 >
			       (n - 1) * target->fail_permille / 1000
		       ? 500
		       : 200;
}

static void reply_stats(struct target *target, struct web_request *request)
{
	json_t *stats =
		json_pack("{s:I,s:i,s:i,s:I,s:I,s:I,s:i}", "calls",
			  (json_int_t)target->calls, "running",
			  (int)target->running, "peak", (int)target->peak,
			  "overloads", (json_int_t)target->overloads,
			  "cancelled", (json_int_t)target->cancelled,
			  "repeated", (json_int_t)target->repeated, "bearable",
			  (int)get_capacity(target));
	char *text = json_dumps(stats, JSON_COMPACT | JSON_PRESERVE_ORDER);

	web_reply(request, 200, "application/json", text, strlen(text));
	free(text);
	json_decref(stats);
}

static void reply_ran(struct target *target, struct web_request *request)
{
	const char *id = web_get_query(request, "id");
	bool has_run = id && g_hash_table_contains(target->ids, id);

	web_reply(request, 200, "text/plain", has_run ? "1\n" : "0\n", 2);
}

static void reply_bytes(struct call *call)
{
	char *bytes = g_malloc(call->bytes + 1);

	memset(bytes, 'x', call->bytes);
	web_reply(call->request, call->status, "application/octet-stream",
		  bytes, call->bytes);
	g_free(bytes);
}

static void reply_line(struct call *call)
{
	const struct target *target = call->target;
	size_t size;
	const char *body = web_get_body(call->request, &size);
	char *line;

	if (size > 0) {
		web_reply(call->request, call->status,
			  "application/octet-stream", body, size);
		return;
	}
	line = g_strdup_printf("%s %s from %s\n", target->service,
			       target->version, target->address);
	web_reply(call->request, call->status, "text/plain", line,
		  strlen(line));
	g_free(line);
}

static void finish_call(uint64_t now_ms, void *data)
{
	struct call *call = data;

	call->target->running--;
	call->timer = NULL;
	web_set_closed_fn(call->request, NULL, NULL);
	if (call->is_aborted)
		web_abort(call->request);
	else if (call->bytes > 0)
		reply_bytes(call);
	else
		reply_line(call);
	talloc_free(call);
}

static void cancel_call(void *data)
{
	struct call *call = data;

	if (!call->timer)
		return;
	call->target->cancelled++;
	call->target->running--;
	talloc_free(call->timer);
	talloc_free(call);
}

static void record_id(struct target *target, const struct web_request *request)
{
	const char *id = web_get_header(request, "Loom-Request-Id");

	if (id && !g_hash_table_add(target->ids, g_strdup(id)))
		target->repeated++;
}

static void handle_call(struct web_request *request, void *data)
{
	struct target *target = data;
	uint32_t latency_ms;
	struct call *call;

	if (strcmp(web_get_path(request), "/_stats") == 0) {
		reply_stats(target, request);
		return;
	}
	if (strcmp(web_get_path(request), "/_ran") == 0) {
		reply_ran(target, request);
		return;
	}
	if (target->running >= get_capacity(target)) {
		target->overloads++;
		if (target->is_shedding) {
			web_add_header(request, "Loom-Not-Run", "true");
			web_reply(request, 503, "text/plain", "shed\n", 5);
			return;
		}
	}
	record_id(target, request);
	target->calls++;
	target->running++;
	target->peak = MAX(target->peak, target->running);
	call = talloc_zero(target, struct call);
	call->target = target;
	call->request = request;
	call->status =
		(uint32_t)get_number(request, "status", get_status(target));
	call->bytes = get_number(request, "bytes", 0);
	call->is_aborted = get_number(request, "abort", 0) != 0;
	latency_ms = (uint32_t)get_number(request, "ms", target->latency_ms);
	if (latency_ms == 0) {
		finish_call(0, call);
		return;
	}
	web_set_closed_fn(request, cancel_call, call);
	call->timer = tmr_subscribe_once(call, target->timers, latency_ms,
					 finish_call, call);
}

static void handle_announced(const struct hc_answer *answer, void *data)
{
	struct target *target = data;

	/* The body of the node's answer says why it was refused. */
	if (!answer->error && answer->status != 200)
		fprintf(stderr,
			"faketarget %s: node refused the announcement with "
			"status %u: %s\n",
			target->address, answer->status, answer->body);
}

static void announce(struct target *target)
{
	json_t *value = json_pack(
		"{s:s,s:s,s:i,s:s,s:s}", "service", target->service, "version",
		target->version, "port", (int)web_get_port(target->server),
		"phase", target->is_leaving ? "leaving" : "serving", "instance",
		target->instance);
	char *body = json_dumps(value, JSON_COMPACT);
	char *url = talloc_asprintf(target, "http://%s/target", target->node);
	struct hc_options options = { .method = "POST",
				      .url = url,
				      .body = body,
				      .body_size = strlen(body),
				      .timeout_ms = ANNOUNCE_TIMEOUT_MS,
				      .answer_bytes_max = ANSWER_BYTES_MAX };

	hc_send(target, target->client, &options, handle_announced, target);
	talloc_free(url);
	free(body);
	json_decref(value);
}

static void handle_period(uint64_t now_ms, void *data)
{
	struct target *target = data;

	announce(target);
	if (target->is_leaving && target->running == 0)
		target->is_stopping = true;
}

static void handle_signal(struct tevent_context *events,
			  struct tevent_signal *signal, int number, int count,
			  void *info, void *data)
{
	struct target *target = data;

	if (target->is_leaving)
		target->is_stopping = true;
	target->is_leaving = true;
	announce(target);
}

static bool open_target(struct target *target, uint16_t port)
{
	struct web_options options = { .address = target->address,
				       .port = port,
				       .body_bytes_max = BODY_BYTES_MAX,
				       .fn = handle_call,
				       .data = target };
	GError *error = NULL;

	target->client = hc_new_loop(target, target->events, &error);
	if (target->client)
		target->server = web_new_server(target, target->events,
						&options, &error);
	if (target->server)
		return true;
	fprintf(stderr, "faketarget: %s\n", error->message);
	g_error_free(error);
	return false;
}

static int run_target(struct target *target, uint16_t port)
{
	int exit_code = EXIT_FAILURE;

	target->events = tevent_context_init(target);
	target->timers = tmr_new(target, target->events);
	target->ids =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	target->instance =
		talloc_asprintf(target, "%d-%" G_GUINT64_FORMAT, (int)getpid(),
				tmr_get_wall_ms(target->timers));
	signal(SIGPIPE, SIG_IGN);
	tevent_add_signal(target->events, target, SIGTERM, 0, handle_signal,
			  target);
	if (!open_target(target, port))
		goto out;
	printf("listening on %s:%u\n", target->address,
	       web_get_port(target->server));
	fflush(stdout);
	announce(target);
	tmr_subscribe_every(target, target->timers, ANNOUNCE_PERIOD_MS,
			    handle_period, target);
	while (!target->is_stopping)
		tevent_loop_once(target->events);
	exit_code = EXIT_SUCCESS;
out:
	TALLOC_FREE(target->server);
	TALLOC_FREE(target->client);
	g_hash_table_destroy(target->ids);
	return exit_code;
}

int main(int argc, char **argv)
{
	struct target *target = talloc_zero(NULL, struct target);
	struct arg_str *address =
		arg_str1(NULL, "address", "IP", "address to listen on");
	struct arg_int *port = arg_int0(NULL, "port", "N", "port to listen on");
	struct arg_str *node = arg_str1(NULL, "node", "IP:PORT",
					"administration port of its vm's node");
	struct arg_str *service =
		arg_str1(NULL, "service", "NAME", "service that it serves");
	struct arg_str *version =
		arg_str1(NULL, "version", "NAME", "version that it serves");
	struct arg_int *latency =
		arg_int0(NULL, "latency-ms", "N",
			 "time until a call is answered, in ms");
	struct arg_int *slots = arg_int0(
		NULL, "slots", "N", "calls that it can run at once when warm");
	struct arg_int *cold = arg_int0(NULL, "cold-calls", "N",
					"calls until all slots are usable");
	struct arg_int *fail =
		arg_int0(NULL, "fail-permille", "N",
			 "calls per thousand answered with status 500");
	struct arg_int *fail_after =
		arg_int0(NULL, "fail-after-calls", "N",
			 "successful calls before the first failure");
	struct arg_lit *shed = arg_lit0(
		NULL, "shed", "refuse calls beyond the capacity with 503");
	struct arg_end *end = arg_end(8);
	void *arguments[] = { address, port, node, service,    version, latency,
			      slots,   cold, fail, fail_after, shed,	end };
	int exit_code = EXIT_FAILURE;

	*port->ival = 0;
	*latency->ival = 0;
	*slots->ival = 12;
	*cold->ival = 0;
	*fail->ival = 0;
	*fail_after->ival = 0;
	if (arg_parse(argc, argv, arguments) > 0) {
		arg_print_errors(stderr, end, "faketarget");
		goto out;
	}
	target->address = address->sval[0];
	target->node = node->sval[0];
	target->service = service->sval[0];
	target->version = version->sval[0];
	target->latency_ms = (uint32_t)*latency->ival;
	target->slots = (uint32_t)*slots->ival;
	target->cold_calls = (uint32_t)*cold->ival;
	target->fail_permille = (uint32_t)*fail->ival;
	target->fail_after_calls = (uint64_t)*fail_after->ival;
	target->is_shedding = shed->count > 0;
	exit_code = run_target(target, (uint16_t)*port->ival);
out:
	arg_freetable(arguments, G_N_ELEMENTS(arguments));
	talloc_free(target);
	return exit_code;
}
