/*
 * Calls that wait for a slot of the target.
 */
#ifndef LOOM_ADMISSION_QUEUE_H
#define LOOM_ADMISSION_QUEUE_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>
#include <talloc.h>
#include "loom/admission.h"

struct adm_queue {
	GQueue waiting; /* struct adm_waiting, by priority, oldest first */
	uint64_t busy_since_ms; /* it has not been empty since */
};

/* Initializes an empty queue that lives in the memory of ctx. */
void adm_init_queue(struct adm_queue *queue);

/* Drops all waiting calls. */
void adm_clear_queue(struct adm_queue *queue);

/* Adds a call behind those of its priority and of higher ones. */
void adm_push_waiting(struct adm_queue *queue, const struct adm_call *call,
		      uint64_t now_ms);

/* Returns how many calls of that priority and of higher ones wait. */
uint32_t adm_count_ahead(const struct adm_queue *queue, uint32_t priority);

/*
 * Makes the last waiting call of a priority below the given one hopeless.
 * Returns false when there is none.
 */
bool adm_displace_waiting(struct adm_queue *queue, uint32_t priority);

/* Returns whether calls have waited without a break for a while. */
bool adm_is_queue_lasting(const struct adm_queue *queue, uint64_t now_ms);

/*
 * Removes and returns the ticket to run next, or NULL. service_ms is the
 * estimated time that a call takes once it runs.
 */
void *adm_take_waiting(struct adm_queue *queue, uint64_t now_ms,
		       uint32_t service_ms);

/* Removes and returns a ticket that cannot be served in time, or NULL. */
void *adm_take_hopeless(struct adm_queue *queue, uint64_t now_ms,
			uint32_t service_ms);

/* Makes every waiting call one that cannot be served in time. */
void adm_expire_queue(struct adm_queue *queue);

/* Removes and returns the oldest ticket, or NULL. */
void *adm_take_oldest(struct adm_queue *queue);

/* Removes a ticket; returns whether it was there. */
bool adm_remove_waiting(struct adm_queue *queue, const void *ticket);

/* Returns how many calls wait. */
uint32_t adm_get_queue_length(const struct adm_queue *queue);

#endif
