/*
 * Content encoding gzip of the changes that one node sends another.
 *
 * An answer is joined from parts that are compressed one by one, so that a part
 * that many answers have in common is compressed once.
 */
#ifndef ND_ENCODING_H
#define ND_ENCODING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>
#include <talloc.h>

/* A text as deflate blocks that refer to no other part and end at a byte. */
struct nd_deflated {
	uint8_t *blocks;
	size_t size;
	uint32_t crc;	  /* CRC-32 of the text */
	size_t text_size; /* bytes of the text */
};

/*
 * Returns whether the value of an Accept-Encoding header (NULL: absent) lists
 * gzip. An entry with a weight counts as absent.
 */
bool nd_accepts_gzip(const char *header);

/* Compresses a text. Returns a new part owned by ctx, or NULL without memory.
 */
struct nd_deflated *nd_deflate_text(TALLOC_CTX *ctx, const char *text,
				    size_t size);

/* Returns the texts of the parts one after the other as a new gzip file. */
GByteArray *nd_join_gzip(const struct nd_deflated *const *parts, size_t count);

#endif
