/*
 * Schedule of reports.
 *
 * A receiver that was last told that the target has room is in queue 0, one
 * that was told that it is full in queue 1. Both queues are in the order of the
 * last report, since a receiver joins the tail when it is sent one. So the
 * receivers that do not know about a change between room and full are one whole
 * queue, and those who have waited longest are at its head; a choice takes
 * constant time.
 *
 * A new receiver counts as told when its call arrives: the answer to the call
 * carries the load.
 *
 * Invariant: by_peer and the queues hold the same receivers.
 */
#include "schedule.h"

#include <string.h>
#include <glib.h>
#include "key.h"

/* A node that has sent no call for this long gets no more reports. */
#define CALLER_LIFE_MS 1000U
/* Least time between two reports to a receiver. */
#define RECEIVER_GAP_MS 50U
/* The same when nothing has changed; shows that the sender lives. */
#define UNCHANGED_GAP_MS 500U
/*
 * The sums of burst and rate bound the datagrams of any one second to 200. The
 * rates keep the traffic of a node with its membership messages (2.7 kB/s)
 * below 15 kB/s: 150 datagrams of 76 bytes with IP and UDP headers are 11.4
 * kB/s.
 *
 * Asks and their answers have tokens of their own. A target with more than
 * seven callers always has reports to send, so that nothing of one common
 * bucket was ever left for asks, and no call left its failure domain. What
 * asks do not use goes to reports.
 */
#define REPORTS_PER_S 125U
#define REPORTS_BURST 40U
#define ASKS_PER_S 25U
#define ASKS_BURST 10U
/* One wake-up serves all receivers that became due within this time. */
#define BATCH_GAP_MS 20U
/* The same for a change between room and full. */
#define URGENT_BATCH_GAP_MS 5U
/* A batch begins with this many tokens at least, for fewer wake-ups. */
#define BATCH_TOKENS 3U

struct bucket {
	uint64_t rate_per_s;
	uint64_t burst;
	uint64_t millitokens;
	uint64_t refilled_ms;
};

struct receiver {
	struct load_peer peer;
	gint64 key;
	uint64_t called_ms;
	uint64_t sent_ms;
	uint64_t told_change; /* value of change that it knows */
	GList link;	      /* of a queue of the schedule */
	GQueue *queue;
};

struct load_schedule {
	struct rt_load load;
	bool is_full;
	uint64_t change; /* number of changes of the load */
	GHashTable *by_peer;
	GQueue queues[2]; /* indexed by what the receiver was told: is full */
	struct bucket reports;
	struct bucket asks; /* and their answers */
	uint64_t batch_ms;  /* last batch */
};

static void set_up_bucket(struct bucket *bucket, uint64_t rate_per_s,
			  uint64_t burst, uint64_t now_ms)
{
	bucket->rate_per_s = rate_per_s;
	bucket->burst = burst;
	bucket->millitokens = burst * 1000;
	bucket->refilled_ms = now_ms;
}

/* Returns the millitokens that did not fit into the bucket. */
static uint64_t add_millitokens(struct bucket *bucket, uint64_t millitokens)
{
	uint64_t sum = bucket->millitokens + millitokens;

	bucket->millitokens = MIN(sum, bucket->burst * 1000);
	return sum - bucket->millitokens;
}

static uint64_t refill_bucket(struct bucket *bucket, uint64_t now_ms)
{
	uint64_t elapsed_ms = now_ms - bucket->refilled_ms;

	bucket->refilled_ms = now_ms;
	return add_millitokens(bucket, elapsed_ms * bucket->rate_per_s);
}

static bool take_token(struct bucket *bucket)
{
	if (bucket->millitokens < 1000)
		return false;
	bucket->millitokens -= 1000;
	return true;
}

static void free_receiver(gpointer data)
{
	struct receiver *receiver = data;

	g_queue_unlink(receiver->queue, &receiver->link);
	g_free(receiver);
}

static int destroy_schedule(struct load_schedule *schedule)
{
	g_hash_table_destroy(schedule->by_peer);
	return 0;
}

struct load_schedule *load_new_schedule(TALLOC_CTX *ctx, uint64_t now_ms)
{
	struct load_schedule *schedule = talloc_zero(ctx, struct load_schedule);

	schedule->by_peer = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  NULL, free_receiver);
	g_queue_init(&schedule->queues[0]);
	g_queue_init(&schedule->queues[1]);
	set_up_bucket(&schedule->reports, REPORTS_PER_S, REPORTS_BURST, now_ms);
	set_up_bucket(&schedule->asks, ASKS_PER_S, ASKS_BURST, now_ms);
	talloc_set_destructor(schedule, destroy_schedule);
	return schedule;
}

/* Reports get what asks leave unused. */
static void refill(struct load_schedule *schedule, uint64_t now_ms)
{
	uint64_t unused = refill_bucket(&schedule->asks, now_ms);

	refill_bucket(&schedule->reports, now_ms);
	add_millitokens(&schedule->reports, unused);
}

static bool is_full(const struct rt_load *load)
{
	return load->is_unreachable || load->phase == RT_PHASE_LEAVING ||
	       load->in_flight >= load->limit;
}

/*
 * The mean latency and the share of failures only change with calls that end,
 * which change the calls in flight, too.
 */
static bool is_same_load(const struct rt_load *a, const struct rt_load *b)
{
	return a->limit == b->limit && a->in_flight == b->in_flight &&
	       a->phase == b->phase && a->is_unreachable == b->is_unreachable &&
	       a->has_waits == b->has_waits &&
	       memcmp(a->wait_us, b->wait_us, sizeof(a->wait_us)) == 0;
}

void load_record_load(struct load_schedule *schedule,
		      const struct rt_load *load)
{
	if (!is_same_load(&schedule->load, load))
		schedule->change++;
	schedule->load = *load;
	schedule->is_full = is_full(load);
}

/* Its receivers do not know of the last change between room and full. */
static GQueue *get_urgent_queue(struct load_schedule *schedule)
{
	return &schedule->queues[schedule->is_full ? 0 : 1];
}

/* Its receivers know whether the target has room. */
static GQueue *get_informed_queue(struct load_schedule *schedule)
{
	return &schedule->queues[schedule->is_full ? 1 : 0];
}

/* Moves the receiver to the tail of the queue of what it now knows. */
static void set_told(struct load_schedule *schedule, struct receiver *receiver,
		     uint64_t now_ms)
{
	if (receiver->queue)
		g_queue_unlink(receiver->queue, &receiver->link);
	receiver->queue = get_informed_queue(schedule);
	g_queue_push_tail_link(receiver->queue, &receiver->link);
	receiver->sent_ms = now_ms;
	receiver->told_change = schedule->change;
}

bool load_record_caller(struct load_schedule *schedule,
			const struct load_peer *peer, uint64_t now_ms)
{
	gint64 key = load_get_key(peer->address, peer->port);
	struct receiver *receiver =
		g_hash_table_lookup(schedule->by_peer, &key);

	if (!receiver) {
		if (load_count_receivers(schedule) >= LOAD_RECEIVERS_MAX)
			return false;
		receiver = g_new0(struct receiver, 1);
		receiver->peer = *peer;
		receiver->key = key;
		receiver->link.data = receiver;
		set_told(schedule, receiver, now_ms);
		g_hash_table_insert(schedule->by_peer, &receiver->key,
				    receiver);
	}
	receiver->called_ms = now_ms;
	return true;
}

/* Drops receivers at the head that have not called for too long. */
static void drop_silent(struct load_schedule *schedule, GQueue *queue,
			uint64_t now_ms)
{
	struct receiver *head;

	while ((head = g_queue_peek_head(queue)) &&
	       now_ms >= head->called_ms + CALLER_LIFE_MS)
		g_hash_table_remove(schedule->by_peer, &head->key);
}

static uint64_t get_due_ms(const struct load_schedule *schedule,
			   const struct receiver *receiver)
{
	bool is_changed = receiver->told_change != schedule->change;

	return receiver->sent_ms +
	       (is_changed ? RECEIVER_GAP_MS : UNCHANGED_GAP_MS);
}

/* Returns the next receiver that is due now, or NULL. */
static struct receiver *get_due(struct load_schedule *schedule, uint64_t now_ms)
{
	GQueue *const queues[] = { get_urgent_queue(schedule),
				   get_informed_queue(schedule) };

	for (uint32_t i = 0; i < G_N_ELEMENTS(queues); i++) {
		struct receiver *head;

		drop_silent(schedule, queues[i], now_ms);
		head = g_queue_peek_head(queues[i]);
		if (head && now_ms >= get_due_ms(schedule, head))
			return head;
	}
	return NULL;
}

uint32_t load_take_due(struct load_schedule *schedule, struct load_peer *peers,
		       uint32_t max, uint64_t now_ms)
{
	uint32_t count = 0;
	struct receiver *receiver;

	refill(schedule, now_ms);
	while (count < max && (receiver = get_due(schedule, now_ms)) &&
	       take_token(&schedule->reports)) {
		peers[count++] = receiver->peer;
		set_told(schedule, receiver, now_ms);
	}
	if (count > 0)
		schedule->batch_ms = now_ms;
	return count;
}

bool load_take_spare(struct load_schedule *schedule, uint64_t now_ms)
{
	refill(schedule, now_ms);
	return take_token(&schedule->asks);
}

/* Returns when a queue has something to send or to drop. */
static uint64_t get_queue_ms(const struct load_schedule *schedule,
			     GQueue *queue, uint32_t batch_gap_ms)
{
	const struct receiver *head = g_queue_peek_head(queue);

	if (!head)
		return LOAD_NEVER_MS;
	return MAX(get_due_ms(schedule, head),
		   schedule->batch_ms + batch_gap_ms);
}

uint64_t load_get_next_ms(struct load_schedule *schedule, uint64_t now_ms)
{
	const struct bucket *reports = &schedule->reports;
	uint64_t urgent_ms;
	uint64_t other_ms;
	uint64_t next_ms;

	refill(schedule, now_ms);
	urgent_ms = get_queue_ms(schedule, get_urgent_queue(schedule),
				 URGENT_BATCH_GAP_MS);
	other_ms = get_queue_ms(schedule, get_informed_queue(schedule),
				BATCH_GAP_MS);
	next_ms = MIN(urgent_ms, other_ms);
	if (next_ms == LOAD_NEVER_MS ||
	    reports->millitokens >= BATCH_TOKENS * 1000)
		return next_ms;
	return MAX(next_ms,
		   now_ms + (BATCH_TOKENS * 1000 - reports->millitokens +
			     reports->rate_per_s - 1) /
				    reports->rate_per_s);
}

uint32_t load_count_receivers(const struct load_schedule *schedule)
{
	return g_hash_table_size(schedule->by_peer);
}
