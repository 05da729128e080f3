/*
 * Messages that a step sends: digest, piggybacked updates, choice of peers.
 */
#ifndef MEM_SEND_H
#define MEM_SEND_H

#include "machine.h"

/* Gives a new machine its first credit of bytes. */
void mem_fill_credit(struct mem_machine *machine);

/* Moves the machine's time on and refills its credit of bytes. */
void mem_set_step_time(struct mem_machine *machine, uint64_t now_ms);

/*
 * Adds a message to the step with the digest and the records of the given
 * entries (NULL ones are passed over), then as many queued updates as fit.
 * Returns it, borrowed from the step.
 */
struct mem_send *mem_add_send(struct mem_machine *machine, uint32_t procedure,
			      uint32_t xid, const char *address, uint16_t port,
			      struct mem_entry *const *about,
			      size_t about_count);

/* Returns up to count random live members other than except, in peers. */
uint32_t mem_choose_peers(struct mem_machine *machine, uint32_t count,
			  const struct mem_entry *except,
			  struct mem_entry **peers);

/* Lets the next pushes carry the digest, as an update would be carried. */
void mem_set_hint(struct mem_machine *machine);

/*
 * Sends queued updates and the digest to a few random members at once. A local
 * change is urgent: it does not wait for credit.
 */
void mem_push_gossip(struct mem_machine *machine, bool is_urgent);

/*
 * Compares a peer's digest with ours: asks for the difference, or notes that
 * the updates of live members have reached everybody.
 */
void mem_note_digest(struct mem_machine *machine, const char *address,
		     uint16_t port, const mem_wire_update *update);

/* Answers a pull with pages of the buckets that differ. */
void mem_send_pages(struct mem_machine *machine, const char *address,
		    uint16_t port, const mem_wire_buckets *buckets);

#endif
