/*
 * Versions that were taken back.
 */
#ifndef ND_WITHDRAWN_H
#define ND_WITHDRAWN_H

#include <stdbool.h>
#include <glib.h>
#include "node.h"

/* Returns a new, empty set of versions. */
GHashTable *nd_new_withdrawn(void);

/* Adds or removes the version of a move that has ended. */
void nd_record_end(GHashTable *withdrawn,
		   const struct nd_move_request *request);

bool nd_is_withdrawn(GHashTable *withdrawn, const char *service,
		     const char *version);

#endif
