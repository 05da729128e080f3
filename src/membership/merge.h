/*
 * What a record received, or a local verdict, changes in the table.
 */
#ifndef MEM_MERGE_H
#define MEM_MERGE_H

#include "machine.h"

/* Returns whether a record says exactly what is held of the member. */
bool mem_is_same_record(const mem_wire_record *record,
			const struct mem_member *member);

/* Applies the records of a received message. */
void mem_apply_records(struct mem_machine *machine,
		       const struct mem_message *message);

/* Sets the local verdict on a member and queues it. */
void mem_set_verdict(struct mem_machine *machine, struct mem_entry *entry,
		     enum mem_state state);

/* Publishes a change of the local record under a higher incarnation. */
void mem_publish_self(struct mem_machine *machine, const struct mem_self *self,
		      enum mem_state state, uint64_t least_incarnation);

/* Lets suspicions run out and forgets members that are long dead. */
void mem_expire_entries(struct mem_machine *machine);

#endif
