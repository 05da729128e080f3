/*
 * Merging of records into the table.
 *
 * A record supersedes another of the same member when its incarnation is
 * higher, or when the incarnations are equal and its state comes later in the
 * order alive, suspect, dead, left. Only a member raises its own incarnation.
 * Records that arrive late therefore change nothing, and a member refutes any
 * record about itself by a higher incarnation.
 */
#include "merge.h"

#include <string.h>

/*
 * Time for which dead and left members stay in the table. Dead ones are pinged
 * occasionally, so that a healed partition is noticed.
 */
#define DEAD_RETENTION_MS (2U * 60U * 60U * 1000U)
#define LEFT_RETENTION_MS (10U * 60U * 1000U)

/* Bound on the size of the table; further members are ignored. */
#define MEMBER_LIMIT 4096U

static uint64_t get_state_deadline(const struct mem_machine *machine,
				   enum mem_state state)
{
	switch (state) {
	case MEM_STATE_ALIVE:
		return 0;
	case MEM_STATE_SUSPECT:
		return machine->now_ms + machine->suspicion_ms;
	case MEM_STATE_DEAD:
		return machine->now_ms + DEAD_RETENTION_MS;
	case MEM_STATE_LEFT:
		return machine->now_ms + LEFT_RETENTION_MS;
	}
	return 0;
}

static void mark_changed(struct mem_machine *machine)
{
	machine->table_changed_ms = machine->now_ms;
	machine->equal_digest_count = 0;
	machine->step->is_changed = true;
}

static void apply_self_record(struct mem_machine *machine,
			      const mem_wire_record *record)
{
	const struct mem_member *member = &mem_get_self(machine->table)->member;

	if (record->incarnation < member->incarnation ||
	    mem_is_same_record(record, member))
		return;
	machine->statistics.refutations++;
	mem_publish_self(machine, &member->self, member->state,
			 record->incarnation);
}

static bool is_superseding(const mem_wire_record *record,
			   const struct mem_member *member)
{
	if (record->incarnation != member->incarnation)
		return record->incarnation > member->incarnation;
	return record->state > member->state;
}

/*
 * Returns whether a page reports the death of a member that is live in the
 * local table. The sender may have been partitioned from a member that this
 * node reaches, so the member is probed before it counts as dead.
 */
static bool is_unconfirmed_death(const mem_wire_record *record,
				 const struct mem_member *member)
{
	return record->state == MEM_STATE_DEAD && mem_is_live(member->state) &&
	       record->incarnation == member->incarnation;
}

static void set_record(struct mem_machine *machine, struct mem_entry *entry,
		       const mem_wire_record *record)
{
	struct mem_announcement self = {
		.address = record->address,
		.gossip_port = (uint16_t)record->gossip_port,
		.hop_port = (uint16_t)record->hop_port_and_capacity,
		.admin_port = (uint16_t)record->admin_port,
		.capacity = (uint16_t)(record->hop_port_and_capacity >> 16),
		.failure_domain = record->failure_domain,
		.service = record->service,
		.version = record->target_version,
		.phase = record->phase,
	};

	mem_set_entry(machine->table, entry, &self, record->incarnation,
		      record->state);
	entry->state_deadline_ms = get_state_deadline(machine, record->state);
	entry->is_reported_dead = false;
	entry->is_unconfirmed = false;
	mark_changed(machine);
}

static void add_member(struct mem_machine *machine,
		       const mem_wire_record *record, bool is_page)
{
	struct mem_entry *entry;

	/*
	 * Dead members that are unknown are ignored: after removal from one
	 * table they would return from another one forever.
	 */
	if (!mem_is_live(record->state) ||
	    machine->table->entries->len >= MEMBER_LIMIT)
		return;
	entry = mem_add_entry(machine->table, record->address);
	set_record(machine, entry, record);
	/* The other nodes already have the records that a page contains. */
	if (!is_page)
		mem_queue_entry(machine->table, entry);
}

static void apply_record(struct mem_machine *machine,
			 const mem_wire_record *record, bool is_page)
{
	struct mem_entry *entry;

	entry = mem_find_entry(machine->table, record->address);
	if (!entry) {
		add_member(machine, record, is_page);
		return;
	}
	if (entry == mem_get_self(machine->table)) {
		apply_self_record(machine, record);
		return;
	}
	if (mem_is_live(record->state) &&
	    record->incarnation == entry->member.incarnation)
		entry->is_unconfirmed = false;
	if (!is_superseding(record, &entry->member))
		return;
	if (is_page && is_unconfirmed_death(record, &entry->member)) {
		entry->is_reported_dead = true;
		return;
	}
	set_record(machine, entry, record);
	mem_queue_entry(machine->table, entry);
}

bool mem_is_same_record(const mem_wire_record *record,
			const struct mem_member *member)
{
	const struct mem_announcement *self = &member->self;

	return record->incarnation == member->incarnation &&
	       record->state == member->state && record->phase == self->phase &&
	       record->gossip_port == self->gossip_port &&
	       record->hop_port_and_capacity ==
		       mem_pack_hop_port(self->hop_port, self->capacity) &&
	       record->admin_port == self->admin_port &&
	       strcmp(record->failure_domain, self->failure_domain) == 0 &&
	       strcmp(record->service, self->service) == 0 &&
	       strcmp(record->target_version, self->version) == 0;
}

/*
 * A page contains all members of a bucket, unless they fill several pages. The
 * unconfirmed ones that it lacks are probed next.
 */
static void check_bucket(struct mem_machine *machine, const char *address)
{
	const struct mem_entry *entry = mem_find_entry(machine->table, address);
	const GPtrArray *bucket;

	if (!entry)
		return;
	bucket = machine->table->buckets[entry->bucket];
	for (guint i = 0; i < bucket->len; i++) {
		struct mem_entry *other = g_ptr_array_index(bucket, i);

		if (other->is_unconfirmed)
			other->is_reported_dead = true;
	}
}

void mem_apply_records(struct mem_machine *machine,
		       const struct mem_message *message)
{
	const mem_wire_update *update = &message->update;
	bool is_page = message->procedure == MEM_PAGE;

	for (u_int i = 0; i < update->records.records_len; i++)
		apply_record(machine, &update->records.records_val[i], is_page);
	for (u_int i = 0; is_page && i < update->records.records_len; i++)
		check_bucket(machine, update->records.records_val[i].address);
}

void mem_confirm_sender(struct mem_machine *machine, const char *address)
{
	struct mem_entry *entry = mem_find_entry(machine->table, address);

	if (entry)
		entry->is_unconfirmed = false;
}

void mem_doubt_members(struct mem_machine *machine)
{
	const GPtrArray *entries = machine->table->entries;

	for (guint i = 1; i < entries->len; i++) {
		struct mem_entry *entry = g_ptr_array_index(entries, i);

		entry->is_unconfirmed = mem_is_live(entry->member.state);
	}
	mem_unqueue_alive(machine->table);
}

void mem_set_member_state(struct mem_machine *machine, struct mem_entry *entry,
			  enum mem_state state)
{
	if (state == MEM_STATE_SUSPECT)
		machine->statistics.suspicions++;
	if (state == MEM_STATE_DEAD)
		machine->statistics.deaths++;
	mem_set_entry(machine->table, entry, &entry->member.self,
		      entry->member.incarnation, state);
	/* To nodes that have forgotten the member a suspicion would be news. */
	if (!entry->is_unconfirmed)
		mem_queue_entry(machine->table, entry);
	entry->state_deadline_ms = get_state_deadline(machine, state);
	entry->is_reported_dead = false;
	mark_changed(machine);
}

void mem_publish_self(struct mem_machine *machine,
		      const struct mem_announcement *self, enum mem_state state,
		      uint64_t least_incarnation)
{
	struct mem_entry *entry = mem_get_self(machine->table);
	uint64_t incarnation =
		MAX(entry->member.incarnation, least_incarnation) + 1;

	mem_set_entry(machine->table, entry, self, incarnation, state);
	mem_queue_entry(machine->table, entry);
	mark_changed(machine);
}

void mem_expire_entries(struct mem_machine *machine)
{
	GPtrArray *entries = machine->table->entries;

	for (guint i = entries->len - 1; i > 0; i--) {
		struct mem_entry *entry = g_ptr_array_index(entries, i);

		if (entry->member.state == MEM_STATE_ALIVE ||
		    machine->now_ms < entry->state_deadline_ms)
			continue;
		if (entry->member.state == MEM_STATE_SUSPECT)
			mem_set_member_state(machine, entry, MEM_STATE_DEAD);
		else
			mem_drop_entry(machine->table, entry);
	}
}
