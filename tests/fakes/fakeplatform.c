/*
 * fakeplatform: serves the platform's object API from memory until it gets
 * SIGTERM or SIGINT.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <argtable2.h>
#include "loom/error.h"
#include "loom/timer.h"
#include "object_api.h"

#define ADDRESSES_MAX 16

struct arguments {
	struct arg_str *address;
	struct arg_int *port;
	struct arg_int *writes_per_second;
	struct arg_int *reads_per_second;
	struct arg_int *history;
	struct arg_lit *help;
	struct arg_end *end;
};

static void handle_signal(struct tevent_context *events,
			  struct tevent_signal *signal, int number, int count,
			  void *info, void *data)
{
	bool *is_stopping = data;

	*is_stopping = true;
}

static void make_arguments(struct arguments *arguments)
{
	arguments->address = arg_strn(NULL, "address", "IP", 0, ADDRESSES_MAX,
				      "address to listen on; may be repeated");
	arguments->port = arg_int0(NULL, "port", "N",
				   "port to listen on (0: any free port)");
	arguments->writes_per_second = arg_int0(NULL, "writes-per-second", "N",
						"rate limit of writes");
	arguments->reads_per_second =
		arg_int0(NULL, "reads-per-second", "N", "rate limit of reads");
	arguments->history =
		arg_int0(NULL, "history", "N", "events kept for watches");
	arguments->help = arg_lit0("h", "help", "print this help");
	arguments->end = arg_end(8);
}

static void set_count(const struct arg_int *argument, uint32_t *value)
{
	if (argument->count > 0 && argument->ival[0] > 0)
		*value = (uint32_t)argument->ival[0];
}

static void set_options(const struct arguments *arguments,
			const char **addresses, struct api_options *options)
{
	api_set_default_options(options);
	for (int i = 0; i < arguments->address->count; i++)
		addresses[i] = arguments->address->sval[i];
	if (arguments->address->count > 0)
		options->addresses = addresses;
	if (arguments->port->count > 0)
		options->port = (uint16_t)arguments->port->ival[0];
	set_count(arguments->writes_per_second, &options->writes_per_second);
	set_count(arguments->reads_per_second, &options->reads_per_second);
	set_count(arguments->history, &options->history_max);
}

static int serve(const struct api_options *options)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct tevent_context *events = tevent_context_init(ctx);
	struct tmr_service *timers = tmr_new(ctx, events);
	struct api_server *server;
	GError *error = NULL;
	bool is_stopping = false;
	int code = EXIT_FAILURE;

	server = api_new_server(ctx, events, timers, options, &error);
	if (!server) {
		fprintf(stderr, "%s: %s\n", err_get_step(error),
			error->message);
		goto out;
	}
	tevent_add_signal(events, ctx, SIGTERM, 0, handle_signal, &is_stopping);
	tevent_add_signal(events, ctx, SIGINT, 0, handle_signal, &is_stopping);
	printf("listening on %s:%u\n", options->addresses[0],
	       api_get_port(server));
	fflush(stdout);
	while (!is_stopping)
		tevent_loop_once(events);
	talloc_free(server);
	code = EXIT_SUCCESS;
out:
	g_clear_error(&error);
	talloc_free(ctx);
	return code;
}

int main(int argc, char **argv)
{
	struct arguments arguments;
	struct api_options options;
	const char *addresses[ADDRESSES_MAX + 1] = { 0 };
	int code = EXIT_FAILURE;
	int errors;

	make_arguments(&arguments);
	errors = arg_parse(argc, argv, (void **)&arguments);
	if (arguments.help->count > 0) {
		arg_print_glossary(stdout, (void **)&arguments, "  %-30s %s\n");
		code = EXIT_SUCCESS;
		goto out;
	}
	if (errors > 0) {
		arg_print_errors(stderr, arguments.end, "fakeplatform");
		goto out;
	}
	set_options(&arguments, addresses, &options);
	code = serve(&options);
out:
	arg_freetable((void **)&arguments,
		      sizeof(arguments) / sizeof(struct arg_str *));
	return code;
}
