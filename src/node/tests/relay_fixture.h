/*
 * A node on a virtual clock that polls stand-ins of watchers on loopback. The
 * stand-ins send what the test says. Included by one test program.
 */
#ifndef ND_RELAY_FIXTURE_H
#define ND_RELAY_FIXTURE_H

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "internal.h"
#include "loom/error.h"
#include "relay_poll.h"
#include "script.h"

#define LOOP_TURNS_MAX 100000U
#define IDLE_MS 1U
#define REQUEST_BYTES_MAX 2048U
#define CONNECTIONS_MAX 8U
#define WATCHERS 4U

#define OWN_ADDRESS "127.0.0.1"
#define DOMAIN_NAME "zone"

/* One connection of the node to a stand-in. */
struct connection {
	int socket;
	char request[REQUEST_BYTES_MAX];
	char address[INET_ADDRSTRLEN]; /* of the stand-in */
};

struct fixture {
	struct tevent_context *events;
	struct nd_node *node;
	struct nd_settings settings;
	struct mem_member members[WATCHERS + 1];
	int listener;
	uint16_t port;
	struct connection connections[CONNECTIONS_MAX];
	size_t connection_count;
	struct web_server *server; /* answers as a watcher */
	struct hc_answer answer;
	GString *body;
	GString *encoding;
	int error_code; /* -1: none */
	bool is_done;
};

static struct fixture *current;

/* These replace functions of the membership (--wrap in CMakeLists.txt). */
size_t list_test_members(
	struct mem_service *service,
	const struct mem_member **members) __asm__("__wrap_mem_list_members");
void ignore_sequence(struct mem_service *service, uint64_t sequence) __asm__(
	"__wrap_mem_set_manifest_sequence");

size_t list_test_members(struct mem_service *service,
			 const struct mem_member **members)
{
	*members = current->members;
	return G_N_ELEMENTS(current->members);
}

void ignore_sequence(struct mem_service *service, uint64_t sequence)
{
}

static struct doc_gateway *make_gateway(uint64_t sequence, size_t route_count)
{
	struct prob_list *list = prob_new_list(NULL);
	json_t *routes = json_array();
	struct doc_gateway *gateway;
	json_t *document;

	for (size_t i = 0; i < route_count; i++) {
		char *name = g_strdup_printf("r-%zu", i);
		char *path = g_strdup_printf("/orders/%zu/", i);

		json_array_append_new(
			routes,
			json_pack("{s:s,s:s,s:s,s:b,s:i,s:i,s:i,s:i,s:[{s:s,"
				  "s:i}]}",
				  "name", name, "host", "a.example", "path",
				  path, "repeatable", 1, "timeout_ms", 1000,
				  "objective_ms", 500, "attempts", 2,
				  "priority", 1, "shares", "service", "orders",
				  "weight", 100));
		g_free(name);
		g_free(path);
	}
	document = json_pack(
		"{s:s,s:I,s:[{s:s,s:i,s:i}],s:o,s:{s:i,s:i,s:i,s:i}}",
		"gateway", "main", "sequence", (json_int_t)sequence, "services",
		"service", "orders", "connections", 50, "cold_calls_per_second",
		10, "routes", routes, "limits", "header_bytes", 16384,
		"request_body_bytes", 1000000, "header_timeout_ms", 3000,
		"idle_timeout_ms", 15000);
	gateway = doc_parse_gateway("main", document, list);
	CU_ASSERT_PTR_NOT_NULL_FATAL(gateway);
	json_decref(document);
	talloc_free(list);
	return gateway;
}

static void read_request(struct tevent_context *events, struct tevent_fd *fde,
			 uint16_t flags, void *data)
{
	struct connection *connection = data;
	size_t used = strlen(connection->request);
	ssize_t size = recv(connection->socket, connection->request + used,
			    REQUEST_BYTES_MAX - 1 - used, 0);

	if (size <= 0)
		talloc_free(fde);
}

static void accept_connection(struct tevent_context *events,
			      struct tevent_fd *fde, uint16_t flags, void *data)
{
	struct fixture *fixture = data;
	struct connection *connection =
		&fixture->connections[fixture->connection_count];
	struct sockaddr_in address = { 0 };
	socklen_t size = sizeof(address);

	CU_ASSERT_TRUE_FATAL(fixture->connection_count < CONNECTIONS_MAX);
	fixture->connection_count++;
	connection->socket = accept(fixture->listener, NULL, NULL);
	getsockname(connection->socket, (struct sockaddr *)&address, &size);
	inet_ntop(AF_INET, &address.sin_addr, connection->address,
		  sizeof(connection->address));
	tevent_add_fd(events, fixture, connection->socket, TEVENT_FD_READ,
		      read_request, connection);
}

/* The stand-ins share a port; their addresses tell them apart. */
static void open_listener(struct fixture *fixture)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t size = sizeof(address);

	fixture->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	CU_ASSERT_EQUAL_FATAL(bind(fixture->listener,
				   (struct sockaddr *)&address,
				   sizeof(address)),
			      0);
	CU_ASSERT_EQUAL_FATAL(listen(fixture->listener, CONNECTIONS_MAX), 0);
	getsockname(fixture->listener, (struct sockaddr *)&address, &size);
	fixture->port = ntohs(address.sin_port);
	tevent_add_fd(fixture->events, fixture, fixture->listener,
		      TEVENT_FD_READ, accept_connection, fixture);
}

/* Member 0 is the node itself, which is too weak to be a watcher. */
static void fill_members(struct fixture *fixture)
{
	for (size_t i = 0; i <= WATCHERS; i++) {
		fixture->members[i].self = (struct mem_announcement){
			.address =
				i == 0 ? OWN_ADDRESS
				       : talloc_asprintf(fixture, "127.0.0.%zu",
							 10 + i),
			.admin_port = fixture->port,
			.capacity = i == 0 ? 1 : 100,
			.failure_domain = DOMAIN_NAME,
		};
	}
}

static void open_node(struct fixture *fixture)
{
	struct nd_node *node = talloc_zero(fixture, struct nd_node);
	struct doc_gateway *gateway = make_gateway(1, 1);
	const char *const none[] = { NULL };
	struct plat_options options;

	fixture->node = node;
	fixture->settings.address = OWN_ADDRESS;
	node->settings = &fixture->settings;
	node->events = fixture->events;
	node->timers = tmr_new_virtual(node, 1000000);
	node->counters = cnt_new_registry(node);
	plat_set_default_options(&options, "http://127.0.0.1:1");
	node->platform = plat_new_client(node, node->events, node->timers,
					 node->counters, &options, NULL);
	CU_ASSERT_TRUE_FATAL(nd_open_relay(node, NULL));
	node->gateway.domains_reversion = nd_new_reversion(node);
	/* A node with a configuration lets a watcher wait for a change. */
	node->gateway.snapshot =
		doc_build_gateway_snapshot(gateway, NULL, 0, none);
	doc_unref_gateway(gateway);
}

static struct fixture *open_fixture(void)
{
	struct fixture *fixture = talloc_zero(NULL, struct fixture);

	current = fixture;
	fixture->events = tevent_context_init(fixture);
	fixture->body = g_string_new(NULL);
	fixture->encoding = g_string_new(NULL);
	open_listener(fixture);
	fill_members(fixture);
	open_node(fixture);
	return fixture;
}

static void close_fixture(struct fixture *fixture)
{
	TALLOC_FREE(fixture->server);
	nd_close_relay(fixture->node);
	doc_unref_snapshot(fixture->node->gateway.snapshot);
	doc_unref_gateway(fixture->node->gateway.gateway);
	TALLOC_FREE(fixture->node);
	for (size_t i = 0; i < fixture->connection_count; i++)
		close(fixture->connections[i].socket);
	close(fixture->listener);
	g_string_free(fixture->body, TRUE);
	g_string_free(fixture->encoding, TRUE);
	talloc_free(fixture);
}

static void ignore_timer(struct tevent_context *events,
			 struct tevent_timer *timer, struct timeval now,
			 void *data)
{
}

/* Runs the loop once; it does not wait for longer than IDLE_MS. */
static void run_once(struct fixture *fixture)
{
	tevent_add_timer(fixture->events, fixture->events,
			 tevent_timeval_current_ofs(0, IDLE_MS * 1000),
			 ignore_timer, NULL);
	tevent_loop_once(fixture->events);
}

typedef bool (*condition_fn)(struct fixture *fixture);

static void run_until(struct fixture *fixture, condition_fn condition)
{
	for (uint32_t i = 0; i < LOOP_TURNS_MAX && !condition(fixture); i++)
		run_once(fixture);
	CU_ASSERT_TRUE_FATAL(condition(fixture));
}

static void advance(struct fixture *fixture, uint32_t delta_ms)
{
	tmr_advance(fixture->node->timers, delta_ms);
}

static struct connection *get_last(struct fixture *fixture)
{
	return &fixture->connections[fixture->connection_count - 1];
}

static bool has_request(struct fixture *fixture)
{
	return fixture->connection_count > 0 &&
	       strstr(get_last(fixture)->request, "\r\n\r\n");
}

static bool has_progress(struct fixture *fixture)
{
	const struct nd_poll *poll = fixture->node->relay.poll;

	return poll &&
	       poll->times.progress_ms == tmr_get_now_ms(fixture->node->timers);
}

static bool is_answer_applied(struct fixture *fixture)
{
	return fixture->node->gateway.domains_out;
}

static void send_bytes(struct connection *connection, const void *bytes,
		       size_t size)
{
	CU_ASSERT_EQUAL(send(connection->socket, bytes, size, MSG_NOSIGNAL),
			(ssize_t)size);
}

static void send_head(struct connection *connection, size_t size,
		      const char *headers)
{
	char *head = g_strdup_printf(
		"HTTP/1.1 200 OK\r\n"
		"Content-Length: %zu\r\n%s\r\n",
		size, headers);

	send_bytes(connection, head, strlen(head));
	g_free(head);
}

/* Has the node poll a watcher. Returns the connection of the poll. */
static struct connection *start_poll(struct fixture *fixture)
{
	size_t before = fixture->connection_count;

	nd_update_relay(fixture->node);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fixture->node->relay.poll);
	while (fixture->connection_count == before)
		run_once(fixture);
	run_until(fixture, has_request);
	return get_last(fixture);
}

#endif
