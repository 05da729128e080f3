/*
 * Sends and receives load reports on one UDP socket.
 *
 * The alarm is set only while a receiver is known; a wake-up sends one batch.
 * All datagrams of a batch have the same bytes, which are encoded once. Neither
 * sending nor receiving allocates memory, except for the first report of a
 * sender.
 */
#include "loom/load_report.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/random.h>
#include <sys/socket.h>
#include <unistd.h>
#include "codec.h"
#include "loom/error.h"
#include "loom/log.h"
#include "schedule.h"
#include "senders.h"

#define SEND_BATCH 32U
#define READ_BATCH 64U /* datagrams read before other events are handled */
#define LOG_GAP_MS 1000U

/* One datagram that is received; an extra byte reveals one that is too long. */
struct slot {
	uint8_t bytes[LOAD_REPORT_SIZE + 1];
	struct iovec vector;
	struct sockaddr_in from;
};

struct load_service {
	struct load_options options;
	const struct load_counters *counters;
	struct tmr_service *timers;
	struct load_schedule *schedule;
	struct load_senders *senders;
	struct tmr_alarm *alarm;
	uint64_t alarm_ms; /* when it is set for; LOAD_NEVER_MS: not set */
	int socket;
	struct tevent_fd *fde;
	uint32_t instance;
	uint32_t sequence;
	uint32_t dropped_count; /* since the last log line */
	uint64_t logged_ms;
	struct slot slots[READ_BATCH];
	struct mmsghdr messages[READ_BATCH];
};

static struct cnt_counter *open_counter(struct cnt_registry *registry,
					const char *name, const char *labels,
					const char *help)
{
	return cnt_get_counter(registry, CNT_KIND_COUNTER, name, labels, help);
}

static struct cnt_counter *open_drop_counter(struct cnt_registry *registry,
					     const char *labels)
{
	return open_counter(registry, "loom_load_reports_dropped_total", labels,
			    "Load reports that were not used.");
}

void load_open_counters(struct load_counters *counters,
			struct cnt_registry *registry)
{
	counters->sent =
		open_counter(registry, "loom_load_reports_sent_total", NULL,
			     "Load reports sent to other nodes.");
	counters->received =
		open_counter(registry, "loom_load_reports_received_total", NULL,
			     "Datagrams received on the load port.");
	counters->asks_sent =
		open_counter(registry, "loom_load_asks_total", "side=\"sent\"",
			     "Asks for a load report.");
	counters->asks_answered =
		open_counter(registry, "loom_load_asks_total",
			     "side=\"answered\"", "Asks for a load report.");
	counters->unanswered =
		open_counter(registry, "loom_load_asks_total",
			     "side=\"unanswered\"", "Asks for a load report.");
	counters->unsent = open_drop_counter(registry, "reason=\"unsent\"");
	counters->malformed =
		open_drop_counter(registry, "reason=\"malformed\"");
	counters->other_version =
		open_drop_counter(registry, "reason=\"version\"");
	counters->outdated = open_drop_counter(registry, "reason=\"outdated\"");
	counters->unknown =
		open_drop_counter(registry, "reason=\"unknown_target\"");
	counters->surplus = open_drop_counter(registry, "reason=\"surplus\"");
	counters->age = cnt_get_histogram(
		registry, "loom_load_report_age_seconds", NULL,
		"Age of a load report when the next one replaces it.");
}

static uint64_t get_now_ms(const struct load_service *service)
{
	return tmr_get_now_ms(service->timers);
}

static void count_drops(struct load_service *service,
			struct cnt_counter *counter, const char *reason,
			uint32_t count)
{
	uint64_t now_ms = get_now_ms(service);
	char text[16];

	cnt_add(counter, count);
	service->dropped_count += count;
	if (now_ms < service->logged_ms + LOG_GAP_MS)
		return;
	g_snprintf(text, sizeof(text), "%u", service->dropped_count);
	log_write(LOG_LEVEL_WARNING, "load", "drop load report", NULL,
		  "load reports dropped", "last_reason", reason, "count", text,
		  LOG_END);
	service->dropped_count = 0;
	service->logged_ms = now_ms;
}

static void arm_alarm(struct load_service *service)
{
	uint64_t now_ms = get_now_ms(service);
	uint64_t next_ms = load_get_next_ms(service->schedule, now_ms);

	if (next_ms >= service->alarm_ms)
		return;
	service->alarm_ms = next_ms;
	tmr_set_alarm(service->alarm, next_ms > now_ms ? next_ms - now_ms : 0);
}

static void update_load(struct load_service *service, struct rt_load *load)
{
	memset(load, 0, sizeof(*load));
	service->options.get_load(load, service->options.data);
	load_record_load(service->schedule, load);
}

/* A datagram that the kernel does not take is dropped; a later one is newer. */
static void send_batch(struct load_service *service, struct mmsghdr *messages,
		       uint32_t count)
{
	uint32_t done = 0;
	uint32_t failed = 0;

	while (done < count) {
		int sent = sendmmsg(service->socket, messages + done,
				    count - done, 0);

		if (sent > 0) {
			done += (uint32_t)sent;
			continue;
		}
		if (errno == EINTR)
			continue;
		failed++;
		done++;
	}
	cnt_add(service->counters->sent, count - failed);
	if (failed > 0)
		count_drops(service, service->counters->unsent, "unsent",
			    failed);
}

/* Returns whether a full batch was sent, so that more may be due. */
static bool send_reports(struct load_service *service)
{
	uint8_t bytes[LOAD_REPORT_SIZE];
	struct iovec vector = { .iov_base = bytes, .iov_len = sizeof(bytes) };
	struct load_peer peers[SEND_BATCH];
	struct sockaddr_in to[SEND_BATCH];
	struct mmsghdr messages[SEND_BATCH];
	struct load_report report = { .instance = service->instance,
				      .hop_port = service->options.hop_port };
	uint32_t count;

	update_load(service, &report.load);
	count = load_take_due(service->schedule, peers, SEND_BATCH,
			      get_now_ms(service));
	if (count == 0)
		return false;
	report.sequence = ++service->sequence;
	load_encode_report(&report, bytes);
	for (uint32_t i = 0; i < count; i++) {
		to[i] = (struct sockaddr_in){ .sin_family = AF_INET,
					      .sin_port = htons(peers[i].port),
					      .sin_addr = peers[i].address };
		messages[i] = (struct mmsghdr){
			.msg_hdr.msg_name = &to[i],
			.msg_hdr.msg_namelen = sizeof(to[i]),
			.msg_hdr.msg_iov = &vector,
			.msg_hdr.msg_iovlen = 1,
		};
	}
	send_batch(service, messages, count);
	return count == SEND_BATCH;
}

static void handle_alarm(void *data)
{
	struct load_service *service = data;

	service->alarm_ms = LOAD_NEVER_MS;
	while (send_reports(service))
		;
	arm_alarm(service);
}

static void handle_report(struct load_service *service, struct in_addr from,
			  const struct load_report *report)
{
	uint64_t now_ms = get_now_ms(service);
	struct load_check check =
		load_check_report(service->senders, from, report, now_ms);

	switch (check.verdict) {
	case LOAD_VERDICT_NEW:
		break;
	case LOAD_VERDICT_OUTDATED:
		count_drops(service, service->counters->outdated, "outdated",
			    1);
		return;
	case LOAD_VERDICT_SURPLUS:
		count_drops(service, service->counters->surplus, "surplus", 1);
		return;
	}
	if (!service->options.handle_report(check.target, &report->load, now_ms,
					    service->options.data)) {
		load_forget_sender(service->senders, from, report);
		count_drops(service, service->counters->unknown,
			    "unknown_target", 1);
	} else if (check.has_age) {
		cnt_observe(service->counters->age,
			    (uint64_t)check.age_ms * 1000);
	}
}

/* Returns whether the kernel took the datagram; none is sent again. */
static bool send_bytes(struct load_service *service,
		       const struct sockaddr_in *to,
		       const uint8_t bytes[LOAD_REPORT_SIZE])
{
	if (sendto(service->socket, bytes, LOAD_REPORT_SIZE, 0,
		   (const struct sockaddr *)to,
		   sizeof(*to)) == LOAD_REPORT_SIZE)
		return true;
	count_drops(service, service->counters->unsent, "unsent", 1);
	return false;
}

static void answer_ask(struct load_service *service,
		       const struct sockaddr_in *from)
{
	struct load_report report = { .instance = service->instance,
				      .hop_port = service->options.hop_port };
	uint8_t bytes[LOAD_REPORT_SIZE];

	if (!load_take_spare(service->schedule, get_now_ms(service))) {
		cnt_add(service->counters->unanswered, 1);
		return;
	}
	update_load(service, &report.load);
	report.sequence = ++service->sequence;
	load_encode_report(&report, bytes);
	if (send_bytes(service, from, bytes))
		cnt_add(service->counters->asks_answered, 1);
	arm_alarm(service);
}

static void handle_datagram(struct load_service *service,
			    const struct slot *slot, size_t size)
{
	struct load_report report;

	cnt_add(service->counters->received, 1);
	switch (load_decode_report(slot->bytes, size, &report)) {
	case LOAD_DECODE_OK:
		handle_report(service, slot->from.sin_addr, &report);
		break;
	case LOAD_DECODE_ASK:
		answer_ask(service, &slot->from);
		break;
	case LOAD_DECODE_OTHER_VERSION:
		count_drops(service, service->counters->other_version,
			    "version", 1);
		break;
	case LOAD_DECODE_MALFORMED:
		count_drops(service, service->counters->malformed, "malformed",
			    1);
		break;
	}
}

static void handle_readable(struct tevent_context *events,
			    struct tevent_fd *fde, uint16_t flags, void *data)
{
	struct load_service *service = data;
	int count = recvmmsg(service->socket, service->messages, READ_BATCH,
			     MSG_DONTWAIT, NULL);

	for (int i = 0; i < count; i++)
		handle_datagram(service, &service->slots[i],
				service->messages[i].msg_len);
}

static void prepare_slots(struct load_service *service)
{
	for (uint32_t i = 0; i < READ_BATCH; i++) {
		struct slot *slot = &service->slots[i];
		struct msghdr *header = &service->messages[i].msg_hdr;

		slot->vector.iov_base = slot->bytes;
		slot->vector.iov_len = sizeof(slot->bytes);
		header->msg_name = &slot->from;
		header->msg_namelen = sizeof(slot->from);
		header->msg_iov = &slot->vector;
		header->msg_iovlen = 1;
	}
}

static bool open_socket(struct load_service *service, GError **error)
{
	const struct load_options *options = &service->options;
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(options->load_port) };

	if (inet_pton(AF_INET, options->address, &address.sin_addr) != 1) {
		err_set(error, ERR_INVALID_ARGUMENT, "open load socket", NULL,
			"got address \"%s\", wanted an IPv4 address",
			options->address);
		return false;
	}
	service->socket =
		socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (service->socket >= 0 &&
	    bind(service->socket, (struct sockaddr *)&address,
		 sizeof(address)) == 0)
		return true;
	err_set(error, ERR_UNAVAILABLE, "open load socket", options->address,
		"cannot bind UDP port %u: %s", options->load_port,
		g_strerror(errno));
	return false;
}

static int destroy_service(struct load_service *service)
{
	TALLOC_FREE(service->fde);
	if (service->socket >= 0)
		close(service->socket);
	return 0;
}

struct load_service *load_new_service(TALLOC_CTX *ctx,
				      struct tevent_context *events,
				      struct tmr_service *timers,
				      const struct load_counters *counters,
				      const struct load_options *options,
				      GError **error)
{
	struct load_service *service = talloc_zero(ctx, struct load_service);

	service->options = *options;
	service->options.address = talloc_strdup(service, options->address);
	service->counters = counters;
	service->timers = timers;
	service->socket = -1;
	service->alarm_ms = LOAD_NEVER_MS;
	talloc_set_destructor(service, destroy_service);
	if (!open_socket(service, error))
		goto out_free;
	if (getrandom(&service->instance, sizeof(service->instance), 0) !=
	    sizeof(service->instance)) {
		err_set(error, ERR_INTERNAL, "open load socket", NULL,
			"getrandom: %s", g_strerror(errno));
		goto out_free;
	}
	service->schedule = load_new_schedule(service, get_now_ms(service));
	service->senders = load_new_senders(service);
	service->alarm = tmr_new_alarm(service, events, handle_alarm, service);
	prepare_slots(service);
	service->fde = tevent_add_fd(events, service, service->socket,
				     TEVENT_FD_READ, handle_readable, service);
	return service;
out_free:
	talloc_free(service);
	return NULL;
}

void load_record_call(struct load_service *service, struct in_addr address,
		      uint16_t port)
{
	struct load_peer peer = { .address = address, .port = port };

	if (!service)
		return;
	load_record_caller(service->schedule, &peer, get_now_ms(service));
	arm_alarm(service);
}

void load_send_ask(struct load_service *service, const char *address)
{
	struct sockaddr_in to = { .sin_family = AF_INET };
	uint8_t bytes[LOAD_REPORT_SIZE];
	char host[INET_ADDRSTRLEN];
	size_t length;

	if (!service || !address)
		return;
	length = strcspn(address, ":");
	if (length >= sizeof(host))
		return;
	memcpy(host, address, length);
	host[length] = '\0';
	if (inet_pton(AF_INET, host, &to.sin_addr) != 1 ||
	    !load_take_spare(service->schedule, get_now_ms(service)))
		return;
	to.sin_port = htons(service->options.load_port);
	load_encode_ask(bytes);
	if (send_bytes(service, &to, bytes))
		cnt_add(service->counters->asks_sent, 1);
}

void load_mark_changed(struct load_service *service)
{
	struct rt_load load;

	if (!service || load_count_receivers(service->schedule) == 0)
		return;
	update_load(service, &load);
	arm_alarm(service);
}
