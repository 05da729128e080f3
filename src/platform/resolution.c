/*
 * Resolution of a conditional write.
 *
 * Invariants: a write does not end as CONFLICT or FAILED while it is possible
 * that an earlier try of it took effect. A write is sent again only if the last
 * try certainly had no effect, or if reading back showed the expected version;
 * in the second case the version condition lets at most one try take effect.
 */
#include "resolution.h"

#include <assert.h>

static void end_resolution(struct plat_resolution *resolution,
			   enum plat_write_result result)
{
	resolution->step = PLAT_STEP_END;
	resolution->result = result;
}

void plat_start_resolution(struct plat_resolution *resolution,
			   uint64_t expected_version, bool is_delete)
{
	*resolution = (struct plat_resolution){
		.expected_version = expected_version,
		.is_delete = is_delete,
		.step = PLAT_STEP_WRITE,
	};
}

/*
 * The store rejected this try. If an earlier try may have taken effect, that
 * effect can be the cause, and the object is read back first.
 */
static void handle_rejection(struct plat_resolution *resolution,
			     enum plat_write_result result)
{
	if (resolution->may_have_effect)
		resolution->step = PLAT_STEP_READ_BACK;
	else
		end_resolution(resolution, result);
}

void plat_note_new_era(struct plat_resolution *resolution)
{
	resolution->is_condition_lost = resolution->expected_version > 0;
}

void plat_note_write(struct plat_resolution *resolution,
		     enum plat_outcome outcome, uint64_t version)
{
	assert(resolution->step == PLAT_STEP_WRITE);
	resolution->outcome = outcome;
	resolution->version = version;
	switch (outcome) {
	case PLAT_DONE:
		/*
		 * It may have replaced the write of another on a condition
		 * that was met by chance.
		 */
		end_resolution(resolution, resolution->is_condition_lost
						   ? PLAT_WRITE_UNKNOWN
						   : PLAT_WRITE_DONE);
		return;
	case PLAT_CONFLICT:
		handle_rejection(resolution, PLAT_WRITE_CONFLICT);
		return;
	case PLAT_ABSENT:
	case PLAT_REJECTED:
	case PLAT_HISTORY_GONE:
		handle_rejection(resolution, PLAT_WRITE_FAILED);
		return;
	case PLAT_REFUSED:
	case PLAT_NOT_SENT:
		resolution->step = resolution->may_have_effect
					   ? PLAT_STEP_READ_BACK
					   : PLAT_STEP_WRITE;
		return;
	case PLAT_LOST:
	case PLAT_OUTCOME_COUNT:
		resolution->may_have_effect = true;
		resolution->step = PLAT_STEP_READ_BACK;
		return;
	}
}

static bool is_own_effect(const struct plat_resolution *resolution,
			  const struct plat_read_back *read)
{
	if (resolution->is_delete)
		return !read->is_present;
	return read->is_present && read->is_own;
}

void plat_note_read_back(struct plat_resolution *resolution,
			 const struct plat_read_back *read)
{
	uint64_t version = read->is_present ? read->version : 0;

	assert(resolution->step == PLAT_STEP_READ_BACK);
	resolution->version = version;
	if (is_own_effect(resolution, read))
		end_resolution(resolution, PLAT_WRITE_DONE);
	else if (!resolution->is_condition_lost &&
		 version == resolution->expected_version)
		resolution->step = PLAT_STEP_WRITE;
	else if (!resolution->is_condition_lost &&
		 version == resolution->expected_version + 1)
		/* Another writer made the only write since this version. */
		end_resolution(resolution, PLAT_WRITE_CONFLICT);
	else
		/* This write may be one of the overwritten versions. */
		end_resolution(resolution, PLAT_WRITE_UNKNOWN);
}

void plat_note_expiry(struct plat_resolution *resolution, bool is_write_sent)
{
	if (is_write_sent)
		resolution->may_have_effect = true;
	end_resolution(resolution, resolution->may_have_effect
					   ? PLAT_WRITE_UNKNOWN
					   : PLAT_WRITE_FAILED);
}
