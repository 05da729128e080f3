/*
 * Reading JSON pages from a node's administration port.
 */
#include "ctl.h"

#include "loom/error.h"
#include "loom/http.h"

#define FETCH_TIMEOUT_MS 5000U
#define PAGE_BYTES_MAX (64U * 1024U * 1024U)

struct fetch {
	json_t *page;
	GError *error;
	const char *node;
	bool is_done;
};

/* Sets an error with what the node says in {"error"}, if anything. */
static void set_status_error(struct fetch *fetch,
			     const struct hc_answer *answer)
{
	json_t *page = json_loadb(answer->body, answer->body_size, 0, NULL);
	const char *said = json_string_value(json_object_get(page, "error"));
	char *message = g_strchomp(g_strdup(said ? said : ""));

	err_set(&fetch->error,
		answer->status == MHD_HTTP_BAD_REQUEST ? ERR_INVALID_ARGUMENT
						       : ERR_UNAVAILABLE,
		"read page", fetch->node, "got status %u, wanted 200%s%s",
		answer->status, *message ? ": " : "", message);
	g_free(message);
	json_decref(page);
}

static void handle_answer(const struct hc_answer *answer, void *data)
{
	struct fetch *fetch = data;
	json_error_t problem;

	fetch->is_done = true;
	if (answer->error) {
		fetch->error = g_error_copy(answer->error);
		return;
	}
	if (answer->status != MHD_HTTP_OK) {
		set_status_error(fetch, answer);
		return;
	}
	fetch->page = json_loadb(answer->body, answer->body_size, 0, &problem);
	if (!fetch->page)
		err_set(&fetch->error, ERR_INVALID_MESSAGE, "read page",
			fetch->node, "line %d: %s", problem.line, problem.text);
}

json_t *ctl_fetch_page(struct ctl_context *context, const char *node,
		       const char *path, GError **error)
{
	struct fetch fetch = { .node = node };
	struct hc_options options = {
		.method = "GET",
		.timeout_ms = FETCH_TIMEOUT_MS,
		.answer_bytes_max = PAGE_BYTES_MAX,
	};
	struct hc_loop *loop;

	loop = hc_new_loop(context->ctx, context->events, error);
	if (!loop)
		return NULL;
	options.url = talloc_asprintf(loop, "http://%s%s", node, path);
	hc_send(loop, loop, &options, handle_answer, &fetch);
	while (!fetch.is_done)
		tevent_loop_once(context->events);
	talloc_free(loop);
	if (fetch.error)
		g_propagate_error(error, fetch.error);
	return fetch.page;
}
