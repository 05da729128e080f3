/*
 * Eras of the store: decisions without I/O.
 *
 * A store that returns from an older copy raises its era and issues revisions a
 * second time. A revision means something only within its era, so users order
 * pairs of both, packed into one number, the stamp. In era 0, which is also
 * that of a store without eras, the stamp equals the revision.
 */
#ifndef LOOM_ERA_H
#define LOOM_ERA_H

#include <stdbool.h>
#include <stdint.h>

/*
 * 20 bits for the era, one for PLAT_STAMP_TOLD and 41 for the revision: the sum
 * of two stamps, which nodes announce, still fits into a signed 64-bit integer.
 */
#define PLAT_ERA_MAX ((UINT64_C(1) << 20) - 1)
#define PLAT_REVISION_MAX ((UINT64_C(1) << 41) - 1)
/*
 * Set by nodes in the stamp of a state that includes what the store has lost at
 * the begin of the era. Such a state is above all others of the era.
 */
#define PLAT_STAMP_TOLD (UINT64_C(1) << 41)

/* The highest era seen. */
struct plat_era {
	bool is_known;
	uint64_t current;
};

enum plat_era_event {
	PLAT_ERA_SAME,
	PLAT_ERA_FIRST, /* nothing is known of the store that could be lost */
	PLAT_ERA_RISEN, /* what was read or written before may be lost */
	PLAT_ERA_OLD,	/* the answer is from before a loss */
};

/*
 * Parses the era of an answer: decimal digits, at most PLAT_ERA_MAX. Returns
 * false for any other text.
 */
bool plat_parse_era(const char *text, uint64_t *era);

/* Records the era of an answer and returns what it means. */
enum plat_era_event plat_note_era(struct plat_era *known, uint64_t era);

/*
 * Returns the stamp of a revision in an era. A revision above
 * PLAT_REVISION_MAX is kept whole in era 0 and reduced to it in others.
 */
uint64_t plat_make_stamp(uint64_t era, uint64_t revision);
uint64_t plat_get_stamp_era(uint64_t stamp);
uint64_t plat_get_stamp_revision(uint64_t stamp);

#endif
