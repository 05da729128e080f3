/*
 * loomload: a bounded load tool with a fixed arrival rate.
 *
 * Requests start when they are due, whether or not earlier ones have ended, and
 * each latency counts from the due time, so that waiting is not hidden. The
 * URLs are used in turn: all of them meet the same moments of the machine, and
 * the difference of two percentiles is the time that one way adds.
 *
 * No request is sent twice: libcurl's own resend on a reused connection that
 * died counts as failed (CURLE_ABORTED_BY_CALLBACK, 42). With --log, each call
 * is one line: second it was due, URL's number, milliseconds, curl's code,
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

struct way {
	const char *url;
	GArray *latencies_us; /* of answers with status 200 */
	uint32_t refused;     /* other answers */
	uint32_t failed;
	bool is_left; /* it said "Connection: close" */
};

struct load {
	struct tevent_context *events;
	struct hc_loop *client;
	const char *host_header;
	const char *ids; /* prefix of the request ids, or NULL */
	char *body;	 /* NULL: GET */
	bool is_moving_on;
	FILE *log;
	struct way ways[URLS_MAX];
	int way_count;
	uint32_t rate;
	uint64_t start_us;
	uint64_t end_us;
	uint64_t sent;
	uint32_t running;
	GQueue free_handles;
};

struct shot {
	struct load *load;
	struct way *way;
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

static size_t drop_body(char *part, size_t size, size_t count, void *data)
{
	return size * count;
}

/* Notes what an answer's header says of the call and of its node. */
static size_t read_header(char *line, size_t size, size_t count, void *data)
{
	static const char not_run[] = "Loom-Not-Run: true";
	static const char close_line[] = "Connection: close";
	struct shot *shot = data;

	if (g_ascii_strncasecmp(line, not_run, strlen(not_run)) == 0)
		shot->is_not_run = true;
	if (g_ascii_strncasecmp(line, close_line, strlen(close_line)) == 0)
		shot->way->is_left = true;
	return size * count;
}

static int count_send(void *data, char *peer, char *local, int peer_port,
		      int local_port)
{
	struct shot *shot = data;

	shot->send_count++;
	return shot->send_count > 1 ? CURL_PREREQFUNC_ABORT
				    : CURL_PREREQFUNC_OK;
}

static void log_shot(const struct shot *shot, CURLcode code, long status,
		     uint32_t latency_us)
{
	const struct load *load = shot->load;

	if (!load->log)
		return;
	fprintf(load->log, "%u %d %u %d %ld %s ",
		(uint32_t)((shot->due_us - load->start_us) / 1000000),
		(int)(shot->way - load->ways), latency_us / 1000, (int)code,
		status, shot->is_not_run ? "not_run" : "-");
	if (load->ids)
		fprintf(load->log, "%s%" G_GUINT64_FORMAT "\n", load->ids,
			shot->number);
	else
		fputs("-\n", load->log);
}

static bool is_warm_up(const struct load *load, uint64_t due_us)
{
	return due_us < load->start_us + WARM_UP_SECONDS * 1000000ULL;
}

static void finish_shot(CURL *easy, CURLcode code, void *data)
{
	struct shot *shot = data;
	struct load *load = shot->load;
	uint32_t latency_us = (uint32_t)(get_now_us() - shot->due_us);
	long status = 0;

	load->running--;
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	log_shot(shot, code, status, latency_us);
	if (!is_warm_up(load, shot->due_us)) {
		if (code != CURLE_OK)
			shot->way->failed++;
		else if (status != 200)
			shot->way->refused++;
		else
			g_array_append_val(shot->way->latencies_us, latency_us);
	}
	g_queue_push_head(&load->free_handles, easy);
	curl_slist_free_all(shot->headers);
	g_free(shot);
}

static CURL *take_handle(struct load *load)
{
	CURL *easy = g_queue_pop_head(&load->free_handles);

	if (easy)
		return easy;
	easy = curl_easy_init();
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, drop_body);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, read_header);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, count_send);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, CALL_TIMEOUT_MS);
	if (load->body)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, load->body);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	return easy;
}

/* Returns the next way in turn (borrowed) that has not said goodbye. */
static struct way *choose_way(struct load *load)
{
	struct way *way = NULL;

	for (int i = 0; i < load->way_count; i++) {
		way = &load->ways[(load->sent + (uint64_t)i) %
				  (uint64_t)load->way_count];
		if (!load->is_moving_on || !way->is_left)
			break;
	}
	return way;
}

static struct curl_slist *make_headers(const struct shot *shot)
{
	const struct load *load = shot->load;
	struct curl_slist *list = curl_slist_append(NULL, load->host_header);
	char *line;

	if (!load->ids)
		return list;
	line = g_strdup_printf("Loom-Request-Id: %s%" G_GUINT64_FORMAT,
			       load->ids, shot->number);
	list = curl_slist_append(list, line);
	g_free(line);
	return list;
}

static void send_shot(struct load *load, uint64_t due_us)
{
	struct shot *shot = g_new0(struct shot, 1);
	CURL *easy = take_handle(load);

	shot->load = load;
	shot->way = choose_way(load);
	shot->due_us = due_us;
	shot->number = load->sent;
	shot->headers = make_headers(shot);
	load->sent++;
	load->running++;
	curl_easy_setopt(easy, CURLOPT_URL, shot->way->url);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, shot->headers);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, shot);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, shot);
	if (!hc_add_transfer(load->client, easy, finish_shot, shot, NULL))
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
		send_shot(load, due_us);
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

static void print_way(const struct way *way, const struct way *first)
{
	double p99 = get_percentile_ms(way->latencies_us, 0.99);

	printf("%-40s %8u %7u %6u %8.3f %8.3f %8.3f", way->url,
	       way->latencies_us->len, way->refused, way->failed,
	       get_percentile_ms(way->latencies_us, 0.5), p99,
	       get_percentile_ms(way->latencies_us, 0.999));
	if (way != first)
		printf(" %+8.3f",
		       p99 - get_percentile_ms(first->latencies_us, 0.99));
	putchar('\n');
}

static void print_report(struct load *load)
{
	printf("%-40s %8s %7s %6s %8s %8s %8s %8s\n", "url", "answers",
	       "refused", "failed", "p50 ms", "p99 ms", "p99.9 ms",
	       "added p99");
	for (int i = 0; i < load->way_count; i++)
		g_array_sort(load->ways[i].latencies_us, compare_latency);
	for (int i = 0; i < load->way_count; i++)
		print_way(&load->ways[i], &load->ways[0]);
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

/* Takes the options into load; false with a message on stderr. */
static bool open_load(struct load *load, const char *host, int body_bytes,
		      const char *log_file)
{
	if (body_bytes < 0 || body_bytes > BODY_BYTES_MAX) {
		fprintf(stderr, "loomload: got --post %d, wanted 0 to %d\n",
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

static void add_way(struct load *load, const char *url)
{
	struct way *way = &load->ways[load->way_count++];

	way->url = url;
	way->latencies_us = g_array_new(FALSE, FALSE, sizeof(uint32_t));
}

static bool check_bounds(int rate, int seconds)
{
	if (rate >= 1 && rate <= RATE_MAX && seconds >= 1 &&
	    seconds <= SECONDS_MAX)
		return true;
	fprintf(stderr, "loomload: rate 1 to %d, seconds 1 to %d\n", RATE_MAX,
		SECONDS_MAX);
	return false;
}

int main(int argc, char **argv)
{
	struct load *load = talloc_zero(NULL, struct load);
	struct arg_str *urls =
		arg_strn(NULL, NULL, "URL", 1, URLS_MAX,
			 "ways to compare, the direct one first");
	struct arg_str *host =
		arg_str0(NULL, "host", "NAME", "service in the Host header");
	struct arg_int *rate =
		arg_int0(NULL, "rate", "N", "calls a second in all");
	struct arg_int *seconds = arg_int0(NULL, "seconds", "N", "duration");
	struct arg_int *post = arg_int0(NULL, "post", "N", "POST of N bytes");
	struct arg_str *ids =
		arg_str0(NULL, "ids", "PREFIX", "send unique request ids");
	struct arg_str *log = arg_str0(NULL, "log", "FILE", "line per call");
	struct arg_lit *move_on =
		arg_lit0(NULL, "move-on", "leave a URL that closes");
	struct arg_end *end = arg_end(8);
	void *arguments[] = { urls, host, rate,	   seconds, post,
			      ids,  log,  move_on, end };
	int exit_code = EXIT_FAILURE;

	*rate->ival = 500;
	*seconds->ival = 5;
	*post->ival = 0;
	host->sval[0] = "loom";
	if (arg_parse(argc, argv, arguments) > 0) {
		arg_print_errors(stderr, end, "loomload");
		goto out;
	}
	if (!check_bounds(*rate->ival, *seconds->ival) ||
	    !open_load(load, host->sval[0], *post->ival,
		       log->count > 0 ? log->sval[0] : NULL))
		goto out;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	load->rate = (uint32_t)*rate->ival;
	load->ids = ids->count > 0 ? ids->sval[0] : NULL;
	load->is_moving_on = move_on->count > 0;
	for (int i = 0; i < urls->count; i++)
		add_way(load, urls->sval[i]);
	run_load(load, (uint32_t)*seconds->ival);
	print_report(load);
	for (int i = 0; i < load->way_count; i++)
		g_array_unref(load->ways[i].latencies_us);
	curl_global_cleanup();
	exit_code = EXIT_SUCCESS;
out:
	if (load->log)
		fclose(load->log);
	arg_freetable(arguments, G_N_ELEMENTS(arguments));
	talloc_free(load);
	return exit_code;
}
