/*
 * Simulation model for benchmarks of the routing policies: entry nodes with one
 * chooser each, and targets with or without an admission gate, in virtual time.
 */
#ifndef LOOM_ROUTING_MODEL_H
#define LOOM_ROUTING_MODEL_H

#include <glib.h>
#include "loom/admission.h"
#include "loom/routing.h"

#define MODEL_TARGET_MAX 16U

/* Fault that is injected at the end of the warm-up. */
enum model_fault {
	MODEL_FAULT_NONE,
	MODEL_FAULT_RESTART,	/* one restarts cold and announces it */
	MODEL_FAULT_COLD_AGAIN, /* one becomes cold without announcing it */
	MODEL_FAULT_GREY,   /* grey failure: sheds some calls without delay */
	MODEL_FAULT_DOMAIN, /* the vms of one failure domain stop answering */
};

/* Configuration of a run. */
struct model_case {
	const char *name;
	uint32_t target_count;
	uint32_t slots;
	uint32_t domain_count;
	uint32_t distance_us; /* one-way latency between failure domains */
	enum rt_policy policy;
	bool has_gate;
	/*
	 * MODEL_FAULT_RESTART and MODEL_FAULT_COLD_AGAIN also make another
	 * target slow.
	 */
	enum model_fault fault;
	bool hides_failures;  /* gates do not report how often a target fails */
	bool announces_slots; /* targets announce slots: limits are fixed */
	bool ignores_transit; /* entries do not measure the transit time */
	uint32_t large_body_permille; /* share of calls with a large body */
	uint32_t link_bytes_per_ms;   /* link into each vm; 0: unlimited */
	uint32_t crowd_permille;      /* in the middle third; 0: no crowd */
	uint32_t load_permille; /* share of the healthy targets' capacity */
	uint32_t warm_up_s;	/* excluded from the result */
	uint32_t measured_s;
	uint64_t seed;
};

/* Result of a run. Times are measured at the caller. */
struct model_result {
	uint64_t calls;
	uint64_t good;		    /* answered before the deadline */
	uint64_t late;		    /* answered after the deadline */
	uint64_t refused;	    /* not run on any target */
	uint64_t lost;		    /* no answer, may have run */
	uint64_t wasted;	    /* run in vain: late or lost */
	uint64_t capacity_permille; /* goodput as a share of the capacity */
	uint32_t p50_us;	    /* calls without a large body only */
	uint32_t p99_us;
	uint32_t large_body_p50_us;
	uint32_t refusal_p99_us;
	uint64_t cold_calls;	 /* calls that reached the cold target */
	uint64_t cold_overloads; /* of those, above its concurrency_max */
	uint32_t waiting_max;	 /* longest queue of any gate */
	uint64_t grey_calls;	 /* calls that reached the grey target */
	uint64_t shed_calls;	 /* of those, shed */
};

/* Runs a simulation to its end. */
struct model_result model_run(const struct model_case *setup);

#endif
