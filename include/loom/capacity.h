/*
 * Capacity of the local target at present: how long calls of each kind run
 * there, and how many calls it runs that did not come through this gate.
 *
 * Run times are learned from the calls that end. A target may report its load
 * and how long work takes on its VM compared with usual; then run times are
 * kept for the usual speed and scaled to the present one. Reports that cannot
 * be true are ignored, and old ones lose their effect.
 *
 * Decisions take the time as an argument and do no I/O. Used by one thread.
 */
#ifndef LOOM_CAPACITY_H
#define LOOM_CAPACITY_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

struct cap_target;

/* What a target reports about itself with an answer. */
struct cap_report {
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	uint32_t time_percent; /* time of work, 100: as usual; 0: not told */
};

/*
 * Parses "running,waiting,slots" or "running,waiting,slots,time_percent".
 * Returns false for any other text.
 */
bool cap_parse_report(const char *text, struct cap_report *report);

/* Returns a new target (owned by ctx) of which nothing is known. */
struct cap_target *cap_new_target(TALLOC_CTX *ctx);

/* Forgets everything, since the target has restarted. */
void cap_clear_target(struct cap_target *target);

/* Sets the number of slots that the target announced; 0: unknown. */
void cap_set_slots(struct cap_target *target, uint32_t slots);

/*
 * Records a report. Returns false, and ignores it, when it cannot be true.
 * own_in_flight is the number of calls of this gate at the target.
 */
bool cap_record_report(struct cap_target *target,
		       const struct cap_report *report, uint32_t own_in_flight,
		       uint64_t now_ms);

/*
 * Records a call that ended well: it ran for run_us and kept its slot for
 * hold_us. kind is copied.
 */
void cap_record_run(struct cap_target *target, const char *kind,
		    uint32_t run_us, uint32_t hold_us, uint64_t now_ms);

/* Returns how long a call of a kind would run now; 0: nothing is known. */
uint32_t cap_estimate_run_us(const struct cap_target *target, const char *kind,
			     uint64_t now_ms);

/*
 * Returns how long a call keeps its slot in the mean of recent calls; 0:
 * nothing is known.
 */
uint32_t cap_estimate_hold_us(const struct cap_target *target, uint64_t now_ms);

/*
 * Returns the number of calls at the target that this gate did not start, such
 * as those of a gate that ran here before a restart of the node.
 */
uint32_t cap_estimate_foreign(const struct cap_target *target, uint64_t now_ms);

/* Returns when the calls of cap_estimate_foreign() stop counting. */
uint64_t cap_get_foreign_end_ms(const struct cap_target *target);

/* Returns the number of reports that were ignored. */
uint64_t cap_get_absurd_count(const struct cap_target *target);

#endif
