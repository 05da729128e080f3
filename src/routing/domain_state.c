/*
 * Reachability of failure domains.
 *
 * When nodes of several targets of a domain cannot be reached one after the
 * other, and none has been heard since, the domain is probably cut off: it gets
 * no call for a time that doubles with each probe that fails. Otherwise each
 * call would lose the time of a connect for each of the domain's targets.
 *
 * Invariant: failed_count < FAILED_TARGETS, and the addresses up to it differ.
 */
#include "domain_state.h"

#include <glib.h>
#include <string.h>

/* Different targets that failed in a row until a domain counts as cut off. */
#define FAILED_TARGETS 3U
#define CUT_OFF_FIRST_MS 500U
#define CUT_OFF_MAX_MS 2000U

struct rt_domain_state {
	/* Addresses of the targets that failed since one was heard. */
	char *failed[FAILED_TARGETS - 1];
	uint32_t failed_count;
	uint64_t cut_off_ms; /* length of the last time; 0: not cut off */
	uint64_t until_ms;
	uint64_t probed_ms; /* start of the probe since until_ms; 0: none */
};

struct rt_domain_set {
	GHashTable *states;
};

static void clear_failed(struct rt_domain_state *domain)
{
	while (domain->failed_count > 0)
		g_free(domain->failed[--domain->failed_count]);
}

static void free_state(gpointer data)
{
	struct rt_domain_state *domain = data;

	clear_failed(domain);
	g_free(domain);
}

/* Returns whether a further target failed, and now there are enough of them. */
static bool add_failed(struct rt_domain_state *domain, const char *address)
{
	for (uint32_t i = 0; i < domain->failed_count; i++) {
		if (strcmp(domain->failed[i], address) == 0)
			return false;
	}
	if (domain->failed_count + 1 == FAILED_TARGETS)
		return true;
	domain->failed[domain->failed_count++] = g_strdup(address);
	return false;
}

static int destroy_set(struct rt_domain_set *set)
{
	g_hash_table_destroy(set->states);
	return 0;
}

struct rt_domain_set *rt_new_domain_set(TALLOC_CTX *ctx)
{
	struct rt_domain_set *set = talloc_zero(ctx, struct rt_domain_set);

	set->states = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    free_state);
	talloc_set_destructor(set, destroy_set);
	return set;
}

struct rt_domain_state *rt_get_domain_state(struct rt_domain_set *set,
					    const char *name)
{
	struct rt_domain_state *domain = g_hash_table_lookup(set->states, name);

	if (domain)
		return domain;
	domain = g_new0(struct rt_domain_state, 1);
	g_hash_table_insert(set->states, g_strdup(name), domain);
	return domain;
}

struct rt_domain_state *rt_find_domain_state(const struct rt_domain_set *set,
					     const char *name)
{
	return g_hash_table_lookup(set->states, name);
}

void rt_record_domain_heard(struct rt_domain_state *domain)
{
	clear_failed(domain);
	domain->cut_off_ms = 0;
	domain->until_ms = 0;
	domain->probed_ms = 0;
}

void rt_record_domain_start(struct rt_domain_state *domain, uint64_t now_ms)
{
	if (domain->cut_off_ms > 0 && !rt_is_domain_cut_off(domain, now_ms))
		domain->probed_ms = now_ms;
}

void rt_record_domain_failure(struct rt_domain_state *domain,
			      const char *address, uint64_t now_ms)
{
	if (now_ms < domain->until_ms)
		return;
	/* A failed probe shows enough, whichever target it went to. */
	if (domain->cut_off_ms == 0 && !add_failed(domain, address))
		return;
	domain->cut_off_ms =
		domain->cut_off_ms ? MIN(domain->cut_off_ms * 2, CUT_OFF_MAX_MS)
				   : CUT_OFF_FIRST_MS;
	domain->until_ms = now_ms + domain->cut_off_ms;
	domain->probed_ms = 0;
}

bool rt_is_domain_cut_off(const struct rt_domain_state *domain, uint64_t now_ms)
{
	if (now_ms < domain->until_ms)
		return true;
	/* One call probes; when its caller hangs up, another one may. */
	return domain->probed_ms > 0 &&
	       now_ms < domain->probed_ms + CUT_OFF_FIRST_MS;
}
