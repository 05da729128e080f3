/*
 * Small requests on a client loop. Each request has its own curl handle, and
 * its answer is buffered up to a maximum size.
 *
 * Invariant: is_running is true exactly while the handle is in the loop.
 */
#include "loom/http.h"

#include <string.h>
#include "loom/error.h"

/* Enough for many round trips and the retransmission of a lost packet. */
#define CONNECT_TIMEOUT_MS 1000U

struct hc_request {
	struct hc_loop *loop;
	CURL *easy;
	struct curl_slist *headers;
	char *url;
	GString *answer;
	size_t answer_bytes_max;
	char *answer_header; /* NULL: none is read */
	uint32_t send_count;
	bool is_running;
	bool is_too_long;
	curl_off_t received_bytes; /* of the body, as sent */
	hc_progress_fn progress_fn;
	hc_answer_fn fn;
	void *data;
};

static size_t collect_answer(char *part, size_t size, size_t count, void *data)
{
	struct hc_request *request = data;

	if (request->answer->len + size * count > request->answer_bytes_max) {
		request->is_too_long = true;
		return 0;
	}
	g_string_append_len(request->answer, part, (gssize)(size * count));
	return size * count;
}

static size_t handle_header(char *line, size_t size, size_t count, void *data)
{
	struct hc_request *request = data;

	request->progress_fn(request->data);
	return size * count;
}

static int handle_progress(void *data, curl_off_t total_bytes,
			   curl_off_t received_bytes, curl_off_t upload_total,
			   curl_off_t uploaded_bytes)
{
	struct hc_request *request = data;

	if (received_bytes > request->received_bytes) {
		request->received_bytes = received_bytes;
		request->progress_fn(request->data);
	}
	return 0;
}

/*
 * curl sends a request again by itself when a reused connection turns out to be
 * closed. Only the caller of hc_send() may decide to repeat a request, so a
 * second send is aborted.
 */
static int prevent_resend(void *data, char *remote_ip, char *local_ip,
			  int remote_port, int local_port)
{
	struct hc_request *request = data;

	if (request->send_count++ > 0)
		return CURL_PREREQFUNC_ABORT;
	return CURL_PREREQFUNC_OK;
}

static enum err_code get_error_code(const struct hc_request *request,
				    CURLcode code)
{
	if (request->is_too_long || code == CURLE_BAD_CONTENT_ENCODING)
		return ERR_INVALID_MESSAGE;
	if (request->send_count == 0)
		return ERR_UNAVAILABLE;
	if (code == CURLE_OPERATION_TIMEDOUT)
		return ERR_TIMEOUT;
	return ERR_UNKNOWN_OUTCOME;
}

/* Returns the value of the wanted header (borrowed), or NULL. */
static const char *find_header(const struct hc_request *request)
{
	struct curl_header *header;

	if (!request->answer_header ||
	    curl_easy_header(request->easy, request->answer_header, 0,
			     CURLH_HEADER, -1, &header) != CURLHE_OK)
		return NULL;
	return header->value;
}

static void handle_done(CURL *easy, CURLcode code, void *data)
{
	struct hc_request *request = data;
	struct hc_answer answer = { 0 };
	GError *error = NULL;
	long status = 0;

	request->is_running = false;
	if (code == CURLE_OK) {
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
		answer.status = (uint32_t)status;
		answer.body = request->answer->str;
		answer.body_size = request->answer->len;
		answer.header = find_header(request);
	} else {
		err_set(&error, get_error_code(request, code), "send request",
			request->url, "%s",
			request->is_too_long ? "answer exceeds the size limit"
					     : curl_easy_strerror(code));
		answer.error = error;
	}
	request->fn(&answer, request->data);
	g_clear_error(&error);
	talloc_free(request);
}

static int destroy_request(struct hc_request *request)
{
	if (request->is_running)
		hc_remove_transfer(request->loop, request->easy);
	curl_easy_cleanup(request->easy);
	curl_slist_free_all(request->headers);
	g_string_free(request->answer, TRUE);
	return 0;
}

static void set_headers(struct hc_request *request,
			const struct hc_options *options)
{
	const char *const *header = options->headers;

	request->headers = curl_slist_append(NULL, "Expect:");
	for (; header && *header; header++)
		request->headers = curl_slist_append(request->headers, *header);
	curl_easy_setopt(request->easy, CURLOPT_HTTPHEADER, request->headers);
}

/* Has progress_fn called; the body is counted as it arrives, compressed. */
static void watch_progress(struct hc_request *request)
{
	CURL *easy = request->easy;

	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, handle_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, request);
	curl_easy_setopt(easy, CURLOPT_XFERINFOFUNCTION, handle_progress);
	curl_easy_setopt(easy, CURLOPT_XFERINFODATA, request);
	curl_easy_setopt(easy, CURLOPT_NOPROGRESS, 0L);
}

static uint32_t get_connect_timeout(const struct hc_options *options)
{
	if (options->timeout_ms == 0)
		return CONNECT_TIMEOUT_MS;
	return MIN(options->timeout_ms, CONNECT_TIMEOUT_MS);
}

static void set_options(struct hc_request *request,
			const struct hc_options *options)
{
	CURL *easy = request->easy;

	curl_easy_setopt(easy, CURLOPT_URL, request->url);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	if (options->body) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)options->body_size);
		curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, options->body);
	}
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, options->method);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)options->timeout_ms);
	hc_set_peer_timeouts(easy, get_connect_timeout(options));
	if (options->accepts_gzip)
		curl_easy_setopt(easy, CURLOPT_ACCEPT_ENCODING, "gzip");
	if (options->progress_fn)
		watch_progress(request);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, collect_answer);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, request);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, prevent_resend);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, request);
	set_headers(request, options);
}

struct hc_request *hc_send(TALLOC_CTX *ctx, struct hc_loop *loop,
			   const struct hc_options *options, hc_answer_fn fn,
			   void *data)
{
	struct hc_request *request = talloc_zero(ctx, struct hc_request);

	request->loop = loop;
	request->easy = curl_easy_init();
	request->url = talloc_strdup(request, options->url);
	request->answer = g_string_new(NULL);
	request->answer_bytes_max = options->answer_bytes_max;
	if (options->answer_header)
		request->answer_header =
			talloc_strdup(request, options->answer_header);
	request->progress_fn = options->progress_fn;
	request->fn = fn;
	request->data = data;
	talloc_set_destructor(request, destroy_request);
	set_options(request, options);
	request->is_running = hc_add_transfer(loop, request->easy, handle_done,
					      request, NULL);
	g_assert(request->is_running);
	return request;
}
