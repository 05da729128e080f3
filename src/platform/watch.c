/*
 * Watch of a prefix: one list, then one long poll after another.
 *
 * After a failed poll the watch resumes from the last revision with a backoff;
 * if the store no longer has the history since then, the watch lists again. The
 * first list is delayed by a random time, so that nodes that start together do
 * not list together. A new list every 10 to 11 minutes detects what polls
 * cannot: a store that was restored during an outage and whose revision has
 * since passed the revision of the watch.
 *
 * A store may return only one event per response, more slowly than changes
 * occur; a watch that follows every event then falls behind. If
 * busy_list_interval_ms is set, a watch whose events arrive in quick succession
 * lists at that interval instead, until a list contains nothing new.
 *
 * While the store is unavailable, one watch of the client, the prober, retries;
 * the others are parked and restart when it gets a response.
 *
 * Invariant: exactly one of call, timer, is_parked and is_paused is set.
 */
#include "client.h"

#include <assert.h>
#include "loom/error.h"

#define WATCH_LONG_POLL_MS 30000U
/*
 * A poll that returns events within WATCH_QUICK_ANSWER_MS is quick; after
 * WATCH_BUSY_POLL_COUNT quick polls in a row the watch is busy and lists.
 */
#define WATCH_QUICK_ANSWER_MS 1000U
#define WATCH_BUSY_POLL_COUNT 2U
#define WATCH_RELIST_MS 600000U
#define WATCH_RELIST_JITTER_MS 60000U

struct plat_watch {
	struct plat_client *client;
	char *prefix;
	plat_watch_fn fn;
	void *data;
	struct plat_call *call;
	struct tmr_subscription *timer;
	struct plat_backoff backoff;
	uint64_t revision;
	uint64_t poll_sent_ms;
	uint64_t relist_ms;	   /* when to list again */
	bool is_parked;		   /* waits for the end of an outage */
	bool is_paused;		   /* waits for plat_resume_watch() */
	bool was_ever_listed;	   /* a list has succeeded */
	bool can_resume;	   /* poll next from revision; otherwise list */
	uint32_t quick_poll_count; /* quick polls in a row */
	uint64_t newest_revision;  /* highest revision of an object read */
};

static void send_list_or_poll(struct plat_watch *watch);

static void handle_timer(uint64_t now_ms, void *data)
{
	struct plat_watch *watch = data;

	watch->timer = NULL;
	send_list_or_poll(watch);
}

static void start_timer(struct plat_watch *watch, uint32_t delay_ms)
{
	assert(!watch->timer);
	watch->timer = tmr_subscribe_once(watch, plat_get_timers(watch->client),
					  delay_ms, handle_timer, watch);
}

/*
 * Retries after a backoff. is_answered: the store responded, with ERR_GONE, so
 * that it is not unavailable.
 */
static void schedule_retry(struct plat_watch *watch, bool is_answered)
{
	uint32_t wait_ms = plat_choose_backoff_ms(
		&watch->backoff, plat_get_random(watch->client));

	if (is_answered)
		plat_end_outage(watch->client);
	if (is_answered || plat_join_outage(watch->client, watch))
		start_timer(watch, wait_ms);
	else
		watch->is_parked = true;
}

/* Schedules a retry, then reports the failure; fn may free the watch. */
static void handle_failure(struct plat_watch *watch,
			   const struct plat_result *result)
{
	bool is_gone = g_error_matches(result->error, ERR_DOMAIN, ERR_GONE);
	bool is_store_restored = is_gone && !watch->can_resume;

	if (is_gone || plat_get_options(watch->client)->must_list_after_cut)
		watch->can_resume = false;
	if (is_gone)
		watch->quick_poll_count = 0;
	else if (!g_error_matches(result->error, ERR_DOMAIN,
				  ERR_UNKNOWN_OUTCOME))
		plat_note_overload(&watch->backoff);
	schedule_retry(watch, is_gone);
	watch->fn(is_store_restored ? PLAT_WATCH_ROLLED_BACK
				    : PLAT_WATCH_FAILED,
		  result, watch->data);
}

/* Returns whether an object of the result is newer than all earlier ones. */
static bool update_newest_revision(struct plat_watch *watch,
				   const struct plat_result *result)
{
	uint64_t before = watch->newest_revision;

	for (size_t i = 0; i < result->object_count; i++)
		watch->newest_revision = MAX(watch->newest_revision,
					     result->objects[i].revision);
	return watch->newest_revision > before;
}

static uint32_t get_busy_list_ms(const struct plat_watch *watch)
{
	return plat_get_options(watch->client)->busy_list_interval_ms;
}

static bool is_busy(const struct plat_watch *watch)
{
	return get_busy_list_ms(watch) > 0 &&
	       watch->quick_poll_count >= WATCH_BUSY_POLL_COUNT;
}

/*
 * The first poll is delayed by first_poll_delay_ms: the watch may be paused
 * soon after its first list, and then no poll is sent.
 */
static uint32_t get_delay_after_list_ms(const struct plat_watch *watch)
{
	if (is_busy(watch))
		return get_busy_list_ms(watch);
	return watch->was_ever_listed
		       ? 0
		       : plat_get_options(watch->client)->first_poll_delay_ms;
}

static void handle_list(const struct plat_result *result, void *data)
{
	struct plat_watch *watch = data;

	watch->call = NULL;
	if (result->error) {
		handle_failure(watch, result);
		return;
	}
	plat_reset_backoff(&watch->backoff);
	plat_end_outage(watch->client);
	watch->revision = result->revision;
	if (!update_newest_revision(watch, result))
		watch->quick_poll_count = 0;
	watch->can_resume = !is_busy(watch);
	watch->relist_ms = tmr_get_now_ms(plat_get_timers(watch->client)) +
			   WATCH_RELIST_MS +
			   plat_choose_jitter_ms(plat_get_random(watch->client),
						 WATCH_RELIST_JITTER_MS);
	start_timer(watch, get_delay_after_list_ms(watch));
	watch->was_ever_listed = true;
	watch->fn(PLAT_WATCH_LISTED, result, watch->data);
}

static void count_quick_polls(struct plat_watch *watch,
			      const struct plat_result *result)
{
	uint64_t now_ms = tmr_get_now_ms(plat_get_timers(watch->client));

	update_newest_revision(watch, result);
	if (result->object_count > 0 &&
	    now_ms < watch->poll_sent_ms + WATCH_QUICK_ANSWER_MS)
		watch->quick_poll_count++;
	else
		watch->quick_poll_count = 0;
}

/* Returns whether a poll without events returned long before its time limit. */
static bool is_early_empty_answer(const struct plat_watch *watch,
				  const struct plat_result *result)
{
	uint64_t now_ms = tmr_get_now_ms(plat_get_timers(watch->client));

	return result->object_count == 0 &&
	       now_ms - watch->poll_sent_ms < WATCH_LONG_POLL_MS / 2;
}

static void handle_events(const struct plat_result *result, void *data)
{
	struct plat_watch *watch = data;
	uint32_t wait_ms = 0;

	watch->call = NULL;
	if (result->error) {
		handle_failure(watch, result);
		return;
	}
	plat_end_outage(watch->client);
	/* Avoids a busy loop if the store does not wait for changes. */
	if (is_early_empty_answer(watch, result))
		wait_ms = plat_choose_backoff_ms(
			&watch->backoff, plat_get_random(watch->client));
	else
		plat_reset_backoff(&watch->backoff);
	/* An older revision means a restored store: list its state. */
	if (result->revision < watch->revision)
		watch->can_resume = false;
	watch->revision = result->revision;
	count_quick_polls(watch, result);
	if (is_busy(watch)) {
		watch->can_resume = false;
		wait_ms = get_busy_list_ms(watch);
	}
	start_timer(watch, wait_ms);
	if (result->object_count > 0)
		watch->fn(PLAT_WATCH_CHANGED, result, watch->data);
}

static void send_list_or_poll(struct plat_watch *watch)
{
	assert(!watch->call);
	watch->poll_sent_ms = tmr_get_now_ms(plat_get_timers(watch->client));
	if (watch->poll_sent_ms >= watch->relist_ms)
		watch->can_resume = false;
	if (watch->can_resume)
		watch->call = plat_poll_events(
			watch, watch->client, watch->prefix, watch->revision,
			WATCH_LONG_POLL_MS, handle_events, watch);
	else
		watch->call =
			plat_list_objects(watch, watch->client, watch->prefix,
					  handle_list, watch);
}

static int destroy_watch(struct plat_watch *watch)
{
	g_queue_remove(&plat_get_eras(watch->client)->watches, watch);
	plat_leave_outage(watch->client, watch);
	return 0;
}

void plat_restart_watch(struct plat_watch *watch)
{
	watch->is_parked = false;
	start_timer(watch,
		    plat_choose_jitter_ms(
			    plat_get_random(watch->client),
			    plat_get_options(watch->client)->start_jitter_ms));
}

struct plat_watch *plat_watch_prefix(TALLOC_CTX *ctx,
				     struct plat_client *client,
				     const char *prefix, plat_watch_fn fn,
				     void *data)
{
	struct plat_watch *watch = talloc_zero(ctx, struct plat_watch);

	watch->client = client;
	watch->prefix = talloc_strdup(watch, prefix);
	watch->fn = fn;
	watch->data = data;
	talloc_set_destructor(watch, destroy_watch);
	g_queue_push_tail(&plat_get_eras(client)->watches, watch);
	plat_start_backoff(&watch->backoff,
			   plat_get_options(client)->retry_wait_ms_max);
	start_timer(watch, plat_choose_jitter_ms(
				   plat_get_random(client),
				   plat_get_options(client)->start_jitter_ms));
	return watch;
}

void plat_pause_watch(struct plat_watch *watch)
{
	TALLOC_FREE(watch->call);
	TALLOC_FREE(watch->timer);
	plat_leave_outage(watch->client, watch);
	watch->is_parked = false;
	watch->is_paused = true;
}

void plat_resume_watch(struct plat_watch *watch)
{
	if (!watch->is_paused)
		return;
	watch->is_paused = false;
	watch->can_resume = false;
	watch->quick_poll_count = 0;
	plat_reset_backoff(&watch->backoff);
	start_timer(watch, 0);
}

void plat_forget_watch_state(struct plat_watch *watch)
{
	bool is_polling = watch->call && watch->can_resume;

	watch->can_resume = false;
	watch->newest_revision = 0;
	watch->quick_poll_count = 0;
	if (!is_polling)
		return;
	TALLOC_FREE(watch->call);
	start_timer(watch, 0);
}

void plat_relist_watch(struct plat_watch *watch)
{
	if (!watch->call || !watch->can_resume)
		return;
	watch->can_resume = false;
	TALLOC_FREE(watch->call);
	start_timer(watch, 0);
}
