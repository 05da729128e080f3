/*
 * Command explain: prints what the logs of the nodes say about one request.
 *
 * Each log line is a JSON object, optionally after a prefix, such as a time and
 * the name of the vm, added by a log collector. The lines that name the request
 * are printed in order of time, together with the lines about no request that
 * the same nodes wrote shortly before: a new configuration, a target that left,
 * a dependency that was lost.
 */
#include "ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LINE_BYTES_MAX 65536U
#define LINES_MAX 2000000U
/*
 * How long before a line about the request a line about no request may be, and
 * still be printed because it may explain what the node did.
 */
#define CONTEXT_MS 5000

struct entry {
	char *source; /* last word of the prefix, which names the vm; or "" */
	json_t *line;
	int64_t time_ms;
	bool is_about_request; /* its member "request" is the given id */
	size_t position;       /* in order of reading; breaks ties of time */
};

struct logs {
	GArray *entries; /* struct entry */
	const char *id;	 /* id of the request */
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

/* Returns the last word before the JSON, or "" when there is none (new). */
static char *copy_source(const char *text, const char *json)
{
	char *prefix = g_strstrip(g_strndup(text, (gsize)(json - text)));
	const char *space = strrchr(prefix, ' ');
	char *source = g_strdup(space ? space + 1 : prefix);

	g_free(prefix);
	return source;
}

/* Ignores lines without JSON, and all lines beyond LINES_MAX. */
static void add_line(struct logs *logs, const char *text)
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
	entry.is_about_request =
		strcmp(get_text(line, "request"), logs->id) == 0;
	entry.position = logs->entries->len;
	g_array_append_val(logs->entries, entry);
}

static void read_file(struct logs *logs, FILE *file)
{
	char *text = malloc(LINE_BYTES_MAX);

	while (fgets(text, LINE_BYTES_MAX, file))
		add_line(logs, text);
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
	return (a->position > b->position) - (a->position < b->position);
}

/*
 * Whether the line is about no request, and its node wrote a line about the
 * request at most CONTEXT_MS later.
 */
static bool is_context(const struct logs *logs, const struct entry *entry)
{
	if (*get_text(entry->line, "request"))
		return false;
	for (guint i = 0; i < logs->entries->len; i++) {
		const struct entry *request_entry =
			&g_array_index(logs->entries, struct entry, i);

		if (request_entry->is_about_request &&
		    strcmp(request_entry->source, entry->source) == 0 &&
		    entry->time_ms <= request_entry->time_ms &&
		    entry->time_ms + CONTEXT_MS >= request_entry->time_ms)
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
	guint request_line_count = 0;

	for (guint i = 0; i < logs->entries->len; i++) {
		struct entry *entry =
			&g_array_index(logs->entries, struct entry, i);

		if (entry->is_about_request || is_context(logs, entry))
			print_entry(entry);
		request_line_count += entry->is_about_request;
	}
	return request_line_count;
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
