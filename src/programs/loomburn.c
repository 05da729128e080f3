/*
 * loomburn: reports the burn of service-level objectives over all nodes.
 */
#include <stdio.h>
#include <argtable2.h>
#include "ctl.h"
#include "loom/reader.h"

struct arguments {
	struct arg_str *node;
	struct arg_str *platform;
	struct arg_str *service;
	struct arg_lit *json;
	struct arg_str *html;
	struct arg_lit *help;
	struct arg_end *end;
};

static const char *get_text(const struct arg_str *argument,
			    const char *fallback)
{
	return argument->count > 0 ? argument->sval[0] : fallback;
}

static void print_help(void **table)
{
	puts("loomburn reports how fast each service spends the budget of its "
	     "objective.\n");
	printf("Usage: loomburn");
	arg_print_syntax(stdout, table, "\n\n");
	arg_print_glossary(stdout, table, "  %-26s %s\n");
	puts("\nLOOM_NODE and LOOM_PLATFORM stand in for --node and "
	     "--platform.\n"
	     "Example: loomburn --node 127.0.1.1:8082 --platform "
	     "http://127.0.0.9:9000 --html burn.html\n"
	     "Exit codes: 0 done, 1 platform or no node reached, 2 usage.");
}

static bool read_options(const struct arguments *arguments, const char **url,
			 struct ctl_options *options)
{
	*url = get_text(arguments->platform, g_getenv("LOOM_PLATFORM"));
	options->node = get_text(arguments->node, g_getenv("LOOM_NODE"));
	options->service = get_text(arguments->service, NULL);
	options->html_file = get_text(arguments->html, NULL);
	if (!options->node)
		fputs("loomburn: which node? Give --node ADDRESS:ADMIN_PORT or "
		      "set LOOM_NODE.\n",
		      stderr);
	else if (!*url)
		fputs("loomburn: which platform? Give --platform URL or set "
		      "LOOM_PLATFORM; it holds the objectives.\n",
		      stderr);
	else if (options->service && !rd_is_label(options->service))
		fprintf(stderr,
			"loomburn: --service: got \"%s\", wanted the name of a "
			"service\n",
			options->service);
	else
		return true;
	return false;
}

static enum ctl_exit run_report(const struct arguments *arguments)
{
	struct ctl_options options = { 0 };
	enum ctl_exit result = CTL_EXIT_FAILED;
	struct ctl_context context;
	const char *url;

	if (!read_options(arguments, &url, &options))
		return CTL_EXIT_USAGE;
	if (ctl_open_context(&context, url, arguments->json->count > 0)) {
		context.options = options;
		result = ctl_report_burn(&context);
	}
	ctl_close_context(&context);
	return result;
}

int main(int argc, char **argv)
{
	struct arguments arguments = {
		.node = arg_str0("n", "node", "ADDRESS:ADMIN_PORT",
				 "one node; it names the others"),
		.platform = arg_str0("p", "platform", "URL",
				     "the platform's object API"),
		.service = arg_str0("s", "service", "NAME",
				    "report this service only"),
		.json = arg_lit0(NULL, "json", "print JSON"),
		.html = arg_str0(NULL, "html", "FILE", "write an HTML page"),
		.help = arg_lit0("h", "help", "print this help"),
		.end = arg_end(8),
	};
	void *table[] = { arguments.node, arguments.platform, arguments.service,
			  arguments.json, arguments.html,     arguments.help,
			  arguments.end };
	int errors = arg_parse(argc, argv, table);
	enum ctl_exit result = CTL_EXIT_USAGE;

	if (arguments.help->count > 0) {
		print_help(table);
		result = CTL_EXIT_OK;
	} else if (errors > 0) {
		arg_print_errors(stderr, arguments.end, "loomburn");
	} else {
		result = run_report(&arguments);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return (int)result;
}
