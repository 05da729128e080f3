/*
 * Scripted tests of who gets load reports and when, and of which reports a
 * receiver uses, in virtual time.
 */
#include <stdlib.h>
#include <string.h>
#include "schedule.h"
#include "script.h"
#include "senders.h"

#define PEERS_MAX 64U
#define BATCHES_PER_RUN_MAX 100000U

struct state {
	struct load_schedule *schedule;
	struct load_senders *senders;
	uint64_t now_ms;
	struct rt_load load;
	uint32_t sent_count;
};

static uint32_t parse_number(const char *text)
{
	return (uint32_t)strtoul(text, NULL, 10);
}

/* Receiver NUMBER is the node 10.0.HIGH.LOW with port 7950. */
static struct load_peer get_peer(uint32_t number)
{
	return (struct load_peer){ .address.s_addr =
					   htonl(0x0a000000U + number),
				   .port = 7950 };
}

static uint32_t get_number(const struct load_peer *peer)
{
	return ntohl(peer->address.s_addr) - 0x0a000000U;
}

/* "call FIRST [COUNT]": calls of COUNT nodes. */
static void record_calls(struct state *state, int count, char **words,
			 GString *output)
{
	uint32_t first = parse_number(words[1]);
	uint32_t nodes = count > 2 ? parse_number(words[2]) : 1;
	uint32_t refused = 0;

	for (uint32_t i = first; i < first + nodes; i++) {
		struct load_peer peer = get_peer(i);

		if (!load_record_caller(state->schedule, &peer, state->now_ms))
			refused++;
	}
	if (refused > 0)
		g_string_append_printf(output, "%u too many\n", refused);
}

/* "load IN_FLIGHT LIMIT [PHASE|unreachable|WAIT]" */
static void set_load(struct state *state, int count, char **words)
{
	struct rt_load *load = &state->load;

	memset(load, 0, sizeof(*load));
	load->in_flight = parse_number(words[1]);
	load->limit = parse_number(words[2]);
	load->phase = RT_PHASE_SERVING;
	if (count > 3 && strcmp(words[3], "unreachable") == 0) {
		load->is_unreachable = true;
	} else if (count > 3 && !rt_parse_phase(words[3], &load->phase)) {
		load->has_waits = true;
		load->wait_us[RT_CLASS_NESTED] = parse_number(words[3]);
	}
	load_record_load(state->schedule, load);
}

/* Sends until nothing is due at this time. Returns the number of datagrams. */
static uint32_t send_due(struct state *state, GString *output)
{
	struct load_peer peers[PEERS_MAX];
	uint32_t total = 0;
	uint32_t count;

	while ((count = load_take_due(state->schedule, peers, PEERS_MAX,
				      state->now_ms)) > 0) {
		total += count;
		state->sent_count += count;
		for (uint32_t i = 0; output && i < count; i++)
			g_string_append_printf(output, "%s%u", i ? " " : "to ",
					       get_number(&peers[i]));
	}
	return total;
}

/* Advances to each time at which something is due, as the service does. */
static void run_until(struct state *state, uint64_t end_ms, GString *output)
{
	uint64_t next_ms;

	for (uint32_t i = 0; i < BATCHES_PER_RUN_MAX; i++) {
		uint64_t before_ms = state->now_ms;
		GString *line = g_string_new(NULL);

		next_ms = load_get_next_ms(state->schedule, state->now_ms);
		if (next_ms > end_ms) {
			g_string_free(line, TRUE);
			break;
		}
		state->now_ms = MAX(next_ms, before_ms);
		if (send_due(state, line) > 0)
			g_string_append_printf(output, "%5u ms %s\n",
					       (uint32_t)state->now_ms,
					       line->str);
		g_string_free(line, TRUE);
	}
	state->now_ms = end_ms;
	if (next_ms == LOAD_NEVER_MS)
		g_string_append(output, "nothing is due\n");
}

static void count_until(struct state *state, uint64_t end_ms, GString *output)
{
	GString *text = g_string_new(NULL);

	state->sent_count = 0;
	run_until(state, end_ms, text);
	g_string_append_printf(output, "%u datagrams\n", state->sent_count);
	g_string_free(text, TRUE);
}

/*
 * "flood FIRST COUNT MS": COUNT nodes call every 100 ms for MS ms while the
 * load changes each millisecond. Prints the datagrams of the busiest second and
 * those that the best and the worst served node got.
 */
static void run_flood(struct state *state, char **words, GString *output)
{
	uint32_t first = parse_number(words[1]);
	uint32_t count = parse_number(words[2]);
	uint32_t duration_ms = parse_number(words[3]);
	uint32_t *sent = g_new0(uint32_t, duration_ms);
	uint32_t *got = g_new0(uint32_t, count);
	uint32_t in_window = 0;
	uint32_t busiest = 0;
	uint32_t wake_ups = 0;
	uint32_t least = UINT32_MAX;
	uint32_t most = 0;

	for (uint32_t t = 0; t < duration_ms; t++, state->now_ms++) {
		struct load_peer peers[PEERS_MAX];
		uint32_t n = 0;

		for (uint32_t i = t % 100; i < count; i += 100) {
			struct load_peer peer = get_peer(first + i);

			load_record_caller(state->schedule, &peer,
					   state->now_ms);
		}
		state->load.in_flight ^= 1;
		load_record_load(state->schedule, &state->load);
		if (load_get_next_ms(state->schedule, state->now_ms) <=
		    state->now_ms)
			n = load_take_due(state->schedule, peers, PEERS_MAX,
					  state->now_ms);
		wake_ups += n > 0;
		for (uint32_t i = 0; i < n; i++)
			got[get_number(&peers[i]) - first]++;
		sent[t] = n;
		in_window += n;
		if (t >= 1000)
			in_window -= sent[t - 1000];
		busiest = MAX(busiest, in_window);
	}
	for (uint32_t i = 0; i < count; i++) {
		least = MIN(least, got[i]);
		most = MAX(most, got[i]);
	}
	g_string_append_printf(output,
			       "busiest second %u, each node %u to %u, %u "
			       "wake-ups, %u receivers\n",
			       busiest, least, most, wake_ups,
			       load_count_receivers(state->schedule));
	g_free(sent);
	g_free(got);
}

/* "spare COUNT": datagrams that are not due */
static void take_spare(struct state *state, uint32_t count, GString *output)
{
	uint32_t taken = 0;

	for (uint32_t i = 0; i < count; i++)
		taken += load_take_spare(state->schedule, state->now_ms);
	g_string_append_printf(output, "%u allowed\n", taken);
}

static bool run_schedule_step(int count, char **words, GString *output,
			      void *data)
{
	struct state *state = data;

	if (strcmp(words[0], "call") == 0)
		record_calls(state, count, words, output);
	else if (strcmp(words[0], "load") == 0)
		set_load(state, count, words);
	else if (strcmp(words[0], "until") == 0)
		run_until(state, parse_number(words[1]), output);
	else if (strcmp(words[0], "busy-until") == 0)
		state->now_ms = parse_number(words[1]);
	else if (strcmp(words[0], "count-until") == 0)
		count_until(state, parse_number(words[1]), output);
	else if (strcmp(words[0], "flood") == 0)
		run_flood(state, words, output);
	else if (strcmp(words[0], "spare") == 0)
		take_spare(state, parse_number(words[1]), output);
	else if (strcmp(words[0], "receivers") == 0)
		g_string_append_printf(output, "%u\n",
				       load_count_receivers(state->schedule));
	else
		return false;
	return true;
}

/* "heard SENDER INSTANCE SEQUENCE" */
static void check_report(struct state *state, char **words, GString *output)
{
	struct load_report report = {
		.instance = parse_number(words[2]),
		.sequence = parse_number(words[3]),
		.hop_port = 8081,
	};
	struct load_check check = load_check_report(
		state->senders, get_peer(parse_number(words[1])).address,
		&report, state->now_ms);

	switch (check.verdict) {
	case LOAD_VERDICT_NEW:
		g_string_append_printf(output, "used for %s", check.target);
		if (check.has_age)
			g_string_append_printf(output, " after %u ms",
					       check.age_ms);
		g_string_append(output, "\n");
		break;
	case LOAD_VERDICT_OUTDATED:
		g_string_append(output, "outdated\n");
		break;
	case LOAD_VERDICT_SURPLUS:
		g_string_append(output, "surplus\n");
		break;
	}
}

/* "crowd FIRST COUNT": a first report of each of COUNT senders. */
static void hear_crowd(struct state *state, char **words, GString *output)
{
	struct load_report report = { .instance = 1, .hop_port = 8081 };
	uint32_t first = parse_number(words[1]);
	uint32_t used = 0;

	for (uint32_t i = 0; i < parse_number(words[2]); i++) {
		struct load_check check = load_check_report(
			state->senders, get_peer(first + i).address, &report,
			state->now_ms);

		used += check.verdict == LOAD_VERDICT_NEW;
	}
	g_string_append_printf(output, "%u used, %u kept\n", used,
			       load_count_senders(state->senders));
}

static bool run_senders_step(int count, char **words, GString *output,
			     void *data)
{
	struct state *state = data;

	if (strcmp(words[0], "heard") == 0)
		check_report(state, words, output);
	else if (strcmp(words[0], "crowd") == 0)
		hear_crowd(state, words, output);
	else if (strcmp(words[0], "at") == 0)
		state->now_ms = parse_number(words[1]);
	else if (strcmp(words[0], "senders") == 0)
		g_string_append_printf(output, "%u\n",
				       load_count_senders(state->senders));
	else
		return false;
	return true;
}

static void run_script(const char *name, scr_step_fn step)
{
	struct state state = { .now_ms = 10000 };

	state.schedule = load_new_schedule(NULL, state.now_ms);
	state.senders = load_new_senders(NULL);
	scr_run(name, step, &state);
	talloc_free(state.schedule);
	talloc_free(state.senders);
}

/* Receivers got reports late, too often, or after they had stopped calling. */
static void test_schedule(void)
{
	run_script("schedule", run_schedule_step);
}

/* Many receivers took more datagrams than allowed, or some got none. */
static void test_crowd(void)
{
	run_script("crowd", run_schedule_step);
}

/* Restarted senders were ignored, or late datagrams replaced newer ones. */
static void test_senders(void)
{
	run_script("senders", run_senders_step);
}

static const CU_TestInfo tests[] = {
	{ "schedule", test_schedule },
	{ "crowd", test_crowd },
	{ "senders", test_senders },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("load schedule", tests);
}
