/*
 * Many membership machines in one process that exchange datagrams in memory in
 * virtual time. Datagrams pass through the codec, take 1 to 4 ms, and are lost
 * with a set probability or between groups.
 */
#ifndef MEM_TEST_MESH_H
#define MEM_TEST_MESH_H

#include "machine.h"

#define MESH_NODE_MAX 1024U
#define MESH_DELAY_MAX_MS 4U

/* The time after which a condition has failed. */
#define MESH_NEVER UINT32_MAX

struct mesh_node {
	struct mem_machine *machine; /* NULL: stopped */
	char *address;
	bool is_paused; /* no ticks; datagrams wait */
	uint32_t group; /* only nodes of one group reach each other */
	uint32_t tick_offset_ms;
	uint32_t starts;
	uint64_t newer_sequence;
	GPtrArray *waiting; /* datagrams for a paused node */
	uint64_t messages_out;
	uint64_t bytes_out; /* payload, without packet headers */
	uint64_t bytes_in;
};

struct mesh {
	uint32_t count;
	struct mesh_node nodes[MESH_NODE_MAX];
	GPtrArray *in_flight[MESH_DELAY_MAX_MS + 1]; /* by due time */
	GRand *random;
	uint64_t now_ms;
	uint32_t loss_permille;
	bool is_fetching; /* a newer manifest is fetched at once */
};

typedef bool (*mesh_condition_fn)(struct mesh *mesh, const void *data);

/* Returns a new mesh of count started nodes; nodes 0 to 2 are the seeds. */
struct mesh *mesh_new(TALLOC_CTX *ctx, uint32_t count, uint64_t seed);

/* Starts a node anew, with nothing kept from before. */
void mesh_start(struct mesh *mesh, uint32_t index);
void mesh_stop(struct mesh *mesh, uint32_t index);

/* A paused node neither ticks nor reads; its datagrams wait. */
void mesh_pause(struct mesh *mesh, uint32_t index);
void mesh_resume(struct mesh *mesh, uint32_t index);

/* Carries out what a local step of a node returned. */
void mesh_carry_out(struct mesh *mesh, uint32_t index,
		    const struct mem_step *step);

void mesh_run(struct mesh *mesh, uint32_t duration_ms);

/* Returns the time until the condition held, or MESH_NEVER after limit_ms. */
uint32_t mesh_run_until(struct mesh *mesh, mesh_condition_fn condition,
			const void *data, uint32_t limit_ms);

/* Returns what a node holds of another (borrowed), or NULL. */
const struct mem_member *mesh_find(const struct mesh *mesh, uint32_t holder,
				   uint32_t subject);

/* Condition: every running node holds exactly the running ones live. */
bool mesh_is_whole(struct mesh *mesh, const void *data);

#endif
