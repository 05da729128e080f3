/*
 * Refused callers that return: records, promises and their bound.
 *
 * In a lasting overload each place that is given to a returned caller, who is
 * mostly late already, is taken from one who could still be served within the
 * objective. So the times that are promised to callers of a service are at
 * least so far apart that they are PROMISE_SHARE of the rate at which its calls
 * are answered here, and a time is only promised if the answer can be there
 * within the objective. A caller gets at most one promise.
 *
 * Invariants: order and by_deadline have the same records, at most RECORDS_MAX.
 * by_deadline is sorted by key and deadline, order by the time of the refusal.
 */
#include "loom/returns.h"

#include <glib.h>

#define RECORDS_MAX 4096U
/* Network delay, and with it the deadline that is read, varies by so much. */
#define MATCH_MS 25U
/* A caller that comes so much earlier than expected counts as on time. */
#define EARLY_MS 20U
#define WAIT_MIN_MS 50U
/* A caller honours Retry-After up to this part of the time that it has left. */
#define HONOURED_PART 3U
/* One call promised for so many calls answered. */
#define PROMISE_SHARE 16U
/*
 * Time to allow for after a return, in run times: gates expect a call that may
 * have to wait to run half as long again as the mean, and a slot is not free at
 * once.
 */
#define RUN_FACTOR 2U
/* The rate of answers is counted over the last slices. */
#define SLICE_MS 250U
#define SLICE_COUNT 8U

struct record {
	uint64_t key;
	uint64_t deadline_ms;
	uint32_t left_ms; /* as told by the last attempt */
	uint64_t first_ms;
	uint64_t told_ms;
	bool is_promised;
	GList *place; /* in order */
	GSequenceIter *position;
};

struct service {
	uint32_t answers[SLICE_COUNT];
	uint64_t slice_number; /* slice of the last event */
	uint64_t promised_ms;  /* the last time that was promised; 0: none */
};

struct rt_returns {
	GQueue order; /* of struct record, owned; the oldest first */
	GSequence *by_deadline;
	GHashTable *services; /* name to struct service */
};

const char *rt_get_return_name(enum rt_return_kind kind)
{
	switch (kind) {
	case RT_RETURN_NONE:
		return "none";
	case RT_RETURN_EARLY:
		return "early";
	case RT_RETURN_PROMISED:
		return "promised";
	case RT_RETURN_UNPROMISED:
		return "unpromised";
	}
	return "unknown";
}

static int destroy_returns(struct rt_returns *returns)
{
	g_sequence_free(returns->by_deadline);
	g_queue_clear_full(&returns->order, g_free);
	g_hash_table_destroy(returns->services);
	return 0;
}

struct rt_returns *rt_new_returns(TALLOC_CTX *ctx)
{
	struct rt_returns *returns = talloc_zero(ctx, struct rt_returns);

	g_queue_init(&returns->order);
	returns->by_deadline = g_sequence_new(NULL);
	returns->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	talloc_set_destructor(returns, destroy_returns);
	return returns;
}

uint32_t rt_count_returns(const struct rt_returns *returns)
{
	return g_queue_get_length((GQueue *)&returns->order);
}

static gint compare_records(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct record *left = a;
	const struct record *right = b;

	if (left->key != right->key)
		return left->key < right->key ? -1 : 1;
	if (left->deadline_ms != right->deadline_ms)
		return left->deadline_ms < right->deadline_ms ? -1 : 1;
	return 0;
}

static void remove_record(struct rt_returns *returns, struct record *record)
{
	g_queue_delete_link(&returns->order, record->place);
	g_sequence_remove(record->position);
	g_free(record);
}

/* Makes room for a record. Returns whether a promise was dropped. */
static bool drop_old_records(struct rt_returns *returns, uint64_t now_ms)
{
	struct record *oldest = g_queue_peek_head(&returns->order);
	bool is_dropped;

	while (oldest && oldest->deadline_ms <= now_ms) {
		remove_record(returns, oldest);
		oldest = g_queue_peek_head(&returns->order);
	}
	if (!oldest || rt_count_returns(returns) < RECORDS_MAX)
		return false;
	is_dropped = oldest->is_promised;
	remove_record(returns, oldest);
	return is_dropped;
}

static void add_record(struct rt_returns *returns, const struct record *values)
{
	struct record *record = g_memdup2(values, sizeof(*values));

	g_queue_push_tail(&returns->order, record);
	record->place = returns->order.tail;
	record->position = g_sequence_insert_sorted(
		returns->by_deadline, record, compare_records, NULL);
}

static uint64_t get_deadline_ms(const struct rt_arrival *arrival)
{
	return arrival->received_ms + arrival->left_ms;
}

static uint64_t get_difference(uint64_t a, uint64_t b)
{
	return a > b ? a - b : b - a;
}

/*
 * Returns the record with the nearest deadline, or NULL. The remaining time of
 * a returned caller has shrunk while its deadline has stayed. A fresh caller
 * that comes within MATCH_MS of a refused one has about the remaining time that
 * the refused one had, so the change of the remaining time tells them apart.
 */
static struct record *find_record(const struct rt_returns *returns,
				  const struct rt_arrival *arrival)
{
	uint64_t deadline_ms = get_deadline_ms(arrival);
	struct record first = {
		.key = arrival->key,
		.deadline_ms = deadline_ms - MIN(deadline_ms, MATCH_MS + 1),
	};
	GSequenceIter *position = g_sequence_search(
		returns->by_deadline, &first, compare_records, NULL);
	struct record *nearest = NULL;
	uint64_t nearest_ms = MATCH_MS + 1;

	for (; !g_sequence_iter_is_end(position);
	     position = g_sequence_iter_next(position)) {
		struct record *record = g_sequence_get(position);
		uint64_t apart_ms =
			get_difference(record->deadline_ms, deadline_ms);

		if (record->key != arrival->key ||
		    record->deadline_ms > deadline_ms + MATCH_MS)
			break;
		if (apart_ms < nearest_ms &&
		    arrival->left_ms + apart_ms < record->left_ms) {
			nearest = record;
			nearest_ms = apart_ms;
		}
	}
	return nearest;
}

struct rt_return rt_take_return(struct rt_returns *returns,
				const struct rt_arrival *arrival)
{
	struct record *record =
		arrival->left_ms ? find_record(returns, arrival) : NULL;
	struct rt_return returned = { .kind = RT_RETURN_NONE };

	if (!record)
		return returned;
	returned.first_ms = record->first_ms;
	returned.due_ms = record->first_ms + arrival->objective_ms;
	returned.is_late = arrival->received_ms + arrival->run_us / 1000 >=
			   returned.due_ms;
	returned.told_ms = record->told_ms;
	returned.is_promised = record->is_promised;
	if (arrival->received_ms + EARLY_MS < record->told_ms)
		returned.kind = RT_RETURN_EARLY;
	else
		returned.kind = record->is_promised ? RT_RETURN_PROMISED
						    : RT_RETURN_UNPROMISED;
	remove_record(returns, record);
	return returned;
}

bool rt_needs_idle_target(const struct rt_return *returned)
{
	switch (returned->kind) {
	case RT_RETURN_NONE:
	case RT_RETURN_PROMISED:
		return false;
	case RT_RETURN_EARLY:
		return true;
	case RT_RETURN_UNPROMISED:
		return returned->is_late;
	}
	return false;
}

static struct service *get_service(struct rt_returns *returns, const char *name)
{
	struct service *service = g_hash_table_lookup(returns->services, name);

	if (service)
		return service;
	service = g_new0(struct service, 1);
	g_hash_table_insert(returns->services, g_strdup(name), service);
	return service;
}

static void move_slices(struct service *service, uint64_t now_ms)
{
	uint64_t number = now_ms / SLICE_MS;

	if (number > service->slice_number + SLICE_COUNT)
		service->slice_number = number - SLICE_COUNT;
	while (service->slice_number < number) {
		service->slice_number++;
		service->answers[service->slice_number % SLICE_COUNT] = 0;
	}
}

void rt_record_service_answer(struct rt_returns *returns, const char *service,
			      uint64_t now_ms)
{
	struct service *known = get_service(returns, service);

	move_slices(known, now_ms);
	known->answers[now_ms / SLICE_MS % SLICE_COUNT]++;
}

/*
 * Promises the next free time that is between least_ms and most_ms. Returns it,
 * or 0 when there is none.
 */
static uint64_t promise_time(struct service *service, uint64_t least_ms,
			     uint64_t most_ms, uint64_t now_ms)
{
	uint64_t time_ms = least_ms;
	uint64_t answers = 0;

	move_slices(service, now_ms);
	for (uint32_t i = 0; i < SLICE_COUNT; i++)
		answers += service->answers[i];
	if (answers == 0)
		return 0;
	/* By the present rate, not by that at the last promise. */
	if (service->promised_ms > 0)
		time_ms = MAX(time_ms, service->promised_ms +
					       (uint64_t)PROMISE_SHARE *
						       SLICE_MS * SLICE_COUNT /
						       answers);
	if (time_ms > most_ms)
		return 0;
	service->promised_ms = time_ms;
	return time_ms;
}

/* Returns how long the caller waits at most, whatever it is told. */
static uint64_t get_honoured_ms(const struct record *record, uint64_t now_ms)
{
	return (record->deadline_ms - now_ms) / HONOURED_PART;
}

/* Returns the last time of a return that can be answered in time. */
static uint64_t get_latest_ms(const struct rt_arrival *arrival)
{
	uint64_t due_ms = arrival->received_ms + arrival->objective_ms;
	uint64_t needed_ms =
		(uint64_t)RUN_FACTOR * arrival->run_us / 1000 + MATCH_MS;

	return due_ms - MIN(due_ms, needed_ms);
}

/* Decides what a caller is told that was not refused before. */
static void decide_first_return(struct rt_returns *returns, const char *service,
				const struct rt_arrival *arrival,
				struct record *record, uint64_t now_ms)
{
	uint64_t honoured_ms = now_ms + get_honoured_ms(record, now_ms);
	uint64_t time_ms = promise_time(
		get_service(returns, service), now_ms + WAIT_MIN_MS,
		MIN(honoured_ms, get_latest_ms(arrival)), now_ms);

	record->is_promised = time_ms > 0;
	record->told_ms = time_ms > 0 ? time_ms : honoured_ms;
}

/* A caller without a promise is told a time after its deadline. */
static uint32_t get_wait_ms(const struct record *record, uint64_t now_ms)
{
	uint64_t until_ms = record->is_promised
				    ? record->told_ms
				    : record->deadline_ms + WAIT_MIN_MS;

	return (uint32_t)MIN(MAX(until_ms, now_ms + WAIT_MIN_MS) - now_ms,
			     UINT32_MAX);
}

struct rt_advice rt_record_refusal(struct rt_returns *returns,
				   const char *service,
				   const struct rt_arrival *arrival,
				   const struct rt_return *returned,
				   uint64_t now_ms)
{
	struct rt_advice advice = { .wait_ms = WAIT_MIN_MS };
	struct record record = {
		.key = arrival->key,
		.deadline_ms = get_deadline_ms(arrival),
		.left_ms = arrival->left_ms,
		.first_ms = returned->first_ms,
	};

	if (record.deadline_ms <= now_ms)
		return advice;
	advice.is_dropped = drop_old_records(returns, now_ms);
	switch (returned->kind) {
	case RT_RETURN_NONE:
		record.first_ms = arrival->received_ms;
		decide_first_return(returns, service, arrival, &record, now_ms);
		advice.is_promise = record.is_promised;
		break;
	case RT_RETURN_EARLY:
		record.told_ms = returned->told_ms;
		record.is_promised = returned->is_promised;
		break;
	case RT_RETURN_PROMISED:
	case RT_RETURN_UNPROMISED:
		record.told_ms = now_ms + get_honoured_ms(&record, now_ms);
		break;
	}
	add_record(returns, &record);
	advice.wait_ms = get_wait_ms(&record, now_ms);
	return advice;
}
