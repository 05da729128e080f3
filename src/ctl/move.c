/*
 * Command take-back: an operator ends the move of a service.
 *
 * The status object is the truth of a move, so the operator's word is one more
 * conditional write of it; the move's lease holder follows. When the holder
 * took a step meanwhile the write is tried again; when the move has ended
 * meanwhile the operator is told by whom and how.
 */
#include <stdio.h>
#include "ctl.h"
#include "loom/error.h"
#include "loom/release.h"
#include "loom/spread.h"

#define TRIES_MAX 10

/* Returns whether a try ended the command; *result is set then. */
static bool try_take_back(struct ctl_context *context, const char *key,
			  const char *service, enum ctl_exit *result)
{
	uint64_t now_ms = tmr_get_wall_ms(context->timers);
	struct ctl_object written = { 0 };
	struct ctl_object status;
	GError *error = NULL;
	struct mv_state state;
	json_t *value = NULL;
	bool is_over = true;

	ctl_read_object(context, key, &status);
	if (status.error) {
		*result = ctl_print_error(status.error);
		goto out;
	}
	if (!rls_parse_status(status.value, &state)) {
		err_set(&error, ERR_NOT_FOUND, "take back move", service,
			"no move of this service has been taken up");
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
		is_over = false;
	*result = written.error ? CTL_EXIT_CONFLICT : CTL_EXIT_OK;
	if (!written.error)
		printf("%s: taken back; all calls go to %s\n", service,
		       state.from);
	else if (is_over)
		*result = ctl_print_error(written.error);
out:
	g_clear_error(&error);
	json_decref(value);
	ctl_clear_object(&written);
	ctl_clear_object(&status);
	return is_over;
}

enum ctl_exit ctl_take_back(struct ctl_context *context, const char *service)
{
	char *key =
		talloc_asprintf(context->ctx, "%s%s", SPR_KEY_STATUS, service);
	enum ctl_exit result = CTL_EXIT_CONFLICT;

	for (int i = 0; i < TRIES_MAX; i++) {
		if (try_take_back(context, key, service, &result))
			return result;
	}
	fputs("loomctl: the move changed at each try; try again\n", stderr);
	return result;
}
