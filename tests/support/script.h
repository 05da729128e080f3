/*
 * Scripted tests: a script file drives the code under test, one event per line,
 * and the output is compared with the expected file next to it.
 *
 * A script line is split into words as a shell does; empty lines and lines that
 * start with '#' are skipped. With LOOM_ACCEPT=1 in the environment the
 * expected file is overwritten with the output before the comparison.
 */
#ifndef LOOM_TEST_SCRIPT_H
#define LOOM_TEST_SCRIPT_H

#include <stdbool.h>
#include <glib.h>
#include <CUnit/CUnit.h>

/*
 * Executes one script line of word_count words (borrowed) and appends its
 * result to output. Returns false when the step is unknown.
 */
typedef bool (*scr_step_fn)(int word_count, char **words, GString *output,
			    void *state);

/*
 * Calls step for each line of scripts/NAME.script in the current folder and
 * asserts with CUnit that the output equals scripts/NAME.expected. Each line is
 * echoed to the output after "> ". state (borrowed) is passed to step.
 */
void scr_run(const char *name, scr_step_fn step, void *state);

/*
 * Runs one suite of CUnit tests (borrowed, ends with CU_TEST_INFO_NULL) and
 * returns the exit code for main().
 */
int scr_run_suite(const char *suite, const CU_TestInfo *tests);

#endif
