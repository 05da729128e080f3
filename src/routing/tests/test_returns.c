/* Tests of the records and promises for refused callers that return. */
#include <stdlib.h>
#include <string.h>
#include "return_model.h"
#include "script.h"

#define RECORDS_MAX 4096U

struct state {
	struct rt_returns *returns;
	uint64_t now_ms;
	uint32_t objective_ms;
	uint32_t run_ms;
	GHashTable *attempts; /* name of a caller to its struct attempt */
};

struct attempt {
	struct rt_arrival arrival;
	struct rt_return returned;
};

static uint32_t parse_number(const char *text)
{
	return (uint32_t)strtoul(text, NULL, 10);
}

/* "come NAME KEY LEFT": an attempt with so much time left arrives. */
static void receive_attempt(struct state *state, char **words, GString *output)
{
	struct attempt *attempt = g_new0(struct attempt, 1);

	attempt->arrival = (struct rt_arrival){
		.key = parse_number(words[2]),
		.received_ms = state->now_ms,
		.left_ms = parse_number(words[3]),
		.objective_ms = state->objective_ms,
		.run_us = state->run_ms * 1000,
	};
	attempt->returned = rt_take_return(state->returns, &attempt->arrival);
	g_string_append(output, rt_get_return_name(attempt->returned.kind));
	if (attempt->returned.kind != RT_RETURN_NONE)
		g_string_append_printf(output, ", first at %u, %s%s",
				       (unsigned)attempt->returned.first_ms,
				       attempt->returned.is_late ? "late"
								 : "in time",
				       rt_needs_idle_target(&attempt->returned)
					       ? ", if a target is idle"
					       : "");
	g_string_append_c(output, '\n');
	g_hash_table_replace(state->attempts, g_strdup(words[1]), attempt);
}

/* "refuse NAME [SERVICE]": the caller's last attempt is refused. */
static void refuse_attempt(struct state *state, int count, char **words,
			   GString *output)
{
	const struct attempt *attempt =
		g_hash_table_lookup(state->attempts, words[1]);
	struct rt_advice advice = rt_record_refusal(
		state->returns, count > 2 ? words[2] : "orders",
		&attempt->arrival, &attempt->returned, state->now_ms);

	g_string_append_printf(output, "told %u ms%s%s\n", advice.wait_ms,
			       advice.is_promise ? ", promised" : "",
			       advice.is_dropped ? ", one dropped" : "");
}

/* "answers COUNT": so many calls of the service are answered now. */
static void answer_calls(struct state *state, const char *count)
{
	for (uint32_t i = 0; i < parse_number(count); i++)
		rt_record_service_answer(state->returns, "orders",
					 state->now_ms);
}

static bool run_step(int count, char **words, GString *output, void *data)
{
	struct state *state = data;

	if (strcmp(words[0], "at") == 0) {
		state->now_ms = parse_number(words[1]);
	} else if (strcmp(words[0], "kind") == 0) {
		state->objective_ms = parse_number(words[1]);
		state->run_ms = parse_number(words[2]);
	} else if (strcmp(words[0], "come") == 0) {
		receive_attempt(state, words, output);
	} else if (strcmp(words[0], "refuse") == 0) {
		refuse_attempt(state, count, words, output);
	} else if (strcmp(words[0], "answers") == 0) {
		answer_calls(state, words[1]);
	} else if (strcmp(words[0], "records") == 0) {
		g_string_append_printf(output, "%u\n",
				       rt_count_returns(state->returns));
	} else {
		return false;
	}
	return true;
}

static void test_returns(void)
{
	struct state state = { .returns = rt_new_returns(NULL),
			       .now_ms = 1000,
			       .objective_ms = 600,
			       .run_ms = 100 };

	state.attempts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	scr_run("returns", run_step, &state);
	g_hash_table_destroy(state.attempts);
	talloc_free(state.returns);
}

/*
 * "load PERCENT MS", "impatient ONE-OF", "restart" of the node, "print"; "model
 * plain" and "model returns" begin anew without and with recognition.
 */
static bool run_load_step(int count, char **words, GString *output, void *data)
{
	struct model **model = data;

	if (strcmp(words[0], "model") == 0) {
		if (*model)
			model_free(*model);
		*model = model_new(strcmp(words[1], "returns") == 0);
	} else if (strcmp(words[0], "load") == 0) {
		model_run(*model, parse_number(words[1]),
			  parse_number(words[2]));
	} else if (strcmp(words[0], "impatient") == 0) {
		model_set_impatient(*model, parse_number(words[1]));
	} else if (strcmp(words[0], "restart") == 0) {
		model_restart(*model);
	} else if (strcmp(words[0], "print") == 0) {
		model_print(*model, output);
	} else {
		return false;
	}
	return true;
}

static void test_return_loads(void)
{
	struct model *model = NULL;

	scr_run("return_loads", run_load_step, &model);
	model_free(model);
}

/* Callers that never return must not cost memory without bound. */
static void test_bound(void)
{
	struct rt_returns *returns = rt_new_returns(NULL);
	struct rt_arrival arrival = { .received_ms = 1000,
				      .left_ms = 60000,
				      .objective_ms = 600 };
	struct rt_return none = { .kind = RT_RETURN_NONE };
	struct rt_advice advice;

	rt_record_service_answer(returns, "orders", 1000);
	for (uint32_t i = 0; i < RECORDS_MAX; i++) {
		arrival.key = i;
		advice = rt_record_refusal(returns, "orders", &arrival, &none,
					   1000);
		CU_ASSERT_EQUAL(advice.is_promise, i == 0);
		CU_ASSERT_FALSE(advice.is_dropped);
	}
	CU_ASSERT_EQUAL(rt_count_returns(returns), RECORDS_MAX);
	/* The oldest record, which has a promise, is dropped. */
	arrival.key = RECORDS_MAX;
	advice = rt_record_refusal(returns, "orders", &arrival, &none, 1000);
	CU_ASSERT_TRUE(advice.is_dropped);
	CU_ASSERT_EQUAL(rt_count_returns(returns), RECORDS_MAX);
	arrival.received_ms = 2000;
	arrival.left_ms = 59000;
	arrival.key = 0;
	CU_ASSERT_EQUAL(rt_take_return(returns, &arrival).kind, RT_RETURN_NONE);
	arrival.key = 1;
	CU_ASSERT_NOT_EQUAL(rt_take_return(returns, &arrival).kind,
			    RT_RETURN_NONE);
	talloc_free(returns);
}

static const CU_TestInfo tests[] = {
	{ "returns", test_returns },
	{ "return loads", test_return_loads },
	{ "bound", test_bound },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("returns", tests);
}
