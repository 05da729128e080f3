/*
 * Share of calls that may leave the own failure domain, for each service.
 *
 * Many entry nodes see the same free targets elsewhere, and together they would
 * fill them at once. So each lets a share of its calls leave: a call that finds
 * no room elsewhere lowers the share by a third, one that does raises it by a
 * constant. While no call leaves, the share recovers with time, so that calls
 * try again.
 *
 * Invariant: PERMILLE_MIN <= permille <= PERMILLE_ALL.
 */
#include "crossing.h"

#include <glib.h>

#define PERMILLE_ALL 1000U
/* Some calls keep trying, so that room elsewhere is found. */
#define PERMILLE_MIN 30U
#define RAISE_PERMILLE 30U
#define RECOVERY_PERMILLE_PER_S 100U
#define SERVICES_MAX 1024U

struct share {
	uint32_t permille;
	uint64_t updated_ms;
};

struct rt_crossings {
	GHashTable *shares; /* service to its struct share */
};

static int destroy_crossings(struct rt_crossings *crossings)
{
	g_hash_table_destroy(crossings->shares);
	return 0;
}

static void set_permille(struct share *share, uint64_t permille,
			 uint64_t now_ms)
{
	share->permille = (uint32_t)CLAMP(permille, PERMILLE_MIN, PERMILLE_ALL);
	share->updated_ms = now_ms;
}

/* Returns a share with what it has recovered until now. */
static struct share evaluate_share(const struct rt_crossings *crossings,
				   const char *service, uint64_t now_ms)
{
	const struct share *stored =
		g_hash_table_lookup(crossings->shares, service);
	struct share share = { .permille = PERMILLE_ALL, .updated_ms = now_ms };
	uint64_t elapsed_ms;
	uint64_t recovered;

	if (stored)
		share = *stored;
	elapsed_ms = now_ms - share.updated_ms;
	recovered = elapsed_ms * RECOVERY_PERMILLE_PER_S / 1000;
	/* What is less than a thousandth counts the next time. */
	elapsed_ms -= recovered * 1000 / RECOVERY_PERMILLE_PER_S;
	if (recovered > 0)
		set_permille(&share, share.permille + recovered,
			     now_ms - elapsed_ms);
	return share;
}

static struct share *get_share(struct rt_crossings *crossings,
			       const char *service, uint64_t now_ms)
{
	struct share *share = g_hash_table_lookup(crossings->shares, service);

	if (!share) {
		if (g_hash_table_size(crossings->shares) >= SERVICES_MAX)
			g_hash_table_remove_all(crossings->shares);
		share = g_new0(struct share, 1);
		set_permille(share, PERMILLE_ALL, now_ms);
		g_hash_table_insert(crossings->shares, g_strdup(service),
				    share);
	}
	*share = evaluate_share(crossings, service, now_ms);
	return share;
}

struct rt_crossings *rt_new_crossings(TALLOC_CTX *ctx)
{
	struct rt_crossings *crossings = talloc_zero(ctx, struct rt_crossings);

	crossings->shares =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	talloc_set_destructor(crossings, destroy_crossings);
	return crossings;
}

bool rt_may_cross(struct rt_crossings *crossings, const char *service,
		  uint64_t random, uint64_t now_ms)
{
	return random % PERMILLE_ALL <
	       get_share(crossings, service, now_ms)->permille;
}

void rt_record_crossing(struct rt_crossings *crossings, const char *service,
			bool has_found_room, uint64_t now_ms)
{
	struct share *share = get_share(crossings, service, now_ms);

	if (has_found_room)
		set_permille(share, share->permille + RAISE_PERMILLE, now_ms);
	else
		set_permille(share, share->permille * 2 / 3, now_ms);
}

uint32_t rt_get_crossing_permille(const struct rt_crossings *crossings,
				  const char *service, uint64_t now_ms)
{
	return evaluate_share(crossings, service, now_ms).permille;
}
