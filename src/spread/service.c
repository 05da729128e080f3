/*
 * Distribution service of one node: connects store, source, puller, relay and
 * writer, and determines the readiness of a newly started node.
 *
 * A relay watches the platform and competes for the writer's lease. Every other
 * node learns of new manifests from peers, and reads the platform's manifest
 * periodically.
 * Invariant: a snapshot is passed to the callback only once the node has caught
 * up; after that each newer one is passed at once.
 */
#include "loom/spread.h"

#include "loom/http.h"
#include "peer_api.h"
#include "puller.h"
#include "ready.h"
#include "relay.h"
#include "source.h"
#include "store.h"
#include "writer.h"

#define LEASE_DURATION_MS 9000U
#define CHECK_PERIOD_MS 1000U
#define POLL_PERIOD_MS 30000U
#define SWEEP_PERIOD_MS 600000U

struct spr_service {
	struct spr_options options;
	struct hc_loop *loop;
	struct spr_store *store;
	struct spr_source *source;
	struct spr_puller *puller;
	struct spr_relay *relay;
	struct spr_writer *writer;  /* NULL: not a relay */
	uint64_t notified_sequence; /* last one passed to fn, 0: none */
	uint64_t start_ms;
	bool is_ready;
	GRand *random;
};

static bool is_caught_up(struct spr_service *service)
{
	const struct spr_options *options = &service->options;
	struct spr_ready_state state = {
		.start_ms = service->start_ms,
		.sequence = spr_get_sequence(service->store),
	};
	struct spr_platform_manifest present;
	const struct spr_peer *peers;
	size_t count = options->list_peers(&peers, options->data);

	spr_get_platform_manifest(service->source, &present);
	state.has_platform_answer = present.is_known;
	state.platform_sequence = present.sequence;
	for (size_t i = 0; i < count; i++) {
		state.claimed_sequence =
			MAX(state.claimed_sequence, peers[i].sequence);
		if (g_strcmp0(peers[i].failure_domain,
			      options->failure_domain) == 0)
			state.has_domain_peer = true;
	}
	return spr_is_caught_up(&state, tmr_get_now_ms(options->timers));
}

static void notify_snapshot(struct spr_service *service)
{
	struct doc_snapshot *snapshot = spr_get_store_snapshot(service->store);

	if (service->notified_sequence == spr_get_sequence(service->store))
		return;
	service->is_ready = service->is_ready || is_caught_up(service);
	if (!service->is_ready)
		return;
	service->notified_sequence = spr_get_sequence(service->store);
	service->options.fn(snapshot, service->options.data);
}

static void handle_change(void *data)
{
	struct spr_service *service = data;

	notify_snapshot(service);
	if (service->writer)
		spr_run_writer(service->writer);
}

static void handle_relay(bool is_held, void *data)
{
	struct spr_service *service = data;

	TALLOC_FREE(service->writer);
	spr_watch_manifest(service->source, is_held);
	if (is_held)
		service->writer =
			spr_new_writer(service, &service->options,
				       service->store, service->source);
}

static void handle_check(uint64_t now_ms, void *data)
{
	struct spr_service *service = data;

	if (service->writer)
		spr_retry_writer(service->writer);
	spr_check_relay(service->relay);
	spr_pull_any(service->puller);
	notify_snapshot(service);
	if (!service->is_ready)
		spr_read_manifest(service->source);
}

/*
 * Runs after a random delay, so that nodes which start together check at
 * different times.
 */
static void start_checks(uint64_t now_ms, void *data)
{
	struct spr_service *service = data;

	tmr_subscribe_every(service, service->options.timers,
			    service->options.check_period_ms, handle_check,
			    service);
}

static void handle_poll(uint64_t now_ms, void *data)
{
	struct spr_service *service = data;
	uint32_t period_ms = service->options.poll_period_ms;

	spr_read_manifest(service->source);
	tmr_subscribe_once(
		service, service->options.timers,
		period_ms / 2 + (uint32_t)g_rand_int_range(service->random, 0,
							   (gint32)period_ms),
		handle_poll, service);
}

static int destroy_service(struct spr_service *service)
{
	g_rand_free(service->random);
	return 0;
}

static void start_timers(struct spr_service *service)
{
	const struct spr_options *options = &service->options;
	uint32_t delay_ms = 1 + (uint32_t)g_rand_int_range(
					service->random, 0,
					(gint32)options->check_period_ms);

	service->start_ms = tmr_get_now_ms(options->timers);
	tmr_subscribe_once(service, options->timers, delay_ms, start_checks,
			   service);
	tmr_subscribe_once(service, options->timers, delay_ms, handle_poll,
			   service);
}

void spr_set_default_options(struct spr_options *options)
{
	*options = (struct spr_options){
		.lease_duration_ms = LEASE_DURATION_MS,
		.check_period_ms = CHECK_PERIOD_MS,
		.poll_period_ms = POLL_PERIOD_MS,
		.sweep_period_ms = SWEEP_PERIOD_MS,
	};
}

struct spr_service *spr_new_service(TALLOC_CTX *ctx,
				    const struct spr_options *options,
				    GError **error)
{
	struct spr_service *service = talloc_zero(ctx, struct spr_service);

	service->options = *options;
	service->random = g_rand_new_with_seed((guint32)options->seed);
	talloc_set_destructor(service, destroy_service);
	service->loop = hc_new_loop(service, options->events, error);
	if (!service->loop) {
		talloc_free(service);
		return NULL;
	}
	service->store = spr_new_store(service);
	service->source =
		spr_new_source(service, options->platform, options->timers,
			       service->store, handle_change, service);
	service->puller =
		spr_new_puller(service, &service->options, service->loop,
			       service->store, handle_change, service);
	service->relay = spr_new_relay(service, &service->options, handle_relay,
				       service);
	start_timers(service);
	return service;
}

void spr_handle_newer_manifest(struct spr_service *service, const char *peer,
			       uint64_t sequence)
{
	spr_start_pull(service->puller, peer, sequence);
}

void spr_handle_request(struct spr_service *service,
			struct web_request *request)
{
	if (spr_answer_request(service->store, request))
		handle_change(service);
}

struct doc_snapshot *spr_get_snapshot(const struct spr_service *service)
{
	if (!service->is_ready)
		return NULL;
	return spr_get_store_snapshot(service->store);
}
