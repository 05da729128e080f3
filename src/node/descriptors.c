/*
 * Descriptors are divided among listeners and client loops: what callers open
 * must leave enough for the connections to targets, nodes and the store.
 */
#include "descriptors.h"

#include <sys/resource.h>
#include "loom/log.h"

/* For the target, the store, the administration port and files. */
#define RESERVED 512U
#define CONNECTIONS_MIN 8U

uint32_t nd_raise_file_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
		return UINT32_MAX;
	if (limit.rlim_cur < limit.rlim_max) {
		limit.rlim_cur = limit.rlim_max;
		/* On failure the lower limit stays in force. */
		if (setrlimit(RLIMIT_NOFILE, &limit) != 0 &&
		    getrlimit(RLIMIT_NOFILE, &limit) != 0)
			return UINT32_MAX;
	}
	return (uint32_t)MIN(limit.rlim_cur, UINT32_MAX);
}

void nd_limit_connections(struct tr_options *options, uint32_t descriptors_max)
{
	uint32_t reserved = MIN(descriptors_max / 3, RESERVED);
	/* Of each thread the callers and the nodes that it calls; of the first
	 * one also the nodes that call it. */
	uint32_t parties = 2 * options->thread_count + 1;
	uint32_t share = (descriptors_max - reserved) / parties;
	char text[16];

	share = MAX(share, CONNECTIONS_MIN);
	options->peer_connections_max = share;
	if (options->connections_max <= share)
		return;
	options->connections_max = share;
	g_snprintf(text, sizeof(text), "%u", share);
	log_write(LOG_LEVEL_WARNING, "node", "limit connections", NULL,
		  "the limit on descriptors allows fewer connections",
		  "connections", text, LOG_END);
}
