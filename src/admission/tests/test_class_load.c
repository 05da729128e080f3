/*
 * Tests of admission by class under load, with a model of the target.
 *
 * Time passes in steps of 1 ms. Calls of each stream arrive at random (seeds
 * are in the scripts) and have run times between half and one and a half times
 * the mean. The target runs calls in its slots, the others in the order in
 * which they came, and reports its load with each answer. All arrivals and run
 * times are the same for both orders of the gate. A call counts in the play in
 * which it ends.
 *
 * Not modelled: callers that leave at their deadline and callers that retry.
 */
#include <stdlib.h>
#include <string.h>
#include "loom/admission.h"
#include "script.h"

#define STREAMS_MAX 6U
/* Of all routes of the deployment, also those that a script leaves out. */
#define LOWEST_PRIORITY 2U
/* Size of a large answer; they pass the link one after the other. */
#define ANSWER_KB 90U

struct stream {
	char *name; /* the kind of its calls, too */
	enum rt_class class;
	uint32_t priority;
	uint32_t per_second;
	uint32_t work_ms;
	uint32_t objective_ms;
	uint32_t deadline_ms;
	bool is_large; /* its answers pass the link */
	uint32_t asked;
	uint32_t in_time;
	uint32_t late;
	uint32_t refused;  /* at once, for its wait */
	uint32_t full;	   /* at once, since the queue was full */
	uint32_t expired;  /* after waiting */
	uint32_t lost;	   /* answered after the deadline */
	uint64_t wait_sum; /* ms, of the calls that started */
	uint32_t wait_max; /* ms */
	uint32_t started;
};

struct call {
	struct stream *stream; /* NULL: not of this gate */
	uint64_t arrived_ms;
	uint64_t started_ms;
	uint64_t work_us; /* left, at the usual speed */
};

enum reports {
	REPORTS_ON,
	REPORTS_ABSURD,
	REPORTS_OFF,
};

struct state {
	struct adm_gate *gate;
	bool is_by_class;
	uint64_t now_ms;
	uint32_t slots;
	struct stream streams[STREAMS_MAX];
	uint32_t stream_count;
	GPtrArray *target; /* struct call, in the order in which they came */
	uint32_t target_max;
	uint32_t time_percent;
	uint32_t swing_percent;
	uint32_t swing_ms; /* 0: the speed does not change */
	enum reports reports;
	uint32_t link_kb_per_ms;
	uint64_t link_free_ms; /* when all answers on the link have been sent */
	GRand *random;
};

static uint32_t parse_number(const char *text)
{
	return (uint32_t)strtoul(text, NULL, 10);
}

static void open_gate(struct state *state)
{
	state->gate = adm_new_gate(NULL);
	if (state->is_by_class)
		adm_use_classes(state->gate);
	adm_announce_target(state->gate, "orders", "v1", state->now_ms);
	adm_set_known_slots(state->gate, state->slots);
}

static uint32_t get_time_percent(const struct state *state)
{
	if (state->swing_ms && state->now_ms / state->swing_ms % 2)
		return state->swing_percent;
	return state->time_percent;
}

/* Returns how long a large answer would wait for the link and be sent. */
static uint32_t get_send_ms(const struct state *state,
			    const struct stream *stream)
{
	uint64_t from_ms = MAX(state->link_free_ms, state->now_ms);

	if (!stream->is_large || state->link_kb_per_ms == 0)
		return 0;
	return (uint32_t)(from_ms - state->now_ms) +
	       ANSWER_KB / state->link_kb_per_ms;
}

static void start_call(struct state *state, struct call *call)
{
	struct stream *stream = call->stream;
	uint32_t wait_ms = (uint32_t)(state->now_ms - call->arrived_ms);

	call->started_ms = state->now_ms;
	stream->started++;
	stream->wait_sum += wait_ms;
	stream->wait_max = MAX(stream->wait_max, wait_ms);
	g_ptr_array_add(state->target, call);
	state->target_max = MAX(state->target_max, state->target->len);
}

static void process_waiting(struct state *state)
{
	struct call *call;

	while ((call = adm_take_expired(state->gate, state->now_ms))) {
		call->stream->expired++;
		g_free(call);
	}
	while ((call = adm_take_ready(state->gate, state->now_ms)))
		start_call(state, call);
}

/*
 * Without classes entry nodes give an objective to calls of the lowest priority
 * only (src/traffic/entry.c).
 */
static uint64_t get_objective_ms(const struct state *state,
				 const struct stream *stream)
{
	if (!state->is_by_class && stream->priority < LOWEST_PRIORITY)
		return 0;
	return state->now_ms + stream->objective_ms;
}

/*
 * As src/traffic/hop.c: behind the answers on the link and those of the calls
 * that run, and its own time twice.
 */
static uint32_t estimate_send_ms(const struct state *state,
				 const struct stream *stream)
{
	uint32_t send_ms = get_send_ms(state, stream);
	uint32_t large = 1;

	if (send_ms == 0)
		return 0;
	for (guint i = 0; i < state->target->len; i++) {
		const struct call *call = g_ptr_array_index(state->target, i);

		large += call->stream && call->stream->is_large;
	}
	return send_ms + large * (ANSWER_KB / state->link_kb_per_ms);
}

static void admit(struct state *state, struct stream *stream, uint64_t work_us)
{
	struct call *call = g_new0(struct call, 1);
	enum adm_refusal refusal;
	struct adm_call asked = {
		.service = "orders",
		.version = "v1",
		.ticket = call,
		.deadline_ms = state->now_ms + stream->deadline_ms,
		.objective_ms = get_objective_ms(state, stream),
		.priority = stream->priority,
		.class = stream->class,
		.kind = stream->name,
		.send_us = estimate_send_ms(state, stream) * 1000,
	};

	call->stream = stream;
	call->arrived_ms = state->now_ms;
	call->work_us = work_us;
	stream->asked++;
	switch (adm_admit(state->gate, &asked, state->now_ms, &refusal)) {
	case ADM_VERDICT_RUN:
		start_call(state, call);
		break;
	case ADM_VERDICT_WAIT:
		process_waiting(state);
		break;
	case ADM_VERDICT_REFUSE:
		if (refusal == ADM_REFUSAL_QUEUE_FULL)
			stream->full++;
		else
			stream->refused++;
		g_free(call);
		break;
	}
}

static void report(struct state *state)
{
	struct cap_report load = {
		.running = MIN(state->target->len, state->slots),
		.waiting = state->target->len -
			   MIN(state->target->len, state->slots),
		.slots = state->slots,
		.time_percent = get_time_percent(state),
	};

	if (state->reports == REPORTS_OFF)
		return;
	if (state->reports == REPORTS_ABSURD)
		load.running += 20000;
	adm_record_report(state->gate, &load, state->now_ms);
}

static void end_call(struct state *state, struct call *call)
{
	struct stream *stream = call->stream;
	uint32_t send_ms;
	uint32_t run_us;
	uint64_t end_ms;

	if (!stream)
		return;
	send_ms = get_send_ms(state, stream);
	run_us = (uint32_t)(state->now_ms - call->started_ms) * 1000;
	end_ms = state->now_ms + send_ms;
	if (send_ms > 0)
		state->link_free_ms = end_ms;
	report(state);
	adm_record_run(state->gate, stream->name, run_us, run_us,
		       state->now_ms);
	adm_finish(state->gate, ADM_OUTCOME_GOOD, call->started_ms, run_us,
		   state->now_ms);
	if (end_ms <= call->arrived_ms + stream->objective_ms)
		stream->in_time++;
	else if (end_ms <= call->arrived_ms + stream->deadline_ms)
		stream->late++;
	else
		stream->lost++;
}

/* Lets 1 ms pass at the target; calls that arrived first get the slots. */
static void run_target(struct state *state)
{
	uint32_t done_us = 1000U * 100 / get_time_percent(state);
	guint running = MIN(state->target->len, state->slots);
	guint i = 0;

	while (running-- > 0) {
		struct call *call = g_ptr_array_index(state->target, i);

		if (call->work_us > done_us) {
			call->work_us -= done_us;
			i++;
			continue;
		}
		g_ptr_array_remove_index(state->target, i);
		end_call(state, call);
		g_free(call);
	}
	process_waiting(state);
}

static void clear_counts(struct state *state)
{
	for (uint32_t i = 0; i < state->stream_count; i++) {
		struct stream *stream = &state->streams[i];
		struct stream fresh = {
			.name = stream->name,
			.class = stream->class,
			.priority = stream->priority,
			.per_second = stream->per_second,
			.work_ms = stream->work_ms,
			.objective_ms = stream->objective_ms,
			.deadline_ms = stream->deadline_ms,
			.is_large = stream->is_large,
		};

		*stream = fresh;
	}
	state->target_max = state->target->len;
}

static void print_counts(const struct state *state, GString *output)
{
	uint32_t in_time = 0;
	uint32_t asked = 0;

	for (uint32_t i = 0; i < state->stream_count; i++) {
		const struct stream *stream = &state->streams[i];

		asked += stream->asked;
		in_time += stream->in_time;
		g_string_append_printf(
			output,
			"%s: %u asked, %u in time, %u late, %u lost, "
			"%u refused, %u full, %u expired; wait %u, at most %u "
			"ms\n",
			stream->name, stream->asked, stream->in_time,
			stream->late, stream->lost, stream->refused,
			stream->full, stream->expired,
			stream->started
				? (uint32_t)(stream->wait_sum / stream->started)
				: 0,
			stream->wait_max);
	}
	g_string_append_printf(
		output, "all: %u asked, %u in time; at most %u at the target\n",
		asked, in_time, state->target_max);
}

static void arrive(struct state *state)
{
	for (uint32_t i = 0; i < state->stream_count; i++) {
		struct stream *stream = &state->streams[i];
		/* Drawn for each step, so that both orders get the same. */
		bool is_due = g_rand_double(state->random) * 1000 <
			      stream->per_second;
		double factor = 0.5 + g_rand_double(state->random);

		if (is_due)
			admit(state, stream,
			      (uint64_t)(stream->work_ms * 1000 * factor));
	}
}

/* "play MS SEED": the streams, from the state that the play before left. */
static void play(struct state *state, char **words, GString *output)
{
	uint64_t end_ms = state->now_ms + parse_number(words[1]);

	state->random = g_rand_new_with_seed(parse_number(words[2]));
	clear_counts(state);
	for (; state->now_ms < end_ms; state->now_ms++) {
		run_target(state);
		arrive(state);
	}
	g_rand_free(state->random);
	print_counts(state, output);
}

/* "stream NAME CLASS PRIORITY PER_SECOND WORK_MS OBJECTIVE_MS DEADLINE_MS" */
static void add_stream(struct state *state, int word_count, char **words)
{
	static const char *const names[RT_CLASS_COUNT] = { "nested", "returned",
							   "rank0", "rank1",
							   "low" };
	struct stream *stream = &state->streams[state->stream_count++];
	int class = 0;

	g_assert(state->stream_count <= STREAMS_MAX);
	while (class < RT_CLASS_COUNT && strcmp(names[class], words[2]) != 0)
		class ++;
	g_assert(class < RT_CLASS_COUNT);
	stream->name = g_strdup(words[1]);
	stream->class = (enum rt_class) class;
	stream->priority = parse_number(words[3]);
	stream->per_second = parse_number(words[4]);
	stream->work_ms = parse_number(words[5]);
	stream->objective_ms = parse_number(words[6]);
	stream->deadline_ms = parse_number(words[7]);
	stream->is_large = word_count > 8;
}

static void clear_target(struct state *state)
{
	for (guint i = 0; i < state->target->len; i++)
		g_free(g_ptr_array_index(state->target, i));
	g_ptr_array_set_size(state->target, 0);
}

static void close_gate(struct state *state)
{
	void *call;

	adm_drain_target(state->gate);
	while ((call = adm_take_expired(state->gate, state->now_ms)))
		g_free(call);
	talloc_free(state->gate);
}

/* A new gate and an idle target. */
static void renew(struct state *state)
{
	if (state->gate)
		close_gate(state);
	clear_target(state);
	state->link_free_ms = 0;
	open_gate(state);
}

/* The node restarts: the target keeps its calls, their callers are gone. */
static void restart_node(struct state *state)
{
	close_gate(state);
	for (guint i = 0; i < state->target->len; i++)
		((struct call *)g_ptr_array_index(state->target, i))->stream =
			NULL;
	open_gate(state);
}

/* "calls COUNT WORK_MS": calls at the target that this gate did not start. */
static void add_foreign(struct state *state, char **words)
{
	for (uint32_t i = parse_number(words[1]); i > 0; i--) {
		struct call *call = g_new0(struct call, 1);

		call->work_us = parse_number(words[2]) * 1000;
		g_ptr_array_add(state->target, call);
	}
}

static bool set_target(char **words, struct state *state)
{
	if (strcmp(words[0], "slots") == 0) {
		state->slots = parse_number(words[1]);
	} else if (strcmp(words[0], "speed") == 0) {
		state->time_percent = parse_number(words[1]);
		state->swing_ms = 0;
	} else if (strcmp(words[0], "swing") == 0) {
		state->swing_percent = parse_number(words[1]);
		state->swing_ms = parse_number(words[2]);
	} else if (strcmp(words[0], "reports") == 0) {
		state->reports = strcmp(words[1], "on") == 0 ? REPORTS_ON
				 : strcmp(words[1], "off") == 0
					 ? REPORTS_OFF
					 : REPORTS_ABSURD;
	} else if (strcmp(words[0], "link") == 0) {
		state->link_kb_per_ms = parse_number(words[1]);
	} else {
		return false;
	}
	return true;
}

static bool run_step(int word_count, char **words, GString *output, void *data)
{
	struct state *state = data;

	if (strcmp(words[0], "order") == 0) {
		state->is_by_class = strcmp(words[1], "class") == 0;
		renew(state);
	} else if (strcmp(words[0], "stream") == 0) {
		add_stream(state, word_count, words);
	} else if (strcmp(words[0], "rate") == 0) {
		state->streams[parse_number(words[1])].per_second =
			parse_number(words[2]);
	} else if (strcmp(words[0], "play") == 0) {
		play(state, words, output);
	} else if (strcmp(words[0], "restart") == 0) {
		restart_node(state);
	} else if (strcmp(words[0], "calls") == 0) {
		add_foreign(state, words);
	} else {
		return set_target(words, state);
	}
	return true;
}

static void run_script(const char *name)
{
	struct state state = { .now_ms = 1000, .time_percent = 100 };

	state.target = g_ptr_array_new();
	scr_run(name, run_step, &state);
	clear_target(&state);
	if (state.gate)
		close_gate(&state);
	for (uint32_t i = 0; i < state.stream_count; i++)
		g_free(state.streams[i].name);
	g_ptr_array_free(state.target, TRUE);
}

/* Nested calls must be answered while long fresh ones fill the target. */
static void test_nested(void)
{
	run_script("load_nested");
}

/* A burst of a low rank must not keep out calls of rank 0. */
static void test_burst(void)
{
	run_script("load_burst");
}

/* A slow target must not be given calls that it cannot answer in time. */
static void test_slow(void)
{
	run_script("load_slow");
}

/* One mean for calls of 44 and 230 ms refuses the wrong ones. */
static void test_kinds(void)
{
	run_script("load_kinds");
}

/* Answers that wait on the link must not be run for nothing. */
static void test_link(void)
{
	run_script("load_link");
}

/* A lasting overload must not leave all answers after their objective. */
static void test_lasting(void)
{
	run_script("load_lasting");
}

/* Wrong, missing and swinging reports must cost some calls at most. */
static void test_reports(void)
{
	run_script("load_reports");
}

/* A node that restarts must not send a second target-full of calls. */
static void test_restart(void)
{
	run_script("load_restart");
}

static const CU_TestInfo tests[] = {
	{ "nested calls beside long fresh ones", test_nested },
	{ "burst of a low rank beside rank 0", test_burst },
	{ "target at two fifths of its speed", test_slow },
	{ "two kinds of calls at one target", test_kinds },
	{ "link full of downloads", test_link },
	{ "lasting overload", test_lasting },
	{ "reports that swing, stop or are absurd", test_reports },
	{ "node restarted beside a full target", test_restart },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("load by class", tests);
}
