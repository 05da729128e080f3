/*
 * Immutable routing table.
 *
 * The entries are one array, sorted by service, version, local failure domain
 * first, distance and address. A group is the run of entries of one service and
 * version. A tier is a run of entries of equal distance within a group. Groups
 * are sorted and found by binary search.
 *
 * Invariants: once a table is shared, only its reference count changes. A table
 * is the root of its own talloc hierarchy, so that it can be freed on any
 * thread.
 */
#include "table.h"

#include <assert.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

static _Atomic uint64_t last_serial;

static int compare_versions(const char *service_a, const char *version_a,
			    const char *service_b, const char *version_b)
{
	int order = strcmp(service_a, service_b);

	return order ? order : strcmp(version_a, version_b);
}

static int compare_numbers(uint32_t a, uint32_t b)
{
	return (a > b) - (a < b);
}

/*
 * While sorting, tier is 0 for the local failure domain and 1 for the others;
 * set_tier() computes the final values.
 */
static int compare_entries(const void *left, const void *right)
{
	const struct rt_entry *a = left;
	const struct rt_entry *b = right;
	int order = compare_versions(a->target.service, a->target.version,
				     b->target.service, b->target.version);

	if (order == 0)
		order = compare_numbers(a->tier, b->tier);
	if (order == 0 && a->tier > 0)
		order = compare_numbers(a->target.distance_us,
					b->target.distance_us);
	if (order == 0)
		order = strcmp(a->target.address, b->target.address);
	return order;
}

static int compare_groups(const void *left, const void *right)
{
	const struct rt_group *a = left;
	const struct rt_group *b = right;

	return compare_versions(a->service, a->version, b->service, b->version);
}

static void copy_target(struct rt_table *table, struct rt_entry *entry,
			const struct rt_target *target)
{
	entry->target = *target;
	entry->target.address = talloc_strdup(table->entries, target->address);
	entry->target.failure_domain =
		talloc_strdup(table->entries, target->failure_domain);
	entry->target.service = talloc_strdup(table->entries, target->service);
	entry->target.version = talloc_strdup(table->entries, target->version);
	entry->target.release = talloc_strdup(
		table->entries,
		target->release ? target->release : target->version);
	entry->is_domain_out =
		doc_is_domain_out(table->snapshot, target->failure_domain);
	entry->tier =
		strcmp(target->failure_domain, table->own_domain) == 0 ? 0 : 1;
}

static bool is_same_version(const struct rt_entry *a, const struct rt_entry *b)
{
	return compare_versions(a->target.service, a->target.version,
				b->target.service, b->target.version) == 0;
}

static void set_tier(struct rt_entry *entry, const struct rt_entry *previous)
{
	bool is_own_domain = entry->tier == 0;

	if (is_own_domain)
		return;
	if (previous->tier > 0 &&
	    previous->target.distance_us == entry->target.distance_us)
		entry->tier = previous->tier;
	else
		entry->tier = previous->tier + 1;
}

static void build_groups(struct rt_table *table)
{
	struct rt_group *group = NULL;

	table->groups =
		talloc_array(table, struct rt_group, table->entry_count);
	for (size_t i = 0; i < table->entry_count; i++) {
		struct rt_entry *entry = &table->entries[i];

		if (group && is_same_version(entry - 1, entry)) {
			set_tier(entry, entry - 1);
			group->count++;
			continue;
		}
		group = &table->groups[table->group_count++];
		group->service = entry->target.service;
		group->version = entry->target.version;
		group->first = i;
		group->count = 1;
	}
}

/* Returns how many targets of the group have an address before that one. */
static size_t get_address_rank(const struct rt_table *table,
			       const struct rt_group *group,
			       const char *address)
{
	size_t rank = 0;

	for (size_t i = 0; i < group->count; i++)
		rank += strcmp(table->entries[group->first + i].target.address,
			       address) < 0;
	return rank;
}

/* Lets the targets of a move's new version get their calls in turns. */
static void apply_turn(struct rt_table *table, const struct rt_group *group)
{
	const struct doc_service *service =
		doc_find_service(table->snapshot, group->service);
	const struct doc_move *move = service ? service->move : NULL;

	if (!move || move->turn_count <= 1 ||
	    strcmp(move->to, group->version) != 0)
		return;
	for (size_t i = 0; i < group->count; i++) {
		struct rt_entry *entry = &table->entries[group->first + i];

		entry->is_out_of_turn =
			get_address_rank(table, group, entry->target.address) %
				move->turn_count !=
			move->turn_index;
	}
}

const struct rt_group *rt_find_group(const struct rt_table *table,
				     const char *service, const char *version)
{
	struct rt_group key = { .service = service, .version = version };

	if (table->group_count == 0)
		return NULL;
	return bsearch(&key, table->groups, table->group_count, sizeof(key),
		       compare_groups);
}

struct rt_table *rt_new_table(struct doc_snapshot *snapshot,
			      const struct rt_target *targets,
			      size_t target_count, const char *own_domain)
{
	struct rt_table *table = talloc_zero(NULL, struct rt_table);

	assert(snapshot && own_domain);
	assert(targets || target_count == 0);
	table->references = 1;
	table->serial = atomic_fetch_add(&last_serial, 1) + 1;
	table->snapshot = doc_ref_snapshot(snapshot);
	table->own_domain = talloc_strdup(table, own_domain);
	table->entries =
		talloc_zero_array(table, struct rt_entry, target_count);
	table->entry_count = target_count;
	for (size_t i = 0; i < target_count; i++)
		copy_target(table, &table->entries[i], &targets[i]);
	if (target_count > 0)
		qsort(table->entries, target_count, sizeof(*table->entries),
		      compare_entries);
	build_groups(table);
	for (size_t i = 0; i < table->group_count; i++)
		apply_turn(table, &table->groups[i]);
	return table;
}

void rt_set_share_limit(struct rt_table *table, const char *service,
			uint32_t limit_permille)
{
	struct rt_share_limit *limit;

	assert(table->references == 1);
	assert(limit_permille <= DOC_SHARE_ALL_PERMILLE);
	table->limits =
		talloc_realloc(table, table->limits, struct rt_share_limit,
			       table->limit_count + 1);
	limit = &table->limits[table->limit_count++];
	limit->service = talloc_strdup(table->limits, service);
	limit->limit_permille = limit_permille;
}

uint32_t rt_get_share_limit(const struct rt_table *table, const char *service)
{
	for (size_t i = 0; i < table->limit_count; i++) {
		if (strcmp(table->limits[i].service, service) == 0)
			return table->limits[i].limit_permille;
	}
	return DOC_SHARE_ALL_PERMILLE;
}

struct rt_table *rt_ref_table(struct rt_table *table)
{
	atomic_fetch_add(&table->references, 1);
	return table;
}

void rt_unref_table(struct rt_table *table)
{
	uint32_t left;

	if (!table)
		return;
	left = atomic_fetch_sub(&table->references, 1) - 1;
	assert(left != UINT32_MAX);
	if (left > 0)
		return;
	doc_unref_snapshot(table->snapshot);
	talloc_free(table);
}

struct doc_snapshot *rt_get_snapshot(const struct rt_table *table)
{
	return table->snapshot;
}
