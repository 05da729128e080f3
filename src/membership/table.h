/*
 * Table of members, keyed by address, with the queue of updates to spread.
 */
#ifndef MEM_TABLE_H
#define MEM_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>
#include <talloc.h>
#include "codec.h"
#include "loom/membership.h"

/* Bound on the sends of one update, whatever the number of members. */
#define MEM_SEND_LIMIT 40U

struct mem_entry {
	struct mem_member member; /* texts are owned by the entry */
	uint64_t state_until_ms;  /* suspect: dies; dead or left: dropped */
	bool is_doubted;	  /* somebody holds it dead: probe it next */
	uint32_t bucket;
	GList link; /* in the queue of its send_count */
	uint32_t send_count;
	bool is_queued;
};

struct mem_table {
	GPtrArray *entries; /* struct mem_entry; the local node is the first */
	GHashTable *by_address;
	GQueue queues[MEM_SEND_LIMIT]; /* by sends made; oldest first */
	uint32_t queued_count;
	uint32_t live_count; /* alive and suspect members */
	uint64_t live_hash;
	uint32_t bucket_hashes[MEM_BUCKET_COUNT];
	GPtrArray *buckets[MEM_BUCKET_COUNT]; /* all entries, by address */
};

/* Returns a new table owned by ctx that holds only the local node. */
struct mem_table *mem_new_table(TALLOC_CTX *ctx, const struct mem_self *self);

/* Returns the entry of the local node (borrowed). */
struct mem_entry *mem_get_self(const struct mem_table *table);

/* Returns the entry of an address (borrowed), or NULL. */
struct mem_entry *mem_find_entry(const struct mem_table *table,
				 const char *address);

/* Returns the entry, made as a dead one when it is new (borrowed). */
struct mem_entry *mem_add_entry(struct mem_table *table, const char *address);

/* Forgets a member other than the local node. */
void mem_drop_entry(struct mem_table *table, struct mem_entry *entry);

/*
 * Replaces what is known of a member; texts are copied. Keeps the hashes true.
 */
void mem_set_entry(struct mem_table *table, struct mem_entry *entry,
		   const struct mem_self *self, uint64_t incarnation,
		   enum mem_state state);

/* Queues what is known of a member to be sent before older updates. */
void mem_queue_entry(struct mem_table *table, struct mem_entry *entry);

/*
 * Takes live members out of the queue: their updates are known to all. Deaths
 * and departures stay, since the hashes do not show them.
 */
void mem_unqueue_live(struct mem_table *table);

/* Returns whether the state is alive or suspect. */
bool mem_is_live(enum mem_state state);

/* Fills record with texts borrowed from entry. */
void mem_fill_record(const struct mem_entry *entry, mem_wire_record *record);

/*
 * Moves updates from the queue, least sent first, into records while there is
 * room for size bytes and count records. Each update is counted as sent and
 * leaves the queue after send_limit sends. Returns the count filled.
 */
uint32_t mem_take_updates(struct mem_table *table, mem_wire_record *records,
			  uint32_t count, size_t size, uint32_t send_limit);

#endif
