/*
 * Codec of membership datagrams: round trips, invalid datagrams and random
 * mutations.
 */
#include <stdio.h>
#include <string.h>
#include "codec.h"
#include "loom/error.h"
#include "loom/membership.h"
#include "script.h"

#define MUTATION_COUNT 50000U
#define MUTATION_SEED 20261204U

/* Offsets in the call header, in bytes. */
#define DIRECTION_OFFSET 4U
#define PROGRAM_OFFSET 12U
#define VERSION_OFFSET 16U
#define PROCEDURE_OFFSET 20U
#define FLAVOR_OFFSET 24U
#define FLAVOR_LENGTH_OFFSET 28U

static mem_wire_record make_record(void)
{
	mem_wire_record record = {
		.address = "127.0.1.2",
		.gossip_port = 7946,
		.hop_port_and_capacity = mem_pack_hop_port(8081, 200),
		.admin_port = 8082,
		.failure_domain = "kigali-1",
		.service = "orders",
		.target_version = "v12",
		.phase = RT_PHASE_SERVING,
		.state = MEM_STATE_SUSPECT,
		.incarnation = 77,
	};

	return record;
}

static size_t encode_sample(uint32_t procedure, mem_wire_record *records,
			    u_int count, uint8_t *buffer)
{
	struct mem_message message = {
		.procedure = procedure,
		.xid = 0x01020304,
		.subject = { .address = "127.0.1.3", .gossip_port = 7946 },
		.update = { .manifest_sequence = 9,
			    .table_hash = 5,
			    .live_count = 3,
			    .admin_port = 8082 },
	};

	message.buckets.hashes[MEM_BUCKET_COUNT - 1] = 11;
	message.update.records.records_len = count;
	message.update.records.records_val = records;
	return mem_encode_message(&message, buffer);
}

static void test_round_trip(void)
{
	for (uint32_t procedure = MEM_PING; procedure <= MEM_PAGE;
	     procedure++) {
		mem_wire_record record = make_record();
		uint8_t buffer[MEM_DATAGRAM_SIZE];
		uint8_t again[MEM_DATAGRAM_SIZE];
		struct mem_message message;
		size_t size = encode_sample(procedure, &record, 1, buffer);

		CU_ASSERT_TRUE_FATAL(mem_decode_message(buffer, size, "test",
							&message, NULL));
		CU_ASSERT_EQUAL(message.procedure, procedure);
		CU_ASSERT_EQUAL(message.xid, 0x01020304);
		CU_ASSERT_EQUAL(mem_encode_message(&message, again), size);
		CU_ASSERT_EQUAL(memcmp(buffer, again, size), 0);
		mem_clear_message(&message);
	}
}

static void test_sizes_are_exact(void)
{
	mem_wire_record record = make_record();
	uint8_t buffer[MEM_DATAGRAM_SIZE];

	CU_ASSERT_EQUAL(encode_sample(MEM_PING, &record, 0, buffer),
			mem_get_empty_size(MEM_PING));
	CU_ASSERT_EQUAL(encode_sample(MEM_PULL, &record, 0, buffer),
			mem_get_empty_size(MEM_PULL));
	CU_ASSERT_TRUE(encode_sample(MEM_INDIRECT, &record, 0, buffer) <=
		       mem_get_empty_size(MEM_INDIRECT));
	CU_ASSERT_EQUAL(encode_sample(MEM_PING, &record, 1, buffer),
			mem_get_empty_size(MEM_PING) +
				mem_get_record_size(&record));
}

/* Each record has one invalid field. */
static void test_bad_records_are_refused(void)
{
	mem_wire_record bad[10];
	static char name_with_space[] = "two words";

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		bad[i] = make_record();
	bad[0].address = "host.example";
	bad[1].gossip_port = 0;
	bad[2].gossip_port = 65536;
	bad[3].gossip_port = UINT32_MAX;
	bad[4].admin_port = 65536;
	bad[5].failure_domain = name_with_space;
	bad[6].service = name_with_space;
	bad[7].target_version = name_with_space;
	bad[8].phase = RT_PHASE_LEAVING + 1;
	bad[9].state = MEM_STATE_LEFT + 1;
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		uint8_t buffer[MEM_DATAGRAM_SIZE];
		struct mem_message message;
		GError *error = NULL;
		size_t size = encode_sample(MEM_GOSSIP, &bad[i], 1, buffer);

		CU_ASSERT_FALSE(mem_decode_message(buffer, size, "127.0.0.9",
						   &message, &error));
		CU_ASSERT_STRING_EQUAL(err_get_peer(error), "127.0.0.9");
		g_clear_error(&error);
	}
}

static void test_bad_incarnation_is_refused(void)
{
	mem_wire_record record = make_record();
	uint8_t buffer[MEM_DATAGRAM_SIZE];
	struct mem_message message;
	size_t size;

	record.incarnation = MEM_INCARNATION_MAX + 1;
	size = encode_sample(MEM_GOSSIP, &record, 1, buffer);
	CU_ASSERT_FALSE(
		mem_decode_message(buffer, size, "test", &message, NULL));
}

static void test_bad_headers_are_refused(void)
{
	const struct {
		size_t offset;
		uint8_t value; /* new last byte of the word */
	} rows[] = {
		{ DIRECTION_OFFSET, 1 },     { PROGRAM_OFFSET, 2 },
		{ VERSION_OFFSET, 1 },	     { PROCEDURE_OFFSET, 0 },
		{ PROCEDURE_OFFSET, 7 },     { FLAVOR_OFFSET, 1 },
		{ FLAVOR_LENGTH_OFFSET, 4 },
	};
	mem_wire_record record = make_record();

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		uint8_t buffer[MEM_DATAGRAM_SIZE];
		struct mem_message message;
		size_t size = encode_sample(MEM_PING, &record, 1, buffer);

		buffer[rows[i].offset + 3] = rows[i].value;
		CU_ASSERT_FALSE(mem_decode_message(buffer, size, "test",
						   &message, NULL));
	}
}

static void test_truncated_datagrams_are_refused(void)
{
	for (uint32_t procedure = MEM_PING; procedure <= MEM_PAGE;
	     procedure++) {
		mem_wire_record record = make_record();
		uint8_t buffer[MEM_DATAGRAM_SIZE];
		size_t size = encode_sample(procedure, &record, 1, buffer);

		for (size_t cut = 0; cut < size; cut++) {
			/*
			 * A copy of the exact size lets ASan detect reads past
			 * the end.
			 */
			uint8_t *copy = g_memdup2(buffer, cut);
			struct mem_message message;

			CU_ASSERT_FALSE(mem_decode_message(copy, cut, "test",
							   &message, NULL));
			g_free(copy);
		}
	}
}

static void test_long_datagrams_are_refused(void)
{
	mem_wire_record record = make_record();
	uint8_t buffer[2 * MEM_DATAGRAM_SIZE] = { 0 };
	struct mem_message message;
	size_t size = encode_sample(MEM_PING, &record, 1, buffer);

	CU_ASSERT_FALSE(
		mem_decode_message(buffer, size + 4, "test", &message, NULL));
	CU_ASSERT_FALSE(mem_decode_message(buffer, MEM_DATAGRAM_SIZE + 4,
					   "test", &message, NULL));
}

static void mutate(GRand *random, uint8_t *bytes, size_t *size)
{
	uint32_t count = (uint32_t)g_rand_int_range(random, 1, 5);

	for (uint32_t i = 0; i < count; i++) {
		size_t place =
			(size_t)g_rand_int_range(random, 0, (gint32)*size);

		switch (g_rand_int_range(random, 0, 4)) {
		case 0:
			bytes[place] ^=
				(uint8_t)(1U << g_rand_int_range(random, 0, 8));
			break;
		case 1:
			bytes[place] = (uint8_t)g_rand_int(random);
			break;
		case 2:
			memset(&bytes[place & ~(size_t)3], 0xff,
			       MIN(4, *size - (place & ~(size_t)3)));
			break;
		default:
			*size = MAX(place, 1);
			break;
		}
	}
}

/*
 * A mutated datagram is either rejected or decodes to a message that can be
 * encoded again.
 */
static void test_mutations(void)
{
	GRand *random = g_rand_new_with_seed(MUTATION_SEED);
	uint32_t accepted = 0;

	for (uint32_t i = 0; i < MUTATION_COUNT; i++) {
		mem_wire_record records[3] = { make_record(), make_record(),
					       make_record() };
		uint8_t buffer[MEM_DATAGRAM_SIZE];
		size_t size = encode_sample(MEM_PING + i % MEM_PAGE, records,
					    i % 4, buffer);
		struct mem_message message;
		uint8_t *copy;

		mutate(random, buffer, &size);
		copy = g_memdup2(buffer, size);
		if (mem_decode_message(copy, size, "test", &message, NULL)) {
			accepted++;
			CU_ASSERT_TRUE(mem_encode_message(&message, buffer) >
				       0);
			mem_clear_message(&message);
		}
		g_free(copy);
	}
	printf(" %u of %u accepted ", accepted, MUTATION_COUNT);
	CU_ASSERT_TRUE(accepted > 0 && accepted < MUTATION_COUNT);
	g_rand_free(random);
}

int main(void)
{
	const CU_TestInfo tests[] = {
		{ "round trip", test_round_trip },
		{ "sizes are exact", test_sizes_are_exact },
		{ "bad records are refused", test_bad_records_are_refused },
		{ "bad incarnation is refused",
		  test_bad_incarnation_is_refused },
		{ "bad headers are refused", test_bad_headers_are_refused },
		{ "truncated datagrams are refused",
		  test_truncated_datagrams_are_refused },
		{ "long datagrams are refused",
		  test_long_datagrams_are_refused },
		{ "mutations", test_mutations },
		CU_TEST_INFO_NULL,
	};

	return scr_run_suite("membership codec", tests);
}
