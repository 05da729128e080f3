/*
 * Connects the parts of a node on the control thread. The snapshot and the
 * member list form the routing table that the traffic threads use; an
 * announcement of the target goes to both the traffic threads and the
 * membership protocol.
 */
#include "node.h"

#include <string.h>
#include "descriptors.h"
#include "internal.h"
#include "loom/burn.h"
#include "loom/error.h"
#include "loom/log.h"

#define ADMIN_BODY_BYTES_MAX (4U * 1024U * 1024U)
/* libmicrohttpd allocates 32 kB for each. */
#define ADMIN_CONNECTIONS_MAX 512U
/*
 * A changed gateway has to be in force within 2 s, also right after an outage
 * of the store, so each of these is a fraction of that.
 */
#define STORE_BUSY_LIST_MS 800U
#define STORE_RETRY_WAIT_MS 1000U
#define STORE_START_JITTER_MS 100U
/* After this time most nodes take the configuration from other nodes. */
#define STORE_SETTLE_MS 1000U

static uint32_t get_distance_us(const struct nd_node *node, const char *domain)
{
	const struct nd_settings *settings = node->settings;

	if (strcmp(settings->failure_domain, domain) == 0)
		return 0;
	for (size_t i = 0; i < settings->distance_count; i++) {
		if (strcmp(settings->distances[i].failure_domain, domain) == 0)
			return settings->distances[i].round_trip_us;
	}
	/* Unknown failure domains sort after all known ones. */
	return UINT32_MAX;
}

static bool is_usable(const struct mem_member *member)
{
	return member->self.service && *member->self.service &&
	       (member->state == MEM_STATE_ALIVE ||
		member->state == MEM_STATE_SUSPECT);
}

static size_t list_targets(struct nd_node *node, TALLOC_CTX *ctx,
			   struct rt_target **targets)
{
	const struct mem_member *members;
	size_t count = mem_list_members(node->members, &members);
	size_t used = 0;

	*targets = talloc_zero_array(ctx, struct rt_target, count + 1);
	for (size_t i = 0; i < count; i++) {
		const struct mem_announcement *self = &members[i].self;
		struct rt_target *target = &(*targets)[used];

		if (!is_usable(&members[i]))
			continue;
		target->address = talloc_asprintf(ctx, "%s:%u", self->address,
						  self->hop_port);
		target->failure_domain = self->failure_domain;
		target->service = self->service;
		target->version = nd_get_version_class(node, self->service,
						       self->version);
		target->release = self->version;
		target->phase = self->phase;
		target->distance_us =
			get_distance_us(node, self->failure_domain);
		used++;
	}
	return used;
}

static void set_limit(const char *service, uint32_t limit_permille, void *data)
{
	rt_set_share_limit(data, service, limit_permille);
}

struct doc_snapshot *nd_get_snapshot(const struct nd_node *node)
{
	switch (node->settings->source) {
	case ND_SOURCE_DOCUMENTS:
		return node->spread ? spr_get_snapshot(node->spread) : NULL;
	case ND_SOURCE_GATEWAY:
		return node->gateway.snapshot;
	}
	return NULL;
}

void nd_update_table(struct nd_node *node)
{
	struct doc_snapshot *snapshot;
	struct rt_target *targets;
	struct rt_table *table;
	TALLOC_CTX *scratch;
	size_t count;

	snapshot = nd_get_snapshot(node);
	if (!snapshot || !node->members)
		return;
	scratch = talloc_new(NULL);
	count = list_targets(node, scratch, &targets);
	table = rt_new_table(snapshot, targets, count,
			     node->settings->failure_domain);
	if (node->release)
		rls_each_limit(node->release, set_limit, table);
	tr_set_table(node->traffic, table);
	rt_unref_table(table);
	talloc_free(scratch);
}

static void handle_members(void *data)
{
	struct nd_node *node = data;
	const struct mem_member *members;
	size_t count;

	if (node->members && node->release) {
		count = mem_list_members(node->members, &members);
		rls_set_members(node->release, members, count);
	}
	nd_update_table(node);
	/* A node that has started waits for members. */
	if (node->members && node->gateway.moves)
		nd_update_relay(node);
}

static void handle_limits(void *data)
{
	nd_update_table(data);
}

static void handle_newer(const char *peer, uint64_t sequence, void *data)
{
	struct nd_node *node = data;

	switch (node->settings->source) {
	case ND_SOURCE_DOCUMENTS:
		if (node->spread)
			spr_handle_newer_manifest(node->spread, peer, sequence);
		break;
	case ND_SOURCE_GATEWAY:
		nd_handle_newer(node, peer, sequence);
		break;
	}
}

static void handle_sample(const struct tr_sample *sample, void *data)
{
	struct nd_node *node = data;

	nd_record_burn(node, sample);
	nd_record_gateway_sample(node, sample);
	if (node->release)
		rls_record_sample(sample, node->release);
}

static void handle_snapshot(struct doc_snapshot *snapshot, void *data)
{
	struct nd_node *node = data;
	uint64_t sequence = doc_get_manifest(snapshot)->sequence;
	char text[24];

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, sequence);
	log_write(LOG_LEVEL_INFO, "node", "adopt manifest", NULL,
		  "manifest in force", "sequence", text, LOG_END);
	mem_set_manifest_sequence(node->members, sequence);
	rls_set_snapshot(node->release, snapshot);
	nd_update_table(node);
}

static bool open_platform(struct nd_node *node, GError **error)
{
	struct plat_options options;

	plat_set_default_options(&options, node->settings->platform_url);
	options.seed = g_str_hash(node->settings->address);
	if (node->settings->source == ND_SOURCE_GATEWAY) {
		options.must_list_after_cut = true;
		options.busy_list_interval_ms = STORE_BUSY_LIST_MS;
		options.retry_wait_ms_max = STORE_RETRY_WAIT_MS;
		options.start_jitter_ms = STORE_START_JITTER_MS;
		options.first_poll_delay_ms = STORE_SETTLE_MS;
	}
	if (node->settings->platform_dialect)
		options.dialect = node->settings->platform_dialect;
	node->platform = plat_new_client(node, node->events, node->timers,
					 node->counters, &options, error);
	return node->platform != NULL;
}

static bool open_traffic(struct nd_node *node, GError **error)
{
	const struct nd_settings *settings = node->settings;
	struct tr_options options;

	tr_set_default_options(&options);
	options.address = settings->address;
	options.failure_domain = settings->failure_domain;
	options.call_port = settings->call_port;
	options.hop_port = settings->hop_port;
	options.thread_count = settings->traffic_threads;
	options.connections_max = settings->connections;
	nd_limit_connections(&options, nd_raise_file_limit());
	options.idle_timeout_ms = settings->idle_timeout_ms;
	options.header_timeout_ms = settings->header_timeout_ms;
	options.caller_service = settings->service;
	if (settings->header_names)
		options.names = settings->header_names;
	options.overload = (struct tr_overload_options){
		.is_enabled = settings->overload_control,
		.load_port = settings->load_port,
		.link_kbit_s = settings->link_kbit_s,
		.crossing_ms_per_kb = settings->crossing_ms_per_kb,
		.memory_mb = settings->memory_mb,
		.retry_budget_permille = settings->retry_budget_permille,
		.silence_ms = settings->silence_ms,
	};
	options.cold_bound = settings->cold_bound;
	options.seed = g_str_hash(settings->address);
	options.on_sample = handle_sample;
	options.data = node;
	node->traffic = tr_new_service(node, node->events, node->counters,
				       &options, error);
	return node->traffic != NULL;
}

static bool open_members(struct nd_node *node, GError **error)
{
	const struct nd_settings *settings = node->settings;
	struct mem_options options;

	mem_set_default_options(&options);
	options.self = (struct mem_announcement){
		.address = settings->address,
		.gossip_port = settings->gossip_port,
		.hop_port = settings->hop_port,
		.admin_port = settings->admin_port,
		.capacity = (uint16_t)settings->capacity,
		.failure_domain = settings->failure_domain,
		.service = "",
		.version = "",
		.phase = RT_PHASE_SERVING,
	};
	options.seeds = settings->seeds;
	options.seed = g_str_hash(settings->address);
	options.on_change = handle_members;
	options.on_newer_manifest = handle_newer;
	options.data = node;
	node->members = mem_new_service(node, node->events, node->timers,
					node->counters, &options, error);
	return node->members != NULL;
}

static bool open_release(struct nd_node *node, GError **error)
{
	char *name = talloc_asprintf(node, "%s:%u", node->settings->address,
				     node->settings->admin_port);
	struct rls_options options = {
		.events = node->events,
		.timers = node->timers,
		.counters = node->counters,
		.platform = node->platform,
		.node = name,
		.on_change = handle_limits,
		.data = node,
	};

	node->release = rls_new_service(node, &options, error);
	if (node->release)
		handle_members(node);
	return node->release != NULL;
}

static bool open_admin(struct nd_node *node, GError **error)
{
	struct web_options options = {
		.address = node->settings->address,
		.port = node->settings->admin_port,
		.body_bytes_max = ADMIN_BODY_BYTES_MAX,
		.connections_max = ADMIN_CONNECTIONS_MAX,
		.fn = nd_handle_admin,
		.data = node,
	};

	node->admin = web_new_server(node, node->events, &options, error);
	return node->admin != NULL;
}

static size_t list_peers(const struct spr_peer **peers, void *data)
{
	struct nd_node *node = data;
	const struct mem_member *members;
	size_t count = mem_list_members(node->members, &members);
	size_t used = 0;

	TALLOC_FREE(node->peers);
	node->peers = talloc_zero_array(node, struct spr_peer, count + 1);
	for (size_t i = 0; i < count; i++) {
		const struct mem_announcement *self = &members[i].self;
		struct spr_peer *peer = &node->peers[used];

		if (members[i].state != MEM_STATE_ALIVE ||
		    strcmp(self->address, node->settings->address) == 0)
			continue;
		peer->address = talloc_asprintf(
			node->peers, "%s:%u", self->address, self->admin_port);
		peer->failure_domain = self->failure_domain;
		peer->sequence = members[i].manifest_sequence;
		used++;
	}
	*peers = node->peers;
	return used;
}

static bool open_spread(struct nd_node *node, GError **error)
{
	struct spr_options options;

	spr_set_default_options(&options);
	options.events = node->events;
	options.timers = node->timers;
	options.platform = node->platform;
	options.holder = talloc_asprintf(node, "%s:%u", node->settings->address,
					 node->settings->admin_port);
	options.address = options.holder;
	options.failure_domain = node->settings->failure_domain;
	options.seed = g_str_hash(node->settings->address);
	options.fn = handle_snapshot;
	options.list_peers = list_peers;
	options.data = node;
	node->spread = spr_new_service(node, &options, error);
	return node->spread != NULL;
}

static bool open_source(struct nd_node *node, GError **error)
{
	switch (node->settings->source) {
	case ND_SOURCE_DOCUMENTS:
		return open_release(node, error) && open_spread(node, error);
	case ND_SOURCE_GATEWAY:
		return nd_open_gateway(node, error);
	}
	return false;
}

static int destroy_node(struct nd_node *node)
{
	nd_close_gateway(node);
	return 0;
}

struct nd_node *nd_new_node(TALLOC_CTX *ctx, struct tevent_context *events,
			    const struct nd_settings *settings, GError **error)
{
	struct nd_node *node = talloc_zero(ctx, struct nd_node);

	talloc_set_destructor(node, destroy_node);
	node->settings = settings;
	node->events = events;
	node->timers = tmr_new(node, events);
	node->counters = cnt_new_registry(node);
	node->burn = burn_new_history(node, tmr_get_wall_ms(node->timers));
	if (!open_platform(node, error) || !open_traffic(node, error) ||
	    !open_members(node, error) || !open_source(node, error) ||
	    !open_admin(node, error)) {
		talloc_free(node);
		return NULL;
	}
	nd_watch_target(node);
	nd_watch_signals(node);
	return node;
}

struct tevent_context *nd_get_events(struct nd_node *node)
{
	return node->events;
}

struct tmr_service *nd_get_timers(struct nd_node *node)
{
	return node->timers;
}

struct plat_client *nd_get_platform(struct nd_node *node)
{
	return node->platform;
}

const struct nd_settings *nd_get_settings(const struct nd_node *node)
{
	return node->settings;
}

bool nd_is_ready(const struct nd_node *node)
{
	return node->phase == ND_PHASE_SERVING && nd_get_snapshot(node);
}

void nd_print_metrics(const struct nd_node *node, GString *text)
{
	cnt_print(node->counters, text);
}

bool nd_is_alone(struct nd_node *node)
{
	const struct mem_member *members;
	size_t count = mem_list_members(node->members, &members);
	uint32_t live = 0;

	for (size_t i = 0; i < count; i++)
		live += members[i].state == MEM_STATE_ALIVE;
	return live <= 1;
}

void nd_schedule_once(struct nd_node *node, uint32_t delay_ms, tmr_fn fn,
		      void *data)
{
	tmr_subscribe_once(node, node->timers, delay_ms, fn, data);
}

void nd_add_seed(struct nd_node *node, const char *seed)
{
	mem_add_seed(node->members, seed);
}

int nd_run_node(struct nd_node *node)
{
	log_write(LOG_LEVEL_INFO, "node", "start", node->settings->address,
		  "node is up", "failure_domain",
		  node->settings->failure_domain, LOG_END);
	while (node->phase != ND_PHASE_ENDED)
		tevent_loop_once(node->events);
	return node->exit_code;
}
