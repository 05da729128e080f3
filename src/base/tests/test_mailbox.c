/*
 * Tests of the mailbox. Run under ThreadSanitizer they also show that an item's
 * contents are handed over.
 */
#include <pthread.h>
#include <stdint.h>
#include "loom/mailbox.h"
#include "script.h"

#define WRITER_COUNT 4U
#define ITEMS_PER_WRITER 2000U

struct item {
	uint32_t writer;
	uint32_t number;
};

struct reader {
	struct mbx_mailbox *mailbox;
	uint32_t next_numbers[WRITER_COUNT];
	uint32_t taken;
	uint32_t wake_count;
	bool is_in_order;
};

struct writer {
	struct mbx_mailbox *mailbox;
	pthread_t handle;
	uint32_t index;
};

static uint32_t freed_count;

static void free_item(gpointer item)
{
	g_free(item);
	freed_count++;
}

static struct item *new_item(uint32_t writer, uint32_t number)
{
	struct item *item = g_new0(struct item, 1);

	item->writer = writer;
	item->number = number;
	return item;
}

static void handle_wake(void *data)
{
	struct reader *reader = data;
	struct item *item;

	reader->wake_count++;
	while ((item = mbx_take(reader->mailbox))) {
		if (item->number != reader->next_numbers[item->writer]++)
			reader->is_in_order = false;
		reader->taken++;
		g_free(item);
	}
}

static void *post_items(void *data)
{
	struct writer *writer = data;

	for (uint32_t i = 0; i < ITEMS_PER_WRITER; i++)
		mbx_post(writer->mailbox, new_item(writer->index, i));
	return NULL;
}

static struct mbx_mailbox *open_reader(struct reader *reader,
				       struct tevent_context *events)
{
	*reader = (struct reader){ .is_in_order = true };
	reader->mailbox =
		mbx_new(events, events, handle_wake, free_item, reader);
	CU_ASSERT_PTR_NOT_NULL_FATAL(reader->mailbox);
	return reader->mailbox;
}

/* Every item arrives once, those of one thread in order. */
static void test_threads(void)
{
	struct tevent_context *events = tevent_context_init(NULL);
	struct writer writers[WRITER_COUNT];
	struct reader reader;

	open_reader(&reader, events);
	for (uint32_t i = 0; i < WRITER_COUNT; i++) {
		writers[i] = (struct writer){ .mailbox = reader.mailbox,
					      .index = i };
		CU_ASSERT_EQUAL_FATAL(pthread_create(&writers[i].handle, NULL,
						     post_items, &writers[i]),
				      0);
	}
	while (reader.taken < WRITER_COUNT * ITEMS_PER_WRITER)
		tevent_loop_once(events);
	for (uint32_t i = 0; i < WRITER_COUNT; i++)
		pthread_join(writers[i].handle, NULL);
	CU_ASSERT_TRUE(reader.is_in_order);
	CU_ASSERT_PTR_NULL(mbx_take(reader.mailbox));
	talloc_free(events);
}

/* A wake-up without an item reaches the reader too; several count as one. */
static void test_wake(void)
{
	struct tevent_context *events = tevent_context_init(NULL);
	struct reader reader;

	open_reader(&reader, events);
	mbx_wake(reader.mailbox);
	mbx_wake(reader.mailbox);
	tevent_loop_once(events);
	CU_ASSERT_EQUAL(reader.wake_count, 1);
	CU_ASSERT_EQUAL(reader.taken, 0);
	talloc_free(events);
}

static void test_items_left(void)
{
	struct tevent_context *events = tevent_context_init(NULL);
	struct reader reader;

	freed_count = 0;
	open_reader(&reader, events);
	mbx_post(reader.mailbox, new_item(0, 0));
	mbx_post(reader.mailbox, new_item(0, 1));
	talloc_free(events);
	CU_ASSERT_EQUAL(freed_count, 2);
	CU_ASSERT_EQUAL(reader.taken, 0);
}

int main(void)
{
	static const CU_TestInfo tests[] = {
		{ "threads", test_threads },
		{ "wake-up without an item", test_wake },
		{ "items left when freed", test_items_left },
		CU_TEST_INFO_NULL,
	};

	return scr_run_suite("mailbox", tests);
}
