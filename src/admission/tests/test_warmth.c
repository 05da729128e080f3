/*
 * Test of the bound on calls to a target that may have turned cold unnoticed.
 *
 *	bound PERMILLE SLACK RATE	what a cold target bears
 *	wait MS				time passes
 *	calls COUNT			calls that the gate admits at once
 *	cold MS				the target tells that it is cold
 *	ask				it is asked
 *	warm				it answers the last question: warm
 *	restart				another target follows
 *	load PER_S SECONDS RTT_MS COLD_MS  even calls and answers to questions;
 *					the target turns cold after COLD_MS
 *					(0: never), and tells so when asked
 */
#include <stdlib.h>
#include <string.h>
#include "loom/admission.h"
#include "script.h"

#define SLOTS 1000U
#define CALLS_MAX 65536U

struct fixture {
	struct adm_gate *gate;
	uint64_t now_ms;
	uint64_t asked_ms;
};

/* A target that answers questions after a round trip. */
struct target {
	uint64_t cold_ms; /* when it turns cold; UINT64_MAX: never */
	uint64_t asked_ms;
	uint64_t answer_ms; /* 0: no question is in progress */
	uint32_t round_trip_ms;
	uint32_t question_count;
	uint64_t sent_ms[CALLS_MAX];
	uint32_t sent_count;
	uint32_t refused_count;
};

static uint32_t parse_number(const char *text)
{
	return (uint32_t)strtoul(text, NULL, 10);
}

static bool admit(struct fixture *fixture)
{
	struct adm_call call = { .service = "orders",
				 .version = "v1",
				 .ticket = fixture,
				 .deadline_ms = UINT64_MAX };
	enum adm_refusal refusal;

	if (adm_admit(fixture->gate, &call, fixture->now_ms, &refusal) !=
	    ADM_VERDICT_RUN)
		return false;
	adm_finish(fixture->gate, ADM_OUTCOME_GOOD, fixture->now_ms, 1000,
		   fixture->now_ms);
	return true;
}

static void announce(struct fixture *fixture)
{
	adm_announce_target(fixture->gate, "orders", "v1", fixture->now_ms);
	adm_set_known_slots(fixture->gate, SLOTS);
}

static void set_bound(struct fixture *fixture, char **words)
{
	const struct adm_cold_bound bound = {
		.rate_permille = parse_number(words[1]),
		.slack_calls = parse_number(words[2]),
	};
	const struct doc_limits limits = {
		.cold_calls_per_second = parse_number(words[3]),
		.health_path = "/healthz",
	};

	adm_set_cold_bound(fixture->gate, &bound);
	adm_set_limits(fixture->gate, &limits);
	announce(fixture);
}

static void send_calls(struct fixture *fixture, uint32_t count, GString *output)
{
	uint32_t sent = 0;

	for (uint32_t i = 0; i < count; i++)
		sent += admit(fixture);
	g_string_append_printf(output, "sent %u%s\n", sent,
			       adm_is_check_due(fixture->gate, fixture->now_ms)
				       ? ", to be asked"
				       : "");
}

static void handle_answer(struct fixture *fixture, struct target *target)
{
	target->answer_ms = 0;
	if (fixture->now_ms >= target->cold_ms)
		adm_set_cold(fixture->gate, fixture->now_ms + 3000);
	else
		adm_confirm_warm(fixture->gate, target->asked_ms,
				 fixture->now_ms);
}

static void ask_if_due(struct fixture *fixture, struct target *target)
{
	if (target->answer_ms > 0 ||
	    !adm_is_check_due(fixture->gate, fixture->now_ms))
		return;
	target->question_count++;
	target->asked_ms = fixture->now_ms;
	target->answer_ms = fixture->now_ms + target->round_trip_ms;
}

/* Returns the most calls in one second since the target has been cold. */
static uint32_t count_most(const struct target *target)
{
	uint32_t most = 0;
	uint32_t first = 0;

	for (uint32_t i = 0; i < target->sent_count; i++) {
		if (target->sent_ms[i] < target->cold_ms) {
			first = i + 1;
			continue;
		}
		while (target->sent_ms[first] + 1000 <= target->sent_ms[i])
			first++;
		most = MAX(most, i - first + 1);
	}
	return most;
}

static void run_load(struct fixture *fixture, char **words, GString *output)
{
	uint32_t per_second = parse_number(words[1]);
	uint64_t end_ms = fixture->now_ms + 1000 * parse_number(words[2]);
	uint32_t cold_after_ms = parse_number(words[4]);
	struct target *target = g_new0(struct target, 1);
	uint32_t due = 0;

	target->round_trip_ms = parse_number(words[3]);
	target->cold_ms = cold_after_ms > 0 ? fixture->now_ms + cold_after_ms
					    : UINT64_MAX;
	for (; fixture->now_ms < end_ms; fixture->now_ms++) {
		if (fixture->now_ms == target->answer_ms)
			handle_answer(fixture, target);
		for (due += per_second; due >= 1000; due -= 1000) {
			if (admit(fixture))
				target->sent_ms[target->sent_count++] =
					fixture->now_ms;
			else
				target->refused_count++;
			ask_if_due(fixture, target);
		}
	}
	g_string_append_printf(
		output,
		"sent %u, refused %u, asked %u times, at most %u in a second "
		"while cold\n",
		target->sent_count, target->refused_count,
		target->question_count, count_most(target));
	g_free(target);
}

static bool run_step(int word_count, char **words, GString *output, void *data)
{
	struct fixture *fixture = data;

	if (strcmp(words[0], "bound") == 0)
		set_bound(fixture, words);
	else if (strcmp(words[0], "wait") == 0)
		fixture->now_ms += parse_number(words[1]);
	else if (strcmp(words[0], "calls") == 0)
		send_calls(fixture, parse_number(words[1]), output);
	else if (strcmp(words[0], "cold") == 0)
		adm_set_cold(fixture->gate,
			     fixture->now_ms + parse_number(words[1]));
	else if (strcmp(words[0], "ask") == 0)
		fixture->asked_ms = fixture->now_ms;
	else if (strcmp(words[0], "warm") == 0)
		adm_confirm_warm(fixture->gate, fixture->asked_ms,
				 fixture->now_ms);
	else if (strcmp(words[0], "restart") == 0)
		announce(fixture);
	else if (strcmp(words[0], "load") == 0)
		run_load(fixture, words, output);
	else
		return false;
	return true;
}

static void run_script(const char *name)
{
	struct fixture fixture = { .gate = adm_new_gate(NULL),
				   .now_ms = 1000000 };

	scr_run(name, run_step, &fixture);
	talloc_free(fixture.gate);
}

/* Guards against: a target that turns cold again gets its full load until its
 * next heartbeat. */
static void test_turns_cold(void)
{
	run_script("warmth");
}

/* The load is that of the small and of the large deployments. */
static void test_turns_cold_under_load(void)
{
	run_script("warmth_load");
}

int main(void)
{
	static const CU_TestInfo tests[] = {
		{ "a target turns cold", test_turns_cold },
		{ "a target turns cold under load",
		  test_turns_cold_under_load },
		CU_TEST_INFO_NULL,
	};

	return scr_run_suite("warmth", tests);
}
