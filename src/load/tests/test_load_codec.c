/* Codec of load reports: round trips and malformed datagrams. */
#include <string.h>
#include "codec.h"
#include "script.h"

#define MUTATION_COUNT 100000U
#define MUTATION_SEED 20261206U

static const struct load_report sample = {
	.instance = 0x01020304,
	.sequence = 0xfffefdfc,
	.hop_port = 8081,
	.load = { .limit = 9,
		  .in_flight = 12,
		  .latency_us = 243000,
		  .failure_permille = 1000,
		  .phase = RT_PHASE_LEAVING,
		  .is_unreachable = true,
		  .has_waits = true,
		  .wait_us = { 1, 20000, 300000, 4000000, UINT32_MAX } },
};

/* The layout is what nodes of other releases read. */
static void test_layout(void)
{
	static const uint8_t expected[LOAD_REPORT_SIZE] =
		"\x01\x0e\x1f\x91\x01\x02\x03\x04\xff\xfe\xfd\xfc"
		"\x00\x00\x00\x09\x00\x00\x00\x0c\x00\x03\xb5\x38"
		"\x03\xe8\x00\x00\x00\x00\x00\x01\x00\x00\x4e\x20"
		"\x00\x04\x93\xe0\x00\x3d\x09\x00\xff\xff\xff\xff";
	uint8_t buffer[LOAD_REPORT_SIZE];

	load_encode_report(&sample, buffer);
	CU_ASSERT_EQUAL(memcmp(buffer, expected, sizeof(expected)), 0);
}

/* An ask that is not exactly one is malformed, so that its layout can grow. */
static void test_ask(void)
{
	uint8_t buffer[LOAD_REPORT_SIZE];
	struct load_report report;

	load_encode_ask(buffer);
	CU_ASSERT_EQUAL(load_decode_report(buffer, sizeof(buffer), &report),
			LOAD_DECODE_ASK);
	CU_ASSERT_EQUAL(load_decode_report(buffer, sizeof(buffer) - 1, &report),
			LOAD_DECODE_MALFORMED);
	buffer[LOAD_REPORT_SIZE - 1] = 1;
	CU_ASSERT_EQUAL(load_decode_report(buffer, sizeof(buffer), &report),
			LOAD_DECODE_MALFORMED);
}

static void check_round_trip(const struct load_report *report)
{
	uint8_t buffer[LOAD_REPORT_SIZE];
	uint8_t again[LOAD_REPORT_SIZE];
	struct load_report decoded;

	load_encode_report(report, buffer);
	CU_ASSERT_EQUAL(load_decode_report(buffer, sizeof(buffer), &decoded),
			LOAD_DECODE_OK);
	CU_ASSERT_EQUAL(decoded.instance, report->instance);
	CU_ASSERT_EQUAL(decoded.sequence, report->sequence);
	CU_ASSERT_EQUAL(decoded.hop_port, report->hop_port);
	CU_ASSERT_EQUAL(decoded.load.limit, report->load.limit);
	CU_ASSERT_EQUAL(decoded.load.in_flight, report->load.in_flight);
	CU_ASSERT_EQUAL(decoded.load.latency_us, report->load.latency_us);
	CU_ASSERT_EQUAL(decoded.load.phase, report->load.phase);
	CU_ASSERT_EQUAL(decoded.load.is_unreachable,
			report->load.is_unreachable);
	CU_ASSERT_EQUAL(decoded.load.has_waits, report->load.has_waits);
	CU_ASSERT_EQUAL(decoded.load.received_ms, 0);
	load_encode_report(&decoded, again);
	CU_ASSERT_EQUAL(memcmp(buffer, again, sizeof(buffer)), 0);
}

static void test_round_trip(void)
{
	struct load_report report = sample;
	struct load_report decoded;
	uint8_t buffer[LOAD_REPORT_SIZE];

	check_round_trip(&report);
	report.load.phase = RT_PHASE_STARTING;
	report.load.is_unreachable = false;
	check_round_trip(&report);
	/* Without waits, what the sender's memory holds there is not sent. */
	report.load.has_waits = false;
	check_round_trip(&report);
	load_encode_report(&report, buffer);
	load_decode_report(buffer, sizeof(buffer), &decoded);
	CU_ASSERT_EQUAL(decoded.load.wait_us[RT_CLASS_RANK_LOW], 0);
	/* A share above all is one that the sender has got wrong. */
	report.load.failure_permille = 5000;
	load_encode_report(&report, buffer);
	load_decode_report(buffer, sizeof(buffer), &decoded);
	CU_ASSERT_EQUAL(decoded.load.failure_permille, 1000);
}

static enum load_decode_result decode_with(size_t offset, uint8_t value)
{
	uint8_t buffer[LOAD_REPORT_SIZE];
	struct load_report decoded;

	load_encode_report(&sample, buffer);
	buffer[offset] = value;
	return load_decode_report(buffer, sizeof(buffer), &decoded);
}

/* A datagram of another program or release was taken for a report. */
static void test_malformed(void)
{
	uint8_t buffer[LOAD_REPORT_SIZE + 1] = { 0 };
	struct load_report decoded;

	load_encode_report(&sample, buffer);
	for (size_t size = 0; size <= sizeof(buffer); size++)
		CU_ASSERT_EQUAL(load_decode_report(buffer, size, &decoded),
				size == LOAD_REPORT_SIZE
					? LOAD_DECODE_OK
					: LOAD_DECODE_MALFORMED);
	CU_ASSERT_EQUAL(decode_with(0, 0), LOAD_DECODE_OTHER_VERSION);
	CU_ASSERT_EQUAL(decode_with(0, 2), LOAD_DECODE_OTHER_VERSION);
	/* A later version may be longer. */
	buffer[0] = 2;
	CU_ASSERT_EQUAL(load_decode_report(buffer, sizeof(buffer), &decoded),
			LOAD_DECODE_OTHER_VERSION);
	/* Phase 3, unknown flags, nonzero padding, too many failures. */
	CU_ASSERT_EQUAL(decode_with(1, 3), LOAD_DECODE_MALFORMED);
	CU_ASSERT_EQUAL(decode_with(1, 0x10), LOAD_DECODE_MALFORMED);
	CU_ASSERT_EQUAL(decode_with(26, 1), LOAD_DECODE_MALFORMED);
	CU_ASSERT_EQUAL(decode_with(27, 1), LOAD_DECODE_MALFORMED);
	CU_ASSERT_EQUAL(decode_with(25, 0xe9), LOAD_DECODE_MALFORMED);
	load_encode_report(&sample, buffer);
	buffer[2] = buffer[3] = 0;
	CU_ASSERT_EQUAL(load_decode_report(buffer, LOAD_REPORT_SIZE, &decoded),
			LOAD_DECODE_MALFORMED);
}

/* Bytes of an untrusted sender led out of the ranges of the load. */
static void test_mutations(void)
{
	GRand *random = g_rand_new_with_seed(MUTATION_SEED);
	uint32_t accepted = 0;

	for (uint32_t i = 0; i < MUTATION_COUNT; i++) {
		uint8_t buffer[LOAD_REPORT_SIZE];
		struct load_report decoded;

		load_encode_report(&sample, buffer);
		for (int32_t n = g_rand_int_range(random, 1, 9); n > 0; n--)
			buffer[g_rand_int_range(random, 0, sizeof(buffer))] =
				(uint8_t)g_rand_int(random);
		if (load_decode_report(buffer, sizeof(buffer), &decoded) !=
		    LOAD_DECODE_OK)
			continue;
		accepted++;
		if (decoded.load.phase > RT_PHASE_LEAVING ||
		    decoded.load.failure_permille > 1000 ||
		    decoded.hop_port == 0)
			CU_FAIL("a value out of range");
	}
	/* Most mutations hit a number that may have any value. */
	CU_ASSERT(accepted > MUTATION_COUNT / 4);
	CU_ASSERT(accepted < MUTATION_COUNT);
	g_rand_free(random);
}

static const CU_TestInfo tests[] = {
	{ "layout", test_layout },
	{ "round trip", test_round_trip },
	{ "ask", test_ask },
	{ "malformed", test_malformed },
	{ "mutations", test_mutations },
	CU_TEST_INFO_NULL,
};

int main(void)
{
	return scr_run_suite("load codec", tests);
}
