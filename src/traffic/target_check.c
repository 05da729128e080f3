/*
 * Questions to the local target whether it is cold: a request to its health
 * path, whose answer tells how long it stays so.
 */
#include "target_check.h"

#include <string.h>
#include "call.h"
#include "loom/http.h"
#include "loom/log.h"
#include "thread.h"

/* Longer than a slot of a target takes to become free, unless it is overloaded.
 */
#define CHECK_TIMEOUT_MS 500U
/* A target that is full or unwell is not asked more often. */
#define CHECK_RETRY_MS 100U
#define ANSWER_BYTES_MAX 65536U
#define COLD_MS_MAX 3600000U

/*
 * Returns whether the answer tells how long the target stays cold, and sets
 * *cold_ms. A healthy target without the header is warm.
 */
static bool read_answer(const struct hc_answer *answer, uint32_t *cold_ms)
{
	guint64 number = 0;

	if (answer->error)
		return false;
	if (answer->header &&
	    !g_ascii_string_to_unsigned(answer->header, 10, 0, COLD_MS_MAX,
					&number, NULL))
		return false;
	*cold_ms = (uint32_t)number;
	return number > 0 || answer->status == MHD_HTTP_OK;
}

static void handle_answer(const struct hc_answer *answer, void *data)
{
	struct tr_thread *thread = data;
	struct tr_target_check *check = &thread->check;
	struct tr_counters *counters = &thread->service->counters;
	uint64_t now_ms = tmr_get_now_ms(thread->timers);
	uint32_t cold_ms;

	check->request = NULL;
	if (!read_answer(answer, &cold_ms)) {
		check->retry_ms = now_ms + CHECK_RETRY_MS;
		cnt_add(counters->checks_unanswered, 1);
		return;
	}
	if (cold_ms > 0) {
		cnt_add(counters->checks_cold, 1);
		adm_set_cold(thread->gate, now_ms + cold_ms);
		log_write(LOG_LEVEL_INFO, "traffic", "check target",
			  thread->target_url, "target is cold", LOG_END);
	} else {
		cnt_add(counters->checks_warm, 1);
		adm_confirm_warm(thread->gate, check->asked_ms, now_ms);
	}
	tr_process_waiting_calls(thread);
}

/* Returns the path of the target's health (borrowed), or NULL. */
static const char *find_health_path(const struct tr_thread *thread)
{
	const struct doc_service *service;

	if (!thread->table || !thread->target_service)
		return NULL;
	service = doc_find_service(rt_get_snapshot(thread->table),
				   thread->target_service);
	return service ? service->limits.health_path : NULL;
}

void tr_check_target(struct tr_thread *thread)
{
	struct tr_target_check *check = &thread->check;
	uint64_t now_ms = tmr_get_now_ms(thread->timers);
	const char *path;
	struct hc_options options = {
		.method = "GET",
		.timeout_ms = CHECK_TIMEOUT_MS,
		.answer_bytes_max = ANSWER_BYTES_MAX,
		.answer_header = thread->service->options.names->cold,
	};
	char *url;

	if (check->request || now_ms < check->retry_ms ||
	    !adm_is_check_due(thread->gate, now_ms))
		return;
	path = find_health_path(thread);
	if (!path)
		return;
	url = g_strconcat(thread->target_url, path, NULL);
	options.url = url;
	check->asked_ms = now_ms;
	check->request = hc_send(thread->events, check->loop, &options,
				 handle_answer, thread);
	g_free(url);
}

void tr_cancel_target_check(struct tr_thread *thread)
{
	TALLOC_FREE(thread->check.request);
	thread->check.retry_ms = 0;
}
