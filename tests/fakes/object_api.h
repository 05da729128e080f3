/*
 * The stand-in for the platform's object API over HTTP: the object store, its
 * rate limits and its faults. include/loom/platform.h gives the API itself.
 *
 * POST /faults sets faults from a JSON object; what is absent stays:
 *   outage: false, true (answers 503) or "hang" (answers nothing)
 *   delay_ms: each call is carried out that much later
 *   lose_answers: the next N writes take effect, then the connection is closed
 *   drop_before: the next N calls are closed before they take effect
 *   refuse_rate: the next N calls get 429
 *   cut_watches: true closes all waiting watches
 *   hasty_watches: true answers watches at once, without events too
 *   never_gone: true answers watches of a revision out of the history as if
 *     there were no events
 *   forget_history: true drops the history of events
 *   save, restore: keeps the state under a name, goes back to it
 *   stale_from, stale_reads: the next N reads of an object see a kept state
 *   only_from: calls to an address of ours that does not begin so are closed;
 *     "" ends it. Callers of a failure domain are told apart by the address
 *     that they call, since all of them come from the loopback address.
 * GET /stats gives the counts of calls, refusals, waiting watches and peaks.
 */
#ifndef LOOM_FAKES_OBJECT_API_H
#define LOOM_FAKES_OBJECT_API_H

#include <stdint.h>
#include <stdbool.h>
#include <glib.h>
#include <jansson.h>
#include <talloc.h>
#include <tevent.h>
#include "loom/timer.h"

struct api_server;

struct api_options {
	const char *const *addresses; /* IP numbers, NULL-terminated */
	uint16_t port;		      /* 0: chosen by the kernel */
	uint32_t writes_per_second;
	uint32_t reads_per_second;
	uint32_t history_max;
};

/* Fills options with the usual values: 127.0.0.1 and a chosen port. */
void api_set_default_options(struct api_options *options);

/* Returns a new server owned by ctx, or NULL with *error set. */
struct api_server *api_new_server(TALLOC_CTX *ctx,
				  struct tevent_context *events,
				  struct tmr_service *timers,
				  const struct api_options *options,
				  GError **error);

/* Returns the port that the server listens on. */
uint16_t api_get_port(const struct api_server *server);

/* Sets faults from a JSON text, as POST /faults does. */
bool api_set_faults(struct api_server *server, const char *text,
		    GError **error);

struct store;

/* Returns the store (borrowed), for tests to read and write it directly. */
struct store *api_get_store(struct api_server *server);

/* Answers the waiting watches that have events: after a direct write. */
void api_answer_watches(struct api_server *server);

/* Returns the statistics of GET /stats as a new JSON object. */
json_t *api_make_stats(const struct api_server *server);

#endif
