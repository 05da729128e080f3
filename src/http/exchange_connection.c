/*
 * One connection: receives requests, keeps their exchanges in order and sends
 * the answers.
 *
 * Receiving stops while a request must not begin yet, while a handler has
 * paused a body and while HX_PIPELINE_MAX requests are in progress; bytes that
 * were received but not parsed wait in `input`. A request that follows an
 * answer which closes the connection is never begun, so the caller may send it
 * again, whatever it is.
 */
#include <assert.h>
#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>
#include "exchange_internal.h"

/*
 * A connection that closes reads and drops what the peer still sends for this
 * long: a close with unread bytes would reset it and destroy the answer. Only
 * the time is limited, since a peer may write much before it reads the answer.
 */
#define LINGER_MS 2000U
/* Of an answer, what stays allocated when all bytes so far were sent. */
#define OUTPUT_KEPT_BYTES 16384U
/* Bounds on what one connection does before the others have their turn. */
#define RECEIVES_PER_ROUND_MAX 4U
#define ROUNDS_PER_TURN_MAX 4U

static uint64_t get_now_ms(const struct hx_connection *connection)
{
	return tmr_get_now_ms(connection->server->timers);
}

struct hx_connection *hx_new_connection(struct hx_server *server, int socket)
{
	struct hx_connection *connection = g_new0(struct hx_connection, 1);

	connection->server = server;
	connection->socket = socket;
	connection->link.data = connection;
	connection->active_ms = tmr_get_now_ms(server->timers);
	hx_open_parser(&connection->parser, server->options.head_bytes_max);
	g_queue_init(&connection->exchanges);
	hx_update_connection_bytes(connection);
	return connection;
}

void hx_mark_dirty(struct hx_connection *connection)
{
	if (connection->is_advancing) {
		connection->is_marked = true;
		return;
	}
	if (connection->is_dirty)
		return;
	connection->is_dirty = true;
	g_queue_push_tail(&connection->server->dirty, connection);
	hx_schedule_advance(connection->server);
}

/* Returns whether an orderly close would make a partial answer look whole. */
static bool must_reset(const struct hx_connection *connection)
{
	const GList *link = connection->exchanges.head;
	const struct hx_exchange *first = link ? link->data : NULL;

	return first && first->status != 0 &&
	       first->framing == HX_FRAMING_UNTIL_CLOSE &&
	       (!first->is_ended || first->is_aborted ||
		hx_get_unsent_size(first) > 0);
}

static void reset_on_close(int socket)
{
	static const struct linger reset = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

void hx_close_connection(struct hx_connection *connection)
{
	if (connection->socket < 0)
		return;
	if (must_reset(connection))
		reset_on_close(connection->socket);
	close(connection->socket);
	connection->socket = -1;
	hx_mark_dirty(connection);
}

/* Removes the exchange from its connection, tells the handler and frees it. */
static void end_exchange(struct hx_exchange *exchange, enum hx_end how)
{
	struct hx_connection *connection = exchange->connection;
	const struct hx_options *options = &connection->server->options;

	g_queue_remove(&connection->exchanges, exchange);
	if (connection->receiving == exchange) {
		connection->receiving = NULL;
		connection->parser.head = NULL;
	}
	if (exchange->phase != HX_PHASE_FAILED)
		options->handler->end(exchange, how, options->data);
	hx_free_exchange(exchange);
	connection->active_ms = get_now_ms(connection);
	g_queue_unlink(&connection->server->connections, &connection->link);
	g_queue_push_tail_link(&connection->server->connections,
			       &connection->link);
}

static void end_all_exchanges(struct hx_connection *connection)
{
	while (connection->exchanges.tail)
		end_exchange(connection->exchanges.tail->data, HX_END_LOST);
}

void hx_free_connection(struct hx_connection *connection)
{
	struct hx_server *server = connection->server;

	hx_close_connection(connection);
	end_all_exchanges(connection);
	if (connection->is_dirty)
		g_queue_remove(&server->dirty, connection);
	g_queue_unlink(&server->connections, &connection->link);
	if (connection->input)
		g_byte_array_unref(connection->input);
	hx_give_connection_bytes(connection);
	g_free(connection);
}

bool hx_is_idle(const struct hx_connection *connection)
{
	return connection->exchanges.length == 0;
}

bool hx_is_overdue(const struct hx_connection *connection, uint64_t now_ms,
		   uint32_t idle_timeout_ms, uint32_t head_timeout_ms)
{
	const GList *head = connection->exchanges.head;
	const struct hx_exchange *first = head ? head->data : NULL;

	if (connection->is_lingering)
		return now_ms >= connection->active_ms + LINGER_MS;
	if (first && first->phase == HX_PHASE_HEAD)
		return now_ms >= connection->head_ms + head_timeout_ms;
	if (first && hx_is_waiting_for_link(first, now_ms))
		return false;
	/* An answer that the peer does not read, or a body that stalls. */
	if (!first || first->is_ended)
		return now_ms >= connection->active_ms + idle_timeout_ms;
	return false;
}

static struct hx_exchange *get_first(struct hx_connection *connection)
{
	return g_queue_peek_head(&connection->exchanges);
}

static void begin_exchange(struct hx_exchange *exchange)
{
	const struct hx_options *options =
		&exchange->connection->server->options;

	exchange->phase = HX_PHASE_BEGUN;
	options->handler->begin(exchange, options->data);
	if (exchange->head.expects_continue)
		hx_send_continue(exchange);
	if (!exchange->head.is_keep_alive)
		exchange->connection->is_last = true;
}

static void open_exchange(struct hx_connection *connection)
{
	const struct hx_options *options = &connection->server->options;
	struct hx_exchange *exchange = hx_new_exchange(connection);

	g_queue_push_tail(&connection->exchanges, exchange);
	connection->receiving = exchange;
	connection->parser.head = &exchange->head;
	connection->head_ms = get_now_ms(connection);
	connection->discarded_bytes = 0;
	options->handler->open(exchange, options->data);
}

static void handle_head(struct hx_connection *connection)
{
	const struct hx_options *options = &connection->server->options;
	struct hx_exchange *exchange = connection->receiving;
	bool is_first = get_first(connection) == exchange;

	exchange->received_ms = connection->received_ms;
	connection->parser.head = NULL;
	hx_update_exchange_bytes(exchange);
	/* Behind an answer that is not read, a request is no progress. */
	if (is_first)
		connection->active_ms = get_now_ms(connection);
	/* After an answer that closes the connection nothing is begun. */
	if (!connection->is_last &&
	    (is_first ||
	     (!exchange->head.has_body &&
	      options->handler->may_overlap(exchange, options->data))))
		begin_exchange(exchange);
	else
		exchange->phase = HX_PHASE_HELD;
}

static void handle_body(struct hx_connection *connection,
			const struct hx_event *event)
{
	const struct hx_options *options = &connection->server->options;
	struct hx_exchange *exchange = connection->receiving;

	connection->active_ms = get_now_ms(connection);
	if (!exchange->is_ended) {
		options->handler->receive_body(exchange, event->body.bytes,
					       event->body.size, options->data);
		return;
	}
	connection->discarded_bytes += event->body.size;
	if (connection->discarded_bytes > HX_DISCARD_BYTES_MAX)
		hx_close_connection(connection);
}

static void handle_end(struct hx_connection *connection)
{
	const struct hx_options *options = &connection->server->options;
	struct hx_exchange *exchange = connection->receiving;

	exchange->is_received = true;
	connection->receiving = NULL;
	if (!exchange->is_ended)
		options->handler->end_body(exchange, options->data);
}

/* Bytes that are no valid request: they end the connection. */
static void handle_error(struct hx_connection *connection,
			 const struct hx_event *event)
{
	struct hx_exchange *exchange = connection->receiving;

	connection->is_last = true;
	/* An answer that has begun cannot be replaced. */
	if (exchange && exchange->status != 0) {
		exchange->is_received = true;
		exchange->closes = true;
		connection->receiving = NULL;
		return;
	}
	if (exchange)
		end_exchange(exchange, HX_END_LOST);
	exchange = hx_new_exchange(connection);
	exchange->is_received = true;
	g_queue_push_tail(&connection->exchanges, exchange);
	hx_reject(exchange, event->error.status, event->error.reason);
}

static void handle_event(struct hx_connection *connection,
			 const struct hx_event *event)
{
	switch (event->kind) {
	case HX_EVENT_NONE:
		if (connection->receiving)
			hx_update_exchange_bytes(connection->receiving);
		break;
	case HX_EVENT_START:
		open_exchange(connection);
		break;
	case HX_EVENT_HEAD:
		handle_head(connection);
		break;
	case HX_EVENT_BODY:
		handle_body(connection, event);
		break;
	case HX_EVENT_END:
		handle_end(connection);
		break;
	case HX_EVENT_ERROR:
		handle_error(connection, event);
		break;
	}
}

/* Returns whether no further bytes may be parsed for now. */
static bool is_blocked(const struct hx_connection *connection)
{
	const struct hx_exchange *receiving = connection->receiving;

	if (connection->socket < 0 || connection->is_hung_up)
		return true;
	if (receiving)
		return receiving->is_body_paused ||
		       receiving->phase == HX_PHASE_HELD;
	return connection->is_last ||
	       connection->exchanges.length >= HX_PIPELINE_MAX;
}

/* Returns how many of the bytes were parsed. */
static size_t parse_bytes(struct hx_connection *connection, const char *bytes,
			  size_t size)
{
	struct hx_event event;
	size_t done = 0;
	size_t taken;

	while (done < size && !is_blocked(connection)) {
		event = hx_parse(&connection->parser, bytes + done, size - done,
				 &taken);
		done += taken;
		handle_event(connection, &event);
	}
	return done;
}

static void keep_input(struct hx_connection *connection, const char *bytes,
		       size_t size)
{
	if (size == 0)
		return;
	if (!connection->input)
		connection->input = g_byte_array_new();
	g_byte_array_append(connection->input, (const guint8 *)bytes,
			    (guint)size);
	hx_update_connection_bytes(connection);
}

static void parse_kept_input(struct hx_connection *connection)
{
	GByteArray *input = connection->input;
	size_t done;

	if (!input || is_blocked(connection))
		return;
	done = parse_bytes(connection, (const char *)input->data, input->len);
	if (done < input->len) {
		g_byte_array_remove_range(input, 0, (guint)done);
		return;
	}
	g_byte_array_unref(input);
	connection->input = NULL;
	hx_update_connection_bytes(connection);
}

/* Returns the number of bytes received into the scratch buffer, 0: none. */
static size_t receive_bytes(struct hx_connection *connection)
{
	ssize_t count;

	do {
		count = recv(connection->socket, connection->server->scratch,
			     HX_SCRATCH_BYTES, 0);
	} while (count < 0 && errno == EINTR);
	/* Fewer bytes than asked for: the socket is empty. */
	if (count < (ssize_t)HX_SCRATCH_BYTES)
		connection->is_readable = false;
	if (count == 0)
		connection->is_hung_up = true;
	if (count < 0 && errno != EAGAIN)
		hx_close_connection(connection);
	connection->received_ms = get_now_ms(connection);
	return count > 0 ? (size_t)count : 0;
}

static void receive_requests(struct hx_connection *connection)
{
	const char *scratch = connection->server->scratch;
	size_t count;
	size_t done;

	parse_kept_input(connection);
	for (uint32_t i = 0; connection->is_readable && !connection->input &&
			     !is_blocked(connection);
	     i++) {
		if (i == RECEIVES_PER_ROUND_MAX) {
			hx_mark_dirty(connection);
			return;
		}
		count = receive_bytes(connection);
		done = parse_bytes(connection, scratch, count);
		keep_input(connection, scratch + done, count - done);
	}
}

static void discard_input(struct hx_connection *connection)
{
	for (uint32_t i = 0; connection->socket >= 0 && connection->is_readable;
	     i++) {
		if (i == RECEIVES_PER_ROUND_MAX) {
			hx_mark_dirty(connection);
			break;
		}
		receive_bytes(connection);
	}
	if (connection->is_hung_up)
		hx_close_connection(connection);
}

/* All answers have been sent; nothing is sent any more. */
static void start_lingering(struct hx_connection *connection)
{
	connection->is_lingering = true;
	connection->active_ms = get_now_ms(connection);
	shutdown(connection->socket, SHUT_WR);
}

static void remove_sent_bytes(struct hx_exchange *exchange, size_t size)
{
	exchange->sent_size += size;
	/* What was allocated for a peak is not kept. */
	if (exchange->sent_size == exchange->output->len &&
	    exchange->output_peak > OUTPUT_KEPT_BYTES) {
		hx_drop_output(exchange);
		return;
	}
	/* A long answer may always have a part that is unsent. */
	if (exchange->sent_size * 2 < exchange->output->len)
		return;
	g_byte_array_remove_range(exchange->output, 0,
				  (guint)exchange->sent_size);
	exchange->sent_size = 0;
}

/* Returns whether all that the exchange has to send so far was sent. */
static bool send_output(struct hx_exchange *exchange)
{
	struct hx_connection *connection = exchange->connection;
	const struct hx_options *options = &connection->server->options;
	size_t size;
	ssize_t count;

	while (hx_get_unsent_size(exchange) > 0) {
		/* The rest of a broken answer is not worth a turn. */
		if (exchange->is_aborted && exchange->flow.is_waiting)
			break;
		size = hx_get_sendable_size(exchange);
		if (size == 0)
			return false;
		count = send(connection->socket,
			     exchange->output->data + exchange->sent_size, size,
			     MSG_NOSIGNAL);
		if (count < 0 && errno == EINTR)
			continue;
		if (count < 0) {
			if (errno != EAGAIN)
				hx_close_connection(connection);
			hx_leave_pacing(exchange);
			return false;
		}
		connection->active_ms = get_now_ms(connection);
		hx_record_sent(exchange, (size_t)count);
		remove_sent_bytes(exchange, (size_t)count);
		/* The handler may add more. */
		if (exchange->phase == HX_PHASE_BEGUN && !exchange->is_ended)
			options->handler->handle_sent(exchange, options->data);
	}
	hx_leave_pacing(exchange);
	return true;
}

/*
 * Ends the first exchange if its answer was sent. Returns whether the next one
 * is now the first.
 */
static bool end_sent_exchange(struct hx_exchange *exchange)
{
	struct hx_connection *connection = exchange->connection;
	bool closes = exchange->closes;

	if (!exchange->is_ended)
		return false;
	if (exchange->is_aborted) {
		hx_close_connection(connection);
		return false;
	}
	if (!exchange->is_received && !closes) {
		/* The rest of the request will not come. */
		if (connection->is_hung_up)
			hx_close_connection(connection);
		return false;
	}
	end_exchange(exchange, HX_END_ANSWERED);
	if (!closes)
		return true;
	/* What follows was not begun: only the last answer closes. */
	while (get_first(connection))
		end_exchange(get_first(connection), HX_END_UNREAD);
	start_lingering(connection);
	return false;
}

static void send_answers(struct hx_connection *connection)
{
	struct hx_exchange *first = get_first(connection);

	while (first && connection->socket >= 0) {
		if (first->phase == HX_PHASE_HELD) {
			begin_exchange(first);
			hx_mark_dirty(connection);
		}
		/* An aborted answer does not wait for a slow reader. */
		if (!send_output(first) && !first->is_aborted)
			return;
		if (!end_sent_exchange(first))
			return;
		/* There may be room for a further request. */
		hx_mark_dirty(connection);
		first = get_first(connection);
	}
}

/*
 * Returns whether the peer, which has closed its side, did so because of the
 * deadline: then it does not read the answer that waits for the link.
 */
static bool is_given_up(const struct hx_connection *connection,
			const struct hx_exchange *first)
{
	return first->flow.is_waiting && first->deadline_ms > 0 &&
	       get_now_ms(connection) >= first->deadline_ms;
}

/*
 * The peer is gone: ends the exchanges whose answers are not complete, and
 * those behind them.
 */
static void cancel_unanswered(struct hx_connection *connection)
{
	GList *link = connection->exchanges.head;
	const struct hx_exchange *first;

	if (!link)
		return;
	first = link->data;
	/* The close depends on the first answer; see must_reset(). */
	if (!first->is_ended || is_given_up(connection, first)) {
		hx_close_connection(connection);
		return;
	}
	while (link && ((struct hx_exchange *)link->data)->is_ended)
		link = link->next;
	if (!link)
		return;
	while (connection->exchanges.tail != link)
		end_exchange(connection->exchanges.tail->data, HX_END_LOST);
	end_exchange(link->data, HX_END_LOST);
}

static void advance_open_connection(struct hx_connection *connection)
{
	if (connection->is_lingering) {
		discard_input(connection);
		return;
	}
	if (connection->is_hung_up)
		cancel_unanswered(connection);
	if (connection->socket < 0)
		return;
	receive_requests(connection);
	send_answers(connection);
	if (connection->is_hung_up && hx_is_idle(connection))
		hx_close_connection(connection);
}

bool hx_advance_connection(struct hx_connection *connection)
{
	uint32_t rounds = 0;

	connection->is_dirty = false;
	connection->is_advancing = true;
	do {
		connection->is_marked = false;
		if (connection->socket >= 0)
			advance_open_connection(connection);
	} while (connection->is_marked && connection->socket >= 0 &&
		 ++rounds < ROUNDS_PER_TURN_MAX);
	connection->is_advancing = false;
	if (connection->is_marked && connection->socket >= 0)
		hx_mark_dirty(connection);
	return connection->socket >= 0;
}
