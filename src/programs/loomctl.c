/*
 * loomctl: what operators type. Each command has its own arguments.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <argtable2.h>
#include "ctl.h"

#define FILES_MAX 64

struct command {
	const char *name;
	const char *operand; /* what its argument is, for messages */
	const char *help;
	const char *example;
	bool is_offline;
	enum ctl_exit (*run)(struct ctl_context *context,
			     const char *const *operands, int operand_count);
};

static enum ctl_exit run_check(struct ctl_context *context,
			       const char *const *operands, int operand_count)
{
	return ctl_check_documents(context, operands, operand_count);
}

static enum ctl_exit run_apply(struct ctl_context *context,
			       const char *const *operands, int operand_count)
{
	return ctl_apply_document(context, operands[0]);
}

static enum ctl_exit run_get(struct ctl_context *context,
			     const char *const *operands, int operand_count)
{
	return ctl_get_document(context, operands[0]);
}

static enum ctl_exit run_status(struct ctl_context *context,
				const char *const *operands, int operand_count)
{
	return ctl_print_status(context, operands[0]);
}

/* "out NAME [NODE...]" or "in NAME [NODE...]" */
static enum ctl_exit run_failure_domain(struct ctl_context *context,
					const char *const *operands,
					int operand_count)
{
	bool is_out = strcmp(operands[0], "out") == 0;

	if (operand_count < 2 || (!is_out && strcmp(operands[0], "in") != 0)) {
		fputs("loomctl failure-domain: wanted \"out NAME\" or "
		      "\"in NAME\", then ADDRESS:PORT of any further nodes "
		      "to tell\n",
		      stderr);
		return CTL_EXIT_USAGE;
	}
	return ctl_set_failure_domain(context, operands[1], is_out,
				      operands + 2, operand_count - 2);
}

static const struct command commands[] = {
	{ "check", "FILE", "check documents without a platform",
	  "loomctl check examples/kigali/catalogue.json", true, run_check },
	{ "apply", "FILE", "apply a document",
	  "loomctl apply examples/kigali/catalogue.json", false, run_apply },
	{ "get", "SERVICE", "print the document of a service",
	  "loomctl get catalogue", false, run_get },
	{ "status", "SERVICE", "print what became of a service's document",
	  "loomctl status catalogue", false, run_status },
	{ "failure-domain", "out|in NAME [NODE...]",
	  "take a failure domain out, or in again",
	  "loomctl failure-domain out kgl-a", false, run_failure_domain },
};

static void print_commands(FILE *file)
{
	fputs("Usage: loomctl COMMAND [--platform URL] [--json] ...\n\n", file);
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(file, "  %-14s %-21s %s\n", commands[i].name,
			commands[i].operand, commands[i].help);
	fputs("\nThe platform's URL may also stand in LOOM_PLATFORM.\n", file);
}

static void print_help(const struct command *command, void **arguments)
{
	printf("loomctl %s: %s\n\nUsage: loomctl %s", command->name,
	       command->help, command->name);
	arg_print_syntax(stdout, arguments, "\n\n");
	arg_print_glossary(stdout, arguments, "  %-24s %s\n");
	printf("\nExample: %s\n", command->example);
	puts("Exit codes: 0 done, 1 platform not reached, 2 usage, 3 invalid "
	     "document,\n4 changed by someone else, 5 not found, 6 waited too "
	     "long.");
}

static enum ctl_exit run_command(const struct command *command,
				 const char *platform_url, bool is_json,
				 const char *const *operands, int operand_count)
{
	struct ctl_context context;
	enum ctl_exit result = CTL_EXIT_FAILED;

	if (!command->is_offline && !platform_url) {
		fputs("loomctl: which platform? Give --platform URL or set "
		      "LOOM_PLATFORM.\n",
		      stderr);
		return CTL_EXIT_USAGE;
	}
	if (ctl_open_context(&context,
			     command->is_offline ? NULL : platform_url,
			     is_json))
		result = command->run(&context, operands, operand_count);
	ctl_close_context(&context);
	return result;
}

static enum ctl_exit parse_and_run(const struct command *command, int argc,
				   char **argv)
{
	struct arg_str *platform =
		arg_str0("p", "platform", "URL", "the platform's object API");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_str *operands = arg_strn(NULL, NULL, command->operand, 0,
					    FILES_MAX, "what to work on");
	struct arg_end *end = arg_end(8);
	void *arguments[] = { platform, json, help, operands, end };
	int errors = arg_parse(argc, argv, arguments);
	const char *url = g_getenv("LOOM_PLATFORM");
	enum ctl_exit result = CTL_EXIT_USAGE;

	if (platform->count > 0)
		url = platform->sval[0];
	if (help->count > 0) {
		print_help(command, arguments);
		result = CTL_EXIT_OK;
	} else if (errors > 0) {
		arg_print_errors(stderr, end, "loomctl");
	} else if (operands->count == 0) {
		fprintf(stderr, "loomctl %s: which %s? For example: %s\n",
			command->name, command->operand, command->example);
	} else {
		result = run_command(command, url, json->count > 0,
				     operands->sval, operands->count);
	}
	arg_freetable(arguments, G_N_ELEMENTS(arguments));
	return result;
}

int main(int argc, char **argv)
{
	if (argc < 2 || strcmp(argv[1], "--help") == 0 ||
	    strcmp(argv[1], "-h") == 0) {
		print_commands(argc < 2 ? stderr : stdout);
		return argc < 2 ? CTL_EXIT_USAGE : CTL_EXIT_OK;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(argv[1], commands[i].name) == 0)
			return parse_and_run(&commands[i], argc - 1, argv + 1);
	}
	fprintf(stderr, "loomctl: got command \"%s\", wanted one of:\n",
		argv[1]);
	print_commands(stderr);
	return CTL_EXIT_USAGE;
}
