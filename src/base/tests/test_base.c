/*
 * Tests of the errors, the timer service and the counters.
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

struct timer_note {
	struct timer_state *state;
	char *name;
};

static void print_call(uint64_t now_ms, void *data)
{
	struct timer_note *note = data;

	g_string_append_printf(note->state->output, "%s called at %u\n",
			       note->name, (unsigned int)now_ms);
}

static bool run_timer_step(int word_count, char **words, GString *output,
			   void *data)
{
	struct timer_state *state = data;
	struct timer_note *note;
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
	note = talloc(state->service, struct timer_note);
	note->state = state;
	note->name = talloc_strdup(note, words[1]);
	g_hash_table_insert(
		state->subscriptions, note->name,
		strcmp(words[0], "every") == 0
			? tmr_subscribe_every(note, state->service, value,
					      print_call, note)
			: tmr_subscribe_once(note, state->service, value,
					     print_call, note));
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

static void test_error_carries_step_and_peer(void)
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
	{ "timer service follows its script", test_timer_script },
	{ "error carries step and peer", test_error_carries_step_and_peer },
	{ "counters print in order of name", test_counters_print_in_order },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("base", tests);
}
