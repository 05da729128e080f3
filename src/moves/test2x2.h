/*
 * Sequential tests of two Bernoulli samples, "bad" calls of a new version
 * against those of the old one, in blocks of calls of the same time.
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

/* Shares of bad calls that a block is tested with, fixed before the block. */
struct tst_model {
	double p_old;
	double p_new[TST_ALTERNATIVES]; /* rising; each above p_old */
};

/* Evidence in nats. */
struct tst_sums {
	double paired[TST_ALTERNATIVES]; /* new is worse than old, same time */
	double fresh[TST_ALTERNATIVES];	 /* the same since the step began */
	double alone; /* new is worse than p_old, no old calls at that time */
	double doubt; /* new is not as good as p_old; negative: it is */
};

/* Adds a block with calls of both versions. */
void tst_add_paired(struct tst_sums *sums, const struct tst_model *model,
		    const struct tst_block *block);

/* Adds the new calls of a block without calls of the old version. */
void tst_add_alone(struct tst_sums *sums, const struct tst_model *model,
		   const struct tst_block *block);

/* Returns the evidence that bad of calls come from p_high, not p_low. */
double tst_get_ratio(double p_low, double p_high, uint32_t calls, uint32_t bad);

/* Lowers each member of sums to that of other where other is lower. */
void tst_take_lower(struct tst_sums *sums, const struct tst_sums *other);

/* Returns the largest paired evidence. */
double tst_get_paired(const struct tst_sums *sums);

/* Returns the largest evidence since the step began; it may be negative. */
double tst_get_fresh(const struct tst_sums *sums);

#endif
