/*
 * Graceful shutdown. On SIGTERM or SIGINT the node announces to its peers that
 * it is leaving, accepts no new work for its target, and answers with
 * "Connection: close". Calls that may take longer than is left are refused,
 * because they could be cut. When drain_linger_ms have passed and no call is in
 * progress, the node refuses all calls that still arrive and ends; a call that
 * a thread accepted just before is finished first. After drain_refuse_ms it
 * refuses them in any case. A second signal, or shutdown_limit_ms, ends it at
 * once; the number of calls cut is logged.
 */
#include <signal.h>
#include <stdlib.h>
#include "internal.h"
#include "loom/log.h"

#define DRAIN_POLL_MS 50U

static void end_node(struct nd_node *node)
{
	uint32_t cut_count = tr_get_call_count(node->traffic);
	char text[16];

	g_snprintf(text, sizeof(text), "%u", cut_count);
	log_write(cut_count ? LOG_LEVEL_WARNING : LOG_LEVEL_INFO, "node",
		  "shut down", NULL, "node stopped", "calls_cut", text,
		  LOG_END);
	node->exit_code = cut_count ? EXIT_FAILURE : EXIT_SUCCESS;
	node->phase = ND_PHASE_ENDED;
}

static void poll_drain(uint64_t now_ms, void *data)
{
	struct nd_node *node = data;
	uint64_t elapsed_ms =
		tmr_get_now_ms(node->timers) - node->drain_start_ms;
	bool has_lingered = elapsed_ms >= node->settings->drain_linger_ms;
	/* In this order: what is accepted until then is counted. */
	bool is_refusing = tr_are_callers_refused(node->traffic);
	bool is_idle = tr_get_call_count(node->traffic) == 0;

	if (!node->is_refusing &&
	    ((is_idle && has_lingered) ||
	     elapsed_ms >= node->settings->drain_refuse_ms)) {
		node->is_refusing = true;
		tr_refuse_callers(node->traffic);
	}
	if ((is_refusing && is_idle && has_lingered) ||
	    elapsed_ms >= node->settings->shutdown_limit_ms)
		end_node(node);
}

static void begin_drain(struct nd_node *node)
{
	log_write(LOG_LEVEL_INFO, "node", "shut down", NULL, "drain begins",
		  LOG_END);
	node->phase = ND_PHASE_DRAINING;
	node->drain_start_ms = tmr_get_now_ms(node->timers);
	mem_leave(node->members);
	tr_drain_target(node->traffic);
	tr_begin_drain(node->traffic, node->settings->shutdown_limit_ms);
	node->drain_poll = tmr_subscribe_every(node, node->timers,
					       DRAIN_POLL_MS, poll_drain, node);
}

static void handle_signal(struct tevent_context *events,
			  struct tevent_signal *signal, int number, int count,
			  void *info, void *data)
{
	struct nd_node *node = data;

	switch (node->phase) {
	case ND_PHASE_SERVING:
		begin_drain(node);
		break;
	case ND_PHASE_DRAINING:
		end_node(node);
		break;
	case ND_PHASE_ENDED:
		break;
	}
}

void nd_watch_signals(struct nd_node *node)
{
	signal(SIGPIPE, SIG_IGN);
	tevent_add_signal(node->events, node, SIGTERM, 0, handle_signal, node);
	tevent_add_signal(node->events, node, SIGINT, 0, handle_signal, node);
}
