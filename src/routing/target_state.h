/* State that one traffic thread keeps for each target. */
#ifndef LOOM_ROUTING_TARGET_STATE_H
#define LOOM_ROUTING_TARGET_STATE_H

#include <glib.h>
#include "domain_state.h"
#include "table.h"

/* Starts of calls that are kept to tell which are still on the way. */
#define RT_STARTS_KEPT 4U

struct rt_target_state {
	char *address;
	struct rt_domain_state *domain; /* borrowed; NULL: not in a table */
	enum rt_phase announced_phase;	/* phase in the last table */
	uint64_t table_serial;	/* last table that contained the target */
	uint32_t own_in_flight; /* calls in flight from this thread */
	bool is_reported;	/* the fields up to reported_ms are valid */
	uint32_t limit;
	uint32_t latency_us;	   /* mean latency as reported; 0: unknown */
	uint32_t failure_permille; /* share of failed calls as reported */
	uint32_t others_in_flight; /* calls in flight of others when reported */
	enum rt_phase phase;
	bool has_waits;
	uint32_t wait_us[RT_CLASS_COUNT];
	uint32_t link_wait_us;
	uint64_t link_wait_ms; /* when it was told */
	uint64_t reported_ms;
	bool is_sent_report;	 /* the report came without a call */
	uint64_t sent_report_ms; /* last report without a call; 0: none */
	uint64_t asked_ms;	 /* last ask for a report; 0: none */
	uint32_t report_gap_ms;	 /* mean time between two such reports */
	/* First start of a call since the last report or answer; 0: none. */
	uint64_t unreported_ms;
	/* When the last calls from this thread were started. */
	uint64_t starts_ms[RT_STARTS_KEPT];
	uint32_t start_count;
	uint32_t transit_us; /* moving mean over the calls from this thread */
	uint64_t transit_updated_ms; /* last update of transit_us */
	uint32_t failure_count;	     /* failures since the last answer */
	uint64_t ejected_until_ms;
	uint64_t refused_until_ms;
};

/* States of all targets of a thread. */
struct rt_state_set {
	struct rt_domain_set *domains;
	GHashTable *by_address;		   /* owns the states */
	struct rt_target_state **by_entry; /* one for each entry of the table */
	uint64_t table_serial;
};

/* Returns a new, empty set (owned by ctx). */
struct rt_state_set *rt_new_state_set(TALLOC_CTX *ctx);

/*
 * Updates the set to a table. States of targets that are no longer in it are
 * freed, and reports of restarted targets are discarded. Returns whether the
 * table differs from the last one.
 */
bool rt_sync_state_set(struct rt_state_set *set, const struct rt_table *table);

/*
 * Returns a new set (owned by ctx) that holds copies of the states, updated to
 * a table as rt_sync_state_set() would. It has by_entry only, and borrows the
 * states of failure domains. set stays as it is.
 */
struct rt_state_set *rt_copy_state_set(TALLOC_CTX *ctx,
				       const struct rt_state_set *set,
				       const struct rt_table *table);

/*
 * Returns the state of an address (borrowed). It is created if it is missing.
 */
struct rt_target_state *rt_get_target_state(struct rt_state_set *set,
					    const char *address);

/*
 * Frees the state if its target is not in the table and no call is in flight.
 */
void rt_release_target_state(struct rt_state_set *set,
			     struct rt_target_state *state);

/* Records the start of a call of this thread. */
void rt_record_own_start(struct rt_target_state *state, uint64_t now_ms);

/* Records a load that came without a call. */
void rt_record_sent_report(struct rt_target_state *state,
			   const struct rt_load *load, uint64_t now_ms);

/* Returns the state of an address (borrowed), or NULL. */
struct rt_target_state *rt_find_target_state(const struct rt_state_set *set,
					     const char *address);

/* Records the end of a call; load may be NULL. transit_us as in
 * rt_record_end().
 */
void rt_record_result(struct rt_target_state *state, enum rt_outcome outcome,
		      const struct rt_load *load, uint32_t transit_us,
		      uint64_t now_ms);

/* Returns how many parallel calls the target can handle, at least 1. */
uint32_t rt_estimate_limit(const struct rt_target_state *state,
			   uint64_t now_ms);

/* Returns the estimated number of calls in flight at the target. */
uint32_t rt_estimate_load(const struct rt_target_state *state, uint64_t now_ms);

/*
 * Returns whether the reports of the target's node have stopped although they
 * were due: it has probably stopped, or is cut off.
 */
bool rt_is_target_silent(const struct rt_target_state *state, uint64_t now_ms);

/* Returns whether the target's gate has told its waits of late. */
bool rt_has_waits(const struct rt_target_state *state, uint64_t now_ms);

/* Returns how long a call of a class is expected to wait there for a slot. */
uint64_t rt_estimate_wait_us(const struct rt_target_state *state,
			     enum rt_class class, uint64_t now_ms);

/*
 * Returns how long a large answer is expected to wait for the link of the
 * target's node. What was told gets shorter as time passes.
 */
uint64_t rt_estimate_link_wait_us(const struct rt_target_state *state,
				  uint64_t now_ms);

/* Returns the expected latency of the target, or 0 if it is unknown. */
uint32_t rt_estimate_latency_us(const struct rt_target_state *state,
				uint64_t now_ms);

/*
 * Returns the expected time that a call and its answer spend in transit between
 * the nodes. The measured value decays, so that a target that is avoided gets
 * calls again.
 */
uint32_t rt_estimate_transit_us(const struct rt_target_state *state,
				uint64_t now_ms);

/*
 * Returns the expected share of failed calls in permille, 0 to 1000. The
 * reported value decays, so that a target that is avoided gets calls again.
 */
uint32_t rt_estimate_failure_permille(const struct rt_target_state *state,
				      uint64_t now_ms);

/*
 * Returns the reported phase, or the announced one without a valid report. An
 * announcement that the target leaves takes precedence.
 */
enum rt_phase rt_estimate_phase(const struct rt_target_state *state,
				uint64_t now_ms);

#endif
