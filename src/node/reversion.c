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

struct record {
	char *label;
	char *former; /* label before; NULL: none */
	bool is_present;
	bool is_listed; /* in the state that is being merged */
	uint64_t era;	/* in which the store last agreed */
	uint64_t changed_ms;
};

struct nd_reversion {
	GHashTable *records; /* maps a name to its struct record */
	uint64_t era;
	uint64_t begin_ms; /* when the era rose; 0: it has not risen */
	uint64_t now_ms;   /* time of the last state */
};

static void free_record(gpointer data)
{
	struct record *record = data;

	g_free(record->label);
	g_free(record->former);
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

static struct record *add_record(struct nd_reversion *reversion,
				 const char *name, const char *label)
{
	struct record *record = g_new0(struct record, 1);

	record->label = g_strdup(label);
	record->is_present = true;
	record->era = reversion->era;
	record->changed_ms = reversion->now_ms;
	g_hash_table_replace(reversion->records, g_strdup(name), record);
	return record;
}

static bool is_recent(const struct nd_reversion *reversion,
		      const struct record *record)
{
	return record->changed_ms + ND_LOSS_MS_MAX >= reversion->begin_ms;
}

/* Returns whether the change of a record may be one that the store lost. */
static bool may_be_lost(const struct nd_reversion *reversion,
			const struct record *record)
{
	return record->era < reversion->era && is_recent(reversion, record) &&
	       reversion->now_ms < reversion->begin_ms + ND_REVERSION_MS_MAX;
}

static bool is_reverted(const struct nd_reversion *reversion,
			const struct record *record, const char *label)
{
	if (!may_be_lost(reversion, record))
		return false;
	if (g_strcmp0(record->former, label) == 0)
		return true;
	return !record->is_present && strcmp(record->label, label) == 0;
}

static void set_record(struct record *record, const char *label,
		       uint64_t now_ms)
{
	if (record->is_present && strcmp(record->label, label) == 0)
		return;
	if (strcmp(record->label, label) != 0) {
		g_free(record->former);
		record->former = record->label;
		record->label = g_strdup(label);
	}
	record->is_present = true;
	record->changed_ms = now_ms;
}

static enum nd_verdict judge_item(struct nd_reversion *reversion,
				  const struct nd_item *item)
{
	struct record *record =
		g_hash_table_lookup(reversion->records, item->name);
	enum nd_verdict verdict = ND_ITEM_TAKE;

	if (!record)
		record = add_record(reversion, item->name, item->label);
	record->is_listed = true;
	if (is_reverted(reversion, record, item->label))
		return ND_ITEM_REVERTED;
	if (record->era < reversion->era && record->is_present &&
	    strcmp(record->label, item->label) == 0 &&
	    is_recent(reversion, record))
		verdict = ND_ITEM_AGAIN;
	set_record(record, item->label, reversion->now_ms);
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

void nd_merge_items(struct nd_reversion *reversion, const struct nd_item *items,
		    size_t count, uint64_t era, uint64_t now_ms,
		    enum nd_verdict *verdicts)
{
	if (era > reversion->era)
		reversion->begin_ms = now_ms;
	reversion->era = era;
	reversion->now_ms = now_ms;
	for (size_t i = 0; i < count; i++)
		verdicts[i] = judge_item(reversion, &items[i]);
	g_hash_table_foreach_remove(reversion->records, judge_missing,
				    reversion);
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
			items,
			json_pack("{s:s,s:s,s:s*,s:b}", "name", name, "label",
				  record->label, "former", record->former,
				  "is_present", (int)record->is_present));
	}
	if (json_array_size(items) == 0) {
		json_decref(items);
		return NULL;
	}
	return json_pack("{s:I,s:o}", "age_ms",
			 (json_int_t)(now_ms - reversion->begin_ms), "items",
			 items);
}

static void read_item(struct nd_reversion *reversion, const json_t *item)
{
	const char *name = json_string_value(json_object_get(item, "name"));
	const char *label = json_string_value(json_object_get(item, "label"));
	const char *former = json_string_value(json_object_get(item, "former"));
	struct record *record;

	if (!name || !label)
		return;
	record = add_record(reversion, name, label);
	record->former = g_strdup(former);
	record->is_present = json_is_true(json_object_get(item, "is_present"));
	record->era = reversion->era - 1;
	record->changed_ms = reversion->begin_ms;
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
