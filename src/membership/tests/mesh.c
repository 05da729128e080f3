/*
 * Simulation of many membership machines in virtual time, in rounds of one
 * millisecond.
 */
#include "mesh.h"

#include <stdlib.h>
#include <string.h>

#define SEED_NODES 3U
#define GOSSIP_PORT 7946U

struct datagram {
	uint32_t from;
	uint32_t to;
	size_t size;
	uint8_t bytes[MEM_DATAGRAM_SIZE];
};

static int destroy_mesh(struct mesh *mesh)
{
	for (uint32_t i = 0; i <= MESH_DELAY_MAX_MS; i++)
		g_ptr_array_free(mesh->in_flight[i], TRUE);
	for (uint32_t i = 0; i < mesh->count; i++)
		g_ptr_array_free(mesh->nodes[i].waiting, TRUE);
	g_rand_free(mesh->random);
	return 0;
}

/* Node addresses are 10.0.HIGH.LOW of the index. */
static uint32_t parse_index(const char *address)
{
	uint32_t high = (uint32_t)strtoul(address + strlen("10.0."), NULL, 10);
	const char *low = strrchr(address, '.') + 1;

	return high * 256 + (uint32_t)strtoul(low, NULL, 10);
}

/* Replaces some bytes, or cuts off the end or adds to it. */
static void damage(struct mesh *mesh, struct datagram *datagram)
{
	uint32_t edits = (uint32_t)g_rand_int_range(mesh->random, 1, 5);

	for (uint32_t i = 0; i < edits; i++) {
		gint32 at = g_rand_int_range(mesh->random, 0,
					     (gint32)datagram->size);

		datagram->bytes[at] = (uint8_t)g_rand_int(mesh->random);
	}
	if (g_rand_int_range(mesh->random, 0, 4) == 0)
		datagram->size = (size_t)g_rand_int_range(
			mesh->random, 1, (gint32)sizeof(datagram->bytes) + 1);
}

static void send_one(struct mesh *mesh, uint32_t from,
		     const struct mem_send *send)
{
	struct mesh_node *node = &mesh->nodes[from];
	struct datagram *datagram = g_new0(struct datagram, 1);
	uint32_t delay_ms;

	datagram->from = from;
	datagram->to = parse_index(send->address);
	datagram->size = mem_encode_message(&send->message, datagram->bytes);
	g_assert(datagram->size > 0);
	node->messages_out++;
	node->bytes_out += datagram->size;
	delay_ms = (uint32_t)g_rand_int_range(mesh->random, 1,
					      MESH_DELAY_MAX_MS + 1);
	if (datagram->to >= mesh->count ||
	    node->group != mesh->nodes[datagram->to].group ||
	    (uint32_t)g_rand_int_range(mesh->random, 0, 1000) <
		    mesh->loss_permille) {
		g_free(datagram);
		return;
	}
	if (mesh->damage_permille > 0 &&
	    (uint32_t)g_rand_int_range(mesh->random, 0, 1000) <
		    mesh->damage_permille)
		damage(mesh, datagram);
	g_ptr_array_add(mesh->in_flight[(mesh->now_ms + delay_ms) %
					(MESH_DELAY_MAX_MS + 1)],
			datagram);
}

static void deliver(struct mesh *mesh, const struct datagram *datagram)
{
	struct mesh_node *node = &mesh->nodes[datagram->to];
	struct mem_message message;
	bool is_good;

	if (!node->machine)
		return;
	node->bytes_in += datagram->size;
	if (node->is_paused) {
		g_ptr_array_add(node->waiting,
				g_memdup2(datagram, sizeof(*datagram)));
		return;
	}
	is_good = mem_decode_message(datagram->bytes, datagram->size, "test",
				     &message, NULL);
	g_assert(is_good || mesh->damage_permille > 0);
	if (!is_good) {
		mesh->rejected++;
		return;
	}
	mesh_execute_step(mesh, datagram->to,
			  mem_step_message(node->machine,
					   mesh->nodes[datagram->from].address,
					   GOSSIP_PORT, &message,
					   mesh->now_ms));
	mem_clear_message(&message);
}

static void run_round(struct mesh *mesh)
{
	GPtrArray *due;

	mesh->now_ms++;
	due = mesh->in_flight[mesh->now_ms % (MESH_DELAY_MAX_MS + 1)];
	for (guint i = 0; i < due->len; i++)
		deliver(mesh, g_ptr_array_index(due, i));
	g_ptr_array_set_size(due, 0);
	for (uint32_t i = 0; i < mesh->count; i++) {
		struct mesh_node *node = &mesh->nodes[i];
		uint32_t tick_ms;

		if (!node->machine || node->is_paused)
			continue;
		tick_ms = node->machine->probe_period_ms / MEM_TICKS_PER_PERIOD;
		if ((mesh->now_ms + node->tick_offset_ms) % tick_ms == 0)
			mesh_execute_step(
				mesh, i,
				mem_step_tick(node->machine, mesh->now_ms));
	}
}

struct mesh *mesh_new(TALLOC_CTX *ctx, uint32_t count, uint64_t seed)
{
	struct mesh *mesh = talloc_zero(ctx, struct mesh);

	g_assert(count <= MESH_NODE_MAX);
	mesh->count = count;
	mesh->now_ms = 1000;
	mesh->random = g_rand_new_with_seed((guint32)seed);
	for (uint32_t i = 0; i <= MESH_DELAY_MAX_MS; i++)
		mesh->in_flight[i] = g_ptr_array_new_with_free_func(g_free);
	talloc_set_destructor(mesh, destroy_mesh);
	for (uint32_t i = 0; i < count; i++) {
		mesh->nodes[i].address =
			talloc_asprintf(mesh, "10.0.%u.%u", i / 256, i % 256);
		mesh->nodes[i].waiting = g_ptr_array_new_with_free_func(g_free);
		mesh_start(mesh, i);
	}
	return mesh;
}

void mesh_start(struct mesh *mesh, uint32_t index)
{
	struct mesh_node *node = &mesh->nodes[index];
	struct mem_options options;

	mem_set_default_options(&options);
	options.self.address = node->address;
	options.self.gossip_port = GOSSIP_PORT;
	options.self.hop_port = 8081;
	options.self.admin_port = 8082;
	options.self.failure_domain = index % 2 ? "domain-b" : "domain-a";
	options.self.service = "catalogue-and-orders";
	options.self.version = "v1";
	options.self.phase = RT_PHASE_SERVING;
	options.seed = g_rand_int(mesh->random);
	node->machine = mem_new_machine(mesh, &options, mesh->now_ms);
	node->tick_offset_ms = g_rand_int(mesh->random) % 1000;
	node->newer_sequence = 0;
	node->starts++;
	for (uint32_t i = 0; i < MIN(SEED_NODES, mesh->count); i++) {
		char *seed = talloc_asprintf(
			mesh, "%s:%u", mesh->nodes[i].address, GOSSIP_PORT);

		if (mesh->nodes[i].address && i != index)
			mem_add_machine_seed(node->machine, seed, NULL);
		talloc_free(seed);
	}
}

void mesh_stop(struct mesh *mesh, uint32_t index)
{
	TALLOC_FREE(mesh->nodes[index].machine);
}

void mesh_pause(struct mesh *mesh, uint32_t index)
{
	mesh->nodes[index].is_paused = true;
}

void mesh_resume(struct mesh *mesh, uint32_t index)
{
	struct mesh_node *node = &mesh->nodes[index];

	node->is_paused = false;
	/*
	 * The timer runs before the socket is read, the order in which pauses
	 * are harder to handle.
	 */
	mesh_execute_step(mesh, index,
			  mem_step_tick(node->machine, mesh->now_ms));
	for (guint i = 0; i < node->waiting->len; i++)
		deliver(mesh, g_ptr_array_index(node->waiting, i));
	g_ptr_array_set_size(node->waiting, 0);
}

void mesh_execute_step(struct mesh *mesh, uint32_t index,
		       const struct mem_step *step)
{
	struct mesh_node *node = &mesh->nodes[index];
	uint64_t sequence = step->newer_sequence;

	for (size_t i = 0; i < step->send_count; i++)
		send_one(mesh, index, &step->sends[i]);
	node->newer_sequence = MAX(node->newer_sequence, sequence);
	if (mesh->is_fetching && sequence > 0)
		mesh_execute_step(mesh, index,
				  mem_step_sequence(node->machine, sequence,
						    mesh->now_ms));
}

void mesh_run(struct mesh *mesh, uint32_t duration_ms)
{
	for (uint32_t i = 0; i < duration_ms; i++)
		run_round(mesh);
}

uint32_t mesh_run_until(struct mesh *mesh, mesh_condition_fn condition,
			const void *data, uint32_t limit_ms)
{
	for (uint32_t i = 0; i <= limit_ms; i++) {
		if (condition(mesh, data))
			return i;
		run_round(mesh);
	}
	return MESH_NEVER;
}

const struct mem_member *mesh_find_member(const struct mesh *mesh,
					  uint32_t holder, uint32_t subject)
{
	const struct mesh_node *node = &mesh->nodes[holder];
	const struct mem_entry *entry;

	entry = mem_find_entry(node->machine->table,
			       mesh->nodes[subject].address);
	return entry ? &entry->member : NULL;
}

bool mesh_is_converged(struct mesh *mesh, const void *data)
{
	uint32_t running = 0;
	uint64_t hash = 0;

	for (uint32_t i = 0; i < mesh->count; i++) {
		if (!mesh->nodes[i].machine)
			continue;
		if (running++ == 0)
			hash = mesh->nodes[i].machine->table->live_hash;
		if (mesh->nodes[i].machine->table->live_hash != hash)
			return false;
	}
	for (uint32_t i = 0; i < mesh->count; i++)
		if (mesh->nodes[i].machine &&
		    mesh->nodes[i].machine->table->live_count != running)
			return false;
	return true;
}
