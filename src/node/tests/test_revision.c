/*
 * Test of the revision tracking for states that the store and peers deliver,
 * in and out of order.
 *
 *	store REVISION same|differs	a list or an event of the store
 *	peer REVISION same|differs	a state sent by another node
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include "revision.h"
#include "script.h"

static bool run_step(int word_count, char **words, GString *output, void *data)
{
	struct nd_revision *known = data;
	bool is_from_peer = strcmp(words[0], "peer") == 0;
	bool is_newer = nd_accept_state(known, strtoull(words[1], NULL, 10),
					is_from_peer);

	if (is_newer && strcmp(words[2], "differs") == 0)
		nd_announce_difference(known);
	g_string_append_printf(output,
			       "%s, seen %" PRIu64 ", announced %" PRIu64 "\n",
			       is_newer ? "applied" : "ignored", known->seen,
			       known->announced);
	return true;
}

static void test_revision(void)
{
	struct nd_revision known = { 0 };

	scr_run("revision", run_step, &known);
}

int main(void)
{
	static const CU_TestInfo tests[] = {
		{ "states in and out of order", test_revision },
		CU_TEST_INFO_NULL,
	};

	return scr_run_suite("revision", tests);
}
