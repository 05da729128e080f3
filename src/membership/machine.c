/*
 * State machine of the membership protocol.
 *
 * Each probe period one member, taken round-robin from a shuffled list, is
 * pinged. If it does not answer in time, it is pinged again and a few other
 * members are asked to ping it. After two periods without an answer it becomes
 * suspect, and dead when the suspicion ends without a refutation. Every message
 * carries queued updates, which are also pushed to a few random members on each
 * tick. Every message also carries a digest of the table, which reveals updates
 * that a push did not deliver.
 * Invariant: at most one direct probe is in progress; its member may have been
 * removed from the table meanwhile.
 */
#include "machine.h"

#include <arpa/inet.h>
#include <string.h>
#include "merge.h"
#include "send.h"
#include "loom/error.h"

/* Members that are asked to probe a member which did not answer. */
#define INDIRECT_COUNT 3U

/*
 * A probe is retried on every tick. The first retry, and then one after each
 * interval of this many ticks, also asks other members to probe.
 */
#define INDIRECT_INTERVAL_TICKS 2U

/* Probe periods without an answer after which a probe has failed. */
#define PROBE_PERIODS 2U

/* Seeds contacted at a time while no other member is known. */
#define SEED_COUNT 3U

/*
 * Probe periods between contacts of seeds while members are known, and between
 * pings of dead members.
 */
#define SEED_PERIODS 30U
#define DEAD_PROBE_PERIODS 6U

/* Records of other members sent to a node that has no other member yet. */
#define JOIN_RECORD_COUNT 4U

/*
 * Tick intervals since the last tick above which the process counts as paused.
 */
#define PAUSE_TICKS 3U

static int destroy_machine(struct mem_machine *machine)
{
	g_rand_free(machine->random);
	g_ptr_array_free(machine->seeds, TRUE);
	g_ptr_array_free(machine->probe_order, TRUE);
	return 0;
}

static void begin_step(struct mem_machine *machine, uint64_t now_ms)
{
	TALLOC_FREE(machine->step);
	machine->step = talloc_zero(machine, struct mem_step);
	mem_set_step_time(machine, now_ms);
}

static void send_ping(struct mem_machine *machine, uint32_t xid,
		      const char *address, uint16_t port)
{
	struct mem_entry *entry = mem_find_entry(machine->table, address);
	struct mem_entry *included[2] = { 0 };
	struct mem_send *send;

	/*
	 * A member that is not alive in the local table gets its record, so
	 * that it can refute it, and the record of this node, since this
	 * node may be dead in that member's table as well.
	 */
	if (!entry || entry->member.state != MEM_STATE_ALIVE) {
		included[0] = entry;
		included[1] = mem_get_self(machine->table);
	} else if (entry->is_reported_dead) {
		included[0] = entry;
	}
	send = mem_add_send(machine, MEM_PING, xid, address, port, included, 2);
	/*
	 * A page reported this member dead. It gets that record and refutes it
	 * with a higher incarnation.
	 */
	if (entry && entry->is_reported_dead)
		send->message.update.records.records_val[0].state =
			MEM_STATE_DEAD;
}

static void fill_probe_order(struct mem_machine *machine)
{
	const GPtrArray *entries = machine->table->entries;
	GPtrArray *order = machine->probe_order;

	for (guint i = 1; i < entries->len; i++) {
		const struct mem_entry *entry = g_ptr_array_index(entries, i);

		if (mem_is_live(entry->member.state))
			g_ptr_array_add(order,
					g_strdup(entry->member.self.address));
	}
	for (guint i = order->len; i > 1; i--) {
		guint j =
			(guint)g_rand_int_range(machine->random, 0, (gint32)i);
		gpointer swapped = order->pdata[i - 1];

		order->pdata[i - 1] = order->pdata[j];
		order->pdata[j] = swapped;
	}
}

static struct mem_entry *find_reported_dead(const struct mem_machine *machine)
{
	const GPtrArray *entries = machine->table->entries;

	for (guint i = 1; i < entries->len; i++) {
		struct mem_entry *entry = g_ptr_array_index(entries, i);

		if (entry->is_reported_dead)
			return entry;
	}
	return NULL;
}

/*
 * Returns the member to probe next (borrowed), or NULL. Members reported dead
 * come first.
 */
static struct mem_entry *choose_probe(struct mem_machine *machine)
{
	GPtrArray *order = machine->probe_order;
	struct mem_entry *entry = find_reported_dead(machine);

	if (entry)
		return entry;
	if (order->len == 0)
		fill_probe_order(machine);
	while (order->len > 0) {
		entry = mem_find_entry(machine->table,
				       order->pdata[order->len - 1]);
		g_ptr_array_set_size(order, (gint)order->len - 1);
		if (entry && mem_is_live(entry->member.state))
			return entry;
	}
	return NULL;
}

static void start_probe(struct mem_machine *machine)
{
	struct mem_entry *entry = choose_probe(machine);
	struct mem_probe *probe = &machine->probe;

	if (!entry)
		return;
	probe->address = talloc_strdup(machine, entry->member.self.address);
	probe->xid = g_rand_int(machine->random);
	probe->timeout_at_ms = machine->now_ms + machine->probe_timeout_ms;
	probe->retry_count = 0;
	probe->end_ms =
		machine->now_ms + PROBE_PERIODS * machine->probe_period_ms;
	send_ping(machine, probe->xid, probe->address,
		  entry->member.self.gossip_port);
	entry->is_reported_dead = false;
}

static void end_probe(struct mem_machine *machine)
{
	struct mem_entry *entry;

	if (!machine->probe.address)
		return;
	entry = mem_find_entry(machine->table, machine->probe.address);
	TALLOC_FREE(machine->probe.address);
	if (!entry || entry->member.state != MEM_STATE_ALIVE)
		return;
	mem_set_member_state(machine, entry, MEM_STATE_SUSPECT);
	send_ping(machine, 0, entry->member.self.address,
		  entry->member.self.gossip_port);
}

/*
 * Pings the member again and asks others to ping it. Lost datagrams must not
 * lead to a suspicion: each wrong one costs two updates to all members.
 */
static void retry_probe(struct mem_machine *machine)
{
	struct mem_entry *peers[INDIRECT_COUNT];
	struct mem_entry *entry;
	uint32_t count;

	entry = mem_find_entry(machine->table, machine->probe.address);
	if (!entry)
		return;
	send_ping(machine, machine->probe.xid, machine->probe.address,
		  entry->member.self.gossip_port);
	if (machine->probe.retry_count++ % INDIRECT_INTERVAL_TICKS != 0)
		return;
	count = mem_choose_peers(machine, INDIRECT_COUNT, entry, peers);
	for (uint32_t i = 0; i < count; i++) {
		const struct mem_announcement *self = &peers[i]->member.self;
		struct mem_send *send;

		send = mem_add_send(machine, MEM_INDIRECT, machine->probe.xid,
				    self->address, self->gossip_port, NULL, 0);
		send->message.subject.address = machine->probe.address;
		send->message.subject.gossip_port =
			entry->member.self.gossip_port;
	}
}

static void run_probe(struct mem_machine *machine)
{
	struct mem_probe *probe = &machine->probe;

	if (probe->address && machine->now_ms >= probe->end_ms)
		end_probe(machine);
	else if (probe->address && machine->now_ms >= probe->timeout_at_ms)
		retry_probe(machine);
	if (probe->address || machine->now_ms < machine->next_probe_ms)
		return;
	machine->next_probe_ms = machine->now_ms + machine->probe_period_ms;
	start_probe(machine);
}

static void contact_seeds(struct mem_machine *machine)
{
	const GPtrArray *seeds = machine->seeds;
	bool is_alone = machine->table->live_count == 1;
	uint32_t wanted = is_alone ? SEED_COUNT : 1;
	guint start;

	if (machine->now_ms < machine->next_seed_ms || seeds->len == 0)
		return;
	machine->next_seed_ms =
		machine->now_ms +
		(is_alone ? 1 : SEED_PERIODS) * machine->probe_period_ms;
	start = (guint)g_rand_int_range(machine->random, 0, (gint32)seeds->len);
	for (guint i = 0; i < seeds->len && wanted > 0; i++) {
		const struct mem_endpoint *seed =
			seeds->pdata[(start + i) % seeds->len];
		struct mem_entry *entry =
			mem_find_entry(machine->table, seed->address);

		if (entry && mem_is_live(entry->member.state))
			continue;
		send_ping(machine, 0, seed->address, seed->port);
		wanted--;
	}
}

static void probe_dead(struct mem_machine *machine)
{
	const GPtrArray *entries = machine->table->entries;
	guint start;

	if (machine->now_ms < machine->next_dead_probe_ms)
		return;
	machine->next_dead_probe_ms =
		machine->now_ms + DEAD_PROBE_PERIODS * machine->probe_period_ms;
	start = (guint)g_rand_int_range(machine->random, 0,
					(gint32)entries->len);
	for (guint i = 0; i < entries->len; i++) {
		const struct mem_entry *entry =
			entries->pdata[(start + i) % entries->len];
		const struct mem_announcement *self = &entry->member.self;

		if (entry->member.state != MEM_STATE_DEAD)
			continue;
		send_ping(machine, 0, self->address, self->gossip_port);
		return;
	}
}

/*
 * Returns the delay of a tick in ms from which on the process counts as paused.
 */
static uint32_t get_pause_ms(const struct mem_machine *machine)
{
	return PAUSE_TICKS * machine->probe_period_ms / MEM_TICKS_PER_PERIOD;
}

/*
 * Restarts all suspicions and drops the probe after a pause of the process:
 * answers that arrived meanwhile may still be unread in the socket.
 */
static void restart_timeouts(struct mem_machine *machine)
{
	const GPtrArray *entries = machine->table->entries;

	TALLOC_FREE(machine->probe.address);
	for (guint i = 1; i < entries->len; i++) {
		struct mem_entry *entry = g_ptr_array_index(entries, i);

		if (entry->member.state == MEM_STATE_SUSPECT)
			entry->state_deadline_ms =
				machine->now_ms + machine->suspicion_ms;
	}
}

/*
 * After a pause that was long enough for members to leave, what this node knows
 * of them is doubted, once and before it answers anyone.
 */
static void handle_long_pause(struct mem_machine *machine, uint64_t now_ms)
{
	if (now_ms <= machine->last_tick_ms + machine->suspicion_ms ||
	    machine->doubted_tick_ms == machine->last_tick_ms)
		return;
	machine->doubted_tick_ms = machine->last_tick_ms;
	mem_doubt_members(machine);
}

static void update_sender_sequence(struct mem_machine *machine,
				   const char *address,
				   const mem_wire_update *update)
{
	struct mem_entry *entry = mem_find_entry(machine->table, address);
	struct mem_step *step = machine->step;

	if (entry &&
	    update->manifest_sequence > entry->member.manifest_sequence)
		entry->member.manifest_sequence = update->manifest_sequence;
	if (update->manifest_sequence <= machine->sequence)
		return;
	step->newer_sequence = update->manifest_sequence;
	step->newer_peer =
		talloc_asprintf(step, "%s:%u", address, update->admin_port);
}

/*
 * Returns the entry of a sender that has to receive its record (borrowed), or
 * NULL: the sender is suspect or dead in the table, or the sender announces
 * other contents under the same or a lower incarnation.
 */
static struct mem_entry *find_outdated_sender(const struct mem_machine *machine,
					      const char *address,
					      const mem_wire_update *update)
{
	struct mem_entry *entry = mem_find_entry(machine->table, address);

	if (!entry || entry == mem_get_self(machine->table))
		return NULL;
	if (entry->member.state == MEM_STATE_SUSPECT ||
	    entry->member.state == MEM_STATE_DEAD)
		return entry;
	for (u_int i = 0; i < update->records.records_len; i++) {
		const mem_wire_record *record = &update->records.records_val[i];

		if (strcmp(record->address, address) != 0)
			continue;
		/* A restarted node starts with incarnation 0 again. */
		if (record->incarnation <= entry->member.incarnation &&
		    !mem_is_same_record(record, &entry->member))
			return entry;
	}
	return NULL;
}

static void start_indirect_probe(struct mem_machine *machine,
				 const char *address, uint16_t port,
				 const struct mem_message *message)
{
	struct mem_indirect_probe *indirect;

	indirect = &machine->indirect_probes[machine->next_indirect_probe++ %
					     MEM_INDIRECT_PROBE_COUNT];
	g_strlcpy(indirect->address, address, sizeof(indirect->address));
	indirect->port = port;
	indirect->request_xid = message->xid;
	indirect->probe_xid = g_rand_int(machine->random);
	send_ping(machine, indirect->probe_xid, message->subject.address,
		  (uint16_t)message->subject.gossip_port);
}

static void handle_ack(struct mem_machine *machine, uint32_t xid)
{
	if (machine->probe.address && machine->probe.xid == xid) {
		TALLOC_FREE(machine->probe.address);
		return;
	}
	for (uint32_t i = 0; i < MEM_INDIRECT_PROBE_COUNT; i++) {
		struct mem_indirect_probe *indirect =
			&machine->indirect_probes[i];

		if (indirect->port == 0 || indirect->probe_xid != xid)
			continue;
		mem_add_send(machine, MEM_ACK, indirect->request_xid,
			     indirect->address, indirect->port, NULL, 0);
		indirect->port = 0;
		return;
	}
}

static void leave_out_unconfirmed(struct mem_entry **entries, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		if (entries[i] && entries[i]->is_unconfirmed)
			entries[i] = NULL;
	}
}

static void answer_message(struct mem_machine *machine, const char *address,
			   uint16_t port, const struct mem_message *message)
{
	struct mem_entry *included[2 + JOIN_RECORD_COUNT] = { 0 };

	included[0] = find_outdated_sender(machine, address, &message->update);
	included[1] = included[0] ? mem_get_self(machine->table) : NULL;
	switch (message->procedure) {
	case MEM_PING:
		if (message->update.live_count <= 1) {
			included[1] = mem_get_self(machine->table);
			mem_choose_peers(machine, JOIN_RECORD_COUNT, NULL,
					 &included[2]);
			leave_out_unconfirmed(&included[2], JOIN_RECORD_COUNT);
		}
		mem_add_send(machine, MEM_ACK, message->xid, address, port,
			     included, G_N_ELEMENTS(included));
		return;
	case MEM_ACK:
		handle_ack(machine, message->xid);
		break;
	case MEM_INDIRECT:
		start_indirect_probe(machine, address, port, message);
		break;
	case MEM_PULL:
		mem_send_pages(machine, address, port, &message->buckets);
		break;
	default:
		break;
	}
	if (included[0])
		mem_add_send(machine, MEM_GOSSIP, 0, address, port, included,
			     2);
}

static struct mem_endpoint *find_seed(const struct mem_machine *machine,
				      const char *address)
{
	for (guint i = 0; i < machine->seeds->len; i++) {
		struct mem_endpoint *seed = machine->seeds->pdata[i];

		if (strcmp(seed->address, address) == 0)
			return seed;
	}
	return NULL;
}

struct mem_machine *mem_new_machine(TALLOC_CTX *ctx,
				    const struct mem_options *options,
				    uint64_t now_ms)
{
	struct mem_machine *machine = talloc_zero(ctx, struct mem_machine);
	guint32 seed[2] = { (guint32)options->seed,
			    (guint32)(options->seed >> 32) };

	machine->probe_period_ms = options->probe_period_ms;
	machine->probe_timeout_ms = options->probe_timeout_ms;
	machine->suspicion_ms = options->suspicion_ms;
	machine->random = g_rand_new_with_seed_array(seed, G_N_ELEMENTS(seed));
	machine->seeds = g_ptr_array_new();
	machine->probe_order = g_ptr_array_new_with_free_func(g_free);
	talloc_set_destructor(machine, destroy_machine);
	machine->table = mem_new_table(machine, &options->self);
	mem_init_credit(machine);
	machine->now_ms = now_ms;
	machine->last_tick_ms = now_ms;
	machine->next_probe_ms =
		now_ms + (uint64_t)g_rand_int_range(
				 machine->random, 0,
				 (gint32)options->probe_period_ms + 1);
	return machine;
}

bool mem_add_machine_seed(struct mem_machine *machine, const char *seed,
			  GError **error)
{
	struct mem_endpoint *endpoint;
	const char *colon = strrchr(seed, ':');
	struct in6_addr parsed;
	guint64 port = 0;
	char *address;

	address = colon ? talloc_strndup(machine, seed, (size_t)(colon - seed))
			: talloc_strdup(machine, seed);
	if (!colon ||
	    !g_ascii_string_to_unsigned(colon + 1, 10, 1, UINT16_MAX, &port,
					NULL) ||
	    (inet_pton(AF_INET, address, &parsed) != 1 &&
	     inet_pton(AF_INET6, address, &parsed) != 1)) {
		err_set(error, ERR_INVALID_ARGUMENT, "add seed", seed,
			"got \"%s\", wanted \"IP:port\"", seed);
		talloc_free(address);
		return false;
	}
	endpoint = find_seed(machine, address);
	if (endpoint) {
		endpoint->port = (uint16_t)port;
		talloc_free(address);
		return true;
	}
	endpoint = talloc_zero(machine, struct mem_endpoint);
	endpoint->address = talloc_steal(endpoint, address);
	endpoint->port = (uint16_t)port;
	g_ptr_array_add(machine->seeds, endpoint);
	return true;
}

const struct mem_step *mem_step_tick(struct mem_machine *machine,
				     uint64_t now_ms)
{
	begin_step(machine, now_ms);
	handle_long_pause(machine, now_ms);
	if (now_ms > machine->last_tick_ms + get_pause_ms(machine))
		restart_timeouts(machine);
	machine->last_tick_ms = now_ms;
	mem_expire_entries(machine);
	run_probe(machine);
	contact_seeds(machine);
	probe_dead(machine);
	mem_push_gossip(machine, false);
	return machine->step;
}

const struct mem_step *mem_step_message(struct mem_machine *machine,
					const char *address, uint16_t port,
					const struct mem_message *message,
					uint64_t now_ms)
{
	begin_step(machine, now_ms);
	handle_long_pause(machine, now_ms);
	mem_confirm_sender(machine, address);
	mem_apply_records(machine, message);
	update_sender_sequence(machine, address, &message->update);
	answer_message(machine, address, port, message);
	mem_compare_digest(machine, address, port, &message->update);
	return machine->step;
}

const struct mem_step *mem_step_announce(struct mem_machine *machine,
					 const char *service,
					 const char *version,
					 enum rt_phase phase, uint64_t now_ms)
{
	const struct mem_member *member = &mem_get_self(machine->table)->member;
	struct mem_announcement self = member->self;

	begin_step(machine, now_ms);
	self.service = service;
	self.version = version;
	self.phase = phase;
	mem_publish_self(machine, &self, member->state, 0);
	mem_push_gossip(machine, true);
	return machine->step;
}

const struct mem_step *mem_step_sequence(struct mem_machine *machine,
					 uint64_t sequence, uint64_t now_ms)
{
	begin_step(machine, now_ms);
	if (sequence <= machine->sequence)
		return machine->step;
	machine->sequence = sequence;
	mem_get_self(machine->table)->member.manifest_sequence = sequence;
	mem_schedule_digest_pushes(machine);
	mem_push_gossip(machine, true);
	return machine->step;
}

const struct mem_step *mem_step_leave(struct mem_machine *machine,
				      uint64_t now_ms)
{
	struct mem_announcement self =
		mem_get_self(machine->table)->member.self;

	begin_step(machine, now_ms);
	if (mem_get_self(machine->table)->member.state == MEM_STATE_LEFT)
		return machine->step;
	self.phase = RT_PHASE_LEAVING;
	mem_publish_self(machine, &self, MEM_STATE_LEFT, 0);
	mem_push_gossip(machine, true);
	return machine->step;
}
