/*
 * Runs the commands of loomctl against a fake object API in the same event
 * loop. Each script line is a command, a fault of the API or a write by another
 * writer. The expected files hold, for each command, the lines of its standard
 * error (after "err: "), those of its standard output (after "out: ") and its
 * exit code.
 */
#include <stdio.h>
#include <string.h>
#include <unistd.h>
#include <curl/curl.h>
#include "ctl.h"
#include "loom/http.h"
#include "object_api.h"
#include "object_store.h"
#include "script.h"

#define TIMEOUT_MS 300U
#define RETRY_WAIT_MS_MAX 20U
#define RACE_POLL_MS 1U

struct fixture {
	struct ctl_context context;
	struct api_server *platform;
	struct web_server *node;
	char *members; /* body of the node's page /members */
	char *burn;    /* body of the node's page /burn */
	char *route;   /* body of the node's page /explain-route */
	uint32_t route_status;
	char **race; /* pending write by another writer, see begin_race() */
};

/* A standard stream that is redirected to a temporary file. */
struct stream {
	FILE *file;
	FILE *capture;
	int saved_fd;
};

static void begin_capture(struct stream *stream, FILE *file)
{
	fflush(file);
	stream->file = file;
	stream->capture = tmpfile();
	stream->saved_fd = dup(fileno(file));
	CU_ASSERT_FATAL(stream->capture && stream->saved_fd >= 0);
	CU_ASSERT_FATAL(dup2(fileno(stream->capture), fileno(file)) >= 0);
}

static void end_capture(struct stream *stream, const char *prefix,
			GString *output)
{
	char *line = NULL;
	size_t size = 0;

	fflush(stream->file);
	dup2(stream->saved_fd, fileno(stream->file));
	close(stream->saved_fd);
	rewind(stream->capture);
	while (getline(&line, &size, stream->capture) > 0)
		g_string_append_printf(output, "%s%s", prefix, line);
	free(line);
	fclose(stream->capture);
}

static void reply_page(struct web_request *request, void *data)
{
	const struct fixture *fixture = data;
	bool is_route = strcmp(web_get_path(request), "/explain-route") == 0;
	const char *page = strcmp(web_get_path(request), "/burn") == 0
				   ? fixture->burn
				   : fixture->members;
	const char *class;

	if (is_route) {
		page = fixture->route;
		class = web_get_query(request, "class");
		printf("asked: %s %s %s, %s\n",
		       web_get_query(request, "service"),
		       web_get_query(request, "method"),
		       web_get_query(request, "path"), class ? class : "-");
	}
	web_reply(request, is_route ? fixture->route_status : MHD_HTTP_OK,
		  "application/json", page, strlen(page));
}

static void open_fixture(struct fixture *fixture)
{
	struct ctl_context *context = &fixture->context;
	struct web_options web = {
		.address = "127.0.0.1",
		.body_bytes_max = 1024,
		.fn = reply_page,
		.data = fixture,
	};
	struct api_options api;
	struct plat_options options;

	*fixture = (struct fixture){ .members = g_strdup("{}"),
				     .burn = g_strdup("{}"),
				     .route = g_strdup("{}") };
	curl_global_init(CURL_GLOBAL_DEFAULT);
	context->ctx = talloc_new(NULL);
	context->events = tevent_context_init(context->ctx);
	context->timers = tmr_new(context->ctx, context->events);
	api_set_default_options(&api);
	fixture->platform = api_new_server(context->ctx, context->events,
					   context->timers, &api, NULL);
	fixture->node =
		web_new_server(context->ctx, context->events, &web, NULL);
	context->platform_url =
		talloc_asprintf(context->ctx, "http://127.0.0.1:%u",
				api_get_port(fixture->platform));
	plat_set_default_options(&options, context->platform_url);
	options.timeout_ms = TIMEOUT_MS;
	options.retry_wait_ms_max = RETRY_WAIT_MS_MAX;
	options.seed = 1;
	context->platform =
		plat_new_client(context->ctx, context->events, context->timers,
				cnt_new_registry(context->ctx), &options, NULL);
}

static void close_fixture(struct fixture *fixture)
{
	TALLOC_FREE(fixture->context.platform);
	TALLOC_FREE(fixture->node);
	TALLOC_FREE(fixture->platform);
	talloc_free(fixture->context.ctx);
	curl_global_cleanup();
	g_free(fixture->members);
	g_free(fixture->burn);
	g_free(fixture->route);
}

/*
 * Reads the options "json", "dry-run", "expect=N" and "count=N", which follow
 * the operands. Returns the number of operands.
 */
static int read_options(struct fixture *fixture, int word_count, char **words)
{
	struct ctl_options *options = &fixture->context.options;
	int operand_count = 0;

	*options = (struct ctl_options){ 0 };
	fixture->context.is_json = false;
	for (int i = 1; i < word_count; i++) {
		if (strcmp(words[i], "json") == 0) {
			fixture->context.is_json = true;
		} else if (strcmp(words[i], "dry-run") == 0) {
			options->is_dry_run = true;
		} else if (g_str_has_prefix(words[i], "expect=")) {
			options->has_expected_version = true;
			options->expected_version =
				g_ascii_strtoull(words[i] + 7, NULL, 10);
		} else if (g_str_has_prefix(words[i], "count=")) {
			options->count_max = (uint32_t)g_ascii_strtoull(
				words[i] + 6, NULL, 10);
		} else {
			operand_count++;
		}
	}
	options->node = talloc_asprintf(fixture->context.ctx, "127.0.0.1:%u",
					web_get_port(fixture->node));
	return operand_count;
}

static bool run_command(struct fixture *fixture, int operand_count,
			char **words, enum ctl_exit *result)
{
	struct ctl_context *context = &fixture->context;
	const char *const *operands = (const char *const *)words + 1;

	if (strcmp(words[0], "check") == 0)
		*result = ctl_check_documents(context, operands, operand_count);
	else if (strcmp(words[0], "apply") == 0)
		*result = ctl_apply_document(context, operands[0]);
	else if (strcmp(words[0], "get") == 0)
		*result = ctl_get_document(context, operands[0]);
	else if (strcmp(words[0], "delete") == 0)
		*result = ctl_delete_document(context, operands[0]);
	else if (strcmp(words[0], "nodes") == 0)
		*result = ctl_print_nodes(context);
	else if (strcmp(words[0], "report-burn") == 0)
		*result = ctl_report_burn(context);
	else if (strcmp(words[0], "explain-route") == 0)
		*result = ctl_explain_route(context, operands, operand_count);
	else if (strcmp(words[0], "watch") == 0)
		*result = ctl_watch_status(context, operands[0]);
	else
		return false;
	return true;
}

/* Replaces a port that the kernel chose, which errors name, by PORT. */
static void mask_port(GString *output, uint16_t port)
{
	char *text = g_strdup_printf(":%u", port);

	g_string_replace(output, text, ":PORT", 0);
	g_free(text);
}

/* Replaces the time of a burn report, which is the present, by TIME. */
static void mask_time(GString *output)
{
	GRegex *regex = g_regex_new(
		"\\d{4}-\\d\\d-\\d\\dT"
		"\\d\\d:\\d\\d:\\d\\dZ(?=, from)",
		0, 0, NULL);
	char *text =
		g_regex_replace(regex, output->str, -1, 0, "TIME", 0, NULL);

	g_string_assign(output, text);
	g_free(text);
	g_regex_unref(regex);
}

static bool run_and_print(struct fixture *fixture, int word_count, char **words,
			  GString *output)
{
	int operand_count = read_options(fixture, word_count, words);
	enum ctl_exit result = CTL_EXIT_OK;
	struct stream out;
	struct stream err;
	bool is_known;

	begin_capture(&out, stdout);
	begin_capture(&err, stderr);
	is_known = run_command(fixture, operand_count, words, &result);
	end_capture(&err, "err: ", output);
	end_capture(&out, "out: ", output);
	if (is_known)
		g_string_append_printf(output, "exit %d\n", (int)result);
	mask_port(output, api_get_port(fixture->platform));
	mask_port(output, web_get_port(fixture->node));
	mask_time(output);
	return is_known;
}

/* "write KEY EXPECTED_VERSION JSON": another writer writes the object now. */
static void write_object(struct fixture *fixture, char **words)
{
	json_t *value = json_loads(words[3], 0, NULL);
	uint64_t version;

	CU_ASSERT_PTR_NOT_NULL_FATAL(value);
	CU_ASSERT_EQUAL(store_put_object(api_get_store(fixture->platform),
					 words[1], value,
					 g_ascii_strtoull(words[2], NULL, 10),
					 &version),
			STORE_OK);
	api_answer_watches(fixture->platform);
	json_decref(value);
}

static void poll_race(uint64_t now_ms, void *data)
{
	struct fixture *fixture = data;
	json_t *stats = api_make_stats(fixture->platform);
	json_t *calls = json_object_get(stats, "calls");

	if (fixture->race &&
	    (json_integer_value(json_object_get(calls, "put")) > 0 ||
	     json_integer_value(json_object_get(stats, "waiting_watches")) >
		     0)) {
		write_object(fixture, fixture->race);
		g_strfreev(fixture->race);
		fixture->race = NULL;
	}
	json_decref(stats);
}

/*
 * "race KEY EXPECTED_VERSION JSON": another writer writes the object as soon as
 * a watch is waiting, or a put has arrived at the fake object API. The fault
 * delay_ms delays that put, so that the other write is carried out first.
 */
static void begin_race(struct fixture *fixture, char **words)
{
	fixture->race = g_strdupv(words);
	tmr_subscribe_every(fixture->platform, fixture->context.timers,
			    RACE_POLL_MS, poll_race, fixture);
}

static bool run_step(int word_count, char **words, GString *output, void *state)
{
	struct fixture *fixture = state;

	if (strcmp(words[0], "faults") == 0 && word_count == 2) {
		CU_ASSERT_TRUE(
			api_set_faults(fixture->platform, words[1], NULL));
	} else if (strcmp(words[0], "write") == 0 && word_count == 4) {
		write_object(fixture, words);
	} else if (strcmp(words[0], "race") == 0 && word_count == 4) {
		begin_race(fixture, words);
	} else if (strcmp(words[0], "burn") == 0 && word_count == 2) {
		g_free(fixture->burn);
		fixture->burn = g_strdup(words[1]);
	} else if (strcmp(words[0], "route") == 0 && word_count == 3) {
		fixture->route_status =
			(uint32_t)g_ascii_strtoull(words[1], NULL, 10);
		g_free(fixture->route);
		fixture->route = g_strdup(words[2]);
	} else if (strcmp(words[0], "members") == 0 && word_count == 2) {
		g_free(fixture->members);
		fixture->members = g_strdup(words[1]);
	} else {
		return run_and_print(fixture, word_count, words, output);
	}
	return true;
}

static void run_script(const char *name)
{
	struct fixture fixture;

	open_fixture(&fixture);
	scr_run(name, run_step, &fixture);
	close_fixture(&fixture);
}

static void test_check(void)
{
	run_script("check");
}

static void test_apply(void)
{
	run_script("apply");
}

static void test_race(void)
{
	run_script("race");
}

static void test_burn(void)
{
	run_script("burn");
}

/* Guards against an answer of a node that is printed wrongly, or in part. */
static void test_explain_route(void)
{
	run_script("explain_route");
}

static void test_watch(void)
{
	run_script("watch");
}

static void test_faults(void)
{
	run_script("faults");
}

static void test_delete(void)
{
	run_script("delete");
}

static void test_read(void)
{
	run_script("read");
}

int main(void)
{
	static const CU_TestInfo tests[] = {
		{ "check", test_check },
		{ "apply after another writer's changes", test_apply },
		{ "apply during another writer's write", test_race },
		{ "outages and lost answers", test_faults },
		{ "delete", test_delete },
		{ "get, nodes and watch", test_read },
		{ "burn report", test_burn },
		{ "watch of a change", test_watch },
		{ "explain-route", test_explain_route },
		CU_TEST_INFO_NULL,
	};

	return scr_run_suite("ctl", tests);
}
