/*
 * Sequential tests of two Bernoulli samples.
 *
 * For a block with n new and m old calls, and shares p_old < p_new fixed
 * before the block, let p0 = (n p_new + m p_old) / (n + m). The likelihood of
 * the block under (p_new, p_old) divided by that under (p0, p0) has an
 * expectation of at most one whatever share of bad calls, common to both
 * versions, the block really had. Hence products of these ratios over blocks
 * are a test that may be looked at after every block, and that errors common
 * to both versions cannot drive up, however they vary in time.
 *
 * The logarithms are summed and held at zero from below (CUSUM), so that
 * badness which begins late does not have to make up for good calls before.
 * With b blocks the probability that a sum of equal versions ever reaches h is
 * at most b exp(-h). A sum that is not held at zero and starts once, with the
 * step, passes h with a probability of at most exp(-h).
 */
#include "test2x2.h"

#include <assert.h>
#include <math.h>

static double max_double(double a, double b)
{
	return a > b ? a : b;
}

static double min_double(double a, double b)
{
	return a < b ? a : b;
}

static void add_doubt(struct tst_sums *sums, const struct tst_model *model,
		      const struct tst_block *block)
{
	double ratio = tst_get_ratio(model->p_old, model->p_new[0],
				     block->new_calls, block->new_bad);

	/* Held at zero from above: good calls count from the last bad spell. */
	sums->doubt = min_double(0, sums->doubt + ratio);
}

double tst_get_ratio(double p_low, double p_high, uint32_t calls, uint32_t bad)
{
	assert(bad <= calls);
	return bad * log(p_high / p_low) +
	       (calls - bad) * log((1 - p_high) / (1 - p_low));
}

void tst_add_paired(struct tst_sums *sums, const struct tst_model *model,
		    const struct tst_block *block)
{
	double n = block->new_calls;
	double m = block->old_calls;

	if (block->new_calls == 0 || block->old_calls == 0)
		return;
	for (uint32_t i = 0; i < TST_ALTERNATIVES; i++) {
		double p_new = model->p_new[i];
		double p_common = (n * p_new + m * model->p_old) / (n + m);
		double ratio = tst_get_ratio(p_common, p_new, block->new_calls,
					     block->new_bad) +
			       tst_get_ratio(p_common, model->p_old,
					     block->old_calls, block->old_bad);

		sums->paired[i] = max_double(0, sums->paired[i] + ratio);
		sums->fresh[i] += ratio;
	}
	add_doubt(sums, model, block);
}

void tst_add_alone(struct tst_sums *sums, const struct tst_model *model,
		   const struct tst_block *block)
{
	double ratio = tst_get_ratio(model->p_old, model->p_new[0],
				     block->new_calls, block->new_bad);

	sums->alone = max_double(0, sums->alone + ratio);
	add_doubt(sums, model, block);
}

void tst_take_lower(struct tst_sums *sums, const struct tst_sums *other)
{
	for (uint32_t i = 0; i < TST_ALTERNATIVES; i++) {
		sums->paired[i] = min_double(sums->paired[i], other->paired[i]);
		sums->fresh[i] = min_double(sums->fresh[i], other->fresh[i]);
	}
	sums->alone = min_double(sums->alone, other->alone);
	sums->doubt = min_double(sums->doubt, other->doubt);
}

double tst_get_paired(const struct tst_sums *sums)
{
	double largest = 0;

	for (uint32_t i = 0; i < TST_ALTERNATIVES; i++)
		largest = max_double(largest, sums->paired[i]);
	return largest;
}

double tst_get_fresh(const struct tst_sums *sums)
{
	double largest = sums->fresh[0];

	for (uint32_t i = 1; i < TST_ALTERNATIVES; i++)
		largest = max_double(largest, sums->fresh[i]);
	return largest;
}
