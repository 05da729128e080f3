/* Bound on the calls to a target that may have turned cold unnoticed. */
#include "warmth.h"

#include <string.h>
#include <glib.h>

/*
 * The target is asked when this part of the limit is unconfirmed, if it gets
 * about as many calls as the limit; the rest is for the calls until its answer.
 */
#define DUE_UNCONFIRMED_PERMILLE 650U
#define DUE_CALLS_PERMILLE 800U

/* Clears the slots between the last one and the present one. */
static void advance(struct adm_warmth *warmth, uint64_t now_ms)
{
	uint64_t number = now_ms / ADM_WARMTH_SLOT_MS;

	if (number >= warmth->last + ADM_WARMTH_SLOTS)
		adm_clear_warmth(warmth);
	else
		while (warmth->last < number) {
			warmth->last++;
			warmth->calls[warmth->last % ADM_WARMTH_SLOTS] = 0;
			warmth->unconfirmed[warmth->last % ADM_WARMTH_SLOTS] =
				0;
		}
	warmth->last = MAX(warmth->last, number);
}

static uint32_t sum_slots(const uint32_t *slots)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < ADM_WARMTH_SLOTS; i++)
		sum += slots[i];
	return sum;
}

void adm_set_warmth_limit(struct adm_warmth *warmth, uint32_t limit)
{
	warmth->limit = limit;
}

void adm_clear_warmth(struct adm_warmth *warmth)
{
	memset(warmth->calls, 0, sizeof(warmth->calls));
	memset(warmth->unconfirmed, 0, sizeof(warmth->unconfirmed));
}

void adm_record_warmth_call(struct adm_warmth *warmth, uint64_t now_ms)
{
	advance(warmth, now_ms);
	warmth->calls[warmth->last % ADM_WARMTH_SLOTS]++;
	warmth->unconfirmed[warmth->last % ADM_WARMTH_SLOTS]++;
}

bool adm_has_warmth_room(struct adm_warmth *warmth, uint32_t waiting_count,
			 uint64_t now_ms)
{
	if (warmth->limit == 0)
		return true;
	advance(warmth, now_ms);
	return sum_slots(warmth->unconfirmed) + waiting_count < warmth->limit;
}

bool adm_is_warmth_due(struct adm_warmth *warmth, uint64_t now_ms)
{
	if (warmth->limit == 0)
		return false;
	advance(warmth, now_ms);
	return (uint64_t)sum_slots(warmth->calls) * 1000 >=
		       (uint64_t)warmth->limit * DUE_CALLS_PERMILLE &&
	       (uint64_t)sum_slots(warmth->unconfirmed) * 1000 >=
		       (uint64_t)warmth->limit * DUE_UNCONFIRMED_PERMILLE;
}

void adm_confirm_warmth(struct adm_warmth *warmth, uint64_t asked_ms,
			uint64_t now_ms)
{
	uint64_t end = asked_ms / ADM_WARMTH_SLOT_MS;
	uint64_t number;

	advance(warmth, now_ms);
	number = warmth->last - MIN(warmth->last, ADM_WARMTH_SLOTS - 1);
	for (; number < end; number++)
		warmth->unconfirmed[number % ADM_WARMTH_SLOTS] = 0;
}

uint64_t adm_get_warmth_room_ms(struct adm_warmth *warmth, uint64_t now_ms)
{
	uint64_t number;
	uint32_t sum;

	if (adm_has_warmth_room(warmth, 0, now_ms))
		return now_ms;
	sum = sum_slots(warmth->unconfirmed);
	number = warmth->last - MIN(warmth->last, ADM_WARMTH_SLOTS - 1);
	while (sum >= warmth->limit && number <= warmth->last)
		sum -= warmth->unconfirmed[number++ % ADM_WARMTH_SLOTS];
	/* A slot is cleared when that of its place begins. */
	return (number - 1 + ADM_WARMTH_SLOTS) * ADM_WARMTH_SLOT_MS;
}
