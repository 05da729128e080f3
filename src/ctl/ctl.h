/*
 * Commands of loomctl: each runs an event loop until its answer is there.
 */
#ifndef CTL_CTL_H
#define CTL_CTL_H

#include <stdbool.h>
#include <talloc.h>
#include <tevent.h>
#include "loom/platform.h"

/* Exit codes, the same for every command. */
enum ctl_exit {
	CTL_EXIT_OK = 0,
	CTL_EXIT_FAILED = 1,   /* the platform could not be asked */
	CTL_EXIT_USAGE = 2,    /* wrong command line */
	CTL_EXIT_INVALID = 3,  /* the document has problems */
	CTL_EXIT_CONFLICT = 4, /* someone else changed it since */
	CTL_EXIT_NOT_FOUND = 5,
	CTL_EXIT_TIMEOUT = 6, /* --wait ended before the state was reached */
};

/* What a command works with. */
struct ctl_context {
	TALLOC_CTX *ctx;
	struct tevent_context *events;
	struct tmr_service *timers;
	struct plat_client *platform; /* NULL when none was given */
	const char *platform_url;
	bool is_json;
};

/* Opens the context; platform_url may be NULL for commands without one. */
bool ctl_open_context(struct ctl_context *context, const char *platform_url,
		      bool is_json);
void ctl_close_context(struct ctl_context *context);

/* One object read or written while the loop runs. */
struct ctl_object {
	GError *error; /* owned; NULL when it succeeded */
	uint64_t version;
	json_t *value; /* owned; NULL when it failed */
};

void ctl_clear_object(struct ctl_object *object);

/* Reads an object and waits for it. */
void ctl_read_object(struct ctl_context *context, const char *key,
		     struct ctl_object *object);

/* Writes an object and waits; value gets its write id. */
void ctl_write_object(struct ctl_context *context, const char *key,
		      json_t *value, uint64_t expected_version,
		      struct ctl_object *object);

/* Prints an error to standard error; returns the exit code for it. */
enum ctl_exit ctl_print_error(const GError *error);

/* The commands. */
enum ctl_exit ctl_check_documents(struct ctl_context *context,
				  const char *const *files, int file_count);
enum ctl_exit ctl_apply_document(struct ctl_context *context, const char *file);
enum ctl_exit ctl_get_document(struct ctl_context *context,
			       const char *service);
enum ctl_exit ctl_print_status(struct ctl_context *context,
			       const char *service);

/*
 * Takes a failure domain out or in, and offers the written manifest to the
 * relays and to the nodes given as "ADDRESS:PORT" of their administration.
 */
enum ctl_exit ctl_set_failure_domain(struct ctl_context *context,
				     const char *name, bool is_out,
				     const char *const *nodes, int node_count);

#endif
