/*
 * State machine of the membership protocol. Each step takes a tick, a received
 * message or a local change together with the current time, and returns the
 * messages to send. It does no I/O and reads no clock.
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

/*
 * Result of one step; valid until the next step of the machine. newer_peer is
 * the administration address of a sender with a higher manifest sequence.
 */
struct mem_step {
	struct mem_send *sends;
	size_t send_count;
	bool is_changed;	/* the table changed */
	const char *newer_peer; /* "IP:port", or NULL */
	uint64_t newer_sequence;
};

struct mem_statistics {
	uint64_t suspicions;
	uint64_t deaths;
	uint64_t refutations;
};

/* The direct probe in progress. */
struct mem_probe {
	char *address; /* owned by the machine; NULL: no probe */
	uint32_t xid;
	uint64_t timeout_at_ms; /* first retry; later ones on each tick */
	uint64_t end_ms;	/* when the member becomes suspect */
	uint32_t retry_count;
};

/* A probe sent on behalf of another member. */
struct mem_indirect_probe {
	char address[MEM_ADDRESS_SIZE + 1]; /* requesting member */
	uint16_t port;			    /* 0: the slot is free */
	uint32_t request_xid;
	uint32_t probe_xid;
};

#define MEM_INDIRECT_PROBE_COUNT 32U

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
	uint64_t doubted_tick_ms; /* last tick before the last long pause */
	uint64_t next_probe_ms;
	uint64_t next_dead_probe_ms;
	uint64_t next_seed_ms;
	uint64_t next_pull_ms;
	uint64_t last_pull_ms;
	uint64_t table_changed_ms; /* time of the last change of the table */
	/* Received digests in a row that were equal to the local one. */
	uint32_t equal_digest_count;
	uint64_t sequence; /* manifest sequence in force on this node */
	uint32_t digest_push_count; /* messages left of a digest push */
	/* Token buckets that limit the bytes sent. */
	int64_t push_credit_bytes; /* all other messages */
	int64_t pull_credit_bytes; /* MEM_PULL and MEM_PAGE */
	struct mem_probe probe;
	GPtrArray *probe_order; /* shuffled addresses, taken from the end */
	struct mem_indirect_probe indirect_probes[MEM_INDIRECT_PROBE_COUNT];
	uint32_t next_indirect_probe;
	GPtrArray *seeds; /* struct mem_endpoint */
	struct mem_step *step;
	struct mem_statistics statistics;
};

/*
 * Returns a new machine owned by ctx whose table has only the local node; texts
 * of options are copied.
 */
struct mem_machine *mem_new_machine(TALLOC_CTX *ctx,
				    const struct mem_options *options,
				    uint64_t now_ms);

/*
 * Adds a seed, or changes the port of a known one with the same address.
 * Returns false with *error set when it is not "IP:port".
 */
bool mem_add_machine_seed(struct mem_machine *machine, const char *seed,
			  GError **error);

/*
 * Each function runs one step at now_ms and returns its result, borrowed until
 * the next step.
 */
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
