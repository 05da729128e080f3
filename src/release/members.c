/*
 * Array of the live members, copied completely at each change.
 *
 * The node with the highest hash of (service, node) owns a service. All nodes
 * that know the same members choose the same owner without communication, and
 * when a node leaves only the services that it owned change their owner.
 */
#include "members.h"

#include <string.h>
#include <xxhash.h>

static bool is_live(const struct mem_member *member)
{
	return member->state == MEM_STATE_ALIVE ||
	       member->state == MEM_STATE_SUSPECT;
}

static const char *copy_text(TALLOC_CTX *ctx, const char *text)
{
	return talloc_strdup(ctx, text ? text : "");
}

struct rls_members *rls_copy_members(TALLOC_CTX *ctx,
				     const struct mem_member *members,
				     size_t count)
{
	struct rls_members *copy = talloc_zero(ctx, struct rls_members);

	copy->items = talloc_zero_array(copy, struct rls_member, count + 1);
	for (size_t i = 0; i < count; i++) {
		const struct mem_announcement *self = &members[i].self;
		struct rls_member *item = &copy->items[copy->count];

		if (!is_live(&members[i]))
			continue;
		item->node = talloc_asprintf(copy, "%s:%u", self->address,
					     self->admin_port);
		item->failure_domain = copy_text(copy, self->failure_domain);
		item->service = copy_text(copy, self->service);
		item->version = copy_text(copy, self->version);
		item->phase = self->phase;
		copy->count++;
	}
	return copy;
}

const char *rls_find_owner(const struct rls_members *members,
			   const char *service)
{
	uint64_t seed = XXH64(service, strlen(service), 0);
	const char *owner = NULL;
	uint64_t highest = 0;

	for (size_t i = 0; i < members->count; i++) {
		const char *node = members->items[i].node;
		uint64_t hash = XXH64(node, strlen(node), seed);

		if (owner && (hash < highest ||
			      (hash == highest && strcmp(node, owner) > 0)))
			continue;
		owner = node;
		highest = hash;
	}
	return owner;
}

uint32_t rls_count_targets(const struct rls_members *members,
			   const struct doc_snapshot *snapshot,
			   const char *service, const char *version,
			   enum rt_phase phase)
{
	uint32_t count = 0;

	for (size_t i = 0; i < members->count; i++) {
		const struct rls_member *item = &members->items[i];

		if (item->phase == phase &&
		    strcmp(item->service, service) == 0 &&
		    strcmp(item->version, version) == 0 &&
		    !doc_is_domain_out(snapshot, item->failure_domain))
			count++;
	}
	return count;
}
