/*
 * Command status: prints the state of a service's document and of its move, as
 * text or as JSON. With --wait it polls until the document is checked and its
 * move, if any, has ended.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "ctl.h"
#include "loom/error.h"
#include "loom/release.h"
#include "loom/spread.h"

#define POLL_INTERVAL_MS 500U

/* Result of the document's present version, including its move. */
enum outcome {
	OUTCOME_PENDING,
	OUTCOME_DONE,
	OUTCOME_REJECTED,
	OUTCOME_TAKEN_BACK,
};

void ctl_print_status_text(const json_t *status)
{
	const json_t *problems = json_object_get(status, "problems");
	const char *verdict =
		json_string_value(json_object_get(status, "verdict"));
	const char *sentence =
		json_string_value(json_object_get(status, "sentence"));
	size_t index;
	json_t *problem;

	printf("%s: document version %" JSON_INTEGER_FORMAT
	       " %s; version "
	       "%" JSON_INTEGER_FORMAT " is in force\n",
	       json_string_value(json_object_get(status, "service")),
	       json_integer_value(json_object_get(status, "document_version")),
	       verdict ? verdict : "is not judged yet",
	       json_integer_value(json_object_get(status, "version_in_force")));
	json_array_foreach(problems, index, problem)
		printf("  %s\n", json_string_value(problem));
	if (sentence)
		printf("  move: %s\n", sentence);
}

static void print_status(const struct ctl_context *context,
			 const json_t *status)
{
	char *text;

	if (!context->is_json) {
		ctl_print_status_text(status);
		return;
	}
	text = json_dumps(status, JSON_INDENT(2) | JSON_PRESERVE_ORDER);
	puts(text);
	free(text);
}

static enum outcome get_move_outcome(const json_t *status,
				     uint64_t document_version)
{
	struct mv_state state;

	if (!rls_parse_status(status, &state) ||
	    state.document_version != document_version)
		return OUTCOME_PENDING;
	switch (state.phase) {
	case DOC_MOVE_DONE:
		return OUTCOME_DONE;
	case DOC_MOVE_TAKEN_BACK:
		return OUTCOME_TAKEN_BACK;
	case DOC_MOVE_NONE:
	case DOC_MOVE_WAITING:
	case DOC_MOVE_RUNNING:
	case DOC_MOVE_SOAKING:
		break;
	}
	return OUTCOME_PENDING;
}

/* A status of another document version does not count: it is outdated. */
static enum outcome get_outcome(const struct ctl_object *document,
				const json_t *status)
{
	const char *verdict =
		json_string_value(json_object_get(status, "verdict"));
	json_int_t checked_version =
		json_integer_value(json_object_get(status, "document_version"));

	if (!verdict || (uint64_t)checked_version != document->version)
		return OUTCOME_PENDING;
	if (strcmp(verdict, "rejected") == 0)
		return OUTCOME_REJECTED;
	if (json_is_object(json_object_get(
		    json_object_get(document->value, "document"), "move")))
		return get_move_outcome(status, document->version);
	return OUTCOME_DONE;
}

static void end_pause(uint64_t now_ms, void *data)
{
	bool *is_finished = data;

	*is_finished = true;
}

static void wait_poll_interval(struct ctl_context *context)
{
	bool is_finished = false;

	tmr_subscribe_once(context->ctx, context->timers, POLL_INTERVAL_MS,
			   end_pause, &is_finished);
	while (!is_finished)
		tevent_loop_once(context->events);
}

static enum ctl_exit get_exit_code(enum outcome outcome)
{
	switch (outcome) {
	case OUTCOME_DONE:
		return CTL_EXIT_OK;
	case OUTCOME_REJECTED:
		return CTL_EXIT_INVALID;
	case OUTCOME_TAKEN_BACK:
		return CTL_EXIT_TAKEN_BACK;
	case OUTCOME_PENDING:
		break;
	}
	return CTL_EXIT_TIMEOUT;
}

/*
 * Reads the document and its status. Returns false when the service has no
 * document, so that waiting is pointless. Other errors may be temporary, and a
 * status may not be written yet.
 */
static bool read_document_and_status(struct ctl_context *context,
				     const char *service,
				     struct ctl_object *document,
				     struct ctl_object *status)
{
	ctl_read_object(context,
			talloc_asprintf(context->ctx, "%s%s", SPR_KEY_DOCUMENTS,
					service),
			document);
	ctl_read_object(
		context,
		talloc_asprintf(context->ctx, "%s%s", SPR_KEY_STATUS, service),
		status);
	return !document->error ||
	       !g_error_matches(document->error, ERR_DOMAIN, ERR_NOT_FOUND);
}

static enum ctl_exit wait_for_end(struct ctl_context *context,
				  const char *service)
{
	uint64_t end_ms =
		tmr_get_now_ms(context->timers) + context->options.wait_ms;
	enum ctl_exit result = CTL_EXIT_TIMEOUT;
	struct ctl_object document;
	struct ctl_object status;
	bool is_finished = false;

	while (!is_finished) {
		enum outcome outcome = OUTCOME_PENDING;

		is_finished = !read_document_and_status(context, service,
							&document, &status);
		if (is_finished) {
			result = ctl_print_error(document.error);
		} else {
			if (!document.error && !status.error)
				outcome = get_outcome(&document, status.value);
			result = get_exit_code(outcome);
			is_finished = outcome != OUTCOME_PENDING ||
				      tmr_get_now_ms(context->timers) >= end_ms;
			if (is_finished && status.value)
				print_status(context, status.value);
			else if (is_finished && status.error)
				ctl_print_error(status.error);
		}
		ctl_clear_object(&document);
		ctl_clear_object(&status);
		if (!is_finished)
			wait_poll_interval(context);
	}
	return result;
}

enum ctl_exit ctl_print_status(struct ctl_context *context, const char *service)
{
	char *key =
		talloc_asprintf(context->ctx, "%s%s", SPR_KEY_STATUS, service);
	enum ctl_exit result = CTL_EXIT_OK;
	struct ctl_object object;

	if (context->options.wait_ms > 0)
		return wait_for_end(context, service);
	ctl_read_object(context, key, &object);
	if (object.error)
		result = ctl_print_error(object.error);
	else
		print_status(context, object.value);
	ctl_clear_object(&object);
	return result;
}
