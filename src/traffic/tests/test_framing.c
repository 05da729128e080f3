/*
 * Syntax and framing of answers: a table of lines and bodies, and chunked
 * bodies that were mutated with fixed seeds.
 */
#include <string.h>
#include "framing.h"
#include "script.h"

#define SEEDS 20000U
#define MUTATIONS_MAX 4

static void print_status(const char *line, size_t size, GString *output)
{
	uint32_t status;
	bool is_http10;

	if (!tr_parse_status_line(line, size, &status, &is_http10))
		g_string_append(output, "malformed\n");
	else
		g_string_append_printf(output, "%u%s\n", status,
				       is_http10 ? " HTTP/1.0" : "");
}

static void print_header(char *line, size_t size, GString *output)
{
	char *name;
	char *value;

	if (tr_split_header_line(line, size, &name, &value))
		g_string_append_printf(output, "[%s] [%s]\n", name, value);
	else
		g_string_append(output, "malformed\n");
}

/* words: headers, each as NAME:VALUE */
static void print_framing(int count, char **words, bool is_http10,
			  GString *output)
{
	struct tr_framing framing;
	bool is_valid = true;

	tr_open_framing(&framing, is_http10);
	for (int i = 0; i < count && is_valid; i++) {
		char **parts = g_strsplit(words[i], ":", 2);

		is_valid = tr_add_framing_header(&framing, parts[0], parts[1]);
		g_strfreev(parts);
	}
	if (!is_valid)
		g_string_append(output, "invalid\n");
	else
		g_string_append_printf(output, "%d%s\n",
				       (int)framing.content_length,
				       framing.is_chunked ? " chunked" : "");
}

/*
 * Decodes a body that arrives in parts of at most part_max bytes. Returns the
 * end state, the number of bytes behind the body, and the content (new).
 */
static char *decode(const char *bytes, size_t size, size_t part_max)
{
	struct tr_chunks chunks = { 0 };
	GString *content = g_string_new(NULL);
	size_t done = 0;
	char *result;

	while (done < size && chunks.state != TR_CHUNK_END &&
	       chunks.state != TR_CHUNK_MALFORMED) {
		const char *part = NULL;
		size_t part_size;
		size_t given = MIN(size - done, part_max);
		char *copy = g_memdup2(bytes + done, given);

		done += tr_decode_chunks(&chunks, copy, given, &part,
					 &part_size);
		g_string_append_len(content, part, (gssize)part_size);
		g_free(copy);
	}
	if (chunks.state == TR_CHUNK_MALFORMED)
		result = g_strdup_printf("malformed after [%s]", content->str);
	else if (chunks.state == TR_CHUNK_END)
		result = g_strdup_printf("[%s], %zu bytes left", content->str,
					 size - done);
	else
		result = g_strdup_printf("incomplete after [%s]", content->str);
	g_string_free(content, TRUE);
	return result;
}

static void print_chunks(const char *bytes, size_t size, GString *output)
{
	char *whole = decode(bytes, size, size);
	char *pieces = decode(bytes, size, 1);

	CU_ASSERT_STRING_EQUAL(pieces, whole);
	g_string_append_printf(output, "%s\n", whole);
	g_free(pieces);
	g_free(whole);
}

static bool run_step(int count, char **words, GString *output, void *data)
{
	char *text = g_strcompress(words[1]);
	/* "@" stands for a byte that a C string cannot hold. */
	size_t size = strlen(text);

	g_strdelimit(text, "@", '\0');
	if (strcmp(words[0], "status") == 0)
		print_status(text, size, output);
	else if (strcmp(words[0], "header") == 0)
		print_header(text, size, output);
	else if (strcmp(words[0], "framing") == 0)
		print_framing(count - 1, words + 1, false, output);
	else if (strcmp(words[0], "framing-1.0") == 0)
		print_framing(count - 1, words + 1, true, output);
	else if (strcmp(words[0], "chunks") == 0)
		print_chunks(text, size, output);
	g_free(text);
	return true;
}

static void test_table(void)
{
	scr_run("framing", run_step, NULL);
}

/* A body reads the same in whatever parts it arrives. */
static void test_mutated_chunks(void)
{
	static const char corpus[] =
		"4;a=b\r\n0123\r\n0a\r\n0123456789\r\n0\r\nX-Sum: 1\r\n\r\n";
	static const char special[] = "\r\n;:0aFg \t\001";

	for (uint32_t seed = 0; seed < SEEDS; seed++) {
		GRand *random = g_rand_new_with_seed(seed);
		GString *body = g_string_new(corpus);
		int count = g_rand_int_range(random, 0, MUTATIONS_MAX);
		char *whole;
		char *parts;

		for (int i = 0; i < count; i++)
			body->str[g_rand_int_range(random, 0,
						   (gint32)body->len)] =
				special[g_rand_int_range(random, 0,
							 sizeof(special) - 1)];
		whole = decode(body->str, body->len, body->len);
		parts = decode(body->str, body->len,
			       (size_t)g_rand_int_range(random, 1, 9));
		if (strcmp(whole, parts) != 0)
			CU_FAIL("a body reads differently in parts");
		g_free(parts);
		g_free(whole);
		g_string_free(body, TRUE);
		g_rand_free(random);
	}
}

static const CU_TestInfo tests[] = {
	{ "table", test_table },
	{ "mutated_chunks", test_mutated_chunks },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("framing", tests);
}
