/*
 * Model of a fleet that moves the calls of one service within seconds: nodes
 * with an evaluation each, that report to the evaluators and follow them, and
 * the targets of two versions. Times are virtual; all draws come from a seed.
 */
#ifndef MV_TEST_FLEET_H
#define MV_TEST_FLEET_H

#include <stdbool.h>
#include <stdint.h>

struct fleet_day {
	const char *name;
	uint32_t calls_per_s;
	double usual_failures; /* share of the calls of both versions */
	/* Share of the new version's calls that fail, at the full share. */
	double new_failures;
	/* They begin at this part of the service's calls, and grow to it. */
	double load_threshold;
	double new_late_s; /* they begin so long after the order */
	double new_from_s; /* the targets of the new version start then */
	/* The common outage: both versions fail this share of their calls. */
	double outage_failures;
	double outage_from_s;
	double outage_to_s;
	/* Each node in turn stops and starts again; nodes join at the start. */
	bool has_restarts;
};

struct fleet_result {
	bool is_finished;
	bool is_taken_back;
	double end_s; /* after the order; 0: not ended */
	uint32_t calls;
	uint32_t new_calls;
	bool is_exposed; /* more calls at the new version than may be */
};

/* Plays a day from the order to its deadline. */
void fleet_play(const struct fleet_day *day, uint32_t seed,
		struct fleet_result *result);

#endif
