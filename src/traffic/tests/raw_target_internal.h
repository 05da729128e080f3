/* State of a raw-socket target, shared by its connections and its answers. */
#ifndef RAW_TARGET_INTERNAL_H
#define RAW_TARGET_INTERNAL_H

#include <glib.h>
#include "raw_target.h"

struct raw_target {
	struct tevent_context *events;
	int socket;
	struct tevent_fd *fde; /* closes the socket when it is freed */
	GQueue connections;
	uint32_t request_count;
	uint32_t running_count;
	uint32_t peak_count;
	uint32_t disconnect_count;
	uint32_t reset_count;
	uint32_t mute_count; /* requests to "/mute" that get no answer */
	char *reply;	     /* bytes of the answer to "/reply"; NULL: none */
	enum raw_end reply_end;
	char *flood_start; /* of the answer to "/endless"; NULL: none */
	char *flood_part;  /* is sent again and again after that */
};

/* What a connection sends without end, until it is closed. */
enum flood {
	FLOOD_NONE,
	FLOOD_HEADERS,
	FLOOD_LINE,
	FLOOD_BODY,
	FLOOD_CHUNK_SIZE,
	FLOOD_GARBAGE,
	FLOOD_PART,
};

struct raw_connection {
	struct raw_target *target;
	int socket;
	struct tevent_fd *fde;
	GString *input;
	GString *output;
	bool is_closing;   /* when the output has been written */
	bool is_resetting; /* the same, with a TCP reset */
	bool is_early;	   /* answered; the rest of the request is not read */
	bool is_running;   /* a request was not answered yet */
	bool is_held;
	bool is_mute; /* nothing is answered any more */
	char *again;  /* answer to send once more; NULL: none */
	enum flood flood;
};

/* Appends an answer with a body of size bytes to the connection's output. */
void raw_answer(struct raw_connection *connection, const char *status,
		const char *headers, const char *body, size_t size);

/* Appends the answer to a complete request, as its path says. */
void raw_answer_path(struct raw_connection *connection, const char *head,
		     const char *path, size_t body_size);

/* Appends the bytes of raw_set_reply() if the path asks for them. */
bool raw_answer_reply(struct raw_connection *connection, const char *head,
		      const char *path);

/* Fills the output of a connection that sends bytes without end. */
void raw_add_flood(struct raw_connection *connection);

/* Returns the value of a request header (new), or NULL when it is absent. */
char *raw_get_header(const char *head, const char *name);

#endif
