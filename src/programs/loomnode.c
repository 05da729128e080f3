/*
 * loomnode: the node process, which runs on the vm of every target. Reads and
 * checks the settings, then runs the node until it ends.
 */
#include <stdio.h>
#include <stdlib.h>
#include <argtable2.h>
#include <curl/curl.h>
#include <tevent.h>
#include "loom/log.h"
#include "node.h"

#define EXIT_BAD_SETTINGS 2

static int run_node(const char *file, const struct nd_settings *settings)
{
	struct tevent_context *events;
	struct nd_node *node;
	GError *error = NULL;
	int exit_code = EXIT_FAILURE;

	log_open("loomnode", settings->log_level);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	events = tevent_context_init(NULL);
	node = nd_new_node(events, events, settings, &error);
	if (node) {
		nd_watch_settings(node, file, nd_read_settings);
		exit_code = nd_run_node(node);
	} else {
		log_write_error(LOG_LEVEL_ERROR, "node", error);
	}
	g_clear_error(&error);
	talloc_free(events);
	curl_global_cleanup();
	log_close();
	return exit_code;
}

static int read_and_run(const char *file, bool is_check_only)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct prob_list *problems = prob_new_list(ctx);
	struct nd_settings *settings = nd_read_settings(ctx, file, problems);
	GString *text = g_string_new(NULL);
	int exit_code = EXIT_SUCCESS;

	prob_print_list(problems, text);
	fputs(text->str, stderr);
	g_string_free(text, TRUE);
	if (!settings)
		exit_code = EXIT_BAD_SETTINGS;
	else if (!is_check_only)
		exit_code = run_node(file, settings);
	talloc_free(ctx);
	return exit_code;
}

static void print_help(void **arguments)
{
	puts("loomnode routes the calls of one vm and applies its "
	     "configuration.\n");
	printf("Usage: loomnode");
	arg_print_syntax(stdout, arguments, "\n\n");
	arg_print_glossary(stdout, arguments, "  %-24s %s\n");
	puts("\nExample: loomnode --settings node.json\n"
	     "Exit codes: 0 ended gracefully, 1 failed, or running calls were "
	     "cut off,\n2 bad settings or usage.");
}

int main(int argc, char **argv)
{
	struct arg_file *file =
		arg_file0("s", "settings", "FILE", "settings, a JSON file");
	struct arg_lit *check =
		arg_lit0(NULL, "check-settings", "check the settings and end");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *arguments[] = { file, check, help, end };
	int errors = arg_parse(argc, argv, arguments);
	int exit_code = EXIT_BAD_SETTINGS;

	if (help->count > 0) {
		print_help(arguments);
		exit_code = EXIT_SUCCESS;
	} else if (errors > 0) {
		arg_print_errors(stderr, end, "loomnode");
	} else if (file->count == 0) {
		fputs("loomnode: which settings? Give --settings FILE.\n",
		      stderr);
	} else {
		exit_code = read_and_run(file->filename[0], check->count > 0);
	}
	arg_freetable(arguments, G_N_ELEMENTS(arguments));
	return exit_code;
}
