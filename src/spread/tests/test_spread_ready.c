/*
 * Scripted tests of the readiness rule.
 *
 * "ready WAITED_MS SEQUENCE CLAIMED PLATFORM"; PLATFORM is the sequence that
 * the platform answered, "out" when it has not answered; CLAIMED is "none" when
 * no peer of the failure domain has been heard.
 */
#include <stdlib.h>
#include <string.h>
#include "ready.h"
#include "script.h"

#define START_MS 1000U

static bool step_ready(int word_count, char **words, GString *output,
		       void *data)
{
	struct spr_ready_state state = { .start_ms = START_MS };
	uint64_t now_ms;

	if (word_count != 5 || strcmp(words[0], "ready") != 0)
		return false;
	now_ms = START_MS + strtoull(words[1], NULL, 10);
	state.sequence = strtoull(words[2], NULL, 10);
	state.is_peer_heard = strcmp(words[3], "none") != 0;
	state.claimed_sequence = strtoull(words[3], NULL, 10);
	state.is_platform_heard = strcmp(words[4], "out") != 0;
	state.platform_sequence = strtoull(words[4], NULL, 10);
	g_string_append(output,
			spr_is_caught_up(&state, now_ms) ? "yes\n" : "no\n");
	return true;
}

static void test_ready(void)
{
	scr_run("ready", step_ready, NULL);
}

static const CU_TestInfo tests[] = {
	{ "a node is ready when it has caught up", test_ready },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("spread_ready", tests);
}
