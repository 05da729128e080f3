/*
 * Tests of the polls of a node: when an answer is given up, that a slow answer
 * is not requested twice, and how answers are compressed.
 *
 * The node runs on a virtual clock, and so do its time limits; the peers are
 * stand-ins on loopback that send what the test says. So no result depends on
 * the speed of the machine.
 */
#include <string.h>
#include "relay_fixture.h"

/* As in relay.c. */
#define POLL_WAIT_MS 2000U
#define FETCH_DELAY_MS 700U
#define FETCH_LATEST_MS 1200U
#define FETCH_RECHECK_MS 100U
/* Shorter than ND_POLL_GRACE_MS; all pieces together take longer. */
#define PIECE_MS 300U
#define PIECES 12U
#define ROUTES 400U
#define ANSWER                                                                 \
	"{\"is_fit\":true,\"domains\":{\"revision\":5,\"out\":[\"zone-1\"]}}"

/* Sends a piece of ANSWER and waits until the node has received it. */
static void send_piece(struct fixture *fixture, struct connection *connection,
		       size_t index)
{
	size_t size = strlen(ANSWER);
	size_t start = index * size / PIECES;

	send_bytes(connection, ANSWER + start,
		   (index + 1) * size / PIECES - start);
	if (index + 1 < PIECES)
		run_until(fixture, has_progress);
}

/*
 * A change of 1,720 routes took longer over a link of 10 Mbit/s than the limit
 * of a poll, so nodes gave up answers that were still arriving.
 */
static void test_slow_answer_is_not_given_up(void)
{
	struct fixture *fixture = open_fixture();
	struct connection *connection = start_poll(fixture);

	advance(fixture, POLL_WAIT_MS);
	send_head(connection, strlen(ANSWER), "");
	run_until(fixture, has_progress);
	for (size_t i = 0; i < PIECES; i++) {
		advance(fixture, PIECE_MS);
		send_piece(fixture, connection, i);
	}
	run_until(fixture, is_answer_applied);
	CU_ASSERT_EQUAL(fixture->connection_count, 1);
	CU_ASSERT_STRING_EQUAL(fixture->node->gateway.domains_out[0], "zone-1");
	close_fixture(fixture);
}

/* Asserts that a poll ends exactly rest_ms from now and another peer is next.
 */
static void check_end(struct fixture *fixture, struct connection *connection,
		      uint32_t rest_ms)
{
	struct nd_poll *poll = fixture->node->relay.poll;

	advance(fixture, rest_ms - 1);
	CU_ASSERT_PTR_EQUAL(fixture->node->relay.poll, poll);
	CU_ASSERT_NSTRING_EQUAL(poll->peer, connection->address,
				strlen(connection->address));
	advance(fixture, 1);
	poll = fixture->node->relay.poll;
	CU_ASSERT_PTR_NOT_NULL_FATAL(poll);
	CU_ASSERT_NSTRING_NOT_EQUAL(poll->peer, connection->address,
				    strlen(connection->address));
}

/* A watcher that answers nothing is detected as soon as before. */
static void test_silent_peer_is_given_up(void)
{
	struct fixture *fixture = open_fixture();
	struct connection *connection = start_poll(fixture);

	check_end(fixture, connection, POLL_WAIT_MS + ND_POLL_GRACE_MS);
	close_fixture(fixture);
}

static void test_stalled_answer_is_given_up(void)
{
	struct fixture *fixture = open_fixture();
	struct connection *connection = start_poll(fixture);

	advance(fixture, POLL_WAIT_MS + PIECE_MS);
	send_head(connection, strlen(ANSWER), "");
	send_piece(fixture, connection, 0);
	check_end(fixture, connection, ND_POLL_GRACE_MS);
	close_fixture(fixture);
}

/* A peer that sends a byte now and then must not hold the poll for ever. */
static void test_trickle_is_given_up(void)
{
	struct fixture *fixture = open_fixture();
	struct connection *connection = start_poll(fixture);
	uint32_t now_ms = POLL_WAIT_MS;

	advance(fixture, now_ms);
	send_head(connection, strlen(ANSWER), "");
	run_until(fixture, has_progress);
	for (; now_ms + PIECE_MS < POLL_WAIT_MS + ND_POLL_TOTAL_MS;
	     now_ms += PIECE_MS) {
		advance(fixture, PIECE_MS);
		send_bytes(connection, "{", 1);
		run_until(fixture, has_progress);
	}
	check_end(fixture, connection,
		  POLL_WAIT_MS + ND_POLL_TOTAL_MS - now_ms);
	close_fixture(fixture);
}

/*
 * When the loop was held up, bytes may wait unread at the end of the time; such
 * an answer is looked at once more. The total time has no such exception.
 */
static void test_late_look_is_repeated(void)
{
	const struct nd_poll_times times = { .start_ms = 1000,
					     .wait_ms = 2000,
					     .progress_ms = 3100 };
	const uint64_t end_ms = 3000 + ND_POLL_TOTAL_MS;

	CU_ASSERT_EQUAL(nd_get_poll_rest(&times, 3400, 3400), 100);
	CU_ASSERT_EQUAL(nd_get_poll_rest(&times, 3500, 3500), 0);
	CU_ASSERT_TRUE(nd_get_poll_rest(&times, 3500, 3800) > 0);
	CU_ASSERT_EQUAL(nd_get_poll_rest(&times, 3820, 3821), 0);
	CU_ASSERT_EQUAL(nd_get_poll_rest(&times, 3500, end_ms), 0);
	CU_ASSERT_TRUE(nd_is_poll_receiving(&times, 3499));
	CU_ASSERT_FALSE(nd_is_poll_receiving(&times, 3500));
}

static void report_ahead(struct fixture *fixture)
{
	char *peer = talloc_asprintf(fixture, "127.0.0.99:%u", fixture->port);

	nd_handle_newer(fixture->node, peer, 5);
}

/*
 * While a watcher sends a change, the node must not request the same change
 * from a node that is ahead: the repeated answer fills links that are slow.
 */
static void test_slow_answer_is_not_fetched_twice(void)
{
	struct fixture *fixture = open_fixture();
	struct connection *connection = start_poll(fixture);

	report_ahead(fixture);
	send_head(connection, strlen(ANSWER), "");
	run_until(fixture, has_progress);
	for (size_t i = 0; i < FETCH_LATEST_MS / PIECE_MS - 1; i++) {
		advance(fixture, PIECE_MS);
		CU_ASSERT_PTR_NULL(fixture->node->relay.fetch);
		send_piece(fixture, connection, i);
	}
	advance(fixture, PIECE_MS - 1);
	CU_ASSERT_PTR_NULL(fixture->node->relay.fetch);
	/* An answer that takes longer is late for the bound of a change. */
	advance(fixture, 1);
	CU_ASSERT_PTR_NOT_NULL(fixture->node->relay.fetch);
	close_fixture(fixture);
}

/* An answer that has stalled must not hold up the change until the limit. */
static void test_stalled_answer_does_not_delay_the_fetch(void)
{
	struct fixture *fixture = open_fixture();
	struct connection *connection = start_poll(fixture);

	report_ahead(fixture);
	advance(fixture, FETCH_DELAY_MS - 1);
	send_head(connection, strlen(ANSWER), "");
	run_until(fixture, has_progress);
	advance(fixture, ND_POLL_GRACE_MS);
	CU_ASSERT_PTR_NULL(fixture->node->relay.fetch);
	advance(fixture, FETCH_RECHECK_MS);
	CU_ASSERT_PTR_NOT_NULL(fixture->node->relay.fetch);
	close_fixture(fixture);
}

static void test_silent_watcher_does_not_delay_the_fetch(void)
{
	struct fixture *fixture = open_fixture();

	start_poll(fixture);
	report_ahead(fixture);
	advance(fixture, FETCH_DELAY_MS - 1);
	CU_ASSERT_PTR_NULL(fixture->node->relay.fetch);
	advance(fixture, 1);
	CU_ASSERT_PTR_NOT_NULL(fixture->node->relay.fetch);
	close_fixture(fixture);
}

/* The rest of an answer whose changes are known would only use the link. */
static void test_fetch_ends_when_the_watcher_answers(void)
{
	struct fixture *fixture = open_fixture();
	struct connection *connection = start_poll(fixture);

	report_ahead(fixture);
	advance(fixture, FETCH_DELAY_MS);
	CU_ASSERT_PTR_NOT_NULL(fixture->node->relay.fetch);
	send_head(connection, strlen(ANSWER), "");
	send_bytes(connection, ANSWER, strlen(ANSWER));
	run_until(fixture, is_answer_applied);
	CU_ASSERT_PTR_NULL(fixture->node->relay.fetch);
	close_fixture(fixture);
}

static struct nd_deflated *deflate_text(TALLOC_CTX *ctx, const char *text)
{
	return nd_deflate_text(ctx, text, strlen(text));
}

/* Sends a compressed answer, of which one byte is changed if is_corrupt. */
static void send_compressed(struct fixture *fixture, bool is_corrupt)
{
	struct connection *connection = start_poll(fixture);
	const struct nd_deflated *part = deflate_text(fixture, ANSWER);
	GByteArray *bytes = nd_join_gzip(&part, 1);

	CU_ASSERT_PTR_NOT_NULL(
		strstr(connection->request, "Accept-Encoding: gzip\r\n"));
	if (is_corrupt)
		bytes->data[bytes->len - 5] ^= 1;
	send_head(connection, bytes->len, "Content-Encoding: gzip\r\n");
	send_bytes(connection, bytes->data, bytes->len);
	g_byte_array_unref(bytes);
}

static void test_compressed_answer_is_applied(void)
{
	struct fixture *fixture = open_fixture();

	send_compressed(fixture, false);
	run_until(fixture, is_answer_applied);
	close_fixture(fixture);
}

static bool is_other_polled(struct fixture *fixture)
{
	const struct nd_poll *poll = fixture->node->relay.poll;
	const char *first = fixture->connections[0].address;

	return poll && strncmp(poll->peer, first, strlen(first)) != 0;
}

static void test_corrupt_answer_is_refused(void)
{
	struct fixture *fixture = open_fixture();

	send_compressed(fixture, true);
	run_until(fixture, is_other_polled);
	CU_ASSERT_PTR_NULL(fixture->node->gateway.domains_out);
	close_fixture(fixture);
}

static void handle_request(struct web_request *request, void *data)
{
	nd_handle_changes(data, request);
}

static void open_watcher(struct fixture *fixture, size_t route_count)
{
	struct web_options options = { .address = "127.0.0.1",
				       .body_bytes_max = 1024,
				       .fn = handle_request,
				       .data = fixture->node };

	fixture->node->gateway.gateway = make_gateway(7, route_count);
	fixture->server =
		web_new_server(fixture, fixture->events, &options, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fixture->server);
}

static void record_answer(const struct hc_answer *answer, void *data)
{
	struct fixture *fixture = data;

	fixture->is_done = true;
	fixture->error_code = answer->error ? answer->error->code : -1;
	g_string_assign(fixture->encoding,
			answer->header ? answer->header : "none");
	g_string_truncate(fixture->body, 0);
	if (answer->body)
		g_string_append_len(fixture->body, answer->body,
				    (gssize)answer->body_size);
}

static bool is_done(struct fixture *fixture)
{
	return fixture->is_done;
}

static void request_changes(struct fixture *fixture, bool accepts_gzip)
{
	struct hc_options options = {
		.method = "GET",
		.url = talloc_asprintf(
			fixture,
			"http://127.0.0.1:%u/configuration/changes"
			"?gateway=0&moves=0&domains=0&wait_ms=0",
			web_get_port(fixture->server)),
		.answer_bytes_max = 1024 * 1024,
		.accepts_gzip = accepts_gzip,
		.answer_header = "Content-Encoding",
	};

	fixture->is_done = false;
	hc_send(fixture, fixture->node->relay.client, &options, record_answer,
		fixture);
	run_until(fixture, is_done);
	CU_ASSERT_EQUAL(fixture->error_code, -1);
}

/*
 * Nodes of different versions must understand each other during an upgrade: one
 * that does not ask for gzip gets the same text without it.
 */
static void test_only_who_accepts_gzip_gets_it(void)
{
	struct fixture *fixture = open_fixture();
	char *plain;

	open_watcher(fixture, ROUTES);
	request_changes(fixture, false);
	CU_ASSERT_STRING_EQUAL(fixture->encoding->str, "none");
	plain = g_strdup(fixture->body->str);
	CU_ASSERT_TRUE(strlen(plain) > ROUTES);
	for (int i = 0; i < 2; i++) {
		request_changes(fixture, true);
		CU_ASSERT_STRING_EQUAL(fixture->encoding->str, "gzip");
		CU_ASSERT_STRING_EQUAL(fixture->body->str, plain);
	}
	g_free(plain);
	close_fixture(fixture);
}

static void test_compressed_delta_is_cached(void)
{
	struct fixture *fixture = open_fixture();
	const struct nd_deflated *cached;

	open_watcher(fixture, ROUTES);
	request_changes(fixture, true);
	cached = fixture->node->relay.delta.deflated;
	CU_ASSERT_PTR_NOT_NULL(cached);
	request_changes(fixture, true);
	CU_ASSERT_PTR_EQUAL(fixture->node->relay.delta.deflated, cached);
	doc_unref_gateway(fixture->node->gateway.gateway);
	fixture->node->gateway.gateway = make_gateway(8, ROUTES + 1);
	request_changes(fixture, true);
	CU_ASSERT_PTR_NOT_NULL(strstr(fixture->body->str, "\"sequence\":8"));
	close_fixture(fixture);
}

static void test_small_answer_is_not_compressed(void)
{
	struct fixture *fixture = open_fixture();

	open_watcher(fixture, 1);
	request_changes(fixture, true);
	CU_ASSERT_STRING_EQUAL(fixture->encoding->str, "none");
	CU_ASSERT_PTR_NULL(fixture->node->relay.delta.deflated);
	close_fixture(fixture);
}

static const CU_TestInfo tests[] = {
	{ "slow answer is not given up", test_slow_answer_is_not_given_up },
	{ "silent peer is given up", test_silent_peer_is_given_up },
	{ "stalled answer is given up", test_stalled_answer_is_given_up },
	{ "trickle is given up", test_trickle_is_given_up },
	{ "late look is repeated", test_late_look_is_repeated },
	{ "slow answer is not fetched twice",
	  test_slow_answer_is_not_fetched_twice },
	{ "stalled answer does not delay the fetch",
	  test_stalled_answer_does_not_delay_the_fetch },
	{ "silent watcher does not delay the fetch",
	  test_silent_watcher_does_not_delay_the_fetch },
	{ "fetch ends when the watcher answers",
	  test_fetch_ends_when_the_watcher_answers },
	{ "compressed answer is applied", test_compressed_answer_is_applied },
	{ "corrupt answer is refused", test_corrupt_answer_is_refused },
	{ "only who accepts gzip gets it", test_only_who_accepts_gzip_gets_it },
	{ "compressed delta is cached", test_compressed_delta_is_cached },
	{ "small answer is not compressed",
	  test_small_answer_is_not_compressed },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("relay", tests);
}
