/*
 * Memory of the exchange server: the account of what its connections hold, and
 * which connections are closed when memory or descriptors run out.
 */
#include "exchange_internal.h"

/* Structures of a connection and of an exchange with the handler's state. */
#define CONNECTION_BYTES 512U
#define EXCHANGE_BYTES 3072U

/* A caller counts as stalled without progress for so long. */
#define STALL_MS 1000U
/* A stalled caller keeps its connection if it holds no more than this. */
#define STALLED_BYTES_MAX 16384U

static void set_share(struct hx_connection *connection, size_t *share,
		      size_t bytes)
{
	struct hx_server *server = connection->server;

	connection->held_bytes += bytes;
	connection->held_bytes -= *share;
	server->held_bytes += bytes;
	server->held_bytes -= *share;
	acc_set_share(server->options.account, share, bytes);
}

void hx_update_exchange_bytes(struct hx_exchange *exchange)
{
	const struct hx_head *head = &exchange->head;
	size_t bytes = EXCHANGE_BYTES + exchange->output_peak +
		       exchange->handler_bytes;

	if (head->text)
		bytes += head->text->allocated_len +
			 head->headers->len * sizeof(struct hx_header);
	set_share(exchange->connection, &exchange->held_bytes, bytes);
}

void hx_update_connection_bytes(struct hx_connection *connection)
{
	set_share(connection, &connection->own_bytes,
		  CONNECTION_BYTES +
			  (connection->input ? connection->input->len : 0));
}

void hx_give_exchange_bytes(struct hx_exchange *exchange)
{
	set_share(exchange->connection, &exchange->held_bytes, 0);
}

void hx_give_connection_bytes(struct hx_connection *connection)
{
	set_share(connection, &connection->own_bytes, 0);
}

/* Returns whether the connection waits until its caller sends or receives. */
static bool is_waiting_for_caller(const struct hx_connection *connection)
{
	const GList *head = connection->exchanges.head;
	const struct hx_exchange *first = head ? head->data : NULL;
	const struct hx_exchange *receiving = connection->receiving;

	if (connection->is_lingering)
		return true;
	if (!first)
		return false;
	if (hx_is_waiting_for_link(first,
				   tmr_get_now_ms(connection->server->timers)))
		return false;
	if (hx_get_unsent_size(first) > 0)
		return true;
	return receiving && receiving->phase != HX_PHASE_HELD &&
	       !receiving->is_body_paused;
}

static struct hx_connection *find_largest(const struct hx_server *server,
					  bool is_any_allowed)
{
	struct hx_connection *largest = NULL;
	size_t largest_bytes = 0;

	/* Of equal ones the last, which was active most recently. */
	for (GList *link = server->connections.head; link; link = link->next) {
		struct hx_connection *connection = link->data;

		if (!is_any_allowed && !is_waiting_for_caller(connection))
			continue;
		if (connection->held_bytes < largest_bytes)
			continue;
		largest = connection;
		largest_bytes = connection->held_bytes;
	}
	return largest;
}

static void count_eviction(const struct hx_server *server)
{
	if (server->options.evicted)
		cnt_add(server->options.evicted, 1);
}

void hx_relieve_memory(struct hx_server *server)
{
	const struct acc_account *account = server->options.account;
	struct hx_connection *largest;
	enum acc_level level;

	while ((level = acc_get_level(account)) >= ACC_LEVEL_CRITICAL) {
		/* Of servers with one account the larger one has to close. */
		if (server->held_bytes < account->held_bytes / 2)
			return;
		largest = find_largest(server, false);
		if (!largest && level == ACC_LEVEL_OVER)
			largest = find_largest(server, true);
		if (!largest)
			return;
		count_eviction(server);
		hx_free_connection(largest);
	}
}

static uint64_t get_progress_ms(const struct hx_connection *connection)
{
	const struct hx_exchange *receiving = connection->receiving;

	if (receiving && receiving->phase == HX_PHASE_HEAD)
		return connection->head_ms;
	return connection->active_ms;
}

void hx_close_stalled(struct hx_server *server)
{
	uint64_t now_ms = tmr_get_now_ms(server->timers);

	if (acc_get_level(server->options.account) < ACC_LEVEL_FULL)
		return;
	for (GList *link = server->connections.head; link; link = link->next) {
		struct hx_connection *connection = link->data;

		if (connection->socket < 0 ||
		    connection->held_bytes <= STALLED_BYTES_MAX ||
		    !is_waiting_for_caller(connection) ||
		    now_ms < get_progress_ms(connection) + STALL_MS)
			continue;
		count_eviction(server);
		hx_close_connection(connection);
	}
}

static struct hx_connection *find_longest_idle(const struct hx_server *server)
{
	for (GList *link = server->connections.head; link; link = link->next) {
		struct hx_connection *connection = link->data;

		if (connection->socket >= 0 && hx_is_idle(connection))
			return connection;
	}
	return NULL;
}

static struct hx_connection *
find_longest_stalled(const struct hx_server *server)
{
	struct hx_connection *longest = NULL;

	for (GList *link = server->connections.head; link; link = link->next) {
		struct hx_connection *connection = link->data;

		if (connection->socket < 0 ||
		    !is_waiting_for_caller(connection))
			continue;
		if (!longest ||
		    get_progress_ms(connection) < get_progress_ms(longest))
			longest = connection;
	}
	return longest;
}

bool hx_evict_connection(struct hx_server *server)
{
	struct hx_connection *connection = find_longest_idle(server);

	if (connection) {
		if (server->options.closed_early)
			cnt_add(server->options.closed_early, 1);
		hx_close_connection(connection);
		return true;
	}
	connection = find_longest_stalled(server);
	if (!connection)
		return false;
	count_eviction(server);
	hx_close_connection(connection);
	return true;
}
