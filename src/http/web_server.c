/*
 * Server for small requests: buffers the request body up to a maximum size,
 * calls the handler, and sends the reply.
 *
 * When the handler returns without a reply, the connection is suspended.
 * web_reply() resumes it, and the reply is queued when libmicrohttpd calls
 * handle_access() again. Invariants: reply is set at most once; suspended holds
 * exactly the requests whose connection is suspended.
 */
#include "loom/http.h"

#include <assert.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/resource.h>
#include "loom/error.h"

#define CONNECTIONS_MAX_DEFAULT 1000U
#define WEB_IDLE_TIMEOUT_S 60U
/* All bodies together, in multiples of the longest allowed one. */
#define BODIES_MAX 2U
/* Bodies up to this size are taken in also when that is exceeded. */
#define SHORT_BODY_BYTES 16384U

struct web_server {
	struct MHD_Daemon *daemon;
	struct hs_loop *loop;
	struct web_options options;
	GHashTable *suspended; /* set of struct web_request */
	size_t body_bytes;     /* of all requests */
};

struct web_request {
	struct web_server *server;
	struct MHD_Connection *connection;
	char *method;
	char *path;
	GString *body;
	uint32_t refusal;     /* status instead of the handler's; 0: none */
	size_t dropped_bytes; /* of the body of a refused request */
	bool is_handled;
	bool is_suspended;
	bool is_aborted;
	struct curl_slist *headers; /* names and values, alternating */
	struct MHD_Response *reply;
	uint32_t status;
	web_closed_fn closed_fn;
	void *closed_data;
};

static struct web_request *make_request(struct web_server *server,
					struct MHD_Connection *connection,
					const char *path, const char *method)
{
	struct web_request *request = talloc_zero(server, struct web_request);

	request->server = server;
	request->connection = connection;
	request->path = talloc_strdup(request, path);
	request->method = talloc_strdup(request, method);
	request->body = g_string_new(NULL);
	return request;
}

static void drop_body(struct web_request *request)
{
	request->server->body_bytes -= request->body->len;
	g_string_free(request->body, TRUE);
	request->body = g_string_new(NULL);
}

/* Returns the status to refuse a longer body with, 0: it is taken in. */
static uint32_t check_body(const struct web_request *request, size_t size)
{
	const struct web_server *server = request->server;
	size_t body_bytes_max = server->options.body_bytes_max;

	if (request->body->len + size > body_bytes_max)
		return MHD_HTTP_CONTENT_TOO_LARGE;
	if (request->body->len + size > SHORT_BODY_BYTES &&
	    server->body_bytes + size > BODIES_MAX * body_bytes_max)
		return MHD_HTTP_SERVICE_UNAVAILABLE;
	return 0;
}

/* Returns false when the connection has to be closed. */
static bool collect_body(struct web_request *request, const char *part,
			 size_t size)
{
	if (request->refusal == 0) {
		request->refusal = check_body(request, size);
		if (request->refusal == 0) {
			request->server->body_bytes += size;
			g_string_append_len(request->body, part, (gssize)size);
			return true;
		}
		drop_body(request);
	}
	request->dropped_bytes += size;
	return request->dropped_bytes <=
	       request->server->options.body_bytes_max;
}

static void refuse_request(struct web_request *request)
{
	bool is_too_long = request->refusal == MHD_HTTP_CONTENT_TOO_LARGE;

	request->is_handled = true;
	web_reply_error(request, request->refusal,
			is_too_long ? "body too long" : "too many bodies");
}

static void handle_request(struct web_request *request)
{
	struct web_server *server = request->server;

	if (request->refusal != 0) {
		refuse_request(request);
		return;
	}
	request->is_handled = true;
	server->options.fn(request, server->options.data);
	if (request->reply || request->is_aborted)
		return;
	request->is_suspended = true;
	g_hash_table_add(server->suspended, request);
	MHD_suspend_connection(request->connection);
}

static bool is_announced_too_long(const struct web_request *request)
{
	const char *length =
		web_get_header(request, MHD_HTTP_HEADER_CONTENT_LENGTH);

	return length && g_ascii_strtoull(length, NULL, 10) >
				 request->server->options.body_bytes_max;
}

/*
 * The head is complete. A reply at this time makes libmicrohttpd close the
 * connection after it, without reading the body.
 */
static enum MHD_Result open_request(struct web_server *server,
				    struct MHD_Connection *connection,
				    const char *path, const char *method,
				    void **state)
{
	struct web_request *request =
		make_request(server, connection, path, method);

	*state = request;
	if (!is_announced_too_long(request))
		return MHD_YES;
	request->refusal = MHD_HTTP_CONTENT_TOO_LARGE;
	refuse_request(request);
	return MHD_queue_response(connection, request->status, request->reply);
}

static enum MHD_Result handle_access(void *data,
				     struct MHD_Connection *connection,
				     const char *path, const char *method,
				     const char *version, const char *upload,
				     size_t *upload_size, void **state)
{
	struct web_request *request = *state;

	if (!request)
		return open_request(data, connection, path, method, state);
	if (*upload_size > 0) {
		bool is_kept = collect_body(request, upload, *upload_size);

		*upload_size = 0;
		return is_kept ? MHD_YES : MHD_NO;
	}
	if (!request->is_handled)
		handle_request(request);
	if (request->is_aborted)
		return MHD_NO;
	if (!request->reply)
		return MHD_YES;
	return MHD_queue_response(connection, request->status, request->reply);
}

static void handle_completed(void *data, struct MHD_Connection *connection,
			     void **state, enum MHD_RequestTerminationCode code)
{
	struct web_request *request = *state;

	if (!request)
		return;
	if (!request->reply && request->closed_fn)
		request->closed_fn(request->closed_data);
	if (request->reply)
		MHD_destroy_response(request->reply);
	curl_slist_free_all(request->headers);
	drop_body(request);
	g_string_free(request->body, TRUE);
	talloc_free(request);
	*state = NULL;
}

static int destroy_server(struct web_server *server)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, server->suspended);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct web_request *request = key;

		request->is_aborted = true;
		MHD_resume_connection(request->connection);
	}
	g_hash_table_remove_all(server->suspended);
	TALLOC_FREE(server->loop);
	MHD_stop_daemon(server->daemon);
	g_hash_table_destroy(server->suspended);
	return 0;
}

static void resume_request(struct web_request *request)
{
	if (!request->is_suspended)
		return;
	request->is_suspended = false;
	g_hash_table_remove(request->server->suspended, request);
	MHD_resume_connection(request->connection);
	hs_wake(request->server->loop);
}

/* One descriptor of eight at most. */
static unsigned int get_connections_max(const struct web_options *options)
{
	struct rlimit files;
	unsigned int max = options->connections_max > 0
				   ? options->connections_max
				   : CONNECTIONS_MAX_DEFAULT;

	if (getrlimit(RLIMIT_NOFILE, &files) == 0 && files.rlim_cur / 8 < max)
		max = (unsigned int)(files.rlim_cur / 8);
	return MAX(max, 1);
}

struct web_server *web_new_server(TALLOC_CTX *ctx,
				  struct tevent_context *events,
				  const struct web_options *options,
				  GError **error)
{
	struct web_server *server = talloc_zero(ctx, struct web_server);
	struct sockaddr_in address;

	server->options = *options;
	if (!hs_parse_address(options->address, options->port, &address, error))
		goto fail;
	server->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, options->port, NULL,
		NULL, handle_access, server, MHD_OPTION_SOCK_ADDR, &address,
		MHD_OPTION_NOTIFY_COMPLETED, handle_completed, server,
		MHD_OPTION_CONNECTION_TIMEOUT, WEB_IDLE_TIMEOUT_S,
		MHD_OPTION_CONNECTION_LIMIT, get_connections_max(options),
		MHD_OPTION_END);
	if (!server->daemon) {
		err_set(error, ERR_UNAVAILABLE, "open server", options->address,
			"cannot listen on port %u", options->port);
		goto fail;
	}
	server->suspended = g_hash_table_new(NULL, NULL);
	server->loop = hs_attach_daemon(server, events, server->daemon);
	talloc_set_destructor(server, destroy_server);
	return server;
fail:
	talloc_free(server);
	return NULL;
}

uint16_t web_get_port(const struct web_server *server)
{
	return MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_BIND_PORT)
		->port;
}

const char *web_get_method(const struct web_request *request)
{
	return request->method;
}

const char *web_get_path(const struct web_request *request)
{
	return request->path;
}

const char *web_get_query(const struct web_request *request, const char *name)
{
	return MHD_lookup_connection_value(request->connection,
					   MHD_GET_ARGUMENT_KIND, name);
}

const char *web_get_header(const struct web_request *request, const char *name)
{
	return MHD_lookup_connection_value(request->connection, MHD_HEADER_KIND,
					   name);
}

const char *web_get_body(const struct web_request *request, size_t *size)
{
	if (size)
		*size = request->body->len;
	return request->body->str;
}

void web_add_header(struct web_request *request, const char *name,
		    const char *value)
{
	request->headers = curl_slist_append(request->headers, name);
	request->headers = curl_slist_append(request->headers, value);
}

void web_reply(struct web_request *request, uint32_t status,
	       const char *content_type, const char *body, size_t size)
{
	const struct curl_slist *header = request->headers;

	assert(!request->reply);
	request->status = status;
	request->reply = MHD_create_response_from_buffer(
		size, (void *)(uintptr_t)body, MHD_RESPMEM_MUST_COPY);
	MHD_add_response_header(request->reply, MHD_HTTP_HEADER_CONTENT_TYPE,
				content_type);
	for (; header && header->next; header = header->next->next)
		MHD_add_response_header(request->reply, header->data,
					header->next->data);
	resume_request(request);
}

void web_abort(struct web_request *request)
{
	request->is_aborted = true;
	resume_request(request);
}

void web_set_closed_fn(struct web_request *request, web_closed_fn fn,
		       void *data)
{
	request->closed_fn = fn;
	request->closed_data = data;
}
