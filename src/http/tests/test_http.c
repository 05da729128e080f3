/*
 * Tests of the HTTP server and client over loopback, on one event loop.
 */
#include <string.h>
#include <sys/resource.h>
#include <zlib.h>
#include "loom/error.h"
#include "loom/http.h"
#include "script.h"

#define LOOP_TURNS_MAX 10000
#define ANSWER_BYTES_MAX 4096
#define GZIP_WINDOW_BITS (16 + MAX_WBITS)
/* Decompressed, far more than the process may grow by. */
#define BOMB_BYTES (64U * 1024U * 1024U)
#define GROWTH_KB_MAX (16L * 1024L)
#define PIECE_BYTES 65536U

struct fixture {
	struct tevent_context *events;
	struct hc_loop *client;
	struct web_server *server;
	struct web_request *deferred;
	uint32_t status;
	uint32_t request_count;
	int error_code; /* -1: none */
	GString *body;
	GByteArray *compressed; /* reply to /compressed */
	uint32_t progress_count;
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
	if (strcmp(path, "/compressed") == 0) {
		web_add_header(request, MHD_HTTP_HEADER_CONTENT_ENCODING,
			       "gzip");
		web_reply(request, 200, "text/plain",
			  (const char *)fixture->compressed->data,
			  fixture->compressed->len);
		return;
	}
	if (strcmp(path, "/accepted") == 0) {
		body = web_get_header(request, MHD_HTTP_HEADER_ACCEPT_ENCODING);
		body = body ? body : "none";
		web_reply(request, 200, "text/plain", body, strlen(body));
		return;
	}
	body = web_get_body(request, &size);
	web_reply(request, 200, "text/plain", body, size);
}

static void record_answer(const struct hc_answer *answer, void *data)
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
	if (fixture->compressed)
		g_byte_array_unref(fixture->compressed);
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
	hc_send(fixture, fixture->client, &options, record_answer, fixture);
}

static void record_progress(void *data)
{
	struct fixture *fixture = data;

	CU_ASSERT_FALSE(fixture->is_done);
	fixture->progress_count++;
}

static void send_accepting_gzip(struct fixture *fixture, const char *path)
{
	struct hc_options options = {
		.method = "GET",
		.url = talloc_asprintf(fixture, "http://127.0.0.1:%u%s",
				       web_get_port(fixture->server), path),
		.answer_bytes_max = ANSWER_BYTES_MAX,
		.accepts_gzip = true,
		.progress_fn = record_progress,
	};

	fixture->is_done = false;
	hc_send(fixture, fixture->client, &options, record_answer, fixture);
}

/* Sets the reply to /compressed to that number of bytes x, as gzip. */
static void compress_bytes(struct fixture *fixture, size_t size)
{
	uint8_t *text = talloc_array(fixture, uint8_t, PIECE_BYTES);
	uint8_t *output = talloc_array(fixture, uint8_t, PIECE_BYTES);
	z_stream stream = { 0 };
	int result = Z_OK;

	memset(text, 'x', PIECE_BYTES);
	fixture->compressed = g_byte_array_new();
	deflateInit2(&stream, 1, Z_DEFLATED, GZIP_WINDOW_BITS, 8,
		     Z_DEFAULT_STRATEGY);
	while (result == Z_OK) {
		if (stream.avail_in == 0) {
			stream.next_in = text;
			stream.avail_in = (uInt)MIN(size, PIECE_BYTES);
			size -= stream.avail_in;
		}
		stream.next_out = output;
		stream.avail_out = PIECE_BYTES;
		result = deflate(&stream, size == 0 ? Z_FINISH : Z_NO_FLUSH);
		g_byte_array_append(fixture->compressed, output,
				    PIECE_BYTES - stream.avail_out);
	}
	CU_ASSERT_EQUAL_FATAL(result, Z_STREAM_END);
	deflateEnd(&stream);
}

static long get_max_memory_kb(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return usage.ru_maxrss;
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

/* Only requests that say so get a compressed answer. */
static void test_gzip_is_accepted_on_request_only(void)
{
	struct fixture *fixture = open_fixture();

	send_request(fixture, "/accepted", "");
	run_until_done(fixture);
	CU_ASSERT_STRING_EQUAL(fixture->body->str, "none");
	send_accepting_gzip(fixture, "/accepted");
	run_until_done(fixture);
	CU_ASSERT_STRING_EQUAL(fixture->body->str, "gzip");
	close_fixture(fixture);
}

static void test_compressed_answer_is_decompressed(void)
{
	struct fixture *fixture = open_fixture();
	char *wanted = g_strnfill(ANSWER_BYTES_MAX, 'x');

	compress_bytes(fixture, ANSWER_BYTES_MAX);
	send_accepting_gzip(fixture, "/compressed");
	run_until_done(fixture);
	CU_ASSERT_EQUAL(fixture->error_code, -1);
	CU_ASSERT_STRING_EQUAL(fixture->body->str, wanted);
	CU_ASSERT_TRUE(fixture->progress_count > 0);
	g_free(wanted);
	close_fixture(fixture);
}

/* The limit holds for the text, which may be much larger than what is sent. */
static void test_oversized_compressed_answer_is_refused(void)
{
	struct fixture *fixture = open_fixture();
	long before_kb;

	compress_bytes(fixture, ANSWER_BYTES_MAX + 1);
	send_accepting_gzip(fixture, "/compressed");
	run_until_done(fixture);
	CU_ASSERT_EQUAL(fixture->error_code, ERR_INVALID_MESSAGE);
	g_byte_array_unref(fixture->compressed);
	compress_bytes(fixture, BOMB_BYTES);
	before_kb = get_max_memory_kb();
	send_accepting_gzip(fixture, "/compressed");
	run_until_done(fixture);
	CU_ASSERT_EQUAL(fixture->error_code, ERR_INVALID_MESSAGE);
	CU_ASSERT_TRUE(get_max_memory_kb() - before_kb < GROWTH_KB_MAX);
	close_fixture(fixture);
}

/* Each byte is changed once: no such answer may be taken for the right one. */
static void test_corrupt_compressed_answer_is_refused(void)
{
	struct fixture *fixture = open_fixture();
	char *wanted = g_strnfill(ANSWER_BYTES_MAX, 'x');

	compress_bytes(fixture, ANSWER_BYTES_MAX);
	for (guint i = 0; i < fixture->compressed->len; i++) {
		fixture->compressed->data[i] ^= 0x55;
		send_accepting_gzip(fixture, "/compressed");
		run_until_done(fixture);
		CU_ASSERT_TRUE(fixture->error_code != -1 ||
			       strcmp(fixture->body->str, wanted) == 0);
		fixture->compressed->data[i] ^= 0x55;
	}
	fixture->compressed->data[fixture->compressed->len - 5] ^= 1;
	send_accepting_gzip(fixture, "/compressed");
	run_until_done(fixture);
	CU_ASSERT_EQUAL(fixture->error_code, ERR_INVALID_MESSAGE);
	g_free(wanted);
	close_fixture(fixture);
}

static const CU_TestInfo tests[] = {
	{ "request is echoed", test_request_is_echoed },
	{ "reply may come later", test_reply_may_come_later },
	{ "long body is refused", test_long_body_is_refused },
	{ "lost answer is unknown and not repeated",
	  test_lost_answer_is_unknown_and_not_repeated },
	{ "closed port is unavailable", test_closed_port_is_unavailable },
	{ "gzip is accepted on request only",
	  test_gzip_is_accepted_on_request_only },
	{ "compressed answer is decompressed",
	  test_compressed_answer_is_decompressed },
	{ "oversized compressed answer is refused",
	  test_oversized_compressed_answer_is_refused },
	{ "corrupt compressed answer is refused",
	  test_corrupt_compressed_answer_is_refused },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("http", tests);
}
