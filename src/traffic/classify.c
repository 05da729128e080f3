/*
 * Overload control on the entry side: the class of a call, what its choice of a
 * target depends on, and how much of the retry budget it may spend.
 */
#include <string.h>
#include "call.h"
#include "way.h"

/*
 * Parts of the retry budget, in thousandths. A nested call that fails wastes
 * the work of the call that waits for it, and more of it when other nested
 * calls have been answered.
 */
#define FRESH_BUDGET_PERMILLE 400U
#define FIRST_NESTED_BUDGET_PERMILLE 700U
/* Callers choose the ids of their requests, so the search is bounded. */
#define SUFFIX_DOTS_MAX 3

uint64_t tr_get_due_ms(const struct tr_call *call)
{
	if (call->objective_ms == 0)
		return call->deadline_ms;
	return MIN(call->objective_ms, call->deadline_ms);
}

bool tr_is_controlled(const struct tr_call *call)
{
	return call->thread->service->options.overload.is_enabled;
}

/*
 * Returns the call that the local target runs and that made this request, or
 * NULL: the request's id is the id of that call's request, a dot and a suffix,
 * which may have SUFFIX_DOTS_MAX dots itself.
 */
static struct tr_call *find_parent(const struct tr_call *call)
{
	struct tr_call *parent = NULL;
	char *id = g_strdup(hx_get_header(
		call->exchange,
		call->thread->service->options.names->request_id));
	char *dot = id ? strrchr(id, '.') : NULL;

	for (int i = 0; dot && !parent && i <= SUFFIX_DOTS_MAX; i++) {
		*dot = '\0';
		parent = g_hash_table_lookup(call->thread->running, id);
		dot = strrchr(id, '.');
	}
	g_free(id);
	return parent;
}

void tr_set_class(struct tr_call *call)
{
	struct tr_call *parent = find_parent(call);

	call->class = rt_get_rank_class(call->priority);
	if (!parent)
		return;
	call->class = RT_CLASS_NESTED;
	call->is_first_nested = parent->nested_count++ == 0;
}

void tr_set_placement(struct tr_call *call)
{
	struct tr_way way = { .service = call->service,
			      .route = call->route,
			      .gateway_route = call->gateway_route };

	tr_place_request(call->thread, &way, call->class,
			 call->upload.content_length, &call->request);
	/* A late call is sent to an idle target, whose gate decides. */
	call->request.latest_end_ms =
		call->class == RT_CLASS_NESTED || call->returned.is_late
			? call->deadline_ms
			: tr_get_due_ms(call);
}

uint32_t tr_get_budget_permille(const struct tr_call *call)
{
	if (!tr_is_controlled(call))
		return 0;
	if (call->class != RT_CLASS_NESTED)
		return FRESH_BUDGET_PERMILLE;
	return call->is_first_nested ? FIRST_NESTED_BUDGET_PERMILLE : 0;
}
