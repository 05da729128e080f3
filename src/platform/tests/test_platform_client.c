/*
 * Calls of the object API over loopback, without and with faults of the store.
 * Each script line is one call or one fault.
 */
#include <stdlib.h>
#include <string.h>
#include "client.h"
#include "wiring.h"

#define MANY_CALLS 20

struct fixture {
	struct wiring *wiring;
	GString *output;
	struct plat_call *call;
	uint32_t time_limit_ms; /* 0: the client's time limit */
	bool is_done;
};

static void print_result(const struct plat_result *result, void *data)
{
	struct fixture *fixture = data;

	fixture->is_done = true;
	if (result->error)
		g_string_append_printf(
			fixture->output, "error %s",
			err_get_code_name((enum err_code)result->error->code));
	else
		g_string_append(fixture->output, "ok");
	if (result->version > 0)
		g_string_append_printf(fixture->output,
				       " version=%" G_GUINT64_FORMAT,
				       result->version);
	for (size_t i = 0; i < result->object_count; i++) {
		const struct plat_object *object = &result->objects[i];
		char *value = json_dumps(object->value, JSON_COMPACT);

		g_string_append_printf(fixture->output,
				       "\n  %s@%" G_GUINT64_FORMAT "%s %s",
				       object->key, object->version,
				       object->is_older ? " older" : "", value);
		free(value);
	}
	g_string_append_c(fixture->output, '\n');
}

/*
 * "put KEY VERSION ID [SIZE]": puts a value with the write id ID ("-": none)
 * and SIZE bytes of padding.
 */
static void put(struct fixture *fixture, int word_count, char **words)
{
	size_t size = word_count > 4 ? (size_t)atol(words[4]) : 0;
	char *padding = g_strnfill(size, 'x');
	bool has_id = strcmp(words[3], "-") != 0;
	json_t *value =
		json_pack("{s:s*}", "write_id", has_id ? words[3] : NULL);

	if (size > 0)
		json_object_set_new(value, "padding", json_string(padding));
	fixture->call = plat_put_object(
		fixture->wiring, fixture->wiring->client, words[1], value,
		(uint64_t)atol(words[2]), print_result, fixture);
	json_decref(value);
	g_free(padding);
}

static void end_outage(uint64_t now_ms, void *data)
{
	wiring_set_faults(data, "{\"outage\": false}");
}

/*
 * "counter NAME LABELS": prints "some" if the counter is above zero, "none"
 * otherwise, because the number of tries depends on the jitter.
 */
static void print_counter(struct fixture *fixture, char **words)
{
	struct cnt_counter *counter =
		cnt_get_counter(fixture->wiring->counters, CNT_KIND_COUNTER,
				words[1], *words[2] ? words[2] : NULL, "");

	g_string_append(fixture->output,
			cnt_get_value(counter) > 0 ? "some\n" : "none\n");
}

static bool run_fault(struct fixture *fixture, char **words)
{
	struct wiring *wiring = fixture->wiring;

	if (strcmp(words[0], "faults") == 0)
		wiring_set_faults(wiring, words[1]);
	else if (strcmp(words[0], "outage-ends-in") == 0)
		tmr_subscribe_once(wiring, wiring->timers,
				   (uint32_t)atol(words[1]), end_outage,
				   wiring);
	else if (strcmp(words[0], "time-limit") == 0)
		fixture->time_limit_ms = (uint32_t)atol(words[1]);
	else if (strcmp(words[0], "counter") == 0)
		print_counter(fixture, words);
	else
		return false;
	return true;
}

static bool run_step(int word_count, char **words, GString *output, void *state)
{
	struct fixture *fixture = state;
	struct wiring *wiring = fixture->wiring;

	fixture->output = output;
	fixture->is_done = false;
	if (strcmp(words[0], "get") == 0)
		fixture->call =
			plat_get_object(wiring, wiring->client, words[1],
					print_result, fixture);
	else if (strcmp(words[0], "list") == 0)
		fixture->call =
			plat_list_objects(wiring, wiring->client, words[1],
					  print_result, fixture);
	else if (strcmp(words[0], "put") == 0 && word_count > 3)
		put(fixture, word_count, words);
	else if (strcmp(words[0], "delete") == 0 && word_count > 2)
		fixture->call = plat_delete_object(
			wiring, wiring->client, words[1],
			(uint64_t)atol(words[2]), print_result, fixture);
	else
		return run_fault(fixture, words);
	if (fixture->time_limit_ms > 0)
		plat_set_time_limit(fixture->call, fixture->time_limit_ms);
	wiring_run_until(wiring, &fixture->is_done);
	return true;
}

static void run_script(const char *name)
{
	struct fixture fixture = { .wiring = wiring_open(WIRING_TIMEOUT_MS) };

	scr_run(name, run_step, &fixture);
	wiring_close(fixture.wiring);
}

static int64_t count_gets(struct wiring *wiring)
{
	json_t *stats = api_make_stats(wiring->server);
	json_t *calls = json_object_get(stats, "calls");
	int64_t count = json_integer_value(json_object_get(calls, "get"));

	json_decref(stats);
	return count;
}

static void ignore_result(const struct plat_result *result, void *data)
{
}

/*
 * Starts MANY_CALLS reads on virtual time; returns how many requests the store
 * received after time_ms. Real time passes until at least wanted have arrived.
 */
static int64_t count_started(uint32_t burst_calls, const char *faults,
			     uint32_t time_ms, int64_t wanted)
{
	struct wiring *wiring = wiring_open_virtual(WIRING_TIMEOUT_MS);
	struct plat_options options = *plat_get_options(wiring->client);
	struct plat_client *client;
	int64_t count;

	options.calls_per_second = 1;
	options.burst_calls = burst_calls;
	client = plat_new_client(wiring, wiring->events, wiring->timers,
				 wiring->counters, &options, NULL);
	wiring_set_faults(wiring, faults);
	for (int i = 0; i < MANY_CALLS; i++)
		plat_get_object(client, client, "a", ignore_result, NULL);
	for (uint32_t i = 0; i < time_ms; i++)
		wiring_step(wiring, 1);
	for (int i = 0; i < WIRING_TURNS_MAX && count_gets(wiring) < wanted;
	     i++)
		wiring_step(wiring, 0);
	count = count_gets(wiring);
	talloc_free(client);
	wiring_close(wiring);
	return count;
}

static void test_bucket_holds_calls_back(void)
{
	CU_ASSERT_EQUAL(count_started(3, "{}", 100, 3), 3);
	CU_ASSERT_EQUAL(count_started(3, "{}", 2100, 5), 5);
}

static void test_calls_in_flight_are_bounded(void)
{
	CU_ASSERT_EQUAL(count_started(100, "{\"outage\": \"hang\"}", 100,
				      PLAT_IN_FLIGHT_MAX),
			PLAT_IN_FLIGHT_MAX);
}

static void test_contract(void)
{
	run_script("contract");
}

static void test_faults(void)
{
	run_script("faults");
}

static void test_stale(void)
{
	run_script("stale");
}

static const CU_TestInfo tests[] = {
	{ "contract", test_contract },
	{ "faults", test_faults },
	{ "stale reads and restored stores", test_stale },
	{ "bucket holds calls back", test_bucket_holds_calls_back },
	{ "calls in flight are bounded", test_calls_in_flight_are_bounded },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("platform client", tests);
}
