/*
 * Scripted tests of the placement of calls by their expected end: which calls
 * leave their failure domain, how many, and which are refused at once; and of
 * what is told about that. Time is virtual. The node under test is in failure
 * domain "a".
 */
#include <inttypes.h>
#include <stdlib.h>
#include "chooser_internal.h"
#include "fixture.h"
#include "loom/explain.h"
#include "script.h"

#define NAMES_MAX 64U

struct state {
	struct fixture *fixture;
	struct rt_chooser *chooser;
	struct rt_request request;
	uint64_t now_ms;
	uint64_t objective_ms; /* from the time of the choice; 0: none */
	bool is_explaining;    /* before each choice */
};

static uint32_t parse_number(const char *text)
{
	return (uint32_t)strtoul(text, NULL, 10);
}

static const char *const outcomes[] = { "answered", "refused", "failed",
					"cancelled" };

static enum rt_outcome parse_outcome(const char *name)
{
	uint32_t i = 0;

	while (i + 1 < G_N_ELEMENTS(outcomes) && strcmp(outcomes[i], name) != 0)
		i++;
	return (enum rt_outcome)i;
}

static void set_move(struct state *state, const char *name,
		     uint32_t share_permille)
{
	struct doc_manifest_service *entry =
		doc_find_manifest_service(state->fixture->manifest, "orders");

	for (int i = DOC_MOVE_NONE; i <= DOC_MOVE_TAKEN_BACK; i++) {
		if (strcmp(name, doc_get_move_state_name(
					 (enum doc_move_state)i)) == 0)
			entry->move_state = (enum doc_move_state)i;
	}
	entry->share_permille = share_permille;
}

/*
 * "target ADDRESS DOMAIN VERSION PHASE", "targets DOMAIN COUNT" (v1, serving,
 * addresses DOMAIN1 and so on), "drop ADDRESS", "domain NAME in|out", "move
 * STATE SHARE"
 */
static bool change_table(struct state *state, char **words)
{
	struct rt_target target = { .distance_us = 1800 };
	char address[16];

	if (strcmp(words[0], "target") == 0) {
		target.address = words[1];
		target.failure_domain = words[2];
		target.version = words[3];
		rt_parse_phase(words[4], &target.phase);
		drop_target(state->fixture, words[1]);
		add_target(state->fixture, &target);
	} else if (strcmp(words[0], "targets") == 0) {
		target.address = address;
		target.failure_domain = words[1];
		target.version = "v1";
		target.phase = RT_PHASE_SERVING;
		for (uint32_t i = 1; i <= parse_number(words[2]); i++) {
			g_snprintf(address, sizeof(address), "%s%u", words[1],
				   i);
			add_target(state->fixture, &target);
		}
	} else if (strcmp(words[0], "drop") == 0) {
		drop_target(state->fixture, words[1]);
	} else if (strcmp(words[0], "domain") == 0) {
		doc_add_manifest_domain(state->fixture->manifest, words[1])
			->is_out = strcmp(words[2], "out") == 0;
	} else if (strcmp(words[0], "move") == 0) {
		set_move(state, words[1], parse_number(words[2]));
	} else {
		return false;
	}
	build_table(state->fixture);
	state->request.service = state->fixture->service;
	return true;
}

/* words: LIMIT IN_FLIGHT WAIT-MS [NESTED-WAIT-MS]; a wait of "-" is none */
static struct rt_load read_load(char **words, int count)
{
	struct rt_load load = {
		.limit = parse_number(words[0]),
		.in_flight = parse_number(words[1]),
		.latency_us = 100000,
		.phase = RT_PHASE_SERVING,
		.has_waits = count > 2 && strcmp(words[2], "-") != 0,
	};

	for (uint32_t i = 0; load.has_waits && i < RT_CLASS_COUNT; i++)
		load.wait_us[i] = parse_number(words[2]) * 1000;
	if (count > 3)
		load.wait_us[RT_CLASS_NESTED] = parse_number(words[3]) * 1000;
	return load;
}

/* "report ADDRESS|DOMAIN* LOAD": of one target, or of all of a domain. */
static void record_reports(struct state *state, char **words, int count)
{
	struct rt_load load = read_load(words + 2, count - 2);
	const struct fixture *fixture = state->fixture;
	char *star = strchr(words[1], '*');

	if (star)
		*star = '\0';
	for (size_t i = 0; i < fixture->target_count; i++) {
		const struct rt_target *target = &fixture->targets[i];

		if (strcmp(star ? target->failure_domain : target->address,
			   words[1]) == 0)
			rt_record_report(state->chooser, target->address, &load,
					 state->now_ms);
	}
}

/* "request KEY=VALUE ...": of the calls from here on */
static bool set_request(struct state *state, char **words, int count)
{
	struct rt_request *request = &state->request;

	for (int i = 1; i < count; i++) {
		char **pair = g_strsplit(words[i], "=", 2);
		uint32_t value = parse_number(pair[1] ? pair[1] : "0");
		bool is_known = true;

		if (strcmp(pair[0], "objective") == 0)
			state->objective_ms = value;
		else if (strcmp(pair[0], "run") == 0)
			request->run_us = value * 1000;
		else if (strcmp(pair[0], "crossing") == 0)
			request->crossing_us = value * 1000;
		else if (strcmp(pair[0], "known") == 0)
			request->is_known_only = value;
		else if (strcmp(pair[0], "placed") == 0)
			request->is_placed = value;
		else if (strcmp(pair[0], "class") == 0)
			request->class = (enum rt_class)value;
		else
			is_known = false;
		g_strfreev(pair);
		if (!is_known)
			return false;
	}
	return true;
}

/* Returns the members of the chooser and of its targets as bytes. */
static GByteArray *copy_bytes(const struct rt_chooser *chooser)
{
	GByteArray *bytes = g_byte_array_new();
	GHashTableIter iterator;
	gpointer state;

	g_byte_array_append(bytes, (const guint8 *)chooser, sizeof(*chooser));
	g_hash_table_iter_init(&iterator, chooser->states->by_address);
	while (g_hash_table_iter_next(&iterator, NULL, &state))
		g_byte_array_append(bytes, state,
				    sizeof(struct rt_target_state));
	return bytes;
}

/* Returns a new explanation, and asserts that it has changed nothing. */
static struct rt_explanation *explain(struct state *state)
{
	GByteArray *before = copy_bytes(state->chooser);
	struct rt_explanation *explanation;
	GByteArray *after;

	state->request.latest_end_ms =
		state->objective_ms ? state->now_ms + state->objective_ms : 0;
	explanation = rt_explain_route(state->fixture, state->chooser,
				       state->fixture->table, &state->request,
				       state->now_ms);
	after = copy_bytes(state->chooser);
	CU_ASSERT_EQUAL(before->len, after->len);
	CU_ASSERT(before->len == after->len &&
		  memcmp(before->data, after->data, after->len) == 0);
	g_byte_array_free(before, TRUE);
	g_byte_array_free(after, TRUE);
	return explanation;
}

/* Returns whether a version's part of an explanation allows a choice. */
static bool is_choice_explained(const struct rt_version_view *view,
				const struct rt_target *target,
				enum rt_refusal refusal)
{
	if (!target)
		return view->refusal == refusal;
	/* A trial goes to any target. */
	if (view->has_trials)
		return true;
	for (size_t i = 0; i < view->target_count; i++) {
		if (strcmp(view->targets[i].address, target->address) == 0 &&
		    view->targets[i].part != RT_PART_NONE)
			return true;
	}
	return false;
}

static void check_explanation(const struct state *state,
			      struct rt_explanation *explanation,
			      const struct rt_target *target,
			      enum rt_refusal refusal)
{
	bool is_explained = false;

	for (size_t i = 0; i < explanation->version_count; i++)
		is_explained |= is_choice_explained(&explanation->versions[i],
						    target, refusal);
	/* Explanations are of first attempts; a retry may not cross as well. */
	CU_ASSERT(is_explained || state->request.tried_count > 0);
	talloc_free(explanation);
}

static const char *choose(struct state *state)
{
	struct rt_explanation *explanation = NULL;
	const struct rt_target *target;
	enum rt_refusal refusal;

	if (state->is_explaining)
		explanation = explain(state);
	state->request.latest_end_ms =
		state->objective_ms ? state->now_ms + state->objective_ms : 0;
	target = rt_choose_target(state->chooser, state->fixture->table,
				  &state->request, state->now_ms, &refusal);
	if (explanation)
		check_explanation(state, explanation, target, refusal);
	return target ? target->address : rt_get_refusal_name(refusal);
}

static void print_view(const struct rt_version_view *view, GString *output)
{
	g_string_append_printf(output, "%s %u permille: %s, %s%s\n",
			       view->version, view->permille,
			       view->used ? view->used : "-",
			       rt_get_refusal_name(view->refusal),
			       view->has_trials ? ", trials" : "");
	for (size_t i = 0; i < view->target_count; i++) {
		const struct rt_target_view *target = &view->targets[i];

		g_string_append_printf(
			output, "  %s %s %s: %s %u, %s, load %u of %u",
			target->address, target->failure_domain,
			target->version, rt_get_part_name(target->part),
			target->weight, rt_get_obstacle_name(target->obstacle),
			target->load, target->limit);
		g_string_append_printf(
			output, ", wait %" PRIu64 ", end %" PRIu64 " ms%s\n",
			target->wait_us / 1000, target->end_us / 1000,
			target->has_waits ? "" : " (not told)");
	}
}

/* "explain": what is told of the request */
static void print_explanation(struct state *state, GString *output)
{
	struct rt_explanation *explanation = explain(state);

	g_string_append_printf(
		output,
		"%s, %s, due %" PRIu64 " ms, crossing %u ms, %u permille%s\n",
		explanation->service, rt_get_rule_name(explanation->rule),
		explanation->due_ms, explanation->crossing_us / 1000,
		explanation->crossing_permille,
		explanation->is_exposure_spent ? ", exposure spent" : "");
	for (size_t i = 0; i < explanation->version_count; i++)
		print_view(&explanation->versions[i], output);
	talloc_free(explanation);
}

/*
 * "many COUNT": makes choices without starting calls, and prints how often each
 * target was chosen. "domains COUNT": the same for each failure domain, by the
 * first letter of the address.
 */
static void print_choices(struct state *state, char **words, GString *output)
{
	const char *names[NAMES_MAX];
	uint32_t counts[NAMES_MAX] = { 0 };
	uint32_t name_count = 0;
	bool is_by_domain = strcmp(words[0], "domains") == 0;

	for (uint32_t i = 0; i < parse_number(words[1]); i++) {
		const char *name;
		uint32_t place = 0;

		state->request.split_hash = (uint64_t)i << 32 << 22;
		name = choose(state);
		while (place < name_count &&
		       (is_by_domain && name[1] < 'a'
				? names[place][0] != name[0]
				: strcmp(names[place], name) != 0))
			place++;
		if (place == name_count && name_count < NAMES_MAX)
			names[name_count++] = name;
		counts[place]++;
	}
	for (uint32_t i = 0; i < name_count; i++) {
		if (is_by_domain && names[i][1] < 'a')
			g_string_append_printf(output, "domain %c: %u\n",
					       names[i][0], counts[i]);
		else
			g_string_append_printf(output, "%s: %u\n", names[i],
					       counts[i]);
	}
}

static void choose_untried(struct state *state, char **words, int count,
			   GString *output)
{
	state->request.tried_count = 0;
	for (int i = 1; i < count; i++)
		state->request.tried[state->request.tried_count++] = words[i];
	g_string_append_printf(output, "%s\n", choose(state));
	state->request.tried_count = 0;
}

/* "ask": a choice, and whom to ask for a report then */
static void choose_and_ask(struct state *state, GString *output)
{
	const char *chosen = choose(state);
	const char *asked = rt_take_ask(state->chooser);

	g_string_append_printf(output, "%s, ask %s\n", chosen,
			       asked ? asked : "nobody");
}

/* "end ADDRESS OUTCOME [LOAD]" */
static void end_call(struct state *state, char **words, int count)
{
	struct rt_load load = { 0 };

	if (count > 3)
		load = read_load(words + 3, count - 3);
	rt_record_end(state->chooser, words[1], parse_outcome(words[2]),
		      count > 3 ? &load : NULL, RT_TRANSIT_UNKNOWN,
		      state->now_ms);
}

/* "fail ADDRESS": a call starts and its target cannot be reached. */
static void fail_call(struct state *state, const char *address)
{
	rt_record_start(state->chooser, address);
	rt_record_end(state->chooser, address, RT_OUTCOME_FAILED, NULL,
		      RT_TRANSIT_UNKNOWN, state->now_ms);
}

/* "left OUTCOME [COUNT]": calls that had left the failure domain end. */
static void record_left(struct state *state, char **words, int count)
{
	uint32_t calls = count > 2 ? parse_number(words[2]) : 1;

	for (uint32_t i = 0; i < calls; i++)
		rt_record_leaving(state->chooser, "orders",
				  parse_outcome(words[1]), state->now_ms);
}

static bool run_step(int count, char **words, GString *output, void *data)
{
	struct state *state = data;

	if (strcmp(words[0], "at") == 0)
		state->now_ms = parse_number(words[1]);
	else if (strcmp(words[0], "request") == 0)
		return set_request(state, words, count);
	else if (strcmp(words[0], "report") == 0)
		record_reports(state, words, count);
	else if (strcmp(words[0], "choose") == 0)
		choose_untried(state, words, count, output);
	else if (strcmp(words[0], "many") == 0 ||
		 strcmp(words[0], "domains") == 0)
		print_choices(state, words, output);
	else if (strcmp(words[0], "explain") == 0)
		print_explanation(state, output);
	else if (strcmp(words[0], "ask") == 0)
		choose_and_ask(state, output);
	else if (strcmp(words[0], "start") == 0)
		rt_record_start(state->chooser, words[1]);
	else if (strcmp(words[0], "end") == 0)
		end_call(state, words, count);
	else if (strcmp(words[0], "fail") == 0)
		fail_call(state, words[1]);
	else if (strcmp(words[0], "left") == 0)
		record_left(state, words, count);
	else if (strcmp(words[0], "share") == 0)
		g_string_append_printf(
			output, "share %u\n",
			rt_get_crossing_permille(state->chooser->crossings,
						 "orders", state->now_ms));
	else
		return change_table(state, words);
	return true;
}

static void run_steps(const char *name, bool is_explaining)
{
	struct state state = {
		.is_explaining = is_explaining,
		.request = { .is_placed = true, .class = RT_CLASS_RANK_1 },
		.now_ms = 1000,
	};

	state.fixture = new_fixture();
	state.chooser = rt_new_chooser(state.fixture, RT_POLICY_TWO_CHOICES, 1);
	scr_run(name, run_step, &state);
	free_fixture(state.fixture);
}

static void run_script(const char *name)
{
	run_steps(name, false);
}

/* Guards against calls that leave for too small a gain, or stay without one. */
static void test_leaving(void)
{
	run_script("placement");
}

/* Guards against more or fewer trials than one in 16, also during a move. */
static void test_too_late(void)
{
	run_script("too_late");
}

/* Guards against leaving a target whose reports are merely not due. */
static void test_silent(void)
{
	run_script("silent");
}

/* Guards against calls that wait for a failure domain that is cut off. */
static void test_cut_off(void)
{
	run_script("cut_off");
}

/* Guards against calls to targets of other domains whose load is unknown. */
static void test_asks(void)
{
	run_script("asks");
}

/* Guards against a share that grows although calls find no room. */
static void test_share(void)
{
	run_script("share");
}

/* Guards against sums that overflow. */
static void test_absurd_reports(void)
{
	run_script("absurd_reports");
}

/* Guards against calls to targets that leave, start or are taken out. */
static void test_phases(void)
{
	run_script("placement_phases");
}

/* Guards against an explanation that gives a wrong reason for a target. */
static void test_explanation(void)
{
	run_script("explain");
	run_script("explain_versions");
	run_script("explain_late_version");
}

/*
 * Guards against explanations that change the choices after them, and against
 * rules that differ from those of the choices: the scripts give the same output
 * with an explanation before each choice, and each choice is one of those told.
 */
static void test_explained_choices(void)
{
	static const char *const names[] = {
		"placement",	    "too_late", "silent",
		"cut_off",	    "asks",	"absurd_reports",
		"placement_phases", "share",	"explain_late_version"
	};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		run_steps(names[i], true);
}

static const CU_TestInfo tests[] = {
	{ "leaving the failure domain", test_leaving },
	{ "too late everywhere", test_too_late },
	{ "silent targets", test_silent },
	{ "failure domain cut off", test_cut_off },
	{ "share of calls that leave", test_share },
	{ "phases", test_phases },
	{ "asks for reports", test_asks },
	{ "absurd reports", test_absurd_reports },
	{ "explanation", test_explanation },
	{ "explained choices", test_explained_choices },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("placement", tests);
}
