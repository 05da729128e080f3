/*
 * Service documents, the manifest, gateway documents and the immutable
 * snapshots built from them.
 *
 * There are two forms of configuration:
 *
 * - A service document is the JSON object that configures one service. The
 *   manifest names, for every service, the exact document version in force and
 *   the state of its move. A snapshot is a manifest together with all the
 *   documents that it names, checked against each other.
 * - A gateway document configures all routes and services at once. Its snapshot
 *   is built from the document and the current moves.
 *
 * In both, a sequence number gives the order of configurations: a snapshot of a
 * higher sequence replaces one of a lower sequence.
 */
#ifndef LOOM_DOCUMENT_H
#define LOOM_DOCUMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>
#include <jansson.h>
#include <talloc.h>
#include "loom/problem.h"

#define DOC_SHARE_ALL_PERMILLE 1000U
/* Largest size of the text of a document or a manifest. */
#define DOC_TEXT_BYTES_MAX (1024U * 1024U)
/*
 * Maximum number of services in a manifest. With so many, the text of the
 * manifest stays below DOC_TEXT_BYTES_MAX.
 */
#define DOC_SERVICES_MAX 5000U

/*
 * Whether a request of a route may be sent again although a target may have run
 * it already.
 */
enum doc_repeat {
	DOC_REPEAT_SAFE_METHODS, /* GET, HEAD and OPTIONS only */
	DOC_REPEAT_ALWAYS,
	DOC_REPEAT_NEVER,
};

struct doc_route {
	const char *name;
	const char *path_prefix;
	const char *const *methods; /* NULL-terminated; NULL: every method */
	uint32_t timeout_ms;
	enum doc_repeat repeat;
};

/*
 * Limits for each target of the service. A target is cold for some time after
 * it joined.
 */
struct doc_limits {
	uint32_t slots;			/* concurrent calls */
	uint32_t connections;		/* open connections to the target */
	uint32_t queue_length;		/* calls that wait for a slot */
	uint32_t request_body_bytes;	/* size of a request body */
	uint32_t header_bytes;		/* size of a request header */
	uint32_t cold_calls_per_second; /* while cold; 0: unlimited */
	const char *health_path; /* tells whether it is cold; NULL: none */
};

/*
 * Thresholds for the comparison of the new version of a move with the old one.
 */
struct doc_move_thresholds {
	uint32_t error_permille;	  /* excess of failed calls */
	uint32_t latency_factor_permille; /* 1500: 1.5 times as slow */
	uint32_t soak_ms;		  /* observation after the last step */
};

/*
 * A gradual move of traffic from one version to another. Times are in
 * milliseconds since the Unix epoch.
 */
struct doc_move {
	uint64_t id; /* of a gateway's move; 0 otherwise */
	const char *from;
	const char *to;
	uint64_t start_ms;
	uint64_t finish_by_ms;
	const uint32_t *step_shares_permille; /* increasing, last is 1000 */
	size_t step_count;
	struct doc_move_thresholds judgement;
	/* Most of a thread's calls that version "to" gets; 0: no bound. */
	uint32_t bound_permille;
	/*
	 * The targets of version "to" get calls in turns: of turn_count turns,
	 * those of turn_index. 0 or 1 turns: all targets get calls.
	 */
	uint32_t turn_index;
	uint32_t turn_count;
};

/* Service level objective. */
struct doc_objective {
	uint32_t availability_ppm; /* calls that must succeed */
	uint32_t latency_ms;	   /* latency limit */
	uint32_t latency_ppm;	   /* calls that must stay within it */
};

struct doc_service {
	const char *name;
	uint64_t document_version;   /* version of the stored object */
	uint64_t content_hash;	     /* see doc_hash_content() */
	const char *const *versions; /* NULL-terminated */
	const char *current;	     /* version in use without a move */
	const struct doc_route *routes;
	size_t route_count;
	struct doc_limits limits;
	const struct doc_move *move; /* NULL: none */
	struct doc_objective objective;
	const char *const *calls; /* services that it calls; NULL-terminated */
};

/*
 * Problems found in documents. Both members refer to the same list, which the
 * struct owns.
 */
struct doc_problem_list {
	GPtrArray *problems; /* struct prob_problem, part of kept */
	struct prob_list *kept;
};

/* Returns a new, empty list owned by ctx. */
struct doc_problem_list *doc_new_problem_list(TALLOC_CTX *ctx);

/*
 * Adds a problem: path names the field in the document, such as "limits.slots".
 * All texts are copied.
 */
void doc_add_problem(struct doc_problem_list *list, const char *file,
		     const char *path, const char *format, ...)
	__attribute__((format(printf, 4, 5)));

/* Appends a line "file: path: message" for each problem to text. */
void doc_print_problems(const struct doc_problem_list *list, GString *text);

/*
 * Parses and checks one service document by itself. file names the source in
 * problems. Returns a new service owned by ctx, or NULL with all problems of
 * the document added to list.
 */
struct doc_service *doc_parse_service(TALLOC_CTX *ctx, const char *file,
				      const char *text, size_t size,
				      uint64_t document_version,
				      struct doc_problem_list *list);

/*
 * Returns the hash of a document: xxHash64 of its compact JSON text with sorted
 * fields. A store that was restored from a backup can assign a version again to
 * other content, so version and hash together identify a document.
 */
uint64_t doc_hash_content(const json_t *document);

/*
 * Returns the route (borrowed from service) with the longest path prefix that
 * ends at a segment border of path and allows the method, or NULL. Escapes in
 * path are decoded and its query is ignored; a path with a segment "." or ".."
 * has no route.
 */
const struct doc_route *doc_find_route(const struct doc_service *service,
				       const char *method, const char *path);

/*
 * Returns whether a request of the route and method may be sent again although
 * a target may have run it already.
 */
bool doc_is_repeatable(const struct doc_route *route, const char *method);

enum doc_move_state {
	DOC_MOVE_NONE,
	DOC_MOVE_WAITING,
	DOC_MOVE_RUNNING,
	DOC_MOVE_SOAKING,
	DOC_MOVE_DONE,
	DOC_MOVE_TAKEN_BACK,
};

/* Returns the lower-case name used in JSON, such as "taken_back". */
const char *doc_get_move_state_name(enum doc_move_state state);

/* Parses the name of a state; returns false when it is unknown. */
bool doc_parse_move_state(const char *name, enum doc_move_state *state);

struct doc_manifest_service {
	const char *name;
	uint64_t document_version;
	uint64_t content_hash; /* hash of that document version */
	enum doc_move_state move_state;
	uint32_t share_permille; /* share of move->to; 0 without a move */
	uint32_t step_index;
};

struct doc_manifest_domain {
	const char *name;
	bool is_out; /* taken out of service by an operator */
};

struct doc_manifest {
	uint64_t sequence;
	const char *write_id; /* unique for each write of a manifest */
	struct doc_manifest_service *services; /* sorted by name */
	size_t service_count;
	struct doc_manifest_domain *domains; /* sorted by name */
	size_t domain_count;
};

/*
 * Parses and checks a manifest. Returns a new manifest owned by ctx, or NULL
 * with *error set to all problems.
 */
struct doc_manifest *doc_parse_manifest(TALLOC_CTX *ctx, const char *text,
					size_t size, GError **error);

/* Returns the manifest as compact JSON, a new text owned by ctx. */
char *doc_format_manifest(TALLOC_CTX *ctx, const struct doc_manifest *manifest);

/* Returns a new, empty manifest of sequence 0 owned by ctx. */
struct doc_manifest *doc_new_manifest(TALLOC_CTX *ctx);

/* Returns a new deep copy owned by ctx. */
struct doc_manifest *doc_copy_manifest(TALLOC_CTX *ctx,
				       const struct doc_manifest *manifest);

/*
 * Return the entry of a service or failure domain (borrowed), or NULL. The
 * entry is valid until an entry of its kind is added or removed.
 */
struct doc_manifest_service *
doc_find_manifest_service(const struct doc_manifest *manifest,
			  const char *name);
struct doc_manifest_domain *
doc_find_manifest_domain(const struct doc_manifest *manifest, const char *name);

/*
 * Return the entry of that name (borrowed from manifest), which is added with
 * zeroed fields if absent.
 */
struct doc_manifest_service *
doc_add_manifest_service(struct doc_manifest *manifest, const char *name);
struct doc_manifest_domain *
doc_add_manifest_domain(struct doc_manifest *manifest, const char *name);

/* Removes the entry of a service, if there is one. */
void doc_remove_manifest_service(struct doc_manifest *manifest,
				 const char *name);

/*
 * Checks that every service that a document lists in "calls" is in services.
 * Adds problems to list; returns whether there were none.
 */
bool doc_check_calls(const struct doc_service *const *services,
		     size_t service_count, struct doc_problem_list *list);

/*
 * Returns the names of the services that call the named service, which may be
 * removed only if there are none. The result is a new NULL-terminated array
 * owned by ctx; the names are borrowed from services.
 */
const char **doc_find_callers(TALLOC_CTX *ctx,
			      const struct doc_service *const *services,
			      size_t service_count, const char *name);

/* Document of one service, or its removal, to be merged into the manifest. */
struct doc_proposal {
	const char *name; /* service, from the key of the object */
	bool is_removal;  /* the object was deleted; the rest is unused */
	uint64_t document_version;
	const struct doc_service *service;	 /* NULL: invalid */
	const struct doc_problem_list *problems; /* parser problems or NULL */
};

enum doc_verdict_kind {
	DOC_VERDICT_UNCHANGED,
	DOC_VERDICT_ACCEPTED,
	DOC_VERDICT_REMOVED,
	DOC_VERDICT_REJECTED, /* the version in force, if any, remains */
};

/* Returns the lower-case name used in JSON, such as "accepted". */
const char *doc_get_verdict_name(enum doc_verdict_kind kind);

struct doc_verdict {
	const char *name;
	uint64_t document_version; /* version proposed; 0: a removal */
	enum doc_verdict_kind kind;
	struct doc_problem_list *problems; /* reasons of a rejection */
};

/* Result of doc_merge_documents(). */
struct doc_merge_result {
	struct doc_manifest *manifest; /* new one; a copy if unchanged */
	bool is_changed;
	struct doc_verdict *verdicts; /* one for each proposal, in order */
	size_t verdict_count;
};

/*
 * Merges proposed documents into the next manifest. services holds the
 * documents of the current manifest: at least one of the exact version and
 * content for each entry.
 *
 * A document is rejected when it is invalid, is older than the one in force, or
 * calls a service that would have no document. The removal of a service that is
 * still called is rejected too. Documents that call each other are accepted
 * together. A document of the version in force with other content replaces it.
 *
 * An accepted document starts its move from the beginning, unless the document
 * in force has the same move and that was not taken back. When anything
 * changed, the sequence is incremented, and the caller must set a new write_id.
 * Returns a new result owned by ctx, or NULL with *error set when a document in
 * force is missing.
 */
struct doc_merge_result *
doc_merge_documents(TALLOC_CTX *ctx, const struct doc_manifest *current,
		    const struct doc_service *const *services,
		    size_t service_count, const struct doc_proposal *proposals,
		    size_t proposal_count, GError **error);

/*
 * Returns the difference of two documents, with one line for each changed
 * field: its path, the old and the new value. Array items that have a "name"
 * are compared by name. before may be NULL for a new document. The result is a
 * new text owned by ctx, "" when the documents are equal.
 */
char *doc_format_difference(TALLOC_CTX *ctx, const json_t *before,
			    const json_t *after);

/*
 * Stands for all versions of a gateway's service other than the version that a
 * move leads to: a gateway document doesn't list versions.
 */
#define DOC_VERSION_ANY "*"

/* Share of a gateway route's calls that goes to one service. */
struct doc_share {
	const char *service;
	uint32_t weight;
};

/* Route from a host and a path prefix to one or more services. */
struct doc_gateway_route {
	const char *host;
	struct doc_route route;
	uint32_t objective_ms; /* desired response time */
	uint32_t attempts_max; /* per call, the first included */
	uint32_t priority;     /* 0 is the highest */
	bool has_large_answers;
	const struct doc_share *shares;
	size_t share_count;
	uint32_t weight_sum; /* sum of the weights in shares */
};

/* Entry of a service in a gateway; the targets announce its versions. */
struct doc_gateway_service {
	const char *name;
	uint32_t connections;		/* open connections to a target */
	uint32_t cold_calls_per_second; /* while cold; 0: unlimited */
	const char *health_path;	/* NULL: none */
};

/* Limits for the size and duration of a caller's requests. */
struct doc_caller_limits {
	uint32_t header_bytes;
	uint32_t request_body_bytes;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
};

/*
 * A gateway document: all hosts, services and limits of a mesh in one document.
 * Its sequence gives the order of configurations where no manifest is used.
 */
struct doc_gateway;

/*
 * Parses and checks a gateway document. file names the source in problems.
 * Returns a new gateway with one reference, or NULL with at least one problem
 * added to list.
 */
struct doc_gateway *doc_parse_gateway(const char *file, const json_t *document,
				      struct prob_list *list);

/*
 * Returns the difference between two gateway documents for
 * doc_apply_gateway_delta(), as a new reference. With base NULL, it holds the
 * whole gateway.
 */
json_t *doc_make_gateway_delta(const struct doc_gateway *base,
			       const struct doc_gateway *gateway);

/*
 * Applies a difference to its base, and checks the resulting gateway. base may
 * be NULL for a difference that holds the whole gateway. Returns a new gateway
 * with one reference, or NULL with at least one problem added to list; a
 * difference from another base is such a problem.
 */
struct doc_gateway *doc_apply_gateway_delta(const struct doc_gateway *base,
					    const json_t *delta,
					    struct prob_list *list);

/*
 * Add and release a reference; any thread may call them. The release of the
 * last reference frees the gateway; NULL is ignored by doc_unref_gateway().
 */
struct doc_gateway *doc_ref_gateway(struct doc_gateway *gateway);
void doc_unref_gateway(struct doc_gateway *gateway);

uint64_t doc_get_gateway_sequence(const struct doc_gateway *gateway);
const struct doc_caller_limits *
doc_get_caller_limits(const struct doc_gateway *gateway);

/*
 * Returns the route (borrowed) of a host with the longest path prefix that
 * matches path without its query, or NULL when there is none.
 */
const struct doc_gateway_route *
doc_find_gateway_route(const struct doc_gateway *gateway, const char *host,
		       const char *path);

/*
 * Returns whether the route has the lowest priority of all routes, and some
 * other route has a higher one. Only calls of such a route are rejected because
 * they would miss their objective.
 */
bool doc_has_lowest_priority(const struct doc_gateway *gateway,
			     const struct doc_gateway_route *route);

/*
 * Returns the service (borrowed) of the share that a hash selects, in
 * proportion to the weights. Only the lower 32 bits of split_hash are used.
 */
const char *doc_choose_share(const struct doc_gateway_route *route,
			     uint64_t split_hash);

/* State of a move of a gateway's service. */
struct doc_gateway_move {
	const char *service;
	const char *to;
	uint64_t id; /* differs between the moves of a service */
	enum doc_move_state state;
	uint32_t share_permille; /* share of calls that go to version "to" */
	/* See struct doc_move; the bound is in force until the move is done. */
	uint32_t bound_permille;
	uint32_t turn_index;
	uint32_t turn_count;
};

struct doc_snapshot;

/*
 * Builds the snapshot of a gateway, which gets a reference, with the moves of
 * its services and the names of the failure domains taken out of service
 * (NULL-terminated). Moves and names are copied; a move of an unknown service
 * is ignored. Returns a new snapshot with one reference.
 */
struct doc_snapshot *
doc_build_gateway_snapshot(struct doc_gateway *gateway,
			   const struct doc_gateway_move *moves,
			   size_t move_count, const char *const *domains_out);

/*
 * Returns the gateway of a snapshot (borrowed), or NULL when the snapshot was
 * built from a manifest.
 */
const struct doc_gateway *doc_get_gateway(const struct doc_snapshot *snapshot);

/*
 * Builds the snapshot of a manifest. services must hold a document of the exact
 * version for each entry; on success these are stolen from their talloc owners.
 * Returns a new snapshot with one reference. Returns NULL with *error set, and
 * changes nothing, when a document is missing or of another version, a document
 * calls a service that is not in the manifest, or the share or step of a move
 * does not fit its document.
 */
struct doc_snapshot *doc_build_snapshot(const struct doc_manifest *manifest,
					struct doc_service **services,
					size_t service_count, GError **error);

/*
 * Add and release a reference; any thread may call them. The release of the
 * last reference frees the snapshot; NULL is ignored by doc_unref_snapshot().
 */
struct doc_snapshot *doc_ref_snapshot(struct doc_snapshot *snapshot);
void doc_unref_snapshot(struct doc_snapshot *snapshot);

/* Returns the manifest of a snapshot (borrowed). */
const struct doc_manifest *
doc_get_manifest(const struct doc_snapshot *snapshot);

/* Returns a service of a snapshot (borrowed), or NULL. */
const struct doc_service *doc_find_service(const struct doc_snapshot *snapshot,
					   const char *name);

/* Returns whether an operator took the failure domain out of service. */
bool doc_is_domain_out(const struct doc_snapshot *snapshot, const char *name);

#endif
