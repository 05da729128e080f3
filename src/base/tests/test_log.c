/*
 * Tests of the log: standard output is redirected to a file, whose lines are
 * parsed as JSON.
 */
#include <pthread.h>
#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>
#include <jansson.h>
#include "loom/error.h"
#include "loom/log.h"
#include "script.h"

#define THREAD_COUNT 4U
#define LINES_PER_THREAD 200U
#define LONG_MESSAGE_BYTES 20000U
#define SLOW_READER_LINES 20000U /* more than pipe and queue can hold */

struct capture {
	FILE *file;
	int saved_fd;
};

static void begin_capture(struct capture *capture)
{
	fflush(stdout);
	capture->file = tmpfile();
	capture->saved_fd = dup(STDOUT_FILENO);
	CU_ASSERT_FATAL(capture->file && capture->saved_fd >= 0);
	CU_ASSERT_FATAL(dup2(fileno(capture->file), STDOUT_FILENO) >= 0);
}

/*
 * Restores standard output. Returns an array (a new reference) of the lines
 * written since begin_capture(), each parsed.
 */
static json_t *end_capture(struct capture *capture)
{
	json_t *lines = json_array();
	char *line = NULL;
	size_t size = 0;

	fflush(stdout);
	dup2(capture->saved_fd, STDOUT_FILENO);
	close(capture->saved_fd);
	rewind(capture->file);
	while (getline(&line, &size, capture->file) > 0) {
		json_t *parsed = json_loads(line, 0, NULL);

		CU_ASSERT_PTR_NOT_NULL(parsed);
		if (parsed)
			json_array_append_new(lines, parsed);
	}
	free(line);
	fclose(capture->file);
	return lines;
}

static const char *get_text(const json_t *lines, size_t index, const char *name)
{
	const char *text = json_string_value(
		json_object_get(json_array_get(lines, index), name));

	return text ? text : "(absent)";
}

static const char *get_dropped_count(const json_t *line)
{
	const char *count = json_string_value(json_object_get(line, "count"));

	return count ? count : "0";
}

static void test_fields(void)
{
	struct capture capture;
	const char *time;
	json_t *lines;

	begin_capture(&capture);
	log_open("loomtest", LOG_LEVEL_DEBUG);
	log_write(LOG_LEVEL_INFO, "node", "start", "127.0.1.1:80", "is up",
		  "sequence", "7", LOG_END);
	log_write(LOG_LEVEL_WARNING, "node", NULL, NULL, "alone", LOG_END);
	log_close();
	lines = end_capture(&capture);
	CU_ASSERT_EQUAL_FATAL(json_array_size(lines), 2);
	time = get_text(lines, 0, "time");
	CU_ASSERT_TRUE(g_regex_match_simple(
		"^\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d\\.\\d{3}Z$", time,
		0, 0));
	CU_ASSERT_STRING_EQUAL(get_text(lines, 0, "level"), "info");
	CU_ASSERT_STRING_EQUAL(get_text(lines, 0, "program"), "loomtest");
	CU_ASSERT_STRING_EQUAL(get_text(lines, 0, "module"), "node");
	CU_ASSERT_STRING_EQUAL(get_text(lines, 0, "step"), "start");
	CU_ASSERT_STRING_EQUAL(get_text(lines, 0, "peer"), "127.0.1.1:80");
	CU_ASSERT_STRING_EQUAL(get_text(lines, 0, "message"), "is up");
	CU_ASSERT_STRING_EQUAL(get_text(lines, 0, "sequence"), "7");
	CU_ASSERT_STRING_EQUAL(get_text(lines, 1, "step"), "(absent)");
	CU_ASSERT_STRING_EQUAL(get_text(lines, 1, "peer"), "(absent)");
	json_decref(lines);
}

/* Lines below the level are dropped, and so are lines after log_close(). */
static void test_levels(void)
{
	for (int level = LOG_LEVEL_DEBUG; level <= LOG_LEVEL_ERROR; level++) {
		struct capture capture;
		json_t *lines;

		begin_capture(&capture);
		log_open("loomtest", (enum log_level)level);
		for (int i = LOG_LEVEL_DEBUG; i <= LOG_LEVEL_ERROR; i++)
			log_write((enum log_level)i, "node", NULL, NULL, "line",
				  LOG_END);
		log_close();
		log_write(LOG_LEVEL_ERROR, "node", NULL, NULL, "late", LOG_END);
		lines = end_capture(&capture);
		CU_ASSERT_EQUAL(json_array_size(lines),
				(size_t)(LOG_LEVEL_ERROR - level + 1));
		json_decref(lines);
	}
}

static void test_error(void)
{
	struct capture capture;
	GError *error = NULL;
	json_t *lines;

	err_set(&error, ERR_CONFLICT, "put object", "127.0.0.9:9000",
		"got version %d", 3);
	begin_capture(&capture);
	log_open("loomtest", LOG_LEVEL_INFO);
	log_write_error(LOG_LEVEL_ERROR, "platform", error);
	log_close();
	lines = end_capture(&capture);
	CU_ASSERT_EQUAL_FATAL(json_array_size(lines), 1);
	CU_ASSERT_STRING_EQUAL(get_text(lines, 0, "step"), "put object");
	CU_ASSERT_STRING_EQUAL(get_text(lines, 0, "peer"), "127.0.0.9:9000");
	CU_ASSERT_STRING_EQUAL(get_text(lines, 0, "code"), "conflict");
	CU_ASSERT_STRING_EQUAL(get_text(lines, 0, "message"), "got version 3");
	json_decref(lines);
	g_error_free(error);
}

/*
 * Control characters, quotes, invalid UTF-8 and long texts neither break a line
 * into several nor shorten it.
 */
static void test_special_characters(void)
{
	char *long_text = g_strnfill(LONG_MESSAGE_BYTES, 'x');
	struct capture capture;
	json_t *lines;

	begin_capture(&capture);
	log_open("loomtest", LOG_LEVEL_INFO);
	log_write(LOG_LEVEL_INFO, "node", "a\nb", "\x1b[31m", "q\"\r\n\t\x01%s",
		  "name", "{\"x\":1}\n", LOG_END);
	log_write(LOG_LEVEL_INFO, "node", NULL, NULL, "bad \xff\xfe bytes",
		  LOG_END);
	log_write(LOG_LEVEL_INFO, "node", NULL, NULL, long_text, LOG_END);
	log_close();
	lines = end_capture(&capture);
	CU_ASSERT_EQUAL_FATAL(json_array_size(lines), 3);
	CU_ASSERT_STRING_EQUAL(get_text(lines, 0, "step"), "a\nb");
	CU_ASSERT_STRING_EQUAL(get_text(lines, 0, "peer"), "\x1b[31m");
	CU_ASSERT_STRING_EQUAL(get_text(lines, 0, "message"),
			       "q\"\r\n\t\x01%s");
	CU_ASSERT_STRING_EQUAL(get_text(lines, 0, "name"), "{\"x\":1}\n");
	CU_ASSERT_STRING_EQUAL(get_text(lines, 1, "message"),
			       "bad \xef\xbf\xbd\xef\xbf\xbd bytes");
	CU_ASSERT_STRING_EQUAL(get_text(lines, 2, "message"), long_text);
	json_decref(lines);
	g_free(long_text);
}

static void *write_lines(void *data)
{
	const char *name = data;

	for (unsigned int i = 0; i < LINES_PER_THREAD; i++) {
		char number[16];

		g_snprintf(number, sizeof(number), "%s-%u", name, i);
		log_write(LOG_LEVEL_INFO, "node", NULL, NULL, "line", "id",
			  number, LOG_END);
	}
	return NULL;
}

/* Lines of concurrent threads are not mixed, and each thread's keep their
 * order. */
static void test_threads(void)
{
	static const char *const names[THREAD_COUNT] = { "a", "b", "c", "d" };
	unsigned int next[THREAD_COUNT] = { 0 };
	pthread_t threads[THREAD_COUNT];
	struct capture capture;
	json_t *lines;

	begin_capture(&capture);
	log_open("loomtest", LOG_LEVEL_INFO);
	for (size_t i = 0; i < THREAD_COUNT; i++)
		pthread_create(&threads[i], NULL, write_lines,
			       (void *)names[i]);
	for (size_t i = 0; i < THREAD_COUNT; i++)
		pthread_join(threads[i], NULL);
	log_close();
	lines = end_capture(&capture);
	CU_ASSERT_EQUAL(json_array_size(lines),
			(size_t)THREAD_COUNT * LINES_PER_THREAD);
	for (size_t i = 0; i < json_array_size(lines); i++) {
		const char *id = get_text(lines, i, "id");
		size_t thread = (size_t)(id[0] - 'a') % THREAD_COUNT;

		CU_ASSERT_EQUAL(g_ascii_strtoull(id + 2, NULL, 10),
				next[thread]);
		next[thread]++;
	}
	json_decref(lines);
}

/*
 * A full pipe whose reader does not read must not block the writers of log
 * lines; the lines that do not fit are dropped and counted.
 */
static void test_slow_reader(void)
{
	int saved_fd = dup(STDOUT_FILENO);
	uint32_t dropped = 0;
	char *line = NULL;
	size_t size = 0;
	int ends[2];
	FILE *reader;

	signal(SIGPIPE, SIG_IGN);
	CU_ASSERT_EQUAL_FATAL(pipe(ends), 0);
	fflush(stdout);
	dup2(ends[1], STDOUT_FILENO);
	close(ends[1]);
	log_open("loomtest", LOG_LEVEL_INFO);
	for (uint32_t i = 0; i < SLOW_READER_LINES; i++)
		log_write(LOG_LEVEL_INFO, "node", NULL, NULL, "line", LOG_END);
	reader = fdopen(ends[0], "r");
	while (dropped == 0 && getline(&line, &size, reader) > 0) {
		json_t *parsed = json_loads(line, 0, NULL);

		CU_ASSERT_PTR_NOT_NULL(parsed);
		dropped = (uint32_t)g_ascii_strtoull(get_dropped_count(parsed),
						     NULL, 10);
		json_decref(parsed);
		/* The writer reports dropped lines after the next line. */
		log_write(LOG_LEVEL_INFO, "node", NULL, NULL, "line", LOG_END);
	}
	CU_ASSERT_TRUE(dropped > 0);
	CU_ASSERT_TRUE(dropped < SLOW_READER_LINES);
	/* log_close() must return although the reader has closed the pipe. */
	fclose(reader);
	log_close();
	dup2(saved_fd, STDOUT_FILENO);
	close(saved_fd);
	free(line);
}

int main(void)
{
	static const CU_TestInfo tests[] = {
		{ "fields", test_fields },
		{ "levels", test_levels },
		{ "errors", test_error },
		{ "control characters and invalid UTF-8",
		  test_special_characters },
		{ "threads", test_threads },
		{ "reader that does not read", test_slow_reader },
		CU_TEST_INFO_NULL,
	};

	return scr_run_suite("log", tests);
}
