/*
 * Tests of errors, of the timer service and of counters and histograms.
 */
#include <stdlib.h>
#include <string.h>
#include "loom/counter.h"
#include "loom/error.h"
#include "loom/timer.h"
#include "script.h"

struct timer_state {
	struct tmr_service *service;
	GHashTable *subscriptions; /* name to struct tmr_subscription */
	GString *output;
};

struct timer_call {
	struct timer_state *state;
	char *name;
};

static void print_call(uint64_t now_ms, void *data)
{
	struct timer_call *call = data;

	g_string_append_printf(call->state->output, "%s called at %u\n",
			       call->name, (unsigned int)now_ms);
}

static bool run_timer_step(int word_count, char **words, GString *output,
			   void *data)
{
	struct timer_state *state = data;
	struct timer_call *call;
	uint32_t value;

	state->output = output;
	if (strcmp(words[0], "cancel") == 0 && word_count == 2) {
		talloc_free(
			g_hash_table_lookup(state->subscriptions, words[1]));
		return true;
	}
	value = (uint32_t)strtoul(words[word_count - 1], NULL, 10);
	if (strcmp(words[0], "advance") == 0) {
		tmr_advance(state->service, value);
		return true;
	}
	call = talloc(state->service, struct timer_call);
	call->state = state;
	call->name = talloc_strdup(call, words[1]);
	g_hash_table_insert(
		state->subscriptions, call->name,
		strcmp(words[0], "every") == 0
			? tmr_subscribe_every(call, state->service, value,
					      print_call, call)
			: tmr_subscribe_once(call, state->service, value,
					     print_call, call));
	return true;
}

static void test_timer_script(void)
{
	struct timer_state state = { 0 };

	state.service = tmr_new_virtual(NULL, 1000);
	state.subscriptions = g_hash_table_new(g_str_hash, g_str_equal);
	scr_run("timer", run_timer_step, &state);
	g_hash_table_destroy(state.subscriptions);
	talloc_free(state.service);
}

static void test_histogram(void)
{
	struct cnt_registry *registry = cnt_new_registry(NULL);
	struct cnt_histogram *histogram =
		cnt_get_histogram(registry, "t_seconds", "side=\"a\"", "Time.");
	GString *text = g_string_new(NULL);

	cnt_observe(histogram, 1000);
	cnt_observe(histogram, 1001);
	cnt_observe(histogram, 9000000);
	CU_ASSERT_PTR_EQUAL(histogram,
			    cnt_get_histogram(registry, "t_seconds",
					      "side=\"a\"", "Time."));
	cnt_print(registry, text);
	CU_ASSERT_PTR_NOT_NULL(
		strstr(text->str,
		       "# TYPE t_seconds histogram\n"
		       "t_seconds_bucket{side=\"a\",le=\"0.001\"} 1\n"
		       "t_seconds_bucket{side=\"a\",le=\"0.002\"} 2\n"));
	CU_ASSERT_PTR_NOT_NULL(
		strstr(text->str,
		       "t_seconds_bucket{side=\"a\",le=\"5\"} 2\n"
		       "t_seconds_bucket{side=\"a\",le=\"+Inf\"} 3\n"
		       "t_seconds_sum{side=\"a\"} 9.002001\n"
		       "t_seconds_count{side=\"a\"} 3\n"));
	g_string_free(text, TRUE);
	talloc_free(registry);
}

static void count_call(uint64_t now_ms, void *data)
{
	uint32_t *count = data;

	(*count)++;
}

/*
 * On the monotonic clock, subscriptions are called when due, whatever the order
 * of subscribing, and a cancelled one is not called.
 */
static void test_real_timers(void)
{
	struct tevent_context *events = tevent_context_init(NULL);
	struct tmr_service *service = tmr_new(events, events);
	uint64_t start_ms = tmr_get_now_ms(service);
	struct tmr_subscription *cancelled;
	uint32_t late = 0;
	uint32_t early = 0;
	uint32_t cancelled_calls = 0;

	tmr_subscribe_once(events, service, 30, count_call, &late);
	cancelled = tmr_subscribe_once(events, service, 1, count_call,
				       &cancelled_calls);
	tmr_subscribe_once(events, service, 5, count_call, &early);
	tmr_subscribe_once(events, service, 0, count_call, &early);
	talloc_free(cancelled);
	while (late == 0)
		tevent_loop_once(events);
	CU_ASSERT_TRUE(tmr_get_now_ms(service) >= start_ms + 30);
	CU_ASSERT_EQUAL(early, 2);
	CU_ASSERT_EQUAL(cancelled_calls, 0);
	talloc_free(events);
}

#define TURNS_MAX 1000000U

struct spinning {
	struct tmr_alarm *alarms[2];
	bool is_timer_called;
};

static void set_other_alarm(struct spinning *spinning, size_t other)
{
	tmr_set_alarm(spinning->alarms[other], 0);
}

static void handle_first_alarm(void *data)
{
	set_other_alarm(data, 1);
}

static void handle_second_alarm(void *data)
{
	set_other_alarm(data, 0);
}

static void handle_timer(uint64_t due_ms, void *data)
{
	struct spinning *spinning = data;

	spinning->is_timer_called = true;
}

/* Alarms that set each other at once kept a loop from its sockets and timers.
 */
static void test_alarms_without_end(void)
{
	struct tevent_context *events = tevent_context_init(NULL);
	struct tmr_service *timers = tmr_new(events, events);
	struct spinning spinning = { 0 };

	spinning.alarms[0] =
		tmr_new_alarm(events, events, handle_first_alarm, &spinning);
	spinning.alarms[1] =
		tmr_new_alarm(events, events, handle_second_alarm, &spinning);
	set_other_alarm(&spinning, 0);
	tmr_subscribe_once(timers, timers, 0, handle_timer, &spinning);
	for (uint32_t i = 0; i < TURNS_MAX && !spinning.is_timer_called; i++)
		tevent_loop_once(events);
	CU_ASSERT_TRUE(spinning.is_timer_called);
	spinning.is_timer_called = false;
	tmr_subscribe_once(timers, timers, 1, handle_timer, &spinning);
	for (uint32_t i = 0; i < TURNS_MAX && !spinning.is_timer_called; i++)
		tevent_loop_once(events);
	CU_ASSERT_TRUE(spinning.is_timer_called);
	talloc_free(events);
}

static void test_error_keeps_step_and_peer(void)
{
	GError *error = NULL;
	GError *copy;

	err_set(&error, ERR_TIMEOUT, "get object", "127.0.0.9:80", "after %d",
		5);
	copy = g_error_copy(error);
	g_error_free(error);
	CU_ASSERT_STRING_EQUAL(err_get_step(copy), "get object");
	CU_ASSERT_STRING_EQUAL(err_get_peer(copy), "127.0.0.9:80");
	CU_ASSERT_STRING_EQUAL(copy->message, "after 5");
	CU_ASSERT_TRUE(g_error_matches(copy, ERR_DOMAIN, ERR_TIMEOUT));
	g_error_free(copy);
}

static void test_counters_print_in_order(void)
{
	struct cnt_registry *registry = cnt_new_registry(NULL);
	GString *text = g_string_new(NULL);

	cnt_set(cnt_get_counter(registry, CNT_KIND_GAUGE, "loom_b", NULL, "B"),
		-3);
	cnt_add(cnt_get_counter(registry, CNT_KIND_COUNTER, "loom_a",
				"code=\"2\"", "A"),
		2);
	cnt_add(cnt_get_counter(registry, CNT_KIND_COUNTER, "loom_a",
				"code=\"1\"", "A"),
		1);
	cnt_add(cnt_get_counter(registry, CNT_KIND_COUNTER, "loom_a",
				"code=\"2\"", "A"),
		2);
	cnt_print(registry, text);
	CU_ASSERT_STRING_EQUAL(text->str,
			       "# HELP loom_a A\n# TYPE loom_a counter\n"
			       "loom_a{code=\"1\"} 1\nloom_a{code=\"2\"} 4\n"
			       "# HELP loom_b B\n# TYPE loom_b gauge\n"
			       "loom_b -3\n");
	g_string_free(text, TRUE);
	talloc_free(registry);
}

static const CU_TestInfo tests[] = {
	{ "timer service runs its script", test_timer_script },
	{ "error keeps step and peer", test_error_keeps_step_and_peer },
	{ "counters are printed in order of name",
	  test_counters_print_in_order },
	{ "histograms are printed with cumulative buckets", test_histogram },
	{ "timers on the monotonic clock are called", test_real_timers },
	{ "alarms without end", test_alarms_without_end },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("base", tests);
}
