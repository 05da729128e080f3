/* Layout of the routing table, private to this module. */
#ifndef LOOM_ROUTING_TABLE_H
#define LOOM_ROUTING_TABLE_H

#include "loom/routing.h"

/* A target with the values that the table derives from it. */
struct rt_entry {
	struct rt_target target;
	bool is_domain_out;
	bool is_out_of_turn; /* gets no call now; see struct doc_move */
	uint32_t tier; /* 0: local failure domain; increases with distance */
};

/* The targets of one version of one service. */
struct rt_group {
	const char *service; /* borrowed from the first entry */
	const char *version; /* borrowed from the first entry */
	size_t first;	     /* index of the first entry */
	size_t count;
};

/* Limit on the share of a service's new version. */
struct rt_share_limit {
	const char *service;
	uint32_t limit_permille;
};

struct rt_table {
	_Atomic uint32_t references;
	uint64_t serial; /* unique in the process */
	struct doc_snapshot *snapshot;
	const char *own_domain;
	struct rt_entry *entries;
	size_t entry_count;
	struct rt_group *groups; /* ordered by service and version */
	size_t group_count;
	struct rt_share_limit
		*limits; /* one for each service that has a limit */
	size_t limit_count;
};

/* Returns the group of a version (borrowed), or NULL if it has no target. */
const struct rt_group *rt_find_group(const struct rt_table *table,
				     const char *service, const char *version);

/*
 * Returns the limit on the share, or DOC_SHARE_ALL_PERMILLE if there is none.
 */
uint32_t rt_get_share_limit(const struct rt_table *table, const char *service);

#endif
