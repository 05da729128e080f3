/*
 * Simulation of many membership machines in one process and in virtual time.
 * Datagrams pass through the codec, take 1 to 4 ms, and are lost with a given
 * probability or between groups.
 */
#ifndef MEM_TEST_MESH_H
#define MEM_TEST_MESH_H

#include "machine.h"

#define MESH_NODE_MAX 1024U
#define MESH_DELAY_MAX_MS 4U

/* Returned when a condition did not become true in time. */
#define MESH_NEVER UINT32_MAX

struct mesh_node {
	struct mem_machine *machine; /* NULL: stopped */
	char *address;
	bool is_paused; /* neither ticks nor reads datagrams */
	uint32_t group; /* nodes reach only their own group */
	uint32_t tick_offset_ms;
	uint32_t starts;
	uint64_t newer_sequence;
	GPtrArray *waiting; /* datagrams received while paused */
	uint64_t messages_out;
	uint64_t bytes_out; /* payload without packet headers */
	uint64_t bytes_in;
};

struct mesh {
	uint32_t count;
	struct mesh_node nodes[MESH_NODE_MAX];
	GPtrArray *in_flight[MESH_DELAY_MAX_MS + 1]; /* by arrival time */
	GRand *random;
	uint64_t now_ms;
	uint32_t loss_permille;
	uint32_t damage_permille; /* of the datagrams; bytes are replaced */
	uint32_t rejected;	  /* datagrams that could not be decoded */
	bool is_fetching;	  /* nodes fetch newer manifests at once */
};

typedef bool (*mesh_condition_fn)(struct mesh *mesh, const void *data);

/* Returns a new mesh of count running nodes; nodes 0 to 2 are the seeds. */
struct mesh *mesh_new(TALLOC_CTX *ctx, uint32_t count, uint64_t seed);

/* Starts a node without any state from an earlier run. */
void mesh_start(struct mesh *mesh, uint32_t index);
void mesh_stop(struct mesh *mesh, uint32_t index);

/* A paused node neither ticks nor reads; datagrams to it are queued. */
void mesh_pause(struct mesh *mesh, uint32_t index);
void mesh_resume(struct mesh *mesh, uint32_t index);

/* Sends the messages of a step that a test ran on a node. */
void mesh_execute_step(struct mesh *mesh, uint32_t index,
		       const struct mem_step *step);

void mesh_run(struct mesh *mesh, uint32_t duration_ms);

/*
 * Returns the time in ms until the condition was true, or MESH_NEVER after
 * limit_ms.
 */
uint32_t mesh_run_until(struct mesh *mesh, mesh_condition_fn condition,
			const void *data, uint32_t limit_ms);

/*
 * Returns the member subject in the table of node holder (borrowed), or NULL.
 */
const struct mem_member *mesh_find_member(const struct mesh *mesh,
					  uint32_t holder, uint32_t subject);

/*
 * Condition: in the table of every running node exactly the running nodes are
 * live.
 */
bool mesh_is_converged(struct mesh *mesh, const void *data);

#endif
