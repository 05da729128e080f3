/*
 * How many connections the threads may open, so that a process does not run out
 * of descriptors.
 */
#ifndef ND_DESCRIPTORS_H
#define ND_DESCRIPTORS_H

#include <stdint.h>
#include "loom/traffic.h"

/*
 * Raises the soft limit on open descriptors to the hard one; returns the limit
 * in force.
 */
uint32_t nd_raise_file_limit(void);

/*
 * Lowers the connections of the options as far as descriptors_max requires, and
 * sets the connections to other nodes. thread_count must be set.
 */
void nd_limit_connections(struct tr_options *options, uint32_t descriptors_max);

#endif
