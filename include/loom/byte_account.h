/*
 * Account of the bytes that a server holds for its callers and targets: heads,
 * bodies and answers. Makes decisions only: it counts what its users report and
 * tells how scarce memory is. Not thread safe; each thread has its own.
 */
#ifndef LOOM_BYTE_ACCOUNT_H
#define LOOM_BYTE_ACCOUNT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* How scarce memory is. Each level includes what those before it ask for. */
enum acc_level {
	ACC_LEVEL_ROOM,
	/* From a half: streams hold less, pipelined requests wait. */
	ACC_LEVEL_TIGHT,
	/* From three quarters: long bodies are refused, and callers that have
	 * stalled lose their connections. */
	ACC_LEVEL_FULL,
	/* From seven eighths: all requests are refused, and connections that
	 * wait for their callers are closed, the largest first. */
	ACC_LEVEL_CRITICAL,
	/* From the limit: any connection is closed, the largest first. */
	ACC_LEVEL_OVER,
};

struct acc_account {
	size_t bytes_max;
	size_t held_bytes;
};

/*
 * Returns the limit of one thread's account for a process on a machine with
 * memory_mb MB; 0: unknown.
 */
size_t acc_get_thread_limit(uint32_t memory_mb, uint32_t thread_count);

void acc_open(struct acc_account *account, size_t bytes_max);

void acc_take(struct acc_account *account, size_t bytes);
void acc_give(struct acc_account *account, size_t bytes);

/* Replaces the share of a holder, which *held_bytes stores, by bytes. */
void acc_set_share(struct acc_account *account, size_t *held_bytes,
		   size_t bytes);

enum acc_level acc_get_level(const struct acc_account *account);

/* Returns how many bytes a stream may hold that may usually hold usual_max. */
size_t acc_get_stream_max(const struct acc_account *account, size_t usual_max);

/*
 * Returns whether a new request may begin; body_length is the announced size of
 * its body in bytes, -1 when unknown.
 */
bool acc_may_begin(const struct acc_account *account, int64_t body_length);

#endif
