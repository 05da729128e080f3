/* Split of requests between versions, private to this module. */
#ifndef LOOM_ROUTING_VERSION_SPLIT_H
#define LOOM_ROUTING_VERSION_SPLIT_H

#include "loom/routing.h"

/* Returns the share of the new version of a service that has a move. */
uint32_t rt_get_move_permille(const struct rt_table *table,
			      const struct doc_service *service);

/*
 * Returns the version to fall back to (borrowed from service) when the chosen
 * one has no usable target, or NULL.
 */
const char *rt_get_fallback_version(const struct doc_service *service,
				    const char *version);

#endif
