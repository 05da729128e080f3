/*
 * Simulation model for benchmarks of the routing policies: entry nodes with one
 * chooser each, and targets with or without an admission gate, in virtual time.
 */
#ifndef LOOM_ROUTING_MODEL_H
#define LOOM_ROUTING_MODEL_H

#include <glib.h>
#include "loom/admission.h"
#include "loom/routing.h"

#define MODEL_TARGET_MAX 24U

#define MODEL_SECONDS_MAX 120U

/* Fault that is injected at the end of the warm-up. */
enum model_fault {
	MODEL_FAULT_NONE,
	MODEL_FAULT_RESTART,	/* a target restarts cold and announces it */
	MODEL_FAULT_COLD_AGAIN, /* a target becomes cold unannounced */
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
	uint32_t crowd_permille; /* load in the middle third; 0: no crowd */
	uint32_t load_permille;	 /* share of the healthy targets' capacity */
	/*
	 * Calls are placed by their expected end, and gates give slots by
	 * class; the members up to reports_stop_s are read only then.
	 */
	bool is_placed;
	uint32_t service_us; /* mean work of a call */
	uint32_t timeout_us; /* deadline of a call */
	uint32_t objective_us;
	uint32_t crossing_us; /* wait preferred to leaving the domain */
	bool is_known_only; /* calls leave for targets with known waits only */
	/* Load of the first domain in place of load_permille; 0: the same. */
	uint32_t first_domain_permille;
	uint32_t report_ms;	  /* gap of sent load reports; 0: none */
	uint32_t reports_stop_s;  /* the first domain gets none from then on */
	uint32_t spread_permille; /* slowest target, fastest: its inverse */
	uint32_t warm_up_s;	  /* excluded from the result */
	uint32_t measured_s;
	uint64_t seed;
};

/* Result of a run. Times are measured at the caller. */
struct model_result {
	uint64_t calls;
	uint64_t good;		    /* answered before the deadline */
	uint64_t late;		    /* answered after the deadline */
	uint64_t refused;	    /* calls not run on any target */
	uint64_t lost;		    /* no answer, may have run */
	uint64_t wasted;	    /* run in vain: late or lost */
	uint64_t capacity_permille; /* goodput as a share of the capacity */
	uint32_t p50_us;	    /* calls without a large body only */
	uint32_t p99_us;
	uint32_t large_body_p50_us;
	uint32_t refusal_p99_us;
	uint64_t cold_calls;	 /* calls that reached the cold target */
	uint64_t cold_overloads; /* cold calls above concurrency_max */
	uint32_t waiting_max;	 /* longest queue of any gate */
	uint64_t grey_calls;	 /* calls that reached the grey target */
	uint64_t shed_calls;	 /* grey calls that were shed */
	uint64_t in_objective;
	uint64_t early; /* refused by the entry without asking a target */
	uint64_t attempts;
	uint64_t first_domain_calls; /* of entries of the first domain */
	uint64_t first_domain_in_objective;
	uint64_t away; /* attempts that left the domain of their entry */
	uint64_t away_refused;
	uint32_t away_per_s[MODEL_SECONDS_MAX]; /* since the warm-up */
};

/* Runs a simulation to its end. */
struct model_result model_run(const struct model_case *setup);

#endif
