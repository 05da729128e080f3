/*
 * Spreading of configuration: which manifest is in force on this node, where
 * it and its documents come from, and the writer that admits new documents.
 *
 * Keys on the platform:
 *   documents/SERVICE          the operators' document, as applied
 *   status/SERVICE             what became of it, for operators to read
 *   system/manifest            the manifest in force
 *   system/accepted/SERVICE/N  copy of an accepted document of version N
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

struct spr_service;

/* A newer snapshot is in force (borrowed; reference it to keep it). */
typedef void (*spr_snapshot_fn)(struct doc_snapshot *snapshot, void *data);

struct spr_options {
	struct tmr_service *timers;
	struct plat_client *platform;
	const char *holder; /* name of this node in leases and write ids */
	spr_snapshot_fn fn;
	void *data;
};

/* Starts spreading. Returns a new service owned by ctx. */
struct spr_service *spr_new_service(TALLOC_CTX *ctx,
				    const struct spr_options *options);

/* Returns the snapshot in force (borrowed), or NULL before the first. */
struct doc_snapshot *spr_get_snapshot(const struct spr_service *service);

#endif
