/*
 * Stand-in for a back end on a loopback address.
 *
 *	server ADDRESS PORT ID LOG [ANSWERS]
 *
 * A request for another instance is answered 421 and one without an id 400;
 * both state that it was not run. Any other request runs: a line with the time
 * in ms, "run", its id and its path is appended to LOG. It is answered 200 with
 * its id, a stamp and a short body. When the last part of its path is the name
 * of a file in the folder ANSWERS, the bytes of that file are the answer, with
 * @ID@ replaced by the id, and the connection is closed after them.
 */
#include <arpa/inet.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_BYTES_MAX 65536U
#define ANSWER_BYTES_MAX (1024U * 1024U)
#define NAME_BYTES_MAX 256U
#define BACKLOG 64

static const char *own_id;
static const char *log_path;
static const char *answers_path;

struct head {
	char text[HEAD_BYTES_MAX];
	size_t size; /* bytes received */
	size_t end;  /* bytes of the head itself */
	char id[NAME_BYTES_MAX];
	char instance[NAME_BYTES_MAX];
	char path[NAME_BYTES_MAX];
	size_t body_size;
};

static uint64_t get_wall_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

static void append_log(const char *event, const struct head *head)
{
	FILE *log = fopen(log_path, "a");

	if (!log)
		return;
	fprintf(log, "%llu %s %s %s\n", (unsigned long long)get_wall_ms(),
		event, *head->id ? head->id : "-", head->path);
	fclose(log);
}

static bool send_bytes(int peer, const char *bytes, size_t size)
{
	while (size > 0) {
		ssize_t count = send(peer, bytes, size, MSG_NOSIGNAL);

		if (count <= 0)
			return false;
		bytes += count;
		size -= (size_t)count;
	}
	return true;
}

/* Copies the value of a header, "" when it is absent. */
static void copy_header(const struct head *head, const char *name, char *value)
{
	const char *line = head->text;
	size_t size = strlen(name);

	*value = '\0';
	while ((line = strstr(line, "\r\n")) && line < head->text + head->end) {
		line += 2;
		if (strncasecmp(line, name, size) != 0 || line[size] != ':')
			continue;
		line += size + 1;
		line += strspn(line, " ");
		snprintf(value, NAME_BYTES_MAX, "%.*s",
			 (int)strcspn(line, "\r"), line);
		return;
	}
}

/* Receives up to the end of a head; returns false when there is none. */
static bool receive_head(int peer, struct head *head)
{
	char length[NAME_BYTES_MAX];
	const char *path;
	char *end;

	head->text[head->size] = '\0';
	while (!(end = strstr(head->text, "\r\n\r\n"))) {
		ssize_t count = recv(peer, head->text + head->size,
				     HEAD_BYTES_MAX - 1 - head->size, 0);

		if (count <= 0)
			return false;
		head->size += (size_t)count;
		head->text[head->size] = '\0';
	}
	head->end = (size_t)(end - head->text) + 4;
	path = strchr(head->text, ' ');
	path = path ? path + 1 : "";
	snprintf(head->path, sizeof(head->path), "%.*s",
		 (int)strcspn(path, " \r"), path);
	copy_header(head, "X-Dotterelloom-Request-Id", head->id);
	copy_header(head, "X-Dotterelloom-Expect-Instance", head->instance);
	copy_header(head, "Content-Length", length);
	head->body_size = strtoul(length, NULL, 10);
	return true;
}

/* Drops the head and the body of the request that was answered. */
static bool skip_request(int peer, struct head *head)
{
	size_t wanted = head->end + head->body_size;

	while (head->size < wanted) {
		ssize_t count = recv(peer, head->text,
				     wanted - head->size < HEAD_BYTES_MAX - 1
					     ? wanted - head->size
					     : HEAD_BYTES_MAX - 1,
				     0);

		if (count <= 0)
			return false;
		head->size += (size_t)count;
		if (head->size == wanted) {
			head->size = 0;
			return true;
		}
	}
	head->size -= wanted;
	memmove(head->text, head->text + wanted, head->size);
	return true;
}

static bool refuse(int peer, const struct head *head, const char *status)
{
	char answer[1024];

	append_log("refuse", head);
	snprintf(answer, sizeof(answer),
		 "HTTP/1.1 %s\r\nX-Dotterelloom-Request-Id: %s\r\n"
		 "X-Dotterelloom-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		 status, head->id);
	return send_bytes(peer, answer, strlen(answer));
}

static bool answer_success(int peer, const struct head *head)
{
	char answer[1024];

	snprintf(answer, sizeof(answer),
		 "HTTP/1.1 200 OK\r\nX-Dotterelloom-Request-Id: %s\r\n"
		 "X-Dotterelloom-Server-Stamp: %s\r\n"
		 "Content-Length: %zu\r\n\r\n%s",
		 head->id, own_id, strlen(head->id), head->id);
	return send_bytes(peer, answer, strlen(answer));
}

/* Returns the file of the answer to that path, or NULL. */
static FILE *open_answer(const struct head *head)
{
	const char *name = strrchr(head->path, '/');
	char file[2 * NAME_BYTES_MAX];

	if (!answers_path || !name || !name[1])
		return NULL;
	snprintf(file, sizeof(file), "%s%s", answers_path, name);
	return fopen(file, "r");
}

static void send_file(int peer, const struct head *head, FILE *file)
{
	char *bytes = calloc(1, ANSWER_BYTES_MAX);
	char *at = bytes;
	size_t size;
	char *mark;

	if (!bytes)
		return;
	size = fread(bytes, 1, ANSWER_BYTES_MAX - 1, file);
	while ((mark = strstr(at, "@ID@"))) {
		if (!send_bytes(peer, at, (size_t)(mark - at)) ||
		    !send_bytes(peer, head->id, strlen(head->id)))
			break;
		at = mark + strlen("@ID@");
	}
	send_bytes(peer, at, size - (size_t)(at - bytes));
	free(bytes);
}

/* Returns whether the connection stays open. */
static bool answer_request(int peer, const struct head *head)
{
	FILE *file;

	if (*head->instance && strcmp(head->instance, own_id) != 0)
		return refuse(peer, head, "421 Misdirected Request");
	if (!*head->id)
		return refuse(peer, head, "400 Bad Request");
	append_log("run", head);
	file = open_answer(head);
	if (!file)
		return answer_success(peer, head);
	send_file(peer, head, file);
	fclose(file);
	return false;
}

static void *serve_connection(void *data)
{
	int peer = (int)(intptr_t)data;
	struct head *head = calloc(1, sizeof(*head));

	while (head && receive_head(peer, head)) {
		struct head request = *head;

		if (!skip_request(peer, head) ||
		    !answer_request(peer, &request))
			break;
	}
	shutdown(peer, SHUT_WR);
	close(peer);
	free(head);
	return NULL;
}

static int open_listener(const char *address, const char *port)
{
	struct sockaddr_in name = { .sin_family = AF_INET };
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	int one = 1;

	name.sin_port = htons((uint16_t)strtoul(port, NULL, 10));
	if (listener < 0 || inet_pton(AF_INET, address, &name.sin_addr) != 1)
		return -1;
	setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(listener, (struct sockaddr *)&name, sizeof(name)) < 0 ||
	    listen(listener, BACKLOG) < 0)
		return -1;
	return listener;
}

int main(int argc, char **argv)
{
	int listener;

	if (argc < 5) {
		fputs("usage: server ADDRESS PORT ID LOG [ANSWERS]\n", stderr);
		return EXIT_FAILURE;
	}
	signal(SIGPIPE, SIG_IGN);
	own_id = argv[3];
	log_path = argv[4];
	answers_path = argc > 5 ? argv[5] : NULL;
	listener = open_listener(argv[1], argv[2]);
	if (listener < 0) {
		perror("server");
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
