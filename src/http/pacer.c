/*
 * Token bucket and order of the large answers.
 *
 * Tokens are kept in millionths of a byte, so that short intervals on slow
 * links are not rounded away. Invariant: the order holds the flows that have
 * begun first, then by deadline, and equals in the order in which they came.
 */
#include "loom/pacer.h"

#include <assert.h>

#define US_PER_S 1000000U
#define TOKENS_PER_BYTE 1000000
/* The rest is left for packet headers and what other programs send. */
#define USED_PERCENT 95U
#define BURST_US 20000U
/* Bounds how long short answers can keep large ones waiting afterwards. */
#define DEBT_MAX_US 100000U
/* A flow sends at least this much at once, and sleeps at least this long. */
#define QUANTUM_US 5000U
/* A slow link sends at least a segment at once. */
#define SEGMENT_BYTES 1448U
/* Short answers are averaged over this time; see pace_get_backlog_us(). */
#define SHORT_WINDOW_US 500000U
/* The backlog counts on this part of the link, whatever short answers use. */
#define FREE_PART_MIN 4U
/*
 * A target may announce any length. What is left of an answer counts as at most
 * this, so that sums over all connections in microseconds stay in 64 bits.
 */
#define LEFT_BYTES_MAX (1024U * 1024U * 1024U)
#define LONGEST_WINDOW_US 10000000U
#define WARNING_BACKLOG_US 1000000U
#define WARNING_PERIOD_US 1000000U

struct pace_pacer {
	uint64_t bytes_s;      /* 0: everything passes */
	int64_t tokens;	       /* negative: debt */
	int64_t tokens_max;    /* the burst */
	int64_t tokens_min;    /* the bound of the debt */
	int64_t quantum;       /* least tokens to send from */
	uint64_t refilled_us;  /* when tokens was up to date */
	GQueue order;	       /* struct pace_flow */
	uint64_t queued_bytes; /* left_bytes of all flows in the order */

	uint64_t window_us; /* start of the window of short answers */
	uint64_t window_bytes;
	uint64_t short_bytes_s; /* in the last whole window */

	uint64_t longest_start_us;
	uint64_t longest_us;	  /* wait in the present window */
	uint64_t longest_past_us; /* in the one before */

	uint64_t warned_us; /* 0: never */
	bool is_warned;	    /* no line since the backlog was short */
};

static int64_t get_tokens_of_time(const struct pace_pacer *pacer, uint64_t us)
{
	return (int64_t)(pacer->bytes_s * us);
}

struct pace_pacer *pace_new_pacer(TALLOC_CTX *ctx, uint64_t link_kbit_s,
				  uint64_t now_us)
{
	struct pace_pacer *pacer = talloc_zero(ctx, struct pace_pacer);
	int64_t segment = (int64_t)SEGMENT_BYTES * TOKENS_PER_BYTE;

	pacer->bytes_s = link_kbit_s * (1000 / 8) * USED_PERCENT / 100;
	pacer->quantum = MAX(get_tokens_of_time(pacer, QUANTUM_US), segment);
	pacer->tokens_max =
		MAX(get_tokens_of_time(pacer, BURST_US), 2 * segment);
	pacer->tokens_min = -get_tokens_of_time(pacer, DEBT_MAX_US);
	pacer->tokens = pacer->tokens_max;
	pacer->refilled_us = now_us;
	pacer->window_us = now_us;
	pacer->longest_start_us = now_us;
	g_queue_init(&pacer->order);
	return pacer;
}

static void update_window(struct pace_pacer *pacer, uint64_t now_us)
{
	uint64_t elapsed_us = now_us - pacer->window_us;

	if (elapsed_us < SHORT_WINDOW_US)
		return;
	pacer->short_bytes_s = pacer->window_bytes * US_PER_S / elapsed_us;
	pacer->window_bytes = 0;
	pacer->window_us = now_us;
}

static void refill(struct pace_pacer *pacer, uint64_t now_us)
{
	/* The whole range between the bounds, on any link. */
	uint64_t elapsed_max_us =
		(uint64_t)(pacer->tokens_max - pacer->tokens_min) /
			pacer->bytes_s +
		1;
	uint64_t elapsed_us = 0;

	/* Time that a slow caller read before that of another one. */
	if (now_us > pacer->refilled_us)
		elapsed_us = now_us - pacer->refilled_us;
	else
		now_us = pacer->refilled_us;
	pacer->tokens +=
		get_tokens_of_time(pacer, MIN(elapsed_us, elapsed_max_us));
	pacer->tokens = MIN(pacer->tokens, pacer->tokens_max);
	pacer->refilled_us = now_us;
	update_window(pacer, now_us);
}

static void charge(struct pace_pacer *pacer, uint64_t bytes, uint64_t now_us)
{
	refill(pacer, now_us);
	pacer->tokens -= (int64_t)(bytes * TOKENS_PER_BYTE);
	pacer->tokens = MAX(pacer->tokens, pacer->tokens_min);
}

static uint64_t get_order_deadline(uint64_t deadline_us)
{
	return deadline_us ? deadline_us : UINT64_MAX;
}

/* Returns whether the flow sends before one that comes with this deadline. */
static bool is_before(const struct pace_flow *flow, uint64_t deadline_us)
{
	return flow->has_begun || get_order_deadline(flow->deadline_us) <=
					  get_order_deadline(deadline_us);
}

static gint compare_flows(gconstpointer left, gconstpointer right,
			  gpointer data)
{
	const struct pace_flow *a = left;
	const struct pace_flow *b = right;
	uint64_t deadline_a = get_order_deadline(a->deadline_us);
	uint64_t deadline_b = get_order_deadline(b->deadline_us);

	if (a->has_begun != b->has_begun)
		return a->has_begun ? -1 : 1;
	if (deadline_a != deadline_b)
		return deadline_a < deadline_b ? -1 : 1;
	return 0;
}

/* Searches from the end: deadlines mostly rise. */
static void insert_flow(struct pace_pacer *pacer, struct pace_flow *flow)
{
	GList *after = pacer->order.tail;

	while (after && compare_flows(after->data, flow, NULL) > 0)
		after = after->prev;
	flow->link = (GList){ .data = flow };
	if (!after)
		g_queue_push_head_link(&pacer->order, &flow->link);
	else if (after == pacer->order.tail)
		g_queue_push_tail_link(&pacer->order, &flow->link);
	else
		g_queue_insert_before_link(&pacer->order, after->next,
					   &flow->link);
	flow->is_waiting = true;
}

static void set_left(struct pace_pacer *pacer, struct pace_flow *flow,
		     uint64_t left_bytes)
{
	assert(pacer->queued_bytes >= flow->left_bytes);
	left_bytes = MIN(left_bytes, LEFT_BYTES_MAX);
	pacer->queued_bytes += left_bytes - flow->left_bytes;
	flow->left_bytes = left_bytes;
}

uint64_t pace_get_allowance(struct pace_pacer *pacer, struct pace_flow *flow,
			    uint64_t left_bytes, uint64_t now_us)
{
	assert(left_bytes > 0);
	if (pacer->bytes_s == 0)
		return left_bytes;
	refill(pacer, now_us);
	if (flow->joined_us == 0)
		flow->joined_us = now_us;
	if (!flow->is_waiting)
		insert_flow(pacer, flow);
	set_left(pacer, flow, left_bytes);
	if (pace_get_next(pacer) != flow || pacer->tokens < pacer->quantum)
		return 0;
	return MIN((uint64_t)(pacer->tokens / TOKENS_PER_BYTE), left_bytes);
}

static void update_longest(struct pace_pacer *pacer, uint64_t now_us)
{
	uint64_t elapsed_us = now_us - pacer->longest_start_us;

	if (elapsed_us < LONGEST_WINDOW_US)
		return;
	pacer->longest_past_us =
		elapsed_us < 2 * LONGEST_WINDOW_US ? pacer->longest_us : 0;
	pacer->longest_us = 0;
	pacer->longest_start_us = now_us;
}

void pace_record_large(struct pace_pacer *pacer, struct pace_flow *flow,
		       uint64_t bytes, uint64_t now_us)
{
	if (pacer->bytes_s == 0)
		return;
	assert(flow->is_waiting);
	charge(pacer, bytes, now_us);
	set_left(pacer, flow, flow->left_bytes - MIN(bytes, flow->left_bytes));
	if (flow->has_begun)
		return;
	/* It is the next one, so none of those that wait has begun. */
	flow->has_begun = true;
	update_longest(pacer, now_us);
	pacer->longest_us = MAX(pacer->longest_us, now_us - flow->joined_us);
}

void pace_record_short(struct pace_pacer *pacer, uint64_t bytes,
		       uint64_t now_us)
{
	if (pacer->bytes_s == 0)
		return;
	charge(pacer, bytes, now_us);
	pacer->window_bytes += bytes;
}

void pace_remove_flow(struct pace_pacer *pacer, struct pace_flow *flow)
{
	if (!flow->is_waiting)
		return;
	set_left(pacer, flow, 0);
	g_queue_unlink(&pacer->order, &flow->link);
	flow->is_waiting = false;
}

struct pace_flow *pace_get_next(const struct pace_pacer *pacer)
{
	return pacer->order.head ? pacer->order.head->data : NULL;
}

uint64_t pace_get_wait_us(struct pace_pacer *pacer, uint64_t now_us)
{
	const struct pace_flow *next = pace_get_next(pacer);
	int64_t wanted;
	uint64_t wait_us;

	if (!next)
		return 0;
	refill(pacer, now_us);
	if (pacer->tokens >= pacer->quantum)
		return 0;
	wanted = (int64_t)(next->left_bytes * TOKENS_PER_BYTE);
	wanted = CLAMP(wanted, pacer->quantum, 2 * pacer->quantum);
	wait_us = ((uint64_t)(wanted - pacer->tokens) + pacer->bytes_s - 1) /
		  pacer->bytes_s;
	return MAX(wait_us, QUANTUM_US);
}

uint32_t pace_get_waiting_count(const struct pace_pacer *pacer)
{
	return pacer->order.length;
}

/* Returns how long the link takes for the bytes, behind the debt. */
static uint64_t get_send_time_us(const struct pace_pacer *pacer, uint64_t bytes)
{
	uint64_t free_s =
		pacer->bytes_s - MIN(pacer->short_bytes_s, pacer->bytes_s);

	free_s = MAX(free_s, pacer->bytes_s / FREE_PART_MIN);
	if (pacer->tokens < 0)
		bytes += (uint64_t)-pacer->tokens / TOKENS_PER_BYTE;
	else
		bytes -= MIN(bytes, (uint64_t)pacer->tokens / TOKENS_PER_BYTE);
	return bytes * US_PER_S / free_s;
}

uint64_t pace_get_backlog_us(struct pace_pacer *pacer, uint64_t deadline_us,
			     uint64_t bytes, uint64_t now_us)
{
	const GList *link;

	if (pacer->bytes_s == 0)
		return 0;
	refill(pacer, now_us);
	bytes = MIN(bytes, LEFT_BYTES_MAX);
	for (link = pacer->order.head; link; link = link->next) {
		const struct pace_flow *flow = link->data;

		if (!is_before(flow, deadline_us))
			break;
		bytes += flow->left_bytes;
	}
	return get_send_time_us(pacer, bytes);
}

uint64_t pace_get_longest_wait_us(struct pace_pacer *pacer, uint64_t now_us)
{
	uint64_t longest_us;

	update_longest(pacer, now_us);
	longest_us = MAX(pacer->longest_us, pacer->longest_past_us);
	for (GList *link = pacer->order.head; link; link = link->next) {
		const struct pace_flow *flow = link->data;

		if (!flow->has_begun)
			longest_us = MAX(longest_us, now_us - flow->joined_us);
	}
	return longest_us;
}

bool pace_take_warning(struct pace_pacer *pacer, uint64_t now_us,
		       uint64_t *backlog_us)
{
	uint64_t all_us;

	if (pacer->bytes_s == 0)
		return false;
	refill(pacer, now_us);
	all_us = get_send_time_us(pacer, pacer->queued_bytes);
	if (all_us <= WARNING_BACKLOG_US) {
		pacer->is_warned = false;
		return false;
	}
	if (pacer->is_warned || (pacer->warned_us > 0 &&
				 now_us - pacer->warned_us < WARNING_PERIOD_US))
		return false;
	pacer->is_warned = true;
	pacer->warned_us = now_us;
	*backlog_us = all_us;
	return true;
}
