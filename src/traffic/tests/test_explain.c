/*
 * Explanations of where a request would go, asked from nodes over loopback.
 */
#include <string.h>
#include <curl/curl.h>
#include "mesh.h"
#include "script.h"
#include "thread.h"

#define MANY 100U

struct state {
	struct mesh *mesh;
	GString *output; /* of the question, while it is asked */
	uint32_t answer_count;
	uint32_t failure_count; /* ends of inquiries without an answer */
};

static void print_version(const struct rt_version_view *view, GString *output)
{
	g_string_append_printf(output, "  %s %u: %s\n", view->version,
			       view->permille,
			       rt_get_refusal_name(view->refusal));
	for (size_t i = 0; i < view->target_count; i++) {
		const struct rt_target_view *target = &view->targets[i];

		/* Addresses differ from run to run. */
		g_string_append_printf(output, "    %s %s: %s, %s\n",
				       target->failure_domain, target->version,
				       rt_get_part_name(target->part),
				       rt_get_obstacle_name(target->obstacle));
	}
}

static void print_share(const struct tr_share_view *share, GString *output)
{
	g_string_append_printf(output, " %s %u", share->service, share->weight);
	if (!share->routing) {
		g_string_append(output, " not explained\n");
		return;
	}
	g_string_append_printf(output, " %s\n",
			       rt_get_rule_name(share->routing->rule));
	for (size_t i = 0; i < share->routing->version_count; i++)
		print_version(&share->routing->versions[i], output);
}

static void handle_answer(const struct tr_explanation *explanation, void *data)
{
	struct state *state = data;

	if (!explanation) {
		state->failure_count++;
		return;
	}
	state->answer_count++;
	if (!state->output)
		return;
	g_string_append_printf(
		state->output,
		"route %s, %u ms, objective %u ms, class %s, %u %s\n",
		explanation->route ? explanation->route : "-",
		explanation->timeout_ms, explanation->objective_ms,
		explanation->class ? explanation->class : "-",
		explanation->status,
		explanation->reason ? explanation->reason : "-");
	for (size_t i = 0; i < explanation->share_count; i++)
		print_share(&explanation->shares[i], state->output);
}

static bool is_answered(void *data)
{
	const struct state *state = data;

	return state->answer_count > 0;
}

/* Half of those accepted in test_many() are cancelled. */
static bool is_half_answered(void *data)
{
	const struct state *state = data;

	return state->answer_count >= 4;
}

static bool is_failed(void *data)
{
	const struct state *state = data;

	return state->failure_count > 0;
}

/*
 * "explain NODE METHOD HOST PATH [CLASS [BODY-BYTES]]"; the metrics of the node
 * must stay the same.
 */
static void explain(struct state *state, int count, char **words,
		    GString *output)
{
	struct mesh_node *node = mesh_get_node(state->mesh, words[1]);
	struct tr_question question = {
		.method = words[2],
		.host = words[3],
		.path = words[4],
		.class = count > 5 ? words[5] : NULL,
		.body_bytes = count > 6 ? (uint32_t)g_ascii_strtoull(words[6],
								     NULL, 10)
					: 0,
	};
	GString *before = g_string_new(NULL);
	GString *after = g_string_new(NULL);

	cnt_print(node->counters, before);
	state->output = output;
	state->answer_count = 0;
	tr_explain_request(node->traffic, &question, handle_answer, state);
	mesh_run_until(state->mesh, is_answered, state);
	state->output = NULL;
	cnt_print(node->counters, after);
	CU_ASSERT_STRING_EQUAL(before->str, after->str);
	g_string_free(before, TRUE);
	g_string_free(after, TRUE);
}

static bool run_step(int count, char **words, GString *output, void *data)
{
	struct state *state = data;
	struct mesh *mesh = state->mesh;
	struct mesh_node *node;

	mesh->step = talloc_strdup(mesh, words[0]);
	if (strcmp(words[0], "node") == 0) {
		mesh_add_node(mesh, words[1], words[2]);
	} else if (strcmp(words[0], "publish") == 0) {
		mesh_publish(mesh);
	} else if (strcmp(words[0], "domain-out") == 0) {
		mesh->is_domain_out = true;
		mesh_publish(mesh);
	} else if (strcmp(words[0], "explain") == 0) {
		explain(state, count, words, output);
	} else {
		node = mesh_get_node(mesh, words[1]);
		if (strcmp(words[0], "target") == 0)
			mesh_add_target(mesh, node, words[2]);
		else if (strcmp(words[0], "drain-node") == 0)
			mesh_drain_node(mesh, node, 1);
		else
			return false;
	}
	return true;
}

/* Guards against an answer that differs from what the node does with a call. */
static void test_documents(void)
{
	struct state state = { .mesh = mesh_new() };

	scr_run("explain", run_step, &state);
	mesh_free(state.mesh);
}

static void test_gateway(void)
{
	struct state state = { .mesh = mesh_new() };

	state.mesh->is_controlled = true;
	state.mesh->has_gateway = true;
	scr_run("explain_gateway", run_step, &state);
	mesh_free(state.mesh);
}

static const struct tr_question question = { .method = "GET",
					     .host = "shop",
					     .path = "/" };

/*
 * Guards against an operator's request that waits for ever on a thread that
 * does not answer.
 */
static void test_time_limit(void)
{
	struct state state = { .mesh = mesh_new() };
	struct mesh_node *node = mesh_add_node(state.mesh, "e", "a");
	struct tr_command *stop = g_new0(struct tr_command, 1);

	state.mesh->step = "time limit";
	stop->kind = TR_COMMAND_STOP;
	tr_send_command(&node->traffic->threads[0], stop);
	/* A thread that stops still reads the commands sent until then. */
	pthread_join(node->traffic->threads[0].handle, NULL);
	node->traffic->threads[0].is_running = false;
	tr_explain_request(node->traffic, &question, handle_answer, &state);
	mesh_run_until(state.mesh, is_failed, &state);
	CU_ASSERT_EQUAL(state.answer_count, 0);
	CU_ASSERT_EQUAL(state.failure_count, 1);
	mesh_free(state.mesh);
}

/*
 * Guards against the use of a request that has ended: an inquiry is cancelled,
 * and the service is freed while another one waits.
 */
static void test_ends(void)
{
	struct state state = { .mesh = mesh_new() };
	struct mesh_node *node = mesh_add_node(state.mesh, "e", "a");

	state.mesh->step = "ends";
	talloc_free(tr_explain_request(node->traffic, &question, handle_answer,
				       &state));
	tr_explain_request(node->traffic, &question, handle_answer, &state);
	mesh_run_until(state.mesh, is_answered, &state);
	CU_ASSERT_EQUAL(state.answer_count, 1);
	tr_explain_request(node->traffic, &question, handle_answer, &state);
	mesh_free(state.mesh);
	CU_ASSERT_EQUAL(state.answer_count, 1);
	CU_ASSERT_EQUAL(state.failure_count, 1);
}

/*
 * Guards against callers at the administration port that keep the traffic
 * thread from its calls, also when they do not wait for the answer.
 */
static void test_many(void)
{
	struct state state = { .mesh = mesh_new() };
	struct mesh_node *node = mesh_add_node(state.mesh, "e", "a");
	struct tr_inquiry *inquiry;
	uint32_t accepted = 0;

	state.mesh->step = "many";
	for (uint32_t i = 0; i < MANY; i++) {
		inquiry = tr_explain_request(node->traffic, &question,
					     handle_answer, &state);
		accepted += inquiry != NULL;
		if (i % 2 == 0)
			talloc_free(inquiry);
	}
	CU_ASSERT_EQUAL(accepted, 8);
	mesh_run_until(state.mesh, is_half_answered, &state);
	CU_ASSERT_EQUAL(state.answer_count, 4);
	/* Those that were answered, or cancelled, make room. */
	state.answer_count = 0;
	inquiry = tr_explain_request(node->traffic, &question, handle_answer,
				     &state);
	CU_ASSERT_PTR_NOT_NULL(inquiry);
	if (inquiry)
		mesh_run_until(state.mesh, is_answered, &state);
	mesh_free(state.mesh);
}

static const CU_TestInfo tests[] = {
	{ "documents", test_documents },   { "gateway", test_gateway },
	{ "time limit", test_time_limit }, { "ends of inquiries", test_ends },
	{ "many at once", test_many },	   CU_TEST_INFO_NULL,
};

int main(void)
{
	int exit_code;

	curl_global_init(CURL_GLOBAL_DEFAULT);
	exit_code = scr_run_suite("explain", tests);
	curl_global_cleanup();
	return exit_code;
}
