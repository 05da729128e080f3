/*
 * Explanations of where a request would go.
 *
 * The control thread sends a question to the first traffic thread as a command
 * and keeps an inquiry until the answer arrives in a mailbox of its own. An
 * answer whose inquiry has ended (time limit, caller gone) is dropped.
 */
#include "explain.h"

#include <errno.h>
#include "loom/error.h"
#include "way.h"

/* A traffic thread that is alive reads its commands within milliseconds. */
#define ANSWER_TIMEOUT_MS 1000U
/*
 * Each question copies the states of all targets on a thread that carries
 * calls. A cancelled question counts until the thread has answered it.
 */
#define OPEN_QUESTIONS_MAX 8U

struct tr_inquiry {
	struct tr_service *service;
	uint64_t id;
	struct tmr_alarm *alarm;
	tr_explain_fn fn;
	void *data;
};

/* An answer on its way to the control thread. */
struct answer {
	uint64_t inquiry;
	struct tr_explanation *explanation; /* owned */
};

static void free_answer(gpointer data)
{
	struct answer *answer = data;

	talloc_free(answer->explanation);
	g_free(answer);
}

static int destroy_inquiry(struct tr_inquiry *inquiry)
{
	g_hash_table_remove(inquiry->service->inquiries, &inquiry->id);
	return 0;
}

static void end_inquiry(struct tr_inquiry *inquiry,
			const struct tr_explanation *explanation)
{
	tr_explain_fn fn = inquiry->fn;
	void *data = inquiry->data;

	talloc_free(inquiry);
	fn(explanation, data);
}

static void handle_timeout(void *data)
{
	end_inquiry(data, NULL);
}

static void handle_answers(void *data)
{
	struct tr_service *service = data;
	struct tr_inquiry *inquiry;
	struct answer *answer;

	while ((answer = mbx_take(service->answers))) {
		service->open_question_count--;
		inquiry = g_hash_table_lookup(service->inquiries,
					      &answer->inquiry);
		if (inquiry)
			end_inquiry(inquiry, answer->explanation);
		free_answer(answer);
	}
}

bool tr_open_inquiries(struct tr_service *service,
		       struct tevent_context *events, GError **error)
{
	service->events = events;
	service->inquiries = g_hash_table_new(g_int64_hash, g_int64_equal);
	service->answers =
		mbx_new(service, events, handle_answers, free_answer, service);
	if (!service->answers) {
		err_set(error, ERR_INTERNAL, "open inquiries", NULL,
			"eventfd: %s", g_strerror(errno));
		return false;
	}
	return true;
}

void tr_close_inquiries(struct tr_service *service)
{
	GHashTableIter iterator;
	gpointer inquiry;

	if (!service->inquiries)
		return;
	while (g_hash_table_size(service->inquiries) > 0) {
		g_hash_table_iter_init(&iterator, service->inquiries);
		g_hash_table_iter_next(&iterator, NULL, &inquiry);
		end_inquiry(inquiry, NULL);
	}
	g_hash_table_destroy(service->inquiries);
	TALLOC_FREE(service->answers);
}

struct tr_question *tr_copy_question(const struct tr_question *question)
{
	struct tr_question *copy = g_memdup2(question, sizeof(*question));

	copy->host = g_strdup(question->host);
	copy->method = g_strdup(question->method);
	copy->path = g_strdup(question->path);
	copy->class = g_strdup(question->class);
	return copy;
}

void tr_free_question(struct tr_question *question)
{
	g_free((char *)question->host);
	g_free((char *)question->method);
	g_free((char *)question->path);
	g_free((char *)question->class);
	g_free(question);
}

struct tr_inquiry *tr_explain_request(struct tr_service *service,
				      const struct tr_question *question,
				      tr_explain_fn fn, void *data)
{
	struct tr_inquiry *inquiry;
	struct tr_command *command;

	if (service->open_question_count >= OPEN_QUESTIONS_MAX)
		return NULL;
	service->open_question_count++;
	inquiry = talloc_zero(service, struct tr_inquiry);
	command = g_new0(struct tr_command, 1);
	inquiry->service = service;
	inquiry->id = ++service->inquiry_count;
	inquiry->fn = fn;
	inquiry->data = data;
	g_hash_table_insert(service->inquiries, &inquiry->id, inquiry);
	talloc_set_destructor(inquiry, destroy_inquiry);
	inquiry->alarm = tmr_new_alarm(inquiry, service->events, handle_timeout,
				       inquiry);
	tmr_set_alarm(inquiry->alarm, ANSWER_TIMEOUT_MS);
	command->kind = TR_COMMAND_EXPLAIN;
	command->explain.inquiry = inquiry->id;
	command->explain.question = tr_copy_question(question);
	tr_send_command(&service->threads[0], command);
	return inquiry;
}

static void refuse(struct tr_explanation *explanation, uint32_t status,
		   const char *reason)
{
	explanation->status = status;
	explanation->reason = reason;
}

/* Explains a share's service; the call is of the way and ends at deadline. */
static struct rt_explanation *
explain_service(TALLOC_CTX *ctx, const struct tr_thread *thread,
		const struct tr_way *way, const struct tr_question *question,
		const struct tr_explanation *explanation)
{
	uint64_t now_ms = tmr_get_now_ms(thread->timers);
	int64_t length = question->body_bytes;
	enum rt_class class = rt_parse_class(
		question->class,
		way->gateway_route ? way->gateway_route->priority : 0);
	uint32_t due_ms = explanation->timeout_ms;
	struct rt_request request = {
		.service = way->service,
		.is_bulky = tr_is_bulky(thread, way->route, length > 0, length),
	};

	if (thread->service->options.overload.is_enabled) {
		tr_place_request(thread, way, class, length, &request);
		if (class != RT_CLASS_NESTED && explanation->objective_ms > 0)
			due_ms = MIN(due_ms, explanation->objective_ms);
		request.latest_end_ms = now_ms + due_ms;
	}
	return rt_explain_route(ctx, thread->chooser, thread->table, &request,
				now_ms);
}

static void explain_share(struct tr_explanation *explanation,
			  const struct tr_thread *thread, struct tr_way *way,
			  const struct tr_question *question,
			  const char *service, uint32_t weight)
{
	struct tr_share_view *view =
		&explanation->shares[explanation->share_count++];

	way->service =
		doc_find_service(rt_get_snapshot(thread->table), service);
	view->service = talloc_strdup(explanation->shares, service);
	view->weight = weight;
	explanation->weight_sum += weight;
	if (!way->service)
		return;
	if (question->body_bytes > way->service->limits.request_body_bytes) {
		refuse(explanation, MHD_HTTP_CONTENT_TOO_LARGE,
		       "body_too_large");
		return;
	}
	if (tr_may_outlast_drain(thread, tmr_get_now_ms(thread->timers) +
						 explanation->timeout_ms)) {
		refuse(explanation, MHD_HTTP_SERVICE_UNAVAILABLE, "draining");
		return;
	}
	view->routing = explain_service(explanation->shares, thread, way,
					question, explanation);
}

static void explain_shares(struct tr_explanation *explanation,
			   const struct tr_thread *thread, struct tr_way *way,
			   const struct tr_question *question)
{
	const struct doc_gateway_route *route = way->gateway_route;
	size_t count = route ? route->share_count : 1;

	explanation->shares =
		talloc_zero_array(explanation, struct tr_share_view, count);
	if (!route) {
		explain_share(explanation, thread, way, question,
			      way->service->name, 1);
		return;
	}
	for (size_t i = 0; i < count; i++) {
		/* The last share gets the calls when all weights are 0. */
		if (route->shares[i].weight > 0 ||
		    (route->weight_sum == 0 && i + 1 == count))
			explain_share(explanation, thread, way, question,
				      route->shares[i].service,
				      route->shares[i].weight);
	}
}

static void explain_way(struct tr_explanation *explanation,
			const struct tr_thread *thread,
			const struct tr_question *question)
{
	const struct doc_snapshot *snapshot = rt_get_snapshot(thread->table);
	struct tr_way way = tr_find_way(snapshot, question->host,
					question->method, question->path);

	if (!way.route) {
		refuse(explanation, MHD_HTTP_NOT_FOUND,
		       rt_get_refusal_name(way.service
						   ? RT_REFUSAL_NO_ROUTE
						   : RT_REFUSAL_NO_SERVICE));
		return;
	}
	explanation->route = talloc_strdup(explanation, way.route->name);
	explanation->timeout_ms = way.route->timeout_ms;
	if (tr_has_objective(thread, snapshot, way.gateway_route))
		explanation->objective_ms = way.gateway_route->objective_ms;
	if (thread->service->options.overload.is_enabled)
		explanation->class =
			rt_get_class_name(rt_parse_class(question->class, 0));
	explain_shares(explanation, thread, &way, question);
}

void tr_answer_question(const struct tr_thread *thread, uint64_t inquiry,
			const struct tr_question *question)
{
	struct answer *answer = g_new0(struct answer, 1);

	answer->inquiry = inquiry;
	answer->explanation = talloc_zero(NULL, struct tr_explanation);
	if (!acc_may_begin(&thread->account, question->body_bytes))
		refuse(answer->explanation, MHD_HTTP_SERVICE_UNAVAILABLE,
		       "memory");
	else if (thread->is_refusing)
		refuse(answer->explanation, MHD_HTTP_SERVICE_UNAVAILABLE,
		       "draining");
	else if (!thread->table)
		refuse(answer->explanation, MHD_HTTP_SERVICE_UNAVAILABLE,
		       "not_ready");
	else
		explain_way(answer->explanation, thread, question);
	mbx_post(thread->service->answers, answer);
}
