/*
 * Departures of the local target, which outlive the process.
 *
 * The newest instance that has announced that it leaves is kept in the store.
 * While the store does not take it, other nodes keep it (replicas.h). Its
 * announcement is acknowledged when one of them has it; after
 * ACKNOWLEDGE_MS_MAX without that it is refused. A node that has started reads
 * it before it accepts a target: a heartbeat that was sent before the departure
 * may arrive at a process that was started after it.
 *
 * Invariants: is_busy is true exactly while a call to the store is in progress
 * or due. held is set only while is_known is false. is_stored concerns the
 * instance in nd_node. waiters is empty unless a departure is to be stored.
 */
#include <string.h>
#include "internal.h"
#include "loom/error.h"
#include "loom/log.h"
#include "replicas.h"

#define KEY_PREFIX "loom-departures/"
/* Heartbeats have to be acknowledged within a second. */
#define ACKNOWLEDGE_MS_MAX 600U
/* The store answers sooner unless it is out. */
#define REPLICATE_DELAY_MS 150U
#define RETRY_MS 1000U
/*
 * When the store does not answer for this time, or has not answered at once, a
 * target counts as running if it has sent a further heartbeat since.
 */
#define READ_MS_MAX 1000U

struct waiter {
	struct nd_node *node;
	nd_acknowledge_fn fn;
	void *data;
	struct tmr_subscription *timer;
	GList link;
};

static void read_departure(struct nd_node *node);

/* Remembers the departure that the store has, in case it loses it. */
static void set_stored(struct nd_departures *departures, TALLOC_CTX *ctx,
		       const char *id, uint64_t started_ms)
{
	char *copy = talloc_strdup(ctx, id);

	talloc_free(departures->stored_id);
	departures->stored_id = copy;
	departures->stored_started_ms = started_ms;
	departures->is_lost = false;
}

static char *make_key(TALLOC_CTX *ctx, const struct nd_node *node)
{
	return talloc_asprintf(ctx, KEY_PREFIX "%s", node->settings->address);
}

static int destroy_waiter(struct waiter *waiter)
{
	g_queue_unlink(&waiter->node->departures.waiters, &waiter->link);
	return 0;
}

/* Counts an answer to an announcement that waited; kept_by is a label value. */
static void record_answer(struct nd_node *node, const char *kept_by)
{
	char *labels = talloc_asprintf(node, "kept_by=\"%s\"", kept_by);

	log_write(LOG_LEVEL_INFO, "node", "acknowledge departure",
		  node->instance.id, "announcement is answered", "kept_by",
		  kept_by, LOG_END);
	cnt_add(cnt_get_counter(node->counters, CNT_KIND_COUNTER,
				"loom_node_departures_answered_total", labels,
				"Answers to announced departures, by where the "
				"departure is kept."),
		1);
	talloc_free(labels);
}

static void answer(struct waiter *waiter, bool is_kept)
{
	waiter->fn(is_kept, waiter->data);
	talloc_free(waiter);
}

static void handle_wait_timeout(uint64_t due_ms, void *data)
{
	struct waiter *waiter = data;
	struct nd_node *node = waiter->node;
	bool is_kept = nd_count_replicas(node->replicas) > 0;

	waiter->timer = NULL;
	record_answer(node, is_kept ? "nodes" : "none");
	answer(waiter, is_kept);
}

static void handle_store_delay(uint64_t due_ms, void *data)
{
	struct waiter *waiter = data;
	struct nd_node *node = waiter->node;

	waiter->timer = tmr_subscribe_once(
		waiter, node->timers, ACKNOWLEDGE_MS_MAX - REPLICATE_DELAY_MS,
		handle_wait_timeout, waiter);
	nd_replicate_departure(node->replicas);
}

static void acknowledge_all(struct nd_node *node, const char *kept_by)
{
	while (node->departures.waiters.head) {
		record_answer(node, kept_by);
		answer(node->departures.waiters.head->data, true);
	}
}

void nd_handle_replica(struct nd_node *node)
{
	if (nd_is_replicated(node->replicas))
		acknowledge_all(node, "nodes");
}

static void handle_retry(uint64_t due_ms, void *data)
{
	read_departure(data);
}

/* What the store has is not known after a failure, so it is read again. */
static void retry_later(struct nd_node *node, const GError *error)
{
	log_write_error(LOG_LEVEL_WARNING, "node", error);
	node->departures.is_doubtful |= !node->departures.is_known;
	nd_replicate_departure(node->replicas);
	node->departures.is_busy = true;
	tmr_subscribe_once(node, node->timers, RETRY_MS, handle_retry, node);
}

static void handle_written(const struct plat_result *result, void *data)
{
	struct nd_node *node = data;
	struct nd_departures *departures = &node->departures;

	departures->is_busy = false;
	if (result->error &&
	    g_error_matches(result->error, ERR_DOMAIN, ERR_CONFLICT)) {
		read_departure(node);
		return;
	}
	if (result->error) {
		retry_later(node, result->error);
		return;
	}
	departures->version = result->version;
	set_stored(departures, node, departures->written_id,
		   departures->written_ms);
	/* Another instance may have followed meanwhile. */
	if (departures->written_ms != node->instance.started_ms) {
		nd_store_departure(node);
		return;
	}
	departures->is_stored = true;
	log_write(LOG_LEVEL_INFO, "node", "store departure", node->instance.id,
		  "departure is stored", LOG_END);
	acknowledge_all(node, "store");
}

static void write_departure(struct nd_node *node, const char *id,
			    uint64_t started_ms)
{
	struct nd_departures *departures = &node->departures;
	TALLOC_CTX *scratch = talloc_new(node);
	json_t *value =
		json_pack("{s:s,s:I,s:s}", "instance", id, "started_ms",
			  (json_int_t)started_ms, "write_id",
			  plat_make_write_id(scratch, node->platform, id));
	char *written_id = talloc_strdup(node, id);

	if (departures->is_lost)
		nd_record_rewrite(node, "departure", id);
	talloc_free(departures->written_id);
	departures->written_id = written_id;
	departures->is_busy = true;
	departures->written_ms = started_ms;
	plat_put_object(node, node->platform, make_key(scratch, node), value,
			departures->version, handle_written, node);
	json_decref(value);
	talloc_free(scratch);
}

/* Returns whether an instance that started later than a departed one is known.
 */
static bool is_superseded(const struct nd_node *node, uint64_t started_ms)
{
	return node->instance.id && node->instance.started_ms > started_ms;
}

/* Has the target leave, unless that is known. source names who knows it. */
static void set_left(struct nd_node *node, const char *id, uint64_t started_ms,
		     const char *source)
{
	struct nd_instance *known = &node->instance;

	if (known->id && known->is_leaving && known->started_ms == started_ms)
		return;
	log_write(LOG_LEVEL_INFO, "node", "read departure", id,
		  "instance left before this start", "source", source, LOG_END);
	talloc_free(known->id);
	*known = (struct nd_instance){
		.id = talloc_strdup(node, id),
		.started_ms = started_ms,
		.is_leaving = true,
	};
	nd_drain_target(node);
}

/* Adopts a departure from the store, unless a later instance is known. */
static void apply_stored(struct nd_node *node, const char *id,
			 uint64_t started_ms)
{
	if (is_superseded(node, started_ms))
		return;
	set_left(node, id, started_ms, "store");
	node->departures.is_stored = true;
}

void nd_adopt_departure(struct nd_node *node, const char *instance,
			uint64_t started_ms)
{
	if (is_superseded(node, started_ms) ||
	    (node->instance.is_leaving &&
	     node->instance.started_ms == started_ms))
		return;
	node->departures.is_stored = false;
	set_left(node, instance, started_ms, "node");
	nd_store_departure(node);
}

static void read_stored(struct nd_node *node, const struct plat_object *object)
{
	const char *id =
		json_string_value(json_object_get(object->value, "instance"));
	json_int_t started_ms = json_integer_value(
		json_object_get(object->value, "started_ms"));

	node->departures.version = object->version;
	if (node->departures.is_lost &&
	    (uint64_t)started_ms < node->departures.stored_started_ms)
		return;
	if (id && started_ms > 0)
		set_stored(&node->departures, node, id, (uint64_t)started_ms);
	if (id && started_ms > 0)
		apply_stored(node, id, (uint64_t)started_ms);
	else
		log_write(LOG_LEVEL_WARNING, "node", "read departure",
			  object->key, "departure is invalid", LOG_END);
}

static void set_known(struct nd_node *node)
{
	struct nd_departures *departures = &node->departures;
	struct nd_heartbeat *held = departures->held;

	/*
	 * The store may have been out when the target left, and a heartbeat
	 * that was held may be from before that; nd_hold_heartbeat() waits for
	 * a further one.
	 */
	if (departures->is_doubtful)
		return;
	departures->is_known = true;
	departures->held = NULL;
	if (held)
		nd_handle_heartbeat(node, held);
	talloc_free(held);
}

static void handle_read(const struct plat_result *result, void *data)
{
	struct nd_node *node = data;
	struct nd_departures *departures = &node->departures;
	bool is_absent =
		g_error_matches(result->error, ERR_DOMAIN, ERR_NOT_FOUND);

	departures->is_busy = false;
	if (result->error && !is_absent) {
		retry_later(node, result->error);
		return;
	}
	departures->is_doubtful |=
		!departures->is_known && result->retry_count > 0;
	departures->version = 0;
	departures->is_stored = false;
	if (!is_absent && result->object_count > 0)
		read_stored(node, &result->objects[0]);
	if (!departures->is_known)
		set_known(node);
	if (departures->is_stored)
		acknowledge_all(node, "store");
	else
		nd_store_departure(node);
}

static void read_departure(struct nd_node *node)
{
	TALLOC_CTX *scratch = talloc_new(node);

	node->departures.is_busy = true;
	plat_get_object(node, node->platform, make_key(scratch, node),
			handle_read, node);
	talloc_free(scratch);
}

void nd_open_departures(struct nd_node *node)
{
	g_queue_init(&node->departures.waiters);
	read_departure(node);
}

void nd_check_departure(struct nd_node *node)
{
	if (!node->departures.is_busy)
		read_departure(node);
}

void nd_store_departure(struct nd_node *node)
{
	struct nd_departures *departures = &node->departures;
	const struct nd_instance *left = &node->instance;

	if (departures->is_busy)
		return;
	if (left->id && left->is_leaving)
		write_departure(node, left->id, left->started_ms);
	else if (departures->is_lost)
		write_departure(node, departures->stored_id,
				departures->stored_started_ms);
}

static void hold_heartbeat(struct nd_node *node,
			   const struct nd_heartbeat *heartbeat)
{
	struct nd_heartbeat *held = talloc(node, struct nd_heartbeat);

	talloc_free(node->departures.held);
	*held = *heartbeat;
	held->instance = talloc_strdup(held, heartbeat->instance);
	held->service = talloc_strdup(held, heartbeat->service);
	held->version = talloc_strdup(held, heartbeat->version);
	held->address = talloc_strdup(held, heartbeat->address);
	node->departures.held = held;
}

bool nd_hold_heartbeat(struct nd_node *node,
		       const struct nd_heartbeat *heartbeat)
{
	struct nd_departures *departures = &node->departures;
	const struct nd_heartbeat *held = departures->held;
	uint64_t now_ms = tmr_get_now_ms(node->timers);

	if (departures->is_known || heartbeat->is_leaving)
		return false;
	if (!held || strcmp(held->instance, heartbeat->instance) != 0) {
		departures->held_ms = now_ms;
		hold_heartbeat(node, heartbeat);
		return true;
	}
	if (heartbeat->sequence <= held->sequence)
		return true;
	if (now_ms < departures->held_ms + READ_MS_MAX) {
		hold_heartbeat(node, heartbeat);
		return true;
	}
	log_write(
		LOG_LEVEL_WARNING, "node", "read departure",
		heartbeat->instance,
		departures->is_busy
			? "heartbeat is accepted before the store has answered"
			: "heartbeat is accepted, the store was out at the "
			  "start",
		LOG_END);
	departures->is_known = true;
	TALLOC_FREE(departures->held);
	return false;
}

void nd_await_departure(struct nd_node *node, nd_acknowledge_fn fn, void *data)
{
	struct waiter *waiter;

	if (!node->instance.is_leaving || node->departures.is_stored ||
	    nd_is_replicated(node->replicas)) {
		fn(true, data);
		return;
	}
	waiter = talloc_zero(node, struct waiter);
	waiter->node = node;
	waiter->fn = fn;
	waiter->data = data;
	waiter->link.data = waiter;
	g_queue_push_tail_link(&node->departures.waiters, &waiter->link);
	talloc_set_destructor(waiter, destroy_waiter);
	waiter->timer =
		tmr_subscribe_once(waiter, node->timers, REPLICATE_DELAY_MS,
				   handle_store_delay, waiter);
}
