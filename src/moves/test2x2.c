/*
 * Sequential tests of two Bernoulli samples.
 *
 * For a block with n new and m old calls, and shares p_old < p_new fixed
 * before the block, let p0 = (n p_new + m p_old) / (n + m). The likelihood of
 * the block under (p_new, p_old) divided by that under (p0, p0) has an
 * expectation of at most one if both versions had the same share of bad calls
 * in the block, whatever that share was. Products of these ratios over blocks
 * are therefore a valid test that may be read after every block, and errors
 * that hit both versions cannot raise it, however they vary over time.
 *
 * The logarithms are summed and clamped at zero from below (CUSUM), so that
 * good calls before a late fault do not hide it. With b blocks, the probability
 * that such a sum reaches h when the versions are equal is at most b exp(-h).
 * A sum that is not clamped and starts once, with the step, exceeds h with a
 * probability of at most exp(-h).
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

static void add_good_llr(struct tst_sums *sums, const struct tst_model *model,
			 const struct tst_block *block)
{
	double ratio = tst_get_log_ratio(model->p_old, model->p_new[0],
					 block->new_calls, block->new_bad);

	/* Clamped at zero from above: only good calls since the last fault
	 * count. */
	sums->good_llr = min_double(0, sums->good_llr + ratio);
}

double tst_get_log_ratio(double p_low, double p_high, uint32_t calls,
			 uint32_t bad)
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
		double ratio =
			tst_get_log_ratio(p_common, p_new, block->new_calls,
					  block->new_bad) +
			tst_get_log_ratio(p_common, model->p_old,
					  block->old_calls, block->old_bad);

		sums->paired[i] = max_double(0, sums->paired[i] + ratio);
		sums->since_step[i] += ratio;
	}
	add_good_llr(sums, model, block);
}

void tst_add_unpaired(struct tst_sums *sums, const struct tst_model *model,
		      const struct tst_block *block)
{
	double ratio = tst_get_log_ratio(model->p_old, model->p_new[0],
					 block->new_calls, block->new_bad);

	sums->unpaired = max_double(0, sums->unpaired + ratio);
	add_good_llr(sums, model, block);
}

void tst_take_minimum(struct tst_sums *sums, const struct tst_sums *other)
{
	for (uint32_t i = 0; i < TST_ALTERNATIVES; i++) {
		sums->paired[i] = min_double(sums->paired[i], other->paired[i]);
		sums->since_step[i] =
			min_double(sums->since_step[i], other->since_step[i]);
	}
	sums->unpaired = min_double(sums->unpaired, other->unpaired);
	sums->good_llr = min_double(sums->good_llr, other->good_llr);
}

double tst_get_paired(const struct tst_sums *sums)
{
	double largest = 0;

	for (uint32_t i = 0; i < TST_ALTERNATIVES; i++)
		largest = max_double(largest, sums->paired[i]);
	return largest;
}

double tst_get_since_step(const struct tst_sums *sums)
{
	double largest = sums->since_step[0];

	for (uint32_t i = 1; i < TST_ALTERNATIVES; i++)
		largest = max_double(largest, sums->since_step[i]);
	return largest;
}
