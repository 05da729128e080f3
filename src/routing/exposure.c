/*
 * Bound on the calls that a version gets while it is not known to be good.
 *
 * A thread counts its own calls that reached a target of the service since it
 * knows of the move, and gives the new version no more than a part of them,
 * whatever the share. So the
 * sum over all threads of all nodes keeps the bound as well: no message, clock
 * or verdict can break it, and neither can a node that starts again.
 *
 * The bound of each thread is rounded up or down at random, with the exact
 * bound as the mean. Otherwise threads with few calls each would never send one
 * to the new version, or all of them would exceed the bound.
 *
 * Invariant: the calls given to a new version times DOC_SHARE_ALL_PERMILLE plus
 * the credit are the calls that reached a target times the bound in permille
 * plus the initial credit, which is below one call.
 */
#include "exposure.h"

#include <string.h>
#include <glib.h>
#include <xxhash.h>

struct exposure {
	uint64_t move_id;
	char *to;	 /* a move may be changed to another version */
	uint64_t credit; /* in thousandths of a call */
};

struct rt_exposures {
	uint64_t seed;
	GHashTable *by_service; /* service name to struct exposure */
};

static void free_exposure(gpointer data)
{
	struct exposure *exposure = data;

	g_free(exposure->to);
	g_free(exposure);
}

static int destroy_exposures(struct rt_exposures *exposures)
{
	g_hash_table_destroy(exposures->by_service);
	return 0;
}

struct rt_exposures *rt_new_exposures(TALLOC_CTX *ctx, uint64_t seed)
{
	struct rt_exposures *exposures = talloc_zero(ctx, struct rt_exposures);

	exposures->seed = seed;
	exposures->by_service = g_hash_table_new_full(g_str_hash, g_str_equal,
						      g_free, free_exposure);
	talloc_set_destructor(exposures, destroy_exposures);
	return exposures;
}

static bool is_bounded(const struct doc_service *service)
{
	return service->move && service->move->bound_permille > 0;
}

/* Returns the exposure of the service's move (borrowed), or NULL. */
static struct exposure *find_exposure(const struct rt_exposures *exposures,
				      const struct doc_service *service)
{
	struct exposure *exposure =
		g_hash_table_lookup(exposures->by_service, service->name);

	if (!exposure || exposure->move_id != service->move->id ||
	    strcmp(exposure->to, service->move->to) != 0)
		return NULL;
	return exposure;
}

static uint64_t get_first_credit(const struct rt_exposures *exposures,
				 const struct doc_move *move)
{
	return XXH3_64bits_withSeed(&move->id, sizeof(move->id),
				    exposures->seed) %
	       DOC_SHARE_ALL_PERMILLE;
}

bool rt_has_exposure_left(const struct rt_exposures *exposures,
			  const struct doc_service *service)
{
	const struct exposure *exposure;

	if (!is_bounded(service))
		return true;
	exposure = find_exposure(exposures, service);
	return (exposure ? exposure->credit
			 : get_first_credit(exposures, service->move)) >=
	       DOC_SHARE_ALL_PERMILLE;
}

bool rt_is_exposure_left(struct rt_exposures *exposures,
			 const struct doc_service *service)
{
	struct exposure *exposure;

	if (!is_bounded(service))
		return true;
	exposure = find_exposure(exposures, service);
	if (!exposure) {
		exposure = g_new0(struct exposure, 1);
		exposure->move_id = service->move->id;
		exposure->to = g_strdup(service->move->to);
		exposure->credit = get_first_credit(exposures, service->move);
		g_hash_table_replace(exposures->by_service,
				     g_strdup(service->name), exposure);
	}
	return rt_has_exposure_left(exposures, service);
}

void rt_spend_exposure(struct rt_exposures *exposures,
		       const struct doc_service *service)
{
	struct exposure *exposure;

	if (!is_bounded(service))
		return;
	exposure = find_exposure(exposures, service);
	if (exposure)
		exposure->credit -=
			MIN(exposure->credit, DOC_SHARE_ALL_PERMILLE);
}

void rt_credit_exposure(struct rt_exposures *exposures,
			const struct doc_service *service)
{
	struct exposure *exposure;

	if (!is_bounded(service))
		return;
	exposure = find_exposure(exposures, service);
	if (exposure)
		exposure->credit += service->move->bound_permille;
}
