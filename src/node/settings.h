/*
 * Settings of a node, read from one JSON object.
 */
#ifndef ND_SETTINGS_H
#define ND_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>
#include "loom/log.h"
#include "loom/platform.h"
#include "loom/problem.h"
#include "loom/traffic.h"

/* Configured round-trip time from the node's failure domain to another. */
struct nd_distance {
	const char *failure_domain;
	uint32_t round_trip_us;
};

/* Source of a node's configuration. */
enum nd_source {
	ND_SOURCE_DOCUMENTS, /* service documents of the store */
	ND_SOURCE_GATEWAY,   /* a document given to nd_set_gateway() */
};

struct nd_settings {
	enum nd_source source;
	const char *service; /* service of the vm's target; "": not given */
	const char *address; /* IPv4 address of this vm */
	const char *failure_domain;
	uint16_t call_port;
	uint16_t hop_port;
	uint16_t admin_port;
	uint16_t gossip_port;
	const char *platform_url;
	/* The next two are set in code, not read from the settings file. */
	const struct plat_dialect *platform_dialect;
	const struct tr_header_names *header_names;
	const char *const *seeds; /* "ADDRESS:PORT"; NULL-terminated */
	const struct nd_distance *distances;
	size_t distance_count;
	uint32_t capacity; /* CPU of this vm, in thousandths of a core */
	/* Most of a service's calls that a version which is bad may get until
	   the time of its move is over */
	uint32_t move_exposure_permille;
	uint32_t traffic_threads;
	/* Admission by class and estimates, and traffic between domains by cost
	 */
	bool overload_control;
	uint16_t load_port;	     /* UDP port of load reports; 0: none */
	uint32_t link_kbit_s;	     /* speed of the vm's link; 0: unknown */
	uint32_t crossing_ms_per_kb; /* wait preferred to sending 1 kB away */
	uint32_t memory_mb;	     /* memory of the process; 0: unknown */
	uint32_t retry_budget_permille;
	uint32_t silence_ms; /* see struct tr_overload_options; 0: off */
	struct adm_cold_bound cold_bound;
	uint32_t connections;
	uint32_t idle_timeout_ms;
	uint32_t header_timeout_ms;
	uint32_t drain_linger_ms;
	uint32_t drain_refuse_ms; /* delay after the start of a drain */
	uint32_t shutdown_limit_ms;
	enum log_level log_level;
};

/*
 * Parses and validates settings; file is the name used in problems. Returns
 * new settings owned by ctx, or NULL with every problem added to list.
 */
struct nd_settings *nd_parse_settings(TALLOC_CTX *ctx, const char *file,
				      const char *text, size_t size,
				      struct prob_list *list);

/* Reads a file and parses it as nd_parse_settings() does. */
struct nd_settings *nd_read_settings(TALLOC_CTX *ctx, const char *file,
				     struct prob_list *list);

#endif
