/*
 * Reachability of failure domains.
 *
 * When nodes of several targets of a domain cannot be reached one after the
 * other, and none has been heard since, the domain is probably cut off: it gets
 * no call for a time that doubles with each probe that fails. Otherwise each
 * call would lose the time of a connect for each of the domain's targets.
 */
#include "domain_state.h"

#include <glib.h>
#include <string.h>

/* Different targets that failed in a row until a domain counts as cut off. */
#define FAILED_TARGETS 3U
#define CUT_OFF_FIRST_MS 500U
#define CUT_OFF_MAX_MS 2000U

struct rt_domain_state {
	uint32_t failed_targets;
	char *last_failed;   /* address; NULL: none */
	uint64_t cut_off_ms; /* length of the last time; 0: not cut off */
	uint64_t until_ms;
};

struct rt_domain_set {
	GHashTable *states;
};

static void free_state(gpointer data)
{
	struct rt_domain_state *domain = data;

	g_free(domain->last_failed);
	g_free(domain);
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

void rt_record_domain_heard(struct rt_domain_state *domain)
{
	domain->failed_targets = 0;
	domain->cut_off_ms = 0;
	domain->until_ms = 0;
}

void rt_record_domain_failure(struct rt_domain_state *domain,
			      const char *address, uint64_t now_ms)
{
	if (now_ms < domain->until_ms)
		return;
	if (g_strcmp0(domain->last_failed, address) != 0)
		domain->failed_targets++;
	g_free(domain->last_failed);
	domain->last_failed = g_strdup(address);
	if (domain->failed_targets < FAILED_TARGETS)
		return;
	domain->cut_off_ms =
		domain->cut_off_ms ? MIN(domain->cut_off_ms * 2, CUT_OFF_MAX_MS)
				   : CUT_OFF_FIRST_MS;
	domain->until_ms = now_ms + domain->cut_off_ms;
	/* The next call probes; one more failure extends the time. */
	domain->failed_targets = FAILED_TARGETS - 1;
}

bool rt_is_domain_cut_off(const struct rt_domain_state *domain, uint64_t now_ms)
{
	return now_ms < domain->until_ms;
}
