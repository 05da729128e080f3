/* Reachability of the other failure domains, as one traffic thread sees it. */
#ifndef LOOM_ROUTING_DOMAIN_STATE_H
#define LOOM_ROUTING_DOMAIN_STATE_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

struct rt_domain_state;
struct rt_domain_set;

struct rt_domain_set *rt_new_domain_set(TALLOC_CTX *ctx);

/* Returns the state of a failure domain (borrowed), created if missing. */
struct rt_domain_state *rt_get_domain_state(struct rt_domain_set *set,
					    const char *name);

/* Returns the state of a failure domain (borrowed), or NULL. */
struct rt_domain_state *rt_find_domain_state(const struct rt_domain_set *set,
					     const char *name);

/* Records that a call to a target of the domain was answered or refused. */
void rt_record_domain_heard(struct rt_domain_state *domain);

/*
 * Records the start of a call to a target of the domain. After a time without
 * calls the first one is the probe.
 */
void rt_record_domain_start(struct rt_domain_state *domain, uint64_t now_ms);

/* Records that the node of a target of the domain could not be reached. */
void rt_record_domain_failure(struct rt_domain_state *domain,
			      const char *address, uint64_t now_ms);

/* Returns whether the domain is probably cut off from here. */
bool rt_is_domain_cut_off(const struct rt_domain_state *domain,
			  uint64_t now_ms);

#endif
