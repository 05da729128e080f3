/*
 * Senders of load reports.
 *
 * A report is used if its sequence number is higher than the highest one of its
 * instance. Two instances are remembered for each target: the one heard last
 * and the one before. The first report of another instance takes the place of
 * the older of the two, so late duplicates of a process that has ended are
 * known by their sequence numbers, while an old instance that really still
 * sends is heard again.
 *
 * Invariants: by_key and the queue hold the same senders, the queue in the
 * order in which they were last heard.
 */
#include "senders.h"

#include <glib.h>
#include "key.h"

/* A sender that was silent for this long is forgotten, with its report. */
#define REPORT_LIFE_MS 2000U

struct instance {
	uint32_t number;
	uint32_t sequence; /* the highest one */
};

struct sender {
	gint64 key;
	char target[INET_ADDRSTRLEN + sizeof(":65535")];
	struct instance current;
	struct instance former;
	bool has_former;
	uint64_t heard_ms;
	GList link; /* of load_senders.queue */
};

struct load_senders {
	GHashTable *by_key;
	GQueue queue;
};

static int destroy_senders(struct load_senders *senders)
{
	g_hash_table_destroy(senders->by_key);
	return 0;
}

struct load_senders *load_new_senders(TALLOC_CTX *ctx)
{
	struct load_senders *senders = talloc_zero(ctx, struct load_senders);

	senders->by_key = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, g_free);
	g_queue_init(&senders->queue);
	talloc_set_destructor(senders, destroy_senders);
	return senders;
}

static void drop_sender(struct load_senders *senders, struct sender *sender)
{
	g_queue_unlink(&senders->queue, &sender->link);
	g_hash_table_remove(senders->by_key, &sender->key);
}

static void drop_silent(struct load_senders *senders, uint64_t now_ms)
{
	struct sender *head;

	while ((head = g_queue_peek_head(&senders->queue)) &&
	       now_ms >= head->heard_ms + REPORT_LIFE_MS)
		drop_sender(senders, head);
}

static struct sender *add_sender(struct load_senders *senders,
				 struct in_addr address,
				 const struct load_report *report, gint64 key)
{
	struct sender *sender = g_new0(struct sender, 1);
	char text[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &address, text, sizeof(text));
	g_snprintf(sender->target, sizeof(sender->target), "%s:%u", text,
		   report->hop_port);
	sender->key = key;
	sender->link.data = sender;
	sender->current.number = report->instance;
	sender->current.sequence = report->sequence;
	g_hash_table_insert(senders->by_key, &sender->key, sender);
	g_queue_push_tail_link(&senders->queue, &sender->link);
	return sender;
}

/* The numbers wrap around after 2^32 reports. */
static bool is_higher(uint32_t sequence, uint32_t than)
{
	return (int32_t)(sequence - than) > 0;
}

/* Returns whether the report is newer than what was heard of its instance. */
static bool update_instances(struct sender *sender,
			     const struct load_report *report)
{
	struct instance heard = { .number = report->instance,
				  .sequence = report->sequence };

	if (report->instance == sender->current.number) {
		if (!is_higher(report->sequence, sender->current.sequence))
			return false;
		sender->current.sequence = report->sequence;
		return true;
	}
	if (sender->has_former && report->instance == sender->former.number &&
	    !is_higher(report->sequence, sender->former.sequence))
		return false;
	sender->former = sender->current;
	sender->has_former = true;
	sender->current = heard;
	return true;
}

struct load_check load_check_report(struct load_senders *senders,
				    struct in_addr address,
				    const struct load_report *report,
				    uint64_t now_ms)
{
	gint64 key = load_get_key(address, report->hop_port);
	struct load_check check = { .verdict = LOAD_VERDICT_NEW };
	struct sender *sender;

	drop_silent(senders, now_ms);
	sender = g_hash_table_lookup(senders->by_key, &key);
	if (!sender) {
		if (load_count_senders(senders) >= LOAD_SENDERS_MAX) {
			check.verdict = LOAD_VERDICT_SURPLUS;
			return check;
		}
		sender = add_sender(senders, address, report, key);
	} else if (!update_instances(sender, report)) {
		check.verdict = LOAD_VERDICT_OUTDATED;
		return check;
	} else {
		check.has_age = true;
		check.age_ms = (uint32_t)(now_ms - sender->heard_ms);
		g_queue_unlink(&senders->queue, &sender->link);
		g_queue_push_tail_link(&senders->queue, &sender->link);
	}
	sender->heard_ms = now_ms;
	check.target = sender->target;
	return check;
}

void load_forget_sender(struct load_senders *senders, struct in_addr address,
			const struct load_report *report)
{
	gint64 key = load_get_key(address, report->hop_port);
	struct sender *sender = g_hash_table_lookup(senders->by_key, &key);

	if (sender)
		drop_sender(senders, sender);
}

uint32_t load_count_senders(const struct load_senders *senders)
{
	return g_hash_table_size(senders->by_key);
}
