/*
 * Simulates all nodes of a mesh during an outage of the platform, on virtual
 * time and without HTTP: each node has a watch, writes its own object and
 * competes for the lease of its failure domain, with the backoff, token bucket
 * and lease state of src/platform. Guards against load peaks when many nodes
 * retry together. All calls are counted, also failed ones; a waiting watch
 * counts as one read per second.
 *
 * The baseline is the same simulation with one seed for all nodes, that is,
 * without jitter between them.
 */
#include <stdio.h>
#include "bucket.h"
#include "client.h"
#include "lease_state.h"
#include "script.h"

#define NODES 740
#define FAILURE_DOMAINS 5
#define LEASE_DURATION_MS 15000U
#define LATENCY_MS 5U
#define OUTAGE_START_MS 30000U /* time from the start of the test */
#define WRITE_START_MS 8000U   /* the nodes' first writes are spread over it */
#define OUTAGE_MS 3600000U
#define END_MS (OUTAGE_START_MS + OUTAGE_MS + 60000U)
#define SECONDS (END_MS / 1000 + 1)
#define READS_PER_SECOND_MAX 2000U
#define WRITES_PER_SECOND_MAX 300U

enum activity {
	ACTIVITY_WATCH,
	ACTIVITY_WRITE,
	ACTIVITY_LEASE,
	ACTIVITY_LEASE_ANSWER,
};

struct node {
	GRand *random;
	struct plat_bucket bucket;
	struct plat_backoff watch_backoff;
	struct plat_backoff write_backoff;
	struct plat_lease_state lease;
	struct plat_lease_plan plan;
	uint32_t failure_domain;
	bool is_listed;
	bool is_watching;
	uint64_t lease_answer; /* object version in the response */
};

struct event {
	uint64_t due_ms;
	uint32_t node;
	enum activity activity;
};

struct fleet {
	struct node nodes[NODES];
	GSequence *events;
	uint64_t now_ms;
	uint64_t lease_versions[FAILURE_DOMAINS];
	uint32_t holders[FAILURE_DOMAINS];
	uint32_t watching;
	uint32_t reads[SECONDS];
	uint32_t writes[SECONDS];
};

struct peaks {
	uint32_t reads;
	uint32_t writes;
};

static gint compare_events(gconstpointer left, gconstpointer right,
			   gpointer data)
{
	const struct event *a = left;
	const struct event *b = right;

	return a->due_ms <= b->due_ms ? -1 : 1;
}

static void schedule(struct fleet *fleet, uint32_t node, enum activity activity,
		     uint32_t delay_ms)
{
	struct event *event = g_new(struct event, 1);

	event->due_ms = fleet->now_ms + delay_ms;
	event->node = node;
	event->activity = activity;
	g_sequence_insert_sorted(fleet->events, event, compare_events, NULL);
}

static bool is_out(const struct fleet *fleet)
{
	return fleet->now_ms >= OUTAGE_START_MS &&
	       fleet->now_ms < OUTAGE_START_MS + OUTAGE_MS;
}

static void count_read(struct fleet *fleet)
{
	fleet->reads[fleet->now_ms / 1000]++;
}

static void count_write(struct fleet *fleet)
{
	fleet->writes[fleet->now_ms / 1000]++;
}

static uint32_t choose_wait_ms(struct node *node, struct plat_backoff *backoff)
{
	plat_note_overload(backoff);
	return plat_choose_backoff_ms(backoff, node->random);
}

/* Sends a list, then a long poll that waits until the outage cuts it. */
static void run_watch(struct fleet *fleet, uint32_t i)
{
	struct node *node = &fleet->nodes[i];

	count_read(fleet);
	if (is_out(fleet)) {
		schedule(fleet, i, ACTIVITY_WATCH,
			 choose_wait_ms(node, &node->watch_backoff));
	} else if (!node->is_listed) {
		node->is_listed = true;
		plat_reset_backoff(&node->watch_backoff);
		schedule(fleet, i, ACTIVITY_WATCH, LATENCY_MS);
	} else {
		plat_reset_backoff(&node->watch_backoff);
		node->is_watching = true;
		fleet->watching++;
	}
}

static void run_write(struct fleet *fleet, uint32_t i)
{
	struct node *node = &fleet->nodes[i];

	count_write(fleet);
	if (is_out(fleet))
		schedule(fleet, i, ACTIVITY_WRITE,
			 choose_wait_ms(node, &node->write_backoff));
	else
		plat_reset_backoff(&node->write_backoff);
}

static void send_lease(struct fleet *fleet, uint32_t i)
{
	struct node *node = &fleet->nodes[i];
	uint64_t *version = &fleet->lease_versions[node->failure_domain];

	if (node->plan.action == PLAT_LEASE_READ) {
		count_read(fleet);
	} else {
		count_write(fleet);
		plat_note_lease_sent(&node->lease, fleet->now_ms);
	}
	node->lease_answer = *version;
	if (!is_out(fleet) && node->plan.action == PLAT_LEASE_WRITE &&
	    node->plan.expected_version == *version) {
		node->lease_answer = ++*version;
		fleet->holders[node->failure_domain] = i;
	}
	schedule(fleet, i, ACTIVITY_LEASE_ANSWER, LATENCY_MS);
}

static void answer_lease(struct fleet *fleet, uint32_t i)
{
	struct node *node = &fleet->nodes[i];
	bool is_own = fleet->holders[node->failure_domain] == i;
	struct plat_lease_view view = { .version = node->lease_answer,
					.is_free = node->lease_answer == 0,
					.is_own = is_own,
					.duration_ms = LEASE_DURATION_MS };

	if (is_out(fleet))
		plat_note_lease_failure(&node->lease, false);
	else if (node->plan.action == PLAT_LEASE_READ)
		plat_note_lease_read(&node->lease, &view, fleet->now_ms);
	else if (node->lease_answer == node->plan.expected_version + 1 &&
		 is_own)
		plat_note_lease_written(&node->lease, node->lease_answer,
					fleet->now_ms);
	else
		plat_note_lease_conflict(&node->lease, node->lease_answer,
					 fleet->now_ms);
	node->plan = plat_plan_lease(&node->lease, fleet->now_ms, node->random);
	schedule(fleet, i, ACTIVITY_LEASE, node->plan.delay_ms);
}

static void run_event(struct fleet *fleet, const struct event *event)
{
	struct node *node = &fleet->nodes[event->node];
	uint32_t wait_ms;

	if (event->activity == ACTIVITY_LEASE_ANSWER) {
		answer_lease(fleet, event->node);
		return;
	}
	wait_ms = plat_take_token(&node->bucket, fleet->now_ms);
	if (wait_ms > 0) {
		schedule(fleet, event->node, event->activity, wait_ms);
		return;
	}
	switch (event->activity) {
	case ACTIVITY_WATCH:
		run_watch(fleet, event->node);
		return;
	case ACTIVITY_WRITE:
		run_write(fleet, event->node);
		return;
	case ACTIVITY_LEASE:
		send_lease(fleet, event->node);
		return;
	case ACTIVITY_LEASE_ANSWER:
		return;
	}
}

/* Starts all nodes at the same moment. */
static void start_nodes(struct fleet *fleet, bool is_jittered)
{
	struct plat_options options;

	plat_set_default_options(&options, "");
	for (uint32_t i = 0; i < NODES; i++) {
		struct node *node = &fleet->nodes[i];

		node->random = g_rand_new_with_seed(is_jittered ? i : 0);
		plat_start_bucket(&node->bucket, options.calls_per_second,
				  options.burst_calls, 0);
		plat_start_backoff(&node->watch_backoff,
				   options.retry_wait_ms_max);
		plat_start_backoff(&node->write_backoff,
				   options.retry_wait_ms_max);
		plat_start_lease(&node->lease, LEASE_DURATION_MS);
		node->failure_domain = i % FAILURE_DOMAINS;
		schedule(fleet, i, ACTIVITY_WATCH,
			 plat_choose_jitter_ms(node->random,
					       PLAT_START_JITTER_MS));
		schedule(fleet, i, ACTIVITY_LEASE,
			 plat_choose_jitter_ms(node->random,
					       LEASE_DURATION_MS / 3));
	}
}

/* Starts the outage: cuts all watches, and every node has an object to write.
 */
static void cut_watches(struct fleet *fleet)
{
	fleet->now_ms = OUTAGE_START_MS;
	fleet->watching = 0;
	for (uint32_t i = 0; i < NODES; i++) {
		struct node *node = &fleet->nodes[i];

		if (node->is_watching)
			schedule(fleet, i, ACTIVITY_WATCH,
				 plat_choose_backoff_ms(&node->watch_backoff,
							node->random));
		node->is_watching = false;
		node->is_listed = false;
		schedule(fleet, i, ACTIVITY_WRITE,
			 plat_choose_jitter_ms(node->random, WRITE_START_MS));
	}
}

/* Adds the waiting watches to the reads of each second that begins. */
static void count_watches(struct fleet *fleet, uint64_t to_ms)
{
	for (uint64_t s = fleet->now_ms / 1000 + 1; s <= to_ms / 1000; s++)
		fleet->reads[s] += fleet->watching;
}

static void run_until(struct fleet *fleet, uint64_t end_ms)
{
	GSequenceIter *first;
	struct event *event;

	while (!g_sequence_is_empty(fleet->events)) {
		first = g_sequence_get_begin_iter(fleet->events);
		event = g_sequence_get(first);
		if (event->due_ms >= end_ms)
			break;
		count_watches(fleet, event->due_ms);
		fleet->now_ms = event->due_ms;
		run_event(fleet, event);
		g_sequence_remove(first);
	}
	count_watches(fleet, end_ms - 1);
}

static struct peaks get_peaks(const struct fleet *fleet, uint32_t from_s)
{
	struct peaks peaks = { 0 };

	for (uint32_t s = from_s; s < SECONDS; s++) {
		peaks.reads = MAX(peaks.reads, fleet->reads[s]);
		peaks.writes = MAX(peaks.writes, fleet->writes[s]);
	}
	return peaks;
}

static struct peaks simulate_outage(bool is_jittered)
{
	struct fleet *fleet = g_new0(struct fleet, 1);
	struct peaks whole;
	struct peaks after;

	fleet->events = g_sequence_new(g_free);
	start_nodes(fleet, is_jittered);
	run_until(fleet, OUTAGE_START_MS);
	cut_watches(fleet);
	run_until(fleet, END_MS);
	whole = get_peaks(fleet, 0);
	after = get_peaks(fleet, (OUTAGE_START_MS + OUTAGE_MS) / 1000);
	printf("\n    %s jitter: peak %u reads/s, %u writes/s; "
	       "after the outage %u reads/s, %u writes/s; "
	       "%u of %d watches wait\n",
	       is_jittered ? "with" : "without", whole.reads, whole.writes,
	       after.reads, after.writes, fleet->watching, NODES);
	CU_ASSERT_EQUAL(fleet->watching, NODES);
	for (int i = 0; i < NODES; i++)
		g_rand_free(fleet->nodes[i].random);
	g_sequence_free(fleet->events);
	g_free(fleet);
	return whole;
}

static void test_outage(void)
{
	struct peaks jittered = simulate_outage(true);
	struct peaks baseline = simulate_outage(false);

	CU_ASSERT_TRUE(jittered.reads < READS_PER_SECOND_MAX);
	CU_ASSERT_TRUE(jittered.writes < WRITES_PER_SECOND_MAX);
	CU_ASSERT_TRUE(baseline.reads > READS_PER_SECOND_MAX);
	CU_ASSERT_TRUE(baseline.writes > WRITES_PER_SECOND_MAX);
}

static const CU_TestInfo tests[] = {
	{ "outage of one hour", test_outage },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("platform herd", tests);
}
