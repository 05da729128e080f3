/*
 * Scripted test of how descriptors are divided: a crowd of callers used all of
 * them, and the node could connect neither to targets nor to the store.
 */
#include <stdlib.h>
#include <string.h>
#include "descriptors.h"
#include "script.h"

/* "limit DESCRIPTORS THREADS CONNECTIONS" */
static bool run_step(int word_count, char **words, GString *output, void *state)
{
	struct tr_options options;

	if (word_count != 4 || strcmp(words[0], "limit") != 0)
		return false;
	tr_set_default_options(&options);
	options.thread_count = (uint32_t)strtoul(words[2], NULL, 10);
	options.connections_max = (uint32_t)strtoul(words[3], NULL, 10);
	nd_limit_connections(&options, (uint32_t)strtoul(words[1], NULL, 10));
	g_string_append_printf(output, "  callers %u peers %u\n",
			       options.connections_max,
			       options.peer_connections_max);
	return true;
}

static void test_division(void)
{
	scr_run("descriptors", run_step, NULL);
}

int main(void)
{
	static const CU_TestInfo tests[] = {
		{ "division", test_division },
		CU_TEST_INFO_NULL,
	};

	return scr_run_suite("descriptors", tests);
}
