/*
 * Mean size of the answers of each route, to know before a call whether its
 * answer will be large.
 *
 * Invariant: means has at most ROUTES_MAX entries.
 */
#include "loom/routing.h"

/* An answer changes the mean by 1/8 of the difference. */
#define WEIGHT_SHIFT 3
#define ROUTES_MAX 4096U

struct rt_answer_sizes {
	GHashTable *means; /* route name to its mean in bytes, plus 1 */
};

static int destroy_sizes(struct rt_answer_sizes *sizes)
{
	g_hash_table_destroy(sizes->means);
	return 0;
}

struct rt_answer_sizes *rt_new_answer_sizes(TALLOC_CTX *ctx)
{
	struct rt_answer_sizes *sizes =
		talloc_zero(ctx, struct rt_answer_sizes);

	sizes->means =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	talloc_set_destructor(sizes, destroy_sizes);
	return sizes;
}

void rt_record_answer_size(struct rt_answer_sizes *sizes, const char *route,
			   uint64_t bytes)
{
	uint64_t known =
		GPOINTER_TO_SIZE(g_hash_table_lookup(sizes->means, route));
	int64_t mean = (int64_t)known - 1;

	if (known == 0)
		mean = (int64_t)bytes;
	else
		mean += ((int64_t)bytes - mean) / (1 << WEIGHT_SHIFT);
	if (known == 0 && g_hash_table_size(sizes->means) >= ROUTES_MAX)
		g_hash_table_remove_all(sizes->means);
	g_hash_table_replace(sizes->means, g_strdup(route),
			     GSIZE_TO_POINTER((gsize)mean + 1));
}

bool rt_is_answer_large(const struct rt_answer_sizes *sizes, const char *route)
{
	return GPOINTER_TO_SIZE(g_hash_table_lookup(sizes->means, route)) >
	       RT_BULKY_BYTES;
}

uint64_t rt_get_answer_size(const struct rt_answer_sizes *sizes,
			    const char *route)
{
	uint64_t known =
		GPOINTER_TO_SIZE(g_hash_table_lookup(sizes->means, route));

	return known > 0 ? known - 1 : 0;
}
