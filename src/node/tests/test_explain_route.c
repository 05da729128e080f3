/*
 * Tests of GET /explain-route: which queries are accepted, and the answer.
 */
#include <string.h>
#include "explain_route.h"
#include "script.h"

static const char *get_word(const void *data, const char *name)
{
	char *const *words = data;
	size_t length = strlen(name);

	for (size_t i = 1; words[i]; i++) {
		if (strncmp(words[i], name, length) == 0 &&
		    words[i][length] == '=')
			return words[i] + length + 1;
	}
	return NULL;
}

/* "query NAME=VALUE ..." */
static void print_question(char **words, GString *output)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct prob_list *list = prob_new_list(ctx);
	struct tr_question question;

	nd_read_question(ctx, get_word, words, list, &question);
	if (prob_get_count(list) > 0)
		prob_print_list(list, output);
	else
		g_string_append_printf(output, "%s %s %s, %s, %u bytes\n",
				       question.method, question.host,
				       question.path,
				       question.class ? question.class : "-",
				       question.body_bytes);
	talloc_free(ctx);
}

static void print_json(const struct tr_explanation *explanation,
		       GString *output)
{
	json_t *json = nd_format_explanation(explanation);
	char *text = json_dumps(json, JSON_INDENT(1) | JSON_PRESERVE_ORDER);

	g_string_append_printf(output, "%s\n", text);
	free(text);
	json_decref(json);
}

/* "refused": a request that no route takes */
static void print_refused(GString *output)
{
	struct tr_explanation explanation = { .status = 404,
					      .reason = "no_service" };

	print_json(&explanation, output);
}

/* "shares": two services, one of which nobody knows; a move of the other */
static void print_shares(GString *output)
{
	struct rt_target_view target = {
		.address = "127.0.0.1:81",
		.failure_domain = "a",
		.version = "v1",
		.phase = RT_PHASE_SERVING,
		.is_home = true,
		.part = RT_PART_NEAR,
		.weight = 5,
		.limit = 9,
		.load = 4,
		.has_waits = true,
		.wait_us = 1000,
		.end_us = 81000,
	};
	struct rt_version_view versions[] = {
		{ .version = "v1",
		  .used = "v1",
		  .permille = 950,
		  .targets = &target,
		  .target_count = 1 },
		{ .version = "v2",
		  .permille = 50,
		  .refusal = RT_REFUSAL_NO_ROOM,
		  .has_trials = true },
	};
	struct rt_explanation routing = {
		.service = "shop",
		.rule = RT_RULE_EARLIER_END,
		.is_placed = true,
		.crossing_us = 12000,
		.crossing_permille = 296,
		.run_us = 80000,
		.trial_period = 16,
		.due_ms = 600,
		.versions = versions,
		.version_count = G_N_ELEMENTS(versions),
	};
	struct tr_share_view shares[] = {
		{ .service = "shop", .weight = 3, .routing = &routing },
		{ .service = "bakery", .weight = 1 },
	};
	struct tr_explanation explanation = {
		.route = "any",
		.timeout_ms = 20000,
		.objective_ms = 600,
		.class = "fresh",
		.shares = shares,
		.share_count = G_N_ELEMENTS(shares),
		.weight_sum = 4,
	};

	print_json(&explanation, output);
	routing.is_placed = false;
	routing.rule = RT_RULE_LOWER_COST;
	explanation.share_count = 1;
	print_json(&explanation, output);
}

/* "fallback": the old version takes calls for which the new one has no room */
static void print_fallback(GString *output)
{
	struct rt_version_view version = { .version = "v2",
					   .used = "v1",
					   .permille = 50,
					   .has_trials = true };
	struct rt_explanation routing = { .service = "shop",
					  .trial_period = 16,
					  .versions = &version,
					  .version_count = 1 };
	struct tr_share_view share = { .service = "shop",
				       .weight = 1,
				       .routing = &routing };
	struct tr_explanation explanation = { .route = "any",
					      .shares = &share,
					      .share_count = 1,
					      .weight_sum = 1 };

	print_json(&explanation, output);
}

static bool run_step(int count, char **words, GString *output, void *data)
{
	if (strcmp(words[0], "query") == 0)
		print_question(words, output);
	else if (strcmp(words[0], "refused") == 0)
		print_refused(output);
	else if (strcmp(words[0], "shares") == 0)
		print_shares(output);
	else if (strcmp(words[0], "fallback") == 0)
		print_fallback(output);
	else
		return false;
	return true;
}

/* Guards against a query that is accepted in part, or stops the node. */
static void test_queries(void)
{
	scr_run("explain_queries", run_step, NULL);
}

static void test_answers(void)
{
	scr_run("explain_answers", run_step, NULL);
}

static const CU_TestInfo tests[] = {
	{ "queries", test_queries },
	{ "answers", test_answers },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("explain_route", tests);
}
