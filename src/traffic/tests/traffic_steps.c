/*
 * Steps of the scripts that test calls through traffic services.
 */
#include "traffic_steps.h"

#include <stdlib.h>
#include <string.h>
#include "loom/error.h"
#include "mesh.h"
#include "script.h"

#define CALLS_MAX 256
#define ANSWER_BYTES_MAX (16U * 1024U * 1024U)
#define PRINTED_BYTES_MAX 120U
#define CALL_TIMEOUT_MS 25000U
#define TICK_MS 10U
#define SEND_GAP_TICKS 25U
#define DRAIN_MS 60000U /* unless a step gives another time */

struct test_call {
	char name[16];
	bool is_done;
	struct hc_request *request; /* NULL when it has ended */
	GString *result;
};

struct state {
	struct mesh *mesh;
	struct test_call calls[CALLS_MAX];
	size_t call_count;
	GHashTable *callers; /* name to struct raw_caller */
};

/* The condition of a wait step: a value of a node or caller equals wanted. */
struct wait {
	struct state *state;
	struct mesh_node *node;
	struct raw_caller *caller;
	const char *quantity;
	uint32_t wanted;
};

static void record_answer(const struct hc_answer *answer, void *data)
{
	struct test_call *call = data;

	call->is_done = true;
	call->request = NULL;
	if (answer->error) {
		g_string_printf(
			call->result, "error %s",
			err_get_code_name((enum err_code)answer->error->code));
		return;
	}
	g_string_printf(call->result, "%u ", answer->status);
	if (answer->body_size > PRINTED_BYTES_MAX)
		g_string_append_printf(call->result, "%zu bytes",
				       answer->body_size);
	else
		g_string_append(call->result, answer->body);
}

static struct test_call *new_call(struct state *state, const char *name)
{
	struct test_call *call = &state->calls[state->call_count++];

	g_assert(state->call_count <= CALLS_MAX);
	*call = (struct test_call){ 0 };
	g_strlcpy(call->name, name, sizeof(call->name));
	call->result = g_string_new(NULL);
	return call;
}

/* words: NODE METHOD PATH [BODY-BYTES] [HEADER] */
static struct test_call *start_call(struct state *state, const char *name,
				    char **words, int word_count)
{
	struct mesh_node *node = mesh_get_node(state->mesh, words[0]);
	struct test_call *call = new_call(state, name);
	char *url = g_strdup_printf("http://%s:%d%s", node->address,
				    MESH_CALL_PORT, words[2]);
	const char *headers[] = { "Host: shop",
				  word_count > 4 ? words[4] : NULL, NULL };
	struct hc_options options = {
		.method = words[1],
		.url = url,
		.headers = headers,
		.timeout_ms = CALL_TIMEOUT_MS,
		.answer_bytes_max = ANSWER_BYTES_MAX,
	};
	char *body = NULL;

	if (word_count > 3 && strcmp(words[3], "0") != 0) {
		options.body_size = strtoul(words[3], NULL, 10);
		body = g_strnfill(options.body_size, 'u');
		options.body = body;
	}
	call->request = hc_send(state->mesh, state->mesh->client, &options,
				record_answer, call);
	g_free(body);
	g_free(url);
	return call;
}

static bool is_call_done(void *data)
{
	const struct test_call *call = data;

	return call->is_done;
}

static void print_call(struct state *state, struct test_call *call,
		       GString *output)
{
	mesh_run_until(state->mesh, is_call_done, call);
	g_string_append_printf(output, "%s\n", call->result->str);
}

static struct test_call *find_call(struct state *state, const char *name)
{
	for (size_t i = state->call_count; i > 0; i--) {
		if (strcmp(state->calls[i - 1].name, name) == 0)
			return &state->calls[i - 1];
	}
	g_error("no call %s", name);
}

static uint32_t get_caller_value(struct raw_caller *caller,
				 const char *quantity)
{
	if (strcmp(quantity, "answers") == 0)
		return raw_count_answers(caller);
	if (strcmp(quantity, "body-bytes") == 0)
		return raw_count_body_bytes(caller);
	if (strcmp(quantity, "closed") == 0)
		return caller->is_closed;
	if (strcmp(quantity, "resets") == 0)
		return caller->is_reset;
	if (strcmp(quantity, "unsent") == 0)
		return raw_send_rest(caller);
	if (strcmp(quantity, "send-errors") == 0)
		return caller->has_send_error;
	g_error("a caller has no %s", quantity);
}

static uint32_t get_node_value(const struct mesh_node *node,
			       const char *quantity)
{
	if (strcmp(quantity, "requests") == 0)
		return raw_get_request_count(node->target);
	if (strcmp(quantity, "running") == 0)
		return raw_get_running_count(node->target);
	if (strcmp(quantity, "hang-ups") == 0)
		return raw_get_disconnect_count(node->target);
	if (strcmp(quantity, "partial") == 0)
		return raw_get_partial_count(node->target);
	if (strcmp(quantity, "resets") == 0)
		return raw_get_reset_count(node->target);
	if (strcmp(quantity, "peak") == 0)
		return raw_get_peak_count(node->target);
	if (strcmp(quantity, "calls") == 0)
		return tr_get_call_count(node->traffic);
	g_error("a node has no %s", quantity);
}

static uint32_t get_value(const struct wait *wait)
{
	return wait->caller ? get_caller_value(wait->caller, wait->quantity)
			    : get_node_value(wait->node, wait->quantity);
}

static bool is_reached(void *data)
{
	const struct wait *wait = data;

	return get_value(wait) == wait->wanted;
}

static void find_subject(struct state *state, const char *name,
			 struct wait *wait)
{
	wait->state = state;
	wait->caller = g_hash_table_lookup(state->callers, name);
	if (!wait->caller)
		wait->node = mesh_get_node(state->mesh, name);
}

/* The texts are escaped as in C. */
static void set_flood(struct mesh_node *node, const char *start,
		      const char *part)
{
	char *start_bytes = g_strcompress(start);
	char *part_bytes = g_strcompress(part);

	raw_set_flood(node->target, start_bytes, part_bytes);
	g_free(start_bytes);
	g_free(part_bytes);
}

/* end: "", "close" or "reset" */
static void set_reply(struct mesh_node *node, const char *escaped,
		      const char *end)
{
	char *bytes = g_strcompress(escaped);

	raw_set_reply(node->target, bytes,
		      strcmp(end, "reset") == 0	  ? RAW_END_RESET
		      : strcmp(end, "close") == 0 ? RAW_END_CLOSE
						  : RAW_END_KEEP);
	g_free(bytes);
}

/* Runs the steps that set what nodes are added with. */
static bool run_setting_step(struct mesh *mesh, char **words)
{
	if (strcmp(words[0], "stamps") == 0) {
		mesh->has_stamps = true;
	} else if (strcmp(words[0], "reports") == 0) {
		mesh->has_reports = true;
	} else if (strcmp(words[0], "control") == 0) {
		mesh->is_controlled = true;
	} else if (strcmp(words[0], "limits") == 0) {
		mesh->slots = (uint32_t)atoi(words[1]);
		mesh->queue_length = (uint32_t)atoi(words[2]);
	} else if (strcmp(words[0], "bounds") == 0) {
		mesh->header_timeout_ms = (uint32_t)atoi(words[1]);
		mesh->connections_max = (uint32_t)atoi(words[2]);
	} else if (strcmp(words[0], "link") == 0) {
		mesh->link_kbit_s = (uint32_t)atoi(words[1]);
	} else if (strcmp(words[0], "memory") == 0) {
		mesh->memory_mb = (uint32_t)atoi(words[1]);
	} else {
		return false;
	}
	return true;
}

/* Runs the steps that change the mesh. */
static bool run_mesh_step(struct state *state, int count, char **words)
{
	struct mesh *mesh = state->mesh;

	if (run_setting_step(mesh, words))
		return true;
	if (strcmp(words[0], "node") == 0) {
		mesh_add_node(mesh, words[1], words[2]);
	} else if (strcmp(words[0], "fake-node") == 0) {
		mesh_add_fake_node(mesh, words[1], words[2], words[3]);
	} else if (strcmp(words[0], "target") == 0) {
		mesh_add_target(mesh, mesh_get_node(mesh, words[1]), words[2]);
	} else if (strcmp(words[0], "publish") == 0) {
		mesh_publish(mesh);
	} else if (strcmp(words[0], "domain") == 0) {
		mesh->is_domain_out = strcmp(words[1], "out") == 0;
		mesh_publish(mesh);
	} else if (strcmp(words[0], "stale") == 0) {
		mesh->stale = mesh_get_node(mesh, words[1]);
	} else if (strcmp(words[0], "kill") == 0) {
		TALLOC_FREE(mesh_get_node(mesh, words[1])->target);
	} else if (strcmp(words[0], "stop") == 0) {
		TALLOC_FREE(mesh_get_node(mesh, words[1])->traffic);
	} else if (strcmp(words[0], "drain-target") == 0) {
		mesh_drain_target(mesh, mesh_get_node(mesh, words[1]));
	} else if (strcmp(words[0], "drain") == 0) {
		mesh_drain_node(mesh, mesh_get_node(mesh, words[1]),
				count > 2 ? (uint32_t)atoi(words[2])
					  : DRAIN_MS);
	} else if (strcmp(words[0], "heartbeats") == 0) {
		mesh_send_heartbeats(mesh, mesh_get_node(mesh, words[1]),
				     (uint32_t)atoi(words[2]));
	} else if (strcmp(words[0], "slots") == 0) {
		mesh_tell_slots(mesh, mesh_get_node(mesh, words[1]),
				(uint32_t)atoi(words[2]));
	} else if (strcmp(words[0], "leave") == 0) {
		mesh_get_node(mesh, words[1])->phase = RT_PHASE_LEAVING;
		mesh_publish(mesh);
	} else if (strcmp(words[0], "release") == 0) {
		raw_answer_held_requests(mesh_get_node(mesh, words[1])->target);
	} else if (strcmp(words[0], "endless") == 0) {
		set_flood(mesh_get_node(mesh, words[1]), words[2], words[3]);
	} else if (strcmp(words[0], "reply") == 0) {
		set_reply(mesh_get_node(mesh, words[1]), words[2],
			  count > 3 ? words[3] : "");
	} else {
		return false;
	}
	return true;
}

/*
 * A node notices the end of its attempt when it sends more of the request.
 * Bytes that it has not read when it then closes make its kernel reset the
 * connection, so more are sent only after a gap.
 */
static void send_until_closed(struct state *state, struct raw_caller *caller)
{
	for (uint32_t i = 0; !caller->is_closed; i++) {
		if (i % SEND_GAP_TICKS == 0)
			raw_send(caller, "hhhhhhhh", 8);
		mesh_run_for(state->mesh, TICK_MS);
	}
}

static bool run_raw_step(struct state *state, int count, char **words,
			 GString *output)
{
	struct raw_caller *caller;

	if (strcmp(words[0], "crowd") == 0) {
		raw_open_crowd(state->mesh, state->mesh->events,
			       mesh_get_node(state->mesh, words[2])->address,
			       MESH_CALL_PORT, words, state->callers);
		return true;
	}
	if (strcmp(words[0], "connect") == 0) {
		struct mesh_node *node = mesh_get_node(state->mesh, words[2]);

		caller = raw_new_caller(
			state->mesh, state->mesh->events, node->address,
			count > 3 && strcmp(words[3], "hop") == 0
				? MESH_HOP_PORT
				: MESH_CALL_PORT,
			count > 4 ? atoi(words[4]) : 0);
		g_hash_table_replace(state->callers, g_strdup(words[1]),
				     caller);
		return true;
	}
	caller = g_hash_table_lookup(state->callers, words[1]);
	if (strcmp(words[0], "send-until-closed") == 0) {
		send_until_closed(state, caller);
	} else if (strcmp(words[0], "hang-up") == 0 && *words[1] == '*') {
		g_hash_table_remove_all(state->callers);
	} else if (strcmp(words[0], "hang-up") == 0) {
		g_hash_table_remove(state->callers, words[1]);
	} else {
		return caller && raw_run_step(caller, words, output);
	}
	return true;
}

static void cancel_call(struct test_call *call)
{
	TALLOC_FREE(call->request);
	call->is_done = true;
}

static bool run_call_step(struct state *state, int count, char **words,
			  GString *output)
{
	if (strcmp(words[0], "call") == 0)
		print_call(state, start_call(state, "", words + 1, count - 1),
			   output);
	else if (strcmp(words[0], "start") == 0)
		start_call(state, words[1], words + 2, count - 2);
	else if (strcmp(words[0], "finish") == 0)
		print_call(state, find_call(state, words[1]), output);
	else if (strcmp(words[0], "cancel") == 0)
		cancel_call(find_call(state, words[1]));
	else
		return false;
	return true;
}

struct counter_wait {
	struct mesh_node *node;
	const char *name;
	const char *labels; /* NULL: none */
	int64_t wanted;
};

static bool is_counted(void *data)
{
	const struct counter_wait *wait = data;

	return mesh_get_counter(wait->node, wait->name, wait->labels) >=
	       wait->wanted;
}

/*
 * "wait-counter NODE NAME VALUE [LABELS]": until the counter is at least VALUE.
 */
static void wait_for_counter(struct state *state, int count, char **words)
{
	struct counter_wait wait = {
		.node = mesh_get_node(state->mesh, words[1]),
		.name = words[2],
		.wanted = atoi(words[3]),
		.labels = count > 4 ? words[4] : NULL,
	};

	mesh_run_until(state->mesh, is_counted, &wait);
}

static void free_caller(gpointer data)
{
	talloc_free(data);
}

static void open_mesh(struct state *state)
{
	state->mesh = mesh_new();
	state->callers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       free_caller);
}

static void close_mesh(struct state *state)
{
	for (size_t i = 0; i < state->call_count; i++)
		cancel_call(&state->calls[i]);
	g_hash_table_destroy(state->callers);
	mesh_free(state->mesh);
	for (size_t i = 0; i < state->call_count; i++)
		g_string_free(state->calls[i].result, TRUE);
	state->call_count = 0;
}

static bool run_step(int count, char **words, GString *output, void *data)
{
	struct state *state = data;
	struct wait wait = { 0 };
	char *step = g_strjoinv(" ", words);

	if (strcmp(words[0], "restart") == 0) {
		close_mesh(state);
		open_mesh(state);
	}
	state->mesh->step = talloc_strdup(state->mesh, step);
	g_free(step);
	if (strcmp(words[0], "wait") == 0) {
		find_subject(state, words[1], &wait);
		wait.quantity = words[2];
		wait.wanted = (uint32_t)atoi(words[3]);
		mesh_run_until(state->mesh, is_reached, &wait);
		return true;
	}
	if (strcmp(words[0], "wait-counter") == 0) {
		wait_for_counter(state, count, words);
		return true;
	}
	if (strcmp(words[0], "print") == 0) {
		find_subject(state, words[1], &wait);
		wait.quantity = words[2];
		g_string_append_printf(output, "%u\n", get_value(&wait));
		return true;
	}
	if (strcmp(words[0], "passed") == 0) {
		g_string_append_printf(
			output, "%d\n",
			(int)mesh_count_waits(
				mesh_get_node(state->mesh, words[1]),
				words[2]));
		return true;
	}
	if (strcmp(words[0], "counter") == 0) {
		g_string_append_printf(
			output, "%d\n",
			(int)mesh_get_counter(
				mesh_get_node(state->mesh, words[1]), words[2],
				count > 3 ? words[3] : NULL));
		return true;
	}
	return strcmp(words[0], "restart") == 0 ||
	       run_mesh_step(state, count, words) ||
	       run_call_step(state, count, words, output) ||
	       run_raw_step(state, count, words, output);
}

void ts_run_script(const char *name)
{
	struct state state = { 0 };

	open_mesh(&state);
	scr_run(name, run_step, &state);
	close_mesh(&state);
}
