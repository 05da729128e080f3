/*
 * State machine of membership: takes a tick, a message or a local change with
 * the time, and returns what to send. No I/O, no clock.
 */
#ifndef MEM_MACHINE_H
#define MEM_MACHINE_H

#include "codec.h"
#include "table.h"
#include "loom/membership.h"

/* Ticks in one probe period. */
#define MEM_TICKS_PER_PERIOD 5U

struct mem_send {
	const char *address;
	uint16_t port;
	struct mem_message message;
};

/* What follows from one step; valid until the next step of the machine. */
struct mem_step {
	struct mem_send *sends;
	size_t send_count;
	bool is_changed;	/* members or announcements changed */
	const char *newer_peer; /* "address:admin_port", or NULL */
	uint64_t newer_sequence;
};

struct mem_statistics {
	uint64_t suspicions;
	uint64_t deaths;
	uint64_t refutations;
};

/* The probe in progress. */
struct mem_probe {
	char *address; /* owned by the machine; NULL: none */
	uint32_t xid;
	uint64_t timeout_at_ms; /* then it is tried again on every tick */
	uint64_t end_ms;	/* then the member is suspect */
	uint32_t retry_count;
};

/* A probe made for another member. */
struct mem_relay {
	char address[MEM_ADDRESS_SIZE + 1];
	uint16_t port;
	uint32_t asked_xid;
	uint32_t probe_xid;
};

#define MEM_RELAY_COUNT 32U

struct mem_endpoint {
	char *address;
	uint16_t port;
};

struct mem_machine {
	uint32_t probe_period_ms;
	uint32_t probe_timeout_ms;
	uint32_t suspicion_ms;
	GRand *random;
	struct mem_table *table;
	uint64_t now_ms;
	uint64_t last_tick_ms;
	uint64_t next_probe_ms;
	uint64_t next_dead_probe_ms;
	uint64_t next_seed_ms;
	uint64_t next_pull_ms;
	uint64_t last_pull_ms;
	uint64_t settled_ms;	   /* last change of the table */
	uint32_t agreed_count;	   /* digests in a row that were as ours */
	uint64_t sequence;	   /* of the manifest in force here */
	uint32_t hint_count;	   /* digests still to push for it */
	int64_t push_credit_bytes; /* probes and gossip */
	int64_t pull_credit_bytes; /* pulls and pages */
	struct mem_probe probe;
	GPtrArray *probe_order; /* char *, shuffled, taken from the end */
	struct mem_relay relays[MEM_RELAY_COUNT];
	uint32_t relay_next;
	GPtrArray *seeds; /* struct mem_endpoint */
	struct mem_step *step;
	struct mem_statistics statistics;
};

/* Returns a new machine owned by ctx; texts of options are copied. */
struct mem_machine *mem_new_machine(TALLOC_CTX *ctx,
				    const struct mem_options *options,
				    uint64_t now_ms);

/* Adds a seed; returns false with *error set when it is not "IP:port". */
bool mem_add_machine_seed(struct mem_machine *machine, const char *seed,
			  GError **error);

/* Every step returns its outcome, borrowed until the next step. */
const struct mem_step *mem_step_tick(struct mem_machine *machine,
				     uint64_t now_ms);
const struct mem_step *mem_step_message(struct mem_machine *machine,
					const char *address, uint16_t port,
					const struct mem_message *message,
					uint64_t now_ms);
const struct mem_step *mem_step_announce(struct mem_machine *machine,
					 const char *service,
					 const char *version,
					 enum rt_phase phase, uint64_t now_ms);
const struct mem_step *mem_step_sequence(struct mem_machine *machine,
					 uint64_t sequence, uint64_t now_ms);
const struct mem_step *mem_step_leave(struct mem_machine *machine,
				      uint64_t now_ms);

#endif
