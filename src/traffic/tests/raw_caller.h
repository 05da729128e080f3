/*
 * A caller on a plain socket, driven by the test's event loop.
 */
#ifndef RAW_CALLER_H
#define RAW_CALLER_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>
#include <talloc.h>
#include <tevent.h>

struct raw_caller {
	int socket;
	struct tevent_fd *fde;
	GString *input; /* everything received so far */
	bool is_closed; /* the peer closed the connection */
	bool is_reset;	/* by a TCP reset */
	bool is_reading;
	bool has_send_error;
	GString *unsent;   /* bytes that the kernel has not taken yet */
	GString *flood;	   /* sent again and again; NULL: none */
	size_t flood_sent; /* bytes of it */
};

/*
 * Returns a new, connected caller owned by ctx; aborts on failure.
 * receive_bytes limits what its kernel takes in unread; 0: as usual.
 */
struct raw_caller *raw_new_caller(TALLOC_CTX *ctx,
				  struct tevent_context *events,
				  const char *address, uint16_t port,
				  int receive_bytes);

/* Sends bytes as fast as the peer takes them, until it closes the connection.
 */
void raw_send(struct raw_caller *caller, const char *bytes, size_t size);

/* Tries to send the rest; returns the number of bytes that are still unsent. */
uint32_t raw_send_rest(struct raw_caller *caller);

/*
 * Sends part again and again until the connection is closed, and drops what it
 * receives.
 */
void raw_flood(struct raw_caller *caller, const char *part);

/* Starts or stops reading from the socket. */
void raw_set_reading(struct raw_caller *caller, bool is_reading);

/* Returns the number of complete answers with a Content-Length received. */
uint32_t raw_count_answers(const struct raw_caller *caller);

/* Returns how many bytes were received behind the first head. */
uint32_t raw_count_body_bytes(const struct raw_caller *caller);

/* Appends a line with status and body of each of these answers. */
void raw_list_answers(const struct raw_caller *caller, GString *output);

/*
 * Runs the script step "crowd NAME NODE COUNT TEXT BYTES": opens COUNT callers,
 * each of which sends the escaped text and so many bytes, and inserts them into
 * callers as NAME0, NAME1 and so on.
 */
void raw_open_crowd(TALLOC_CTX *ctx, struct tevent_context *events,
		    const char *address, uint16_t port, char **words,
		    GHashTable *callers);

/*
 * Runs a script step on the caller: "send", "send-bytes", "shut", "flood",
 * "read", "received", "answers" or "has", the caller's name, and an argument.
 * Returns false when the step is another one.
 */
bool raw_run_step(struct raw_caller *caller, char **words, GString *output);

#endif
