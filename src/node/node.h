/*
 * One node: the control thread's parts put together.
 */
#ifndef ND_NODE_H
#define ND_NODE_H

#include <glib.h>
#include <talloc.h>
#include <tevent.h>
#include "settings.h"

struct nd_node;

/*
 * Opens all parts of a node; settings are borrowed for its life. Returns a new
 * node owned by ctx, or NULL with *error set.
 */
struct nd_node *nd_new_node(TALLOC_CTX *ctx, struct tevent_context *events,
			    const struct nd_settings *settings, GError **error);

/* Runs until a graceful shutdown has ended. Returns the exit code. */
int nd_run_node(struct nd_node *node);

#endif
