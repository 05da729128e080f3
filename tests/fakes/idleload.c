/*
 * idleload: keeps many connections open that are idle or send a request header
 * slowly.
 *
 *	idleload ADDRESS PORT COUNT SECONDS
 *
 * Opens COUNT connections to a server. Every tenth sends one byte of a header
 * per second; the others send nothing. It prints "open N", the number of
 * connections that could be opened, and exits after SECONDS.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>
#include <glib.h>

#define COUNT_MAX 10000
#define SECONDS_MAX 60
#define SPARE_FILES 64U /* descriptors that are not connections */
#define SLOW_EVERY 10	/* one of so many sends a slow header */

static const char slow_header[] =
	"GET /stock HTTP/1.1\r\nHost: shop\r\nX-Slow: ";

/* Raises the soft limit of open files; returns how many sockets it allows. */
static int raise_file_limit(int count)
{
	struct rlimit limit;
	rlim_t wanted = (rlim_t)count + SPARE_FILES;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
		return 0;
	if (limit.rlim_cur < wanted) {
		limit.rlim_cur = MIN(wanted, limit.rlim_max);
		if (setrlimit(RLIMIT_NOFILE, &limit) != 0)
			return 0;
	}
	if (limit.rlim_cur <= SPARE_FILES)
		return 0;
	return (int)MIN((rlim_t)count, limit.rlim_cur - SPARE_FILES);
}

/* Stores the connected sockets in sockets and returns their number. */
static int open_connections(const struct sockaddr_in *address, int count,
			    int *sockets)
{
	int open_count = 0;

	for (int i = 0; i < count; i++) {
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

		if (fd < 0)
			break;
		if (connect(fd, (const struct sockaddr *)address,
			    sizeof(*address)) == 0)
			sockets[open_count++] = fd;
		else
			close(fd);
	}
	return open_count;
}

static void send_slow_bytes(const int *sockets, int count, int second)
{
	size_t index = (size_t)second;
	const char *byte =
		index < strlen(slow_header) ? &slow_header[index] : "x";

	for (int i = 0; i < count; i += SLOW_EVERY) {
		/* A server may close such a connection. */
		if (send(sockets[i], byte, 1, MSG_NOSIGNAL | MSG_DONTWAIT) < 0)
			continue;
	}
}

static int run(const struct sockaddr_in *address, int count, int seconds)
{
	int *sockets = g_new0(int, count);
	int open_count = open_connections(address, count, sockets);

	printf("open %d\n", open_count);
	fflush(stdout);
	for (int second = 0; second < seconds; second++) {
		send_slow_bytes(sockets, open_count, second);
		sleep(1);
	}
	for (int i = 0; i < open_count; i++)
		close(sockets[i]);
	g_free(sockets);
	return open_count > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int main(int argc, char **argv)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	int count = argc == 5 ? atoi(argv[3]) : 0;
	int seconds = argc == 5 ? atoi(argv[4]) : 0;
	int allowed;

	if (count < 1 || count > COUNT_MAX || seconds < 1 ||
	    seconds > SECONDS_MAX ||
	    inet_pton(AF_INET, argv[1], &address.sin_addr) != 1) {
		fprintf(stderr,
			"Usage: idleload ADDRESS PORT COUNT SECONDS\n"
			"COUNT is 1 to %d, SECONDS is 1 to %d\n",
			COUNT_MAX, SECONDS_MAX);
		return EXIT_FAILURE;
	}
	address.sin_port = htons((uint16_t)atoi(argv[2]));
	allowed = raise_file_limit(count);
	if (allowed < count)
		fprintf(stderr,
			"idleload: the limit of open files allows only %d of "
			"%d "
			"connections\n",
			allowed, count);
	return run(&address, allowed, seconds);
}
