/*
 * Admission by class: which calls wait for a slot, and for how long, by
 * estimates for their kind.
 */
#ifndef LOOM_ADMISSION_CLASSES_H
#define LOOM_ADMISSION_CLASSES_H

#include "schedule.h"

/* What the gate knows of the slots of its target. */
struct adm_occupancy {
	uint32_t in_flight;
	uint32_t limit;
	uint32_t queue_length; /* most calls that wait */
};

struct adm_classes {
	struct adm_schedule schedule;
	struct cap_target *capacity;
};

/* Initializes memory that the caller owns; capacity is owned by ctx. */
void adm_init_classes(TALLOC_CTX *ctx, struct adm_classes *classes);

/* Returns whether a further call may start. */
bool adm_has_slot(const struct adm_classes *classes,
		  const struct adm_occupancy *occupancy, uint64_t now_ms);

/*
 * Decides on a call. On ADM_VERDICT_WAIT it was added to the schedule; on
 * ADM_VERDICT_REFUSE *refusal is set.
 */
enum adm_verdict adm_decide_by_class(struct adm_classes *classes,
				     const struct adm_occupancy *occupancy,
				     const struct adm_call *call,
				     uint64_t now_ms,
				     enum adm_refusal *refusal);

/* Sets the expected waits of all classes in load. */
void adm_set_waits(const struct adm_classes *classes,
		   const struct adm_occupancy *occupancy, uint64_t now_ms,
		   struct rt_load *load);

#endif
