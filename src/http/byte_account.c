/*
 * Levels and limits of a byte account.
 */
#include "loom/byte_account.h"

#include <assert.h>
#include <glib.h>

#define BYTES_PER_MB (1024U * 1024U)
/* The smallest virtual machine of the known deployments. */
#define MEMORY_MB_DEFAULT 160U
/*
 * A process is to stay below half of the memory. Half of that is left to the
 * program itself, its tables, and the unused parts of allocated blocks.
 */
#define MEMORY_DIVISOR 4U
/* Enough for one request of any kind, and some more at the same time. */
#define THREAD_BYTES_MIN (4U * BYTES_PER_MB)
/* Of a stream when memory is scarce; one read of the HTTP libraries. */
#define SCARCE_STREAM_BYTES 16384U
/* Longer bodies are refused first. */
#define SHORT_BODY_BYTES 4096

size_t acc_get_thread_limit(uint32_t memory_mb, uint32_t thread_count)
{
	size_t memory = memory_mb > 0 ? memory_mb : MEMORY_MB_DEFAULT;
	size_t limit;

	assert(thread_count > 0);
	limit = memory * BYTES_PER_MB / MEMORY_DIVISOR / thread_count;
	return MAX(limit, THREAD_BYTES_MIN);
}

void acc_open(struct acc_account *account, size_t bytes_max)
{
	assert(bytes_max > 0);
	*account = (struct acc_account){ .bytes_max = bytes_max };
}

void acc_take(struct acc_account *account, size_t bytes)
{
	account->held_bytes += bytes;
}

void acc_give(struct acc_account *account, size_t bytes)
{
	assert(bytes <= account->held_bytes);
	account->held_bytes -= bytes;
}

void acc_set_share(struct acc_account *account, size_t *held_bytes,
		   size_t bytes)
{
	acc_take(account, bytes);
	acc_give(account, *held_bytes);
	*held_bytes = bytes;
}

enum acc_level acc_get_level(const struct acc_account *account)
{
	size_t held = account->held_bytes;
	size_t max = account->bytes_max;

	if (held >= max)
		return ACC_LEVEL_OVER;
	if (held >= max / 8 * 7)
		return ACC_LEVEL_CRITICAL;
	if (held >= max / 4 * 3)
		return ACC_LEVEL_FULL;
	if (held >= max / 2)
		return ACC_LEVEL_TIGHT;
	return ACC_LEVEL_ROOM;
}

size_t acc_get_stream_max(const struct acc_account *account, size_t usual_max)
{
	if (acc_get_level(account) == ACC_LEVEL_ROOM)
		return usual_max;
	return MIN(usual_max, SCARCE_STREAM_BYTES);
}

bool acc_may_begin(const struct acc_account *account, int64_t body_length)
{
	switch (acc_get_level(account)) {
	case ACC_LEVEL_ROOM:
	case ACC_LEVEL_TIGHT:
		return true;
	case ACC_LEVEL_FULL:
		return body_length >= 0 && body_length <= SHORT_BODY_BYTES;
	case ACC_LEVEL_CRITICAL:
	case ACC_LEVEL_OVER:
		return false;
	}
	return false;
}
