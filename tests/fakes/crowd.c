/*
 * crowd: callers that send requests which they never complete, or do not read
 * the answers, and keep their connections open.
 *
 *	crowd MODE ADDRESS PORT COUNT
 *
 * Opens COUNT connections, sends on each what MODE says for as long as the
 * server takes it, and prints "holding N" when nothing could be sent for
 * QUIET_MS, or after LONGEST_MS; N is the number of connections that are still
 * open. It goes on until it is killed, or for HOLD_S seconds. MODE is one of
 *   short-body  all but the last byte of a body of 64 kB
 *   announced   a body without end, announced with 8 GB
 *   chunk       a body without end in one chunk
 *   chunks      a body without end in chunks of one byte
 *   head        a head that is not completed
 *   answers     16 requests for answers of 500 kB, which are not read
 *   headers     the same, each with as many header lines as a head may hold
 *   pipelined   a request for an answer of 500 kB and a body behind it
 *   leave       a head that announces a body of 8 GB; hangs up when answered
 *   hop-body    short-body with the headers of a call between nodes
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>
#include <glib.h>

#define COUNT_MAX 5000
#define HOLD_S 120U
#define CONNECT_PAUSE_US 1000
#define QUIET_MS 1500
#define LONGEST_MS 10000
#define SPARE_FILES 64U /* descriptors that are not connections */
#define PIPELINE 16
#define BODY_BYTES 65536
#define PART_BYTES 65536
#define HEADER_LINES 4000 /* of 4 bytes; a head may have 16 kB */
/* Unread bytes that the kernel keeps for a caller; it doubles the number. */
#define RECEIVE_BYTES 4096

struct plan {
	GString *start;	 /* sent once */
	GString *part;	 /* sent again and again; empty: nothing */
	bool is_leaving; /* hangs up when an answer arrives */
};

struct caller {
	size_t start_sent;
	size_t part_sent;
};

static const char post_head[] = "POST /photos HTTP/1.1\r\nHost: shop\r\n";

static void add_body_start(struct plan *plan, const char *headers)
{
	char *body = g_strnfill(BODY_BYTES - 1, 'b');

	g_string_append_printf(plan->start, "%s%sContent-Length: %d\r\n\r\n%s",
			       post_head, headers, BODY_BYTES, body);
	g_free(body);
}

static void add_requests(struct plan *plan, int count, int header_lines)
{
	for (int i = 0; i < count; i++) {
		g_string_append(plan->start,
				"GET /photos?bytes=500000 "
				"HTTP/1.1\r\nHost: shop\r\n");
		for (int line = 0; line < header_lines; line++)
			g_string_append(plan->start, "a:\r\n");
		g_string_append(plan->start, "\r\n");
	}
}

static void fill_part(struct plan *plan, const char *text)
{
	while (plan->part->len < PART_BYTES)
		g_string_append(plan->part, text);
}

static bool make_plan(struct plan *plan, const char *mode)
{
	plan->start = g_string_new(NULL);
	plan->part = g_string_new(NULL);
	if (strcmp(mode, "short-body") == 0) {
		add_body_start(plan, "");
	} else if (strcmp(mode, "hop-body") == 0) {
		add_body_start(plan,
			       "Loom-Service: shop\r\nLoom-Version: v1\r\n"
			       "Loom-Deadline-Ms: 600000\r\n");
	} else if (strcmp(mode, "announced") == 0) {
		g_string_append_printf(plan->start,
				       "%sContent-Length: 8000000000\r\n\r\n",
				       post_head);
		fill_part(plan, "b");
	} else if (strcmp(mode, "leave") == 0) {
		g_string_append_printf(plan->start,
				       "%sContent-Length: 8000000000\r\n\r\n",
				       post_head);
		plan->is_leaving = true;
	} else if (strcmp(mode, "chunk") == 0) {
		g_string_append_printf(
			plan->start,
			"%sTransfer-Encoding: chunked\r\n\r\nffffffff\r\n",
			post_head);
		fill_part(plan, "b");
	} else if (strcmp(mode, "chunks") == 0) {
		g_string_append_printf(plan->start,
				       "%sTransfer-Encoding: chunked\r\n\r\n",
				       post_head);
		fill_part(plan, "1\r\nb\r\n");
	} else if (strcmp(mode, "head") == 0) {
		g_string_append_printf(plan->start, "%sX-Slow: ", post_head);
	} else if (strcmp(mode, "answers") == 0) {
		add_requests(plan, PIPELINE, 0);
	} else if (strcmp(mode, "headers") == 0) {
		add_requests(plan, PIPELINE, HEADER_LINES);
	} else if (strcmp(mode, "pipelined") == 0) {
		add_requests(plan, 1, 0);
		g_string_append_printf(plan->start,
				       "%sContent-Length: 1000000\r\n\r\n",
				       post_head);
		fill_part(plan, "b");
	} else {
		return false;
	}
	return true;
}

/* Returns a connected socket, or -1. */
static int open_caller(const struct sockaddr_in *address)
{
	int size = RECEIVE_BYTES;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	if (connect(fd, (const struct sockaddr *)address, sizeof(*address)) !=
	    0) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

/* Sends up to one part. Returns the number of bytes, -1: closed. */
static ssize_t send_part(const struct plan *plan, struct caller *caller, int fd)
{
	const GString *bytes = plan->start;
	size_t *sent = &caller->start_sent;
	ssize_t count;

	if (*sent == bytes->len) {
		bytes = plan->part;
		sent = &caller->part_sent;
	}
	if (bytes->len == 0)
		return 0;
	count = send(fd, bytes->str + *sent, bytes->len - *sent, MSG_NOSIGNAL);
	if (count < 0)
		return errno == EAGAIN ? 0 : -1;
	*sent += (size_t)count;
	if (sent == &caller->part_sent)
		*sent %= bytes->len;
	return count;
}

static bool is_done(const struct plan *plan, const struct caller *caller)
{
	return caller->start_sent == plan->start->len && plan->part->len == 0;
}

/* Advances a caller whose socket is ready. Returns whether it progressed. */
static bool advance_caller(const struct plan *plan, struct caller *caller,
			   struct pollfd *entry)
{
	ssize_t count = 0;

	if (entry->revents & POLLOUT)
		count = send_part(plan, caller, entry->fd);
	if (count < 0 || (entry->revents & (POLLERR | POLLHUP | POLLIN))) {
		close(entry->fd);
		entry->fd = -1;
		return true;
	}
	if (is_done(plan, caller))
		entry->events = plan->is_leaving ? POLLIN : 0;
	return count > 0;
}

static int count_open(const struct pollfd *entries, int count)
{
	int open_count = 0;

	for (int i = 0; i < count; i++)
		open_count += entries[i].fd >= 0;
	return open_count;
}

static bool is_over(gint64 start_us, gint64 quiet_us)
{
	gint64 now_us = g_get_monotonic_time();

	return now_us - quiet_us >= QUIET_MS * G_TIME_SPAN_MILLISECOND ||
	       now_us - start_us >= LONGEST_MS * G_TIME_SPAN_MILLISECOND;
}

static void run(const struct plan *plan, const struct sockaddr_in *address,
		int count)
{
	struct pollfd *entries = g_new0(struct pollfd, (gsize)count);
	struct caller *callers = g_new0(struct caller, (gsize)count);
	gint64 start_us = g_get_monotonic_time();
	gint64 quiet_us = start_us;
	bool is_told = false;

	for (int i = 0; i < count; i++) {
		entries[i].fd = open_caller(address);
		entries[i].events = POLLOUT;
		/* A server that reads it meanwhile has no idle connection. */
		if (entries[i].fd >= 0)
			send_part(plan, &callers[i], entries[i].fd);
		g_usleep(CONNECT_PAUSE_US);
	}
	for (;;) {
		bool has_progress = false;

		poll(entries, (nfds_t)count, 100);
		for (int i = 0; i < count; i++) {
			if (entries[i].fd >= 0 && entries[i].revents)
				has_progress |= advance_caller(
					plan, &callers[i], &entries[i]);
		}
		if (has_progress)
			quiet_us = g_get_monotonic_time();
		if (is_told || !is_over(start_us, quiet_us))
			continue;
		printf("holding %d\n", count_open(entries, count));
		fflush(stdout);
		is_told = true;
	}
}

int main(int argc, char **argv)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	int count = argc == 5 ? atoi(argv[4]) : 0;
	struct rlimit limit;
	struct plan plan = { 0 };

	if (count < 1 || count > COUNT_MAX || !make_plan(&plan, argv[1]) ||
	    inet_pton(AF_INET, argv[2], &address.sin_addr) != 1) {
		fprintf(stderr,
			"Usage: crowd MODE ADDRESS PORT COUNT\n"
			"COUNT is 1 to %d\n",
			COUNT_MAX);
		return EXIT_FAILURE;
	}
	address.sin_port = htons((uint16_t)atoi(argv[3]));
	if (getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
	    limit.rlim_cur < (rlim_t)count + SPARE_FILES) {
		limit.rlim_cur =
			MIN((rlim_t)count + SPARE_FILES, limit.rlim_max);
		setrlimit(RLIMIT_NOFILE, &limit);
	}
	alarm(HOLD_S);
	run(&plan, &address, count);
	return EXIT_SUCCESS;
}
