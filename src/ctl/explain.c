/*
 * Command explain: what the logs of the nodes say of one request.
 *
 * Logs are lines of JSON, each behind any prefix, such as a time and the name
 * of the vm that a log collector puts in front. The request's own lines are
 * printed in order of time, together with what its nodes noted shortly before:
 * a configuration, a target that left, a dependency that was lost.
 */
#include "ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LINE_BYTES_MAX 65536U
#define LINES_MAX 2000000U
/* Beliefs of a node that are this old may still explain what it did. */
#define BEFORE_MS 5000

struct entry {
	char *source; /* the prefix' last word: which vm wrote it; or "" */
	json_t *line;
	int64_t time_ms;
	bool is_own; /* it names the request */
	size_t place;
};

struct logs {
	GArray *entries; /* struct entry */
	const char *id;
};

static const char *get_text(const json_t *line, const char *name)
{
	const char *text = json_string_value(json_object_get(line, name));

	return text ? text : "";
}

static int64_t get_time_ms(const json_t *line)
{
	GDateTime *time =
		g_date_time_new_from_iso8601(get_text(line, "time"), NULL);
	int64_t time_ms = 0;

	if (!time)
		return 0;
	time_ms = g_date_time_to_unix(time) * 1000 +
		  g_date_time_get_microsecond(time) / 1000;
	g_date_time_unref(time);
	return time_ms;
}

/* Returns the last word before the JSON, "" when there is none (new). */
static char *copy_source(const char *text, const char *json)
{
	char *prefix = g_strstrip(g_strndup(text, (gsize)(json - text)));
	const char *space = strrchr(prefix, ' ');
	char *source = g_strdup(space ? space + 1 : prefix);

	g_free(prefix);
	return source;
}

static void take_line(struct logs *logs, const char *text)
{
	const char *json = strchr(text, '{');
	json_t *line = json ? json_loads(json, 0, NULL) : NULL;
	struct entry entry = { 0 };

	if (!line || logs->entries->len >= LINES_MAX) {
		json_decref(line);
		return;
	}
	entry.source = copy_source(text, json);
	entry.line = line;
	entry.time_ms = get_time_ms(line);
	entry.is_own = strcmp(get_text(line, "request"), logs->id) == 0;
	entry.place = logs->entries->len;
	g_array_append_val(logs->entries, entry);
}

static void read_file(struct logs *logs, FILE *file)
{
	char *text = malloc(LINE_BYTES_MAX);

	while (fgets(text, LINE_BYTES_MAX, file))
		take_line(logs, text);
	free(text);
}

static bool read_files(struct logs *logs, const char *const *files, int count)
{
	if (count == 0)
		read_file(logs, stdin);
	for (int i = 0; i < count; i++) {
		FILE *file = fopen(files[i], "r");

		if (!file) {
			fprintf(stderr, "loomctl explain: cannot read %s\n",
				files[i]);
			return false;
		}
		read_file(logs, file);
		fclose(file);
	}
	return true;
}

static gint compare_entries(gconstpointer left, gconstpointer right)
{
	const struct entry *a = left;
	const struct entry *b = right;

	if (a->time_ms != b->time_ms)
		return a->time_ms < b->time_ms ? -1 : 1;
	return (a->place > b->place) - (a->place < b->place);
}

/* Whether a node that wrote of the request wrote this line shortly before. */
static bool is_around(const struct logs *logs, const struct entry *entry)
{
	if (*get_text(entry->line, "request"))
		return false;
	for (guint i = 0; i < logs->entries->len; i++) {
		const struct entry *own =
			&g_array_index(logs->entries, struct entry, i);

		if (own->is_own && strcmp(own->source, entry->source) == 0 &&
		    entry->time_ms <= own->time_ms &&
		    entry->time_ms + BEFORE_MS >= own->time_ms)
			return true;
	}
	return false;
}

static void print_entry(const struct entry *entry)
{
	static const char *const shown[] = { "time",	"level", "program",
					     "module",	"step",	 "message",
					     "request", NULL };
	const char *name;
	json_t *value;

	printf("%s %-24s %s: %s", get_text(entry->line, "time"), entry->source,
	       get_text(entry->line, "step"), get_text(entry->line, "message"));
	json_object_foreach(entry->line, name, value)
	{
		if (!g_strv_contains(shown, name))
			printf(" %s=%s", name,
			       json_string_value(value)
				       ? json_string_value(value)
				       : "");
	}
	putchar('\n');
}

static guint print_entries(struct logs *logs)
{
	guint own_count = 0;

	for (guint i = 0; i < logs->entries->len; i++) {
		struct entry *entry =
			&g_array_index(logs->entries, struct entry, i);

		if (entry->is_own || is_around(logs, entry))
			print_entry(entry);
		own_count += entry->is_own;
	}
	return own_count;
}

static void clear_entry(gpointer data)
{
	struct entry *entry = data;

	g_free(entry->source);
	json_decref(entry->line);
}

enum ctl_exit ctl_explain_request(const char *id, const char *const *files,
				  int file_count)
{
	struct logs logs = { .id = id };
	enum ctl_exit result = CTL_EXIT_FAILED;

	logs.entries = g_array_new(FALSE, FALSE, sizeof(struct entry));
	g_array_set_clear_func(logs.entries, clear_entry);
	if (!read_files(&logs, files, file_count))
		goto out;
	g_array_sort(logs.entries, compare_entries);
	result = CTL_EXIT_OK;
	if (print_entries(&logs) == 0) {
		fprintf(stderr,
			"loomctl explain: no line names request %s: it went "
			"well, or its lines were left out\n",
			id);
		result = CTL_EXIT_NOT_FOUND;
	}
out:
	g_array_free(logs.entries, TRUE);
	return result;
}
