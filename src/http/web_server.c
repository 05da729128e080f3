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
#include "loom/error.h"

#define WEB_IDLE_TIMEOUT_S 60U

struct web_server {
	struct MHD_Daemon *daemon;
	struct hs_loop *loop;
	struct web_options options;
	GHashTable *suspended; /* set of struct web_request */
};

struct web_request {
	struct web_server *server;
	struct MHD_Connection *connection;
	char *method;
	char *path;
	GString *body;
	bool is_too_long;
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

static void collect_body(struct web_request *request, const char *part,
			 size_t size)
{
	if (request->body->len + size > request->server->options.body_bytes_max)
		request->is_too_long = true;
	else
		g_string_append_len(request->body, part, (gssize)size);
}

static void handle_request(struct web_request *request)
{
	static const char too_long[] = "{\"error\":\"body too long\"}";
	struct web_server *server = request->server;

	request->is_handled = true;
	if (request->is_too_long)
		web_reply(request, MHD_HTTP_CONTENT_TOO_LARGE,
			  "application/json", too_long, sizeof(too_long) - 1);
	else
		server->options.fn(request, server->options.data);
	if (request->reply || request->is_aborted)
		return;
	request->is_suspended = true;
	g_hash_table_add(server->suspended, request);
	MHD_suspend_connection(request->connection);
}

static enum MHD_Result handle_access(void *data,
				     struct MHD_Connection *connection,
				     const char *path, const char *method,
				     const char *version, const char *upload,
				     size_t *upload_size, void **state)
{
	struct web_request *request = *state;

	if (!request) {
		*state = make_request(data, connection, path, method);
		return MHD_YES;
	}
	if (*upload_size > 0) {
		collect_body(request, upload, *upload_size);
		*upload_size = 0;
		return MHD_YES;
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
