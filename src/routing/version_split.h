/*
 * Split of requests between versions, for the other files of this slice.
 */
#ifndef LOOM_ROUTING_VERSION_SPLIT_H
#define LOOM_ROUTING_VERSION_SPLIT_H

#include "loom/routing.h"

/*
 * Returns the version that may serve when the chosen one has no usable target
 * (borrowed from service), or NULL.
 */
const char *rt_get_other_version(const struct doc_service *service,
				 const char *version);

#endif
