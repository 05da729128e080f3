/*
 * Command explain-route: prints where a request would go from a node now, and
 * why. The node decides that; see src/node/explain_route.c for its answer.
 */
#include "ctl.h"

#include <stdio.h>
#include <string.h>
#include <glib.h>
#include "loom/error.h"

#define PAGE "/explain-route"
#define STATUS_NOT_FOUND 404

/* Parameters of the page, in the order of the operands. */
static const char *const parameters[] = { "service", "method", "path", "class",
					  "body_bytes" };

static const char *get_text(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text ? text : "-";
}

static json_int_t get_number(const json_t *object, const char *name)
{
	return json_integer_value(json_object_get(object, name));
}

/* Returns the path and query of the page (new). */
static char *make_path(const char *const *operands, int operand_count)
{
	GString *path = g_string_new(PAGE);

	for (int i = 0; i < operand_count; i++) {
		char *value = g_uri_escape_string(operands[i], NULL, false);

		g_string_append_printf(path, "%c%s=%s", i == 0 ? '?' : '&',
				       parameters[i], value);
		g_free(value);
	}
	return g_string_free(path, FALSE);
}

/* Prints the refusal in an object, if any; returns whether there is one. */
static bool print_refused(const json_t *object)
{
	const json_t *refused = json_object_get(object, "refused");

	if (!refused)
		return false;
	printf("refused with %" JSON_INTEGER_FORMAT " %s",
	       get_number(refused, "status"), get_text(refused, "reason"));
	return true;
}

static const char *describe_rule(const char *rule)
{
	if (strcmp(rule, "earlier_end") == 0)
		return "two are drawn by weight near and two far; the earlier "
		       "expected end decides";
	if (strcmp(rule, "lower_cost") == 0)
		return "two are drawn by weight near and two far; the lower "
		       "cost decides";
	return rule;
}

static void print_target(const json_t *target)
{
	bool is_placed = json_object_get(target, "end_us") != NULL;

	printf("    %-21s %-10s %-8s %-8s %4s %6" JSON_INTEGER_FORMAT
	       " %5" JSON_INTEGER_FORMAT "/%-5" JSON_INTEGER_FORMAT,
	       get_text(target, "address"), get_text(target, "failure_domain"),
	       get_text(target, "version"), get_text(target, "phase"),
	       get_text(target, "part"), get_number(target, "weight"),
	       get_number(target, "load"), get_number(target, "limit"));
	if (is_placed)
		printf(" %7" JSON_INTEGER_FORMAT "%c %7" JSON_INTEGER_FORMAT,
		       get_number(target, "wait_us") / 1000,
		       json_is_true(json_object_get(target, "is_wait_told"))
			       ? ' '
			       : '?',
		       get_number(target, "end_us") / 1000);
	else
		printf(" %8s %7s", "-", "-");
	printf("  %s\n", get_text(target, "obstacle"));
}

static void print_version(const json_t *version)
{
	const json_t *targets = json_object_get(version, "targets");
	json_int_t sent_one_in = get_number(version, "sent_one_in");
	bool is_refused;
	size_t index;
	json_t *target;

	printf("  version %s, %" JSON_INTEGER_FORMAT " of 1000 calls: ",
	       get_text(version, "version"), get_number(version, "permille"));
	is_refused = print_refused(version);
	if (!is_refused)
		printf("sent to a target of version %s",
		       get_text(version, "used"));
	if (sent_one_in > 0 && !is_refused)
		printf("; one such call in %" JSON_INTEGER_FORMAT
		       " is sent to version %s",
		       sent_one_in, get_text(version, "version"));
	else if (sent_one_in > 0)
		printf("; one such call in %" JSON_INTEGER_FORMAT
		       " is sent all the same",
		       sent_one_in);
	printf("\n    %-21s %-10s %-8s %-8s %4s %6s %11s %8s %7s  %s\n",
	       "ADDRESS", "DOMAIN", "VERSION", "PHASE", "PART", "WEIGHT",
	       "LOAD/LIMIT ", "WAIT ms", "END ms", "OBSTACLE");
	json_array_foreach(targets, index, target) print_target(target);
}

static void print_share(const json_t *page, const json_t *share)
{
	const json_t *versions = json_object_get(share, "versions");
	size_t index;
	json_t *version;

	printf("service %s, weight %" JSON_INTEGER_FORMAT
	       " of %" JSON_INTEGER_FORMAT ": ",
	       get_text(share, "service"), get_number(share, "weight"),
	       get_number(page, "weight_sum"));
	if (!json_object_get(share, "rule")) {
		if (!print_refused(share) && !print_refused(page))
			printf("-");
		printf("\n");
		return;
	}
	printf("%s\n", describe_rule(get_text(share, "rule")));
	if (json_object_get(share, "due_ms"))
		printf("  runs for %" JSON_INTEGER_FORMAT
		       " ms (0: not known), due in %" JSON_INTEGER_FORMAT
		       " ms\n  far: cost of the way %" JSON_INTEGER_FORMAT
		       " ms, %" JSON_INTEGER_FORMAT
		       " of 1000 calls that gain may leave the failure "
		       "domain\n",
		       get_number(share, "run_us") / 1000,
		       get_number(share, "due_ms"),
		       get_number(share, "crossing_us") / 1000,
		       get_number(share, "crossing_permille"));
	if (json_is_true(json_object_get(share, "is_exposure_spent")))
		printf("  the new version has had its part of the calls: for "
		       "now all go to the old one\n");
	json_array_foreach(versions, index, version) print_version(version);
}

static void print_page(const json_t *page)
{
	const json_t *shares = json_object_get(page, "shares");
	size_t index;
	json_t *share;

	printf("route %s, timeout %" JSON_INTEGER_FORMAT
	       " ms, objective %" JSON_INTEGER_FORMAT " ms, class %s: ",
	       get_text(page, "route"), get_number(page, "timeout_ms"),
	       get_number(page, "objective_ms"), get_text(page, "class"));
	if (!print_refused(page))
		printf("%zu %s", json_array_size(shares),
		       json_array_size(shares) == 1 ? "service" : "services");
	printf("\n");
	json_array_foreach(shares, index, share) print_share(page, share);
}

enum ctl_exit ctl_explain_route(struct ctl_context *context,
				const char *const *operands, int operand_count)
{
	char *path = make_path(operands, operand_count);
	enum ctl_exit result = CTL_EXIT_OK;
	GError *error = NULL;
	json_t *page;

	page = ctl_fetch_page(context, context->options.node, path, &error);
	g_free(path);
	if (!page) {
		result = ctl_print_error(error);
		if (g_error_matches(error, ERR_DOMAIN, ERR_INVALID_ARGUMENT))
			result = CTL_EXIT_USAGE;
		g_error_free(error);
		return result;
	}
	if (context->is_json)
		ctl_print_json(json_incref(page));
	else
		print_page(page);
	if (get_number(json_object_get(page, "refused"), "status") ==
	    STATUS_NOT_FOUND)
		result = CTL_EXIT_NOT_FOUND;
	json_decref(page);
	return result;
}
