/*
 * Two load services over loopback sockets: what one knows, the other learns.
 *
 * Each service has its own loopback address, derived from the process id so
 * that concurrent test runs do not interfere.
 */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "codec.h"
#include "loom/load_report.h"
#include "script.h"
#include "senders.h"

#define LOAD_PORT 18082
#define HOP_PORT 18081
#define RUN_TIMEOUT_MS 10000U
#define TICK_MS 20U

struct node {
	char address[32];
	char target[48]; /* as in routing tables */
	struct cnt_registry *counters;
	struct load_counters load_counters;
	struct load_service *service;
	struct rt_load own;
	struct rt_load heard;
	char heard_from[48];
	uint32_t heard_count;
	bool is_stranger;	  /* it knows no target */
	const char *known_target; /* the only one; NULL: it knows all */
};

struct pair {
	struct tevent_context *events;
	struct tmr_service *timers;
	struct node nodes[2];
};

static void get_load(struct rt_load *load, void *data)
{
	const struct node *node = data;

	*load = node->own;
}

static bool handle_report(const char *address, const struct rt_load *load,
			  uint64_t now_ms, void *data)
{
	struct node *node = data;

	if (node->is_stranger ||
	    (node->known_target && strcmp(address, node->known_target) != 0))
		return false;
	node->heard = *load;
	node->heard_count++;
	g_strlcpy(node->heard_from, address, sizeof(node->heard_from));
	return true;
}

static void open_node(struct pair *pair, struct node *node)
{
	struct load_options options = {
		.address = node->address,
		.load_port = LOAD_PORT,
		.hop_port = HOP_PORT,
		.get_load = get_load,
		.handle_report = handle_report,
		.data = node,
	};
	GError *error = NULL;

	node->service =
		load_new_service(pair->events, pair->events, pair->timers,
				 &node->load_counters, &options, &error);
	if (!node->service) {
		fprintf(stderr, "%s\n", error->message);
		abort();
	}
}

static struct pair *new_pair(void)
{
	struct pair *pair = talloc_zero(NULL, struct pair);
	unsigned int pid = (unsigned int)getpid();

	pair->events = tevent_context_init(pair);
	pair->timers = tmr_new(pair->events, pair->events);
	for (uint32_t i = 0; i < 2; i++) {
		struct node *node = &pair->nodes[i];

		g_snprintf(node->address, sizeof(node->address), "127.%u.%u.%u",
			   100 + pid / 250 % 100, 1 + pid % 250, 101 + i);
		g_snprintf(node->target, sizeof(node->target), "%s:%u",
			   node->address, HOP_PORT);
		node->own.limit = 9;
		node->own.phase = RT_PHASE_SERVING;
		node->counters = cnt_new_registry(pair);
		load_open_counters(&node->load_counters, node->counters);
		open_node(pair, node);
	}
	return pair;
}

static void record_call(struct node *from, struct node *to)
{
	struct in_addr address;

	inet_pton(AF_INET, from->address, &address);
	load_record_call(to->service, address, LOAD_PORT);
}

static void set_flag(uint64_t now_ms, void *data)
{
	bool *flag = data;

	*flag = true;
}

typedef bool (*condition_fn)(struct pair *pair);

/* Runs the loop, with calls from node 0 to node 1, until condition is true. */
static void run_until(struct pair *pair, condition_fn condition)
{
	bool is_over = false;
	bool is_tick = true;
	struct tmr_subscription *limit = tmr_subscribe_once(
		pair, pair->timers, RUN_TIMEOUT_MS, set_flag, &is_over);
	struct tmr_subscription *tick = tmr_subscribe_every(
		pair, pair->timers, TICK_MS, set_flag, &is_tick);

	while (!condition(pair) && !is_over) {
		if (is_tick)
			record_call(&pair->nodes[0], &pair->nodes[1]);
		is_tick = false;
		tevent_loop_once(pair->events);
	}
	CU_ASSERT_FALSE(is_over);
	talloc_free(tick);
	if (!is_over)
		talloc_free(limit);
}

static bool is_load_known(struct pair *pair)
{
	const struct rt_load *heard = &pair->nodes[0].heard;
	const struct rt_load *own = &pair->nodes[1].own;

	return heard->in_flight == own->in_flight &&
	       heard->limit == own->limit && heard->phase == own->phase;
}

/* A load that changed was not told, or under another target's name. */
static void test_changes(void)
{
	struct pair *pair = new_pair();
	struct node *entry = &pair->nodes[0];
	struct node *target = &pair->nodes[1];

	for (uint32_t in_flight = 1; in_flight < 6; in_flight++) {
		target->own.in_flight = in_flight;
		load_mark_changed(target->service);
		run_until(pair, is_load_known);
		CU_ASSERT_STRING_EQUAL(entry->heard_from, target->target);
	}
	CU_ASSERT(cnt_get_value(target->load_counters.sent) >= 5);
	CU_ASSERT_EQUAL(cnt_get_value(entry->load_counters.received),
			entry->heard_count);
	CU_ASSERT_EQUAL(cnt_get_value(entry->load_counters.sent), 0);
	CU_ASSERT_EQUAL(target->heard_count, 0);
	talloc_free(pair);
}

static bool is_restart_known(struct pair *pair)
{
	return pair->nodes[0].heard.in_flight == 7;
}

/* The numbers of a restarted sender begin again and were taken for old. */
static void test_restart(void)
{
	struct pair *pair = new_pair();
	struct node *target = &pair->nodes[1];

	target->own.in_flight = 3;
	load_mark_changed(target->service);
	run_until(pair, is_load_known);
	TALLOC_FREE(target->service);
	open_node(pair, target);
	target->own.in_flight = 7;
	run_until(pair, is_restart_known);
	CU_ASSERT_EQUAL(cnt_get_value(pair->nodes[0].load_counters.outdated),
			0);
	talloc_free(pair);
}

static bool is_third_sent(struct pair *pair)
{
	return cnt_get_value(pair->nodes[1].load_counters.sent) >= 3;
}

/* A receiver that is gone stopped the reports of others, or the sender. */
static void test_receiver_gone(void)
{
	struct pair *pair = new_pair();
	struct node *entry = &pair->nodes[0];

	TALLOC_FREE(entry->service);
	run_until(pair, is_third_sent);
	CU_ASSERT_EQUAL(cnt_get_value(pair->nodes[1].load_counters.unsent), 0);
	open_node(pair, entry);
	pair->nodes[1].own.in_flight = 4;
	load_mark_changed(pair->nodes[1].service);
	run_until(pair, is_load_known);
	talloc_free(pair);
}

/* Runs the loop, without calls, until node 0 has heard a report. */
static void run_until_heard(struct pair *pair)
{
	bool is_over = false;
	struct tmr_subscription *limit = tmr_subscribe_once(
		pair, pair->timers, RUN_TIMEOUT_MS, set_flag, &is_over);

	while (pair->nodes[0].heard_count == 0 && !is_over)
		tevent_loop_once(pair->events);
	CU_ASSERT_FALSE(is_over);
	if (!is_over)
		talloc_free(limit);
}

/* A node that sent no call learnt no load, or an ask brought more than one. */
static void test_ask(void)
{
	struct pair *pair = new_pair();
	struct node *entry = &pair->nodes[0];
	struct node *target = &pair->nodes[1];

	target->own.in_flight = 5;
	load_send_ask(entry->service, "no address");
	load_send_ask(entry->service, target->target);
	run_until_heard(pair);
	CU_ASSERT_EQUAL(entry->heard.in_flight, 5);
	CU_ASSERT_STRING_EQUAL(entry->heard_from, target->target);
	CU_ASSERT_EQUAL(cnt_get_value(entry->load_counters.asks_sent), 1);
	CU_ASSERT_EQUAL(cnt_get_value(target->load_counters.asks_answered), 1);
	CU_ASSERT_EQUAL(cnt_get_value(target->load_counters.sent), 0);
	/* As many as are sent at once do not empty what reports need. */
	for (int i = 0; i < 100; i++)
		load_send_ask(entry->service, target->target);
	CU_ASSERT(cnt_get_value(entry->load_counters.asks_sent) <= 26);
	talloc_free(pair);
}

static bool is_unknown_counted(struct pair *pair)
{
	return cnt_get_value(pair->nodes[0].load_counters.unknown) > 0;
}

static void test_unknown_target(void)
{
	struct pair *pair = new_pair();

	pair->nodes[0].is_stranger = true;
	run_until(pair, is_unknown_counted);
	talloc_free(pair);
}

static void send_bytes(const struct node *to, const void *bytes, size_t size)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(LOAD_PORT) };
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, to->address, &address.sin_addr);
	CU_ASSERT_EQUAL(sendto(fd, bytes, size, 0, (struct sockaddr *)&address,
			       sizeof(address)),
			(ssize_t)size);
	close(fd);
}

/* Guards against strangers that take the places of all known targets. */
static void test_crowd_of_strangers(void)
{
	struct pair *pair = new_pair();
	struct node *entry = &pair->nodes[0];
	const struct cnt_counter *received = entry->load_counters.received;
	struct load_report report = { .instance = 1, .sequence = 1 };
	uint8_t bytes[LOAD_REPORT_SIZE];

	entry->known_target = pair->nodes[1].target;
	for (uint16_t port = 1; port <= LOAD_SENDERS_MAX; port++) {
		report.hop_port = port;
		load_encode_report(&report, bytes);
		send_bytes(entry, bytes, sizeof(bytes));
		while (cnt_get_value(received) < port)
			tevent_loop_once(pair->events);
	}
	pair->nodes[1].own.in_flight = 3;
	load_mark_changed(pair->nodes[1].service);
	run_until(pair, is_load_known);
	CU_ASSERT_EQUAL(cnt_get_value(entry->load_counters.unknown),
			LOAD_SENDERS_MAX);
	CU_ASSERT_EQUAL(cnt_get_value(entry->load_counters.surplus), 0);
	talloc_free(pair);
}

static bool is_all_counted(struct pair *pair)
{
	return cnt_get_value(pair->nodes[0].load_counters.received) >= 105;
}

/* Datagrams of strangers were used, or ended the service. */
static void test_malformed(void)
{
	struct pair *pair = new_pair();
	struct node *entry = &pair->nodes[0];
	uint8_t bytes[1400] = { LOAD_REPORT_VERSION };
	struct load_report report = { .hop_port = HOP_PORT };

	load_encode_report(&report, bytes);
	send_bytes(entry, bytes, 0);
	send_bytes(entry, bytes, LOAD_REPORT_SIZE - 1);
	send_bytes(entry, bytes, LOAD_REPORT_SIZE + 1);
	send_bytes(entry, bytes, sizeof(bytes));
	bytes[0] = 9;
	send_bytes(entry, bytes, LOAD_REPORT_SIZE);
	/* More than are read at once. */
	bytes[0] = LOAD_REPORT_VERSION;
	for (int i = 0; i < 100; i++)
		send_bytes(entry, bytes, LOAD_REPORT_SIZE);
	TALLOC_FREE(pair->nodes[1].service);
	run_until(pair, is_all_counted);
	CU_ASSERT_EQUAL(cnt_get_value(entry->load_counters.malformed), 4);
	CU_ASSERT_EQUAL(cnt_get_value(entry->load_counters.other_version), 1);
	CU_ASSERT_EQUAL(cnt_get_value(entry->load_counters.outdated), 99);
	CU_ASSERT_EQUAL(entry->heard_count, 1);
	talloc_free(pair);
}

static void test_port_in_use(void)
{
	struct pair *pair = new_pair();
	struct load_options options = { .address = pair->nodes[0].address,
					.load_port = LOAD_PORT };
	GError *error = NULL;

	CU_ASSERT_PTR_NULL(load_new_service(pair, pair->events, pair->timers,
					    &pair->nodes[0].load_counters,
					    &options, &error));
	CU_ASSERT(error && strstr(error->message, "18082"));
	g_clear_error(&error);
	/* Without a service nothing is recorded. */
	load_record_call(NULL, (struct in_addr){ 0 }, LOAD_PORT);
	load_mark_changed(NULL);
	load_send_ask(NULL, pair->nodes[1].target);
	load_send_ask(pair->nodes[0].service, NULL);
	talloc_free(pair);
}

static const CU_TestInfo tests[] = {
	{ "changes", test_changes },
	{ "restart", test_restart },
	{ "receiver gone", test_receiver_gone },
	{ "ask", test_ask },
	{ "unknown target", test_unknown_target },
	{ "crowd of strangers", test_crowd_of_strangers },
	{ "malformed", test_malformed },
	{ "port in use", test_port_in_use },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("load service", tests);
}
