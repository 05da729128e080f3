/*
 * Simulates the calls of a service during a move in virtual time, one second at
 * a time. Every call is drawn from a seeded random generator.
 */
#ifndef MOVES_TESTS_RELEASE_H
#define MOVES_TESTS_RELEASE_H

#include "loom/moves.h"

#define REL_TARGETS 4U /* per version */
#define REL_ROUTES 3U
#define REL_BEFORE_S 10U /* seconds with calls before the move starts */

enum rel_fault {
	REL_FAULT_NONE,
	REL_FAULT_FAILS,
	REL_FAULT_SLOW,
	REL_FAULT_FAILS_IN_SOAK, /* after the new version has all calls */
	REL_FAULT_FAILS_UNDER_LOAD,
	REL_FAULT_FAILS_ON_ROUTE,
	REL_FAULT_BAD_TARGET,
	REL_FAULT_SLOW_TARGET,
	REL_FAULT_COLD,
	REL_FAULT_OUTAGE, /* of a service that both versions depend on */
};

/* Parameters of a simulated release. */
struct rel_kind {
	const char *name;
	enum rel_fault fault;
	bool is_bad;
	bool is_sparse; /* too few bad calls per second for ROLLBACK_S_MAX */
	uint32_t calls_per_s;
	uint32_t finish_s;	/* from start to finish_by */
	uint32_t onset_first_s; /* earliest start of the fault, from start */
	uint32_t onset_last_s;	/* latest start of the fault, from start */
	uint32_t load_permille; /* least, for REL_FAULT_FAILS_UNDER_LOAD */
	double size;  /* share of failed calls, or factor on latency */
	double noise; /* standard deviation of the logarithm of latency */
};

struct rel_release {
	const struct rel_kind *kind;
	GRand *random;
	uint32_t onset_s;
	uint32_t share_permille;			    /* in force */
	struct mv_counts cells[2][REL_ROUTES][REL_TARGETS]; /* of this second */

	uint64_t calls;		 /* since the start, until the fault is shown */
	uint64_t exposed_calls;	 /* of these, to the bad version after onset */
	uint64_t calls_at_onset; /* value of calls when the fault starts */
	bool has_onset;
	double observer_nats; /* evidence for an ideal observer */
	bool is_shown;	      /* evidence reached the bound of release.c */
	double shown_s;	      /* time of that, after the start */
};

/* Initializes a release; kind is borrowed. Call rel_end() to free it. */
void rel_begin(struct rel_release *release, const struct rel_kind *kind,
	       uint32_t seed);

/* Frees what rel_begin() allocated. */
void rel_end(struct rel_release *release);

/* Simulates the calls of a second, relative to the start; fills cells. */
void rel_run_second(struct rel_release *release, int32_t second);

/* Adds the cells of the last second to a slot of window. */
void rel_record_cells(const struct rel_release *release,
		      struct mv_window *window, uint64_t slot);

/* Returns the share that the new targets have capacity for in a second. */
uint32_t rel_get_capacity(const struct rel_release *release, int32_t second);

#endif
