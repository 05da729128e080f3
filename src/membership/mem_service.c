/*
 * Membership service: connects the state machine to a UDP socket and a timer.
 *
 * The socket is bound to the local address, so the source address of a datagram
 * identifies the member that sent it. A datagram that cannot be sent or decoded
 * is counted and dropped: the protocol tolerates loss.
 */
#include "loom/membership.h"

#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <netdb.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "codec.h"
#include "machine.h"
#include "loom/error.h"
#include "loom/log.h"

#define DEFAULT_PROBE_PERIOD_MS 500U
#define DEFAULT_PROBE_TIMEOUT_MS 150U
#define DEFAULT_SUSPICION_MS 1200U

/* Datagrams read in a row before the loop handles other events. */
#define READ_BATCH 64U

struct counters {
	struct cnt_counter *messages_in;
	struct cnt_counter *messages_out;
	struct cnt_counter *bytes_in;
	struct cnt_counter *bytes_out;
	struct cnt_counter *send_errors;
	struct cnt_counter *decode_errors;
	struct cnt_counter *suspicions;
	struct cnt_counter *deaths;
	struct cnt_counter *refutations;
	struct cnt_counter *live_members;
};

struct mem_service {
	struct mem_machine *machine;
	struct tmr_service *timers;
	struct counters counters;
	struct mem_statistics counted; /* already added to the counters */
	mem_change_fn on_change;
	mem_newer_manifest_fn on_newer_manifest;
	void *data;
	uint32_t tick_ms;
	bool is_change_due;   /* on_change is to be called */
	uint64_t notified_ms; /* time of the last on_change */
	int socket;
	struct mem_member *members; /* returned last */
};

static int destroy_service(struct mem_service *service)
{
	if (service->socket >= 0)
		close(service->socket);
	return 0;
}

static struct cnt_counter *get_counter(struct cnt_registry *registry,
				       const char *name, const char *help)
{
	return cnt_get_counter(registry, CNT_KIND_COUNTER, name, NULL, help);
}

static void register_counters(struct mem_service *service,
			      struct cnt_registry *registry)
{
	struct counters *counters = &service->counters;

	counters->messages_in = get_counter(
		registry, "loom_membership_messages_in", "Datagrams received");
	counters->messages_out = get_counter(
		registry, "loom_membership_messages_out", "Datagrams sent");
	counters->bytes_in = get_counter(registry, "loom_membership_bytes_in",
					 "Payload bytes received");
	counters->bytes_out = get_counter(registry, "loom_membership_bytes_out",
					  "Payload bytes sent");
	counters->send_errors =
		get_counter(registry, "loom_membership_send_errors",
			    "Datagrams that the kernel did not take");
	counters->decode_errors =
		get_counter(registry, "loom_membership_decode_errors",
			    "Datagrams refused by the decoder");
	counters->suspicions =
		get_counter(registry, "loom_membership_suspicions",
			    "Members suspected after an unanswered probe");
	counters->deaths = get_counter(registry, "loom_membership_deaths",
				       "Suspicions that ran out here");
	counters->refutations =
		get_counter(registry, "loom_membership_refutations",
			    "Statements about this node that it refuted");
	counters->live_members = cnt_get_counter(
		registry, CNT_KIND_GAUGE, "loom_membership_live_members", NULL,
		"Members held alive or suspect, this node included");
}

static bool parse_endpoint(const char *address, uint16_t port,
			   struct sockaddr_storage *storage, socklen_t *size)
{
	struct sockaddr_in *in4 = (struct sockaddr_in *)storage;
	struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)storage;

	memset(storage, 0, sizeof(*storage));
	if (inet_pton(AF_INET, address, &in4->sin_addr) == 1) {
		in4->sin_family = AF_INET;
		in4->sin_port = htons(port);
		*size = sizeof(*in4);
		return true;
	}
	if (inet_pton(AF_INET6, address, &in6->sin6_addr) == 1) {
		in6->sin6_family = AF_INET6;
		in6->sin6_port = htons(port);
		*size = sizeof(*in6);
		return true;
	}
	return false;
}

static bool format_endpoint(const struct sockaddr_storage *storage,
			    char address[INET6_ADDRSTRLEN], uint16_t *port)
{
	const struct sockaddr_in *in4 = (const struct sockaddr_in *)storage;
	const struct sockaddr_in6 *in6 = (const struct sockaddr_in6 *)storage;

	if (storage->ss_family == AF_INET) {
		*port = ntohs(in4->sin_port);
		return inet_ntop(AF_INET, &in4->sin_addr, address,
				 INET6_ADDRSTRLEN);
	}
	if (storage->ss_family == AF_INET6) {
		*port = ntohs(in6->sin6_port);
		return inet_ntop(AF_INET6, &in6->sin6_addr, address,
				 INET6_ADDRSTRLEN);
	}
	return false;
}

static void send_datagram(struct mem_service *service,
			  const struct mem_send *send)
{
	uint8_t buffer[MEM_DATAGRAM_SIZE];
	struct sockaddr_storage storage;
	socklen_t storage_size;
	size_t size;

	size = mem_encode_message(&send->message, buffer);
	if (size == 0 ||
	    !parse_endpoint(send->address, send->port, &storage,
			    &storage_size) ||
	    sendto(service->socket, buffer, size, 0,
		   (const struct sockaddr *)&storage, storage_size) < 0) {
		cnt_add(service->counters.send_errors, 1);
		return;
	}
	cnt_add(service->counters.messages_out, 1);
	cnt_add(service->counters.bytes_out, (int64_t)size);
}

static void count_statistics(struct mem_service *service)
{
	const struct mem_statistics *now = &service->machine->statistics;
	struct mem_statistics *counted = &service->counted;
	struct counters *counters = &service->counters;

	cnt_add(counters->suspicions,
		(int64_t)(now->suspicions - counted->suspicions));
	cnt_add(counters->deaths, (int64_t)(now->deaths - counted->deaths));
	cnt_add(counters->refutations,
		(int64_t)(now->refutations - counted->refutations));
	cnt_set(counters->live_members, service->machine->table->live_count);
	*counted = *now;
}

static uint64_t get_now_ms(const struct mem_service *service)
{
	return tmr_get_now_ms(service->timers);
}

/*
 * Calls on_change at most once per tick: the callback rebuilds routing tables,
 * and when many nodes start or fail at once every message changes members.
 */
static void notify_change(struct mem_service *service)
{
	uint64_t now_ms = get_now_ms(service);

	if (!service->is_change_due ||
	    now_ms < service->notified_ms + service->tick_ms)
		return;
	service->is_change_due = false;
	service->notified_ms = now_ms;
	if (service->on_change)
		service->on_change(service->data);
}

static void execute_step(struct mem_service *service,
			 const struct mem_step *step)
{
	/* The callbacks may run further steps, which free this one. */
	uint64_t newer_sequence = step->newer_sequence;
	char *newer_peer = talloc_strdup(service, step->newer_peer);

	for (size_t i = 0; i < step->send_count; i++)
		send_datagram(service, &step->sends[i]);
	count_statistics(service);
	service->is_change_due = service->is_change_due || step->is_changed;
	notify_change(service);
	if (newer_peer && service->on_newer_manifest)
		service->on_newer_manifest(newer_peer, newer_sequence,
					   service->data);
	talloc_free(newer_peer);
}

static void handle_tick(uint64_t due_ms, void *data)
{
	struct mem_service *service = data;

	/*
	 * The current time, not due_ms: the machine detects pauses by late
	 * ticks.
	 */
	execute_step(service,
		     mem_step_tick(service->machine, get_now_ms(service)));
}

static void handle_datagram(struct mem_service *service, const uint8_t *buffer,
			    size_t size, const struct sockaddr_storage *from)
{
	char address[INET6_ADDRSTRLEN];
	struct mem_message message;
	uint16_t port;

	cnt_add(service->counters.messages_in, 1);
	cnt_add(service->counters.bytes_in, (int64_t)size);
	if (!format_endpoint(from, address, &port) ||
	    !mem_decode_message(buffer, size, address, &message, NULL)) {
		cnt_add(service->counters.decode_errors, 1);
		return;
	}
	execute_step(service, mem_step_message(service->machine, address, port,
					       &message, get_now_ms(service)));
	mem_clear_message(&message);
}

static void handle_readable(struct tevent_context *events,
			    struct tevent_fd *event, uint16_t flags, void *data)
{
	struct mem_service *service = data;
	/* One extra byte reveals a datagram that is too long. */
	uint8_t buffer[MEM_DATAGRAM_SIZE + 1];

	for (uint32_t i = 0; i < READ_BATCH; i++) {
		struct sockaddr_storage from = { 0 };
		socklen_t from_size = sizeof(from);
		ssize_t size;

		size = recvfrom(service->socket, buffer, sizeof(buffer), 0,
				(struct sockaddr *)&from, &from_size);
		if (size < 0)
			return;
		handle_datagram(service, buffer, (size_t)size, &from);
	}
}

/* Opens and binds the socket; sets self->gossip_port to the bound port. */
static bool open_socket(struct mem_service *service,
			struct mem_announcement *self, GError **error)
{
	char *peer = talloc_asprintf(service, "%s:%u", self->address,
				     self->gossip_port);
	struct sockaddr_storage storage;
	char address[INET6_ADDRSTRLEN];
	socklen_t size;
	bool is_open = false;

	if (!parse_endpoint(self->address, self->gossip_port, &storage,
			    &size)) {
		err_set(error, ERR_INVALID_ARGUMENT, "open gossip socket", peer,
			"got address \"%s\", wanted an IP address",
			self->address);
		goto out;
	}
	service->socket = socket(storage.ss_family,
				 SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (service->socket < 0 ||
	    bind(service->socket, (const struct sockaddr *)&storage, size) ||
	    getsockname(service->socket, (struct sockaddr *)&storage, &size)) {
		err_set(error, ERR_UNAVAILABLE, "open gossip socket", peer,
			"%s", g_strerror(errno));
		goto out;
	}
	is_open = format_endpoint(&storage, address, &self->gossip_port);
out:
	talloc_free(peer);
	return is_open;
}

static bool add_seeds(struct mem_service *service, const char *const *seeds,
		      GError **error)
{
	if (!seeds)
		return true;
	for (const char *const *seed = seeds; *seed; seed++)
		if (!mem_add_machine_seed(service->machine, *seed, error))
			return false;
	return true;
}

static bool check_name(const char *field, const char *value, GError **error)
{
	if (value && mem_is_name(value))
		return true;
	err_set(error, ERR_INVALID_ARGUMENT, "check membership options", NULL,
		"%s: got \"%s\", wanted at most %d printable characters "
		"without spaces",
		field, value ? value : "(null)", MEM_NAME_SIZE);
	return false;
}

static bool check_options(const struct mem_options *options, GError **error)
{
	const struct mem_announcement *self = &options->self;

	if (!check_name("failure_domain", self->failure_domain, error) ||
	    !check_name("service", self->service, error) ||
	    !check_name("version", self->version, error))
		return false;
	if (options->probe_period_ms < MEM_TICKS_PER_PERIOD ||
	    options->probe_timeout_ms == 0 ||
	    options->probe_timeout_ms >= options->probe_period_ms ||
	    options->suspicion_ms == 0) {
		err_set(error, ERR_INVALID_ARGUMENT, "check membership options",
			NULL,
			"got probe period %u ms, timeout %u ms, suspicion %u "
			"ms, wanted 0 < timeout < period, period >= %u and "
			"suspicion > 0",
			options->probe_period_ms, options->probe_timeout_ms,
			options->suspicion_ms, MEM_TICKS_PER_PERIOD);
		return false;
	}
	return true;
}

void mem_set_default_options(struct mem_options *options)
{
	memset(options, 0, sizeof(*options));
	options->probe_period_ms = DEFAULT_PROBE_PERIOD_MS;
	options->probe_timeout_ms = DEFAULT_PROBE_TIMEOUT_MS;
	options->suspicion_ms = DEFAULT_SUSPICION_MS;
}

struct mem_service *
mem_new_service(TALLOC_CTX *ctx, struct tevent_context *events,
		struct tmr_service *timers, struct cnt_registry *counters,
		const struct mem_options *options, GError **error)
{
	struct mem_service *service = talloc_zero(ctx, struct mem_service);
	struct mem_options actual = *options;

	service->socket = -1;
	talloc_set_destructor(service, destroy_service);
	service->timers = timers;
	service->tick_ms = options->probe_period_ms / MEM_TICKS_PER_PERIOD;
	service->on_change = options->on_change;
	service->on_newer_manifest = options->on_newer_manifest;
	service->data = options->data;
	register_counters(service, counters);
	if (!check_options(options, error) ||
	    !open_socket(service, &actual.self, error))
		goto fail;
	service->machine =
		mem_new_machine(service, &actual, tmr_get_now_ms(timers));
	if (!add_seeds(service, options->seeds, error))
		goto fail;
	tevent_add_fd(events, service, service->socket, TEVENT_FD_READ,
		      handle_readable, service);
	tmr_subscribe_every(service, timers, service->tick_ms, handle_tick,
			    service);
	execute_step(service,
		     mem_step_tick(service->machine, tmr_get_now_ms(timers)));
	return service;
fail:
	talloc_free(service);
	return NULL;
}

void mem_announce_target(struct mem_service *service, const char *target,
			 const char *version, enum rt_phase phase)
{
	GError *error = NULL;

	if (!check_name("service", target, &error) ||
	    !check_name("version", version, &error)) {
		log_write_error(LOG_LEVEL_ERROR, "membership", error);
		g_clear_error(&error);
		return;
	}
	execute_step(service,
		     mem_step_announce(service->machine, target, version, phase,
				       get_now_ms(service)));
}

void mem_set_manifest_sequence(struct mem_service *service, uint64_t sequence)
{
	execute_step(service, mem_step_sequence(service->machine, sequence,
						get_now_ms(service)));
}

void mem_add_seed(struct mem_service *service, const char *seed)
{
	GError *error = NULL;

	if (!mem_add_machine_seed(service->machine, seed, &error)) {
		log_write_error(LOG_LEVEL_WARNING, "membership", error);
		g_clear_error(&error);
	}
}

void mem_leave(struct mem_service *service)
{
	execute_step(service,
		     mem_step_leave(service->machine, get_now_ms(service)));
}

size_t mem_list_members(struct mem_service *service,
			const struct mem_member **members)
{
	const GPtrArray *entries = service->machine->table->entries;

	TALLOC_FREE(service->members);
	service->members =
		talloc_array(service, struct mem_member, entries->len);
	for (guint i = 0; i < entries->len; i++) {
		const struct mem_entry *entry = g_ptr_array_index(entries, i);

		service->members[i] = entry->member;
	}
	*members = service->members;
	return entries->len;
}

uint16_t mem_get_gossip_port(const struct mem_service *service)
{
	return mem_get_self(service->machine->table)->member.self.gossip_port;
}
