/*
 * A store that returns from an older copy: the decisions by script, and the
 * calls and watches of a client over loopback.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include "wiring.h"

#define READ_TIMEOUT_MS 300U
#define WATCH_STEPS 400
#define WATCH_STEP_MS 10U

/* "answer TEXT" notes the era of an answer, "stamp ERA REVISION" makes one. */
static bool run_era(int word_count, char **words, GString *output, void *data)
{
	static const char *const events[] = { "same", "first", "risen", "old" };
	struct plat_era *known = data;
	uint64_t stamp;
	uint64_t era;

	if (strcmp(words[0], "stamp") == 0) {
		stamp = plat_make_stamp(strtoull(words[1], NULL, 10),
					strtoull(words[2], NULL, 10));
		g_string_append_printf(output,
				       "%" PRIu64 ": era %" PRIu64
				       " revision %" PRIu64 "\n",
				       stamp, plat_get_stamp_era(stamp),
				       plat_get_stamp_revision(stamp));
	} else if (!plat_parse_era(words[1], &era)) {
		g_string_append(output, "invalid\n");
	} else {
		g_string_append_printf(output, "%s",
				       events[plat_note_era(known, era)]);
		g_string_append_printf(output, ", known %" PRIu64 "\n",
				       known->current);
	}
	return true;
}

static void test_era(void)
{
	struct plat_era known = { 0 };

	scr_run("era", run_era, &known);
}

struct fixture {
	struct wiring *wiring;
	struct plat_client *client;
	GString *output;
	bool is_done;
};

static struct plat_dialect dialect;

/* Opens a client whose dialect has eras. */
static void open_client(struct fixture *fixture, uint32_t timeout_ms,
			uint32_t calls_per_second)
{
	struct wiring *wiring = fixture->wiring;
	struct plat_options options;
	char *url = talloc_asprintf(wiring, "http://%s:%u", wiring_addresses[0],
				    api_get_port(wiring->server));

	dialect = plat_native_dialect;
	dialect.era_header = API_ERA_HEADER;
	plat_set_default_options(&options, url);
	options.timeout_ms = timeout_ms;
	options.calls_per_second = calls_per_second;
	options.burst_calls = calls_per_second;
	options.retry_wait_ms_max = WIRING_RETRY_WAIT_MS;
	options.dialect = &dialect;
	options.seed = 1;
	fixture->client =
		plat_new_client(wiring, wiring->events, wiring->timers,
				wiring->counters, &options, NULL);
}

static void note_result(const struct plat_result *result, void *data)
{
	struct fixture *fixture = data;

	fixture->is_done = true;
	if (result->error)
		g_string_append_printf(fixture->output, "error %d: %s\n",
				       result->error->code,
				       result->error->message);
	else
		g_string_append_printf(
			fixture->output,
			"version %" PRIu64 " era %" PRIu64 "%s\n",
			result->version, result->era,
			result->object_count > 0 && result->objects[0].is_older
				? " older"
				: "");
}

static struct plat_call *start_put(struct fixture *fixture, const char *key,
				   const char *expected)
{
	char *id = plat_make_write_id(fixture->wiring, fixture->client, "test");
	json_t *value = json_pack("{s:s}", "write_id", id);
	struct plat_call *call = plat_put_object(
		fixture->wiring, fixture->client, key, value,
		strtoull(expected, NULL, 10), note_result, fixture);

	json_decref(value);
	return call;
}

static void set_fault(struct fixture *fixture, const char *name,
		      const char *value)
{
	char *text =
		talloc_asprintf(fixture->wiring, "{\"%s\": %s}", name, value);

	wiring_set_faults(fixture->wiring, text);
}

static void wait_for_result(struct fixture *fixture)
{
	fixture->is_done = false;
	wiring_run_until(fixture->wiring, &fixture->is_done);
}

static void write_as_other(struct fixture *fixture, const char *key)
{
	struct store *store = api_get_store(fixture->wiring->server);
	const struct store_object *object = store_find_object(store, key);
	uint64_t version = object ? object->version : 0;
	json_t *value = json_object();

	store_put_object(store, key, value, version, &version);
	json_decref(value);
}

static void print_counter(struct fixture *fixture, const char *name)
{
	struct cnt_counter *counter = cnt_get_counter(
		fixture->wiring->counters, CNT_KIND_COUNTER, name, NULL, "");

	/* The number of tries depends on the jitter. */
	g_string_append_printf(fixture->output, "%s %s\n", name,
			       cnt_get_value(counter) > 0 ? "some" : "none");
}

static void restore(struct fixture *fixture, const char *era)
{
	set_fault(fixture, "restore", "\"copy\"");
	set_fault(fixture, "era", era);
}

static int64_t count_lost_answers(struct fixture *fixture)
{
	json_t *stats = api_make_stats(fixture->wiring->server);
	int64_t count =
		json_integer_value(json_object_get(stats, "failed_by_fault"));

	json_decref(stats);
	return count;
}

static void put_and_lose(struct fixture *fixture, char **words)
{
	int64_t before = count_lost_answers(fixture);

	set_fault(fixture, "lose_answers", "1");
	start_put(fixture, words[1], words[2]);
	while (count_lost_answers(fixture) == before)
		tevent_loop_once(fixture->wiring->events);
	restore(fixture, words[3]);
	write_as_other(fixture, words[1]);
	wait_for_result(fixture);
}

/*
 * "put KEY VERSION" and "get KEY" are calls; "lost-put KEY VERSION ERA" loses
 * the answer, the store returns from its copy and another writes the key.
 */
static bool run_calls(int word_count, char **words, GString *output, void *data)
{
	struct fixture *fixture = data;

	fixture->output = output;
	if (strcmp(words[0], "era") == 0) {
		set_fault(fixture, "era", words[1]);
	} else if (strcmp(words[0], "save") == 0) {
		set_fault(fixture, "save", "\"copy\"");
	} else if (strcmp(words[0], "restore") == 0) {
		restore(fixture, words[1]);
	} else if (strcmp(words[0], "get") == 0) {
		plat_get_object(fixture->wiring, fixture->client, words[1],
				note_result, fixture);
		wait_for_result(fixture);
	} else if (strcmp(words[0], "put") == 0) {
		start_put(fixture, words[1], words[2]);
		wait_for_result(fixture);
	} else if (strcmp(words[0], "lost-put") == 0) {
		put_and_lose(fixture, words);
	} else if (strcmp(words[0], "counters") == 0) {
		print_counter(fixture, "loom_platform_eras_total");
		print_counter(fixture, "loom_platform_old_answers_total");
		print_counter(fixture, "loom_platform_invalid_eras_total");
	} else {
		return false;
	}
	return true;
}

static void test_calls(void)
{
	struct fixture fixture = { .wiring = wiring_open(READ_TIMEOUT_MS) };

	open_client(&fixture, READ_TIMEOUT_MS, 1000);
	scr_run("calls_era", run_calls, &fixture);
	TALLOC_FREE(fixture.client);
	wiring_close(fixture.wiring);
}

/* Runs the sockets, without time passing, until a result has come. */
static void step_until_result(struct fixture *fixture)
{
	fixture->is_done = false;
	for (int i = 0; i < WATCH_STEPS && !fixture->is_done; i++)
		wiring_step(fixture->wiring, 0);
	CU_ASSERT_TRUE(fixture->is_done);
}

/*
 * A write on a version of an older era that still waits for a token when
 * another call sees the new era must not be sent: its condition could be met by
 * chance.
 */
static void test_old_condition(void)
{
	struct wiring *wiring = wiring_open_virtual(WIRING_TIMEOUT_MS);
	struct fixture fixture = { .wiring = wiring,
				   .output = g_string_new(NULL) };

	write_as_other(&fixture, "a");
	set_fault(&fixture, "era", "1");
	open_client(&fixture, WIRING_TIMEOUT_MS, 2);
	plat_get_object(wiring, fixture.client, "a", note_result, &fixture);
	step_until_result(&fixture);
	set_fault(&fixture, "era", "2");
	plat_get_object(wiring, fixture.client, "a", note_result, &fixture);
	start_put(&fixture, "a", "1");
	step_until_result(&fixture);
	fixture.is_done = false;
	for (int i = 0; i < WATCH_STEPS && !fixture.is_done; i++)
		wiring_step(wiring, WATCH_STEP_MS);
	CU_ASSERT_PTR_NOT_NULL(strstr(fixture.output->str, "history_gone"));
	CU_ASSERT_EQUAL(
		store_find_object(api_get_store(wiring->server), "a")->version,
		1);
	g_string_free(fixture.output, TRUE);
	TALLOC_FREE(fixture.client);
	wiring_close(wiring);
}

static void note_watch(enum plat_watch_kind kind,
		       const struct plat_result *result, void *data)
{
	struct fixture *fixture = data;

	if (kind == PLAT_WATCH_LISTED)
		g_string_append_printf(fixture->output,
				       "listed %zu era %" PRIu64 "\n",
				       result->object_count, result->era);
}

/*
 * The store returns in an outage, and its revision passes the one of the watch
 * before the watch reaches it again. Without the era the watch would go on from
 * there, and miss the writes of b until its list in ten minutes.
 */
static void test_watch(void)
{
	struct wiring *wiring = wiring_open_virtual(WIRING_TIMEOUT_MS);
	struct fixture fixture = { .wiring = wiring,
				   .output = g_string_new(NULL) };
	struct plat_watch *watch;

	set_fault(&fixture, "era", "1");
	write_as_other(&fixture, "a");
	set_fault(&fixture, "save", "\"copy\"");
	write_as_other(&fixture, "a");
	write_as_other(&fixture, "a");
	open_client(&fixture, WIRING_TIMEOUT_MS, 1000);
	watch = plat_watch_prefix(wiring, fixture.client, "", note_watch,
				  &fixture);
	for (int i = 0; i < WATCH_STEPS; i++)
		wiring_step(wiring, WATCH_STEP_MS);
	set_fault(&fixture, "outage", "true");
	restore(&fixture, "2");
	for (int i = 0; i < 3; i++)
		write_as_other(&fixture, "b");
	set_fault(&fixture, "outage", "false");
	for (int i = 0; i < WATCH_STEPS; i++)
		wiring_step(wiring, WATCH_STEP_MS * 4);
	CU_ASSERT_STRING_EQUAL(fixture.output->str,
			       "listed 1 era 1\nlisted 2 era 2\n");
	talloc_free(watch);
	g_string_free(fixture.output, TRUE);
	TALLOC_FREE(fixture.client);
	wiring_close(wiring);
}

int main(void)
{
	static const CU_TestInfo tests[] = {
		{ "eras and stamps", test_era },
		{ "calls", test_calls },
		{ "condition of an older era", test_old_condition },
		{ "watch", test_watch },
		CU_TEST_INFO_NULL,
	};

	return scr_run_suite("platform era", tests);
}
