/* Queue of calls that wait for a slot of the target. */
#ifndef LOOM_ADMISSION_QUEUE_H
#define LOOM_ADMISSION_QUEUE_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>
#include <talloc.h>
#include "loom/admission.h"

struct adm_queue {
	GQueue waiting; /* struct adm_waiting, by priority, then by arrival */
	uint64_t busy_since_ms; /* since when the queue has not been empty */
};

/* Initializes an empty queue in memory that the caller owns. */
void adm_init_queue(struct adm_queue *queue);

/* Removes all waiting calls. */
void adm_clear_queue(struct adm_queue *queue);

/* Adds a call behind those of the same or a higher priority. */
void adm_push_waiting(struct adm_queue *queue, const struct adm_call *call,
		      uint64_t now_ms);

/* Returns the number of waiting calls of the same or a higher priority. */
uint32_t adm_count_ahead(const struct adm_queue *queue, uint32_t priority);

/*
 * Expires the last waiting call if its priority is lower than the given one, so
 * that a more important call can take its place. Returns false if there is no
 * such call.
 */
bool adm_displace_waiting(struct adm_queue *queue, uint32_t priority);

/* Returns whether the queue has been non-empty for SUSTAINED_OVERLOAD_MS. */
bool adm_is_overload_sustained(const struct adm_queue *queue, uint64_t now_ms);

/*
 * Removes and returns the ticket of the next call to run, or NULL. Expired
 * calls are skipped. service_ms is the estimated run time of a call.
 */
void *adm_pop_next(struct adm_queue *queue, uint64_t now_ms,
		   uint32_t service_ms);

/*
 * Removes and returns the ticket of a call that cannot be answered in time, or
 * NULL.
 */
void *adm_pop_expired(struct adm_queue *queue, uint64_t now_ms,
		      uint32_t service_ms);

/* Expires every waiting call. */
void adm_expire_queue(struct adm_queue *queue);

/* Removes and returns the first ticket, or NULL. */
void *adm_pop_first(struct adm_queue *queue);

/* Removes a ticket. Returns whether it was waiting. */
bool adm_remove_waiting(struct adm_queue *queue, const void *ticket);

/* Returns the number of waiting calls. */
uint32_t adm_get_queue_length(const struct adm_queue *queue);

#endif
