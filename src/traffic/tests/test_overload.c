/*
 * Tests of overload control over loopback: callers that return, and targets
 * that do not answer.
 */
#include <stdlib.h>
#include <string.h>
#include <curl/curl.h>
#include "mesh.h"
#include "script.h"

#define HEAD_BYTES_MAX 512
/* The deadlines of two attempts are compared on a real clock, within 25 ms. */
#define TRIES_MAX 100U
#define LEFT_MS 60000U
/* Later than the first time that is promised, 50 ms. */
#define RETURN_MS 60U
/* Answers within two seconds that make it two promises a second. */
#define ANSWERS 64U

struct state {
	struct mesh *mesh;
	GHashTable *callers; /* name to struct raw_caller */
	uint64_t marked_ms;
};

struct wait {
	const struct raw_caller *caller; /* NULL: the target of node */
	const struct mesh_node *node;
	uint32_t wanted;
};

static bool is_reached(void *data)
{
	const struct wait *wait = data;

	if (wait->caller)
		return raw_count_answers(wait->caller) >= wait->wanted;
	return raw_get_request_count(wait->node->target) >= wait->wanted;
}

static void wait_for(struct mesh *mesh, const struct raw_caller *caller,
		     const struct mesh_node *node, uint32_t wanted)
{
	struct wait wait = { caller, node, wanted };

	mesh_run_until(mesh, is_reached, &wait);
}

/* Connects to a node and sends a request; header is complete, or "". */
static struct raw_caller *send_request(struct mesh *mesh,
				       const struct mesh_node *node,
				       uint16_t port, const char *path,
				       const char *header)
{
	struct raw_caller *caller =
		raw_new_caller(mesh, mesh->events, node->address, port, 0);
	char head[HEAD_BYTES_MAX];

	g_snprintf(head, sizeof(head),
		   "GET %s HTTP/1.1\r\nHost: shop\r\n%s\r\n", path, header);
	raw_send(caller, head, strlen(head));
	return caller;
}

/* "send NAME NODE PATH [hop]" */
static void start_request(struct state *state, int count, char **words)
{
	bool is_hop = count > 4 && strcmp(words[4], "hop") == 0;
	struct raw_caller *caller = send_request(
		state->mesh, mesh_get_node(state->mesh, words[2]),
		is_hop ? MESH_HOP_PORT : MESH_CALL_PORT, words[3],
		is_hop ? "Loom-Service: shop\r\nLoom-Version: v1\r\n"
			 "Loom-Route: any\r\nLoom-Priority: 1\r\n"
			 "Loom-Deadline-Ms: 20000\r\n"
		       : "");

	g_hash_table_replace(state->callers, g_strdup(words[1]), caller);
}

static void print_answer(struct state *state, const char *name, GString *output)
{
	struct raw_caller *caller = g_hash_table_lookup(state->callers, name);

	wait_for(state->mesh, caller, NULL, 1);
	raw_list_answers(caller, output);
}

/* Prints the calls that the gate counted when the answer began. */
static void print_in_flight(struct state *state, const char *name,
			    GString *output)
{
	static const char header[] = "Loom-In-Flight: ";
	struct raw_caller *caller = g_hash_table_lookup(state->callers, name);
	const char *value;

	wait_for(state->mesh, caller, NULL, 1);
	value = strstr(caller->input->str, header);
	g_string_append_printf(output, "%d\n",
			       value ? atoi(value + strlen(header)) : -1);
}

/* Steps that name no node. Returns false for others. */
static bool run_plain_step(struct state *state, int count, char **words,
			   GString *output)
{
	struct mesh *mesh = state->mesh;

	if (strcmp(words[0], "silence") == 0) {
		mesh->silence_ms = (uint32_t)atoi(words[1]);
		return true;
	}
	if (strcmp(words[0], "publish") == 0) {
		mesh_publish(mesh);
		return true;
	}
	if (strcmp(words[0], "node") == 0) {
		mesh_add_node(mesh, words[1], words[2]);
		return true;
	}
	if (strcmp(words[0], "send") == 0) {
		start_request(state, count, words);
		return true;
	}
	if (strcmp(words[0], "answer") == 0) {
		print_answer(state, words[1], output);
		return true;
	}
	if (strcmp(words[0], "in-flight") == 0) {
		print_in_flight(state, words[1], output);
		return true;
	}
	if (strcmp(words[0], "pass") == 0) {
		mesh_run_for(mesh, (uint32_t)atoi(words[1]));
		return true;
	}
	if (strcmp(words[0], "mark") == 0) {
		state->marked_ms = tmr_get_now_ms(mesh->timers);
		return true;
	}
	/* A lower bound, which a busy machine does not break. */
	if (strcmp(words[0], "passed") == 0) {
		g_string_append(
			output,
			tmr_get_now_ms(mesh->timers) >=
					state->marked_ms +
						strtoul(words[1], NULL, 10)
				? "yes\n"
				: "no\n");
		return true;
	}
	return false;
}

/* "/reply" gets a refusal ("shed"), or the connection is closed ("cut"). */
static void set_reply(struct raw_target *target, const char *kind)
{
	if (strcmp(kind, "shed") == 0)
		raw_set_reply(target,
			      "HTTP/1.1 503 Busy\r\nLoom-Not-Run: true\r\n"
			      "Content-Length: 0\r\n\r\n",
			      RAW_END_KEEP);
	else
		raw_set_reply(target, "", RAW_END_CLOSE);
}

static bool run_step(int count, char **words, GString *output, void *data)
{
	struct state *state = data;
	struct mesh *mesh = state->mesh;
	struct mesh_node *node;
	char *step = g_strjoinv(" ", words);

	mesh->step = talloc_strdup(mesh, step);
	g_free(step);
	if (run_plain_step(state, count, words, output))
		return true;
	node = mesh_get_node(mesh, words[1]);
	if (strcmp(words[0], "target") == 0)
		mesh_add_target(mesh, node, words[2]);
	else if (strcmp(words[0], "slots") == 0)
		mesh_tell_slots(mesh, node, (uint32_t)atoi(words[2]));
	else if (strcmp(words[0], "mute") == 0)
		raw_set_mute(node->target, (uint32_t)atoi(words[2]));
	else if (strcmp(words[0], "release") == 0)
		raw_answer_held_requests(node->target);
	else if (strcmp(words[0], "reply") == 0)
		set_reply(node->target, words[2]);
	else if (strcmp(words[0], "requests") == 0)
		wait_for(mesh, NULL, node, (uint32_t)atoi(words[2]));
	else if (strcmp(words[0], "counter") == 0)
		g_string_append_printf(
			output, "%d\n",
			(int)mesh_get_counter(node, words[2],
					      count > 3 ? words[3] : NULL));
	else if (strcmp(words[0], "hang-ups") == 0)
		g_string_append_printf(output, "%u\n",
				       raw_get_disconnect_count(node->target));
	else
		return false;
	return true;
}

static void free_caller(gpointer data)
{
	talloc_free(data);
}

static void run_script(const char *name)
{
	struct state state = { .mesh = mesh_new() };

	state.mesh->is_controlled = true;
	state.mesh->has_gateway = true;
	state.callers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      free_caller);
	scr_run(name, run_step, &state);
	g_hash_table_destroy(state.callers);
	mesh_free(state.mesh);
}

/* Callers of calls that a target never answered waited for their deadline. */
static void test_unanswered(void)
{
	run_script("unanswered");
}

/* The slot of an unanswered call was free while the target could still run it.
 */
static void test_kept_slot(void)
{
	run_script("kept_slot");
}

/* Slow work was cut because the target refused later calls. */
static void test_shed_later(void)
{
	run_script("shed_later");
}

/*
 * A call that a target may have run ended in 503, the promise that it was not.
 */
static void test_refused_later(void)
{
	run_script("refused_later");
}

static uint32_t get_status(const struct raw_caller *caller)
{
	return (uint32_t)strtoul(caller->input->str + strlen("HTTP/1.1 "), NULL,
				 10);
}

/* Sends an attempt of a caller whose deadline is at deadline_ms. */
static struct raw_caller *send_attempt(struct mesh *mesh,
				       const struct mesh_node *node,
				       uint64_t deadline_ms)
{
	char header[64];

	g_snprintf(header, sizeof(header),
		   "Loom-Deadline-Ms: %" G_GUINT64_FORMAT "\r\n",
		   deadline_ms - tmr_get_now_ms(mesh->timers));
	return send_request(mesh, node, MESH_CALL_PORT, "/ok", header);
}

static uint32_t get_attempt_status(struct mesh *mesh,
				   const struct mesh_node *node,
				   uint64_t deadline_ms)
{
	struct raw_caller *caller = send_attempt(mesh, node, deadline_ms);
	uint32_t status;

	wait_for(mesh, caller, NULL, 1);
	status = get_status(caller);
	talloc_free(caller);
	return status;
}

/*
 * With one slot, one call runs, one waits at the target and two at the gate.
 * Then a caller is refused, comes back at once, and comes back when there is
 * room again. Returns its last status.
 */
static uint32_t refuse_and_return(struct mesh *mesh, struct mesh_node *node)
{
	uint32_t sent = raw_get_request_count(node->target);
	struct raw_caller *held[4];
	uint64_t deadline_ms;

	for (size_t i = 0; i < G_N_ELEMENTS(held); i++)
		held[i] = send_request(mesh, node, MESH_CALL_PORT, "/held", "");
	wait_for(mesh, NULL, node, sent + 2);
	while (tr_get_call_count(node->traffic) < G_N_ELEMENTS(held))
		mesh_run_for(mesh, 1);
	deadline_ms = tmr_get_now_ms(mesh->timers) + LEFT_MS;
	CU_ASSERT_EQUAL(get_attempt_status(mesh, node, deadline_ms), 503);
	mesh_run_for(mesh, 5);
	CU_ASSERT_EQUAL(get_attempt_status(mesh, node, deadline_ms), 503);
	raw_answer_held_requests(node->target);
	wait_for(mesh, NULL, node, sent + 4);
	raw_answer_held_requests(node->target);
	for (size_t i = 0; i < G_N_ELEMENTS(held); i++) {
		wait_for(mesh, held[i], NULL, 1);
		talloc_free(held[i]);
	}
	mesh_run_for(mesh, RETURN_MS);
	return get_attempt_status(mesh, node, deadline_ms);
}

/* The entry node did not know callers that it had refused. */
static void test_return(void)
{
	struct mesh *mesh = mesh_new();
	struct mesh_node *node;
	uint32_t tries = 0;
	struct raw_caller *caller;

	mesh->is_controlled = true;
	mesh->has_gateway = true;
	node = mesh_add_node(mesh, "t", "a");
	mesh_add_target(mesh, node, "v1");
	mesh_tell_slots(mesh, node, 1);
	mesh_publish(mesh);
	mesh->step = "return";
	do {
		for (uint32_t i = 0; i < ANSWERS; i++) {
			caller = send_request(mesh, node, MESH_CALL_PORT, "/ok",
					      "");
			wait_for(mesh, caller, NULL, 1);
			talloc_free(caller);
		}
		CU_ASSERT_EQUAL(refuse_and_return(mesh, node), 200);
	} while (++tries < TRIES_MAX &&
		 (mesh_get_counter(node, "loom_early_returns_refused_total",
				   NULL) == 0 ||
		  mesh_get_counter(node, "loom_return_promises_kept_total",
				   NULL) == 0));
	CU_ASSERT_TRUE(tries < TRIES_MAX);
	mesh_free(mesh);
}

static const CU_TestInfo tests[] = {
	{ "unanswered", test_unanswered },
	{ "kept slot", test_kept_slot },
	{ "shed later", test_shed_later },
	{ "refused later", test_refused_later },
	{ "return", test_return },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	int exit_code;

	curl_global_init(CURL_GLOBAL_DEFAULT);
	exit_code = scr_run_suite("overload", tests);
	curl_global_cleanup();
	return exit_code;
}
