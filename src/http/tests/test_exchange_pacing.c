/*
 * Tests of paced answers over loopback sockets: servers and callers on one
 * event loop. They check orders, no times.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "loom/byte_account.h"
#include "loom/exchange.h"
#include "script.h"

#define PORT 18070
/* A loop that nothing wakes must end too; no run takes as long as this. */
#define TICK_MS 20
#define TURNS_MAX 5000
#define CALLERS_MAX 4
#define RECEIVE_BYTES 65536
/* So small that a reader that stops makes its server wait soon. */
#define RECEIVE_BUFFER_BYTES 4096
#define SLOW_KBIT_S 1000
#define FAST_KBIT_S 400000
#define CONNECTIONS_MAX 16

struct fixture;

struct caller {
	struct fixture *fixture;
	int socket;
	struct tevent_fd *fde; /* NULL: does not read */
	GString *received;
	char name;
};

struct fixture {
	struct tevent_context *events;
	struct tmr_service *timers;
	struct cnt_registry *counters;
	struct hx_pacing *pacing;
	struct acc_account account;
	struct hx_server *servers[2]; /* they share the pacing */
	char address[32];
	struct caller callers[CALLERS_MAX];
	size_t caller_count;
	uint32_t open_count; /* exchanges */
	uint32_t lost_count;
	uint64_t started_ms;
	GString *ends; /* names of the callers, as their answers end */
};

static void handle_nothing(struct hx_exchange *exchange, void *data)
{
}

static void handle_open(struct hx_exchange *exchange, void *data)
{
	struct fixture *fixture = data;

	fixture->open_count++;
}

static bool may_overlap(struct hx_exchange *exchange, void *data)
{
	return false;
}

/*
 * The target is "/FRAMING/SIZE/DEADLINE"; the deadline is in ms. A request for
 * "/never" gets no answer.
 */
static void answer(struct hx_exchange *exchange, void *data)
{
	struct fixture *fixture = data;
	char framing[8];
	unsigned int size;
	unsigned int deadline_ms;
	char *body;

	if (strcmp(hx_get_target(exchange), "/never") == 0)
		return;
	if (sscanf(hx_get_target(exchange), "/%7[a-z]/%u/%u", framing, &size,
		   &deadline_ms) != 3) {
		CU_FAIL("invalid request");
		return;
	}
	body = g_strnfill(size, 'x');
	hx_set_deadline(exchange, fixture->started_ms + deadline_ms);
	hx_start_answer(exchange, 200,
			strcmp(framing, "length") == 0 ? (int64_t)size : -1);
	hx_add_answer_body(exchange, body, size);
	hx_end_answer(exchange);
	g_free(body);
}

static void receive_body(struct hx_exchange *exchange, const char *bytes,
			 size_t size, void *data)
{
}

static void handle_end(struct hx_exchange *exchange, enum hx_end how,
		       void *data)
{
	struct fixture *fixture = data;

	fixture->open_count--;
	if (how == HX_END_LOST)
		fixture->lost_count++;
}

static const struct hx_handler handler = {
	.open = handle_open,
	.may_overlap = may_overlap,
	.begin = answer,
	.receive_body = receive_body,
	.end_body = handle_nothing,
	.handle_sent = handle_nothing,
	.end = handle_end,
};

static struct cnt_counter *open_metric(struct fixture *fixture,
				       const char *name, enum cnt_kind kind)
{
	return cnt_get_counter(fixture->counters, kind, name, NULL, "");
}

static void handle_tick(uint64_t now_ms, void *data)
{
}

static void open_pacing(struct fixture *fixture, uint64_t link_kbit_s)
{
	struct hx_pacing_options options = {
		.link_kbit_s = link_kbit_s,
		.short_bytes = open_metric(fixture, "short", CNT_KIND_COUNTER),
		.large_bytes = open_metric(fixture, "large", CNT_KIND_COUNTER),
		.waiting_answers =
			open_metric(fixture, "waiting", CNT_KIND_GAUGE),
		.longest_wait_us =
			open_metric(fixture, "longest", CNT_KIND_GAUGE),
	};

	fixture->pacing = hx_new_pacing(fixture, fixture->timers, &options);
}

static struct fixture *open_small_fixture(uint64_t link_kbit_s,
					  uint32_t connections_max)
{
	struct fixture *fixture = talloc_zero(NULL, struct fixture);
	uint32_t id = (uint32_t)getpid();
	struct hx_options options = {
		.address = fixture->address,
		.connections_max = connections_max,
		.head_bytes_max = 4096,
		.handler = &handler,
		.data = fixture,
		.account = &fixture->account,
	};

	acc_open(&fixture->account, acc_get_thread_limit(0, 1));
	fixture->events = tevent_context_init(fixture);
	fixture->timers = tmr_new(fixture, fixture->events);
	tmr_subscribe_every(fixture, fixture->timers, TICK_MS, handle_tick,
			    NULL);
	fixture->counters = cnt_new_registry(fixture);
	fixture->started_ms = tmr_get_now_ms(fixture->timers);
	fixture->ends = g_string_new(NULL);
	/* Concurrent runs of the test use different addresses. */
	g_snprintf(fixture->address, sizeof(fixture->address), "127.%u.%u.7",
		   100 + id / 250 % 100, id % 250 + 1);
	open_pacing(fixture, link_kbit_s);
	options.pacing = fixture->pacing;
	for (uint16_t i = 0; i < 2; i++) {
		options.port = PORT + i;
		fixture->servers[i] =
			hx_new_server(fixture, fixture->events, fixture->timers,
				      &options, NULL);
		CU_ASSERT_PTR_NOT_NULL_FATAL(fixture->servers[i]);
	}
	return fixture;
}

static struct fixture *open_fixture(uint64_t link_kbit_s)
{
	return open_small_fixture(link_kbit_s, CONNECTIONS_MAX);
}

static void close_caller(struct caller *caller)
{
	TALLOC_FREE(caller->fde);
	if (caller->socket >= 0)
		close(caller->socket);
	caller->socket = -1;
}

static void close_fixture(struct fixture *fixture)
{
	TALLOC_FREE(fixture->servers[0]);
	TALLOC_FREE(fixture->servers[1]);
	CU_ASSERT_EQUAL(fixture->open_count, 0);
	/* Each connection and exchange has given back what it held. */
	CU_ASSERT_EQUAL(fixture->account.held_bytes, 0);
	for (size_t i = 0; i < fixture->caller_count; i++) {
		close_caller(&fixture->callers[i]);
		g_string_free(fixture->callers[i].received, TRUE);
	}
	g_string_free(fixture->ends, TRUE);
	talloc_free(fixture);
}

static void receive_answer(struct tevent_context *events, struct tevent_fd *fde,
			   uint16_t flags, void *data)
{
	struct caller *caller = data;
	char *bytes = g_malloc(RECEIVE_BYTES);
	ssize_t count =
		recv(caller->socket, bytes, RECEIVE_BYTES, MSG_DONTWAIT);

	if (count > 0)
		g_string_append_len(caller->received, bytes, count);
	else if (count == 0 || errno != EAGAIN) {
		g_string_append_c(caller->fixture->ends, caller->name);
		TALLOC_FREE(caller->fde);
	}
	g_free(bytes);
}

static void send_text(const struct caller *caller, const char *text)
{
	CU_ASSERT_EQUAL(send(caller->socket, text, strlen(text), MSG_NOSIGNAL),
			(ssize_t)strlen(text));
}

/* Connects to one of the servers. */
static struct caller *open_caller(struct fixture *fixture, char name,
				  uint16_t server)
{
	struct caller *caller = &fixture->callers[fixture->caller_count++];
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(PORT + server),
	};
	int size = RECEIVE_BUFFER_BYTES;

	inet_pton(AF_INET, fixture->address, &address.sin_addr);
	caller->fixture = fixture;
	caller->name = name;
	caller->received = g_string_new(NULL);
	caller->socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(caller->socket, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	CU_ASSERT_EQUAL(connect(caller->socket, (struct sockaddr *)&address,
				sizeof(address)),
			0);
	caller->fde = tevent_add_fd(fixture->events, fixture, caller->socket,
				    TEVENT_FD_READ, receive_answer, caller);
	return caller;
}

/* Sends a request to one of the servers; its answer closes the connection. */
static struct caller *send_request(struct fixture *fixture, char name,
				   uint16_t server, const char *target)
{
	struct caller *caller = open_caller(fixture, name, server);
	char *request = talloc_asprintf(
		fixture,
		"GET %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
		target);

	send_text(caller, request);
	return caller;
}

/* Runs the loop until the caller has received this many bytes. */
static void run_until_received(struct fixture *fixture,
			       const struct caller *caller, size_t size)
{
	for (int i = 0; i < TURNS_MAX && caller->received->len < size; i++)
		tevent_loop_once(fixture->events);
	CU_ASSERT_TRUE(caller->received->len >= size);
}

static void run_until_ended(struct fixture *fixture, size_t count)
{
	for (int i = 0; i < TURNS_MAX && fixture->ends->len < count; i++)
		tevent_loop_once(fixture->events);
	CU_ASSERT_EQUAL(fixture->ends->len, count);
}

/* Runs the loop until the clock of the servers has moved on. */
static void run_for_a_tick(struct fixture *fixture)
{
	uint64_t from_ms = tmr_get_now_ms(fixture->timers);

	while (tmr_get_now_ms(fixture->timers) <= from_ms + 1)
		tevent_loop_once(fixture->events);
}

static void run_until_open(struct fixture *fixture, uint32_t count)
{
	for (int i = 0; i < TURNS_MAX && fixture->open_count != count; i++)
		tevent_loop_once(fixture->events);
	CU_ASSERT_EQUAL(fixture->open_count, count);
}

/* Guards against a short answer that waits behind a large one for the link. */
static void test_short_answer_overtakes_large(void)
{
	struct fixture *fixture = open_fixture(SLOW_KBIT_S);
	struct caller *large =
		send_request(fixture, 'L', 0, "/length/60000/5000");

	run_until_received(fixture, large, 1);
	send_request(fixture, 's', 1, "/length/100/9000");
	run_until_ended(fixture, 2);
	CU_ASSERT_STRING_EQUAL(fixture->ends->str, "sL");
	CU_ASSERT_TRUE(large->received->len > 60000);
	/* The head counts as short. */
	CU_ASSERT_EQUAL(
		cnt_get_value(open_metric(fixture, "large", CNT_KIND_COUNTER)),
		60000);
	CU_ASSERT_TRUE(cnt_get_value(open_metric(fixture, "short",
						 CNT_KIND_COUNTER)) > 100);
	close_fixture(fixture);
}

/*
 * Guards against large answers that share the link and all end late: the first
 * one goes on, then the one with the earliest deadline, whichever server it is
 * on and whether or not its length is known.
 */
static void test_large_answers_end_by_deadline(void)
{
	struct fixture *fixture = open_fixture(SLOW_KBIT_S);
	struct caller *first =
		send_request(fixture, 'a', 0, "/length/40000/9000");
	struct caller *second;

	run_until_received(fixture, first, 1);
	second = send_request(fixture, 'b', 0, "/length/30000/8000");
	/* The head does not wait: the time until it counts as that on the way.
	 */
	run_until_received(fixture, second, 1);
	CU_ASSERT_EQUAL(fixture->ends->len, 0);
	send_request(fixture, 'c', 1, "/chunked/30000/7000");
	run_until_ended(fixture, 3);
	CU_ASSERT_STRING_EQUAL(fixture->ends->str, "acb");
	close_fixture(fixture);
}

/* Guards against a reader that stops and keeps the turn for ever. */
static void test_reader_that_stops_is_passed(void)
{
	struct fixture *fixture = open_fixture(FAST_KBIT_S);
	struct caller *stopped =
		send_request(fixture, 'a', 0, "/length/16000000/1000");

	run_until_received(fixture, stopped, 1);
	TALLOC_FREE(stopped->fde);
	send_request(fixture, 'b', 1, "/length/200000/9000");
	run_until_ended(fixture, 1);
	CU_ASSERT_STRING_EQUAL(fixture->ends->str, "b");
	/* It reads on, and its answer is whole. */
	stopped->fde = tevent_add_fd(fixture->events, fixture, stopped->socket,
				     TEVENT_FD_READ, receive_answer, stopped);
	run_until_ended(fixture, 2);
	CU_ASSERT_TRUE(stopped->received->len > 16000000);
	close_fixture(fixture);
}

/*
 * Guards against a connection that is freed while its answer waits or sends and
 * stays in the order.
 */
static void test_closed_connections_leave(void)
{
	struct fixture *fixture = open_fixture(SLOW_KBIT_S);
	struct caller *first =
		send_request(fixture, 'a', 0, "/length/9000000/1000");
	struct caller *second;

	run_until_received(fixture, first, 1);
	second = send_request(fixture, 'b', 0, "/length/9000000/2000");
	send_request(fixture, 'c', 1, "/length/30000/9000");
	run_until_open(fixture, 3);
	close_caller(first);
	close_caller(second);
	run_until_ended(fixture, 1);
	CU_ASSERT_STRING_EQUAL(fixture->ends->str, "c");
	run_until_open(fixture, 0);
	CU_ASSERT_EQUAL(fixture->lost_count, 2);
	hx_update_pacing_metrics(fixture->pacing);
	CU_ASSERT_EQUAL(
		cnt_get_value(open_metric(fixture, "waiting", CNT_KIND_GAUGE)),
		0);
	close_fixture(fixture);
}

/* Guards against a server that ends while answers wait. */
static void test_server_ends_with_waiting_answers(void)
{
	struct fixture *fixture = open_fixture(SLOW_KBIT_S);
	struct caller *first =
		send_request(fixture, 'a', 0, "/length/9000000/1000");

	run_until_received(fixture, first, 1);
	send_request(fixture, 'b', 0, "/length/9000000/2000");
	send_request(fixture, 'c', 1, "/length/30000/9000");
	run_until_open(fixture, 3);
	CU_ASSERT_TRUE(hx_get_backlog_us(fixture->pacing, 0, 90000) > 100000);
	TALLOC_FREE(fixture->servers[0]);
	run_until_received(fixture, &fixture->callers[2], 30000);
	close_fixture(fixture);
}

/* Guards against pacing where the speed of the link is not known. */
static void test_no_pacing_without_a_speed(void)
{
	struct fixture *fixture = open_fixture(0);

	CU_ASSERT_PTR_NULL(fixture->pacing);
	CU_ASSERT_EQUAL(hx_get_backlog_us(fixture->pacing, 0, 90000), 0);
	hx_update_pacing_metrics(fixture->pacing);
	send_request(fixture, 'a', 0, "/length/200000/1000");
	run_until_ended(fixture, 1);
	CU_ASSERT_EQUAL(
		cnt_get_value(open_metric(fixture, "large", CNT_KIND_COUNTER)),
		0);
	close_fixture(fixture);
}

/*
 * Guards against an answer that waits for its turn on the link and counts as
 * one whose caller has stalled: while memory is full, the sweep closed its
 * connection.
 */
static void test_waiting_answer_is_not_stalled(void)
{
	struct fixture *fixture = open_fixture(SLOW_KBIT_S);
	size_t taken = fixture->account.bytes_max / 4 * 3;
	struct caller *first =
		send_request(fixture, 'a', 0, "/length/300000/60000");
	struct caller *second;

	run_until_received(fixture, first, 1);
	second = send_request(fixture, 'b', 0, "/length/60000/60000");
	run_until_received(fixture, second, 1);
	/* The link takes more than a second for these. */
	run_until_received(fixture, first, 200000);
	acc_take(&fixture->account, taken);
	hx_sweep(fixture->servers[0], 60000, 60000);
	acc_give(&fixture->account, taken);
	run_until_ended(fixture, 2);
	CU_ASSERT_STRING_EQUAL(fixture->ends->str, "ab");
	CU_ASSERT_TRUE(second->received->len > 60000);
	CU_ASSERT_EQUAL(fixture->lost_count, 0);
	close_fixture(fixture);
}

/*
 * Guards against a connection that is closed for a new one because its answer
 * waits for the link, while another caller has stalled.
 */
static void test_waiting_answer_is_not_evicted(void)
{
	struct fixture *fixture = open_small_fixture(SLOW_KBIT_S, 3);
	struct caller *first =
		send_request(fixture, 'a', 0, "/length/60000/60000");
	struct caller *second;

	run_until_received(fixture, first, 1);
	second = send_request(fixture, 'b', 0, "/length/30000/60000");
	run_until_received(fixture, second, 1);
	send_text(open_caller(fixture, 's', 0), "GET /length/1/1 HTTP/1.1\r\n");
	run_until_open(fixture, 3);
	send_request(fixture, 'n', 0, "/length/10/60000");
	run_until_ended(fixture, 4);
	CU_ASSERT_STRING_EQUAL(fixture->ends->str, "snab");
	CU_ASSERT_TRUE(second->received->len > 30000);
	CU_ASSERT_EQUAL(fixture->lost_count, 1);
	close_fixture(fixture);
}

/*
 * Guards against the same when memory is critical: the caller that has stalled
 * is closed, not the larger one whose answer waits for the link.
 */
static void test_waiting_answer_survives_critical_memory(void)
{
	struct fixture *fixture = open_fixture(SLOW_KBIT_S);
	size_t usual_max = fixture->account.bytes_max;
	struct caller *first =
		send_request(fixture, 'a', 0, "/length/60000/60000");
	struct caller *stalled;

	run_until_received(fixture, first, 1);
	stalled = open_caller(fixture, 's', 0);
	send_text(stalled, "GET /length/1/1 HTTP/1.1\r\n");
	run_until_open(fixture, 2);
	/* Critical, but not over the limit. */
	fixture->account.bytes_max = fixture->account.held_bytes / 15 * 16;
	send_text(stalled, "X: y\r\n");
	run_until_ended(fixture, 1);
	fixture->account.bytes_max = usual_max;
	run_until_ended(fixture, 2);
	CU_ASSERT_STRING_EQUAL(fixture->ends->str, "sa");
	CU_ASSERT_TRUE(first->received->len > 60000);
	close_fixture(fixture);
}

/*
 * Guards against a caller that counts as stalled since its last request because
 * no byte of the body of its new one has arrived.
 */
static void test_new_request_is_not_stalled(void)
{
	struct fixture *fixture = open_small_fixture(0, 2);
	struct caller *kept = open_caller(fixture, 'k', 0);
	struct caller *stalled;

	send_text(kept, "GET /length/10/60000 HTTP/1.1\r\nHost: a\r\n\r\n");
	run_until_received(fixture, kept, 10);
	stalled = open_caller(fixture, 's', 0);
	send_text(stalled, "GET /length/10/60000 HTTP/1.1\r\n");
	run_until_open(fixture, 1);
	run_for_a_tick(fixture);
	send_text(
		kept,
		"PUT /never HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n");
	run_until_open(fixture, 2);
	send_request(fixture, 'n', 0, "/length/10/60000");
	run_until_ended(fixture, 2);
	CU_ASSERT_STRING_EQUAL(fixture->ends->str, "sn");
	close_fixture(fixture);
}

static const CU_TestInfo tests[] = {
	{ "short answer overtakes large", test_short_answer_overtakes_large },
	{ "large answers end by deadline", test_large_answers_end_by_deadline },
	{ "reader that stops is passed", test_reader_that_stops_is_passed },
	{ "closed connections leave", test_closed_connections_leave },
	{ "server ends with waiting answers",
	  test_server_ends_with_waiting_answers },
	{ "no pacing without a speed", test_no_pacing_without_a_speed },
	{ "waiting answer is not stalled", test_waiting_answer_is_not_stalled },
	{ "waiting answer is not evicted", test_waiting_answer_is_not_evicted },
	{ "waiting answer survives critical memory",
	  test_waiting_answer_survives_critical_memory },
	{ "new request is not stalled", test_new_request_is_not_stalled },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("exchange pacing", tests);
}
