/* Key of a node's UDP or TCP port in hash tables. */
#ifndef LOAD_KEY_H
#define LOAD_KEY_H

#include <arpa/inet.h>
#include <stdint.h>

/*
 * g_int64_hash() uses the low 32 bits, which therefore contain the end of the
 * address, where the nodes of a network differ.
 */
static inline int64_t load_get_key(struct in_addr address, uint16_t port)
{
	return (int64_t)ntohl(address.s_addr) << 16 | port;
}

#endif
