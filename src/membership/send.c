/*
 * Messages that a step sends.
 *
 * Every message carries the digest and as many queued updates as fit. All bytes
 * sent are charged to one of two token buckets, so that many updates at once
 * cannot exceed the control traffic budget of a node, and pages cannot delay an
 * announcement. Without credit, pages and most updates wait; probes and the
 * newest updates are still sent.
 */
#include "send.h"

#include <string.h>

/* Refill rate of each token bucket, in bytes per second. */
#define CREDIT_BYTES_PER_S 2700

/*
 * Capacities of the buckets: one push of an update to a few members, and the
 * pages that answer one pull.
 */
#define PUSH_BURST_BYTES 1000
#define PULL_BURST_BYTES (PAGE_LIMIT * MEM_DATAGRAM_SIZE)

/*
 * Limit of the debt that probes and answers can run up. Updates wait until it
 * is refilled.
 */
#define CREDIT_DEBT_BYTES 2500

/* Updates that a message carries when there is no credit. */
#define RECORDS_WITHOUT_CREDIT 2U

/* Size of the IPv4 and UDP headers of a datagram, in bytes. */
#define PACKET_HEADER_SIZE 28U

/* Number of members that one push is sent to. */
#define GOSSIP_FANOUT 3U

/* Limit of datagrams that answer one pull. */
#define PAGE_LIMIT 8U

/*
 * When digests differ, a pull is sent if the table has not changed for
 * PULL_SETTLED_PERIODS, since updates in flight may still deliver the
 * difference; at the latest PULL_LATEST_PERIODS after the last pull; or at once
 * when the peer has over an eighth more live members. Two pulls are at least
 * PULL_PERIODS apart. All values are in probe periods.
 */
#define PULL_SETTLED_PERIODS 2U
#define PULL_LATEST_PERIODS 4U
#define PULL_PERIODS 2U

/*
 * Each update is sent SEND_FACTOR times the bit length of the number of live
 * members.
 */
#define SEND_FACTOR 3U

static uint32_t get_send_limit(const struct mem_machine *machine)
{
	uint32_t count = machine->table->live_count;
	uint32_t limit = SEND_FACTOR * g_bit_storage(count);

	return MIN(limit, MEM_SEND_LIMIT);
}

static void fill_digest(const struct mem_machine *machine,
			mem_wire_update *update)
{
	const struct mem_table *table = machine->table;

	update->manifest_sequence = machine->sequence;
	update->table_hash = table->live_hash;
	update->live_count = table->live_count;
	update->admin_port = mem_get_self(table)->member.self.admin_port;
}

static struct mem_send *add_empty_send(struct mem_machine *machine,
				       uint32_t procedure, uint32_t xid,
				       const char *address, uint16_t port)
{
	struct mem_step *step = machine->step;
	struct mem_send *send;

	step->sends = talloc_realloc(step, step->sends, struct mem_send,
				     step->send_count + 1);
	send = &step->sends[step->send_count++];
	memset(send, 0, sizeof(*send));
	send->address = talloc_strdup(step, address);
	send->port = port;
	send->message.procedure = procedure;
	send->message.xid = xid;
	fill_digest(machine, &send->message.update);
	send->message.update.records.records_val =
		talloc_array(step, mem_wire_record, MEM_RECORD_LIMIT);
	return send;
}

/* Returns the encoded size of a message. */
static size_t get_send_size(const struct mem_send *send)
{
	const mem_wire_update *update = &send->message.update;
	size_t size = mem_get_empty_size(send->message.procedure);

	for (u_int i = 0; i < update->records.records_len; i++)
		size += mem_get_record_size(&update->records.records_val[i]);
	return size;
}

static void charge_send(struct mem_machine *machine,
			const struct mem_send *send)
{
	int64_t size = (int64_t)(get_send_size(send) + PACKET_HEADER_SIZE);
	uint32_t procedure = send->message.procedure;
	int64_t *credit_bytes;

	credit_bytes = procedure == MEM_PULL || procedure == MEM_PAGE
			       ? &machine->pull_credit_bytes
			       : &machine->push_credit_bytes;
	*credit_bytes = MAX(*credit_bytes - size, -CREDIT_DEBT_BYTES);
}

static void add_record(struct mem_send *send, const struct mem_entry *entry)
{
	mem_wire_update *update = &send->message.update;

	mem_fill_record(
		entry,
		&update->records.records_val[update->records.records_len++]);
}

static bool contains_address(const mem_wire_record *records, u_int count,
			     const char *address)
{
	for (u_int i = 0; i < count; i++)
		if (strcmp(records[i].address, address) == 0)
			return true;
	return false;
}

/* Adds queued updates, except those that the message contains already. */
static void add_updates(struct mem_machine *machine, struct mem_send *send)
{
	mem_wire_update *update = &send->message.update;
	mem_wire_record *records = update->records.records_val;
	u_int included_count = update->records.records_len;
	u_int room = MEM_RECORD_LIMIT - included_count;
	u_int taken;

	if (machine->push_credit_bytes <= 0)
		room = MIN(room, RECORDS_WITHOUT_CREDIT);
	taken = mem_take_updates(machine->table, &records[included_count], room,
				 MEM_DATAGRAM_SIZE - get_send_size(send),
				 get_send_limit(machine));
	for (u_int i = included_count; i < included_count + taken; i++)
		if (!contains_address(records, included_count,
				      records[i].address))
			records[update->records.records_len++] = records[i];
}

static void refill_credit(int64_t *credit_bytes, int64_t burst_bytes,
			  uint64_t elapsed_ms)
{
	*credit_bytes +=
		(int64_t)MIN(elapsed_ms, 10000) * CREDIT_BYTES_PER_S / 1000;
	*credit_bytes = MIN(*credit_bytes, burst_bytes);
}

/* Equal digests in a row after which all nodes count as up to date. */
#define EQUAL_DIGEST_LIMIT 8U

/* State while pages are built; send is borrowed from the step, or NULL. */
struct pages {
	const char *address;
	uint16_t port;
	struct mem_send *send;
	size_t bytes_left; /* free bytes in send */
	uint32_t count;
};

static bool is_full(const struct mem_send *send)
{
	return send->message.update.records.records_len == MEM_RECORD_LIMIT;
}

static void end_page(struct mem_machine *machine, struct pages *pages)
{
	if (pages->send)
		charge_send(machine, pages->send);
	pages->send = NULL;
}

void mem_init_credit(struct mem_machine *machine)
{
	/*
	 * No credit for pages: when many nodes start at once, their tables are
	 * still nearly empty.
	 */
	machine->push_credit_bytes = PUSH_BURST_BYTES;
	machine->pull_credit_bytes = 0;
}

void mem_set_step_time(struct mem_machine *machine, uint64_t now_ms)
{
	if (now_ms <= machine->now_ms)
		return;
	refill_credit(&machine->push_credit_bytes, PUSH_BURST_BYTES,
		      now_ms - machine->now_ms);
	refill_credit(&machine->pull_credit_bytes, PULL_BURST_BYTES,
		      now_ms - machine->now_ms);
	machine->now_ms = now_ms;
}

struct mem_send *mem_add_send(struct mem_machine *machine, uint32_t procedure,
			      uint32_t xid, const char *address, uint16_t port,
			      struct mem_entry *const *included,
			      size_t included_count)
{
	struct mem_send *send;

	send = add_empty_send(machine, procedure, xid, address, port);
	for (size_t i = 0; i < included_count; i++)
		if (included[i])
			add_record(send, included[i]);
	add_updates(machine, send);
	charge_send(machine, send);
	return send;
}

uint32_t mem_choose_peers(struct mem_machine *machine, uint32_t count,
			  const struct mem_entry *except,
			  struct mem_entry **peers)
{
	const GPtrArray *entries = machine->table->entries;
	uint32_t candidate_count = 0;

	/* Reservoir sampling; entry 0 is the local node. */
	for (guint i = 1; i < entries->len; i++) {
		struct mem_entry *entry = g_ptr_array_index(entries, i);
		uint32_t slot;

		if (entry == except || !mem_is_live(entry->member.state))
			continue;
		slot = candidate_count++;
		if (slot >= count)
			slot = (uint32_t)g_rand_int_range(
				machine->random, 0, (gint32)candidate_count);
		if (slot < count)
			peers[slot] = entry;
	}
	return MIN(candidate_count, count);
}

void mem_schedule_digest_pushes(struct mem_machine *machine)
{
	machine->digest_push_count = get_send_limit(machine);
}

void mem_push_gossip(struct mem_machine *machine, bool is_urgent)
{
	struct mem_entry *peers[GOSSIP_FANOUT];
	uint32_t count;

	count = mem_choose_peers(machine, GOSSIP_FANOUT, NULL, peers);
	for (uint32_t i = 0; i < count; i++) {
		const struct mem_announcement *self = &peers[i]->member.self;

		if (!is_urgent && machine->push_credit_bytes <= 0)
			return;
		if (machine->table->queued_count == 0 &&
		    machine->digest_push_count == 0)
			return;
		if (machine->digest_push_count > 0)
			machine->digest_push_count--;
		mem_add_send(machine, MEM_GOSSIP, 0, self->address,
			     self->gossip_port, NULL, 0);
	}
}

static void pull_if_due(struct mem_machine *machine, const char *address,
			uint16_t port, const mem_wire_update *update)
{
	const struct mem_table *table = machine->table;
	uint32_t period_ms = machine->probe_period_ms;
	bool is_far_behind;
	bool is_settled;
	bool is_late;
	struct mem_send *send;

	if (machine->now_ms < machine->next_pull_ms)
		return;
	is_far_behind =
		update->live_count > table->live_count + table->live_count / 8;
	is_settled =
		machine->now_ms >=
		machine->table_changed_ms + PULL_SETTLED_PERIODS * period_ms;
	is_late = machine->now_ms >=
		  machine->last_pull_ms + PULL_LATEST_PERIODS * period_ms;
	if (!is_far_behind && !is_settled && !is_late)
		return;
	machine->last_pull_ms = machine->now_ms;
	machine->next_pull_ms = machine->now_ms + PULL_PERIODS * period_ms;
	send = mem_add_send(machine, MEM_PULL, 0, address, port, NULL, 0);
	memcpy(send->message.buckets.hashes, table->bucket_hashes,
	       sizeof(table->bucket_hashes));
}

/* Adds all records of a bucket, starting new pages as needed. */
static void add_bucket(struct mem_machine *machine, struct pages *pages,
		       const GPtrArray *bucket)
{
	for (guint i = 0; i < bucket->len; i++) {
		const struct mem_entry *entry = g_ptr_array_index(bucket, i);
		mem_wire_record record;
		size_t size;

		if (entry->is_unconfirmed)
			continue;
		mem_fill_record(entry, &record);
		size = mem_get_record_size(&record);
		if (!pages->send || size > pages->bytes_left ||
		    is_full(pages->send)) {
			end_page(machine, pages);
			pages->send =
				add_empty_send(machine, MEM_PAGE, 0,
					       pages->address, pages->port);
			pages->bytes_left =
				MEM_DATAGRAM_SIZE - get_send_size(pages->send);
			pages->count++;
		}
		pages->bytes_left -= size;
		add_record(pages->send, entry);
	}
}

void mem_compare_digest(struct mem_machine *machine, const char *address,
			uint16_t port, const mem_wire_update *update)
{
	if (update->table_hash != machine->table->live_hash) {
		machine->equal_digest_count = 0;
		pull_if_due(machine, address, port, update);
		return;
	}
	machine->equal_digest_count++;
	if (machine->equal_digest_count == EQUAL_DIGEST_LIMIT)
		mem_unqueue_alive(machine->table);
}

void mem_send_pages(struct mem_machine *machine, const char *address,
		    uint16_t port, const mem_wire_buckets *buckets)
{
	const struct mem_table *table = machine->table;
	struct pages pages = { .address = address, .port = port };
	uint32_t start = (uint32_t)g_rand_int_range(machine->random, 0,
						    MEM_BUCKET_COUNT);

	/*
	 * Buckets are sent whole: the hashes of a bucket that arrives are
	 * equal, so it is not pulled again.
	 */
	for (uint32_t i = 0; i < MEM_BUCKET_COUNT; i++) {
		uint32_t bucket = (start + i) % MEM_BUCKET_COUNT;

		if (pages.count >= PAGE_LIMIT ||
		    machine->pull_credit_bytes <= 0)
			break;
		if (buckets->hashes[bucket] != table->bucket_hashes[bucket])
			add_bucket(machine, &pages, table->buckets[bucket]);
	}
	end_page(machine, &pages);
}
