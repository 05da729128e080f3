/*
 * Encoding of load reports.
 *
 * Offset and size in bytes: 0 version (1), 1 flags (1), 2 hop port (2), 4
 * instance (4), 8 sequence (4), 12 limit (4), 16 calls in flight (4), 20 mean
 * latency in microseconds (4), 24 failure permille (2), 26 zero (2), 28 the
 * waits of the classes in microseconds (4 each). All but the version and the
 * flags of an ask are zero. XDR would round each of the
 * short numbers up to four bytes and has no use for a layout without variable
 * parts.
 */
#include "codec.h"

#include <endian.h>
#include <string.h>
#include <glib.h>

#define FLAG_PHASE_MASK 0x03U
#define FLAG_UNREACHABLE 0x04U
#define FLAG_WAITS 0x08U
#define FLAG_MASK 0x0fU /* of a report */
#define FLAG_ASK 0x10U

#define FAILURE_PERMILLE_MAX 1000U

_Static_assert(LOAD_REPORT_SIZE == 28 + 4 * RT_CLASS_COUNT,
	       "the waits end the datagram");

static void put_16(uint8_t *bytes, uint16_t value)
{
	uint16_t wire = htobe16(value);

	memcpy(bytes, &wire, sizeof(wire));
}

static void put_32(uint8_t *bytes, uint32_t value)
{
	uint32_t wire = htobe32(value);

	memcpy(bytes, &wire, sizeof(wire));
}

static uint16_t get_16(const uint8_t *bytes)
{
	uint16_t wire;

	memcpy(&wire, bytes, sizeof(wire));
	return be16toh(wire);
}

static uint32_t get_32(const uint8_t *bytes)
{
	uint32_t wire;

	memcpy(&wire, bytes, sizeof(wire));
	return be32toh(wire);
}

void load_encode_report(const struct load_report *report,
			uint8_t buffer[LOAD_REPORT_SIZE])
{
	const struct rt_load *load = &report->load;

	memset(buffer, 0, LOAD_REPORT_SIZE);
	buffer[0] = LOAD_REPORT_VERSION;
	buffer[1] = (uint8_t)((uint32_t)load->phase |
			      (load->is_unreachable ? FLAG_UNREACHABLE : 0) |
			      (load->has_waits ? FLAG_WAITS : 0));
	put_16(buffer + 2, report->hop_port);
	put_32(buffer + 4, report->instance);
	put_32(buffer + 8, report->sequence);
	put_32(buffer + 12, load->limit);
	put_32(buffer + 16, load->in_flight);
	put_32(buffer + 20, load->latency_us);
	put_16(buffer + 24,
	       (uint16_t)MIN(load->failure_permille, FAILURE_PERMILLE_MAX));
	if (!load->has_waits)
		return;
	for (size_t i = 0; i < RT_CLASS_COUNT; i++)
		put_32(buffer + 28 + 4 * i, load->wait_us[i]);
}

void load_encode_ask(uint8_t buffer[LOAD_REPORT_SIZE])
{
	memset(buffer, 0, LOAD_REPORT_SIZE);
	buffer[0] = LOAD_REPORT_VERSION;
	buffer[1] = FLAG_ASK;
}

static bool is_ask(const uint8_t *buffer)
{
	uint8_t ask[LOAD_REPORT_SIZE];

	load_encode_ask(ask);
	return memcmp(buffer, ask, LOAD_REPORT_SIZE) == 0;
}

static bool is_valid(const uint8_t *buffer, const struct load_report *report)
{
	return (buffer[1] & ~FLAG_MASK) == 0 &&
	       (buffer[1] & FLAG_PHASE_MASK) <= RT_PHASE_LEAVING &&
	       get_16(buffer + 26) == 0 && report->hop_port > 0 &&
	       report->load.failure_permille <= FAILURE_PERMILLE_MAX;
}

enum load_decode_result load_decode_report(const uint8_t *buffer, size_t size,
					   struct load_report *report)
{
	struct rt_load *load = &report->load;

	memset(report, 0, sizeof(*report));
	if (size == 0)
		return LOAD_DECODE_MALFORMED;
	if (buffer[0] != LOAD_REPORT_VERSION)
		return LOAD_DECODE_OTHER_VERSION;
	if (size != LOAD_REPORT_SIZE)
		return LOAD_DECODE_MALFORMED;
	if (is_ask(buffer))
		return LOAD_DECODE_ASK;
	report->hop_port = get_16(buffer + 2);
	report->instance = get_32(buffer + 4);
	report->sequence = get_32(buffer + 8);
	load->limit = get_32(buffer + 12);
	load->in_flight = get_32(buffer + 16);
	load->latency_us = get_32(buffer + 20);
	load->failure_permille = get_16(buffer + 24);
	load->is_unreachable = buffer[1] & FLAG_UNREACHABLE;
	load->has_waits = buffer[1] & FLAG_WAITS;
	if (!is_valid(buffer, report))
		return LOAD_DECODE_MALFORMED;
	load->phase = (enum rt_phase)(buffer[1] & FLAG_PHASE_MASK);
	for (size_t i = 0; i < RT_CLASS_COUNT && load->has_waits; i++)
		load->wait_us[i] = get_32(buffer + 28 + 4 * i);
	return LOAD_DECODE_OK;
}
