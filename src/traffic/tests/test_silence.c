/* Tests of the decision which calls a target does not answer. */
#include <stdlib.h>
#include <string.h>
#include "script.h"
#include "silence.h"

#define CALLS_MAX 8

struct state {
	struct tr_silence silence;
	struct tr_sent calls[CALLS_MAX];
	uint64_t now_ms;
};

static uint32_t parse_number(const char *text)
{
	return (uint32_t)strtoul(text, NULL, 10);
}

/* "send CALL WAIT RUN", in milliseconds */
static void send_call(struct state *state, char **words)
{
	state->calls[parse_number(words[1])] = (struct tr_sent){
		.started_us = state->now_ms * 1000,
		.wait_us = parse_number(words[2]) * 1000,
		.run_us = parse_number(words[3]) * 1000,
	};
	state->silence.in_flight++;
}

/* "answer CALL [RUNNING WAITING]": the head comes, with a report or without. */
static void begin_answer(struct state *state, int count, char **words)
{
	struct cap_report report = { .slots = 9 };

	if (count > 3) {
		report.running = parse_number(words[2]);
		report.waiting = parse_number(words[3]);
		tr_record_presence(&state->silence, &report, state->now_ms);
	}
	tr_record_head(&state->silence,
		       state->calls[parse_number(words[1])].started_us);
}

static void print_verdict(const struct state *state, const char *call,
			  GString *output)
{
	const struct tr_sent *sent = &state->calls[parse_number(call)];

	g_string_append_printf(
		output, "%s, overdue at %u\n",
		tr_is_unanswered(&state->silence, sent, state->now_ms)
			? "unanswered"
			: "wait",
		(unsigned)tr_get_overdue_ms(&state->silence, sent));
}

static bool run_step(int count, char **words, GString *output, void *data)
{
	struct state *state = data;

	if (strcmp(words[0], "at") == 0)
		state->now_ms = parse_number(words[1]);
	else if (strcmp(words[0], "silence") == 0)
		state->silence.silence_ms = parse_number(words[1]);
	else if (strcmp(words[0], "send") == 0)
		send_call(state, words);
	else if (strcmp(words[0], "answer") == 0)
		begin_answer(state, count, words);
	else if (strcmp(words[0], "give-up") == 0)
		state->silence.in_flight--;
	else if (strcmp(words[0], "restart") == 0)
		tr_clear_silence(&state->silence);
	else if (strcmp(words[0], "check") == 0)
		print_verdict(state, words[1], output);
	else
		return false;
	return true;
}

static void test_silence(void)
{
	struct state state = { .now_ms = 1000 };

	scr_run("silence", run_step, &state);
}

static const CU_TestInfo tests[] = {
	{ "silence", test_silence },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("silence", tests);
}
