/*
 * A target on a bare socket, for answers that no HTTP library would give.
 *
 * The request path steers the answer:
 *   /ok/...    200 with the path, the body size and the Loom headers seen
 *   /close     the connection is closed without an answer
 *   /cut       a head that promises 100 bytes, 10 bytes, then the end
 *   /chunkcut  a chunked answer that ends in the middle of a chunk
 *   /never     no answer
 *   /held      no answer until raw_release_target()
 *   /longcut  200 with 10 of 100000 bytes, then closes
 *   /shed      503 with Loom-Not-Run
 *   /fail      500
 *   /lie       200 with Loom-Not-Run, which only a 503 may carry
 *   /bytes/N   200 with N bytes
 *   /closing   200, then the connection is closed without notice
 */
#ifndef RAW_TARGET_H
#define RAW_TARGET_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include <tevent.h>

struct raw_target;

/* Returns a new target owned by ctx that listens on address:port. */
struct raw_target *raw_new_target(TALLOC_CTX *ctx,
				  struct tevent_context *events,
				  const char *address, uint16_t port);

/* Answers all calls to /held that wait. */
void raw_release_target(struct raw_target *target);

/* Connections that ended by a reset. */
uint32_t raw_get_reset_count(const struct raw_target *target);

/* Requests read whole, running now, most at once, hang-ups seen. */
uint32_t raw_get_request_count(const struct raw_target *target);
uint32_t raw_get_running_count(const struct raw_target *target);
uint32_t raw_get_peak_count(const struct raw_target *target);
uint32_t raw_get_hang_up_count(const struct raw_target *target);

/* Requests of which a part was read. */
uint32_t raw_get_partial_count(const struct raw_target *target);

#endif
