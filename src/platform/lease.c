/*
 * Competitor for a lease: sends the reads and writes that lease_state.c plans.
 *
 * The value of the lease object is {write_id, holder, duration_ms}; holder is
 * "" after the lease was released. The object is never deleted, so that its
 * version, the fencing token of the holders, never starts again.
 *
 * Invariant: call is set while a read or write is in progress, otherwise timer.
 */
#include "client.h"

#include <assert.h>
#include <string.h>
#include "lease_state.h"
#include "loom/error.h"

/* The time limit of a call is this part of the lease duration. */
#define LEASE_CALL_LIMIT_DIVISOR 3U

struct plat_lease {
	struct plat_client *client;
	char *key;
	char *holder;
	plat_lease_fn fn;
	void *data;
	struct plat_lease_state state;
	struct plat_lease_plan plan;
	char *write_id; /* id of the last write */
	struct plat_call *call;
	struct tmr_subscription *timer;
	struct tmr_subscription *tenure_end_timer;
	struct plat_era_subscription *eras;
	bool is_reported_held;
	uint64_t reported_version;
};

static uint64_t get_now_ms(const struct plat_lease *lease)
{
	return tmr_get_now_ms(plat_get_timers(lease->client));
}

/* Calls fn if the lease was acquired or lost; fn may free the lease. */
static void notify_owner(struct plat_lease *lease)
{
	bool is_held = plat_is_held_at(&lease->state, get_now_ms(lease));
	uint64_t version = is_held ? lease->state.fencing_version : 0;

	if (is_held == lease->is_reported_held &&
	    version == lease->reported_version)
		return;
	lease->is_reported_held = is_held;
	lease->reported_version = version;
	lease->fn(is_held, version, lease->data);
}

static void handle_tenure_end(uint64_t now_ms, void *data)
{
	struct plat_lease *lease = data;

	lease->tenure_end_timer = NULL;
	notify_owner(lease);
}

static void set_tenure_end_timer(struct plat_lease *lease, uint64_t now_ms)
{
	TALLOC_FREE(lease->tenure_end_timer);
	if (!plat_is_held_at(&lease->state, now_ms))
		return;
	lease->tenure_end_timer = tmr_subscribe_once(
		lease, plat_get_timers(lease->client),
		(uint32_t)(lease->state.valid_until_ms - now_ms),
		handle_tenure_end, lease);
}

static void run_planned_action(uint64_t now_ms, void *data);

/* Called after each event: schedules the next read or write, notifies the
 * owner. */
static void schedule_next_action(struct plat_lease *lease)
{
	uint64_t now_ms = get_now_ms(lease);

	lease->plan = plat_plan_lease(&lease->state, now_ms,
				      plat_get_random(lease->client));
	set_tenure_end_timer(lease, now_ms);
	lease->timer = tmr_subscribe_once(lease, plat_get_timers(lease->client),
					  lease->plan.delay_ms,
					  run_planned_action, lease);
	notify_owner(lease);
}

static const char *get_text(const json_t *value, const char *name)
{
	const char *text = json_string_value(json_object_get(value, name));

	return text ? text : "";
}

static void parse_view(const struct plat_lease *lease,
		       const struct plat_object *object,
		       struct plat_lease_view *view)
{
	const json_t *duration = json_object_get(object->value, "duration_ms");

	view->version = object->version;
	view->is_free = *get_text(object->value, "holder") == '\0';
	view->is_own =
		lease->write_id && strcmp(get_text(object->value, "write_id"),
					  lease->write_id) == 0;
	view->is_holder =
		strcmp(get_text(object->value, "holder"), lease->holder) == 0;
	view->duration_ms = (uint32_t)CLAMP(json_integer_value(duration), 0,
					    (json_int_t)G_MAXINT32);
}

static void handle_read(const struct plat_result *result, void *data)
{
	struct plat_lease *lease = data;
	struct plat_lease_view view = { .is_free = true };

	lease->call = NULL;
	view.has_era = plat_is_era_known(lease->client);
	view.era = plat_get_era(lease->client);
	if (!result->error)
		parse_view(lease, &result->objects[0], &view);
	if (!result->error ||
	    g_error_matches(result->error, ERR_DOMAIN, ERR_NOT_FOUND))
		plat_note_lease_read(&lease->state, &view, get_now_ms(lease));
	else
		plat_note_lease_failure(&lease->state, false);
	schedule_next_action(lease);
}

static void handle_written(const struct plat_result *result, void *data)
{
	struct plat_lease *lease = data;
	uint64_t now_ms = get_now_ms(lease);

	lease->call = NULL;
	/* The condition of the write was read in another era. */
	if (!result->error && result->era != lease->state.era)
		plat_note_lease_failure(&lease->state, true);
	else if (!result->error)
		plat_note_lease_written(&lease->state, result->version, now_ms);
	else if (g_error_matches(result->error, ERR_DOMAIN, ERR_CONFLICT))
		plat_note_lease_conflict(&lease->state, result->version,
					 now_ms);
	else
		plat_note_lease_failure(&lease->state,
					g_error_matches(result->error,
							ERR_DOMAIN,
							ERR_UNKNOWN_OUTCOME));
	schedule_next_action(lease);
}

static json_t *make_value(const struct plat_lease *lease, const char *holder)
{
	return json_pack("{s:s, s:s, s:I}", "write_id", lease->write_id,
			 "holder", holder, "duration_ms",
			 (json_int_t)lease->state.duration_ms);
}

static void new_write_id(struct plat_lease *lease)
{
	talloc_free(lease->write_id);
	lease->write_id =
		plat_make_write_id(lease, lease->client, lease->holder);
}

static void send_write(struct plat_lease *lease)
{
	json_t *value;

	new_write_id(lease);
	value = make_value(lease, lease->holder);
	/* The lease duration counts from before the first try is sent. */
	plat_note_lease_sent(&lease->state, get_now_ms(lease));
	lease->call = plat_put_object(lease, lease->client, lease->key, value,
				      lease->plan.expected_version,
				      handle_written, lease);
	json_decref(value);
}

static void run_planned_action(uint64_t now_ms, void *data)
{
	struct plat_lease *lease = data;

	assert(!lease->call);
	lease->timer = NULL;
	switch (lease->plan.action) {
	case PLAT_LEASE_WRITE:
		send_write(lease);
		break;
	case PLAT_LEASE_READ:
		lease->call = plat_get_object(lease, lease->client, lease->key,
					      handle_read, lease);
		break;
	}
	plat_set_time_limit(lease->call, lease->state.duration_ms /
						 LEASE_CALL_LIMIT_DIVISOR);
}

/*
 * The store may have lost the lease: this competitor reads it at once. A call
 * in progress fails or returns the state of the new era.
 */
static void handle_era(uint64_t era, void *data)
{
	struct plat_lease *lease = data;

	plat_note_lease_era(&lease->state, get_now_ms(lease));
	TALLOC_FREE(lease->tenure_end_timer);
	/* The owner must not be called from within the client. */
	lease->tenure_end_timer =
		tmr_subscribe_once(lease, plat_get_timers(lease->client), 0,
				   handle_tenure_end, lease);
	if (lease->call)
		return;
	TALLOC_FREE(lease->timer);
	lease->plan = (struct plat_lease_plan){ .action = PLAT_LEASE_READ };
	lease->timer = tmr_subscribe_once(lease, plat_get_timers(lease->client),
					  0, run_planned_action, lease);
}

static void ignore_result(const struct plat_result *result, void *data)
{
}

/* Releases a held lease by a last write, which is owned by the client. */
static int destroy_lease(struct plat_lease *lease)
{
	json_t *value;

	if (!plat_is_held_at(&lease->state, get_now_ms(lease)))
		return 0;
	new_write_id(lease);
	value = make_value(lease, "");
	plat_put_object(lease->client, lease->client, lease->key, value,
			lease->state.version, ignore_result, NULL);
	json_decref(value);
	return 0;
}

struct plat_lease *plat_compete_for_lease(TALLOC_CTX *ctx,
					  struct plat_client *client,
					  const char *key, const char *holder,
					  uint32_t duration_ms,
					  plat_lease_fn fn, void *data)
{
	struct plat_lease *lease = talloc_zero(ctx, struct plat_lease);

	assert(*holder != '\0');
	assert(duration_ms >= PLAT_LEASE_DURATION_MS_MIN);
	lease->client = client;
	lease->key = talloc_strdup(lease, key);
	lease->holder = talloc_strdup(lease, holder);
	lease->fn = fn;
	lease->data = data;
	plat_start_lease(&lease->state, duration_ms);
	talloc_set_destructor(lease, destroy_lease);
	lease->eras = plat_subscribe_era(lease, client, handle_era, lease);
	lease->plan.action = PLAT_LEASE_READ;
	/* Spreads the first reads of competitors that start together. */
	lease->timer = tmr_subscribe_once(
		lease, plat_get_timers(client),
		plat_choose_jitter_ms(plat_get_random(client),
				      duration_ms / LEASE_CALL_LIMIT_DIVISOR),
		run_planned_action, lease);
	return lease;
}

bool plat_is_lease_held(const struct plat_lease *lease)
{
	return plat_is_held_at(&lease->state, get_now_ms(lease));
}

uint64_t plat_get_fencing_version(const struct plat_lease *lease)
{
	return plat_is_lease_held(lease) ? lease->state.fencing_version : 0;
}
