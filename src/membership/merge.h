/*
 * Changes of the table: merging of received records, and transitions that this
 * node makes by itself.
 */
#ifndef MEM_MERGE_H
#define MEM_MERGE_H

#include "machine.h"

/* Returns whether a record equals what the table has for the member. */
bool mem_is_same_record(const mem_wire_record *record,
			const struct mem_member *member);

/* Applies the records of a received message. */
void mem_apply_records(struct mem_machine *machine,
		       const struct mem_message *message);

/* Notes that a member has been heard of by a message of its own. */
void mem_confirm_sender(struct mem_machine *machine, const char *address);

/* Makes all live members unconfirmed: this process stood still for long. */
void mem_doubt_members(struct mem_machine *machine);

/*
 * Sets the state that this node has determined for a member and queues the
 * update.
 */
void mem_set_member_state(struct mem_machine *machine, struct mem_entry *entry,
			  enum mem_state state);

/*
 * Replaces the record of the local node under an incarnation above
 * least_incarnation and the present one, and queues it.
 */
void mem_publish_self(struct mem_machine *machine,
		      const struct mem_announcement *self, enum mem_state state,
		      uint64_t least_incarnation);

/*
 * Declares members dead whose suspicion has ended, and removes members whose
 * retention time as dead or left is over.
 */
void mem_expire_entries(struct mem_machine *machine);

#endif
