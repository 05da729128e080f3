/*
 * HTTP server that stands in for the platform's object API in tests: an object
 * store in memory, rate limits and injected faults. include/loom/platform.h
 * describes the API itself.
 *
 * POST /faults sets faults from a JSON object; a fault that it does not name is
 * not changed:
 *   outage: false, true (calls get 503) or "hang" (calls get no answer)
 *   delay_ms: each call is executed after this delay
 *   lose_answers: the next N writes take effect, then the connection is closed
 *     without an answer
 *   drop_before: the next N calls are closed before they take effect
 *   refuse_rate: the next N calls get 429
 *   cut_watches: true closes all waiting watches
 *   hasty_watches: true answers watches at once, even without events
 *   never_gone: true answers a watch from a revision that is no longer in the
 *     history with an empty list of events instead of 410
 *   forget_history: true deletes the history of events
 *   save, restore: saves the state under a name, or returns to it
 *   era: N is sent as the era of the store with each answer, in the header
 *     API_ERA_HEADER; 0 sends none
 *   stale_from, stale_reads: the next N reads of an object are answered from
 *     the saved state of that name
 *   only_from: calls whose Host header does not begin with this text are
 *     closed; "" ends the fault. All callers have the loopback address, so the
 *     callers of a failure domain are distinguished by the address they call.
 * GET /stats returns counters of calls, refusals, waiting watches and peaks.
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

#define API_ERA_HEADER "Fake-Era"

struct api_server;

struct api_options {
	const char *const *addresses; /* IP numbers, NULL-terminated */
	uint16_t port;		      /* 0: any free port */
	uint32_t writes_per_second;
	uint32_t reads_per_second;
	uint32_t history_max; /* events kept for watches */
};

/* Fills options with defaults: 127.0.0.1 with any free port, usual limits. */
void api_set_default_options(struct api_options *options);

/* Returns a new server owned by ctx, or NULL with *error set. */
struct api_server *api_new_server(TALLOC_CTX *ctx,
				  struct tevent_context *events,
				  struct tmr_service *timers,
				  const struct api_options *options,
				  GError **error);

/* Returns the port that the server listens on. */
uint16_t api_get_port(const struct api_server *server);

/* Sets faults from a JSON text as POST /faults does; false with *error set. */
bool api_set_faults(struct api_server *server, const char *text,
		    GError **error);

struct store;

/* Returns the store (borrowed), which tests read and write directly. */
struct store *api_get_store(struct api_server *server);

/*
 * Answers the waiting watches that have events. Call it after writing to the
 * store directly.
 */
void api_answer_watches(struct api_server *server);

/* Returns the body of GET /stats as a new JSON object. */
json_t *api_make_stats(const struct api_server *server);

#endif
