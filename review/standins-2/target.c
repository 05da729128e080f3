/*
 * Stand-in for a platform server: it sends heartbeats, has slots and a cold
 * state, and writes a line to its standard output for each thing that it sees:
 *
 *   run ID MS          it began to work on a request
 *   bad ID MS          it answered that with 500, as FAIL_PERCENT of the POST
 *                      requests are
 *   done ID MS         the answer was sent
 *   reject STATUS ID MS  a request that it did not run
 *   beat SEQ STATUS MS  answer to a heartbeat, 0: none
 *   left STATUS MS     answer to the deregistration
 *   cold MS            it turned cold; warm MS: the time is over
 *   health MS          somebody asked for its health
 *   crash RUNNING MS   it got far more than a cold server bears, and ends
 *
 * MS is the monotonic clock in milliseconds. POST /stand/cold, keep, deliver
 * and leave make it turn cold, make a heartbeat without sending it, send that
 * one, and deregister.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <curl/curl.h>
#include "loom/http.h"
#include "loom/timer.h"
#include "../../platform/names.h"

#define BODY_BYTES_MAX (1024U * 1024)
#define HEARTBEAT_MS 1500U
#define HEARTBEAT_TIMEOUT_MS 1000U
/* Of the small deployments: cold_s, cold_x and cold_per_s of their sheets. */
#define COLD_MS 3000U
#define COLD_FACTOR 2
#define COLD_PER_S 41U
/* It ends at this multiple of cold_per_s. */
#define CRASH_FACTOR 2U
#define ARRIVALS_KEPT 1024U
#define COLD_HEADER "X-Dotterelloom-Cold-Ms"
#define INSTANCE_HEADER "X-Dotterelloom-Instance-Id"

struct target {
	struct tmr_service *timers;
	struct hc_loop *client;
	const char *address;
	const char *control;
	const char *service;
	const char *version;
	char *id;
	int port;
	int slots;
	int work_ms;
	uint32_t fail_percent;
	uint32_t run_count;
	uint64_t born_ms;
	uint64_t cold_until_ms;
	int sequence;
	int running;
	bool is_gone; /* it has deregistered */
	char *kept;   /* a heartbeat that was made and not sent */
	int kept_sequence;
	uint64_t arrivals[ARRIVALS_KEPT];
	uint32_t arrival_count;
};

struct run {
	struct target *target;
	struct web_request *request;
	char *id;
	bool is_post;
};

struct beat {
	struct target *target;
	int sequence;
};

static uint64_t get_now_ms(const struct target *target)
{
	return tmr_get_now_ms(target->timers);
}

static uint64_t get_cold_left_ms(const struct target *target)
{
	uint64_t now_ms = get_now_ms(target);

	return target->cold_until_ms > now_ms ? target->cold_until_ms - now_ms
					      : 0;
}

static void write_line(const struct target *target, const char *what,
		       const char *id)
{
	printf("%s%s%s %llu\n", what, *id ? " " : "", id,
	       (unsigned long long)get_now_ms(target));
	fflush(stdout);
}

static char *make_heartbeat(struct target *target)
{
	char *address =
		talloc_asprintf(target, "%s:%d", target->address, target->port);
	json_t *body = json_pack(
		"{s:s,s:s,s:s,s:s,s:i,s:s,s:I,s:i,s:I}", "service",
		target->service, "address", address, "zone", "zone", "version",
		target->version, "slots", target->slots, "state", PF_WORD_READY,
		"cold_left_ms", (json_int_t)get_cold_left_ms(target), "seq",
		++target->sequence, "born", (json_int_t)target->born_ms);
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	talloc_free(address);
	return text;
}

static void handle_beat_answer(const struct hc_answer *answer, void *data)
{
	struct beat *beat = data;
	char text[64];

	snprintf(text, sizeof(text), "%d %u", beat->sequence,
		 answer->error ? 0 : answer->status);
	write_line(beat->target, "beat", text);
	talloc_free(beat);
}

static void post(struct target *target, const char *call, const char *body,
		 hc_answer_fn fn, void *data)
{
	char *url =
		talloc_asprintf(target, "http://%s" PF_PATH_INSTANCES "%s%s",
				target->control, target->id, call);
	struct hc_options options = {
		.method = "POST",
		.url = url,
		.body = body,
		.body_size = strlen(body),
		.timeout_ms = HEARTBEAT_TIMEOUT_MS,
		.answer_bytes_max = 4096,
	};

	hc_send(target, target->client, &options, fn, data);
	talloc_free(url);
}

static void send_heartbeat(struct target *target, const char *body,
			   int sequence)
{
	struct beat *beat = talloc(target, struct beat);

	*beat = (struct beat){ .target = target, .sequence = sequence };
	post(target, PF_CALL_HEARTBEAT, body, handle_beat_answer, beat);
}

static void handle_heartbeat_time(uint64_t now_ms, void *data)
{
	struct target *target = data;
	char *body;

	if (target->is_gone)
		return;
	body = make_heartbeat(target);
	send_heartbeat(target, body, target->sequence);
	free(body);
}

static void handle_left(const struct hc_answer *answer, void *data)
{
	char text[16];

	snprintf(text, sizeof(text), "%u", answer->error ? 0 : answer->status);
	write_line(data, "left", text);
}

static void leave(struct target *target)
{
	char *body = talloc_asprintf(target, "{\"born\":%llu,\"seq\":%d}",
				     (unsigned long long)target->born_ms,
				     ++target->sequence);

	target->is_gone = true;
	post(target, PF_CALL_DEREGISTER, body, handle_left, target);
	talloc_free(body);
}

static void turn_warm(uint64_t now_ms, void *data)
{
	write_line(data, "warm", "");
}

static void turn_cold(struct target *target)
{
	target->cold_until_ms = get_now_ms(target) + COLD_MS;
	target->arrival_count = 0;
	write_line(target, "cold", "");
	tmr_subscribe_once(target, target->timers, COLD_MS, turn_warm, target);
}

static void keep_heartbeat(struct target *target)
{
	free(target->kept);
	target->kept = make_heartbeat(target);
	target->kept_sequence = target->sequence;
}

static void handle_order(struct target *target, struct web_request *request,
			 const char *order)
{
	if (strcmp(order, "cold") == 0)
		turn_cold(target);
	else if (strcmp(order, "keep") == 0)
		keep_heartbeat(target);
	else if (strcmp(order, "deliver") == 0 && target->kept)
		send_heartbeat(target, target->kept, target->kept_sequence);
	else if (strcmp(order, "leave") == 0)
		leave(target);
	web_reply_json(request, 200, json_object());
}

static void add_load(const struct target *target, struct web_request *request)
{
	char text[48];

	snprintf(text, sizeof(text), "%d,0,%d", target->running, target->slots);
	web_add_header(request, pf_header_names.load, text);
}

/* Returns whether the next answer is a failure; these are spread evenly. */
static bool is_next_bad(struct target *target)
{
	uint32_t before = target->run_count++ * target->fail_percent / 100;

	return target->run_count * target->fail_percent / 100 > before;
}

static void end_run(uint64_t now_ms, void *data)
{
	struct run *run = data;
	struct target *target = run->target;
	bool is_bad = run->is_post && is_next_bad(target);

	target->running--;
	add_load(target, run->request);
	web_add_header(run->request, pf_header_names.request_id, run->id);
	web_add_header(run->request, pf_header_names.stamp, target->id);
	web_reply(run->request, is_bad ? 500 : 200, "text/plain", run->id,
		  strlen(run->id));
	write_line(target, is_bad ? "bad" : "done", run->id);
	talloc_free(run);
}

/* Returns how many requests arrived within the last second. */
static uint32_t count_last_second(const struct target *target)
{
	uint64_t now_ms = get_now_ms(target);
	uint32_t kept = MIN(target->arrival_count, ARRIVALS_KEPT);
	uint32_t count = 0;

	for (uint32_t i = 0; i < kept; i++)
		count += target->arrivals[i] + 1000 > now_ms;
	return count;
}

static void record_cold_arrival(struct target *target)
{
	char text[16];

	if (get_cold_left_ms(target) == 0)
		return;
	target->arrivals[target->arrival_count++ % ARRIVALS_KEPT] =
		get_now_ms(target);
	if (count_last_second(target) <= CRASH_FACTOR * COLD_PER_S)
		return;
	snprintf(text, sizeof(text), "%d", target->running);
	write_line(target, "crash", text);
	_exit(EXIT_FAILURE);
}

static void start_run(struct target *target, struct web_request *request,
		      const char *id)
{
	struct run *run = talloc_zero(target, struct run);
	int work_ms = target->work_ms;

	write_line(target, "run", id);
	target->running++;
	record_cold_arrival(target);
	if (get_cold_left_ms(target) > 0)
		work_ms *= COLD_FACTOR;
	run->target = target;
	run->request = request;
	run->id = talloc_strdup(run, id);
	run->is_post = strcmp(web_get_method(request), "POST") == 0;
	tmr_subscribe_once(run, target->timers, (uint32_t)work_ms, end_run,
			   run);
}

static void reject(struct target *target, struct web_request *request,
		   uint32_t status, const char *id)
{
	char text[128];

	snprintf(text, sizeof(text), "%u %s", status, id ? id : "-");
	write_line(target, "reject", text);
	if (id)
		web_add_header(request, pf_header_names.request_id, id);
	web_add_header(request, pf_header_names.not_run, "1");
	web_reply(request, status, "text/plain", "", 0);
}

static void answer_health(struct target *target, struct web_request *request)
{
	char text[24];

	write_line(target, "health", "");
	snprintf(text, sizeof(text), "%llu",
		 (unsigned long long)get_cold_left_ms(target));
	web_add_header(request, INSTANCE_HEADER, target->id);
	web_add_header(request, COLD_HEADER, text);
	web_reply(request, 200, "text/plain", "", 0);
}

static void handle_request(struct web_request *request, void *data)
{
	struct target *target = data;
	const char *path = web_get_path(request);
	const char *wanted = web_get_header(request, pf_header_names.instance);
	const char *id = web_get_header(request, pf_header_names.request_id);

	if (g_str_has_prefix(path, "/stand/"))
		handle_order(target, request, path + strlen("/stand/"));
	else if (strcmp(path, "/healthz") == 0)
		answer_health(target, request);
	else if (wanted && strcmp(wanted, target->id) != 0)
		reject(target, request, 421, id);
	else if (!id)
		reject(target, request, 400, id);
	else if (target->running >= target->slots)
		reject(target, request, 503, id);
	else
		start_run(target, request, id);
}

static bool open_target(struct target *target, struct tevent_context *events)
{
	struct web_options options = {
		.address = target->address,
		.port = (uint16_t)target->port,
		.body_bytes_max = BODY_BYTES_MAX,
		.fn = handle_request,
		.data = target,
	};

	target->timers = tmr_new(target, events);
	target->client = hc_new_loop(target, events, NULL);
	target->born_ms = tmr_get_wall_ms(target->timers);
	target->id = talloc_asprintf(target, "i-%s-%llu", target->address,
				     (unsigned long long)target->born_ms);
	if (!target->client || !web_new_server(target, events, &options, NULL))
		return false;
	tmr_subscribe_every(target, target->timers, HEARTBEAT_MS,
			    handle_heartbeat_time, target);
	handle_heartbeat_time(0, target);
	return true;
}

int main(int argc, char **argv)
{
	struct tevent_context *events = tevent_context_init(NULL);
	struct target *target = talloc_zero(events, struct target);

	if (argc != 9) {
		fputs("usage: target ADDRESS PORT CONTROL SERVICE VERSION "
		      "SLOTS "
		      "WORK_MS FAIL_PERCENT\n",
		      stderr);
		return EXIT_FAILURE;
	}
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	target->address = argv[1];
	target->port = atoi(argv[2]);
	target->control = argv[3];
	target->service = argv[4];
	target->version = argv[5];
	target->slots = atoi(argv[6]);
	target->work_ms = atoi(argv[7]);
	target->fail_percent = (uint32_t)atoi(argv[8]);
	if (!open_target(target, events)) {
		fputs("target: cannot listen\n", stderr);
		return EXIT_FAILURE;
	}
	for (;;)
		tevent_loop_once(events);
}
