/*
 * Generator of the calls of a service during a move, in virtual time: one
 * second a step, every call drawn from a seeded random generator.
 */
#ifndef MOVES_TESTS_RELEASE_H
#define MOVES_TESTS_RELEASE_H

#include "loom/moves.h"

#define REL_TARGETS 4U /* of each version */
#define REL_ROUTES 3U
#define REL_BEFORE_S 10U /* calls before the move starts */

enum rel_fault {
	REL_FAULT_NONE,
	REL_FAULT_FAILS,
	REL_FAULT_SLOW,
	REL_FAULT_FAILS_IN_SOAK, /* some seconds after it has all calls */
	REL_FAULT_FAILS_UNDER_LOAD,
	REL_FAULT_FAILS_ON_ROUTE,
	REL_FAULT_BAD_TARGET,
	REL_FAULT_SLOW_TARGET,
	REL_FAULT_COLD,
	REL_FAULT_OUTAGE, /* of a service that both versions call */
};

/* One kind of release. */
struct rel_kind {
	const char *name;
	enum rel_fault fault;
	bool is_bad;
	bool is_sparse; /* too few bad calls a second for the bound in time */
	uint32_t calls_per_s;
	uint32_t finish_s;	/* from start to finish_by */
	uint32_t onset_first_s; /* the fault begins between these, from start */
	uint32_t onset_last_s;
	uint32_t load_permille; /* of REL_FAULT_FAILS_UNDER_LOAD */
	double size;  /* share of failed calls, or factor of latency */
	double noise; /* sigma of the logarithm of the latency */
};

struct rel_release {
	const struct rel_kind *kind;
	GRand *random;
	uint32_t onset_s;
	uint32_t share_permille;			    /* in force */
	struct mv_counts cells[2][REL_ROUTES][REL_TARGETS]; /* of the second */

	uint64_t calls;		 /* since the start, until badness shows */
	uint64_t exposed_calls;	 /* of these on the bad version, after onset */
	uint64_t calls_at_onset; /* value of calls when badness begins */
	bool has_onset;
	double oracle_nats; /* evidence to one who knows the true shares */
	bool is_shown;
	double shown_s; /* from start */
};

/* Begins a release of that kind and seed. */
void rel_begin(struct rel_release *release, const struct rel_kind *kind,
	       uint32_t seed);

void rel_end(struct rel_release *release);

/* Draws the calls of a second, counted from the start; fills cells. */
void rel_run_second(struct rel_release *release, int32_t second);

/* Adds the cells of a second to window; is_new tells the versions apart. */
void rel_note_cells(const struct rel_release *release, struct mv_window *window,
		    uint64_t slot);

/* Returns the share that the new targets can bear in a second. */
uint32_t rel_get_bearable(const struct rel_release *release, int32_t second);

#endif
