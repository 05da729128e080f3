/* Table of members by address, with a queue of updates to send. */
#ifndef MEM_TABLE_H
#define MEM_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>
#include <talloc.h>
#include "codec.h"
#include "loom/membership.h"

/*
 * Bound on the number of times that one update is sent, whatever the number of
 * members.
 */
#define MEM_SEND_LIMIT 40U

/*
 * A member. When state_deadline_ms passes, a suspect member becomes dead, and a
 * dead or left one is removed; alive members have no deadline.
 */
struct mem_entry {
	struct mem_member member;   /* texts are owned by the entry */
	uint64_t state_deadline_ms; /* when the state ends */
	bool is_reported_dead; /* a page reported it dead; it is probed next */
	/*
	 * Known from before a pause of this process and not heard of since: it
	 * may have left, and the others may have forgotten that. It is not
	 * reported to others.
	 */
	bool is_unconfirmed;
	uint32_t bucket;
	GList link; /* in queues[send_count] */
	uint32_t send_count;
	bool is_queued;
};

struct mem_table {
	GPtrArray *entries; /* entry 0 is the local node */
	GHashTable *by_address;
	GQueue queues[MEM_SEND_LIMIT]; /* by number of sends; oldest first */
	uint32_t queued_count;
	uint32_t live_count; /* alive and suspect members */
	uint64_t live_hash;
	uint32_t bucket_hashes[MEM_BUCKET_COUNT];
	GPtrArray *buckets[MEM_BUCKET_COUNT]; /* by address hash */
};

/* Returns a new table owned by ctx that holds only the local node. */
struct mem_table *mem_new_table(TALLOC_CTX *ctx,
				const struct mem_announcement *self);

/* Returns the entry of the local node (borrowed). */
struct mem_entry *mem_get_self(const struct mem_table *table);

/* Returns the entry of an address (borrowed), or NULL. */
struct mem_entry *mem_find_entry(const struct mem_table *table,
				 const char *address);

/*
 * Returns the entry of an address (borrowed). A new entry has state dead until
 * mem_set_entry().
 */
struct mem_entry *mem_add_entry(struct mem_table *table, const char *address);

/* Removes and frees a member other than the local node. */
void mem_drop_entry(struct mem_table *table, struct mem_entry *entry);

/* Replaces the record of a member and updates the hashes; texts are copied. */
void mem_set_entry(struct mem_table *table, struct mem_entry *entry,
		   const struct mem_announcement *self, uint64_t incarnation,
		   enum mem_state state);

/* Queues the record of a member, to be sent before older updates. */
void mem_queue_entry(struct mem_table *table, struct mem_entry *entry);

/*
 * Removes alive members from the queue when all nodes have their updates.
 * Suspicions, deaths and departures stay queued: the hashes don't cover the
 * state.
 */
void mem_unqueue_alive(struct mem_table *table);

/* Returns whether the state is alive or suspect. */
bool mem_is_live(enum mem_state state);

/* Fills record; its texts are borrowed from entry. */
void mem_fill_record(const struct mem_entry *entry, mem_wire_record *record);

/*
 * Fills records with queued updates, least sent first, while count records and
 * size bytes allow. Each of them counts as sent once more and leaves the queue
 * after send_limit sends. Returns the number of records filled; their texts are
 * borrowed.
 */
uint32_t mem_take_updates(struct mem_table *table, mem_wire_record *records,
			  uint32_t count, size_t size, uint32_t send_limit);

#endif
