/*
 * Where a request would go, for GET /explain-route.
 *
 *	{"route", "timeout_ms", "objective_ms", "class", "weight_sum",
 *	 "refused": {"status", "reason"},
 *	 "shares": [{"service", "weight", "refused", "rule", "run_us", "due_ms",
 *		     "crossing_us", "crossing_permille", "is_exposure_spent",
 *		     "versions": [{"version", "permille", "used", "refused",
 *				   "sent_one_in", "targets": [...]}]}]}
 *
 * "refused" is absent where the request is not refused.
 */
#include "explain_route.h"

#include <string.h>
#include "internal.h"

#define QUERY "query"
#define SERVICE_BYTES_MAX 255U
#define METHOD_BYTES_MAX 16U
#define PATH_BYTES_MAX 8192U

/* A request that waits for the traffic thread; owned by the pair of them. */
struct pending {
	struct web_request *request;
	struct tr_inquiry *inquiry;
};

/*
 * Returns the parameter, or NULL with a problem added when it is missing, not
 * UTF-8 (which JSON cannot tell) or too long.
 */
static const char *read_text(nd_query_fn get_query, const void *data,
			     const char *name, size_t bytes_max,
			     struct prob_list *list)
{
	const char *text = get_query(data, name);

	if (!text || !*text)
		prob_add_problem(list, QUERY, name, "is missing or empty");
	else if (!g_utf8_validate(text, -1, NULL))
		prob_add_problem(list, QUERY, name, "is not UTF-8");
	else if (strlen(text) > bytes_max)
		prob_add_problem(list, QUERY, name,
				 "got %zu bytes, wanted up to %zu",
				 strlen(text), bytes_max);
	else
		return text;
	return NULL;
}

static void read_class(nd_query_fn get_query, const void *data,
		       struct prob_list *list, struct tr_question *question)
{
	static const char *const names[] = { "nested", "returned", "fresh" };
	const char *text;

	if (!get_query(data, "class"))
		return;
	text = read_text(get_query, data, "class", METHOD_BYTES_MAX, list);
	for (size_t i = 0; text && i < G_N_ELEMENTS(names); i++) {
		if (strcmp(text, names[i]) == 0)
			question->class = names[i];
	}
	if (text && !question->class)
		prob_add_problem(list, QUERY, "class",
				 "got \"%s\", wanted nested, returned or fresh",
				 text);
}

static void read_body_bytes(nd_query_fn get_query, const void *data,
			    struct prob_list *list,
			    struct tr_question *question)
{
	const char *text;
	guint64 bytes = 0;

	if (!get_query(data, "body_bytes"))
		return;
	text = read_text(get_query, data, "body_bytes", METHOD_BYTES_MAX, list);
	if (text &&
	    !g_ascii_string_to_unsigned(text, 10, 0, UINT32_MAX, &bytes, NULL))
		prob_add_problem(list, QUERY, "body_bytes",
				 "got \"%s\", wanted a whole number from 0 to "
				 "%u",
				 text, UINT32_MAX);
	question->body_bytes = (uint32_t)bytes;
}

static bool is_method(const char *text)
{
	return strspn(text, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") == strlen(text);
}

void nd_read_question(TALLOC_CTX *ctx, nd_query_fn get_query, const void *data,
		      struct prob_list *list, struct tr_question *question)
{
	const char *service =
		read_text(get_query, data, "service", SERVICE_BYTES_MAX, list);
	const char *method =
		read_text(get_query, data, "method", METHOD_BYTES_MAX, list);
	const char *path =
		read_text(get_query, data, "path", PATH_BYTES_MAX, list);

	*question = (struct tr_question){ 0 };
	if (service)
		question->host =
			talloc_strndup(ctx, service, strcspn(service, ":"));
	if (method && !is_method(method))
		prob_add_problem(list, QUERY, "method",
				 "got \"%s\", wanted a method such as GET",
				 method);
	if (path && *path != '/')
		prob_add_problem(list, QUERY, "path",
				 "got \"%s\", wanted a path that begins with "
				 "\"/\"",
				 path);
	question->method = talloc_strdup(ctx, method);
	question->path = talloc_strdup(ctx, path);
	read_class(get_query, data, list, question);
	read_body_bytes(get_query, data, list, question);
}

static void set_refused(json_t *object, uint32_t status, const char *reason)
{
	if (status > 0)
		json_object_set_new(object, "refused",
				    json_pack("{s:i,s:s}", "status",
					      (int)status, "reason", reason));
}

static json_t *format_target(const struct rt_target_view *target,
			     bool is_placed)
{
	json_t *object = json_pack(
		"{s:s,s:s,s:s,s:s,s:b,s:s,s:s,s:I,s:I,s:I}", "address",
		target->address, "failure_domain", target->failure_domain,
		"version", target->version, "phase",
		rt_get_phase_name(target->phase), "is_home",
		(int)target->is_home, "part", rt_get_part_name(target->part),
		"obstacle", rt_get_obstacle_name(target->obstacle), "weight",
		(json_int_t)target->weight, "limit", (json_int_t)target->limit,
		"load", (json_int_t)target->load);

	if (!is_placed)
		return object;
	json_object_set_new(object, "is_wait_told",
			    json_boolean(target->has_waits));
	json_object_set_new(object, "wait_us",
			    json_integer((json_int_t)target->wait_us));
	json_object_set_new(object, "end_us",
			    json_integer((json_int_t)target->end_us));
	return object;
}

static json_t *format_version(const struct rt_version_view *view,
			      const struct rt_explanation *routing)
{
	json_t *targets = json_array();
	json_t *object;

	for (size_t i = 0; i < view->target_count; i++)
		json_array_append_new(
			targets,
			format_target(&view->targets[i], routing->is_placed));
	object = json_pack("{s:s,s:I,s:s?,s:o}", "version", view->version,
			   "permille", (json_int_t)view->permille, "used",
			   view->used, "targets", targets);
	if (view->refusal != RT_REFUSAL_NONE)
		set_refused(object, MHD_HTTP_SERVICE_UNAVAILABLE,
			    rt_get_refusal_name(view->refusal));
	if (view->has_trials)
		json_object_set_new(object, "sent_one_in",
				    json_integer(routing->trial_period));
	return object;
}

static json_t *format_share(const struct tr_share_view *share,
			    const struct tr_explanation *explanation)
{
	const struct rt_explanation *routing = share->routing;
	json_t *versions = json_array();
	json_t *object = json_pack("{s:s,s:I}", "service", share->service,
				   "weight", (json_int_t)share->weight);

	for (size_t i = 0; routing && i < routing->version_count; i++)
		json_array_append_new(
			versions,
			format_version(&routing->versions[i], routing));
	json_object_set_new(object, "versions", versions);
	if (!routing && explanation->status == 0)
		set_refused(object, MHD_HTTP_NOT_FOUND,
			    rt_get_refusal_name(RT_REFUSAL_NO_SERVICE));
	if (!routing)
		return object;
	json_object_set_new(object, "rule",
			    json_string(rt_get_rule_name(routing->rule)));
	json_object_set_new(object, "is_exposure_spent",
			    json_boolean(routing->is_exposure_spent));
	if (!routing->is_placed)
		return object;
	json_object_set_new(object, "run_us", json_integer(routing->run_us));
	json_object_set_new(object, "due_ms",
			    json_integer((json_int_t)routing->due_ms));
	json_object_set_new(object, "crossing_us",
			    json_integer(routing->crossing_us));
	json_object_set_new(object, "crossing_permille",
			    json_integer(routing->crossing_permille));
	return object;
}

json_t *nd_format_explanation(const struct tr_explanation *explanation)
{
	json_t *shares = json_array();
	json_t *object;

	for (size_t i = 0; i < explanation->share_count; i++)
		json_array_append_new(
			shares,
			format_share(&explanation->shares[i], explanation));
	object = json_pack("{s:s?,s:I,s:I,s:s?,s:I}", "route",
			   explanation->route, "timeout_ms",
			   (json_int_t)explanation->timeout_ms, "objective_ms",
			   (json_int_t)explanation->objective_ms, "class",
			   explanation->class, "weight_sum",
			   (json_int_t)explanation->weight_sum);
	set_refused(object, explanation->status, explanation->reason);
	json_object_set_new(object, "shares", shares);
	return object;
}

static void handle_explanation(const struct tr_explanation *explanation,
			       void *data)
{
	struct pending *pending = data;

	if (explanation)
		web_reply_json(pending->request, MHD_HTTP_OK,
			       nd_format_explanation(explanation));
	else
		web_reply_error(pending->request, MHD_HTTP_SERVICE_UNAVAILABLE,
				"the traffic thread did not answer in time");
	talloc_free(pending);
}

static void handle_closed(void *data)
{
	struct pending *pending = data;

	talloc_free(pending->inquiry);
	talloc_free(pending);
}

static const char *get_query(const void *data, const char *name)
{
	return web_get_query(data, name);
}

void nd_handle_explain_route(struct nd_node *node, struct web_request *request)
{
	TALLOC_CTX *scratch = talloc_new(NULL);
	struct prob_list *list = prob_new_list(scratch);
	struct tr_question question;
	struct pending *pending;

	nd_read_question(scratch, get_query, request, list, &question);
	if (prob_get_count(list) > 0) {
		nd_reply_problems(request, list);
		goto out_free;
	}
	pending = talloc_zero(NULL, struct pending);
	pending->request = request;
	pending->inquiry = tr_explain_request(node->traffic, &question,
					      handle_explanation, pending);
	if (!pending->inquiry) {
		web_reply_error(request, MHD_HTTP_SERVICE_UNAVAILABLE,
				"too many explanations are under way");
		talloc_free(pending);
		goto out_free;
	}
	web_set_closed_fn(request, handle_closed, pending);
out_free:
	talloc_free(scratch);
}
