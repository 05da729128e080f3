/*
 * Tests of gateway documents: rejected documents, the route and the share that
 * are chosen for a call, the snapshot, and differences between documents.
 */
#include <stdlib.h>
#include <string.h>
#include "loom/document.h"
#include "script.h"

static const char valid_text[] =
	"{\"gateway\":\"main\",\"sequence\":7,"
	"\"services\":[{\"service\":\"orders\",\"connections\":120,"
	"\"cold_calls_per_second\":41},"
	"{\"service\":\"plans\",\"connections\":60}],"
	"\"routes\":["
	"{\"name\":\"all\",\"host\":\"a.example\",\"path\":\"/\","
	"\"repeatable\":true,\"timeout_ms\":500,"
	"\"shares\":[{\"service\":\"orders\",\"weight\":1}]},"
	"{\"name\":\"deep\",\"host\":\"a.example\",\"path\":\"/x/y/\","
	"\"repeatable\":false,\"timeout_ms\":600,\"objective_ms\":200,"
	"\"attempts\":2,\"priority\":1,"
	"\"shares\":[{\"service\":\"orders\",\"weight\":90},"
	"{\"service\":\"plans\",\"weight\":10}]}],"
	"\"limits\":{\"header_bytes\":16384,\"request_body_bytes\":1000,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

struct state {
	struct doc_gateway *gateway;
};

static void print_problems(json_t *document, GString *output)
{
	struct prob_list *list = prob_new_list(NULL);
	struct doc_gateway *gateway = doc_parse_gateway("main", document, list);

	prob_print_list(list, output);
	if (gateway)
		g_string_append(output, "valid\n");
	CU_ASSERT_EQUAL(gateway == NULL, prob_get_count(list) > 0);
	doc_unref_gateway(gateway);
	talloc_free(list);
}

/*
 * Sets a field of the valid document and prints the problems. words: "with",
 * then FIELD or ARRAY.INDEX.FIELD, then a JSON value.
 */
static void print_edited(char **words, GString *output)
{
	json_t *document = json_loads(valid_text, 0, NULL);
	json_t *value = json_loads(words[2], JSON_DECODE_ANY, NULL);
	char **parts = g_strsplit(words[1], ".", 3);
	json_t *container = document;

	if (parts[1])
		container = json_array_get(json_object_get(document, parts[0]),
					   (size_t)atoi(parts[1]));
	json_object_set_new(container, parts[1] ? parts[2] : parts[0], value);
	print_problems(document, output);
	g_strfreev(parts);
	json_decref(document);
}

static void print_route(struct state *state, char **words, GString *output)
{
	const struct doc_gateway_route *route =
		doc_find_gateway_route(state->gateway, words[1], words[2]);

	if (!route) {
		g_string_append(output, "no route\n");
		return;
	}
	g_string_append_printf(output, "%s %u ms objective %u attempts %u%s\n",
			       route->route.name, route->route.timeout_ms,
			       route->objective_ms, route->attempts_max,
			       doc_has_lowest_priority(state->gateway, route)
				       ? " lowest priority"
				       : "");
}

static void print_shares(struct state *state, char **words, GString *output)
{
	const struct doc_gateway_route *route =
		doc_find_gateway_route(state->gateway, words[1], words[2]);
	uint32_t orders = 0;

	for (uint64_t i = 0; i < 1000; i++) {
		uint64_t hash = i * (UINT32_MAX / 1000);

		if (strcmp(doc_choose_share(route, hash), "orders") == 0)
			orders++;
	}
	g_string_append_printf(output, "orders %u of 1000\n", orders);
}

static void print_snapshot(struct state *state, GString *output)
{
	static const char *const out[] = { "b", NULL };
	const struct doc_gateway_move move = {
		.service = "orders",
		.to = "v2",
		.state = DOC_MOVE_RUNNING,
		.share_permille = 50,
	};
	struct doc_snapshot *snapshot =
		doc_build_gateway_snapshot(state->gateway, &move, 1, out);
	const struct doc_service *orders = doc_find_service(snapshot, "orders");
	const struct doc_service *plans = doc_find_service(snapshot, "plans");

	g_string_append_printf(output,
			       "a %s, b %s, orders from %s to %s, plans %s\n",
			       doc_is_domain_out(snapshot, "a") ? "out" : "in",
			       doc_is_domain_out(snapshot, "b") ? "out" : "in",
			       orders->move->from, orders->move->to,
			       plans->move ? "moves" : "stays");
	doc_unref_snapshot(snapshot);
}

static bool run_step(int word_count, char **words, GString *output, void *data)
{
	struct state *state = data;

	if (strcmp(words[0], "with") == 0)
		print_edited(words, output);
	else if (strcmp(words[0], "route") == 0)
		print_route(state, words, output);
	else if (strcmp(words[0], "shares") == 0)
		print_shares(state, words, output);
	else if (strcmp(words[0], "snapshot") == 0)
		print_snapshot(state, output);
	else
		return false;
	return true;
}

static void test_gateway(void)
{
	struct prob_list *list = prob_new_list(NULL);
	json_t *document = json_loads(valid_text, 0, NULL);
	struct state state = { doc_parse_gateway("main", document, list) };

	CU_ASSERT_PTR_NOT_NULL_FATAL(state.gateway);
	scr_run("gateway", run_step, &state);
	doc_unref_gateway(state.gateway);
	json_decref(document);
	talloc_free(list);
}

/*
 * Returns a random document (new reference) of up to ten routes, each with
 * fixed host and path and with one of a few contents.
 */
static json_t *make_random_document(GRand *random, uint32_t sequence)
{
	json_t *routes = json_array();
	json_t *service =
		json_pack("{s:s,s:i}", "service", "orders", "connections",
			  10 + g_rand_int_range(random, 0, 2));

	if (g_rand_int_range(random, 0, 2) == 0)
		json_object_set_new(service, "health_path",
				    json_string("/healthz"));
	for (int i = 0; i < 10; i++) {
		json_t *route;
		char name[8];

		if (g_rand_int_range(random, 0, 4) == 0)
			continue;
		g_snprintf(name, sizeof(name), "r%d", i);
		route = json_pack("{s:s,s:s,s:b,s:i,s:i,s:[{s:s,s:i}]}", "name",
				  name, "host", i % 2 ? "a" : "b", "repeatable",
				  g_rand_int_range(random, 0, 2), "timeout_ms",
				  500 + g_rand_int_range(random, 0, 2),
				  "priority", g_rand_int_range(random, 0, 3),
				  "shares", "service", "orders", "weight",
				  1 + g_rand_int_range(random, 0, 2));
		json_object_set_new(route, "path", json_sprintf("/%s/", name));
		json_array_append_new(routes, route);
	}
	return json_pack("{s:s,s:i,s:[o],s:o,s:{s:i,s:i,s:i,s:i}}", "gateway",
			 "main", "sequence", (int)sequence, "services", service,
			 "routes", routes, "limits", "header_bytes", 16384,
			 "request_body_bytes",
			 1000 + g_rand_int_range(random, 0, 2),
			 "header_timeout_ms", 3000, "idle_timeout_ms", 15000);
}

static struct doc_gateway *make_random_gateway(GRand *random, uint32_t sequence,
					       struct prob_list *list)
{
	json_t *document = make_random_document(random, sequence);
	struct doc_gateway *gateway = doc_parse_gateway("main", document, list);

	json_decref(document);
	return gateway;
}

/* Checks that two gateways are equal except for the order of their routes. */
static void check_same(const struct doc_gateway *a, const struct doc_gateway *b)
{
	json_t *forward = doc_make_gateway_delta(a, b);
	json_t *backward = doc_make_gateway_delta(b, a);

	CU_ASSERT_EQUAL(json_array_size(json_object_get(forward, "routes")), 0);
	CU_ASSERT_EQUAL(json_array_size(json_object_get(forward, "removed")),
			0);
	CU_ASSERT_TRUE(json_equal(forward, backward));
	json_decref(forward);
	json_decref(backward);
}

#define DELTA_ROUNDS 200U

/*
 * Checks with random documents that the difference of two documents, applied to
 * the first, gives the second.
 */
static void test_delta(void)
{
	GRand *random = g_rand_new_with_seed(1);

	for (uint32_t i = 0; i < DELTA_ROUNDS; i++) {
		struct prob_list *list = prob_new_list(NULL);
		struct doc_gateway *old = make_random_gateway(random, 7, list);
		struct doc_gateway *new = make_random_gateway(random, 8, list);
		json_t *delta = doc_make_gateway_delta(old, new);
		json_t *whole = doc_make_gateway_delta(NULL, new);
		struct doc_gateway *applied =
			doc_apply_gateway_delta(old, delta, list);
		struct doc_gateway *from_empty =
			doc_apply_gateway_delta(NULL, whole, list);
		struct doc_gateway *replaced =
			doc_apply_gateway_delta(old, whole, list);

		CU_ASSERT_PTR_NOT_NULL_FATAL(applied);
		CU_ASSERT_PTR_NOT_NULL_FATAL(from_empty);
		CU_ASSERT_PTR_NOT_NULL_FATAL(replaced);
		check_same(applied, new);
		check_same(from_empty, new);
		check_same(replaced, new);
		/* A difference from another base is rejected. */
		CU_ASSERT_PTR_NULL(doc_apply_gateway_delta(new, delta, list));
		CU_ASSERT_PTR_NULL(doc_apply_gateway_delta(NULL, delta, list));
		CU_ASSERT_TRUE(prob_get_count(list) >= 2);
		doc_unref_gateway(replaced);
		doc_unref_gateway(from_empty);
		doc_unref_gateway(applied);
		json_decref(whole);
		json_decref(delta);
		doc_unref_gateway(new);
		doc_unref_gateway(old);
		talloc_free(list);
	}
	g_rand_free(random);
}

int main(void)
{
	static const CU_TestInfo tests[] = {
		{ "documents, routes, shares, snapshot", test_gateway },
		{ "differences", test_delta },
		CU_TEST_INFO_NULL,
	};

	return scr_run_suite("gateway", tests);
}
