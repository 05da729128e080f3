/*
 * JSON-lines log on a log4c category with one stream appender.
 *
 * The line is composed by jansson before it reaches log4c; layout and appender
 * pass it on unchanged, since log4c's own stream appender puts its name in
 * front, which is not JSON. log4c contributes the levels. It cannot be
 * initialized again after log4c_fini(), so it is initialized once a process and
 * its state is kept after log_close().
 *
 * Lines go through a bounded queue to a thread that writes them, so that nobody
 * waits for a reader of the log that is slow or gone. What does not fit is
 * counted and told of in a line of its own.
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
/* Lines that wait: some seconds of a busy node. */
#define LOG_QUEUE_LINES 4096
/* Lines are gathered so long, to be written together. */
#define LOG_GATHER_US 50000
/* A write of so many bytes to a pipe that polls writable does not wait. */
#define LOG_CHUNK_BYTES 4096U
/* How long the end of the process waits for a reader of the log. */
#define LOG_CLOSE_TRIES 10
#define LOG_POLL_MS 100

static const char *log_program = "loom";
static log4c_category_t *log_category;

static GQueue log_queue = G_QUEUE_INIT; /* of lines, under log_lock */
static pthread_mutex_t log_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t log_filled = PTHREAD_COND_INITIALIZER;
static pthread_t log_writer;
static _Atomic bool is_log_closing;
static _Atomic uint32_t log_dropped;

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
	pthread_cond_signal(&log_filled);
	pthread_mutex_unlock(&log_lock);
}

/* Returns the next line (stolen); NULL when there is none and is_waiting not
 * set. */
static char *pop_line(bool is_waiting)
{
	char *line;

	pthread_mutex_lock(&log_lock);
	while (is_waiting && g_queue_is_empty(&log_queue))
		pthread_cond_wait(&log_filled, &log_lock);
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
		atomic_fetch_add(&log_dropped, 1);
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

/* Bytes that are not UTF-8 are replaced, since JSON cannot hold them. */
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
	char whole[LOG_TIME_SIZE];
	struct timespec now;
	struct tm parts;

	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &parts);
	strftime(whole, sizeof(whole), "%Y-%m-%dT%H:%M:%S", &parts);
	g_snprintf(text, sizeof(text), "%s.%03uZ", whole,
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

static bool is_level_open(enum log_level level)
{
	return log_category && log4c_category_is_priority_enabled(
				       log_category, get_priority(level));
}

/* Writes text whole, or drops its rest when the log ends and nobody reads. */
static void write_text(const char *text, size_t size)
{
	int tries = 0;

	while (size > 0) {
		struct pollfd ready = { .fd = STDOUT_FILENO,
					.events = POLLOUT };
		ssize_t count = 0;

		if (poll(&ready, 1, LOG_POLL_MS) > 0)
			count = write(STDOUT_FILENO, text,
				      MIN(size, LOG_CHUNK_BYTES));
		if (count < 0 || (ready.revents & (POLLERR | POLLNVAL)))
			return;
		if (count == 0 && is_log_closing && ++tries > LOG_CLOSE_TRIES)
			return;
		text += count;
		size -= (size_t)count;
	}
}

static void add_dropped(GString *text)
{
	uint32_t dropped = atomic_exchange(&log_dropped, 0);

	if (dropped > 0)
		g_string_append_printf(
			text,
			"{\"level\":\"warning\",\"program\":\"%s\","
			"\"module\":\"log\",\"message\":\"lines left out\","
			"\"count\":\"%u\"}\n",
			log_program, dropped);
}

/* Ends on an empty line, which log_close() pushes last. */
static void *run_writer(void *data)
{
	GString *text = g_string_new(NULL);
	bool is_over = false;

	while (!is_over) {
		char *line = pop_line(true);

		if (!is_log_closing)
			g_usleep(LOG_GATHER_US);
		g_string_truncate(text, 0);
		for (; line; line = pop_line(false)) {
			is_over = is_over || !*line;
			g_string_append(text, line);
			g_free(line);
		}
		add_dropped(text);
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

	if (!is_level_open(level))
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

	if (!is_level_open(level))
		return;
	line = make_line(level, module, err_get_step(error),
			 err_get_peer(error), error->message);
	if (error->domain == ERR_DOMAIN)
		set_text(line, "code",
			 err_get_code_name((enum err_code)error->code));
	write_line(level, line);
}
