/*
 * Stand-in for the way to the store: forwards TCP connections.
 *
 *	proxy ADDRESS PORT TO_ADDRESS TO_PORT
 *
 * While the process is stopped by a signal, the way is silent: connections are
 * accepted by the kernel and stay open, and no byte passes.
 */
#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define PART_BYTES 65536
#define BACKLOG 64

static struct sockaddr_in target;

static bool set_address(struct sockaddr_in *name, const char *address,
			const char *port)
{
	*name = (struct sockaddr_in){ .sin_family = AF_INET };
	name->sin_port = htons((uint16_t)strtoul(port, NULL, 10));
	return inet_pton(AF_INET, address, &name->sin_addr) == 1;
}

/* Forwards what has arrived; returns false at the end of the connection. */
static bool forward(int from, int to)
{
	char part[PART_BYTES];
	ssize_t count = recv(from, part, sizeof(part), 0);
	ssize_t done = 0;

	if (count <= 0)
		return false;
	while (done < count) {
		ssize_t sent = send(to, part + done, (size_t)(count - done),
				    MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		done += sent;
	}
	return true;
}

static void *serve_connection(void *data)
{
	int peer = (int)(intptr_t)data;
	int store = socket(AF_INET, SOCK_STREAM, 0);
	struct pollfd ends[2] = { { .fd = peer, .events = POLLIN },
				  { .fd = store, .events = POLLIN } };
	bool is_open = store >= 0 && connect(store, (struct sockaddr *)&target,
					     sizeof(target)) == 0;

	while (is_open && poll(ends, 2, -1) > 0) {
		if (ends[0].revents)
			is_open = forward(peer, store);
		if (is_open && ends[1].revents)
			is_open = forward(store, peer);
	}
	close(peer);
	if (store >= 0)
		close(store);
	return NULL;
}

int main(int argc, char **argv)
{
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in own;
	int one = 1;

	if (argc != 5 || listener < 0 || !set_address(&own, argv[1], argv[2]) ||
	    !set_address(&target, argv[3], argv[4])) {
		fputs("usage: proxy ADDRESS PORT TO_ADDRESS TO_PORT\n", stderr);
		return EXIT_FAILURE;
	}
	signal(SIGPIPE, SIG_IGN);
	setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(listener, (struct sockaddr *)&own, sizeof(own)) < 0 ||
	    listen(listener, BACKLOG) < 0) {
		perror("proxy");
		return EXIT_FAILURE;
	}
	for (;;) {
		int peer = accept(listener, NULL, NULL);
		pthread_t thread;

		if (peer >= 0 && pthread_create(&thread, NULL, serve_connection,
						(void *)(intptr_t)peer) == 0)
			pthread_detach(thread);
	}
}
