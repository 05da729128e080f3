/*
 * Content encoding gzip (RFC 1952) with zlib.
 *
 * Parts can be joined because each ends with an empty stored block, at a byte
 * boundary, and none is the last of its deflate stream (RFC 1951).
 */
#include "encoding.h"

#include <string.h>
#include <zlib.h>

/*
 * A change of 1,720 routes (351 kB) becomes 53 kB in 1.6 ms of processor time
 * with level 1, 44 kB in 1.9 ms with level 3 and 38 kB in 4.5 ms with level 6;
 * making its text takes 8.7 ms, decompressing it 0.7 ms. So the work needs no
 * thread of its own.
 */
#define LEVEL 1
/* Deflate without the header and trailer of another format. */
#define RAW_WINDOW_BITS (-15)
#define MEMORY_LEVEL 8
/* Bytes that a flush adds to the bound of zlib. */
#define FLUSH_BYTES_MAX 16U

/* No name and no time; 255: unknown operating system. */
static const uint8_t gzip_head[] = { 0x1f, 0x8b, Z_DEFLATED, 0, 0,
				     0,	   0,	 0,	     0, 255 };
/* An empty block that is the last one. */
static const uint8_t last_block[] = { 0x03, 0x00 };

bool nd_accepts_gzip(const char *header)
{
	gchar **codings = g_strsplit(header ? header : "", ",", -1);
	bool is_listed = false;

	for (gchar **coding = codings; *coding; coding++)
		is_listed |=
			g_ascii_strcasecmp(g_strstrip(*coding), "gzip") == 0;
	g_strfreev(codings);
	return is_listed;
}

struct nd_deflated *nd_deflate_text(TALLOC_CTX *ctx, const char *text,
				    size_t size)
{
	struct nd_deflated *part;
	z_stream stream = { 0 };
	uLong bytes_max;
	int result;

	if (size > UINT32_MAX ||
	    deflateInit2(&stream, LEVEL, Z_DEFLATED, RAW_WINDOW_BITS,
			 MEMORY_LEVEL, Z_DEFAULT_STRATEGY) != Z_OK)
		return NULL;
	bytes_max = deflateBound(&stream, size) + FLUSH_BYTES_MAX;
	part = talloc_zero(ctx, struct nd_deflated);
	part->blocks = talloc_array(part, uint8_t, bytes_max);
	stream.next_in = (Bytef *)(uintptr_t)text;
	stream.avail_in = (uInt)size;
	stream.next_out = part->blocks;
	stream.avail_out = (uInt)bytes_max;
	result = deflate(&stream, Z_SYNC_FLUSH);
	g_assert(result == Z_OK && stream.avail_in == 0 &&
		 stream.avail_out > 0);
	part->size = stream.total_out;
	deflateEnd(&stream);
	part->blocks = talloc_realloc(part, part->blocks, uint8_t, part->size);
	part->crc = (uint32_t)crc32_z(0, (const Bytef *)text, size);
	part->text_size = size;
	return part;
}

static void append_little_endian(GByteArray *bytes, uint32_t value)
{
	uint32_t ordered = GUINT32_TO_LE(value);

	g_byte_array_append(bytes, (const guint8 *)&ordered, sizeof(ordered));
}

GByteArray *nd_join_gzip(const struct nd_deflated *const *parts, size_t count)
{
	GByteArray *bytes = g_byte_array_new();
	uLong crc = 0;
	size_t text_size = 0;

	g_byte_array_append(bytes, gzip_head, sizeof(gzip_head));
	for (size_t i = 0; i < count; i++) {
		g_byte_array_append(bytes, parts[i]->blocks,
				    (guint)parts[i]->size);
		crc = crc32_combine(crc, parts[i]->crc,
				    (z_off_t)parts[i]->text_size);
		text_size += parts[i]->text_size;
	}
	g_byte_array_append(bytes, last_block, sizeof(last_block));
	append_little_endian(bytes, (uint32_t)crc);
	append_little_endian(bytes, (uint32_t)text_size);
	return bytes;
}
