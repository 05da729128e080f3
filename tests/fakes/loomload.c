/*
 * loomload: a bounded load tool with a fixed arrival rate.
 *
 * Requests start when they are due, whether or not earlier ones have ended, and
 * each latency counts from the due time, so that waiting is not hidden. The
 * URLs are used in turn: all of them meet the same moments of the machine, and
 * the difference of two percentiles is the time that one way adds.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <argtable2.h>
#include "loom/http.h"

#define URLS_MAX 4
#define RATE_MAX 20000
#define SECONDS_MAX 120
#define WARM_UP_SECONDS 1
#define TICK_US 250U

struct way {
	const char *url;
	GArray *latencies_us; /* of answers with status 200 */
	uint32_t refused;     /* other answers */
	uint32_t failed;
};

struct load {
	struct tevent_context *events;
	struct hc_loop *client;
	struct curl_slist *headers;
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
	if (!is_warm_up(load, shot->due_us)) {
		if (code != CURLE_OK)
			shot->way->failed++;
		else if (status != 200)
			shot->way->refused++;
		else
			g_array_append_val(shot->way->latencies_us, latency_us);
	}
	g_queue_push_head(&load->free_handles, easy);
	g_free(shot);
}

static CURL *take_handle(struct load *load)
{
	CURL *easy = g_queue_pop_head(&load->free_handles);

	if (easy)
		return easy;
	easy = curl_easy_init();
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, drop_body);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, load->headers);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 10000L);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	return easy;
}

static void send_shot(struct load *load, uint64_t due_us)
{
	struct shot *shot = g_new0(struct shot, 1);
	CURL *easy = take_handle(load);

	shot->load = load;
	shot->way = &load->ways[load->sent % (uint64_t)load->way_count];
	shot->due_us = due_us;
	load->sent++;
	load->running++;
	curl_easy_setopt(easy, CURLOPT_URL, shot->way->url);
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
	struct arg_end *end = arg_end(8);
	void *arguments[] = { urls, host, rate, seconds, end };
	char *header;

	*rate->ival = 500;
	*seconds->ival = 5;
	if (arg_parse(argc, argv, arguments) > 0 || *rate->ival < 1 ||
	    *rate->ival > RATE_MAX || *seconds->ival < 1 ||
	    *seconds->ival > SECONDS_MAX) {
		arg_print_errors(stderr, end, "loomload");
		fprintf(stderr, "loomload: rate 1 to %d, seconds 1 to %d\n",
			RATE_MAX, SECONDS_MAX);
		return EXIT_FAILURE;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	header = g_strdup_printf("Host: %s",
				 host->count > 0 ? host->sval[0] : "loom");
	load->headers = curl_slist_append(NULL, header);
	load->rate = (uint32_t)*rate->ival;
	load->way_count = urls->count;
	for (int i = 0; i < urls->count; i++) {
		load->ways[i].url = urls->sval[i];
		load->ways[i].latencies_us =
			g_array_new(FALSE, FALSE, sizeof(uint32_t));
	}
	run_load(load, (uint32_t)*seconds->ival);
	print_report(load);
	for (int i = 0; i < load->way_count; i++)
		g_array_unref(load->ways[i].latencies_us);
	curl_slist_free_all(load->headers);
	g_free(header);
	arg_freetable(arguments, G_N_ELEMENTS(arguments));
	talloc_free(load);
	curl_global_cleanup();
	return EXIT_SUCCESS;
}
