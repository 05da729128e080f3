/*
 * Tests of the content encoding gzip: joined parts are one gzip file with their
 * texts, and what an Accept-Encoding header says.
 */
#include <string.h>
#include <zlib.h>
#include "encoding.h"
#include "script.h"

#define LARGE_BYTES 300000U
/* Decompress gzip only. */
#define GZIP_WINDOW_BITS (16 + MAX_WBITS)

/*
 * Decompresses a gzip file, which zlib checks against its checksum. Returns the
 * text as a new string, or NULL.
 */
static char *inflate_gzip(const GByteArray *bytes, size_t text_size)
{
	char *text = g_malloc0(text_size + 1);
	z_stream stream = {
		.next_in = bytes->data,
		.avail_in = bytes->len,
		.next_out = (Bytef *)text,
		.avail_out = (uInt)text_size + 1,
	};
	int result;

	inflateInit2(&stream, GZIP_WINDOW_BITS);
	result = inflate(&stream, Z_FINISH);
	if (result != Z_STREAM_END || stream.total_out != text_size ||
	    stream.avail_in != 0) {
		g_free(text);
		text = NULL;
	}
	inflateEnd(&stream);
	return text;
}

/* Joins the texts and asserts that the result decompresses to all of them. */
static void check_join(const char *const *texts, size_t count)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	const struct nd_deflated **parts =
		talloc_array(ctx, const struct nd_deflated *, count);
	GString *wanted = g_string_new(NULL);
	GByteArray *bytes;
	char *text;

	for (size_t i = 0; i < count; i++) {
		parts[i] = nd_deflate_text(ctx, texts[i], strlen(texts[i]));
		CU_ASSERT_PTR_NOT_NULL_FATAL(parts[i]);
		g_string_append(wanted, texts[i]);
	}
	bytes = nd_join_gzip(parts, count);
	text = inflate_gzip(bytes, wanted->len);
	CU_ASSERT_EQUAL(g_strcmp0(text, wanted->str), 0);
	g_free(text);
	g_byte_array_unref(bytes);
	g_string_free(wanted, TRUE);
	talloc_free(ctx);
}

static void test_joined_parts_decompress_to_the_texts(void)
{
	const char *texts[] = { "{\"a\":", "", "{\"a\":{\"a\":", "}" };

	check_join(texts, 0);
	check_join(texts, G_N_ELEMENTS(texts));
}

/* Text that does not become smaller must fit as well. */
static void test_large_parts(void)
{
	char *same = g_strnfill(LARGE_BYTES, 'x');
	char *mixed = g_strnfill(LARGE_BYTES, 'x');
	const char *texts[] = { same, mixed, same };
	GRand *random = g_rand_new_with_seed(1);

	for (size_t i = 0; i < LARGE_BYTES; i++)
		mixed[i] = (char)g_rand_int_range(random, 1, 256);
	check_join(texts, G_N_ELEMENTS(texts));
	g_rand_free(random);
	g_free(same);
	g_free(mixed);
}

static void test_accept_encoding(void)
{
	CU_ASSERT_FALSE(nd_accepts_gzip(NULL));
	CU_ASSERT_FALSE(nd_accepts_gzip(""));
	CU_ASSERT_FALSE(nd_accepts_gzip("identity"));
	CU_ASSERT_FALSE(nd_accepts_gzip("gzip;q=0"));
	CU_ASSERT_FALSE(nd_accepts_gzip("x-gzip"));
	CU_ASSERT_TRUE(nd_accepts_gzip("gzip"));
	CU_ASSERT_TRUE(nd_accepts_gzip("deflate, GZIP"));
}

static const CU_TestInfo tests[] = {
	{ "joined parts decompress to the texts",
	  test_joined_parts_decompress_to_the_texts },
	{ "large parts", test_large_parts },
	{ "accept encoding", test_accept_encoding },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("encoding", tests);
}
