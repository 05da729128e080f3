/*
 * Scripted tests of the parts without I/O: backoff, token bucket, write
 * resolution, version floors and lease state. The scripts give the time.
 */
#include <stdlib.h>
#include <string.h>
#include "backoff.h"
#include "bucket.h"
#include "floors.h"
#include "lease_state.h"
#include "resolution.h"
#include "script.h"

#define BACKOFF_DRAWS 1000

static uint64_t get_number(const char *word)
{
	return (uint64_t)atoll(word);
}

static bool is_step(const char *name, int wanted, int word_count, char **words)
{
	return strcmp(words[0], name) == 0 && word_count == wanted;
}

/* "start RATE BURST NOW", "take NOW", "drain NOW": takes all tokens. */
static bool run_bucket(int word_count, char **words, GString *output,
		       void *state)
{
	struct plat_bucket *bucket = state;
	uint32_t count = 0;
	uint32_t wait_ms;

	if (is_step("start", 4, word_count, words)) {
		plat_start_bucket(bucket, (uint32_t)get_number(words[1]),
				  (uint32_t)get_number(words[2]),
				  get_number(words[3]));
	} else if (is_step("take", 2, word_count, words)) {
		wait_ms = plat_take_token(bucket, get_number(words[1]));
		g_string_append_printf(output, "wait %u\n", wait_ms);
	} else if (is_step("drain", 2, word_count, words)) {
		while (plat_take_token(bucket, get_number(words[1])) == 0)
			count++;
		g_string_append_printf(output, "taken %u\n", count);
	} else {
		return false;
	}
	return true;
}

static void test_bucket(void)
{
	struct plat_bucket bucket;

	scr_run("bucket", run_bucket, &bucket);
}

/* Prints the least and the greatest of many waits as tenths of the bound. */
static void draw_many(const struct plat_backoff *backoff, GString *output)
{
	GRand *random = g_rand_new_with_seed(7);
	uint32_t bound_ms = plat_get_backoff_bound_ms(backoff);
	uint32_t least_ms = UINT32_MAX;
	uint32_t most_ms = 0;

	for (int i = 0; i < BACKOFF_DRAWS; i++) {
		struct plat_backoff copy = *backoff;
		uint32_t wait_ms = plat_choose_backoff_ms(&copy, random);

		least_ms = MIN(least_ms, wait_ms);
		most_ms = MAX(most_ms, wait_ms);
	}
	g_string_append_printf(output, "bound %u, draws from %u/10 to %u/10\n",
			       bound_ms, least_ms * 10 / bound_ms,
			       (most_ms * 10 + bound_ms - 1) / bound_ms);
	g_rand_free(random);
}

/* "start FIRST BASE CAP", "fail COUNT", "draw", "overload", "reset".
 */
static bool run_backoff(int word_count, char **words, GString *output,
			void *state)
{
	struct plat_backoff *backoff = state;
	GRand *random = g_rand_new_with_seed(7);
	bool is_known = true;

	if (is_step("start", 4, word_count, words)) {
		*backoff = (struct plat_backoff){
			.first_ms = (uint32_t)get_number(words[1]),
			.base_ms = (uint32_t)get_number(words[2]),
			.cap_ms = (uint32_t)get_number(words[3])
		};
	} else if (is_step("overload", 1, word_count, words)) {
		plat_note_overload(backoff);
	} else if (is_step("fail", 2, word_count, words)) {
		for (uint64_t i = 0; i < get_number(words[1]); i++)
			plat_choose_backoff_ms(backoff, random);
	} else if (is_step("draw", 1, word_count, words)) {
		draw_many(backoff, output);
	} else if (is_step("reset", 1, word_count, words)) {
		plat_reset_backoff(backoff);
	} else {
		is_known = false;
	}
	g_rand_free(random);
	return is_known;
}

static void test_backoff(void)
{
	struct plat_backoff backoff;

	scr_run("backoff", run_backoff, &backoff);
}

static enum plat_outcome find_outcome(const char *name)
{
	int outcome = 0;

	while (outcome < PLAT_OUTCOME_COUNT &&
	       strcmp(plat_get_outcome_name((enum plat_outcome)outcome),
		      name) != 0)
		outcome++;
	return (enum plat_outcome)outcome;
}

static void print_resolution(const struct plat_resolution *resolution,
			     GString *output)
{
	static const char *const steps[] = { "write", "read back", "end" };
	static const char *const results[] = { "done", "conflict", "unknown",
					       "failed" };

	g_string_append(output, steps[resolution->step]);
	if (resolution->step == PLAT_STEP_END)
		g_string_append_printf(output, " %s version=%" G_GUINT64_FORMAT,
				       results[resolution->result],
				       resolution->version);
	g_string_append_c(output, '\n');
}

/*
 * "put|delete VERSION" starts a resolution; "answer OUTCOME VERSION" is the
 * response to the write; "absent", "own VERSION" and "other VERSION" are
 * results of reading back; "expire sent|unsent" ends the time limit.
 */
static bool run_resolution(int word_count, char **words, GString *output,
			   void *state)
{
	struct plat_resolution *resolution = state;
	struct plat_read_back read = { .is_present = true };

	if (word_count > 1 && strcmp(words[0], "answer") != 0)
		read.version = get_number(words[1]);
	if (is_step("put", 2, word_count, words)) {
		plat_start_resolution(resolution, read.version, false);
	} else if (is_step("delete", 2, word_count, words)) {
		plat_start_resolution(resolution, read.version, true);
	} else if (is_step("answer", 3, word_count, words)) {
		plat_note_write(resolution, find_outcome(words[1]),
				get_number(words[2]));
	} else if (is_step("expire", 2, word_count, words)) {
		plat_note_expiry(resolution, strcmp(words[1], "sent") == 0);
	} else if (is_step("absent", 1, word_count, words)) {
		read.is_present = false;
		plat_note_read_back(resolution, &read);
	} else if (is_step("own", 2, word_count, words) ||
		   is_step("other", 2, word_count, words)) {
		read.is_own = strcmp(words[0], "own") == 0;
		plat_note_read_back(resolution, &read);
	} else {
		return false;
	}
	print_resolution(resolution, output);
	return true;
}

static void test_resolution(void)
{
	struct plat_resolution resolution;

	scr_run("resolution", run_resolution, &resolution);
}

/* "see KEY VERSION", "reset KEY", "drop KEY". */
static bool run_floors(int word_count, char **words, GString *output,
		       void *state)
{
	struct plat_floors *floors = state;
	uint64_t version;

	if (is_step("see", 3, word_count, words)) {
		version = get_number(words[2]);
		g_string_append(output,
				plat_note_version(floors, words[1], version)
					? "accepted"
					: "stale");
		if (plat_is_older(floors, words[1], version))
			g_string_append(output, " older");
		g_string_append_c(output, '\n');
	} else if (is_step("reset", 2, word_count, words)) {
		plat_reset_floor(floors, words[1]);
	} else if (is_step("drop", 2, word_count, words)) {
		plat_drop_floor(floors, words[1]);
	} else {
		return false;
	}
	return true;
}

static void test_floors(void)
{
	struct plat_floors *floors = plat_new_floors(NULL);

	scr_run("floors", run_floors, floors);
	talloc_free(floors);
}

struct lease_fixture {
	struct plat_lease_state state;
	GRand *random;
	uint64_t now_ms;
	uint64_t era; /* 0: the store has none */
};

static void print_lease(struct lease_fixture *fixture, GString *output)
{
	const struct plat_lease_state *state = &fixture->state;
	struct plat_lease_plan plan = plat_plan_lease(
		&fixture->state, fixture->now_ms, fixture->random);
	bool is_write = plan.action == PLAT_LEASE_WRITE;

	if (plat_is_held_at(state, fixture->now_ms))
		g_string_append_printf(output,
				       "held until %" G_GUINT64_FORMAT
				       " fencing %" G_GUINT64_FORMAT "; ",
				       state->valid_until_ms,
				       state->fencing_version);
	if (is_write)
		g_string_append_printf(
			output, "write on %" G_GUINT64_FORMAT " in %u ms\n",
			plan.expected_version, plan.delay_ms);
	else
		g_string_append_printf(output, "read in %u ms\n",
				       plan.delay_ms);
}

static bool note_lease_event(struct lease_fixture *fixture, int word_count,
			     char **words)
{
	struct plat_lease_state *state = &fixture->state;
	struct plat_lease_view view = { 0 };
	uint64_t version = word_count > 2 ? get_number(words[2]) : 0;

	view.version = version;
	view.has_era = fixture->era > 0;
	view.era = fixture->era;
	view.is_holder =
		strcmp(words[1], "holder") == 0 || strcmp(words[1], "own") == 0;
	view.is_free = strcmp(words[1], "free") == 0;
	view.is_own = strcmp(words[1], "own") == 0;
	if (strcmp(words[1], "written") == 0)
		plat_note_lease_written(state, version, fixture->now_ms);
	else if (strcmp(words[1], "conflict") == 0)
		plat_note_lease_conflict(state, version, fixture->now_ms);
	else if (strcmp(words[1], "failed") == 0)
		plat_note_lease_failure(state, false);
	else if (strcmp(words[1], "unknown") == 0)
		plat_note_lease_failure(state, true);
	else if (view.is_free || view.is_holder ||
		 strcmp(words[1], "other") == 0)
		plat_note_lease_read(state, &view, fixture->now_ms);
	else
		return false;
	return true;
}

/*
 * "start DURATION"; "NOW EVENT [VERSION]" with the events sent, written,
 * conflict, failed and unknown, and the results of a read: free, own, holder
 * (an earlier write of this competitor) and other; "NOW look" prints whether
 * the lease is held; "NOW era N" is a new era, and "era N" the era from the
 * start.
 */
static bool run_lease(int word_count, char **words, GString *output,
		      void *state)
{
	struct lease_fixture *fixture = state;

	if (is_step("start", 2, word_count, words)) {
		plat_start_lease(&fixture->state,
				 (uint32_t)get_number(words[1]));
		return true;
	}
	if (is_step("era", 2, word_count, words)) {
		fixture->era = get_number(words[1]);
		return true;
	}
	if (word_count < 2)
		return false;
	fixture->now_ms = get_number(words[0]);
	if (strcmp(words[1], "sent") == 0) {
		plat_note_lease_sent(&fixture->state, fixture->now_ms);
		return true;
	}
	if (strcmp(words[1], "era") == 0) {
		fixture->era = get_number(words[2]);
		plat_note_lease_era(&fixture->state, fixture->now_ms);
		return true;
	}
	if (strcmp(words[1], "look") == 0) {
		g_string_append(output, plat_is_held_at(&fixture->state,
							fixture->now_ms)
						? "held\n"
						: "not held\n");
		return true;
	}
	if (!note_lease_event(fixture, word_count, words))
		return false;
	print_lease(fixture, output);
	return true;
}

static void test_lease(void)
{
	struct lease_fixture fixture = { .random = g_rand_new_with_seed(7) };

	scr_run("lease", run_lease, &fixture);
	fixture.era = 0;
	scr_run("lease_era", run_lease, &fixture);
	g_rand_free(fixture.random);
}

static const CU_TestInfo tests[] = {
	{ "bucket", test_bucket },	   { "backoff", test_backoff },
	{ "resolution", test_resolution }, { "floors", test_floors },
	{ "lease", test_lease },	   CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("platform decisions", tests);
}
