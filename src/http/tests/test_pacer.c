/*
 * Scripted tests of the pacer on a virtual clock.
 */
#include <stdlib.h>
#include <string.h>
#include "link_model.h"
#include "loom/pacer.h"
#include "script.h"

#define FLOWS_MAX 16

struct state {
	struct pace_pacer *pacer;
	struct pace_flow flows[FLOWS_MAX]; /* data is the name */
	size_t flow_count;
	uint64_t now_us;
};

static uint64_t parse(const char *text)
{
	return strtoull(text, NULL, 10);
}

static struct pace_flow *get_flow(struct state *state, const char *name)
{
	struct pace_flow *flow;

	for (size_t i = 0; i < state->flow_count; i++) {
		if (strcmp(state->flows[i].data, name) == 0)
			return &state->flows[i];
	}
	g_assert(state->flow_count < FLOWS_MAX);
	flow = &state->flows[state->flow_count++];
	flow->data = g_strdup(name);
	return flow;
}

static void print_number(GString *output, uint64_t number)
{
	g_string_append_printf(output, "%" G_GUINT64_FORMAT "\n", number);
}

static void open_pacer(struct state *state, uint64_t kbit_s)
{
	for (size_t i = 0; i < state->flow_count; i++)
		g_free(state->flows[i].data);
	memset(state->flows, 0, sizeof(state->flows));
	state->flow_count = 0;
	talloc_free(state->pacer);
	state->now_us = 1000000;
	state->pacer = pace_new_pacer(NULL, kbit_s, state->now_us);
}

/* "ask NAME LEFT": sends what is allowed and prints it. */
static void ask(struct state *state, struct pace_flow *flow, uint64_t left,
		GString *output)
{
	uint64_t bytes =
		pace_get_allowance(state->pacer, flow, left, state->now_us);

	if (bytes > 0)
		pace_record_large(state->pacer, flow, bytes, state->now_us);
	print_number(output, bytes);
}

static void print_state(struct state *state, GString *output)
{
	const struct pace_flow *next = pace_get_next(state->pacer);

	g_string_append_printf(
		output, "next %s, %u wait, try in %" G_GUINT64_FORMAT " us\n",
		next ? (const char *)next->data : "none",
		pace_get_waiting_count(state->pacer),
		pace_get_wait_us(state->pacer, state->now_us));
}

static void print_warning(struct state *state, GString *output)
{
	uint64_t backlog_us = 0;

	if (pace_take_warning(state->pacer, state->now_us, &backlog_us))
		print_number(output, backlog_us);
	else
		g_string_append(output, "none\n");
}

static bool run_flow_step(char **words, int word_count, GString *output,
			  struct state *state)
{
	struct pace_flow *flow = get_flow(state, words[1]);

	if (strcmp(words[0], "deadline") == 0 && word_count == 3)
		flow->deadline_us = parse(words[2]) * 1000;
	else if (strcmp(words[0], "ask") == 0 && word_count == 3)
		ask(state, flow, parse(words[2]), output);
	else if (strcmp(words[0], "leave") == 0)
		pace_remove_flow(state->pacer, flow);
	else
		return false;
	return true;
}

static bool run_step(int word_count, char **words, GString *output, void *data)
{
	struct state *state = data;

	if (strcmp(words[0], "link") == 0 && word_count == 2)
		open_pacer(state, parse(words[1]));
	else if (strcmp(words[0], "wait") == 0 && word_count == 2)
		state->now_us += parse(words[1]) * 1000;
	else if (strcmp(words[0], "short") == 0 && word_count == 2)
		pace_record_short(state->pacer, parse(words[1]), state->now_us);
	else if (strcmp(words[0], "state") == 0)
		print_state(state, output);
	else if (strcmp(words[0], "backlog") == 0 && word_count == 3)
		print_number(output, pace_get_backlog_us(state->pacer,
							 parse(words[1]) * 1000,
							 parse(words[2]),
							 state->now_us));
	else if (strcmp(words[0], "longest") == 0)
		print_number(output, pace_get_longest_wait_us(state->pacer,
							      state->now_us));
	else if (strcmp(words[0], "warning") == 0)
		print_warning(state, output);
	else if (word_count >= 2)
		return run_flow_step(words, word_count, output, state);
	else
		return false;
	return true;
}

static void run_script(const char *name)
{
	struct state state = { 0 };

	open_pacer(&state, 0);
	scr_run(name, run_step, &state);
	open_pacer(&state, 0);
	talloc_free(state.pacer);
}

/* "run paced|plain KBIT_S COUNT BYTES PERIOD_MS DEADLINE_MS BYTES PERIOD_MS" */
static bool run_load_step(int word_count, char **words, GString *output,
			  void *data)
{
	struct link_load load;

	if (word_count != 9 || strcmp(words[0], "run") != 0)
		return false;
	load = (struct link_load){
		.download_count = (uint32_t)parse(words[3]),
		.download_bytes = (uint32_t)parse(words[4]),
		.download_period_ms = (uint32_t)parse(words[5]),
		.deadline_ms = (uint32_t)parse(words[6]),
		.short_bytes = (uint32_t)parse(words[7]),
		.short_period_ms = (uint32_t)parse(words[8]),
	};
	link_run((uint32_t)parse(words[2]), strcmp(words[1], "paced") == 0,
		 &load, output);
	return true;
}

/*
 * Guards against short answers that wait behind downloads, and downloads that
 * all end late together.
 */
static void test_load(void)
{
	scr_run("pacer_load", run_load_step, NULL);
}

/* Guards against an order that is not by deadline, and a burst without bound.
 */
static void test_order(void)
{
	run_script("pacer_order");
}

/* Guards against answers that wait for ever behind one that cannot be sent. */
static void test_failures(void)
{
	run_script("pacer_failures");
}

/* Guards against calls that are admitted though the link is taken. */
static void test_backlog(void)
{
	run_script("pacer_backlog");
}

static const CU_TestInfo tests[] = {
	{ "load", test_load },
	{ "order", test_order },
	{ "failures", test_failures },
	{ "backlog", test_backlog },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("pacer", tests);
}
