/*
 * JSON-lines log on a log4c category with one appender.
 *
 * jansson formats the line before it reaches log4c. The layout and the appender
 * are custom and pass it on unchanged, since log4c's stream appender puts its
 * name in front of the line, which is not JSON. log4c filters by level. It
 * cannot be initialized again after log4c_fini(), so it is initialized once per
 * process and its state is kept after log_close().
 *
 * Lines go through a bounded queue to a writer thread, so that no caller blocks
 * when the reader of standard output is slow or has stopped. Lines that do not
 * fit into the queue are dropped; a log line reports their count.
 */
#include "loom/log.h"

#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include <jansson.h>
#include <log4c.h>
#include "loom/error.h"

#define LOG_CATEGORY "loom"
#define LOG_TIME_SIZE 40
/* Capacity of the queue: some seconds of log lines of a busy node. */
#define LOG_QUEUE_LINES 4096
/* The writer waits this long after a first line, to write several at once. */
#define LOG_BATCH_DELAY_US 50000
/*
 * A write of at most this size does not block on a pipe that poll() reports as
 * writable.
 */
#define LOG_CHUNK_BYTES 4096U
/* Polls of LOG_POLL_MS for which log_close() waits for a stalled reader. */
#define LOG_CLOSE_POLLS_MAX 10
#define LOG_POLL_MS 100

static const char *log_program = "loom";
static log4c_category_t *log_category;

static GQueue log_queue = G_QUEUE_INIT; /* char *; guarded by log_lock */
static pthread_mutex_t log_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t log_not_empty = PTHREAD_COND_INITIALIZER;
static pthread_t log_writer;
static _Atomic bool is_log_closing;
static _Atomic uint32_t log_dropped_count;

static const char *format_line(const log4c_layout_t *layout,
			       const log4c_logging_event_t *event)
{
	return event->evt_msg;
}

static const log4c_layout_type_t log_layout_type = {
	.name = "loom_json_line",
	.format = format_line,
};

static void push_line(const char *text)
{
	pthread_mutex_lock(&log_lock);
	g_queue_push_tail(&log_queue, g_strdup(text));
	pthread_cond_signal(&log_not_empty);
	pthread_mutex_unlock(&log_lock);
}

/*
 * Removes and returns the first line, which the caller frees with g_free(). On
 * an empty queue it waits for a line if can_wait is set, else returns NULL.
 */
static char *pop_line(bool can_wait)
{
	char *line;

	pthread_mutex_lock(&log_lock);
	while (can_wait && g_queue_is_empty(&log_queue))
		pthread_cond_wait(&log_not_empty, &log_lock);
	line = g_queue_pop_head(&log_queue);
	pthread_mutex_unlock(&log_lock);
	return line;
}

static bool is_queue_full(void)
{
	bool is_full;

	pthread_mutex_lock(&log_lock);
	is_full = g_queue_get_length(&log_queue) >= LOG_QUEUE_LINES;
	pthread_mutex_unlock(&log_lock);
	return is_full;
}

static int append_line(log4c_appender_t *appender,
		       const log4c_logging_event_t *event)
{
	if (is_queue_full())
		atomic_fetch_add(&log_dropped_count, 1);
	else
		push_line(event->evt_rendered_msg);
	return 0;
}

static const log4c_appender_type_t log_appender_type = {
	.name = "loom_stdout",
	.append = append_line,
};

static int get_priority(enum log_level level)
{
	switch (level) {
	case LOG_LEVEL_DEBUG:
		return LOG4C_PRIORITY_DEBUG;
	case LOG_LEVEL_INFO:
		return LOG4C_PRIORITY_INFO;
	case LOG_LEVEL_WARNING:
		return LOG4C_PRIORITY_WARN;
	case LOG_LEVEL_ERROR:
		return LOG4C_PRIORITY_ERROR;
	}
	return LOG4C_PRIORITY_ERROR;
}

static const char *get_level_name(enum log_level level)
{
	switch (level) {
	case LOG_LEVEL_DEBUG:
		return "debug";
	case LOG_LEVEL_INFO:
		return "info";
	case LOG_LEVEL_WARNING:
		return "warning";
	case LOG_LEVEL_ERROR:
		return "error";
	}
	return "error";
}

/* Replaces invalid UTF-8, which JSON does not allow. Omits empty values. */
static void set_text(json_t *line, const char *name, const char *value)
{
	char *valid;

	if (!value || !*value)
		return;
	valid = g_utf8_make_valid(value, -1);
	json_object_set_new(line, name, json_string(valid));
	g_free(valid);
}

static void set_time(json_t *line)
{
	char text[LOG_TIME_SIZE];
	char seconds[LOG_TIME_SIZE];
	struct timespec now;
	struct tm parts;

	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &parts);
	strftime(seconds, sizeof(seconds), "%Y-%m-%dT%H:%M:%S", &parts);
	g_snprintf(text, sizeof(text), "%s.%03uZ", seconds,
		   (unsigned int)(now.tv_nsec / 1000000));
	set_text(line, "time", text);
}

static json_t *make_line(enum log_level level, const char *module,
			 const char *step, const char *peer,
			 const char *message)
{
	json_t *line = json_object();

	set_time(line);
	set_text(line, "level", get_level_name(level));
	set_text(line, "program", log_program);
	set_text(line, "module", module);
	set_text(line, "step", step);
	set_text(line, "peer", peer);
	set_text(line, "message", message);
	return line;
}

static void write_line(enum log_level level, json_t *line)
{
	char *text = json_dumps(line, JSON_COMPACT | JSON_PRESERVE_ORDER);

	if (text)
		log4c_category_log(log_category, get_priority(level), "%s\n",
				   text);
	free(text);
	json_decref(line);
}

static bool is_level_enabled(enum log_level level)
{
	return log_category && log4c_category_is_priority_enabled(
				       log_category, get_priority(level));
}

/*
 * Writes the whole text. Drops the rest on a write error, or when the log is
 * being closed and the reader does not read.
 */
static void write_text(const char *text, size_t size)
{
	int closing_polls = 0;

	while (size > 0) {
		struct pollfd ready = { .fd = STDOUT_FILENO,
					.events = POLLOUT };
		ssize_t count = 0;

		if (poll(&ready, 1, LOG_POLL_MS) > 0)
			count = write(STDOUT_FILENO, text,
				      MIN(size, LOG_CHUNK_BYTES));
		if (count < 0 || (ready.revents & (POLLERR | POLLNVAL)))
			return;
		if (count == 0 && is_log_closing &&
		    ++closing_polls > LOG_CLOSE_POLLS_MAX)
			return;
		text += count;
		size -= (size_t)count;
	}
}

static void append_dropped_count(GString *text)
{
	uint32_t dropped = atomic_exchange(&log_dropped_count, 0);

	if (dropped > 0)
		g_string_append_printf(
			text,
			"{\"level\":\"warning\",\"program\":\"%s\","
			"\"module\":\"log\",\"message\":\"log lines dropped\","
			"\"count\":\"%u\"}\n",
			log_program, dropped);
}

/* Runs the writer thread, up to the empty line that log_close() pushes. */
static void *run_writer(void *data)
{
	GString *text = g_string_new(NULL);
	bool is_last = false;

	while (!is_last) {
		char *line = pop_line(true);

		if (!is_log_closing)
			g_usleep(LOG_BATCH_DELAY_US);
		g_string_truncate(text, 0);
		for (; line; line = pop_line(false)) {
			is_last = is_last || !*line;
			g_string_append(text, line);
			g_free(line);
		}
		append_dropped_count(text);
		write_text(text->str, text->len);
	}
	g_string_free(text, TRUE);
	return NULL;
}

static log4c_category_t *make_category(void)
{
	log4c_category_t *category;
	log4c_appender_t *appender;
	log4c_layout_t *layout;

	log4c_init();
	log4c_layout_type_set(&log_layout_type);
	log4c_appender_type_set(&log_appender_type);
	layout = log4c_layout_get("loom_json_line");
	log4c_layout_set_type(layout, &log_layout_type);
	appender = log4c_appender_get("loom_stdout");
	log4c_appender_set_type(appender, &log_appender_type);
	log4c_appender_set_layout(appender, layout);
	category = log4c_category_get(LOG_CATEGORY);
	log4c_category_set_appender(category, appender);
	log4c_category_set_additivity(category, 0);
	return category;
}

void log_open(const char *program, enum log_level level)
{
	static log4c_category_t *category;

	log_program = program;
	if (!category)
		category = make_category();
	is_log_closing = false;
	if (pthread_create(&log_writer, NULL, run_writer, NULL) != 0)
		return;
	log4c_category_set_priority(category, get_priority(level));
	log_category = category;
}

void log_set_level(enum log_level level)
{
	if (log_category)
		log4c_category_set_priority(log_category, get_priority(level));
}

void log_close(void)
{
	if (!log_category)
		return;
	log_category = NULL;
	is_log_closing = true;
	push_line("");
	pthread_join(log_writer, NULL);
}

void log_write(enum log_level level, const char *module, const char *step,
	       const char *peer, const char *message, ...)
{
	const char *name;
	json_t *line;
	va_list fields;

	if (!is_level_enabled(level))
		return;
	line = make_line(level, module, step, peer, message);
	va_start(fields, message);
	while ((name = va_arg(fields, const char *)))
		set_text(line, name, va_arg(fields, const char *));
	va_end(fields);
	write_line(level, line);
}

void log_write_error(enum log_level level, const char *module,
		     const GError *error)
{
	json_t *line;

	if (!is_level_enabled(level))
		return;
	line = make_line(level, module, err_get_step(error),
			 err_get_peer(error), error->message);
	if (error->domain == ERR_DOMAIN)
		set_text(line, "code",
			 err_get_code_name((enum err_code)error->code));
	write_line(level, line);
}
