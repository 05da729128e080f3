/*
 * Request of one node for the changes of another.
 *
 * Time runs on the timers of the node: curl's own limit would not tell an
 * answer that is slow from one that has stopped.
 */
#include "relay_poll.h"

#include <inttypes.h>
#include "internal.h"
#include "loom/error.h"

#define ANSWER_BYTES_MAX (4U * 1024U * 1024U)
/*
 * When a look is later than this, the event loop was held up, and bytes may
 * have arrived that it has not read yet.
 */
#define LATE_MS 20U

uint32_t nd_get_poll_rest(const struct nd_poll_times *times, uint64_t due_ms,
			  uint64_t now_ms)
{
	uint64_t wait_end_ms = times->start_ms + times->wait_ms;
	uint64_t end_ms = wait_end_ms + ND_POLL_TOTAL_MS;
	uint64_t stall_ms =
		MAX(wait_end_ms, times->progress_ms) + ND_POLL_GRACE_MS;

	if (now_ms < MIN(stall_ms, end_ms))
		return (uint32_t)(MIN(stall_ms, end_ms) - now_ms);
	if (now_ms < end_ms && now_ms - due_ms > LATE_MS)
		return LATE_MS;
	return 0;
}

bool nd_is_poll_receiving(const struct nd_poll_times *times, uint64_t now_ms)
{
	return times->progress_ms > 0 &&
	       now_ms < times->progress_ms + ND_POLL_GRACE_MS;
}

static void record_progress(void *data)
{
	struct nd_poll *poll = data;

	poll->times.progress_ms = tmr_get_now_ms(poll->node->timers);
}

static void handle_answer(const struct hc_answer *answer, void *data)
{
	struct nd_poll *poll = data;

	/* The request frees itself, but only after the poll is freed. */
	talloc_steal(poll->node->relay.client, poll->request);
	poll->fn(poll, answer);
}

static void give_up(struct nd_poll *poll, uint64_t now_ms)
{
	struct hc_answer answer = { 0 };
	GError *error = NULL;

	err_set(&error, ERR_TIMEOUT, "send request", poll->url,
		"answer is not complete after %" PRIu64
		" ms, last bytes came %" PRIu64 " ms ago",
		now_ms - poll->times.start_ms,
		now_ms - MAX(poll->times.progress_ms, poll->times.start_ms));
	answer.error = error;
	poll->fn(poll, &answer);
	g_error_free(error);
}

static void handle_check(uint64_t due_ms, void *data)
{
	struct nd_poll *poll = data;
	uint64_t now_ms = tmr_get_now_ms(poll->node->timers);
	uint32_t rest_ms = nd_get_poll_rest(&poll->times, due_ms, now_ms);

	if (rest_ms == 0) {
		give_up(poll, now_ms);
		return;
	}
	poll->check = tmr_subscribe_once(poll, poll->node->timers, rest_ms,
					 handle_check, poll);
}

struct nd_poll *nd_start_poll(struct nd_node *node, const char *peer,
			      uint32_t wait_ms, nd_poll_fn fn)
{
	struct nd_poll *poll = talloc_zero(node, struct nd_poll);
	struct hc_options options = {
		.method = "GET",
		.answer_bytes_max = ANSWER_BYTES_MAX,
		.accepts_gzip = true,
		.progress_fn = record_progress,
	};
	struct nd_progress own;

	nd_get_progress(node, &own);
	poll->node = node;
	poll->peer = talloc_strdup(poll, peer);
	poll->base = own.gateway;
	poll->times.start_ms = tmr_get_now_ms(node->timers);
	poll->times.wait_ms = wait_ms;
	poll->fn = fn;
	poll->url = talloc_asprintf(
		poll,
		"http://%s/configuration/changes?gateway=%" PRIu64
		"&moves=%" PRIu64 "&domains=%" PRIu64 "&wait_ms=%u",
		peer, own.gateway, own.moves, own.domains, wait_ms);
	options.url = poll->url;
	poll->request = hc_send(poll, node->relay.client, &options,
				handle_answer, poll);
	poll->check = tmr_subscribe_once(poll, node->timers,
					 wait_ms + ND_POLL_GRACE_MS,
					 handle_check, poll);
	return poll;
}
