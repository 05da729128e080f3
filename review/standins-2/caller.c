/*
 * Stand-in for the clients of one machine: sends requests at a steady rate to
 * one address and writes "ID SENT_MS STATUS END_MS" for each, status 0 when no
 * answer came. The times are the monotonic clock in milliseconds; "caller now"
 * prints it.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <curl/curl.h>
#include "loom/http.h"
#include "loom/timer.h"
#include "../../platform/names.h"

#define DEADLINE_MS 2000U
#define ANSWER_BYTES_MAX 65536U

struct caller {
	struct tmr_service *timers;
	struct hc_loop *loop;
	const char *address;
	const char *method;
	const char *path;
	const char *prefix;
	uint32_t left;
	uint32_t in_flight;
	uint32_t number;
};

struct request {
	struct caller *caller;
	char *id;
	uint64_t sent_ms;
};

static void handle_answer(const struct hc_answer *answer, void *data)
{
	struct request *request = data;

	printf("%s %llu %u %llu\n", request->id,
	       (unsigned long long)request->sent_ms,
	       answer->error ? 0 : answer->status,
	       (unsigned long long)tmr_get_now_ms(request->caller->timers));
	fflush(stdout);
	request->caller->in_flight--;
	talloc_free(request);
}

static void send_request(uint64_t now_ms, void *data)
{
	struct caller *caller = data;
	struct request *request;
	const char *headers[4] = { "Host: a.example" };
	struct hc_options options = {
		.method = caller->method,
		.headers = headers,
		.timeout_ms = DEADLINE_MS,
		.answer_bytes_max = ANSWER_BYTES_MAX,
	};

	if (caller->left == 0)
		return;
	caller->left--;
	caller->in_flight++;
	request = talloc_zero(caller, struct request);
	request->caller = caller;
	request->id = talloc_asprintf(request, "%s-%u", caller->prefix,
				      ++caller->number);
	request->sent_ms = tmr_get_now_ms(caller->timers);
	headers[1] = talloc_asprintf(request, "%s: %s",
				     pf_header_names.request_id, request->id);
	headers[2] = talloc_asprintf(request, "%s: %u",
				     pf_header_names.deadline, DEADLINE_MS);
	options.url = talloc_asprintf(request, "http://%s%s", caller->address,
				      caller->path);
	if (strcmp(caller->method, "POST") == 0) {
		options.body = "x";
		options.body_size = 1;
	}
	hc_send(caller, caller->loop, &options, handle_answer, request);
}

int main(int argc, char **argv)
{
	struct tevent_context *events = tevent_context_init(NULL);
	struct caller *caller = talloc_zero(events, struct caller);
	uint32_t per_s;

	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	caller->timers = tmr_new(caller, events);
	caller->loop = hc_new_loop(caller, events, NULL);
	if (argc == 2 && strcmp(argv[1], "now") == 0) {
		printf("%llu\n",
		       (unsigned long long)tmr_get_now_ms(caller->timers));
		return EXIT_SUCCESS;
	}
	if (argc != 7 || !caller->loop) {
		fputs("usage: caller ADDRESS:PORT METHOD PATH PREFIX PER_S "
		      "SECONDS\n",
		      stderr);
		return EXIT_FAILURE;
	}
	caller->address = argv[1];
	caller->method = argv[2];
	caller->path = argv[3];
	caller->prefix = argv[4];
	per_s = CLAMP((uint32_t)atoi(argv[5]), 1, 500);
	caller->left = per_s * CLAMP((uint32_t)atoi(argv[6]), 1, 110);
	tmr_subscribe_every(caller, caller->timers, 1000 / per_s, send_request,
			    caller);
	while (caller->left > 0 || caller->in_flight > 0)
		tevent_loop_once(events);
	return EXIT_SUCCESS;
}
