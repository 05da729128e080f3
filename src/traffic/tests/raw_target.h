/*
 * A target on a plain socket, for answers that an HTTP library would not send.
 *
 * The request path determines the answer:
 *   /ok/...    200 with the path, the body size and the Loom headers received
 *   /close     closes the connection without an answer
 *   /cut       200 with 10 of 100 bytes, then closes the connection
 *   /longcut   200 with 10 of 100000 bytes, then closes the connection
 *   /chunkcut  a chunked answer that ends in the middle of a chunk
 *   /never     no answer
 *   /mute      no answer so many times as raw_set_mute() says, and nothing
 *              more on that connection; also below /once/
 *   /held      no answer until raw_answer_held_requests()
 *   /shed      503 with Loom-Not-Run
 *   /fail      500
 *   /lie       200 with Loom-Not-Run and Loom-Limit, which nodes must ignore
 *   /bytes/N   200 with N bytes
 *   /closing   200, then closes the connection without "Connection: close"
 *   /twice     200 with the request's id, two times in a row
 *   /again     the same, the second copy by raw_answer_held_requests()
 *   /reply     the bytes of raw_set_reply()
 *   /early     the same, when the head of the request has arrived; the rest of
 *              the request is not read
 *   /endless   those of raw_set_flood(), until the connection is closed
 *   /flood/headers, /flood/line, /flood/chunk, /flood/garbage and
 *   /never/flood/body  bytes without end until the connection is closed
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

/* Answers all waiting calls to /held. */
void raw_answer_held_requests(struct raw_target *target);

/* What a target does with the connection after an answer. */
enum raw_end {
	RAW_END_KEEP,
	RAW_END_CLOSE,
	RAW_END_RESET, /* a TCP reset when the answer has been received */
};

/*
 * Sets the answer to /reply and /early; "@" stands for the request's id and "#"
 * for 61440 bytes.
 */
void raw_set_reply(struct raw_target *target, const char *bytes,
		   enum raw_end end);

/* The next count requests to "/mute" are not answered. */
void raw_set_mute(struct raw_target *target, uint32_t count);

/* Sets the answer to "/endless": start, and then part again and again. */
void raw_set_flood(struct raw_target *target, const char *start,
		   const char *part);

/* Returns the number of connections that ended with a TCP reset. */
uint32_t raw_get_reset_count(const struct raw_target *target);

/*
 * Return the number of complete requests, of requests in progress, their
 * maximum, and the number of disconnects during a request.
 */
uint32_t raw_get_request_count(const struct raw_target *target);
uint32_t raw_get_running_count(const struct raw_target *target);
uint32_t raw_get_peak_count(const struct raw_target *target);
uint32_t raw_get_disconnect_count(const struct raw_target *target);

/* Returns the number of requests that were read in part. */
uint32_t raw_get_partial_count(const struct raw_target *target);

#endif
