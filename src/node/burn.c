/*
 * Feeds the counts of finished attempts into the call history that GET /burn
 * returns: /burn gives all services, /burn?service=NAME one of them.
 *
 * A lost or refused attempt counts as failed. Samples do not tell how the
 * calls of targets in phase starting ended; these are counted as successful,
 * so that a service whose targets are all starting does not look idle.
 */
#include "internal.h"

#include "loom/burn.h"

void nd_record_burn(struct nd_node *node, const struct tr_sample *sample)
{
	struct burn_key key = { .service = sample->service,
				.version = sample->version,
				.failure_domain = sample->failure_domain };
	const struct mv_counts *counts = &sample->counts;
	struct burn_counts sum = {
		.calls = (uint64_t)counts->calls + counts->cold + counts->lost +
			 counts->refused,
		.failed = (uint64_t)counts->failed + counts->lost +
			  counts->refused,
		.slow = sample->slow,
	};

	burn_note_counts(node->burn, &key, sample->slot * MV_SLOT_MS, &sum);
}

json_t *nd_make_burn(struct nd_node *node, const char *service)
{
	return burn_format_history(node->burn, service,
				   tmr_get_wall_ms(node->timers));
}
