/*
 * What is known of the calls of each route before they are sent: the mean size
 * of their answers and how long targets run them in the mean.
 *
 * Invariant: routes has at most ROUTES_MAX entries.
 */
#include "loom/routing.h"

/* An answer changes a mean by 1/8 of the difference. */
#define WEIGHT_SHIFT 3
#define ROUTES_MAX 4096U

struct means {
	bool has_bytes;
	uint64_t bytes;
	uint32_t run_us; /* 0: not known */
};

struct rt_answer_sizes {
	GHashTable *routes; /* route name to its struct means */
};

static int destroy_sizes(struct rt_answer_sizes *sizes)
{
	g_hash_table_destroy(sizes->routes);
	return 0;
}

static uint64_t move_mean(uint64_t mean, uint64_t value)
{
	int64_t change = (int64_t)value - (int64_t)mean;

	return (uint64_t)((int64_t)mean + change / (1 << WEIGHT_SHIFT));
}

static struct means *get_means(struct rt_answer_sizes *sizes, const char *route)
{
	struct means *means = g_hash_table_lookup(sizes->routes, route);

	if (means)
		return means;
	if (g_hash_table_size(sizes->routes) >= ROUTES_MAX)
		g_hash_table_remove_all(sizes->routes);
	means = g_new0(struct means, 1);
	g_hash_table_insert(sizes->routes, g_strdup(route), means);
	return means;
}

struct rt_answer_sizes *rt_new_answer_sizes(TALLOC_CTX *ctx)
{
	struct rt_answer_sizes *sizes =
		talloc_zero(ctx, struct rt_answer_sizes);

	sizes->routes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	talloc_set_destructor(sizes, destroy_sizes);
	return sizes;
}

void rt_record_answer_size(struct rt_answer_sizes *sizes, const char *route,
			   uint64_t bytes)
{
	struct means *means = get_means(sizes, route);

	means->bytes =
		means->has_bytes ? move_mean(means->bytes, bytes) : bytes;
	means->has_bytes = true;
}

uint64_t rt_get_answer_size(const struct rt_answer_sizes *sizes,
			    const char *route)
{
	const struct means *means = g_hash_table_lookup(sizes->routes, route);

	return means ? means->bytes : 0;
}

bool rt_is_answer_large(const struct rt_answer_sizes *sizes, const char *route)
{
	return rt_get_answer_size(sizes, route) >= RT_BULKY_BYTES;
}

void rt_record_run_time(struct rt_answer_sizes *sizes, const char *route,
			uint32_t run_us)
{
	struct means *means;

	if (run_us == 0)
		return;
	means = get_means(sizes, route);
	means->run_us = means->run_us
				? (uint32_t)move_mean(means->run_us, run_us)
				: run_us;
}

uint32_t rt_get_run_time_us(const struct rt_answer_sizes *sizes,
			    const char *route)
{
	const struct means *means = g_hash_table_lookup(sizes->routes, route);

	return means ? means->run_us : 0;
}
