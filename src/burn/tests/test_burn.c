/*
 * Tests of the history, the formulae and the report, mostly by scripts.
 * scripts/formula.script has the worked cases of docs/BURN.md, whose results
 * were calculated by hand.
 */
#include <stdlib.h>
#include <string.h>
#include "loom/burn.h"
#include "script.h"

/* 2026-12-04T10:00:00Z, the start of a slot of 10 minutes. */
#define NOW_MS 1796378400000ULL
#define MINUTE_MS 60000ULL
#define SERVICES_MAX 4U
#define LARGE_SERVICES 130U
#define LARGE_DOMAINS 5U
#define LARGE_VERSIONS 2U

struct fixture {
	TALLOC_CTX *ctx;
	struct burn_history *history;
	struct doc_service documents[SERVICES_MAX];
	const struct doc_service *services[SERVICES_MAX];
	size_t service_count;
	const char *unreached[2];
};

static uint64_t parse_number(const char *word)
{
	return g_ascii_strtoull(word, NULL, 10);
}

/* "add SERVICE VERSION DOMAIN MINUTES_AGO CALLS FAILED LATE" */
static void add_counts(struct fixture *fixture, char **words)
{
	struct burn_key key = { words[1], words[2], words[3] };
	struct burn_counts counts = { parse_number(words[5]),
				      parse_number(words[6]),
				      parse_number(words[7]) };

	burn_add_counts(fixture->history, &key,
			NOW_MS - parse_number(words[4]) * MINUTE_MS, &counts);
}

/* "sum MINUTES" */
static void print_sum(struct fixture *fixture, char **words, GString *output)
{
	struct burn_key all = { 0 };
	struct burn_counts sum =
		burn_sum_counts(fixture->history, &all, NOW_MS,
				(uint32_t)parse_number(words[1]));

	g_string_append_printf(output,
			       "calls=%" G_GUINT64_FORMAT
			       " failed=%" G_GUINT64_FORMAT
			       " late=%" G_GUINT64_FORMAT "\n",
			       sum.calls, sum.failed, sum.slow);
}

/* "rates CALLS FAILED LATE AVAILABILITY_PPM LATENCY_PPM" */
static void print_rates(char **words, GString *output)
{
	struct burn_counts counts = { parse_number(words[1]),
				      parse_number(words[2]),
				      parse_number(words[3]) };
	struct doc_objective objective = {
		.availability_ppm = (uint32_t)parse_number(words[4]),
		.latency_ppm = (uint32_t)parse_number(words[5]),
	};

	g_string_append_printf(output, "failed %.4f late %.4f\n",
			       burn_get_failed_rate(&counts, &objective),
			       burn_get_slow_rate(&counts, &objective));
}

/* "classify 5_MIN 1_H 6_H 3_DAYS" */
static void print_verdict(char **words, GString *output)
{
	double rates[BURN_WINDOW_COUNT];

	for (int i = 0; i < BURN_WINDOW_COUNT; i++)
		rates[i] = g_ascii_strtod(words[i + 1], NULL);
	g_string_append_printf(
		output, "%s\n",
		burn_get_verdict_name(burn_classify_rates(rates)));
}

/* "service NAME AVAILABILITY_PPM LATENCY_MS LATENCY_PPM" */
static void add_service(struct fixture *fixture, char **words)
{
	struct doc_service *service =
		&fixture->documents[fixture->service_count];

	service->name = talloc_strdup(fixture->ctx, words[1]);
	service->objective = (struct doc_objective){
		.availability_ppm = (uint32_t)parse_number(words[2]),
		.latency_ms = (uint32_t)parse_number(words[3]),
		.latency_ppm = (uint32_t)parse_number(words[4]),
	};
	fixture->services[fixture->service_count++] = service;
}

/* "report text|json|html" */
static void print_report(struct fixture *fixture, const char *format,
			 GString *output)
{
	struct burn_input input = {
		.history = fixture->history,
		.services = fixture->services,
		.service_count = fixture->service_count,
		.now_ms = NOW_MS,
		.node_count = 3,
		.unreached = fixture->unreached,
	};
	struct burn_report *report = burn_make_report(fixture->ctx, &input);
	json_t *json = burn_format_report(report);
	char *text = json_dumps(json, JSON_INDENT(1) | JSON_PRESERVE_ORDER |
					      JSON_REAL_PRECISION(12));

	if (strcmp(format, "text") == 0)
		burn_print_text(report, output);
	else if (strcmp(format, "html") == 0)
		burn_print_html(report, output);
	else
		g_string_append_printf(output, "%s\n", text);
	free(text);
	json_decref(json);
}

/* "merge JSON", or "merge self" to add the history to itself. */
static void merge(struct fixture *fixture, const char *text, GString *output)
{
	GError *error = NULL;
	json_t *json =
		strcmp(text, "self") == 0
			? burn_format_history(fixture->history, NULL, NOW_MS)
			: json_loads(text, 0, NULL);

	CU_ASSERT_PTR_NOT_NULL_FATAL(json);
	if (burn_merge_history(fixture->history, json, NOW_MS, &error))
		g_string_append(output, "merged\n");
	else
		g_string_append_printf(output, "%s\n", error->message);
	g_clear_error(&error);
	json_decref(json);
}

/* "print SERVICE": the history of one service as JSON */
static void print_history(struct fixture *fixture, const char *service,
			  GString *output)
{
	json_t *json = burn_format_history(fixture->history, service, NOW_MS);
	char *text = json_dumps(json, JSON_PRESERVE_ORDER);

	g_string_append_printf(output, "%s\n", text);
	free(text);
	json_decref(json);
}

static bool run_step(int word_count, char **words, GString *output, void *state)
{
	struct fixture *fixture = state;

	if (strcmp(words[0], "add") == 0 && word_count == 8)
		add_counts(fixture, words);
	else if (strcmp(words[0], "sum") == 0 && word_count == 2)
		print_sum(fixture, words, output);
	else if (strcmp(words[0], "rates") == 0 && word_count == 6)
		print_rates(words, output);
	else if (strcmp(words[0], "spent") == 0 && word_count == 3)
		g_string_append_printf(
			output, "%.4f\n",
			burn_get_spent_share(g_ascii_strtod(words[1], NULL),
					     (uint32_t)parse_number(words[2])));
	else if (strcmp(words[0], "classify") == 0 && word_count == 5)
		print_verdict(words, output);
	else if (strcmp(words[0], "service") == 0 && word_count == 5)
		add_service(fixture, words);
	else if (strcmp(words[0], "unreached") == 0 && word_count == 2)
		fixture->unreached[0] = talloc_strdup(fixture->ctx, words[1]);
	else if (strcmp(words[0], "report") == 0 && word_count == 2)
		print_report(fixture, words[1], output);
	else if (strcmp(words[0], "merge") == 0 && word_count == 2)
		merge(fixture, words[1], output);
	else if (strcmp(words[0], "print") == 0 && word_count == 2)
		print_history(fixture, words[1], output);
	else
		return false;
	return true;
}

/* Runs a script on a history that begins since_minutes before NOW_MS. */
static void run_script(const char *name, uint64_t since_minutes)
{
	struct fixture fixture = { .ctx = talloc_new(NULL) };

	fixture.history = burn_new_history(fixture.ctx,
					   NOW_MS - since_minutes * MINUTE_MS);
	scr_run(name, run_step, &fixture);
	talloc_free(fixture.ctx);
}

static void test_formula(void)
{
	run_script("formula", 0);
}

static void test_history(void)
{
	run_script("history", 0);
}

static void test_report(void)
{
	run_script("report", 150);
}

/* Adds a call to the series of that number; each has distinct names. */
static void add_numbered_series(struct burn_history *history, uint32_t number,
				uint64_t time_ms)
{
	struct burn_counts counts = { 1, 0, 0 };
	char service[32];
	char domain[32];
	struct burn_key key = { service, number % LARGE_VERSIONS ? "v1" : "v2",
				domain };

	g_snprintf(service, sizeof(service), "service-%u",
		   number / (LARGE_DOMAINS * LARGE_VERSIONS));
	g_snprintf(domain, sizeof(domain), "domain-%u",
		   number / LARGE_VERSIONS % LARGE_DOMAINS);
	burn_add_counts(history, &key, time_ms, &counts);
}

/*
 * Prints the memory that 130 services take. New names without end must not
 * take more than SERIES_MAX series do.
 */
static void test_memory(void)
{
	uint32_t series = LARGE_SERVICES * LARGE_DOMAINS * LARGE_VERSIONS;
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct burn_history *history = burn_new_history(ctx, NOW_MS);
	size_t bound;

	for (uint32_t i = 0; i < series; i++)
		add_numbered_series(history, i, NOW_MS);
	printf("%u series: %zu bytes ", series, talloc_total_size(history));
	for (uint32_t i = series; i < 5000; i++)
		add_numbered_series(history, i, NOW_MS + i * MINUTE_MS);
	bound = talloc_total_blocks(history);
	printf("bound: %zu bytes ", talloc_total_size(history));
	for (uint32_t i = 5000; i < 6000; i++)
		add_numbered_series(history, i, NOW_MS + i * MINUTE_MS);
	CU_ASSERT_EQUAL(talloc_total_blocks(history), bound);
	talloc_free(ctx);
}

int main(void)
{
	static const CU_TestInfo tests[] = {
		{ "formulae", test_formula },
		{ "history and merge", test_history },
		{ "report", test_report },
		{ "memory", test_memory },
		CU_TEST_INFO_NULL,
	};

	return scr_run_suite("burn", tests);
}
