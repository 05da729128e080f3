/*
 * Passes counts of ended attempts from the traffic threads to the control
 * thread.
 *
 * A thread keeps one record per series (service, route, version, target) for
 * the current time slot. Every 100 ms, and when the slot ends, the thread
 * pushes the whole table on a queue, wakes the control thread and starts a new
 * table. So the threads share no lock per call, and the work of the control
 * thread does not grow with the number of calls.
 */
#include "samples.h"

#include <errno.h>
#include <string.h>
#include "call.h"
#include "loom/error.h"

#define FLUSH_PERIOD_MS 100U
/* More series than this in a slot are not counted; 130 services need fewer. */
#define SERIES_MAX 8192U

struct sample_record {
	struct tr_sample sample;
	char *service;
	char *route;
	char *version;
	char *target;
	char *failure_domain;
};

static guint hash_record(gconstpointer data)
{
	const struct sample_record *record = data;

	return g_str_hash(record->sample.service) * 31 +
	       g_str_hash(record->sample.route) * 17 +
	       g_str_hash(record->sample.version) * 7 +
	       g_str_hash(record->sample.target);
}

static gboolean is_same_series(gconstpointer left, gconstpointer right)
{
	const struct tr_sample *a =
		&((const struct sample_record *)left)->sample;
	const struct tr_sample *b =
		&((const struct sample_record *)right)->sample;

	return strcmp(a->target, b->target) == 0 &&
	       strcmp(a->route, b->route) == 0 &&
	       strcmp(a->version, b->version) == 0 &&
	       strcmp(a->service, b->service) == 0;
}

static void free_record(gpointer data)
{
	struct sample_record *record = data;

	g_free(record->service);
	g_free(record->route);
	g_free(record->version);
	g_free(record->target);
	g_free(record->failure_domain);
	g_free(record);
}

static GHashTable *new_table(void)
{
	return g_hash_table_new_full(hash_record, is_same_series, free_record,
				     NULL);
}

static void flush_samples(struct tr_thread *thread)
{
	if (g_hash_table_size(thread->samples) == 0)
		return;
	mbx_post(thread->service->batches, thread->samples);
	thread->samples = new_table();
}

static void flush_ended_slot(struct tr_thread *thread)
{
	uint64_t slot = mv_get_slot(tmr_get_wall_ms(thread->timers));

	if (slot == thread->sample_slot)
		return;
	flush_samples(thread);
	thread->sample_slot = slot;
}

static void handle_flush_period(uint64_t now_ms, void *data)
{
	struct tr_thread *thread = data;

	flush_samples(thread);
	thread->sample_slot = mv_get_slot(tmr_get_wall_ms(thread->timers));
}

static struct sample_record *copy_record(const struct tr_sample *sample)
{
	struct sample_record *record = g_new0(struct sample_record, 1);

	record->sample.service = record->service = g_strdup(sample->service);
	record->sample.route = record->route = g_strdup(sample->route);
	record->sample.version = record->version = g_strdup(sample->version);
	record->sample.target = record->target = g_strdup(sample->target);
	record->sample.failure_domain = record->failure_domain =
		g_strdup(sample->failure_domain);
	record->sample.slot = sample->slot;
	return record;
}

/* Returns the record of a call's series (borrowed), or NULL at SERIES_MAX. */
static struct sample_record *get_record(struct tr_thread *thread,
					const struct tr_call *call)
{
	struct sample_record key = { 0 };
	struct sample_record *record;

	key.sample.service = call->service->name;
	key.sample.route = call->route->name;
	key.sample.version = call->chosen->version;
	key.sample.target = call->chosen->address;
	key.sample.failure_domain = call->chosen->failure_domain;
	key.sample.slot = thread->sample_slot;
	record = g_hash_table_lookup(thread->samples, &key);
	if (record || g_hash_table_size(thread->samples) >= SERIES_MAX)
		return record;
	record = copy_record(&key.sample);
	g_hash_table_add(thread->samples, record);
	return record;
}

/*
 * Returns the latency by which versions are compared: the time at the target.
 * The wait at its gate says more about the load than about the version.
 */
static uint64_t get_run_us(const struct tr_call *call, uint64_t latency_us)
{
	if (call->is_local || call->answer.run_us == 0)
		return latency_us;
	return call->answer.run_us;
}

void tr_count_sample(struct tr_call *call, enum mv_outcome outcome)
{
	uint64_t end_us =
		call->answer.head_us ? call->answer.head_us : tr_get_now_us();
	uint64_t latency_us = end_us - call->attempt_us;
	struct sample_record *record;

	if (!call->thread->service->options.on_sample || !call->chosen)
		return;
	flush_ended_slot(call->thread);
	record = get_record(call->thread, call);
	if (!record)
		return;
	mv_add_call(&record->sample.counts, outcome,
		    (uint32_t)get_run_us(call, latency_us));
	if (outcome == MV_OUTCOME_GOOD &&
	    latency_us > call->service->objective.latency_ms * 1000ULL)
		record->sample.slow++;
}

static void deliver_batch(struct tr_service *service, GHashTable *batch)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, batch);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct sample_record *record = key;

		service->options.on_sample(&record->sample,
					   service->options.data);
	}
	g_hash_table_destroy(batch);
}

static void handle_batches(void *data)
{
	struct tr_service *service = data;
	GHashTable *batch;

	while ((batch = mbx_take(service->batches)))
		deliver_batch(service, batch);
}

bool tr_open_samples(struct tr_service *service, struct tevent_context *events,
		     GError **error)
{
	service->batches =
		mbx_new(service, events, handle_batches,
			(GDestroyNotify)g_hash_table_destroy, service);
	if (!service->batches) {
		err_set(error, ERR_INTERNAL, "open samples", NULL,
			"eventfd: %s", g_strerror(errno));
		return false;
	}
	return true;
}

void tr_close_samples(struct tr_service *service)
{
	TALLOC_FREE(service->batches);
}

void tr_open_thread_samples(struct tr_thread *thread)
{
	thread->samples = new_table();
	tmr_subscribe_every(thread->timers, thread->timers, FLUSH_PERIOD_MS,
			    handle_flush_period, thread);
}
