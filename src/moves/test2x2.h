/*
 * Sequential tests of two Bernoulli samples: the bad calls of a new version
 * against those of the old one, in blocks of calls from the same time.
 */
#ifndef MOVES_TEST2X2_H
#define MOVES_TEST2X2_H

#include <stdint.h>

#define TST_ALTERNATIVES 3U

/* Calls of one block. */
struct tst_block {
	uint32_t new_calls;
	uint32_t new_bad;
	uint32_t old_calls;
	uint32_t old_bad;
};

/* Hypotheses on the share of bad calls, fixed before the block starts. */
struct tst_model {
	double p_old;
	double p_new[TST_ALTERNATIVES]; /* ascending; each above p_old */
};

/* Evidence: sums of log-likelihood ratios in nats. */
struct tst_sums {
	double paired[TST_ALTERNATIVES]; /* new is worse than old, same time */
	double since_step[TST_ALTERNATIVES]; /* the same since the step began */
	double unpaired; /* new is worse than p_old, without old calls */
	/* New is as good as p_old: the lower, the more evidence; at most 0. */
	double good_llr;
};

/* Adds a block; it counts only when it has calls of both versions. */
void tst_add_paired(struct tst_sums *sums, const struct tst_model *model,
		    const struct tst_block *block);

/* Adds the new calls of a block that has no calls of the old version. */
void tst_add_unpaired(struct tst_sums *sums, const struct tst_model *model,
		      const struct tst_block *block);

/*
 * Returns the log-likelihood ratio, in nats, of p_high against p_low given that
 * bad of calls are bad.
 */
double tst_get_log_ratio(double p_low, double p_high, uint32_t calls,
			 uint32_t bad);

/* Sets each member of sums to the minimum of it and that of other. */
void tst_take_minimum(struct tst_sums *sums, const struct tst_sums *other);

/* Returns the largest paired evidence of all alternatives; at least 0. */
double tst_get_paired(const struct tst_sums *sums);

/* Returns the largest evidence since the step began; it may be negative. */
double tst_get_since_step(const struct tst_sums *sums);

#endif
