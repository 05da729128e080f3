/*
 * Model of a vm's link for the test of the pacer, on a virtual clock.
 *
 * A queue without loss drains at the speed of the link, in segments of TCP. Of
 * each download at most a window of segments is in the queue. Once a
 * millisecond, answers arrive, the node sends and the queue drains.
 */
#ifndef LOOM_TEST_LINK_MODEL_H
#define LOOM_TEST_LINK_MODEL_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>
#include "loom/pacer.h"

struct link_load {
	uint32_t download_count;
	uint32_t download_bytes;
	uint32_t download_period_ms; /* from one to the next */
	uint32_t deadline_ms;
	uint32_t short_bytes;
	uint32_t short_period_ms;
};

/* Sends the load over a link and prints the waits and the ends. */
void link_run(uint32_t kbit_s, bool is_paced, const struct link_load *load,
	      GString *output);

#endif
