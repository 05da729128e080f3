/*
 * Command watch: prints the present status of a service and then each change.
 */
#include "ctl.h"

#include <stdio.h>
#include <string.h>
#include "loom/spread.h"

struct watch {
	struct ctl_context *context;
	const char *key;
	uint32_t printed_count;
};

static void print_status(struct watch *watch, const struct plat_object *object)
{
	uint32_t count_max = watch->context->options.count_max;

	/* The watched prefix also matches services with longer names. */
	if (strcmp(object->key, watch->key) != 0 ||
	    (count_max > 0 && watch->printed_count >= count_max))
		return;
	watch->printed_count++;
	if (object->is_deleted)
		puts(watch->context->is_json ? "null" : "no status any more");
	else if (watch->context->is_json)
		ctl_print_json(json_incref(object->value));
	else
		ctl_print_status_text(object->value);
	fflush(stdout);
}

static void handle_change(enum plat_watch_kind kind,
			  const struct plat_result *result, void *data)
{
	struct watch *watch = data;

	switch (kind) {
	case PLAT_WATCH_FAILED:
		ctl_print_error(result->error);
		fputs("loomctl: trying again\n", stderr);
		return;
	case PLAT_WATCH_ROLLED_BACK:
		fputs("loomctl: the platform went back to an older state\n",
		      stderr);
		return;
	case PLAT_WATCH_LISTED:
	case PLAT_WATCH_CHANGED:
		break;
	}
	for (size_t i = 0; i < result->object_count; i++)
		print_status(watch, &result->objects[i]);
}

enum ctl_exit ctl_watch_status(struct ctl_context *context, const char *service)
{
	struct watch watch = { .context = context };
	uint32_t count_max = context->options.count_max;
	struct plat_watch *subscription;

	watch.key =
		talloc_asprintf(context->ctx, "%s%s", SPR_KEY_STATUS, service);
	subscription = plat_watch_prefix(context->ctx, context->platform,
					 watch.key, handle_change, &watch);
	while (count_max == 0 || watch.printed_count < count_max)
		tevent_loop_once(context->events);
	talloc_free(subscription);
	return CTL_EXIT_OK;
}
