/*
 * Eras of the store.
 */
#include "loom/era.h"

#include <glib.h>

/* Of the revision and PLAT_STAMP_TOLD. */
#define REVISION_BITS 42

bool plat_parse_era(const char *text, uint64_t *era)
{
	return g_ascii_string_to_unsigned(text, 10, 0, PLAT_ERA_MAX, era, NULL);
}

enum plat_era_event plat_note_era(struct plat_era *known, uint64_t era)
{
	enum plat_era_event event = PLAT_ERA_SAME;

	if (!known->is_known)
		event = PLAT_ERA_FIRST;
	else if (era < known->current)
		return PLAT_ERA_OLD;
	else if (era > known->current)
		event = PLAT_ERA_RISEN;
	known->is_known = true;
	known->current = era;
	return event;
}

uint64_t plat_make_stamp(uint64_t era, uint64_t revision)
{
	if (era == 0)
		return revision;
	return era << REVISION_BITS | MIN(revision, PLAT_REVISION_MAX);
}

uint64_t plat_get_stamp_era(uint64_t stamp)
{
	return stamp >> REVISION_BITS;
}

uint64_t plat_get_stamp_revision(uint64_t stamp)
{
	return stamp & PLAT_REVISION_MAX;
}
