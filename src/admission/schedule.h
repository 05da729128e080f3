/* Order of the calls that wait for a slot of the target, by class. */
#ifndef LOOM_ADMISSION_SCHEDULE_H
#define LOOM_ADMISSION_SCHEDULE_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>
#include "loom/admission.h"

struct adm_schedule {
	GQueue waiting;	      /* struct adm_entry, by class, then by deadline */
	uint32_t start_count; /* since a start by the time of waiting */
};

/* A call as the schedule needs it. */
struct adm_entry {
	void *ticket;
	enum rt_class class;
	uint64_t deadline_ms;
	uint64_t latest_end_ms; /* its answer is useless after that */
	uint64_t arrived_ms;
	uint32_t run_us;  /* expected */
	uint32_t need_us; /* time to leave it from its start until its end */
};

void adm_init_schedule(struct adm_schedule *schedule);
void adm_clear_schedule(struct adm_schedule *schedule);

/* Adds a copy of the entry. */
void adm_add_entry(struct adm_schedule *schedule,
		   const struct adm_entry *entry);

/*
 * Returns the expected work, in microseconds, of the waiting calls that would
 * start before one with that class and deadline.
 */
uint64_t adm_sum_work_ahead_us(const struct adm_schedule *schedule,
			       enum rt_class class, uint64_t deadline_ms);

/*
 * Removes and returns the ticket of the next call to start, or NULL. Calls that
 * can no longer end in time are left for adm_take_late().
 */
void *adm_take_next(struct adm_schedule *schedule, uint64_t now_ms);

/* Returns when the first waiting call becomes late; UINT64_MAX: none waits. */
uint64_t adm_get_late_ms(const struct adm_schedule *schedule);

/* Removes and returns the ticket of a call that cannot end in time, or NULL. */
void *adm_take_late(struct adm_schedule *schedule, uint64_t now_ms);

/* Removes and returns the first ticket, or NULL. */
void *adm_take_any(struct adm_schedule *schedule);

/*
 * Makes the last call late if its class is lower than the given one, so that a
 * call of that class can take its place. Returns false if there is no such
 * call.
 */
bool adm_displace_entry(struct adm_schedule *schedule, enum rt_class class);

/* Removes a ticket. Returns whether it was waiting. */
bool adm_remove_entry(struct adm_schedule *schedule, const void *ticket);

/* Makes every waiting call late. */
void adm_expire_entries(struct adm_schedule *schedule);

uint32_t adm_count_entries(const struct adm_schedule *schedule);

#endif
