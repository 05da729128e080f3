/*
 * Tests of the HTTP server and client over loopback, on one event loop.
 */
#include <string.h>
#include "loom/error.h"
#include "loom/http.h"
#include "script.h"

#define LOOP_TURNS_MAX 10000
#define ANSWER_BYTES_MAX 4096

struct fixture {
	struct tevent_context *events;
	struct hc_loop *client;
	struct web_server *server;
	struct web_request *deferred;
	uint32_t status;
	uint32_t request_count;
	int error_code; /* -1: none */
	GString *body;
	bool is_done;
};

static void handle_request(struct web_request *request, void *data)
{
	struct fixture *fixture = data;
	const char *path = web_get_path(request);
	const char *body;
	size_t size;

	fixture->request_count++;
	if (strcmp(path, "/later") == 0) {
		fixture->deferred = request;
		return;
	}
	if (strcmp(path, "/lost") == 0) {
		web_abort(request);
		return;
	}
	body = web_get_body(request, &size);
	web_reply(request, 200, "text/plain", body, size);
}

static void note_answer(const struct hc_answer *answer, void *data)
{
	struct fixture *fixture = data;

	fixture->is_done = true;
	fixture->status = answer->status;
	fixture->error_code = answer->error ? answer->error->code : -1;
	g_string_assign(fixture->body, answer->body ? answer->body : "");
}

static struct fixture *open_fixture(void)
{
	struct fixture *fixture = talloc_zero(NULL, struct fixture);
	struct web_options options = { .address = "127.0.0.1",
				       .body_bytes_max = 1024,
				       .fn = handle_request,
				       .data = fixture };

	fixture->events = tevent_context_init(fixture);
	fixture->client = hc_new_loop(fixture, fixture->events, NULL);
	fixture->server =
		web_new_server(fixture, fixture->events, &options, NULL);
	fixture->body = g_string_new(NULL);
	return fixture;
}

static void close_fixture(struct fixture *fixture)
{
	TALLOC_FREE(fixture->server);
	TALLOC_FREE(fixture->client);
	g_string_free(fixture->body, TRUE);
	talloc_free(fixture);
}

static void send_request(struct fixture *fixture, const char *path,
			 const char *body)
{
	char *url = talloc_asprintf(fixture, "http://127.0.0.1:%u%s",
				    web_get_port(fixture->server), path);
	struct hc_options options = { .method = "POST",
				      .url = url,
				      .body = body,
				      .body_size = strlen(body),
				      .timeout_ms = 5000,
				      .answer_bytes_max = ANSWER_BYTES_MAX };

	fixture->is_done = false;
	hc_send(fixture, fixture->client, &options, note_answer, fixture);
}

static void run_until_done(struct fixture *fixture)
{
	for (int i = 0; i < LOOP_TURNS_MAX && !fixture->is_done; i++) {
		tevent_loop_once(fixture->events);
		if (!fixture->deferred)
			continue;
		web_reply(fixture->deferred, 202, "text/plain", "late", 4);
		fixture->deferred = NULL;
	}
	CU_ASSERT_TRUE(fixture->is_done);
}

static void test_request_is_echoed(void)
{
	struct fixture *fixture = open_fixture();

	send_request(fixture, "/echo", "hello");
	run_until_done(fixture);
	CU_ASSERT_EQUAL(fixture->status, 200);
	CU_ASSERT_STRING_EQUAL(fixture->body->str, "hello");
	close_fixture(fixture);
}

static void test_reply_may_come_later(void)
{
	struct fixture *fixture = open_fixture();

	send_request(fixture, "/later", "hello");
	run_until_done(fixture);
	CU_ASSERT_EQUAL(fixture->status, 202);
	CU_ASSERT_STRING_EQUAL(fixture->body->str, "late");
	close_fixture(fixture);
}

static void test_long_body_is_refused(void)
{
	struct fixture *fixture = open_fixture();
	char *body = g_strnfill(2000, 'x');

	send_request(fixture, "/echo", body);
	run_until_done(fixture);
	CU_ASSERT_EQUAL(fixture->status, 413);
	g_free(body);
	close_fixture(fixture);
}

static void test_lost_answer_is_unknown_and_not_repeated(void)
{
	struct fixture *fixture = open_fixture();

	/*
	 * The second request reuses the connection of the first; curl by itself
	 * would send it again when that connection is closed.
	 */
	send_request(fixture, "/echo", "one");
	run_until_done(fixture);
	send_request(fixture, "/lost", "two");
	run_until_done(fixture);
	CU_ASSERT_EQUAL(fixture->error_code, ERR_UNKNOWN_OUTCOME);
	CU_ASSERT_EQUAL(fixture->request_count, 2);
	close_fixture(fixture);
}

static void test_closed_port_is_unavailable(void)
{
	struct fixture *fixture = open_fixture();

	send_request(fixture, "/echo", "one");
	TALLOC_FREE(fixture->server);
	run_until_done(fixture);
	CU_ASSERT_EQUAL(fixture->error_code, ERR_UNAVAILABLE);
	close_fixture(fixture);
}

static const CU_TestInfo tests[] = {
	{ "request is echoed", test_request_is_echoed },
	{ "reply may come later", test_reply_may_come_later },
	{ "long body is refused", test_long_body_is_refused },
	{ "lost answer is unknown and not repeated",
	  test_lost_answer_is_unknown_and_not_repeated },
	{ "closed port is unavailable", test_closed_port_is_unavailable },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("http", tests);
}
