/*
 * The commands of loomctl and the report of loomburn.
 *
 * A command runs in a struct ctl_context, which owns the event loop and the
 * client of the platform's object API. Each function that reads or writes over
 * the network runs the event loop until the answer has arrived, so commands
 * are written as sequential code. Results go to standard output; errors, notes
 * and problems of documents go to standard error, with --json too.
 */
#ifndef CTL_CTL_H
#define CTL_CTL_H

#include <stdbool.h>
#include <talloc.h>
#include <tevent.h>
#include "loom/document.h"
#include "loom/platform.h"

/* Exit codes, the same for every command. */
enum ctl_exit {
	CTL_EXIT_OK = 0,
	CTL_EXIT_FAILED = 1,  /* platform or node unreachable, or other error */
	CTL_EXIT_USAGE = 2,   /* wrong command line */
	CTL_EXIT_INVALID = 3, /* invalid document, or service still called */
	CTL_EXIT_CONFLICT = 4, /* changed concurrently, or move has ended */
	CTL_EXIT_NOT_FOUND = 5,
	CTL_EXIT_TIMEOUT = 6,	 /* --wait expired before the end state */
	CTL_EXIT_TAKEN_BACK = 7, /* --wait: the move was taken back */
};

/* Options of all commands; a command ignores those that it does not take. */
struct ctl_options {
	bool is_dry_run;
	bool has_expected_version;
	uint64_t expected_version;
	const char *node;      /* "ADDRESS:ADMIN_PORT", or NULL */
	uint32_t count_max;    /* states that watch prints; 0: no limit */
	const char *service;   /* service in the burn report; NULL: all */
	const char *html_file; /* file for the burn report, or NULL */
	uint32_t wait_ms;      /* time limit of status --wait; 0: no wait */
};

/* State shared by the functions of one command. */
struct ctl_context {
	TALLOC_CTX *ctx; /* owned; parent of everything below */
	struct tevent_context *events;
	struct tmr_service *timers;
	struct plat_client *platform; /* NULL without a platform URL */
	const char *platform_url;     /* borrowed, or NULL */
	bool is_json;
	struct ctl_options options;
};

/*
 * Opens the context. platform_url is borrowed and may be NULL for commands that
 * need no platform. Prints an error and returns false when the client cannot
 * be created; the context must be closed in that case too.
 */
bool ctl_open_context(struct ctl_context *context, const char *platform_url,
		      bool is_json);
void ctl_close_context(struct ctl_context *context);

/* Result of one request for an object of the platform. */
struct ctl_object {
	GError *error; /* owned; NULL on success */
	uint64_t version;
	json_t *value; /* owned; NULL when there is none */
};

void ctl_clear_object(struct ctl_object *object);

/* Reads an object and waits for the answer; clear *object after use. */
void ctl_read_object(struct ctl_context *context, const char *key,
		     struct ctl_object *object);

/*
 * Writes an object if it still has expected_version (0: if it is absent), and
 * waits for the answer. Adds the member "write_id" to value, by which a write
 * whose answer was lost is recognised. Clear *object after use.
 */
void ctl_write_object(struct ctl_context *context, const char *key,
		      json_t *value, uint64_t expected_version,
		      struct ctl_object *object);

/*
 * Deletes an object if it still has expected_version, and waits for the answer.
 * Clear *object after use.
 */
void ctl_delete_object(struct ctl_context *context, const char *key,
		       uint64_t expected_version, struct ctl_object *object);

/* All objects of a prefix. */
struct ctl_list {
	GError *error;	 /* owned; NULL on success */
	json_t *objects; /* owned; key to {"version","value"} */
};

/* Reads all objects of a prefix and waits; clear *list after use. */
void ctl_list_objects(struct ctl_context *context, const char *prefix,
		      struct ctl_list *list);
void ctl_clear_list(struct ctl_list *list);

/*
 * Reads a JSON page of a node's administration port and waits; node is
 * "ADDRESS:ADMIN_PORT". Returns a new reference, or NULL with *error set:
 * ERR_INVALID_ARGUMENT when the node rejects the request (400).
 */
json_t *ctl_fetch_page(struct ctl_context *context, const char *node,
		       const char *path, GError **error);

/* Prints an error to standard error; returns the exit code of its kind. */
enum ctl_exit ctl_print_error(const GError *error);

/*
 * Reads and checks the document in a file. Returns a new service owned by ctx
 * and the parsed JSON in *document (a new reference). On failure adds problems
 * to list, sets *document to NULL and returns NULL.
 */
struct doc_service *ctl_read_file(TALLOC_CTX *ctx, const char *file,
				  json_t **document,
				  struct doc_problem_list *list);

/* Returns the key of a service's document (new, owned by the context). */
char *ctl_make_document_key(struct ctl_context *context, const char *service);

/* Prints problems to standard error. */
void ctl_print_problems(const struct doc_problem_list *list);

/* Returns problems as a JSON array of objects, a new reference. */
json_t *ctl_make_problems(const struct doc_problem_list *list);

/* Returns the non-empty lines of a text as a JSON array, a new reference. */
json_t *ctl_make_lines(const char *text);

/* Prints JSON to standard output and releases the caller's reference. */
void ctl_print_json(json_t *value);

/* Prints a service's status object to standard output as text. */
void ctl_print_status_text(const json_t *status);

/* The commands; each prints its result and returns its exit code. */
enum ctl_exit ctl_check_documents(struct ctl_context *context,
				  const char *const *files, int file_count);
enum ctl_exit ctl_apply_document(struct ctl_context *context, const char *file);
enum ctl_exit ctl_get_document(struct ctl_context *context,
			       const char *service);
enum ctl_exit ctl_delete_document(struct ctl_context *context,
				  const char *service);
enum ctl_exit ctl_print_status(struct ctl_context *context,
			       const char *service);
enum ctl_exit ctl_print_nodes(struct ctl_context *context);
enum ctl_exit ctl_watch_status(struct ctl_context *context,
			       const char *service);

/*
 * Prints the log lines about a request. Reads the logs from the files, or from
 * standard input when file_count is 0.
 */
enum ctl_exit ctl_explain_request(const char *id, const char *const *files,
				  int file_count);

/*
 * Prints where a request would go from a node, and why. operands: service (the
 * Host header), method, path and optionally class and bytes of the body.
 */
enum ctl_exit ctl_explain_route(struct ctl_context *context,
				const char *const *operands, int operand_count);

/* loomburn: reports the burn of service-level objectives over all nodes. */
enum ctl_exit ctl_report_burn(struct ctl_context *context);

/*
 * Takes back a move that has not ended, so that all calls go to the old version
 * again.
 */
enum ctl_exit ctl_take_back(struct ctl_context *context, const char *service);

/*
 * Takes a failure domain out of service or puts it back in. Offers the written
 * manifest to the relays and to the given nodes, each the "ADDRESS:PORT" of an
 * administration port.
 */
enum ctl_exit ctl_set_failure_domain(struct ctl_context *context,
				     const char *name, bool is_out,
				     const char *const *nodes, int node_count);

#endif
