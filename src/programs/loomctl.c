/*
 * loomctl: the command-line tool for operators. Each command has its own
 * options, which are described by the table of commands.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <argtable2.h>
#include "ctl.h"

#define OPERANDS_MAX 64
/* 30 days; this time in milliseconds still fits in 32 bits. */
#define WAIT_S_MAX (30 * 24 * 3600)

/* Properties of a command, and options besides --platform and --json. */
enum option {
	OPTION_NO_PLATFORM = 1 << 0,   /* needs no platform */
	OPTION_MANY_OPERANDS = 1 << 1, /* takes several operands */
	OPTION_EXPECT_VERSION = 1 << 2,
	OPTION_DRY_RUN = 1 << 3,
	OPTION_NODE = 1 << 4,
	OPTION_COUNT = 1 << 5,
	OPTION_WAIT = 1 << 6,
};

struct command {
	const char *name;
	const char *operand; /* placeholder in usage and messages; "": none */
	const char *help;
	const char *example;
	uint32_t options; /* bits of enum option */
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

static enum ctl_exit run_delete(struct ctl_context *context,
				const char *const *operands, int operand_count)
{
	return ctl_delete_document(context, operands[0]);
}

static enum ctl_exit run_nodes(struct ctl_context *context,
			       const char *const *operands, int operand_count)
{
	return ctl_print_nodes(context);
}

static enum ctl_exit run_watch(struct ctl_context *context,
			       const char *const *operands, int operand_count)
{
	return ctl_watch_status(context, operands[0]);
}

static enum ctl_exit run_take_back(struct ctl_context *context,
				   const char *const *operands,
				   int operand_count)
{
	return ctl_take_back(context, operands[0]);
}

static enum ctl_exit run_explain(struct ctl_context *context,
				 const char *const *operands, int operand_count)
{
	return ctl_explain_request(operands[0], operands + 1,
				   operand_count - 1);
}

/* Operands: "SERVICE METHOD PATH [CLASS [BODY_BYTES]]". */
static enum ctl_exit run_explain_route(struct ctl_context *context,
				       const char *const *operands,
				       int operand_count)
{
	if (operand_count < 3 || operand_count > 5) {
		fputs("loomctl explain-route: wanted SERVICE METHOD PATH, then "
		      "optionally CLASS and BODY_BYTES\n",
		      stderr);
		return CTL_EXIT_USAGE;
	}
	return ctl_explain_route(context, operands, operand_count);
}

/* Operands: "out NAME [NODE...]" or "in NAME [NODE...]". */
static enum ctl_exit run_failure_domain(struct ctl_context *context,
					const char *const *operands,
					int operand_count)
{
	bool is_out = strcmp(operands[0], "out") == 0;

	if (operand_count < 2 || (!is_out && strcmp(operands[0], "in") != 0)) {
		fputs("loomctl failure-domain: wanted \"out NAME\" or "
		      "\"in NAME\", then ADDRESS:PORT of any further nodes "
		      "to send the manifest to\n",
		      stderr);
		return CTL_EXIT_USAGE;
	}
	return ctl_set_failure_domain(context, operands[1], is_out,
				      operands + 2, operand_count - 2);
}

static const struct command commands[] = {
	{ "check", "FILE", "check documents without a platform",
	  "loomctl check examples/kigali/catalogue.json "
	  "examples/kigali/plans.json",
	  OPTION_NO_PLATFORM | OPTION_MANY_OPERANDS, run_check },
	{ "apply", "FILE", "show the difference of a document and apply it",
	  "loomctl apply examples/kigali/catalogue.json",
	  OPTION_EXPECT_VERSION | OPTION_DRY_RUN, run_apply },
	{ "get", "SERVICE", "print the document of a service",
	  "loomctl get catalogue", 0, run_get },
	{ "status", "SERVICE",
	  "print what became of a service's document and move",
	  "loomctl status catalogue --wait 3600", OPTION_WAIT, run_status },
	{ "take-back", "SERVICE",
	  "take back a move: all calls go to the old version",
	  "loomctl take-back catalogue", 0, run_take_back },
	{ "delete", "SERVICE", "delete the document of a service",
	  "loomctl delete catalogue", OPTION_EXPECT_VERSION | OPTION_DRY_RUN,
	  run_delete },
	{ "nodes", "", "list the nodes and which are behind",
	  "loomctl nodes --node 127.0.1.1:8082",
	  OPTION_NO_PLATFORM | OPTION_NODE, run_nodes },
	{ "watch", "SERVICE", "print a service's status at each change",
	  "loomctl watch catalogue --count 1", OPTION_COUNT, run_watch },
	{ "explain", "REQUEST [LOG...]",
	  "print what the nodes' logs say of a request",
	  "loomctl explain 9c41d07be2a35f68 node1.log node2.log",
	  OPTION_NO_PLATFORM | OPTION_MANY_OPERANDS, run_explain },
	{ "explain-route", "SERVICE METHOD PATH",
	  "print where a request would go from a node, and why",
	  "loomctl explain-route catalogue GET /books --node 127.0.1.1:8082",
	  OPTION_NO_PLATFORM | OPTION_MANY_OPERANDS | OPTION_NODE,
	  run_explain_route },
	{ "failure-domain", "out|in NAME [NODE...]",
	  "take a failure domain out of service, or put it back",
	  "loomctl failure-domain out kgl-a", OPTION_MANY_OPERANDS,
	  run_failure_domain },
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
	puts("Exit codes: 0 done, 1 platform or node not reached, 2 usage,\n"
	     "3 invalid document or still called, 4 changed by someone else,\n"
	     "5 not found, 6 --wait expired before the end, 7 the move that "
	     "was\n"
	     "waited for was taken back.");
}

/* Arguments of one command; NULL for options that it does not take. */
struct arguments {
	struct arg_str *platform;
	struct arg_lit *json;
	struct arg_lit *help;
	struct arg_str *expected_version;
	struct arg_lit *dry_run;
	struct arg_str *node;
	struct arg_str *count;
	struct arg_str *wait;
	struct arg_str *operands;
	struct arg_end *end;
	void *table[10]; /* the arguments that the command takes; end is last */
	size_t table_size;
};

static void add_argument(struct arguments *arguments, void *argument)
{
	arguments->table[arguments->table_size++] = argument;
}

static void make_arguments(struct arguments *arguments,
			   const struct command *command)
{
	*arguments = (struct arguments){
		.platform = arg_str0("p", "platform", "URL",
				     "the platform's object API"),
		.json = arg_lit0(NULL, "json", "print JSON"),
		.help = arg_lit0("h", "help", "print this help"),
		.end = arg_end(8),
	};
	add_argument(arguments, arguments->platform);
	add_argument(arguments, arguments->json);
	add_argument(arguments, arguments->help);
	if (command->options & OPTION_EXPECT_VERSION)
		add_argument(arguments,
			     arguments->expected_version =
				     arg_str0(NULL, "expect-version", "N",
					      "fail unless the version is N"));
	if (command->options & OPTION_DRY_RUN)
		add_argument(arguments,
			     arguments->dry_run = arg_lit0(
				     NULL, "dry-run",
				     "print the result, write nothing"));
	if (command->options & OPTION_NODE)
		add_argument(arguments,
			     arguments->node =
				     arg_str0("n", "node", "ADDRESS:ADMIN_PORT",
					      "the node to ask"));
	if (command->options & OPTION_COUNT)
		add_argument(arguments, arguments->count = arg_str0(
						NULL, "count", "N",
						"end after N changes"));
	if (command->options & OPTION_WAIT)
		add_argument(arguments, arguments->wait = arg_str0(
						"w", "wait", "SECONDS",
						"wait that long for the check "
						"and the move to end"));
	if (*command->operand)
		add_argument(arguments,
			     arguments->operands =
				     arg_strn(NULL, NULL, command->operand, 0,
					      OPERANDS_MAX, "what to work on"));
	add_argument(arguments, arguments->end);
}

/*
 * Reads the number given by an option. Leaves *value unchanged when the option
 * is absent or NULL. Prints an error and returns false for anything but a whole
 * number up to max.
 */
static bool read_number(const struct arg_str *option, const char *name,
			uint64_t max, uint64_t *value)
{
	if (!option || option->count == 0 ||
	    g_ascii_string_to_unsigned(option->sval[0], 10, 0, max, value,
				       NULL))
		return true;
	fprintf(stderr,
		"loomctl: --%s: got \"%s\", wanted a whole number from 0 to "
		"%" G_GUINT64_FORMAT "\n",
		name, option->sval[0], max);
	return false;
}

static bool read_options(const struct arguments *arguments,
			 struct ctl_options *options)
{
	uint64_t count = 0;
	uint64_t wait_s = 0;

	*options = (struct ctl_options){ .node = g_getenv("LOOM_NODE") };
	if (!read_number(arguments->expected_version, "expect-version",
			 INT64_MAX, &options->expected_version) ||
	    !read_number(arguments->count, "count", UINT32_MAX, &count) ||
	    !read_number(arguments->wait, "wait", WAIT_S_MAX, &wait_s))
		return false;
	options->wait_ms = (uint32_t)wait_s * 1000U;
	options->count_max = (uint32_t)count;
	options->has_expected_version = arguments->expected_version &&
					arguments->expected_version->count > 0;
	options->is_dry_run =
		arguments->dry_run && arguments->dry_run->count > 0;
	if (arguments->node && arguments->node->count > 0)
		options->node = arguments->node->sval[0];
	return true;
}

/*
 * Checks the number of operands, and that the node and the platform are given
 * if the command needs them. Prints what is missing.
 */
static bool check_required_arguments(const struct command *command,
				     const struct arguments *arguments,
				     const char *platform_url,
				     const struct ctl_options *options)
{
	int count = arguments->operands ? arguments->operands->count : 0;

	if (*command->operand && count == 0)
		fprintf(stderr, "loomctl %s: which %s? For example: %s\n",
			command->name, command->operand, command->example);
	else if (count > 1 && !(command->options & OPTION_MANY_OPERANDS))
		fprintf(stderr, "loomctl %s: got %d of %s, wanted one\n",
			command->name, count, command->operand);
	else if ((command->options & OPTION_NODE) && !options->node)
		fprintf(stderr,
			"loomctl %s: which node? Give --node ADDRESS:ADMIN_PORT"
			" or set LOOM_NODE. For example: %s\n",
			command->name, command->example);
	else if (!(command->options & OPTION_NO_PLATFORM) && !platform_url)
		fputs("loomctl: which platform? Give --platform URL or set "
		      "LOOM_PLATFORM.\n",
		      stderr);
	else
		return true;
	return false;
}

static enum ctl_exit run_command(const struct command *command,
				 const struct arguments *arguments)
{
	const char *url = g_getenv("LOOM_PLATFORM");
	const struct arg_str *operands = arguments->operands;
	enum ctl_exit result = CTL_EXIT_FAILED;
	struct ctl_context context;
	struct ctl_options options;

	if (arguments->platform->count > 0)
		url = arguments->platform->sval[0];
	if (!read_options(arguments, &options) ||
	    !check_required_arguments(command, arguments, url, &options))
		return CTL_EXIT_USAGE;
	if (ctl_open_context(&context,
			     command->options & OPTION_NO_PLATFORM ? NULL : url,
			     arguments->json->count > 0)) {
		context.options = options;
		result =
			command->run(&context, operands ? operands->sval : NULL,
				     operands ? operands->count : 0);
	}
	ctl_close_context(&context);
	return result;
}

static enum ctl_exit parse_and_run(const struct command *command, int argc,
				   char **argv)
{
	enum ctl_exit result = CTL_EXIT_USAGE;
	struct arguments arguments;
	int errors;

	make_arguments(&arguments, command);
	errors = arg_parse(argc, argv, arguments.table);
	if (arguments.help->count > 0) {
		print_help(command, arguments.table);
		result = CTL_EXIT_OK;
	} else if (errors > 0) {
		arg_print_errors(stderr, arguments.end, "loomctl");
	} else {
		result = run_command(command, &arguments);
	}
	arg_freetable(arguments.table, arguments.table_size);
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
