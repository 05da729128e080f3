/*
 * Scripted tests: a script file drives the code under test, one event a line,
 * and the output is compared with the expected file beside it.
 *
 * A script line is split into words as a shell would; lines that are empty or
 * start with '#' are passed over. With LOOM_ACCEPT=1 in the environment the
 * expected file is written anew instead of compared.
 */
#ifndef LOOM_TEST_SCRIPT_H
#define LOOM_TEST_SCRIPT_H

#include <stdbool.h>
#include <glib.h>
#include <CUnit/CUnit.h>

/*
 * Carries out one script line of word_count words and appends what it prints
 * to output. Returns false when the line is not understood.
 */
typedef bool (*scr_step_fn)(int word_count, char **words, GString *output,
			    void *state);

/*
 * Runs scripts/NAME.script of the current folder through step and compares the
 * output with scripts/NAME.expected by a CUnit assertion. Each line is echoed
 * to the output after "> ". state is passed on to step (borrowed).
 */
void scr_run(const char *name, scr_step_fn step, void *state);

/* Runs one suite of CUnit tests; returns the exit code for main(). */
int scr_run_suite(const char *suite, const CU_TestInfo *tests);

#endif
