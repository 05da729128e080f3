/*
 * Runs scripted tests and CUnit suites. The output of a script is collected in
 * one string, which must equal the whole expected file.
 */
#include "script.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <CUnit/Basic.h>

static void run_line(const char *line, scr_step_fn step, GString *output,
		     void *state)
{
	char **words = NULL;
	int word_count = 0;

	if (*line == '\0' || *line == '#')
		return;
	g_string_append_printf(output, "> %s\n", line);
	if (!g_shell_parse_argv(line, &word_count, &words, NULL)) {
		g_string_append(output, "unbalanced quotes\n");
		return;
	}
	if (!step(word_count, words, output, state))
		g_string_append(output, "unknown step\n");
	g_strfreev(words);
}

static char *run_script(const char *path, scr_step_fn step, void *state)
{
	GString *output = g_string_new(NULL);
	char *script = NULL;
	char **lines;

	if (!g_file_get_contents(path, &script, NULL, NULL)) {
		g_string_append_printf(output, "cannot read %s\n", path);
		return g_string_free(output, FALSE);
	}
	lines = g_strsplit(script, "\n", -1);
	for (char **line = lines; *line; line++)
		run_line(*line, step, output, state);
	g_strfreev(lines);
	g_free(script);
	return g_string_free(output, FALSE);
}

static void print_first_difference(const char *expected, const char *actual)
{
	char **want = g_strsplit(expected, "\n", -1);
	char **got = g_strsplit(actual, "\n", -1);
	guint i = 0;

	while (want[i] && got[i] && strcmp(want[i], got[i]) == 0)
		i++;
	printf("\n  line %u\n  wanted: %s\n  got:    %s\n", i + 1,
	       want[i] ? want[i] : "(end)", got[i] ? got[i] : "(end)");
	g_strfreev(want);
	g_strfreev(got);
}

void scr_run(const char *name, scr_step_fn step, void *state)
{
	char *script = g_strdup_printf("scripts/%s.script", name);
	char *path = g_strdup_printf("scripts/%s.expected", name);
	char *actual = run_script(script, step, state);
	char *expected = NULL;
	bool is_same;

	if (g_getenv("LOOM_ACCEPT"))
		g_file_set_contents(path, actual, -1, NULL);
	if (!g_file_get_contents(path, &expected, NULL, NULL))
		expected = g_strdup("");
	is_same = strcmp(expected, actual) == 0;
	if (!is_same)
		print_first_difference(expected, actual);
	CU_ASSERT_TRUE(is_same);
	g_free(expected);
	g_free(actual);
	g_free(path);
	g_free(script);
}

int scr_run_suite(const char *suite, const CU_TestInfo *tests)
{
	CU_SuiteInfo suites[] = {
		{ suite, NULL, NULL, NULL, NULL, (CU_TestInfo *)tests },
		CU_SUITE_INFO_NULL,
	};
	unsigned int failures;

	if (CU_initialize_registry() != CUE_SUCCESS ||
	    CU_register_suites(suites) != CUE_SUCCESS)
		return EXIT_FAILURE;
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
