/*
 * Probe of the store: whether it answers this client.
 *
 * A long poll that waits does not tell an idle store from one that no longer
 * answers. While no other call is answered, the probe reads a prefix, which may
 * be stale, every PROBE_PERIOD_MS. The store counts as silent when such a read
 * fails or takes longer than PROBE_TIMEOUT_MS.
 *
 * Invariant: at most one of call and timer is set, neither while it is stopped.
 */
#include "client.h"

/*
 * Their sum is the time until a silent store is detected. Other nodes need the
 * rest of the 2 s within which a change has to be in force.
 */
#define PROBE_PERIOD_MS 600U
#define PROBE_TIMEOUT_MS 500U

struct plat_probe {
	struct plat_client *client;
	char *prefix;
	plat_probe_fn fn;
	void *data;
	struct plat_call *call;
	struct tmr_subscription *timer;
	bool is_answering;
};

static void schedule_read(struct plat_probe *probe, uint64_t from_ms);

static void handle_read(const struct plat_result *result, void *data)
{
	struct plat_probe *probe = data;
	bool is_answering = !result->error;

	probe->call = NULL;
	schedule_read(probe, tmr_get_now_ms(plat_get_timers(probe->client)));
	if (is_answering == probe->is_answering)
		return;
	probe->is_answering = is_answering;
	probe->fn(is_answering, probe->data);
}

static void handle_timer(uint64_t due_ms, void *data)
{
	struct plat_probe *probe = data;
	uint64_t now_ms = tmr_get_now_ms(plat_get_timers(probe->client));
	uint64_t answered_ms = plat_get_answered_ms(probe->client);

	probe->timer = NULL;
	if (probe->is_answering && now_ms < answered_ms + PROBE_PERIOD_MS) {
		schedule_read(probe, answered_ms);
		return;
	}
	probe->call = plat_list_stale_objects(
		probe, probe->client, probe->prefix, handle_read, probe);
	/* The first try may take all of the time. */
	plat_set_time_limit(probe->call, PROBE_TIMEOUT_MS);
	probe->call->try_timeout_ms = PROBE_TIMEOUT_MS;
}

static void schedule_read(struct plat_probe *probe, uint64_t from_ms)
{
	struct tmr_service *timers = plat_get_timers(probe->client);
	uint64_t now_ms = tmr_get_now_ms(timers);
	uint64_t due_ms = from_ms + PROBE_PERIOD_MS;

	probe->timer = tmr_subscribe_once(
		probe, timers,
		due_ms > now_ms ? (uint32_t)(due_ms - now_ms) : 0, handle_timer,
		probe);
}

struct plat_probe *plat_new_probe(TALLOC_CTX *ctx, struct plat_client *client,
				  const char *prefix, plat_probe_fn fn,
				  void *data)
{
	struct plat_probe *probe = talloc_zero(ctx, struct plat_probe);

	probe->client = client;
	probe->prefix = talloc_strdup(probe, prefix);
	probe->fn = fn;
	probe->data = data;
	return probe;
}

void plat_start_probe(struct plat_probe *probe)
{
	if (probe->call || probe->timer)
		return;
	probe->is_answering = true;
	schedule_read(probe, tmr_get_now_ms(plat_get_timers(probe->client)));
}

void plat_stop_probe(struct plat_probe *probe)
{
	TALLOC_FREE(probe->call);
	TALLOC_FREE(probe->timer);
}
