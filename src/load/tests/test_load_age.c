/*
 * Model of the load that load reports answer: the targets of one failure domain
 * at nine tenths of their slots, and entry nodes that each send few calls to
 * each of them. Compares the age of what entry nodes know about loads, and what
 * becomes of the calls, with the load on answers alone and with reports.
 *
 * The chooser, the schedule, the codec and the senders are those of the
 * product; time is virtual and all random numbers have one seed.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include "codec.h"
#include "schedule.h"
#include "script.h"
#include "senders.h"

#define TARGETS 9U
#define SLOTS 9U
#define WORK_MS 243U /* 300 calls a second take nine tenths of 81 slots */
#define CALLS_PER_S 300U
#define ENTRIES_MAX 69U
#define HOP_PORT 8081U
#define NETWORK_MS 1U
#define WARM_UP_MS 3000U
#define END_MS 33000U
#define SEED 20261206U
#define BATCH_MAX 64U
#define AGES_MAX 4000000U

enum event_kind {
	EVENT_ARRIVAL, /* a call reaches its target */
	EVENT_END,     /* the target has done it */
	EVENT_ANSWER,
	EVENT_REPORT,
};

struct event {
	enum event_kind kind;
	uint32_t entry;
	uint32_t target;
	uint64_t made_ms; /* when the load was made, or the call arrived */
	struct rt_load load;
	uint8_t bytes[LOAD_REPORT_SIZE];
};

struct target {
	char address[32];
	uint32_t running;
	GQueue waiting; /* struct event */
	struct load_schedule *schedule;
	uint32_t sequence;
};

struct entry {
	struct rt_chooser *chooser;
	struct load_senders *senders;
	uint64_t made_ms[TARGETS]; /* age of the known load; 0: none */
};

struct sim {
	uint32_t entry_count;
	bool has_reports;
	uint32_t lost_permille;
	uint64_t now_ms;
	GRand *random;
	struct rt_table *table;
	const struct doc_service *service;
	struct target targets[TARGETS];
	struct entry entries[ENTRIES_MAX];
	GPtrArray *events[END_MS + 1]; /* by due time */
	uint32_t *ages;
	uint32_t age_count;
	uint32_t *waits;
	uint32_t call_count;
	uint32_t needless_count; /* waited while another target was idle */
	uint32_t sent_count;
};

static void add_event(struct sim *sim, const struct event *event,
		      uint64_t delay_ms)
{
	uint64_t due_ms = sim->now_ms + delay_ms;

	if (due_ms > END_MS)
		return;
	if (!sim->events[due_ms])
		sim->events[due_ms] = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(sim->events[due_ms], g_memdup2(event, sizeof(*event)));
}

static struct rt_load get_load(const struct target *target)
{
	return (struct rt_load){
		.limit = SLOTS,
		.in_flight = target->running + target->waiting.length,
		.latency_us = WORK_MS * 1000,
		.phase = RT_PHASE_SERVING,
	};
}

static void mark_changed(struct target *target)
{
	struct rt_load load = get_load(target);

	load_record_load(target->schedule, &load);
}

static void start_work(struct sim *sim, const struct event *call)
{
	struct event end = *call;
	int32_t work_ms = g_rand_int_range(sim->random, WORK_MS / 2,
					   WORK_MS + WORK_MS / 2 + 1);

	end.kind = EVENT_END;
	sim->targets[call->target].running++;
	if (sim->now_ms >= WARM_UP_MS)
		sim->waits[sim->call_count++] =
			(uint32_t)(sim->now_ms - call->made_ms);
	add_event(sim, &end, (uint64_t)work_ms);
}

static bool is_any_idle(const struct sim *sim)
{
	for (uint32_t i = 0; i < TARGETS; i++) {
		if (sim->targets[i].running < SLOTS)
			return true;
	}
	return false;
}

static void handle_arrival(struct sim *sim, const struct event *event)
{
	struct target *target = &sim->targets[event->target];
	struct event call = *event;
	struct load_peer peer = { .address.s_addr = htonl(event->entry + 1),
				  .port = 7950 };

	call.made_ms = sim->now_ms;
	load_record_caller(target->schedule, &peer, sim->now_ms);
	if (target->running < SLOTS) {
		start_work(sim, &call);
	} else {
		if (sim->now_ms >= WARM_UP_MS && is_any_idle(sim))
			sim->needless_count++;
		g_queue_push_tail(&target->waiting,
				  g_memdup2(&call, sizeof(call)));
	}
	mark_changed(target);
}

static void handle_end(struct sim *sim, const struct event *event)
{
	struct target *target = &sim->targets[event->target];
	struct event answer = *event;
	struct event *next;

	target->running--;
	next = g_queue_pop_head(&target->waiting);
	if (next)
		start_work(sim, next);
	g_free(next);
	mark_changed(target);
	answer.kind = EVENT_ANSWER;
	answer.load = get_load(target);
	answer.made_ms = sim->now_ms;
	add_event(sim, &answer, NETWORK_MS);
}

static void handle_answer(struct sim *sim, const struct event *event)
{
	struct entry *entry = &sim->entries[event->entry];

	rt_record_end(entry->chooser, sim->targets[event->target].address,
		      RT_OUTCOME_ANSWERED, &event->load, 2 * NETWORK_MS * 1000,
		      sim->now_ms);
	entry->made_ms[event->target] = event->made_ms;
}

static void handle_report(struct sim *sim, const struct event *event)
{
	struct entry *entry = &sim->entries[event->entry];
	struct in_addr from = { htonl(0x0a000001U + event->target) };
	struct load_report report;
	struct load_check check;

	CU_ASSERT_EQUAL(
		load_decode_report(event->bytes, LOAD_REPORT_SIZE, &report),
		LOAD_DECODE_OK);
	check = load_check_report(entry->senders, from, &report, sim->now_ms);
	if (check.verdict != LOAD_VERDICT_NEW)
		return;
	CU_ASSERT_STRING_EQUAL(check.target,
			       sim->targets[event->target].address);
	rt_record_report(entry->chooser, check.target, &report.load,
			 sim->now_ms);
	entry->made_ms[event->target] = event->made_ms;
}

static void handle_event(struct sim *sim, const struct event *event)
{
	switch (event->kind) {
	case EVENT_ARRIVAL:
		handle_arrival(sim, event);
		break;
	case EVENT_END:
		handle_end(sim, event);
		break;
	case EVENT_ANSWER:
		handle_answer(sim, event);
		break;
	case EVENT_REPORT:
		handle_report(sim, event);
		break;
	}
}

static void record_ages(struct sim *sim, const struct entry *entry)
{
	for (uint32_t i = 0; i < TARGETS && sim->now_ms >= WARM_UP_MS; i++) {
		if (entry->made_ms[i] > 0 && sim->age_count < AGES_MAX)
			sim->ages[sim->age_count++] =
				(uint32_t)(sim->now_ms - entry->made_ms[i]);
	}
}

static void make_call(struct sim *sim)
{
	struct event call = { .kind = EVENT_ARRIVAL };
	struct rt_request request = { .service = sim->service };
	const struct rt_target *chosen;
	enum rt_refusal refusal;
	struct entry *entry;

	call.entry = (uint32_t)g_rand_int_range(sim->random, 0,
						(int32_t)sim->entry_count);
	entry = &sim->entries[call.entry];
	record_ages(sim, entry);
	chosen = rt_choose_target(entry->chooser, sim->table, &request,
				  sim->now_ms, &refusal);
	rt_record_start(entry->chooser, chosen->address);
	while (strcmp(sim->targets[call.target].address, chosen->address) != 0)
		call.target++;
	add_event(sim, &call, NETWORK_MS);
}

static void send_reports(struct sim *sim, uint32_t index)
{
	struct target *target = &sim->targets[index];
	struct load_peer peers[BATCH_MAX];
	struct event event = { .kind = EVENT_REPORT,
			       .target = index,
			       .made_ms = sim->now_ms };
	struct load_report report = { .instance = index,
				      .hop_port = HOP_PORT,
				      .load = get_load(target) };
	uint32_t count;

	if (load_get_next_ms(target->schedule, sim->now_ms) > sim->now_ms)
		return;
	count = load_take_due(target->schedule, peers, BATCH_MAX, sim->now_ms);
	report.sequence = ++target->sequence;
	load_encode_report(&report, event.bytes);
	for (uint32_t i = 0; i < count; i++) {
		event.entry = ntohl(peers[i].address.s_addr) - 1;
		sim->sent_count += sim->now_ms >= WARM_UP_MS;
		if ((uint32_t)g_rand_int_range(sim->random, 0, 1000) >=
		    sim->lost_permille)
			add_event(sim, &event, NETWORK_MS);
	}
}

static void run_sim(struct sim *sim)
{
	double next_call_ms = 0;

	for (; sim->now_ms < END_MS; sim->now_ms++) {
		GPtrArray *events = sim->events[sim->now_ms];

		for (guint i = 0; events && i < events->len; i++)
			handle_event(sim, events->pdata[i]);
		while (next_call_ms <= (double)sim->now_ms) {
			make_call(sim);
			next_call_ms -= log(1 - g_rand_double(sim->random)) *
					1000 / CALLS_PER_S;
		}
		for (uint32_t i = 0; i < TARGETS && sim->has_reports; i++)
			send_reports(sim, i);
	}
}

/* One service whose targets are all in the entry nodes' failure domain. */
static void build_table(struct sim *sim)
{
	static const char *const versions[] = { "v1", NULL };
	struct doc_manifest *manifest = doc_new_manifest(NULL);
	struct doc_service *service = talloc_zero(NULL, struct doc_service);
	struct rt_target targets[TARGETS] = { 0 };
	struct doc_snapshot *snapshot;

	doc_add_manifest_service(manifest, "s")->document_version = 1;
	service->name = talloc_strdup(service, "s");
	service->document_version = 1;
	service->versions = versions;
	service->current = "v1";
	manifest->sequence = 1;
	snapshot = doc_build_snapshot(manifest, &service, 1, NULL);
	for (uint32_t i = 0; i < TARGETS; i++) {
		targets[i] = (struct rt_target){
			.address = sim->targets[i].address,
			.failure_domain = "a",
			.service = "s",
			.version = "v1",
			.phase = RT_PHASE_SERVING,
		};
	}
	sim->table = rt_new_table(snapshot, targets, TARGETS, "a");
	sim->service = doc_find_service(snapshot, "s");
	doc_unref_snapshot(snapshot);
	talloc_free(manifest);
}

static struct sim *new_sim(uint32_t entry_count)
{
	struct sim *sim = g_new0(struct sim, 1);

	sim->entry_count = entry_count;
	sim->now_ms = 1;
	sim->random = g_rand_new_with_seed(SEED);
	sim->ages = g_new(uint32_t, AGES_MAX);
	sim->waits = g_new(uint32_t, 2 * CALLS_PER_S * END_MS / 1000);
	for (uint32_t i = 0; i < TARGETS; i++) {
		struct target *target = &sim->targets[i];

		g_snprintf(target->address, sizeof(target->address),
			   "10.0.0.%u:%u", i + 1, HOP_PORT);
		g_queue_init(&target->waiting);
		target->schedule = load_new_schedule(NULL, sim->now_ms);
	}
	for (uint32_t i = 0; i < entry_count; i++) {
		sim->entries[i].chooser =
			rt_new_chooser(NULL, RT_POLICY_TWO_CHOICES, SEED + i);
		sim->entries[i].senders = load_new_senders(NULL);
	}
	build_table(sim);
	return sim;
}

static void free_sim(struct sim *sim)
{
	for (uint32_t i = 0; i < TARGETS; i++) {
		g_queue_clear_full(&sim->targets[i].waiting, g_free);
		talloc_free(sim->targets[i].schedule);
	}
	for (uint32_t i = 0; i < sim->entry_count; i++) {
		talloc_free(sim->entries[i].chooser);
		talloc_free(sim->entries[i].senders);
	}
	for (uint32_t i = 0; i <= END_MS; i++) {
		if (sim->events[i])
			g_ptr_array_unref(sim->events[i]);
	}
	rt_unref_table(sim->table);
	g_rand_free(sim->random);
	g_free(sim->ages);
	g_free(sim->waits);
	g_free(sim);
}

static int compare(const void *left, const void *right)
{
	const uint32_t *a = left;
	const uint32_t *b = right;

	return *a < *b ? -1 : *a > *b;
}

static void print_values(const char *name, uint32_t *values, uint32_t count,
			 GString *output)
{
	uint64_t sum = 0;

	if (count == 0) {
		g_string_append_printf(output, "%s: none\n", name);
		return;
	}
	for (uint32_t i = 0; i < count; i++)
		sum += values[i];
	qsort(values, count, sizeof(*values), compare);
	g_string_append_printf(
		output, "%s: mean %u ms, 90 %% within %u ms, 99 %% %u ms\n",
		name, (uint32_t)(sum / count), values[(uint64_t)count * 9 / 10],
		values[(uint64_t)count * 99 / 100]);
}

/* "run ENTRIES answers|reports [LOST-PERMILLE]" */
static bool run_step(int count, char **words, GString *output, void *data)
{
	struct sim *sim;

	if (strcmp(words[0], "run") != 0)
		return false;
	sim = new_sim((uint32_t)strtoul(words[1], NULL, 10));
	sim->has_reports = strcmp(words[2], "reports") == 0;
	if (count > 3)
		sim->lost_permille = (uint32_t)strtoul(words[3], NULL, 10);
	run_sim(sim);
	print_values("age", sim->ages, sim->age_count, output);
	print_values("wait", sim->waits, sim->call_count, output);
	g_string_append_printf(
		output,
		"%u of 1000 calls waited beside an idle target; each target "
		"sent %u reports a second\n",
		sim->needless_count * 1000 / MAX(sim->call_count, 1),
		sim->sent_count / TARGETS / ((END_MS - WARM_UP_MS) / 1000));
	free_sim(sim);
	return true;
}

static void test_age(void)
{
	scr_run("age", run_step, NULL);
}

static const CU_TestInfo tests[] = {
	{ "age", test_age },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("load age", tests);
}
