/*
 * Connections of callers and other nodes: detects disconnects, and closes
 * connections with slow headers and long idle ones.
 */
#ifndef TR_CONNECTION_H
#define TR_CONNECTION_H

#include "thread.h"

/* One open connection, an element of the thread's list. */
struct tr_connection {
	struct tr_thread *thread;
	int socket;
	GList *link;
	uint64_t active_ms;  /* when it was accepted or its last call ended */
	uint64_t request_ms; /* request line read; 0: headers not in progress */
	struct tr_call *call; /* NULL between calls */
	bool is_disconnected; /* by the other side */
	bool is_closing;      /* shut down here, not yet closed by MHD */
};

/*
 * Creates the epoll set that detects disconnects and starts the periodic sweep.
 * Returns false with *error set.
 */
bool tr_open_connections(struct tr_thread *thread, GError **error);

/* Closes the epoll set; all daemons must be stopped. */
void tr_close_connections(struct tr_thread *thread);

/* MHD_OPTION_NOTIFY_CONNECTION callback; data is the struct tr_listener. */
void tr_note_connection(void *data, struct MHD_Connection *connection,
			void **socket_state,
			enum MHD_ConnectionNotificationCode code);

/*
 * Checks whether the caller has already disconnected. After a stall of the
 * node, MHD may read the request before the epoll set reports the disconnect.
 */
void tr_check_disconnect(struct tr_connection *connection);

/* Shuts the socket down, which makes MHD close the connection. */
void tr_shut_down_connection(struct tr_connection *connection);

/* Returns the struct tr_connection of an MHD connection (borrowed). */
struct tr_connection *tr_get_connection(struct MHD_Connection *connection);

/* Sets the call in progress; NULL when it has ended. */
void tr_set_connection_call(struct tr_connection *connection,
			    struct tr_call *call);

#endif
