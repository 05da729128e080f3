/*
 * Request of one node for the changes of another, which is given up when the
 * answer makes no progress.
 */
#ifndef ND_RELAY_POLL_H
#define ND_RELAY_POLL_H

#include <stdbool.h>
#include <stdint.h>
#include "loom/http.h"
#include "loom/timer.h"

/*
 * An answer counts as stalled when no byte of it came for this time after the
 * wait of the poll. Its total time is not bounded by it: a change of 1,720
 * routes takes longer over a link of 10 Mbit/s that carries other answers.
 */
#define ND_POLL_GRACE_MS 400U
/*
 * Bounds the time of a peer that sends a byte now and then. The longest allowed
 * answer, 4 MiB, takes 3.4 s over a link of 10 Mbit/s.
 */
#define ND_POLL_TOTAL_MS 4000U

struct nd_node;
struct nd_poll;

/* Called with the answer or with an error; it must free the poll. */
typedef void (*nd_poll_fn)(struct nd_poll *poll,
			   const struct hc_answer *answer);

struct nd_poll_times {
	uint64_t start_ms;
	uint32_t wait_ms;     /* the peer may wait so long for a change */
	uint64_t progress_ms; /* when the last bytes came; 0: none yet */
};

struct nd_poll {
	struct nd_node *node;
	char *peer;    /* "address:admin_port" */
	uint64_t base; /* gateway sequence given in the request */
	struct nd_poll_times times;
	char *url;
	struct hc_request *request;
	struct tmr_subscription *check; /* timer of the next look */
	nd_poll_fn fn;
};

/*
 * Returns how many ms after now_ms the answer has to be looked at again; 0: it
 * has to be given up now. due_ms is when this look was due.
 */
uint32_t nd_get_poll_rest(const struct nd_poll_times *times, uint64_t due_ms,
			  uint64_t now_ms);

/* Returns whether bytes of an answer have come and it has not stalled. */
bool nd_is_poll_receiving(const struct nd_poll_times *times, uint64_t now_ms);

/*
 * Sends a request for changes, which the peer may hold for wait_ms. Returns a
 * new poll owned by node; talloc_free() cancels it.
 */
struct nd_poll *nd_start_poll(struct nd_node *node, const char *peer,
			      uint32_t wait_ms, nd_poll_fn fn);

#endif
