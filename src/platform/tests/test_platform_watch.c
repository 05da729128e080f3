/*
 * Watches over loopback. "expect N" runs the loop until the watch has reported
 * N times and prints the reports. Consecutive failures are printed once and not
 * counted.
 */
#include <stdlib.h>
#include <string.h>
#include "wiring.h"

#define RELIST_STEPS 400
#define RELIST_STEP_MS 2000U
#define NEVER_GONE_STEP_MS 250U
#define BUSY_LOOP_TEST_MS 300U
#define BUSY_LOOP_POLLS_MAX 20

struct fixture {
	struct wiring *wiring;
	struct plat_watch *watch;
	GString *output;
	int wanted; /* reports still expected */
	bool is_done;
	bool has_failed;
};

static const char *const kind_names[] = {
	[PLAT_WATCH_LISTED] = "listed",
	[PLAT_WATCH_CHANGED] = "changed",
	[PLAT_WATCH_ROLLED_BACK] = "stale",
};

static void print_report(enum plat_watch_kind kind,
			 const struct plat_result *result, void *data)
{
	struct fixture *fixture = data;

	if (kind == PLAT_WATCH_FAILED) {
		if (!fixture->has_failed)
			g_string_append(fixture->output, "failed\n");
		fixture->has_failed = true;
		return;
	}
	fixture->has_failed = false;
	g_string_append(fixture->output, kind_names[kind]);
	for (size_t i = 0; i < result->object_count; i++)
		g_string_append_printf(
			fixture->output, " %s@%" G_GUINT64_FORMAT "%s%s",
			result->objects[i].key, result->objects[i].version,
			result->objects[i].is_deleted ? " deleted" : "",
			result->objects[i].is_older ? " older" : "");
	g_string_append_c(fixture->output, '\n');
	fixture->wanted--;
	fixture->is_done = fixture->wanted == 0;
}

static void run_until_waiting(struct wiring *wiring)
{
	bool is_waiting = false;

	for (int i = 0; i < WIRING_TURNS_MAX && !is_waiting; i++) {
		json_t *stats = api_make_stats(wiring->server);
		json_t *count = json_object_get(stats, "waiting_watches");

		is_waiting = json_integer_value(count) > 0;
		json_decref(stats);
		if (!is_waiting)
			tevent_loop_once(wiring->events);
	}
	CU_ASSERT_TRUE(is_waiting);
}

/* Writes directly to the store, as a write of another process. */
static void write_store(struct wiring *wiring, const char *key, bool is_put)
{
	struct store *store = api_get_store(wiring->server);
	const struct store_object *object = store_find_object(store, key);
	uint64_t version = object ? object->version : 0;
	json_t *value = json_object();

	if (is_put)
		store_put_object(store, key, value, version, &version);
	else
		store_delete_object(store, key, version, &version);
	json_decref(value);
	api_answer_watches(wiring->server);
}

static bool run_step(int word_count, char **words, GString *output, void *state)
{
	struct fixture *fixture = state;
	struct wiring *wiring = fixture->wiring;

	fixture->output = output;
	if (strcmp(words[0], "put") == 0)
		write_store(wiring, words[1], true);
	else if (strcmp(words[0], "delete") == 0)
		write_store(wiring, words[1], false);
	else if (strcmp(words[0], "faults") == 0)
		wiring_set_faults(wiring, words[1]);
	else if (strcmp(words[0], "waiting") == 0)
		run_until_waiting(wiring);
	else if (strcmp(words[0], "watch") == 0)
		fixture->watch =
			plat_watch_prefix(wiring, wiring->client, words[1],
					  print_report, fixture);
	else if (strcmp(words[0], "expect") == 0) {
		fixture->wanted = atoi(words[1]);
		fixture->is_done = false;
		wiring_run_until(wiring, &fixture->is_done);
	} else
		return false;
	return true;
}

static void run_script(const char *name, uint32_t timeout_ms)
{
	struct fixture fixture = { .wiring = wiring_open(timeout_ms) };

	scr_run(name, run_step, &fixture);
	talloc_free(fixture.watch);
	wiring_close(fixture.wiring);
}

static void test_watch(void)
{
	run_script("watch", WIRING_TIMEOUT_MS);
}

static void test_restored(void)
{
	run_script("watch_restored", 500);
}

/*
 * Between the faults before and after, the store is restored to a state older
 * than the watch's revision, and b and c are written. The watch must report the
 * older state within RELIST_STEPS steps of virtual time.
 */
static void test_restored_unseen(const char *before, const char *after,
				 int writes, uint32_t step_ms)
{
	struct wiring *wiring = wiring_open_virtual(WIRING_TIMEOUT_MS);
	struct fixture fixture = { .wiring = wiring,
				   .output = g_string_new(NULL) };

	write_store(wiring, "a", true);
	wiring_set_faults(wiring, "{\"save\": \"early\"}");
	write_store(wiring, "a", true);
	write_store(wiring, "a", true);
	fixture.watch = plat_watch_prefix(wiring, wiring->client, "",
					  print_report, &fixture);
	for (int i = 0; i < RELIST_STEPS; i++)
		wiring_step(wiring, 10);
	wiring_set_faults(wiring, before);
	wiring_set_faults(wiring, "{\"restore\": \"early\"}");
	write_store(wiring, "b", true);
	for (int i = 0; i < writes; i++)
		write_store(wiring, "c", true);
	wiring_set_faults(wiring, after);
	for (int i = 0; i < RELIST_STEPS; i++)
		wiring_step(wiring, step_ms);
	CU_ASSERT_PTR_NOT_NULL(
		strstr(fixture.output->str, "stale\nlisted a@1 older b@1"));
	talloc_free(fixture.watch);
	g_string_free(fixture.output, TRUE);
	wiring_close(wiring);
}

/*
 * The store was restored in an outage and its revision has since passed the
 * revision of the watch, so that only a new list shows the older state.
 */
static void test_relist(void)
{
	test_restored_unseen("{\"outage\": true}", "{\"outage\": false}", 2,
			     RELIST_STEP_MS);
}

/*
 * A store that does not report a poll from a revision above the store's as an
 * error: the lower revision in the response shows that it was restored.
 */
static void test_never_gone(void)
{
	test_restored_unseen("{\"never_gone\": true}", "{}", 0,
			     NEVER_GONE_STEP_MS);
}

static void note_time(uint64_t now_ms, void *data)
{
	bool *is_over = data;

	*is_over = true;
}

/*
 * A fault must not make the watch poll in a busy loop. The seed fixes the
 * waits, so that a slow machine can only reduce the number of polls.
 */
static void test_no_busy_loop(const char *fault, const char *kind)
{
	struct wiring *wiring = wiring_open(WIRING_TIMEOUT_MS);
	struct fixture fixture = { .wiring = wiring, .wanted = 1 };
	bool is_over = false;
	json_t *stats;

	fixture.output = g_string_new(NULL);
	fixture.watch = plat_watch_prefix(wiring, wiring->client, "",
					  print_report, &fixture);
	wiring_run_until(wiring, &fixture.is_done);
	wiring_set_faults(wiring, fault);
	tmr_subscribe_once(wiring, wiring->timers, BUSY_LOOP_TEST_MS, note_time,
			   &is_over);
	wiring_run_until(wiring, &is_over);
	stats = api_make_stats(wiring->server);
	CU_ASSERT_TRUE(json_integer_value(json_object_get(
			       json_object_get(stats, "calls"), kind)) <
		       BUSY_LOOP_POLLS_MAX);
	json_decref(stats);
	talloc_free(fixture.watch);
	g_string_free(fixture.output, TRUE);
	wiring_close(wiring);
}

static void test_store_without_long_poll(void)
{
	test_no_busy_loop("{\"hasty_watches\": true}", "watch");
}

static void test_outage(void)
{
	test_no_busy_loop("{\"outage\": true}", "watch");
}

static const CU_TestInfo tests[] = {
	{ "watch, cut and history gone", test_watch },
	{ "restored store", test_restored },
	{ "restored store whose revision caught up", test_relist },
	{ "restored store that never returns 410", test_never_gone },
	{ "no busy loop when the store does not wait",
	  test_store_without_long_poll },
	{ "no busy loop in an outage", test_outage },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("platform watch", tests);
}
