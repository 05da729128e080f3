/*
 * Spreading of configuration: which manifest is in force on this node, where
 * it and its documents come from, and the writer that admits new documents.
 *
 * Keys on the platform:
 *   documents/SERVICE          the operators' document, as applied
 *   status/SERVICE             what became of it, for operators to read
 *   system/manifest            the manifest in force
 *   system/accepted/SERVICE/N-HASH
 *                              copy of an accepted document of version N
 *   system/lease/...           leases
 */
#ifndef LOOM_SPREAD_H
#define LOOM_SPREAD_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include "loom/document.h"
#include "loom/platform.h"

#define SPR_KEY_DOCUMENTS "documents/"
#define SPR_KEY_STATUS "status/"
#define SPR_KEY_MANIFEST "system/manifest"
#define SPR_KEY_ACCEPTED "system/accepted/"
#define SPR_KEY_WRITER_LEASE "system/lease/manifest"
#define SPR_KEY_RELAY_LEASE "system/lease/relay/" /* + DOMAIN/INDEX */

struct spr_service;

/* A newer snapshot is in force (borrowed; reference it to keep it). */
typedef void (*spr_snapshot_fn)(struct doc_snapshot *snapshot, void *data);

/* Another live node. */
struct spr_peer {
	const char *address; /* "127.0.1.1:8082", its administration port */
	const char *failure_domain;
	uint64_t sequence; /* highest that is known of it */
};

/*
 * Fills *peers with the live nodes but this one, borrowed until the next event
 * of the loop, and returns their count.
 */
typedef size_t (*spr_list_peers_fn)(const struct spr_peer **peers, void *data);

struct spr_options {
	struct tevent_context *events;
	struct tmr_service *timers;
	struct plat_client *platform;
	const char *holder;  /* unique name of this node in leases and ids */
	const char *address; /* of this node, as its peers list it */
	const char *failure_domain;
	uint32_t lease_duration_ms;
	uint32_t check_period_ms; /* looks for newer peers */
	uint32_t poll_period_ms;  /* reads the manifest from the platform */
	uint32_t sweep_period_ms; /* deletes superseded copies */
	uint64_t seed;		  /* of the random choices */
	spr_snapshot_fn fn;
	spr_list_peers_fn list_peers;
	void *data;
};

/* Fills the periods with the usual values; the rest is zeroed. */
void spr_set_default_options(struct spr_options *options);

/*
 * Starts spreading. The texts of options are borrowed. Returns a new service
 * owned by ctx, or NULL with *error set.
 */
struct spr_service *spr_new_service(TALLOC_CTX *ctx,
				    const struct spr_options *options,
				    GError **error);

/* A peer reports a manifest of that sequence. */
void spr_note_newer(struct spr_service *service, const char *peer,
		    uint64_t sequence);

struct web_request;

/* Answers a request to the administration port whose path is "/spread/...". */
void spr_handle_request(struct spr_service *service,
			struct web_request *request);

/*
 * Returns the manifest that follows current with the failure domain out or in,
 * new and owned by ctx, or NULL when it has that state already. The write id is
 * the caller's to set.
 */
struct doc_manifest *
spr_make_domain_manifest(TALLOC_CTX *ctx, const struct doc_manifest *current,
			 const char *name, bool is_out);

/*
 * Returns the snapshot in force (borrowed), or NULL before the node has caught
 * up after its start.
 */
struct doc_snapshot *spr_get_snapshot(const struct spr_service *service);

#endif
