/*
 * Table of members.
 *
 * Entries are in an array, for random choice by index, in a hash table by
 * address, and in buckets by the hash of the address.
 * Invariants: the local node is entry 0; live_hash and bucket_hashes are the
 * exclusive or of the hashes of exactly the live entries, and live_count is
 * their number; an entry is in queues[send_count] if and only if is_queued.
 *
 * The hash of a member covers only its address and incarnation: only the member
 * itself changes the contents of its record, and then it raises the
 * incarnation.
 */
#include "table.h"

#include <assert.h>
#include <string.h>
#include <xxhash.h>

static int destroy_table(struct mem_table *table)
{
	g_ptr_array_free(table->entries, TRUE);
	g_hash_table_destroy(table->by_address);
	for (uint32_t i = 0; i < MEM_BUCKET_COUNT; i++)
		g_ptr_array_free(table->buckets[i], TRUE);
	return 0;
}

static uint32_t get_bucket(const char *address)
{
	return (uint32_t)(XXH3_64bits(address, strlen(address)) %
			  MEM_BUCKET_COUNT);
}

static uint64_t hash_member(const struct mem_member *member)
{
	return XXH3_64bits_withSeed(member->self.address,
				    strlen(member->self.address),
				    member->incarnation);
}

/* Adds a live entry to the hashes, or removes it again. */
static void toggle_hash(struct mem_table *table, const struct mem_entry *entry)
{
	uint64_t hash = hash_member(&entry->member);

	table->live_hash ^= hash;
	table->bucket_hashes[entry->bucket] ^= (uint32_t)hash;
}

static void unqueue_entry(struct mem_table *table, struct mem_entry *entry)
{
	if (!entry->is_queued)
		return;
	g_queue_unlink(&table->queues[entry->send_count], &entry->link);
	entry->is_queued = false;
	table->queued_count--;
}

static void add_to_queue(struct mem_table *table, struct mem_entry *entry,
			 uint32_t send_count)
{
	assert(!entry->is_queued);
	entry->send_count = send_count;
	g_queue_push_tail_link(&table->queues[send_count], &entry->link);
	entry->is_queued = true;
	table->queued_count++;
}

static void set_text(struct mem_entry *entry, const char **text,
		     const char *value)
{
	char *old = (char *)(uintptr_t)*text;

	if (old && strcmp(old, value) == 0)
		return;
	*text = talloc_strdup(entry, value);
	talloc_free(old);
}

struct mem_table *mem_new_table(TALLOC_CTX *ctx,
				const struct mem_announcement *self)
{
	struct mem_table *table = talloc_zero(ctx, struct mem_table);
	struct mem_entry *entry;

	table->entries = g_ptr_array_new();
	table->by_address = g_hash_table_new(g_str_hash, g_str_equal);
	talloc_set_destructor(table, destroy_table);
	for (uint32_t i = 0; i < MEM_SEND_LIMIT; i++)
		g_queue_init(&table->queues[i]);
	for (uint32_t i = 0; i < MEM_BUCKET_COUNT; i++)
		table->buckets[i] = g_ptr_array_new();
	entry = mem_add_entry(table, self->address);
	mem_set_entry(table, entry, self, 0, MEM_STATE_ALIVE);
	mem_queue_entry(table, entry);
	return table;
}

struct mem_entry *mem_get_self(const struct mem_table *table)
{
	return g_ptr_array_index(table->entries, 0);
}

struct mem_entry *mem_find_entry(const struct mem_table *table,
				 const char *address)
{
	return g_hash_table_lookup(table->by_address, address);
}

struct mem_entry *mem_add_entry(struct mem_table *table, const char *address)
{
	struct mem_entry *entry = mem_find_entry(table, address);
	struct mem_announcement *self;

	if (entry)
		return entry;
	entry = talloc_zero(table, struct mem_entry);
	entry->link.data = entry;
	entry->member.state = MEM_STATE_DEAD;
	entry->bucket = get_bucket(address);
	self = &entry->member.self;
	self->address = talloc_strdup(entry, address);
	self->failure_domain = talloc_strdup(entry, "");
	self->service = talloc_strdup(entry, "");
	self->version = talloc_strdup(entry, "");
	g_ptr_array_add(table->entries, entry);
	g_ptr_array_add(table->buckets[entry->bucket], entry);
	g_hash_table_insert(table->by_address, (char *)(uintptr_t)self->address,
			    entry);
	return entry;
}

void mem_drop_entry(struct mem_table *table, struct mem_entry *entry)
{
	assert(entry != mem_get_self(table));
	if (mem_is_live(entry->member.state)) {
		toggle_hash(table, entry);
		table->live_count--;
	}
	unqueue_entry(table, entry);
	g_hash_table_remove(table->by_address, entry->member.self.address);
	g_ptr_array_remove(table->entries, entry);
	g_ptr_array_remove_fast(table->buckets[entry->bucket], entry);
	talloc_free(entry);
}

void mem_set_entry(struct mem_table *table, struct mem_entry *entry,
		   const struct mem_announcement *self, uint64_t incarnation,
		   enum mem_state state)
{
	struct mem_member *member = &entry->member;

	if (mem_is_live(member->state)) {
		toggle_hash(table, entry);
		table->live_count--;
	}
	set_text(entry, &member->self.failure_domain, self->failure_domain);
	set_text(entry, &member->self.service, self->service);
	set_text(entry, &member->self.version, self->version);
	member->self.gossip_port = self->gossip_port;
	member->self.hop_port = self->hop_port;
	member->self.admin_port = self->admin_port;
	member->self.capacity = self->capacity;
	member->self.phase = self->phase;
	member->incarnation = incarnation;
	member->state = state;
	if (mem_is_live(state)) {
		toggle_hash(table, entry);
		table->live_count++;
	}
}

void mem_queue_entry(struct mem_table *table, struct mem_entry *entry)
{
	unqueue_entry(table, entry);
	add_to_queue(table, entry, 0);
}

void mem_unqueue_alive(struct mem_table *table)
{
	for (guint i = 0; i < table->entries->len; i++) {
		struct mem_entry *entry = g_ptr_array_index(table->entries, i);

		if (entry->member.state == MEM_STATE_ALIVE)
			unqueue_entry(table, entry);
	}
}

bool mem_is_live(enum mem_state state)
{
	return state == MEM_STATE_ALIVE || state == MEM_STATE_SUSPECT;
}

void mem_fill_record(const struct mem_entry *entry, mem_wire_record *record)
{
	const struct mem_member *member = &entry->member;
	const struct mem_announcement *self = &member->self;

	/*
	 * XDR structures have no const members; encoding does not write to
	 * them.
	 */
	record->address = (char *)(uintptr_t)self->address;
	record->gossip_port = self->gossip_port;
	record->hop_port_and_capacity =
		mem_pack_hop_port(self->hop_port, self->capacity);
	record->admin_port = self->admin_port;
	record->failure_domain = (char *)(uintptr_t)self->failure_domain;
	record->service = (char *)(uintptr_t)self->service;
	record->target_version = (char *)(uintptr_t)self->version;
	record->phase = self->phase;
	record->state = member->state;
	record->incarnation = member->incarnation;
}

uint32_t mem_take_updates(struct mem_table *table, mem_wire_record *records,
			  uint32_t count, size_t size, uint32_t send_limit)
{
	uint32_t taken = 0;
	GQueue sent = G_QUEUE_INIT;
	GList *link;

	for (uint32_t i = 0; i < MEM_SEND_LIMIT; i++) {
		while (taken < count &&
		       (link = g_queue_peek_head_link(&table->queues[i]))) {
			struct mem_entry *entry = link->data;
			size_t record_size;

			mem_fill_record(entry, &records[taken]);
			record_size = mem_get_record_size(&records[taken]);
			if (record_size > size)
				goto out;
			size -= record_size;
			taken++;
			unqueue_entry(table, entry);
			g_queue_push_tail_link(&sent, &entry->link);
		}
	}
out:
	while ((link = g_queue_pop_head_link(&sent))) {
		struct mem_entry *entry = link->data;

		if (entry->send_count + 1 < send_limit)
			add_to_queue(table, entry, entry->send_count + 1);
	}
	return taken;
}
