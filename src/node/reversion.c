/*
 * Tells what a store has lost from what was changed in it.
 *
 * Invariant: the era of a record is at most that of the last state. A record of
 * an older era is one on which the store disagrees: it is in force and the
 * store lacks it, or it was removed or replaced and the store shows it.
 */
#include "reversion.h"

#include <string.h>
#include <glib.h>

/* One order of a name, as the store listed it. */
struct order {
	char *label;
	uint64_t created;
	uint64_t revision;
	uint64_t known_ms; /* when it was listed first; 0: long ago */
};

struct record {
	struct order orders[ND_ORDERS_MAX]; /* the latest one first */
	size_t count;			    /* at least 1 */
	bool is_present; /* the first one is in force; the others never are */
	bool is_listed;	 /* in the state that is being merged */
	uint64_t era;	 /* in which the store last agreed */
	uint64_t changed_ms;
	uint64_t lost_until_ms; /* while the era is older: until when the last
				   change may be one that the store lost */
};

struct nd_reversion {
	GHashTable *records; /* maps a name to its struct record */
	bool has_state;	     /* a state was merged before the present one */
	uint64_t era;
	uint64_t begin_ms; /* when the era rose; 0: it has not risen */
	uint64_t now_ms;   /* time of the last state */
};

static void free_record(gpointer data)
{
	struct record *record = data;

	for (size_t i = 0; i < record->count; i++)
		g_free(record->orders[i].label);
	g_free(record);
}

static int destroy_reversion(struct nd_reversion *reversion)
{
	g_hash_table_destroy(reversion->records);
	return 0;
}

struct nd_reversion *nd_new_reversion(TALLOC_CTX *ctx)
{
	struct nd_reversion *reversion = talloc_zero(ctx, struct nd_reversion);

	reversion->records = g_hash_table_new_full(g_str_hash, g_str_equal,
						   g_free, free_record);
	talloc_set_destructor(reversion, destroy_reversion);
	return reversion;
}

static const char *get_label(const struct record *record)
{
	return record->orders[0].label;
}

/* Returns the label before the present one (borrowed), or NULL. */
static const char *find_former(const struct record *record)
{
	for (size_t i = 1; i < record->count; i++) {
		if (strcmp(record->orders[i].label, get_label(record)) != 0)
			return record->orders[i].label;
	}
	return NULL;
}

static struct record *add_record(struct nd_reversion *reversion,
				 const char *name)
{
	struct record *record = g_new0(struct record, 1);

	record->era = reversion->era;
	record->changed_ms = reversion->now_ms;
	g_hash_table_replace(reversion->records, g_strdup(name), record);
	return record;
}

/* Puts an order before the others and forgets the oldest one if needed. */
static void add_order(struct record *record, const struct order *order)
{
	if (record->count == ND_ORDERS_MAX)
		g_free(record->orders[--record->count].label);
	memmove(record->orders + 1, record->orders,
		record->count * sizeof(*record->orders));
	record->orders[0] = *order;
	record->orders[0].label = g_strdup(order->label);
	record->count++;
}

static bool is_same_order(const struct order *order, const struct nd_item *item)
{
	return order->created == item->created &&
	       strcmp(order->label, item->label) == 0;
}

/* Puts the order that is in force first, and updates its revision. */
static void record_order(struct nd_reversion *reversion, struct record *record,
			 const struct nd_item *item)
{
	const struct order order = {
		.label = (char *)item->label,
		.created = item->created,
		/* Most items of the first state are older than this node. */
		.known_ms = reversion->has_state ? reversion->now_ms : 0,
	};

	if (record->count == 0 || !is_same_order(&record->orders[0], item))
		add_order(record, &order);
	record->orders[0].revision = item->revision;
}

/* Returns whether the last change of a record may be one that the store lost.
 */
static bool may_be_lost(const struct nd_reversion *reversion,
			const struct record *record)
{
	return record->era < reversion->era &&
	       reversion->now_ms < record->lost_until_ms;
}

static bool is_in_copy(const struct nd_reversion *reversion,
		       const struct order *order)
{
	return order->known_ms + ND_COPY_AGE_MS_MAX <= reversion->begin_ms;
}

/*
 * Returns whether a listed item is one that was removed or replaced before the
 * store returned.
 */
static bool is_reverted(const struct nd_reversion *reversion,
			const struct record *record, const struct nd_item *item)
{
	size_t i = record->is_present ? 1 : 0;

	if (item->created == 0 || !may_be_lost(reversion, record))
		return false;
	if (record->is_present && strcmp(get_label(record), item->label) == 0)
		return false;
	for (; i < record->count; i++) {
		const struct order *order = &record->orders[i];

		if (is_same_order(order, item) &&
		    item->revision <= order->revision)
			return is_in_copy(reversion, order);
	}
	return false;
}

static enum nd_verdict judge_item(struct nd_reversion *reversion,
				  const struct nd_item *item)
{
	struct record *record =
		g_hash_table_lookup(reversion->records, item->name);
	enum nd_verdict verdict = ND_ITEM_TAKE;
	bool is_in_force;

	if (!record)
		record = add_record(reversion, item->name);
	record->is_listed = true;
	if (is_reverted(reversion, record, item))
		return ND_ITEM_REVERTED;
	is_in_force = record->is_present &&
		      strcmp(get_label(record), item->label) == 0;
	if (is_in_force && record->era < reversion->era &&
	    record->lost_until_ms > 0)
		verdict = ND_ITEM_AGAIN;
	if (!is_in_force)
		record->changed_ms = reversion->now_ms;
	record_order(reversion, record, item);
	record->is_present = true;
	record->era = reversion->era;
	return verdict;
}

/* Handles a record that is not in the state; returns whether to drop it. */
static gboolean judge_missing(gpointer name, gpointer value, gpointer data)
{
	struct record *record = value;
	const struct nd_reversion *reversion = data;

	if (record->is_listed) {
		record->is_listed = false;
		return FALSE;
	}
	if (record->is_present && may_be_lost(reversion, record))
		return FALSE;
	if (record->is_present)
		record->changed_ms = reversion->now_ms;
	record->is_present = false;
	record->era = reversion->era;
	return record->changed_ms + ND_LOSS_MS_MAX + ND_REVERSION_MS_MAX <
	       reversion->now_ms;
}

/*
 * Records for each change whether the store may have lost it. One that the
 * store already lacked before has been lost with an earlier era.
 */
static void begin_era(struct nd_reversion *reversion, uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	reversion->begin_ms = now_ms;
	g_hash_table_iter_init(&iter, reversion->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct record *record = value;

		if (record->era < reversion->era)
			continue;
		record->lost_until_ms =
			record->changed_ms + ND_LOSS_MS_MAX >= now_ms
				? now_ms + ND_REVERSION_MS_MAX
				: 0;
	}
}

void nd_merge_items(struct nd_reversion *reversion, const struct nd_item *items,
		    size_t count, uint64_t era, uint64_t now_ms,
		    enum nd_verdict *verdicts)
{
	if (era > reversion->era)
		begin_era(reversion, now_ms);
	reversion->era = era;
	reversion->now_ms = now_ms;
	for (size_t i = 0; i < count; i++)
		verdicts[i] = judge_item(reversion, &items[i]);
	g_hash_table_foreach_remove(reversion->records, judge_missing,
				    reversion);
	reversion->has_state = true;
}

void nd_confirm_items(struct nd_reversion *reversion, uint64_t era)
{
	GHashTableIter iter;
	gpointer value;

	if (era != reversion->era)
		return;
	g_hash_table_iter_init(&iter, reversion->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct record *record = value;

		record->era = era;
	}
}

bool nd_is_item_present(const struct nd_reversion *reversion, const char *name)
{
	const struct record *record =
		g_hash_table_lookup(reversion->records, name);

	return record && record->is_present;
}

bool nd_find_item(const struct nd_reversion *reversion, const char *name,
		  struct nd_item *item)
{
	const struct record *record =
		g_hash_table_lookup(reversion->records, name);

	if (!record || !record->is_present)
		return false;
	*item = (struct nd_item){
		.name = name,
		.label = get_label(record),
		.created = record->orders[0].created,
		.revision = record->orders[0].revision,
	};
	return true;
}

const char **nd_list_items(const struct nd_reversion *reversion,
			   TALLOC_CTX *ctx)
{
	const char **names = talloc_zero_array(
		ctx, const char *, g_hash_table_size(reversion->records) + 1);
	GHashTableIter iter;
	gpointer name;
	gpointer value;
	size_t count = 0;

	g_hash_table_iter_init(&iter, reversion->records);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const struct record *record = value;

		if (record->is_present)
			names[count++] = name;
	}
	return names;
}

static json_t *format_orders(const struct nd_reversion *reversion,
			     const struct record *record)
{
	json_t *orders = json_array();

	for (size_t i = 0; i < record->count; i++) {
		const struct order *order = &record->orders[i];

		json_array_append_new(
			orders, json_pack("[s,I,I,b]", order->label,
					  (json_int_t)order->created,
					  (json_int_t)order->revision,
					  (int)is_in_copy(reversion, order)));
	}
	return orders;
}

json_t *nd_format_reversion(const struct nd_reversion *reversion,
			    uint64_t now_ms)
{
	json_t *items = json_array();
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, reversion->records);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const struct record *record = value;

		if (record->era == reversion->era)
			continue;
		json_array_append_new(
			items, json_pack("{s:s,s:s,s:s*,s:b,s:o}", "name", name,
					 "label", get_label(record), "former",
					 find_former(record), "is_present",
					 (int)record->is_present, "orders",
					 format_orders(reversion, record)));
	}
	if (json_array_size(items) == 0) {
		json_decref(items);
		return NULL;
	}
	return json_pack("{s:I,s:o}", "age_ms",
			 (json_int_t)(now_ms - reversion->begin_ms), "items",
			 items);
}

/* Reads the orders of an item; the latest one is the last that is added. */
static void read_orders(const struct nd_reversion *reversion,
			struct record *record, const json_t *orders)
{
	size_t i = MIN(json_array_size(orders), ND_ORDERS_MAX);

	while (i-- > 0) {
		const json_t *value = json_array_get(orders, i);
		const char *label = json_string_value(json_array_get(value, 0));
		json_int_t created =
			json_integer_value(json_array_get(value, 1));
		json_int_t revision =
			json_integer_value(json_array_get(value, 2));
		const struct order order = {
			.label = (char *)label,
			.created = (uint64_t)created,
			.revision = (uint64_t)revision,
			.known_ms = json_is_true(json_array_get(value, 3))
					    ? 0
					    : reversion->begin_ms,
		};

		if (label && created >= 0 && revision >= 0)
			add_order(record, &order);
	}
}

static void read_item(struct nd_reversion *reversion, const json_t *item)
{
	const char *name = json_string_value(json_object_get(item, "name"));
	const char *label = json_string_value(json_object_get(item, "label"));
	const struct order order = { .label = (char *)label };
	struct record *record;

	if (!name || !label)
		return;
	record = add_record(reversion, name);
	read_orders(reversion, record, json_object_get(item, "orders"));
	if (record->count == 0 || strcmp(get_label(record), label) != 0)
		add_order(record, &order);
	record->is_present = json_is_true(json_object_get(item, "is_present"));
	record->era = reversion->era - 1;
	record->changed_ms = reversion->begin_ms;
	record->lost_until_ms = reversion->begin_ms + ND_REVERSION_MS_MAX;
}

void nd_read_reversion(struct nd_reversion *reversion, const json_t *value,
		       uint64_t now_ms)
{
	json_int_t age_ms =
		json_integer_value(json_object_get(value, "age_ms"));
	const json_t *item;
	size_t i;

	if (reversion->era == 0 || age_ms < 0)
		return;
	reversion->begin_ms = now_ms - MIN((uint64_t)age_ms, now_ms);
	json_array_foreach(json_object_get(value, "items"), i, item)
	{
		read_item(reversion, item);
	}
}
