/*
 * Commands of loomctl: each runs an event loop until its answer is there.
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
	CTL_EXIT_FAILED = 1,   /* the platform could not be asked */
	CTL_EXIT_USAGE = 2,    /* wrong command line */
	CTL_EXIT_INVALID = 3,  /* the document has problems */
	CTL_EXIT_CONFLICT = 4, /* someone else changed it since */
	CTL_EXIT_NOT_FOUND = 5,
	CTL_EXIT_TIMEOUT = 6,	 /* --wait ended before the state was reached */
	CTL_EXIT_TAKEN_BACK = 7, /* --wait: the move was taken back */
};

/* Options of single commands; a command passes over those of others. */
struct ctl_options {
	bool is_dry_run;
	bool has_expected_version;
	uint64_t expected_version;
	const char *node;      /* "ADDRESS:ADMIN_PORT", or NULL */
	uint32_t count_max;    /* changes that watch prints; 0: no end */
	const char *service;   /* of the burn report; NULL: all */
	const char *html_file; /* of the burn report, or NULL */
	uint32_t wait_ms;      /* of status; 0: do not wait */
};

/* What a command works with. */
struct ctl_context {
	TALLOC_CTX *ctx;
	struct tevent_context *events;
	struct tmr_service *timers;
	struct plat_client *platform; /* NULL when none was given */
	const char *platform_url;
	bool is_json;
	struct ctl_options options;
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

/* Deletes an object of that version and waits. */
void ctl_delete_object(struct ctl_context *context, const char *key,
		       uint64_t expected_version, struct ctl_object *object);

/* All objects of a prefix. */
struct ctl_list {
	GError *error;	 /* owned; NULL when it succeeded */
	json_t *objects; /* owned; key to {"version","value"} */
};

/* Reads all objects of a prefix and waits. */
void ctl_list_objects(struct ctl_context *context, const char *prefix,
		      struct ctl_list *list);
void ctl_clear_list(struct ctl_list *list);

/*
 * Reads a page of a node's administration port and waits; node is
 * "ADDRESS:ADMIN_PORT". Returns a new reference, or NULL with *error set.
 */
json_t *ctl_fetch_page(struct ctl_context *context, const char *node,
		       const char *path, GError **error);

/* Prints an error to standard error; returns the exit code for it. */
enum ctl_exit ctl_print_error(const GError *error);

/*
 * Reads and checks the document of a file. Returns a new service owned by ctx
 * and the text's JSON in *document (a new reference), or NULL with problems.
 */
struct doc_service *ctl_read_file(TALLOC_CTX *ctx, const char *file,
				  json_t **document,
				  struct doc_problem_list *list);

/* Returns the key of a service's document, a new text owned by the context. */
char *ctl_make_document_key(struct ctl_context *context, const char *service);

/* Prints problems to standard error, or makes them JSON (a new reference). */
void ctl_print_problems(const struct doc_problem_list *list);
json_t *ctl_make_problems(const struct doc_problem_list *list);

/* Returns the lines of a text that are not empty, a new reference. */
json_t *ctl_make_lines(const char *text);

/* Prints JSON to standard output and drops the reference to it. */
void ctl_print_json(json_t *value);

/* Prints a status as a node wrote it, in words. */
void ctl_print_status_words(const json_t *status);

/* The commands. */
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
 * Prints what the logs in the files, or on standard input when there are none,
 * say of a request.
 */
enum ctl_exit ctl_explain_request(const char *id, const char *const *files,
				  int file_count);

/* loomburn: reports service-level burn from all nodes. */
enum ctl_exit ctl_report_burn(struct ctl_context *context);
enum ctl_exit ctl_take_back(struct ctl_context *context, const char *service);

/*
 * Takes a failure domain out or in, and offers the written manifest to the
 * relays and to the nodes given as "ADDRESS:PORT" of their administration.
 */
enum ctl_exit ctl_set_failure_domain(struct ctl_context *context,
				     const char *name, bool is_out,
				     const char *const *nodes, int node_count);

#endif
