/*
 * Messages that a step sends: their digest and queued updates, the choice of
 * receivers, and the limit on bytes.
 */
#ifndef MEM_SEND_H
#define MEM_SEND_H

#include "machine.h"

/* Sets the initial credit of a new machine. */
void mem_init_credit(struct mem_machine *machine);

/* Sets the time of the machine and refills its credit for the time passed. */
void mem_set_step_time(struct mem_machine *machine, uint64_t now_ms);

/*
 * Adds a message with the digest to the step. It carries the records of the
 * included entries (NULL ones are skipped), then as many queued updates as fit.
 * Returns the message, borrowed from the step.
 */
struct mem_send *mem_add_send(struct mem_machine *machine, uint32_t procedure,
			      uint32_t xid, const char *address, uint16_t port,
			      struct mem_entry *const *included,
			      size_t included_count);

/*
 * Fills peers with up to count random live members other than the local node
 * and except (borrowed), and returns their count.
 */
uint32_t mem_choose_peers(struct mem_machine *machine, uint32_t count,
			  const struct mem_entry *except,
			  struct mem_entry **peers);

/*
 * Schedules pushes of the digest, as many as one update gets, after the
 * manifest sequence changed.
 */
void mem_schedule_digest_pushes(struct mem_machine *machine);

/*
 * Sends queued updates and the digest to a few random members. An urgent push,
 * after a local change, ignores the credit.
 */
void mem_push_gossip(struct mem_machine *machine, bool is_urgent);

/*
 * Compares the digest of a peer with the local one. If they differ, pulls the
 * difference when a pull is due. After several equal digests in a row all nodes
 * count as having the updates of alive members, which then leave the queue.
 */
void mem_compare_digest(struct mem_machine *machine, const char *address,
			uint16_t port, const mem_wire_update *update);

/* Answers a pull with pages: the records of all buckets whose hashes differ. */
void mem_send_pages(struct mem_machine *machine, const char *address,
		    uint16_t port, const mem_wire_buckets *buckets);

#endif
