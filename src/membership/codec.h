/*
 * Messages of the membership protocol and their encoding as ONC RPC calls (see
 * member_protocol.x).
 */
#ifndef MEM_CODEC_H
#define MEM_CODEC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>
#include <member_protocol.h>

/* Packs a port and a capacity into hop_port_and_capacity of a record. */
static inline uint32_t mem_pack_hop_port(uint16_t hop_port, uint16_t capacity)
{
	return (uint32_t)capacity << 16 | hop_port;
}

/*
 * Largest datagram sent, in bytes; below the usual MTU, so that datagrams are
 * not fragmented.
 */
#define MEM_DATAGRAM_SIZE 1400U

/* Highest incarnation accepted; leaves room for refutations above it. */
#define MEM_INCARNATION_MAX (UINT64_C(1) << 62)

/*
 * One call. Texts are borrowed in messages to send, and owned by the message
 * after mem_decode_message().
 */
struct mem_message {
	uint32_t procedure; /* MEM_PING ... MEM_PAGE */
	uint32_t xid;
	mem_wire_peer subject;	  /* MEM_INDIRECT only */
	mem_wire_buckets buckets; /* MEM_PULL only */
	mem_wire_update update;
};

/*
 * Returns whether a text may stand in a record: printable ASCII without spaces,
 * at most MEM_NAME_SIZE bytes.
 */
bool mem_is_name(const char *text);

/* Returns the encoded size of a record in bytes. */
size_t mem_get_record_size(const mem_wire_record *record);

/*
 * Returns the encoded size of a call without records, in bytes; for
 * MEM_INDIRECT an upper bound.
 */
size_t mem_get_empty_size(uint32_t procedure);

/*
 * Encodes a message into buffer, which has MEM_DATAGRAM_SIZE bytes. Returns the
 * size in bytes, or 0 when it does not fit.
 */
size_t mem_encode_message(const struct mem_message *message, uint8_t *buffer);

/*
 * Decodes and validates a datagram from an untrusted sender; peer names the
 * sender in errors. On success returns true, and the caller frees the contents
 * with mem_clear_message(). Otherwise returns false with *error set, and there
 * is nothing to free.
 */
bool mem_decode_message(const uint8_t *buffer, size_t size, const char *peer,
			struct mem_message *message, GError **error);

/* Frees the contents of a decoded message. */
void mem_clear_message(struct mem_message *message);

#endif
