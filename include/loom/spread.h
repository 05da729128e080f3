/*
 * Distribution of configuration: which manifest is in force on this node, from
 * where the node gets it and its documents, and the writer that checks new
 * documents and writes the manifest.
 *
 * Keys on the platform:
 *   documents/SERVICE          the document that operators applied
 *   status/SERVICE             the result of checking it, for operators
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

/*
 * Called when a newer snapshot is in force. It is borrowed; take a reference to
 * keep it.
 */
typedef void (*spr_snapshot_fn)(struct doc_snapshot *snapshot, void *data);

/* Another live node. */
struct spr_peer {
	const char *address; /* "IP:admin_port" */
	const char *failure_domain;
	uint64_t sequence; /* highest manifest sequence known of it */
};

/*
 * Sets *peers to the live nodes other than this one, borrowed until the next
 * event of the loop, and returns their count.
 */
typedef size_t (*spr_list_peers_fn)(const struct spr_peer **peers, void *data);

struct spr_options {
	struct tevent_context *events;
	struct tmr_service *timers;
	struct plat_client *platform;
	const char *holder;  /* identifies this node in leases and write ids */
	const char *address; /* of this node, "IP:admin_port" */
	const char *failure_domain;
	uint32_t lease_duration_ms;
	uint32_t check_period_ms; /* between checks of peers and leases */
	uint32_t poll_period_ms;  /* between reads of the manifest */
	uint32_t sweep_period_ms; /* between sweeps of superseded copies */
	uint64_t seed;		  /* seed of the random number generator */
	spr_snapshot_fn fn;
	spr_list_peers_fn list_peers;
	void *data;
};

/* Sets the periods to their default values and all other members to zero. */
void spr_set_default_options(struct spr_options *options);

/*
 * Starts the distribution on this node. The texts of options are borrowed, as
 * are events, timers and platform. Returns a new service owned by ctx, or NULL
 * with *error set.
 */
struct spr_service *spr_new_service(TALLOC_CTX *ctx,
				    const struct spr_options *options,
				    GError **error);

/*
 * Handles the report that peer, "IP:admin_port", has a manifest of that
 * sequence: pulls it when it is newer.
 */
void spr_handle_newer_manifest(struct spr_service *service, const char *peer,
			       uint64_t sequence);

struct web_request;

/*
 * Answers a request to the administration port whose path begins with
 * "/spread/".
 */
void spr_handle_request(struct spr_service *service,
			struct web_request *request);

/*
 * Returns the successor of manifest current in which the failure domain is out
 * or in: new, owned by ctx, or NULL when the domain has that state already. The
 * caller sets its write id.
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
