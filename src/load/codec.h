/* Datagram of a load report: a fixed layout in network byte order. */
#ifndef LOAD_CODEC_H
#define LOAD_CODEC_H

#include <stddef.h>
#include "loom/routing.h"

/* In bytes. */
#define LOAD_REPORT_SIZE 48U

#define LOAD_REPORT_VERSION 1U

struct load_report {
	uint32_t instance; /* number of the sending process, drawn at random */
	uint32_t sequence; /* grows with each report of the instance */
	uint16_t hop_port; /* with the sender's address: the target's key */
	struct rt_load load;
};

enum load_decode_result {
	LOAD_DECODE_OK,
	LOAD_DECODE_ASK, /* asks for one report; there are no values */
	LOAD_DECODE_OTHER_VERSION,
	LOAD_DECODE_MALFORMED, /* wrong size or a value out of range */
};

void load_encode_report(const struct load_report *report,
			uint8_t buffer[LOAD_REPORT_SIZE]);

/*
 * Encodes an ask for one report. It is as long as the report, so that an ask
 * with a false address of its sender multiplies nothing.
 */
void load_encode_ask(uint8_t buffer[LOAD_REPORT_SIZE]);

/* Decodes a datagram of an untrusted sender; *report is set if it is valid. */
enum load_decode_result load_decode_report(const uint8_t *buffer, size_t size,
					   struct load_report *report);

#endif
