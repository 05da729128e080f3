/* Tests of loads that the node of a target sends without a call. */
#include <stdlib.h>
#include "fixture.h"
#include "script.h"
#include "target_state.h"

struct state {
	struct rt_target_state target;
	uint64_t now_ms;
};

static uint32_t parse_number(const char *text)
{
	return (uint32_t)strtoul(text, NULL, 10);
}

/* words: LIMIT IN_FLIGHT PHASE, which may be "unreachable" */
static struct rt_load read_load(char **words)
{
	struct rt_load load = {
		.limit = parse_number(words[0]),
		.in_flight = parse_number(words[1]),
		.latency_us = 100000,
		.phase = RT_PHASE_SERVING,
	};

	load.is_unreachable = strcmp(words[2], "unreachable") == 0;
	if (!load.is_unreachable)
		rt_parse_phase(words[2], &load.phase);
	return load;
}

/*
 * "answer LIMIT IN_FLIGHT PHASE AGE": a call ends, AGE ms after the head of its
 * answer came; "failed": it ends without an answer.
 */
static void end_call(struct state *state, int count, char **words)
{
	struct rt_load load;

	state->target.own_in_flight--;
	if (strcmp(words[0], "failed") == 0) {
		rt_record_result(&state->target, RT_OUTCOME_FAILED, NULL, 0,
				 state->now_ms);
		return;
	}
	load = read_load(words + 1);
	load.received_ms = state->now_ms - parse_number(words[4]);
	rt_record_result(&state->target, RT_OUTCOME_ANSWERED, &load,
			 count > 5 ? parse_number(words[5]) : 400,
			 state->now_ms);
}

static void print_state(const struct state *state, GString *output)
{
	const struct rt_target_state *target = &state->target;
	uint64_t now_ms = state->now_ms;

	g_string_append_printf(
		output, "load %u of %u, %s, failures %u%s, transit %u us\n",
		rt_estimate_load(target, now_ms),
		rt_estimate_limit(target, now_ms),
		rt_get_phase_name(rt_estimate_phase(target, now_ms)),
		target->failure_count,
		now_ms < target->ejected_until_ms ? ", ejected" : "",
		rt_estimate_transit_us(target, now_ms));
}

static bool run_step(int count, char **words, GString *output, void *data)
{
	struct state *state = data;
	struct rt_load load;

	if (strcmp(words[0], "at") == 0) {
		state->now_ms = parse_number(words[1]);
	} else if (strcmp(words[0], "start") == 0) {
		rt_record_own_start(&state->target, state->now_ms);
	} else if (strcmp(words[0], "report") == 0) {
		load = read_load(words + 1);
		rt_record_sent_report(&state->target, &load, state->now_ms);
	} else if (strcmp(words[0], "answer") == 0 ||
		   strcmp(words[0], "failed") == 0) {
		end_call(state, count, words);
	} else if (strcmp(words[0], "load") == 0) {
		print_state(state, output);
	} else {
		return false;
	}
	return true;
}

static void test_sent_reports(void)
{
	struct state state = {
		.target.announced_phase = RT_PHASE_SERVING,
		.now_ms = 1000,
	};

	scr_run("sent_reports", run_step, &state);
}

/* Anybody may send a datagram; only targets of the table are kept. */
static void test_unknown_target(void)
{
	struct fixture *fixture = new_fixture();
	struct rt_chooser *chooser =
		rt_new_chooser(fixture, RT_POLICY_TWO_CHOICES, 1);
	struct rt_load load = { .limit = 4, .phase = RT_PHASE_SERVING };
	struct rt_request request = { 0 };
	enum rt_refusal refusal;

	add_target(fixture, &(struct rt_target){ .address = "127.0.0.2:1",
						 .failure_domain = "a",
						 .version = "v1",
						 .phase = RT_PHASE_SERVING });
	build_table(fixture);
	request.service = fixture->service;
	CU_ASSERT_FALSE(rt_record_report(chooser, "127.0.0.2:1", &load, 1));
	rt_choose_target(chooser, fixture->table, &request, 1, &refusal);
	CU_ASSERT_TRUE(rt_record_report(chooser, "127.0.0.2:1", &load, 1));
	CU_ASSERT_FALSE(rt_record_report(chooser, "127.0.0.2:2", &load, 1));
	drop_target(fixture, "127.0.0.2:1");
	build_table(fixture);
	request.service = fixture->service;
	rt_choose_target(chooser, fixture->table, &request, 2, &refusal);
	CU_ASSERT_FALSE(rt_record_report(chooser, "127.0.0.2:1", &load, 2));
	free_fixture(fixture);
}

static const CU_TestInfo tests[] = {
	{ "sent reports", test_sent_reports },
	{ "unknown target", test_unknown_target },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("sent reports", tests);
}
