/*
 * Fuzz target of the parsers of documents and manifests.
 *
 * As a test it runs a fixed number of inputs from a fixed seed: valid examples
 * with parts removed, parts of other examples inserted, tokens inserted and
 * bytes replaced. Built with -DLOOM_LIBFUZZER -fsanitize=fuzzer it has no
 * main() and is run by libFuzzer:
 *
 *	clang -g -DLOOM_LIBFUZZER -fsanitize=fuzzer,address,undefined \
 *		-Iinclude -Isrc/document \
 *		$(pkg-config --cflags talloc glib-2.0) \
 *		src/document/tests/fuzz_documents.c src/document/[a-z]*.c \
 *		src/base/{error,problem,reader}.c \
 *		$(pkg-config --libs talloc jansson glib-2.0) -lm -o fuzz
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>
#include "loom/document.h"

#define INPUT_COUNT 20000U
#define SEED 20261204U
#define EDITS_MAX 4U

/* The symbol has the name that libFuzzer calls. */
int fuzz_try_input(const uint8_t *data,
		   size_t size) __asm__("LLVMFuzzerTestOneInput");

/* Aborts when a guarantee of the parsers does not hold. */
static void require(bool holds, const char *guarantee)
{
	if (holds)
		return;
	fprintf(stderr, "guarantee does not hold: %s\n", guarantee);
	abort();
}

static void check_service(const struct doc_service *service)
{
	const struct doc_move *move = service->move;

	require(service->name && service->current && service->versions &&
			service->routes && service->calls,
		"a service is complete");
	for (size_t i = 0; i < service->route_count; i++) {
		const struct doc_route *route = &service->routes[i];
		const char *method = route->methods ? route->methods[0] : "GET";

		require(doc_find_route(service, method, route->path_prefix) ==
				route,
			"a route is found by its own path and method");
	}
	if (!move)
		return;
	require(move->start_ms < move->finish_by_ms,
		"a move ends after its start");
	require(move->step_shares_permille[0] <= 50,
		"the first step of a move is at most 5 percent");
	require(move->step_shares_permille[move->step_count - 1] ==
			DOC_SHARE_ALL_PERMILLE,
		"the last step of a move is 100 percent");
}

static void try_service(const char *text, size_t size)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct doc_problem_list *list = doc_new_problem_list(ctx);
	struct doc_service *service;

	service = doc_parse_service(ctx, "input", text, size, 1, list);
	require(!service == (list->problems->len > 0),
		"a rejected document has a problem and a valid one none");
	if (service)
		check_service(service);
	talloc_free(ctx);
}

static void try_manifest(const char *text, size_t size)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct doc_manifest *manifest;
	struct doc_manifest *parsed;
	GError *error = NULL;
	char *formatted;

	manifest = doc_parse_manifest(ctx, text, size, &error);
	require(!manifest == (error != NULL),
		"a rejected manifest has an error and a valid one none");
	g_clear_error(&error);
	if (manifest) {
		formatted = doc_format_manifest(ctx, manifest);
		parsed = doc_parse_manifest(ctx, formatted, strlen(formatted),
					    NULL);
		require(parsed != NULL, "a formatted manifest is valid");
		require(strcmp(formatted, doc_format_manifest(ctx, parsed)) ==
				0,
			"formatting a parsed manifest gives the same text");
	}
	talloc_free(ctx);
}

int fuzz_try_input(const uint8_t *data, size_t size)
{
	try_service((const char *)data, size);
	try_manifest((const char *)data, size);
	return 0;
}

#ifndef LOOM_LIBFUZZER

static const char *const example_paths[] = {
	"../../../examples/kigali/catalogue.json",
	"../../../examples/kigali/plans.json",
	"../../../examples/bogota/orders.json",
	"../../../examples/bogota/prescriptions.json",
};

#define SEED_COUNT (G_N_ELEMENTS(example_paths) + 1)

static const char manifest_seed[] =
	"{\"sequence\":4,\"write_id\":\"a\",\"services\":["
	"{\"name\":\"catalogue\",\"version\":3,"
	"\"hash\":\"00000000000000c3\",\"move\":\"running\","
	"\"share_permille\":50,\"step\":1},"
	"{\"name\":\"plans\",\"version\":1,"
	"\"hash\":\"fedcba9876543210\",\"move\":\"none\","
	"\"share_permille\":0,\"step\":0}],"
	"\"domains\":[{\"name\":\"kigali-1\",\"out\":true}]}";

static const char *const tokens[] = {
	"\"", "{",     "}",	   "[",	    "]",     ",",
	":",  "0",     "-1",	   "1e308", "0.1",   "9223372036854775807",
	"7",  "null",  "true",	   "false", "\"\"",  "\"v1\"",
	"/",  "\\u00", "\xc3\xa9", "\xff",  "[[[[[", "{\"name\":",
	"-",  "100",   "%2e",	   "..",    " ",     "\"calls\":[\"a\"],",
};

static void insert_token(GRand *rand, GString *text)
{
	const char *token =
		tokens[g_rand_int_range(rand, 0, G_N_ELEMENTS(tokens))];
	gssize at = g_rand_int_range(rand, 0, (gint32)text->len + 1);

	g_string_insert(text, at, token);
}

static void replace_byte(GRand *rand, GString *text)
{
	if (text->len > 0)
		text->str[g_rand_int_range(rand, 0, (gint32)text->len)] =
			(char)g_rand_int_range(rand, 0, 256);
}

static void erase_part(GRand *rand, GString *text)
{
	gint32 at = g_rand_int_range(rand, 0, (gint32)text->len + 1);
	gint32 size = g_rand_int_range(rand, 0, 20);

	g_string_erase(text, at, MIN(size, (gint32)text->len - at));
}

/* Inserts a part of another seed. */
static void splice_part(GRand *rand, GString *text, const GString *other)
{
	gint32 from = g_rand_int_range(rand, 0, (gint32)other->len);
	gint32 size = g_rand_int_range(rand, 0, (gint32)other->len - from + 1);
	gint32 at = g_rand_int_range(rand, 0, (gint32)text->len + 1);

	g_string_insert_len(text, at, other->str + from, size);
}

static void mutate(GRand *rand, GString *text, GString *const *seeds)
{
	gint32 edit_count = g_rand_int_range(rand, 0, EDITS_MAX + 1);

	for (gint32 i = 0; i < edit_count; i++) {
		switch (g_rand_int_range(rand, 0, 4)) {
		case 0:
			insert_token(rand, text);
			break;
		case 1:
			replace_byte(rand, text);
			break;
		case 2:
			erase_part(rand, text);
			break;
		default:
			splice_part(
				rand, text,
				seeds[g_rand_int_range(rand, 0, SEED_COUNT)]);
			break;
		}
	}
}

static void run_inputs(GString *const *seeds)
{
	GRand *rand = g_rand_new_with_seed(SEED);

	for (guint i = 0; i < INPUT_COUNT; i++) {
		const GString *seed = seeds[i % SEED_COUNT];
		GString *text = g_string_new_len(seed->str, (gssize)seed->len);

		mutate(rand, text, seeds);
		fuzz_try_input((const uint8_t *)text->str, text->len);
		g_string_free(text, TRUE);
	}
	g_rand_free(rand);
	printf("%u inputs from seed %u\n", INPUT_COUNT, SEED);
}

int main(void)
{
	GString *seeds[SEED_COUNT] = { g_string_new(manifest_seed) };
	int status = EXIT_FAILURE;

	for (size_t i = 0; i < G_N_ELEMENTS(example_paths); i++) {
		char *text = NULL;

		seeds[i + 1] = g_string_new(NULL);
		if (!g_file_get_contents(example_paths[i], &text, NULL, NULL)) {
			fprintf(stderr, "cannot read %s\n", example_paths[i]);
			goto done;
		}
		g_string_assign(seeds[i + 1], text);
		g_free(text);
	}
	run_inputs(seeds);
	status = EXIT_SUCCESS;
done:
	for (size_t i = 0; i < SEED_COUNT && seeds[i]; i++)
		g_string_free(seeds[i], TRUE);
	return status;
}

#endif
