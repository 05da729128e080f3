/*
 * Scripted runs of one membership machine.
 *
 *   node ADDRESS [SEED...]     a new machine at time 0
 *   tick COUNT                 runs that many ticks, one tick interval apart
 *   pause MS                   time passes without ticks
 *   from ADDRESS PROCEDURE [probe] [alone] [sequence=N] [RECORD...]
 *                              receives a message; "probe" gives it the xid of
 *                              the current probe, with "alone" the sender knows
 *                              no other member
 *   announce SERVICE VERSION PHASE, leave, sequence N
 *   show                       prints the table
 *
 * A record is ADDRESS/STATE/INCARNATION/PHASE.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include "machine.h"
#include "script.h"

#define PORT 7946U
#define RECORDS_MAX 8U

static const char *const procedure_names[] = { "",	   "ping",   "ack",
					       "indirect", "gossip", "pull",
					       "page" };
static const char *const state_names[] = { "alive", "suspect", "dead", "left" };
static const char *const phase_names[] = { "starting", "serving", "leaving" };

struct fixture {
	struct mem_machine *machine;
	uint64_t now_ms;
};

static uint32_t find_name(const char *const *names, uint32_t count,
			  const char *name)
{
	for (uint32_t i = 0; i < count; i++)
		if (strcmp(names[i], name) == 0)
			return i;
	return 0;
}

static void print_step(const struct fixture *fixture,
		       const struct mem_step *step, GString *output)
{
	for (size_t i = 0; i < step->send_count; i++) {
		const struct mem_send *send = &step->sends[i];
		const mem_wire_update *update = &send->message.update;

		g_string_append_printf(
			output, "%" PRIu64 ": to %s %s", fixture->now_ms,
			send->address,
			procedure_names[send->message.procedure]);
		if (send->message.procedure == MEM_INDIRECT)
			g_string_append_printf(output, " subject=%s",
					       send->message.subject.address);
		for (u_int j = 0; j < update->records.records_len; j++) {
			const mem_wire_record *record =
				&update->records.records_val[j];

			g_string_append_printf(output, " %s/%s/%" PRIu64 "/%s",
					       record->address,
					       state_names[record->state],
					       (uint64_t)record->incarnation,
					       phase_names[record->phase]);
		}
		g_string_append_c(output, '\n');
	}
	if (step->newer_peer)
		g_string_append_printf(output,
				       "newer manifest %" PRIu64 " at %s\n",
				       step->newer_sequence, step->newer_peer);
}

static void run_node(struct fixture *fixture, int count, char **words)
{
	struct mem_options options;

	mem_set_default_options(&options);
	options.self.address = words[1];
	options.self.gossip_port = PORT;
	options.self.failure_domain = "a";
	options.self.service = "";
	options.self.version = "";
	options.seed = 1;
	TALLOC_FREE(fixture->machine);
	fixture->now_ms = 0;
	fixture->machine = mem_new_machine(NULL, &options, 0);
	for (int i = 2; i < count; i++) {
		GError *error = NULL;

		mem_add_machine_seed(fixture->machine, words[i], &error);
		CU_ASSERT_PTR_NULL(error);
		g_clear_error(&error);
	}
}

static void run_ticks(struct fixture *fixture, uint32_t count, GString *output)
{
	uint32_t tick_ms =
		fixture->machine->probe_period_ms / MEM_TICKS_PER_PERIOD;

	for (uint32_t i = 0; i < count; i++) {
		fixture->now_ms += tick_ms;
		print_step(fixture,
			   mem_step_tick(fixture->machine, fixture->now_ms),
			   output);
	}
}

static void parse_record(const char *word, mem_wire_record *record,
			 char ***parts)
{
	*parts = g_strsplit(word, "/", 4);
	memset(record, 0, sizeof(*record));
	record->address = (*parts)[0];
	record->gossip_port = PORT;
	record->failure_domain = (char *)(uintptr_t) "a";
	record->service = (char *)(uintptr_t) "orders";
	record->target_version = (char *)(uintptr_t) "v1";
	record->state =
		find_name(state_names, G_N_ELEMENTS(state_names), (*parts)[1]);
	record->incarnation = strtoull((*parts)[2], NULL, 10);
	record->phase =
		find_name(phase_names, G_N_ELEMENTS(phase_names), (*parts)[3]);
}

static void run_message(struct fixture *fixture, int count, char **words,
			GString *output)
{
	mem_wire_record records[RECORDS_MAX];
	char **parts[RECORDS_MAX];
	struct mem_message message = { 0 };
	mem_wire_update *update = &message.update;

	message.procedure = find_name(procedure_names,
				      G_N_ELEMENTS(procedure_names), words[2]);
	/* The digest equals the local one, so that no pull follows. */
	update->table_hash = fixture->machine->table->live_hash;
	update->live_count = fixture->machine->table->live_count;
	update->admin_port = 8082;
	update->records.records_val = records;
	for (int i = 3; i < count; i++) {
		u_int place = update->records.records_len;

		if (strcmp(words[i], "probe") == 0)
			message.xid = fixture->machine->probe.xid;
		else if (strcmp(words[i], "alone") == 0)
			update->live_count = 1;
		else if (g_str_has_prefix(words[i], "sequence="))
			update->manifest_sequence = strtoull(
				words[i] + strlen("sequence="), NULL, 10);
		else if (place < RECORDS_MAX)
			parse_record(words[i],
				     &records[update->records.records_len++],
				     &parts[place]);
	}
	print_step(fixture,
		   mem_step_message(fixture->machine, words[1], PORT, &message,
				    fixture->now_ms),
		   output);
	for (u_int i = 0; i < update->records.records_len; i++)
		g_strfreev(parts[i]);
}

static void show_table(const struct fixture *fixture, GString *output)
{
	const GPtrArray *entries = fixture->machine->table->entries;

	for (guint i = 0; i < entries->len; i++) {
		const struct mem_entry *entry = g_ptr_array_index(entries, i);
		const struct mem_member *member = &entry->member;

		g_string_append_printf(
			output, "%s %s %" PRIu64 " %s %s %s%s\n",
			member->self.address, state_names[member->state],
			member->incarnation, member->self.service,
			member->self.version, phase_names[member->self.phase],
			entry->is_reported_dead ? " reported-dead" : "");
	}
}

static bool run_step(int count, char **words, GString *output, void *state)
{
	struct fixture *fixture = state;
	const char *step = words[0];

	if (strcmp(step, "node") == 0 && count >= 2)
		run_node(fixture, count, words);
	else if (strcmp(step, "tick") == 0 && count == 2)
		run_ticks(fixture, (uint32_t)strtoul(words[1], NULL, 10),
			  output);
	else if (strcmp(step, "pause") == 0 && count == 2)
		fixture->now_ms += strtoull(words[1], NULL, 10);
	else if (strcmp(step, "from") == 0 && count >= 3)
		run_message(fixture, count, words, output);
	else if (strcmp(step, "announce") == 0 && count == 4)
		print_step(
			fixture,
			mem_step_announce(fixture->machine, words[1], words[2],
					  find_name(phase_names, 3, words[3]),
					  fixture->now_ms),
			output);
	else if (strcmp(step, "leave") == 0)
		print_step(fixture,
			   mem_step_leave(fixture->machine, fixture->now_ms),
			   output);
	else if (strcmp(step, "sequence") == 0 && count == 2)
		print_step(fixture,
			   mem_step_sequence(fixture->machine,
					     strtoull(words[1], NULL, 10),
					     fixture->now_ms),
			   output);
	else if (strcmp(step, "show") == 0)
		show_table(fixture, output);
	else
		return false;
	return true;
}

static void run_named(const char *name)
{
	struct fixture fixture = { 0 };

	scr_run(name, run_step, &fixture);
	talloc_free(fixture.machine);
}

static void test_probe(void)
{
	run_named("probe");
}

static void test_order(void)
{
	run_named("order");
}

static void test_refute(void)
{
	run_named("refute");
}

static void test_pause(void)
{
	run_named("pause");
}

static void test_reported_death(void)
{
	run_named("reported_death");
}

static void test_push(void)
{
	run_named("push");
}

static void test_seeds(void)
{
	run_named("seeds");
}

static void test_bad_seeds_are_refused(void)
{
	const char *const bad[] = { "",
				    "127.0.0.1",
				    "127.0.0.1:",
				    "127.0.0.1:0",
				    "127.0.0.1:65536",
				    "host:7946",
				    "127.0.0.1:79x",
				    ":7946" };
	struct fixture fixture = { 0 };
	char *words[] = { "node", "10.0.0.1" };

	run_node(&fixture, 2, words);
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		GError *error = NULL;

		CU_ASSERT_FALSE(
			mem_add_machine_seed(fixture.machine, bad[i], &error));
		CU_ASSERT_PTR_NOT_NULL(error);
		g_clear_error(&error);
	}
	CU_ASSERT_EQUAL(fixture.machine->seeds->len, 0);
	/* The platform lists the same seeds repeatedly. */
	CU_ASSERT_TRUE(
		mem_add_machine_seed(fixture.machine, "10.0.0.2:1", NULL));
	CU_ASSERT_TRUE(
		mem_add_machine_seed(fixture.machine, "10.0.0.2:2", NULL));
	CU_ASSERT_EQUAL(fixture.machine->seeds->len, 1);
	talloc_free(fixture.machine);
}

int main(void)
{
	const CU_TestInfo tests[] = {
		{ "probe", test_probe },
		{ "order", test_order },
		{ "refute", test_refute },
		{ "pause", test_pause },
		{ "reported_death", test_reported_death },
		{ "push", test_push },
		{ "seeds", test_seeds },
		{ "bad seeds are refused", test_bad_seeds_are_refused },
		CU_TEST_INFO_NULL,
	};

	return scr_run_suite("membership machine", tests);
}
