/*
 * Test of the revision tracking for states that the store and peers deliver,
 * in and out of order.
 *
 *	store REVISION same|differs	a list or an event of the store
 *	peer REVISION same|differs	a state sent by another node
 *
 * A revision of an era is "ERA:REVISION", with a "+" at its end when the state
 * includes what the store has lost. "at MS" sets the time, "start" forgets all.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include "loom/era.h"
#include "revision.h"
#include "script.h"

static uint64_t parse_stamp(const char *text)
{
	const char *colon = strchr(text, ':');

	if (!colon)
		return strtoull(text, NULL, 10);
	return plat_make_stamp(strtoull(text, NULL, 10),
			       strtoull(colon + 1, NULL, 10)) |
	       (strchr(text, '+') ? PLAT_STAMP_TOLD : 0);
}

static void print_stamp(const char *name, uint64_t stamp, GString *output)
{
	g_string_append_printf(output, ", %s ", name);
	if (plat_get_stamp_era(stamp) > 0)
		g_string_append_printf(output, "%" PRIu64 ":",
				       plat_get_stamp_era(stamp));
	g_string_append_printf(output, "%" PRIu64 "%s",
			       plat_get_stamp_revision(stamp),
			       stamp & PLAT_STAMP_TOLD ? "+" : "");
}

struct fixture {
	struct nd_revision known;
	uint64_t now_ms;
};

static bool run_step(int word_count, char **words, GString *output, void *data)
{
	struct fixture *fixture = data;
	struct nd_revision *known = &fixture->known;
	bool is_from_peer = strcmp(words[0], "peer") == 0;
	bool is_newer;

	if (strcmp(words[0], "start") == 0) {
		*known = (struct nd_revision){ 0 };
		return true;
	}
	if (strcmp(words[0], "at") == 0) {
		fixture->now_ms = strtoull(words[1], NULL, 10);
		return true;
	}
	is_newer = nd_accept_state(known, parse_stamp(words[1]), is_from_peer,
				   fixture->now_ms);

	if (is_newer && strcmp(words[2], "differs") == 0)
		nd_announce_difference(known);
	g_string_append(output, is_newer ? "applied" : "ignored");
	print_stamp("seen", known->seen, output);
	print_stamp("announced", known->announced, output);
	g_string_append_c(output, '\n');
	return true;
}

static void test_revision(void)
{
	struct fixture fixture = { 0 };

	scr_run("revision", run_step, &fixture);
}

static void test_eras(void)
{
	struct fixture fixture = { 0 };

	scr_run("revision_eras", run_step, &fixture);
}

int main(void)
{
	static const CU_TestInfo tests[] = {
		{ "states in and out of order", test_revision },
		{ "states of several eras", test_eras },
		CU_TEST_INFO_NULL,
	};

	return scr_run_suite("revision", tests);
}
