/*
 * Exposure of the callers of one thread to versions that are not known to be
 * good.
 */
#ifndef LOOM_ROUTING_EXPOSURE_H
#define LOOM_ROUTING_EXPOSURE_H

#include <stdbool.h>
#include <stdint.h>
#include "loom/document.h"

struct rt_exposures;

/* Returns a new object (owned by ctx) without a call. */
struct rt_exposures *rt_new_exposures(TALLOC_CTX *ctx, uint64_t seed);

/*
 * Returns whether the new version of a service's move may get one more call,
 * and counts calls for the move from now on.
 */
bool rt_is_exposure_left(struct rt_exposures *exposures,
			 const struct doc_service *service);

/* The same, and changes nothing. */
bool rt_has_exposure_left(const struct rt_exposures *exposures,
			  const struct doc_service *service);

/* Records a call that the new version gets. */
void rt_spend_exposure(struct rt_exposures *exposures,
		       const struct doc_service *service);

/* Records a call that has reached a target of the service. */
void rt_credit_exposure(struct rt_exposures *exposures,
			const struct doc_service *service);

#endif
