/*
 * Command take-back: an operator ends the move of a service, so that all calls
 * go to the old version again.
 *
 * The status object is the authoritative state of a move. The command therefore
 * writes it conditionally, and the holder of the move's lease adopts the new
 * state. If the holder has written the status since it was read, for example
 * for the next step, the command reads and writes it again. If the move has
 * ended, the command fails and prints the sentence of the status, which says
 * how the move ended.
 */
#include <stdio.h>
#include "ctl.h"
#include "loom/error.h"
#include "loom/release.h"
#include "loom/spread.h"

#define ATTEMPTS_MAX 10

/*
 * Returns false when the write conflicted with another one and must be
 * repeated. Sets *result in any case.
 */
static bool try_take_back(struct ctl_context *context, const char *key,
			  const char *service, enum ctl_exit *result)
{
	uint64_t now_ms = tmr_get_wall_ms(context->timers);
	struct ctl_object written = { 0 };
	struct ctl_object status;
	GError *error = NULL;
	struct mv_state state;
	json_t *value = NULL;
	bool is_finished = true;

	ctl_read_object(context, key, &status);
	if (status.error) {
		*result = ctl_print_error(status.error);
		goto out;
	}
	if (!rls_parse_status(status.value, &state)) {
		err_set(&error, ERR_NOT_FOUND, "take back move", service,
			"the status of this service contains no move yet");
		*result = ctl_print_error(error);
		goto out;
	}
	if (!mv_take_back(&state, g_get_user_name(), now_ms, &error)) {
		*result = ctl_print_error(error);
		printf("%s: %s\n", service,
		       json_string_value(
			       json_object_get(status.value, "sentence")));
		goto out;
	}
	value = rls_merge_status(status.value, service, &state, NULL);
	ctl_write_object(context, key, value, status.version, &written);
	if (written.error &&
	    g_error_matches(written.error, ERR_DOMAIN, ERR_CONFLICT))
		is_finished = false;
	*result = written.error ? CTL_EXIT_CONFLICT : CTL_EXIT_OK;
	if (!written.error)
		printf("%s: taken back; all calls go to %s\n", service,
		       state.from);
	else if (is_finished)
		*result = ctl_print_error(written.error);
out:
	g_clear_error(&error);
	json_decref(value);
	ctl_clear_object(&written);
	ctl_clear_object(&status);
	return is_finished;
}

enum ctl_exit ctl_take_back(struct ctl_context *context, const char *service)
{
	char *key =
		talloc_asprintf(context->ctx, "%s%s", SPR_KEY_STATUS, service);
	enum ctl_exit result = CTL_EXIT_CONFLICT;

	for (int i = 0; i < ATTEMPTS_MAX; i++) {
		if (try_take_back(context, key, service, &result))
			return result;
	}
	fputs("loomctl: the move changed at each try; try again\n", stderr);
	return result;
}
