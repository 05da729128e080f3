/*
 * Scripted test of the byte account: a node whose callers hold more than its
 * memory allows has to slow down, refuse and close in this order.
 */
#include <stdlib.h>
#include <string.h>
#include "loom/byte_account.h"
#include "script.h"

struct fixture {
	struct acc_account account;
	size_t share; /* of the holder in "share BYTES" */
};

static const char *const level_names[] = {
	[ACC_LEVEL_ROOM] = "room", [ACC_LEVEL_TIGHT] = "tight",
	[ACC_LEVEL_FULL] = "full", [ACC_LEVEL_CRITICAL] = "critical",
	[ACC_LEVEL_OVER] = "over",
};

static void print_state(struct fixture *fixture, GString *output)
{
	struct acc_account *account = &fixture->account;

	g_string_append_printf(
		output,
		"  held=%zu %s, streams 524288/%zu 65536/%zu, "
		"begin none=%d 4096=%d 4097=%d chunked=%d\n",
		account->held_bytes, level_names[acc_get_level(account)],
		acc_get_stream_max(account, 524288),
		acc_get_stream_max(account, 65536), acc_may_begin(account, 0),
		acc_may_begin(account, 4096), acc_may_begin(account, 4097),
		acc_may_begin(account, -1));
}

/* "limit MEMORY_MB THREADS", "open BYTES_MAX", "take", "give", "share BYTES" */
static bool run_step(int word_count, char **words, GString *output, void *state)
{
	struct fixture *fixture = state;
	size_t number = word_count > 1 ? strtoul(words[1], NULL, 10) : 0;

	if (word_count == 3 && strcmp(words[0], "limit") == 0) {
		g_string_append_printf(
			output, "  %zu\n",
			acc_get_thread_limit(
				(uint32_t)number,
				(uint32_t)strtoul(words[2], NULL, 10)));
		return true;
	}
	if (word_count != 2)
		return false;
	if (strcmp(words[0], "open") == 0)
		acc_open(&fixture->account, number);
	else if (strcmp(words[0], "take") == 0)
		acc_take(&fixture->account, number);
	else if (strcmp(words[0], "give") == 0)
		acc_give(&fixture->account, number);
	else if (strcmp(words[0], "share") == 0)
		acc_set_share(&fixture->account, &fixture->share, number);
	else
		return false;
	print_state(fixture, output);
	return true;
}

static void test_levels(void)
{
	struct fixture fixture = { 0 };

	scr_run("byte_account", run_step, &fixture);
}

int main(void)
{
	static const CU_TestInfo tests[] = {
		{ "levels", test_levels },
		CU_TEST_INFO_NULL,
	};

	return scr_run_suite("byte_account", tests);
}
