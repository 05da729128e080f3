/*
 * loomload: HTTP load generator with a fixed arrival rate.
 *
 * Requests start when they are due, whether or not earlier ones have ended, and
 * latency is measured from the due time, so that a late start counts too. The
 * URLs are used in turn, so that all of them see the same load of the machine.
 * The difference between the percentiles of two URLs is the latency that one
 * path adds to the other. The first second is a warm-up that the report leaves
 * out.
 *
 * No request is sent twice: when libcurl would resend a request because a
 * reused connection was closed, the call counts as failed
 * (CURLE_ABORTED_BY_CALLBACK, 42). With --log, each call is one line: second in
 * which it was due, index of the URL, latency in ms, libcurl's result code,
 * status, "not_run" or "-", request id or "-".
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <argtable2.h>
#include "loom/http.h"

#define URLS_MAX 16
#define CALL_TIMEOUT_MS 10000L
#define BODY_BYTES_MAX 65536
#define RATE_MAX 20000
#define SECONDS_MAX 120
#define WARM_UP_SECONDS 1
#define TICK_US 250U

struct endpoint {
	const char *url;
	GArray *latencies_us; /* latencies of answers with status 200 */
	uint32_t refused;     /* answers with another status */
	uint32_t failed;      /* calls without an answer */
	bool is_closing;      /* answered with "Connection: close" */
};

struct load {
	struct tevent_context *events;
	struct hc_loop *client;
	const char *host_header;
	const char *id_prefix; /* prefix of request ids; NULL: send none */
	char *body;	       /* NULL: GET */
	bool skips_closing;    /* sends nothing more to a closing endpoint */
	FILE *log;
	struct endpoint endpoints[URLS_MAX];
	int endpoint_count;
	uint32_t rate;
	uint64_t start_us;
	uint64_t end_us;
	uint64_t sent;
	uint32_t running;
	GQueue free_handles;
};

struct call {
	struct load *load;
	struct endpoint *endpoint;
	uint64_t due_us;
	uint64_t number;
	uint32_t send_count;
	bool is_not_run;
	struct curl_slist *headers;
};

static uint64_t get_now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

static size_t discard_body(char *part, size_t size, size_t count, void *data)
{
	return size * count;
}

/* Records whether the call was not run and whether the server is closing. */
static size_t read_header(char *line, size_t size, size_t count, void *data)
{
	static const char not_run[] = "Loom-Not-Run: true";
	static const char close_line[] = "Connection: close";
	struct call *call = data;

	if (g_ascii_strncasecmp(line, not_run, strlen(not_run)) == 0)
		call->is_not_run = true;
	if (g_ascii_strncasecmp(line, close_line, strlen(close_line)) == 0)
		call->endpoint->is_closing = true;
	return size * count;
}

/* Aborts the call when libcurl sends it a second time. */
static int count_send(void *data, char *peer, char *local, int peer_port,
		      int local_port)
{
	struct call *call = data;

	call->send_count++;
	return call->send_count > 1 ? CURL_PREREQFUNC_ABORT
				    : CURL_PREREQFUNC_OK;
}

static void log_call(const struct call *call, CURLcode code, long status,
		     uint32_t latency_us)
{
	const struct load *load = call->load;

	if (!load->log)
		return;
	fprintf(load->log, "%u %d %u %d %ld %s ",
		(uint32_t)((call->due_us - load->start_us) / 1000000),
		(int)(call->endpoint - load->endpoints), latency_us / 1000,
		(int)code, status, call->is_not_run ? "not_run" : "-");
	if (load->id_prefix)
		fprintf(load->log, "%s%" G_GUINT64_FORMAT "\n", load->id_prefix,
			call->number);
	else
		fputs("-\n", load->log);
}

static bool is_warm_up(const struct load *load, uint64_t due_us)
{
	return due_us < load->start_us + WARM_UP_SECONDS * 1000000ULL;
}

static void finish_call(CURL *easy, CURLcode code, void *data)
{
	struct call *call = data;
	struct load *load = call->load;
	uint32_t latency_us = (uint32_t)(get_now_us() - call->due_us);
	long status = 0;

	load->running--;
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	log_call(call, code, status, latency_us);
	if (!is_warm_up(load, call->due_us)) {
		if (code != CURLE_OK)
			call->endpoint->failed++;
		else if (status != 200)
			call->endpoint->refused++;
		else
			g_array_append_val(call->endpoint->latencies_us,
					   latency_us);
	}
	g_queue_push_head(&load->free_handles, easy);
	curl_slist_free_all(call->headers);
	g_free(call);
}

static CURL *take_handle(struct load *load)
{
	CURL *easy = g_queue_pop_head(&load->free_handles);

	if (easy)
		return easy;
	easy = curl_easy_init();
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, discard_body);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, read_header);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, count_send);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, CALL_TIMEOUT_MS);
	if (load->body)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, load->body);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	return easy;
}

/*
 * Returns the next endpoint in turn (borrowed). With skips_closing, closing
 * endpoints are skipped while another one is left.
 */
static struct endpoint *choose_endpoint(struct load *load)
{
	struct endpoint *endpoint = NULL;

	for (int i = 0; i < load->endpoint_count; i++) {
		endpoint = &load->endpoints[(load->sent + (uint64_t)i) %
					    (uint64_t)load->endpoint_count];
		if (!load->skips_closing || !endpoint->is_closing)
			break;
	}
	return endpoint;
}

static struct curl_slist *make_headers(const struct call *call)
{
	const struct load *load = call->load;
	struct curl_slist *list = curl_slist_append(NULL, load->host_header);
	char *line;

	if (!load->id_prefix)
		return list;
	line = g_strdup_printf("Loom-Request-Id: %s%" G_GUINT64_FORMAT,
			       load->id_prefix, call->number);
	list = curl_slist_append(list, line);
	g_free(line);
	return list;
}

static void send_call(struct load *load, uint64_t due_us)
{
	struct call *call = g_new0(struct call, 1);
	CURL *easy = take_handle(load);

	call->load = load;
	call->endpoint = choose_endpoint(load);
	call->due_us = due_us;
	call->number = load->sent;
	call->headers = make_headers(call);
	load->sent++;
	load->running++;
	curl_easy_setopt(easy, CURLOPT_URL, call->endpoint->url);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, call);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, call);
	if (!hc_add_transfer(load->client, easy, finish_call, call, NULL))
		abort();
}

static void send_due(struct load *load)
{
	uint64_t now_us = get_now_us();

	for (;;) {
		uint64_t due_us =
			load->start_us + load->sent * 1000000 / load->rate;

		if (due_us > now_us || due_us >= load->end_us)
			return;
		send_call(load, due_us);
	}
}

static void handle_tick(struct tevent_context *events,
			struct tevent_timer *timer, struct timeval now,
			void *data)
{
	struct load *load = data;

	send_due(load);
	if (get_now_us() < load->end_us)
		tevent_add_timer(events, load,
				 tevent_timeval_current_ofs(0, TICK_US),
				 handle_tick, load);
}

static gint compare_latency(gconstpointer left, gconstpointer right)
{
	uint32_t a = *(const uint32_t *)left;
	uint32_t b = *(const uint32_t *)right;

	return a < b ? -1 : a > b;
}

static double get_percentile_ms(const GArray *sorted, double share)
{
	guint index;

	if (sorted->len == 0)
		return 0;
	index = (guint)ceil(share * sorted->len);
	return g_array_index(sorted, uint32_t, index > 0 ? index - 1 : 0) /
	       1000.0;
}

static void print_endpoint(const struct endpoint *endpoint,
			   const struct endpoint *first)
{
	double p99 = get_percentile_ms(endpoint->latencies_us, 0.99);

	printf("%-40s %8u %7u %6u %8.3f %8.3f %8.3f", endpoint->url,
	       endpoint->latencies_us->len, endpoint->refused, endpoint->failed,
	       get_percentile_ms(endpoint->latencies_us, 0.5), p99,
	       get_percentile_ms(endpoint->latencies_us, 0.999));
	if (endpoint != first)
		printf(" %+8.3f",
		       p99 - get_percentile_ms(first->latencies_us, 0.99));
	putchar('\n');
}

static void print_report(struct load *load)
{
	printf("%-40s %8s %7s %6s %8s %8s %8s %8s\n", "url", "answers",
	       "refused", "failed", "p50 ms", "p99 ms", "p99.9 ms",
	       "added p99");
	for (int i = 0; i < load->endpoint_count; i++)
		g_array_sort(load->endpoints[i].latencies_us, compare_latency);
	for (int i = 0; i < load->endpoint_count; i++)
		print_endpoint(&load->endpoints[i], &load->endpoints[0]);
}

static void run_load(struct load *load, uint32_t seconds)
{
	load->events = tevent_context_init(load);
	load->client = hc_new_loop(load, load->events, NULL);
	curl_multi_setopt(hc_get_multi(load->client), CURLMOPT_MAXCONNECTS,
			  4096L);
	load->start_us = get_now_us();
	load->end_us = load->start_us +
		       (uint64_t)(seconds + WARM_UP_SECONDS) * 1000000;
	tevent_add_timer(load->events, load, tevent_timeval_current(),
			 handle_tick, load);
	while (get_now_us() < load->end_us || load->running > 0)
		tevent_loop_once(load->events);
	g_queue_clear_full(&load->free_handles, curl_easy_cleanup);
	TALLOC_FREE(load->client);
}

/* Stores the options in load; returns false after a message on stderr. */
static bool open_load(struct load *load, const char *host, int body_bytes,
		      const char *log_file)
{
	if (body_bytes < 0 || body_bytes > BODY_BYTES_MAX) {
		fprintf(stderr, "loomload: --post is %d, must be 0 to %d\n",
			body_bytes, BODY_BYTES_MAX);
		return false;
	}
	load->host_header = talloc_asprintf(load, "Host: %s", host);
	if (body_bytes > 0) {
		load->body = talloc_zero_size(load, (size_t)body_bytes + 1);
		memset(load->body, 'x', (size_t)body_bytes);
	}
	if (!log_file)
		return true;
	load->log = fopen(log_file, "w");
	if (!load->log)
		perror(log_file);
	return load->log != NULL;
}

static void add_endpoint(struct load *load, const char *url)
{
	struct endpoint *endpoint = &load->endpoints[load->endpoint_count++];

	endpoint->url = url;
	endpoint->latencies_us = g_array_new(FALSE, FALSE, sizeof(uint32_t));
}

static bool check_limits(int rate, int seconds)
{
	if (rate >= 1 && rate <= RATE_MAX && seconds >= 1 &&
	    seconds <= SECONDS_MAX)
		return true;
	fprintf(stderr, "loomload: --rate must be 1 to %d, --seconds 1 to %d\n",
		RATE_MAX, SECONDS_MAX);
	return false;
}

int main(int argc, char **argv)
{
	struct load *load = talloc_zero(NULL, struct load);
	struct arg_str *urls = arg_strn(NULL, NULL, "URL", 1, URLS_MAX,
					"URLs to compare, the baseline first");
	struct arg_str *host =
		arg_str0(NULL, "host", "NAME", "value of the Host header");
	struct arg_int *rate =
		arg_int0(NULL, "rate", "N", "calls per second over all URLs");
	struct arg_int *seconds =
		arg_int0(NULL, "seconds", "N", "duration after the warm-up");
	struct arg_int *post =
		arg_int0(NULL, "post", "N", "send POST requests of N bytes");
	struct arg_str *id_prefix = arg_str0(
		NULL, "ids", "PREFIX", "send unique request ids that begin so");
	struct arg_str *log =
		arg_str0(NULL, "log", "FILE", "write one line per call");
	struct arg_lit *move_on =
		arg_lit0(NULL, "move-on", "skip a URL after Connection: close");
	struct arg_end *end = arg_end(8);
	void *arguments[] = { urls,	 host, rate,	seconds, post,
			      id_prefix, log,  move_on, end };
	int exit_code = EXIT_FAILURE;

	*rate->ival = 500;
	*seconds->ival = 5;
	*post->ival = 0;
	host->sval[0] = "loom";
	if (arg_parse(argc, argv, arguments) > 0) {
		arg_print_errors(stderr, end, "loomload");
		goto out;
	}
	if (!check_limits(*rate->ival, *seconds->ival) ||
	    !open_load(load, host->sval[0], *post->ival,
		       log->count > 0 ? log->sval[0] : NULL))
		goto out;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	load->rate = (uint32_t)*rate->ival;
	load->id_prefix = id_prefix->count > 0 ? id_prefix->sval[0] : NULL;
	load->skips_closing = move_on->count > 0;
	for (int i = 0; i < urls->count; i++)
		add_endpoint(load, urls->sval[i]);
	run_load(load, (uint32_t)*seconds->ival);
	print_report(load);
	for (int i = 0; i < load->endpoint_count; i++)
		g_array_unref(load->endpoints[i].latencies_us);
	curl_global_cleanup();
	exit_code = EXIT_SUCCESS;
out:
	if (load->log)
		fclose(load->log);
	arg_freetable(arguments, G_N_ELEMENTS(arguments));
	talloc_free(load);
	return exit_code;
}
